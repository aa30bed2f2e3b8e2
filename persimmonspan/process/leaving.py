"""Decides from all sources which targets and VMs are leaving.

A target is leaving as soon as one source reports it: the inventory or the
rules, the platform's list of VMs, a reclaim notice, the target's own refusal
because it is draining, or another answer of the target. No source needs the
confirmation of another, because stopping new work needlessly costs little and
stopping it late breaks requests.

Only two signs end this: an operator's undrain (explicit, or a newer revision
that no longer lists the target), or a new incarnation. A mark in the inventory
is an operator's order, and a new incarnation does not end it. Every report
before the sign is void. The list of VMs lags, so that an entry is dated by when
it was measured, not by when it arrived: an old entry neither ends the leaving
of a VM nor marks one that has returned since. An entry "live" never ends it.

How to call it: call `step` for each event, and `is_leaving` before each choice
of a target. `step` also returns `LeavingStarted` and `LeavingEnded` commands.

>>> state, _ = step(State(), VmsAssigned((("e1", "vm-1"),)), 0.0)
>>> state, _ = step(state, IncarnationSeen("e1", "a"), 1.0)
>>> state, commands = step(state, VmsListed(("vm-1",), age_s=2.0), 10.0)
>>> [(left.name, left.source.value) for left in commands]
[('vm-1', 'vm_list')]
>>> is_leaving(state, "e1")
True
>>> state, _ = step(state, IncarnationSeen("e1", "b"), 11.0)
>>> state, _ = step(state, VmsListed(("vm-1",), age_s=5.0), 12.0)
>>> is_leaving(state, "e1")
False

See Also:
    `persimmonspan.version.model`: the `leaving` marks of inventory and rules.
"""

import enum
import functools
import typing

import immutables

# Whatever an older list holds, another source has reported by now.
MAX_LIST_AGE_S = 300.0
_NAME_RETENTION_S = 86_400.0  # For names without a target or VM.
_MAX_KEPT_INCARNATIONS = 4  # Recognises late reports of earlier incarnations.
_NEVER = float("-inf")


class Source(enum.StrEnum):
    """Source that reported that a target or a VM leaves."""

    INVENTORY = "inventory"
    VM_LIST = "vm_list"
    RECLAIM = "reclaim"
    REFUSAL = "refusal"
    ANSWER = "answer"


class VmsAssigned(typing.NamedTuple):
    """All pairs (target, VM that it runs on); replaces the previous event."""

    vm_by_target: tuple[tuple[str, str], ...]


class InventoryRead(typing.NamedTuple):
    """A revision was adopted; `leaving` names its leaving targets and VMs."""

    revision: int
    leaving: frozenset[str]


class VmsListed(typing.NamedTuple):
    """The platform's list, measured `age_s` ago, marks these VMs as leaving."""

    leaving: tuple[str, ...]
    age_s: float


class ReclaimNoticed(typing.NamedTuple):
    """The platform announced that it will reclaim a target or VM.

    `incarnation` is the one that the notice is about, or None if not known.
    """

    name: str
    incarnation: str | None = None


class DrainRefused(typing.NamedTuple):
    """A target refused work because it is draining."""

    target: str
    incarnation: str | None = None


class LeavingAnswered(typing.NamedTuple):
    """An incarnation of a target says in an answer that it leaves.

    It counts only for the incarnation that reported its load last: another one
    may be a former one, and without reports nothing would end the mark. A new
    one says so again in its later answers.
    """

    target: str
    incarnation: str


class IncarnationSeen(typing.NamedTuple):
    """A target reported its incarnation."""

    target: str
    incarnation: str


class UndrainOrdered(typing.NamedTuple):
    """An operator ordered that a target or VM gets new work again."""

    name: str


class LeavingStarted(typing.NamedTuple):
    """A target or VM began to leave."""

    name: str
    source: Source


class LeavingEnded(typing.NamedTuple):
    """A target or VM may get new work again."""

    name: str


Event = (VmsAssigned | InventoryRead | VmsListed | ReclaimNoticed |
         DrainRefused | LeavingAnswered | IncarnationSeen | UndrainOrdered)
Command = LeavingStarted | LeavingEnded


class State(typing.NamedTuple):
    """Latest reports of the sources.

    `inventory_leaving` holds the names that `revision` marks as leaving.
    `reported_s` holds per name when a source last reported its leaving, in
    monotonic seconds; `returned_s` holds per name when the last sign of its
    return came. `incarnations` holds per target the last few, the present one
    first.
    """

    revision: int = -1
    inventory_leaving: frozenset[str] = frozenset()
    reported_s: immutables.Map[str, float] = immutables.Map()
    returned_s: immutables.Map[str, float] = immutables.Map()
    incarnations: immutables.Map[str, tuple[str, ...]] = immutables.Map()
    vm_by_target: immutables.Map[str, str] = immutables.Map()


Result = tuple[State, list[Command]]


def is_leaving(state: State, target: str) -> bool:
    """Returns whether a target or its VM is leaving and gets no new work."""
    if _is_marked(state, target, target):
        return True
    vm = state.vm_by_target.get(target)
    return vm is not None and _is_marked(state, vm, target)


def step(state: State,
         event: Event,
         now_s: float,
         rng: object = None) -> Result:
    """Returns the next state and the commands of its changes."""
    del rng
    return _step(event, state, now_s)


@functools.singledispatch
def _step(event: object, state: State, now_s: float) -> Result:
    del event, now_s
    return state, []


@_step.register
def _(event: VmsAssigned, state: State, now_s: float) -> Result:
    placed = immutables.Map(event.vm_by_target)
    kept = {*placed.keys(), *placed.values()}
    reported_s = immutables.Map({
        name: reported_s
        for name, reported_s in state.reported_s.items()
        if name in kept or now_s - reported_s < _NAME_RETENTION_S
    })
    returned_s = immutables.Map({
        name: returned_s
        for name, returned_s in state.returned_s.items()
        if name in kept or now_s - returned_s < _NAME_RETENTION_S
    })
    incarnations = immutables.Map({
        name: seen for name, seen in state.incarnations.items() if name in kept
    })
    return state._replace(vm_by_target=placed,
                          reported_s=reported_s,
                          returned_s=returned_s,
                          incarnations=incarnations), []


@_step.register
def _(event: InventoryRead, state: State, now_s: float) -> Result:
    if event.revision <= state.revision:
        return state, []
    commands: list[Command] = [
        LeavingStarted(name, Source.INVENTORY)
        for name in sorted(event.leaving - state.inventory_leaving)
        if not is_leaving(state, name)
    ]
    undrained = sorted(state.inventory_leaving - event.leaving)
    state = state._replace(revision=event.revision,
                           inventory_leaving=event.leaving)
    for name in undrained:
        state = _set_return(state, name, now_s)
        commands.append(LeavingEnded(name))
    return state, commands


@_step.register
def _(event: VmsListed, state: State, now_s: float) -> Result:
    if event.age_s > MAX_LIST_AGE_S:
        return state, []
    commands: list[Command] = []
    for name in event.leaving:
        state, added = _mark_leaving(state, name, Source.VM_LIST,
                                     now_s - event.age_s)
        commands += added
    return state, commands


@_step.register
def _(event: ReclaimNoticed, state: State, now_s: float) -> Result:
    return _apply_notice(state, event.name, event.incarnation, Source.RECLAIM,
                         now_s)


@_step.register
def _(event: DrainRefused, state: State, now_s: float) -> Result:
    return _apply_notice(state, event.target, event.incarnation, Source.REFUSAL,
                         now_s)


@_step.register
def _(event: LeavingAnswered, state: State, now_s: float) -> Result:
    seen = state.incarnations.get(event.target, ())
    if event.incarnation not in seen[:1]:
        return state, []
    return _mark_leaving(state, event.target, Source.ANSWER, now_s)


@_step.register
def _(event: IncarnationSeen, state: State, now_s: float) -> Result:
    seen = state.incarnations.get(event.target, ())
    if event.incarnation in seen:  # The present one or a late report.
        return state, []
    state = _add_incarnation(state, event.target, event.incarnation)
    if not seen:  # The first one may be the one that was reported as leaving.
        return state, []
    return _apply_return(state, event.target, now_s)


@_step.register
def _(event: UndrainOrdered, state: State, now_s: float) -> Result:
    was_leaving = is_leaving(state, event.name)
    state = state._replace(inventory_leaving=state.inventory_leaving -
                           {event.name})
    state = _set_return(state, event.name, now_s)
    return state, [LeavingEnded(event.name)] if was_leaving else []


def _apply_notice(state: State, name: str, incarnation: str | None,
                  source: Source, now_s: float) -> Result:
    if incarnation is not None:
        seen = state.incarnations.get(name, ())
        if incarnation in seen[1:]:
            return state, []  # The notice is about an earlier incarnation.
        if incarnation not in seen:
            state = _add_incarnation(state, name, incarnation)
    return _mark_leaving(state, name, source, now_s)


def _add_incarnation(state: State, name: str, incarnation: str) -> State:
    seen = (incarnation,) + state.incarnations.get(name, ())
    return state._replace(incarnations=state.incarnations.set(
        name, seen[:_MAX_KEPT_INCARNATIONS]))


def _mark_leaving(state: State, name: str, source: Source,
                  reported_s: float) -> Result:
    if reported_s <= max(state.reported_s.get(name, _NEVER),
                         state.returned_s.get(name, _NEVER)):
        return state, []
    was_leaving = is_leaving(state, name)
    state = state._replace(reported_s=state.reported_s.set(name, reported_s))
    return state, [] if was_leaving else [LeavingStarted(name, source)]


def _apply_return(state: State, target: str, now_s: float) -> Result:
    was_leaving = is_leaving(state, target)
    state = _set_return(state, target, now_s)
    has_returned = was_leaving and not is_leaving(state, target)
    return state, [LeavingEnded(target)] if has_returned else []


def _set_return(state: State, name: str, now_s: float) -> State:
    return state._replace(returned_s=state.returned_s.set(name, now_s))


def _is_marked(state: State, name: str, target: str) -> bool:
    if name in state.inventory_leaving:
        return True
    reported_s = state.reported_s.get(name)
    return reported_s is not None and reported_s > max(
        state.returned_s.get(name, _NEVER), state.returned_s.get(
            target, _NEVER))
