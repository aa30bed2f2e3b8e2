"""Membership: which daemons exist and which of them are alive.

A daemon is identified by its name and has one incarnation at a time. The state
keeps the highest incarnation seen of each name, so that messages of an older
one have no effect. A daemon whose wall clock went back starts with an
incarnation that is too low; a peer reports the higher one, and the daemon
raises its own above it.

Evidence that a daemon is alive is a sequence number higher than the last one,
together with the age of that evidence. Rows of the table and entries of the VM
list introduce daemons but are not evidence, because both lag.

A daemon hears a majority when more than half of the registered daemons, itself
included, gave evidence within `MAJORITY_WINDOW_S`. A daemon is registered if
the last read of the table found its `member/` row.

References:
    Das, Gupta, Motivala: "SWIM", 2002 (incarnations and refutation).
"""

import functools
import math
import random
import typing

import immutables

# A daemon withdraws when for 3 s it has neither read the store nor heard a
# majority (design page, section 4).
MAJORITY_WINDOW_S = 3.0
# Two windows, so that a late digest does not move links between daemons.
PEER_SILENCE_TIMEOUT_S = 6.0


class Identity(typing.NamedTuple):
    """Name, incarnation, location and address of a daemon."""

    daemon: str
    incarnation: int
    failure_domain: str
    region: str
    address: str


class Member(typing.NamedTuple):
    """Recorded state of another daemon.

    Attributes:
        sequence: Highest sequence number received directly, -1 if none.
        last_evidence_s: Time of the most recent evidence, direct or reported.
        revision: Configuration revision of the daemon, as last reported.
        store_age_s: Age of the daemon's last store read, as last reported.
    """

    identity: Identity
    sequence: int = -1
    last_evidence_s: float = -math.inf
    revision: int = 0
    store_age_s: float = math.inf
    is_draining: bool = False
    is_silent: bool = True


class State(typing.NamedTuple):
    """Own identity, other members, and names in the table and VM list."""

    own: Identity
    members: immutables.Map[str, Member] = immutables.Map()
    registered: frozenset[str] = frozenset()
    vm_listed: frozenset[str] = frozenset()
    is_majority_heard: bool = False


class DaemonIntroduced(typing.NamedTuple):
    """A daemon was reported to exist; not evidence that it is alive."""

    identity: Identity


class RowsRead(typing.NamedTuple):
    """The daemon read all `member/` rows."""

    rows: tuple[Identity, ...]


class VmsListed(typing.NamedTuple):
    """The daemon read the VM list, whose entries have incarnation 0."""

    vms: tuple[Identity, ...]


class HeartbeatReceived(typing.NamedTuple):
    """A digest or summary arrived directly from a daemon."""

    daemon: str
    incarnation: int
    sequence: int
    revision: int
    store_age_s: float = math.inf
    is_draining: bool = False


class HeartbeatsReported(typing.NamedTuple):
    """A summary reports that these (daemon, incarnation) pairs are alive."""

    pairs: tuple[tuple[str, int], ...]
    age_s: float
    revision: int
    draining: tuple[str, ...] = ()


class Tick(typing.NamedTuple):
    """Time passed."""


class DaemonRestarted(typing.NamedTuple):
    """A daemon has a new incarnation; state of the old one is invalid."""

    daemon: str


class DaemonFellSilent(typing.NamedTuple):
    """No evidence of a daemon within `PEER_SILENCE_TIMEOUT_S`."""

    daemon: str


class OwnIncarnationRaised(typing.NamedTuple):
    """A peer reported a higher own incarnation, so the own one was raised."""

    incarnation: int


class MajorityHeardChanged(typing.NamedTuple):
    """The daemon began or ceased to hear a majority of registered daemons."""

    is_heard: bool
    heard_count: int
    registered_count: int


Event = (DaemonIntroduced | RowsRead | VmsListed | HeartbeatReceived |
         HeartbeatsReported | Tick)
Command = (DaemonRestarted | DaemonFellSilent | OwnIncarnationRaised |
           MajorityHeardChanged)
Result = tuple[State, list[Command]]


def step(state: State, event: Event, now_s: float,
         rng: random.Random) -> Result:
    """Returns the next state and commands that report what changed."""
    del rng
    state, commands = _step(event, state, now_s)
    if not isinstance(event, (Tick, RowsRead)):
        # Counting on each message would cost O(members) and is not needed:
        # several ticks fall within the window.
        return state, commands
    heard, registered = count_heard_daemons(state, now_s)
    is_heard = 2 * heard > registered
    if is_heard != state.is_majority_heard:
        state = state._replace(is_majority_heard=is_heard)
        commands = commands + [
            MajorityHeardChanged(is_heard, heard, registered)
        ]
    return state, commands


def count_heard_daemons(state: State, now_s: float) -> tuple[int, int]:
    """Returns the number of registered daemons heard, and of all registered."""
    heard = sum(
        1 for name in state.registered if name == state.own.daemon or
        has_evidence_within(state.members.get(name), now_s, MAJORITY_WINDOW_S))
    return heard, len(state.registered)


def has_evidence_within(member: Member | None, now_s: float,
                        window_s: float) -> bool:
    """Returns whether a member gave evidence within the last `window_s`."""
    return member is not None and now_s - member.last_evidence_s <= window_s


def select_live_members(state: State,
                        failure_domain: str | None = None) -> list[Member]:
    """Returns the members that are not silent, of one failure domain or all."""
    return [
        member for member in state.members.values()
        if not member.is_silent and failure_domain in (
            None, member.identity.failure_domain)
    ]


@functools.singledispatch
def _step(event: object, state: State, now_s: float) -> Result:
    raise TypeError(f"unknown event {event!r} at {now_s} in {type(state)}")


@_step.register
def _(event: DaemonIntroduced, state: State, now_s: float) -> Result:
    del now_s
    return _introduce(state, event.identity)


@_step.register
def _(event: RowsRead, state: State, now_s: float) -> Result:
    del now_s
    state = state._replace(registered=frozenset(
        row.daemon for row in event.rows))
    return _introduce_all(state, event.rows)


@_step.register
def _(event: VmsListed, state: State, now_s: float) -> Result:
    del now_s
    state = state._replace(vm_listed=frozenset(vm.daemon for vm in event.vms))
    return _introduce_all(state, event.vms)


@_step.register
def _(event: HeartbeatReceived, state: State, now_s: float) -> Result:
    member = state.members.get(event.daemon)
    if (member is None or event.incarnation != member.identity.incarnation or
            event.sequence <= member.sequence):
        return state, []
    return _put(
        state,
        member._replace(sequence=event.sequence,
                        last_evidence_s=now_s,
                        revision=event.revision,
                        store_age_s=event.store_age_s,
                        is_draining=event.is_draining,
                        is_silent=False)), []


@_step.register
def _(event: HeartbeatsReported, state: State, now_s: float) -> Result:
    evidence_s = now_s - event.age_s
    members = state.members.mutate()
    for daemon, incarnation in event.pairs:
        member = members.get(daemon)
        if (member is None or incarnation != member.identity.incarnation or
                evidence_s <= member.last_evidence_s):
            continue
        members[daemon] = member._replace(last_evidence_s=evidence_s,
                                          revision=max(member.revision,
                                                       event.revision),
                                          is_draining=daemon in event.draining,
                                          is_silent=event.age_s
                                          > PEER_SILENCE_TIMEOUT_S)
    return state._replace(members=members.finish()), []


@_step.register
def _(event: Tick, state: State, now_s: float) -> Result:
    del event
    commands: list[Command] = []
    for name, member in state.members.items():
        if not member.is_silent and not has_evidence_within(
                member, now_s, PEER_SILENCE_TIMEOUT_S):
            state = _put(state, member._replace(is_silent=True))
            commands.append(DaemonFellSilent(name))
    return state, commands


def _introduce_all(state: State, identities: tuple[Identity, ...]) -> Result:
    commands: list[Command] = []
    for identity in identities:
        state, more = _introduce(state, identity)
        commands += more
    return state, commands


def _introduce(state: State, identity: Identity) -> Result:
    if identity.daemon == state.own.daemon:
        return _check_own_incarnation(state, identity)
    member = state.members.get(identity.daemon)
    if member is None:
        return _put(state, Member(identity)), []
    if identity.incarnation <= member.identity.incarnation:
        return state, []
    commands: list[Command] = []
    if member.identity.incarnation > 0:
        commands.append(DaemonRestarted(identity.daemon))
    return _put(state, Member(identity)), commands


def _check_own_incarnation(state: State, identity: Identity) -> Result:
    if identity.incarnation <= state.own.incarnation:
        return state, []
    raised = identity.incarnation + 1
    return (state._replace(own=state.own._replace(incarnation=raised)),
            [OwnIncarnationRaised(raised)])


def _put(state: State, member: Member) -> State:
    return state._replace(
        members=state.members.set(member.identity.daemon, member))
