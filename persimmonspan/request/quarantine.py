"""Quarantine of requests that crash every target (poison requests).

When a target dies, each request that was in flight on it may be the cause. A
crash is evidence against a request only if that request was alone there; a
crash beside others makes all of them suspects and condemns none. A suspect runs
again only in isolation, as the only request on a target. A completed run clears
it, since a poison request crashes every target that runs it; so does the
condemnation of another suspect for the same death. `CRASHES_TO_REFUSE` crashes,
of which `CRASHES_ALONE_TO_CONDEMN` alone, condemn it. If none was alone, it is
held: it is refused for `HOLD_TTL_S`, twice as long each time, and then isolated
again. A poison request thus kills two targets before it is refused, and an
innocent one waits for its isolated run. That run keeps others off the target
only for as long as it ran before the earlier crash, with a margin; a longer run
stays a suspect but no longer blocks the target.

Connections break before a death is reported. A request whose attempt broke is a
suspect for `DEATH_GRACE_S`, and a death reported by then counts against it.

Daemons share suspects and refused fingerprints, because a caller's repeat
reaches another daemon, and the targets of isolated runs, which peers then keep
free. A crash is not alone if the last `PeerLoad` of a peer shows work there.

The scheduler runs `plan` before each dispatch, `reserve` for a plan with a
target, `record_dispatch` for each `events.Dispatch`, and `step` for its events.
It sends no other work to a target for which `is_reserved` returns true.

>>> state = record_dispatch(State(), "r1", "f", "e1", 0.0)
>>> state = record_dispatch(state, "r2", "g", "e1", 0.0)
>>> state, _ = step(state, events.TargetDied("e1"), 1.0)
>>> action, target = plan(state, "f", ["e2", "e3"], 1.0)
>>> action.value
'isolate'
>>> state = record_dispatch(state, "r1", "f", target, 1.0)
>>> is_reserved(state, target, 1.1)
True
>>> state, _ = step(state, events.TargetDied(target), 2.0)
>>> plan(state, "f", ["e2", "e3"], 2.0).action.value
'refuse'
>>> plan(state, "g", ["e2", "e3"], 2.0).action.value
'any'

See Also:
    `persimmonspan.request.isolation`: the reservations of targets.
"""

import enum
import functools
import math
import typing

import immutables

from persimmonspan.request import events
from persimmonspan.request import isolation

CRASHES_TO_REFUSE = 2
CRASHES_ALONE_TO_CONDEMN = 1
CONDEMNED_TTL_S = 600.0
SUSPECT_TTL_S = 300.0
HOLD_TTL_S = 60.0
DEATH_GRACE_S = 5.0
TARGETS_PER_RESERVATION = 3  # Reserves at most one in so many targets.
LIFTED_TTL_S = 60.0  # Ignores reports that peers sent before the lift.
MAX_RECORDS = 4096
MAX_SHARED_SUSPECTS = 128  # Per death; keeps gossip in its byte budget.
_AGE_FACTOR = 1.5
_AGE_MARGIN_S = 1.0
_FAILURES = frozenset({
    events.Outcome.FAILED_BEFORE_FIRST_TOKEN,
    events.Outcome.FAILED_AFTER_FIRST_TOKEN
})
_MAY_RUN = _FAILURES | {events.Outcome.CANCELLED, events.Outcome.INTERRUPTED}


class Action(enum.StrEnum):
    """What to do with a request that is about to be sent."""

    ANY = "any"  # No suspect: use any target that is not reserved.
    ISOLATE = "isolate"  # Send only this one to the planned target.
    DRAIN = "drain"  # Reserve the planned target and plan again.
    WAIT = "wait"  # No target is available, or a run is pending.
    REFUSE = "refuse"


class Plan(typing.NamedTuple):
    """How to run a request, and on which target if that matters."""

    action: Action
    target: str | None = None


class Record(typing.NamedTuple):
    """The evidence against a fingerprint."""

    expires_s: float
    crashes: int = 0
    crashes_alone: int = 0
    age_s: float = 0.0  # Maximum running time before a crash.
    refused_until_s: float = -math.inf
    died_on: str = ""  # The first target that it may have crashed.


class _Run(typing.NamedTuple):
    fingerprint: str
    started_s: float
    disconnected_s: float = math.inf


_Runs = immutables.Map[str, _Run]
_NO_RUNS: _Runs = immutables.Map()


class State(typing.NamedTuple):
    """Attempts in flight per target, and the records of fingerprints.

    `lifted_s` holds the time at which a fingerprint was lifted or cleared.
    """

    runs: immutables.Map[str, _Runs] = immutables.Map()
    records: immutables.Map[str, Record] = immutables.Map()
    lifted_s: immutables.Map[str, float] = immutables.Map()
    reservations: isolation.Reservations = immutables.Map()
    peer_loads: immutables.Map[str, isolation.PeerLoads] = immutables.Map()


Result = tuple[State, list[events.Command]]


def plan(state: State, fingerprint: str, targets: typing.Sequence[str],
         now_s: float) -> Plan:
    """Plans how to run a request on one of the usable targets."""
    record = state.records.get(fingerprint)
    if record is None or record.expires_s <= now_s:
        return Plan(Action.ANY)
    if record.refused_until_s > now_s:
        return Plan(Action.REFUSE)
    if _is_run_pending(state, fingerprint, record, now_s):
        return Plan(Action.WAIT)
    reserved = isolation.find_reserved_target(state.reservations, fingerprint)
    if reserved in targets:
        waited_s = now_s - state.reservations[reserved].since_s
        is_busy = _count_work(state, reserved, now_s) > 0
        is_ready = waited_s >= (
            isolation.MAX_DRAIN_S if is_busy else
            isolation.ANNOUNCEMENT_DELAY_S if state.peer_loads else 0.0)
        return Plan(Action.ISOLATE if is_ready else Action.DRAIN, reserved)
    free = [
        target for target in targets
        if not _runs_suspect(state, target, now_s) and
        (isolation.is_open(state.reservations, target) or
         not isolation.is_reserved(state.reservations, target, now_s))
    ]
    taken = len(targets) - len(free)
    if not free or taken >= max(1, len(targets) // TARGETS_PER_RESERVATION):
        return Plan(Action.WAIT)
    work, _, target = min((_count_work(state, item, now_s),
                           isolation.rank(fingerprint, item), item)
                          for item in free)
    must_wait = work or state.peer_loads
    return Plan(Action.DRAIN if must_wait else Action.ISOLATE, target)


def reserve(state: State, fingerprint: str, target: str, now_s: float) -> State:
    """Reserves a target for a suspect; a repeated call changes nothing."""
    return state._replace(reservations=isolation.reserve(
        state.reservations, fingerprint, target, now_s))


def is_reserved(state: State, target: str, now_s: float) -> bool:
    """Returns whether a target is reserved for a suspect or runs one."""
    return (isolation.is_reserved(state.reservations, target, now_s) or
            _runs_suspect(state, target, now_s))


def suspect_age_s(state: State, fingerprint: str) -> float | None:
    """Returns how long a suspect ran before it may have crashed a target.

    Returns None if it is no suspect. Suspects with a low age should be planned
    first: their isolated runs are short, and most poison requests crash fast.
    """
    record = state.records.get(fingerprint)
    return None if record is None else record.age_s


def is_quarantined(state: State, fingerprint: str, now_s: float) -> bool:
    """Returns whether a request is refused on all targets now."""
    record = state.records.get(fingerprint)
    return record is not None and record.refused_until_s > now_s


def record_dispatch(state: State, request_id: str, fingerprint: str,
                    target: str, now_s: float) -> State:
    """Records that a request was sent to a target."""
    runs = state.runs.get(target, _NO_RUNS).set(request_id,
                                                _Run(fingerprint, now_s))
    state = state._replace(runs=state.runs.set(target, runs))
    return state._replace(reservations=isolation.mark_running(
        state.reservations, fingerprint, target))


def step(state: State,
         event: events.Event,
         now_s: float,
         rng: object = None) -> Result:
    """Returns the next state, and `ShareQuarantine` and `Count` commands."""
    del rng
    return _step(event, state, now_s)


@functools.singledispatch
def _step(event: object, state: State, now_s: float) -> Result:
    del event, now_s
    return state, []


@_step.register
def _(event: events.AttemptEnded, state: State, now_s: float) -> Result:
    runs = state.runs.get(event.target, _NO_RUNS)
    run = runs.get(event.request_id)
    if run is None:
        return state, []
    if event.outcome in _MAY_RUN:
        runs = runs.set(event.request_id, run._replace(disconnected_s=now_s))
    else:
        runs = runs.delete(event.request_id)
    state = state._replace(runs=state.runs.set(event.target, runs))
    record = state.records.get(run.fingerprint)
    if event.outcome in _FAILURES and record is None:
        return _set_record(state, run.fingerprint,
                           Record(now_s + DEATH_GRACE_S)), []
    if event.outcome is not events.Outcome.COMPLETED or record is None:
        return state._replace(reservations=isolation.release(
            state.reservations, run.fingerprint)), []
    return _clear_suspect(state, run.fingerprint, now_s), [
        events.ShareQuarantine(run.fingerprint, 0, 0.0),
        events.Count("quarantine_cleared")
    ]


@_step.register
def _(event: events.TargetDied, state: State, now_s: float) -> Result:
    ages_s: dict[str, float] = {}
    for run in state.runs.get(event.target, _NO_RUNS).values():
        if now_s - run.disconnected_s < DEATH_GRACE_S:
            age_s = min(now_s, run.disconnected_s) - run.started_s
            ages_s[run.fingerprint] = max(ages_s.get(run.fingerprint, 0.0),
                                          age_s)
    unlikely = {
        fingerprint for fingerprint, age_s in ages_s.items()
        if age_s > _exclusive_s(state.records.get(fingerprint))
    }
    is_alone = len(ages_s) == 1 and not isolation.count_peer_work(
        state.peer_loads, event.target, now_s)
    state = state._replace(runs=_remove(state.runs, event.target),
                           reservations=_remove(state.reservations,
                                                event.target))
    commands: list[events.Command] = []
    for fingerprint, age_s in sorted(ages_s.items()):
        if fingerprint in unlikely and len(unlikely) < len(ages_s):
            continue  # It ran for longer than before its earlier crash.
        previous = state.records.get(fingerprint, Record(now_s))
        previous = previous._replace(died_on=previous.died_on or event.target)
        record = _add_crash(previous, age_s, is_alone, now_s)
        state = _set_record(state, fingerprint, record)
        if record.refused_until_s <= now_s:
            commands.append(events.Count("quarantine_suspect"))
            if len(ages_s) <= MAX_SHARED_SUSPECTS:
                commands.append(
                    events.ShareQuarantine(fingerprint, record.crashes,
                                           SUSPECT_TTL_S))
            continue
        died_on = ""
        if record.crashes_alone >= CRASHES_ALONE_TO_CONDEMN:
            died_on = record.died_on
            state = _clear_others(state, died_on)
        commands += [
            events.Count(
                "quarantine_condemned" if died_on else "quarantine_held"),
            events.ShareQuarantine(fingerprint, record.crashes,
                                   record.refused_until_s - now_s, "", died_on)
        ]
    return state, commands


@_step.register
def _(event: events.PeerLoad, state: State, now_s: float) -> Result:
    return state._replace(peer_loads=isolation.record_peer_load(
        state.peer_loads, event, now_s)), []


@_step.register
def _(event: events.QuarantineShared, state: State, now_s: float) -> Result:
    if event.crashes <= 0:
        return _clear_suspect(state, event.fingerprint, now_s), []
    lifted_s = state.lifted_s.get(event.fingerprint, -math.inf)
    if now_s - lifted_s < LIFTED_TTL_S:
        return state, []
    until_s = now_s + min(event.ttl_s, CONDEMNED_TTL_S)
    reserved = state.reservations
    if event.isolated_on:
        reserved = isolation.adopt_peer_reservation(reserved, event.fingerprint,
                                                    event.isolated_on, now_s)
    elif event.crashes >= CRASHES_TO_REFUSE:
        reserved = isolation.release(reserved, event.fingerprint)
    state = _clear_others(state._replace(reservations=reserved), event.died_on)
    record = state.records.get(event.fingerprint, Record(until_s))
    record = record._replace(crashes=max(record.crashes, event.crashes),
                             expires_s=max(record.expires_s, until_s))
    if event.crashes >= CRASHES_TO_REFUSE:
        record = record._replace(refused_until_s=max(record.refused_until_s,
                                                     until_s),
                                 expires_s=max(record.expires_s,
                                               until_s + SUSPECT_TTL_S))
    return _set_record(state, event.fingerprint,
                       record), [events.Count("quarantine_shared")]


@_step.register
def _(event: events.QuarantineLifted, state: State, now_s: float) -> Result:
    if event.fingerprint not in state.records:
        return state, []
    return _clear_suspect(state, event.fingerprint, now_s), [
        events.ShareQuarantine(event.fingerprint, 0, 0.0),
        events.Count("quarantine_lifted")
    ]


@_step.register
def _(event: events.Tick, state: State, now_s: float) -> Result:
    del event
    for target, runs in state.runs.items():
        expired = [
            k for k, run in runs.items()
            if now_s - run.disconnected_s >= DEATH_GRACE_S
        ]
        if expired:
            state = state._replace(
                runs=state.runs.set(target, _remove(runs, *expired)))
    if not (state.records or state.lifted_s or state.reservations):
        return state, []
    commands: list[events.Command] = []
    for target in isolation.list_unshared_targets(state.reservations):
        fingerprint = state.reservations[target].fingerprint
        record = state.records.get(fingerprint, Record(now_s))
        commands.append(
            events.ShareQuarantine(fingerprint, max(1, record.crashes),
                                   SUSPECT_TTL_S, target))
    expired_records = [
        key for key, record in state.records.items()
        if record.expires_s <= now_s
    ]
    expired_lifts = [
        key for key, lifted_s in state.lifted_s.items()
        if now_s - lifted_s >= LIFTED_TTL_S
    ]
    return state._replace(records=_remove(state.records, *expired_records),
                          lifted_s=_remove(state.lifted_s, *expired_lifts),
                          reservations=isolation.expire(
                              isolation.mark_shared(state.reservations),
                              now_s)), commands


def _add_crash(record: Record, age_s: float, is_alone: bool,
               now_s: float) -> Record:
    record = record._replace(crashes=record.crashes + 1,
                             crashes_alone=record.crashes_alone + is_alone,
                             age_s=max(record.age_s, age_s),
                             expires_s=now_s + SUSPECT_TTL_S)
    if record.crashes < CRASHES_TO_REFUSE:
        return record
    ttl_s = min(CONDEMNED_TTL_S / 2,
                HOLD_TTL_S * 2**(record.crashes - CRASHES_TO_REFUSE))
    if record.crashes_alone >= CRASHES_ALONE_TO_CONDEMN:
        ttl_s = CONDEMNED_TTL_S
    # It stays a suspect after the refusal, so that it runs in isolation.
    return record._replace(refused_until_s=now_s + ttl_s,
                           expires_s=now_s + ttl_s + SUSPECT_TTL_S)


def _set_record(state: State, fingerprint: str, record: Record) -> State:
    if len(state.records) >= MAX_RECORDS and fingerprint not in state.records:
        return state  # Expiry makes room; a poison request returns.
    return state._replace(records=state.records.set(fingerprint, record))


def _clear_suspect(state: State, fingerprint: str, now_s: float) -> State:
    records = _remove(state.records, fingerprint)
    return state._replace(records=records,
                          reservations=isolation.release(
                              state.reservations, fingerprint,
                              now_s if records else None),
                          lifted_s=state.lifted_s.set(fingerprint, now_s))


def _clear_others(state: State, died_on: str) -> State:
    """Clears the other suspects of a death whose cause is condemned."""
    if not died_on:
        return state
    for fingerprint, record in state.records.items():
        if record.died_on == died_on and record.crashes < CRASHES_TO_REFUSE:
            state = state._replace(records=state.records.delete(fingerprint),
                                   reservations=isolation.release(
                                       state.reservations, fingerprint))
    return state


def _exclusive_s(record: Record | None) -> float:
    if record is None or not record.crashes:
        return math.inf
    return _AGE_FACTOR * record.age_s + _AGE_MARGIN_S


def _is_run_pending(state: State, fingerprint: str, record: Record,
                    now_s: float) -> bool:
    """Returns whether a suspect is running or a run may have been a crash.

    A broken attempt may turn out to be a crash: a suspect that could thus reach
    `CRASHES_TO_REFUSE` uses no further target within `DEATH_GRACE_S`.
    """
    if isolation.is_reserved_by_peer(state.reservations, fingerprint):
        return True
    broken = 0
    for runs in state.runs.values():
        for run in runs.values():
            if run.fingerprint == fingerprint:
                if run.disconnected_s == math.inf:
                    return True
                broken += now_s - run.disconnected_s < DEATH_GRACE_S
    return bool(broken) and record.crashes + broken >= CRASHES_TO_REFUSE


def _runs_suspect(state: State, target: str, now_s: float) -> bool:
    return bool(state.records) and any(
        run.fingerprint in state.records and run.disconnected_s == math.inf and
        now_s - run.started_s < _exclusive_s(state.records[run.fingerprint])
        for run in state.runs.get(target, _NO_RUNS).values())


def _count_work(state: State, target: str, now_s: float) -> int:
    running = sum(run.disconnected_s == math.inf
                  for run in state.runs.get(target, _NO_RUNS).values())
    return running + isolation.count_peer_work(state.peer_loads, target, now_s)


def _remove(items: immutables.Map, *keys: str) -> immutables.Map:
    for key in keys:
        if key in items:
            items = items.delete(key)
    return items
