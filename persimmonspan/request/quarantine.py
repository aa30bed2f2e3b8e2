"""Requests that crash each target that runs them (poison requests).

When a target dies, each request that was in flight on it may be the cause. A
crash is evidence against one request only if that request was alone there; a
crash beside others makes all of them suspects and condemns none. A suspect runs
again only in isolation: on one target where nothing else of ours is in flight.
A completed run clears it, since a poison request crashes every target that
runs it; so does the condemnation of another suspect for the same death.
`CRASHES_TO_REFUSE` crashes, of which `CRASHES_ALONE_TO_CONDEMN` alone, condemn it. After as
many crashes, none of them alone, it is held: refused for `HOLD_TTL_S`, twice as
long each time, and then tried in isolation once more. A poison request thus
kills two targets before it is refused, and an innocent one waits for its turn.

The isolated run has the target for itself only as long as the crash took
before, with a margin; a longer run stays a suspect but no longer blocks it.

Connections break before the death of a target is known. A request whose attempt
broke is therefore a suspect for `DEATH_REPORT_GRACE_S` in any case, and a death that becomes
known within `DEATH_REPORT_GRACE_S` still finds it.

Suspects and refused fingerprints are shared, because a caller's repeat reaches
another daemon, and so is the target of an isolated run, which peers then keep
free too. A crash is not alone if a peer had work on the target by its last
`PeerLoad`.

How to call it: `plan` before each dispatch, `reserve` for a plan with a target,
`record_dispatch` for each `events.Dispatch`, and `step` with the scheduler's events.
No other work may go to a target for which `is_reserved` returns true. The
commands are `ShareQuarantine` and `Count`.

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
    `persimmonspan.request.isolation`: the targets kept free.
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
DEATH_REPORT_GRACE_S = 5.0
TARGETS_PER_RESERVATION = 3  # At most one in so many targets is kept for suspects.
LIFTED_TTL_S = 60.0  # Reports that peers sent before a lift are void.
MAX_RECORDS = 4096
MAX_SHARED_SUSPECTS = 128  # Suspects of one death; keeps gossip under its byte budget.
_AGE_FACTOR = 1.5
_AGE_MARGIN_S = 1.0
_BROKEN_OUTCOMES = frozenset({
    events.Outcome.FAILED_BEFORE_FIRST_TOKEN,
    events.Outcome.FAILED_AFTER_FIRST_TOKEN
})
_POSSIBLY_RUNNING_OUTCOMES = _BROKEN_OUTCOMES | {
    events.Outcome.CANCELLED, events.Outcome.INTERRUPTED
}


class Action(enum.StrEnum):
    """What to do with a request that is about to be sent."""

    ANY = "any"  # Not a suspect: any target that is not reserved.
    ISOLATE = "isolate"  # Send it to the planned target, and nothing else.
    DRAIN = "drain"  # Reserve the planned target and plan again later.
    WAIT = "wait"  # No target may be reserved now, or the same one runs.
    REFUSE = "refuse"


class Plan(typing.NamedTuple):
    """How to run a request, and where if that matters."""

    action: Action
    target: str | None = None


class Record(typing.NamedTuple):
    """What is known against a fingerprint."""

    expires_s: float
    crashes: int = 0
    crashes_alone: int = 0
    age_s: float = 0.0  # The longest that it ran before a crash.
    refused_until_s: float = -math.inf
    died_on: str = ""  # The first target that it crashed, or may have.


class _Run(typing.NamedTuple):
    fingerprint: str
    started_s: float
    disconnected_s: float = math.inf


_Runs = immutables.Map[str, _Run]
_NO_RUNS: _Runs = immutables.Map()


class State(typing.NamedTuple):
    """Attempts in flight per target, and the records of fingerprints.

    `lifted_s` holds when a fingerprint was lifted or cleared.
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
    reserved_target = isolation.find_reserved_target(state.reservations,
                                                     fingerprint)
    if reserved_target in targets:
        waited_s = now_s - state.reservations[reserved_target].since_s
        is_busy = _count_work(state, reserved_target, now_s) > 0
        is_ready = waited_s >= (
            isolation.MAX_DRAIN_S if is_busy else
            isolation.ANNOUNCEMENT_DELAY_S if state.peer_loads else 0.0)
        return Plan(Action.ISOLATE if is_ready else Action.DRAIN,
                    reserved_target)
    candidates = [
        target for target in targets
        if not _runs_suspect(state, target, now_s) and
        (isolation.is_open(state.reservations, target) or
         not isolation.is_reserved(state.reservations, target, now_s))
    ]
    reserved_count = len(targets) - len(candidates)
    if not candidates or reserved_count >= max(
            1,
            len(targets) // TARGETS_PER_RESERVATION):
        return Plan(Action.WAIT)
    work, _, target = min((_count_work(state, item, now_s),
                           isolation.rank(fingerprint, item), item)
                          for item in candidates)
    must_wait = work or state.peer_loads
    return Plan(Action.DRAIN if must_wait else Action.ISOLATE, target)


def reserve(state: State, fingerprint: str, target: str, now_s: float) -> State:
    """Keeps a target free for a suspect; a repeated call changes nothing."""
    return state._replace(reservations=isolation.reserve(
        state.reservations, fingerprint, target, now_s))


def is_reserved(state: State, target: str, now_s: float) -> bool:
    """Returns whether a target is kept for a suspect or runs one."""
    return (isolation.is_reserved(state.reservations, target, now_s) or
            _runs_suspect(state, target, now_s))


def suspect_age_s(state: State, fingerprint: str) -> float | None:
    """Returns how long a suspect ran before it may have crashed a target.

    None if it is no suspect. Suspects with a low age should be planned first:
    they are tried fast, and a poison request crashes fast more often than not.
    """
    record = state.records.get(fingerprint)
    return None if record is None else record.age_s


def is_quarantined(state: State, fingerprint: str, now_s: float) -> bool:
    """Returns whether a request is refused everywhere at present."""
    record = state.records.get(fingerprint)
    return record is not None and record.refused_until_s > now_s


def record_dispatch(state: State, request_id: str, fingerprint: str,
                    target: str, now_s: float) -> State:
    """Notes that a request was sent to a target."""
    runs = state.runs.get(target, _NO_RUNS).set(request_id,
                                                _Run(fingerprint, now_s))
    state = state._replace(runs=state.runs.set(target, runs))
    return state._replace(reservations=isolation.mark_running(
        state.reservations, fingerprint, target))


def step(state: State,
         event: events.Event,
         now_s: float,
         rng: object = None) -> Result:
    """Returns the next state with what to share and to count."""
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
    if event.outcome in _POSSIBLY_RUNNING_OUTCOMES:
        runs = runs.set(event.request_id, run._replace(disconnected_s=now_s))
    else:
        runs = runs.delete(event.request_id)
    state = state._replace(runs=state.runs.set(event.target, runs))
    record = state.records.get(run.fingerprint)
    if event.outcome in _BROKEN_OUTCOMES and record is None:
        return _set_record(state, run.fingerprint,
                           Record(now_s + DEATH_REPORT_GRACE_S)), []
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
        if now_s - run.disconnected_s < DEATH_REPORT_GRACE_S:
            age_s = min(now_s, run.disconnected_s) - run.started_s
            ages_s[run.fingerprint] = max(ages_s.get(run.fingerprint, 0.0),
                                          age_s)
    unlikely = {
        fingerprint for fingerprint, age_s in ages_s.items()
        if age_s > _exclusive_time_s(state.records.get(fingerprint))
    }
    is_alone = len(ages_s) == 1 and not isolation.count_peer_work(
        state.peer_loads, event.target, now_s)
    state = state._replace(runs=_remove_keys(state.runs, event.target),
                           reservations=_remove_keys(state.reservations,
                                                     event.target))
    commands: list[events.Command] = []
    for fingerprint, age_s in sorted(ages_s.items()):
        if fingerprint in unlikely and len(unlikely) < len(ages_s):
            continue  # It ran alone for longer than its first crash took.
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
            state = _clear_explained_suspects(state, died_on)
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
    reservations = state.reservations
    if event.isolated_on:
        reservations = isolation.adopt_peer_reservation(reservations,
                                                        event.fingerprint,
                                                        event.isolated_on,
                                                        now_s)
    elif event.crashes >= CRASHES_TO_REFUSE:
        reservations = isolation.release(reservations, event.fingerprint)
    state = _clear_explained_suspects(state._replace(reservations=reservations),
                                      event.died_on)
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
            if now_s - run.disconnected_s >= DEATH_REPORT_GRACE_S
        ]
        if expired:
            state = state._replace(
                runs=state.runs.set(target, _remove_keys(runs, *expired)))
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
    return state._replace(records=_remove_keys(state.records, *expired_records),
                          lifted_s=_remove_keys(state.lifted_s, *expired_lifts),
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
    # It stays a suspect after the refusal, so that it starts in isolation.
    return record._replace(refused_until_s=now_s + ttl_s,
                           expires_s=now_s + ttl_s + SUSPECT_TTL_S)


def _set_record(state: State, fingerprint: str, record: Record) -> State:
    if len(state.records) >= MAX_RECORDS and fingerprint not in state.records:
        return state  # Expiry makes room; a poison request comes again.
    return state._replace(records=state.records.set(fingerprint, record))


def _clear_suspect(state: State, fingerprint: str, now_s: float) -> State:
    records = _remove_keys(state.records, fingerprint)
    return state._replace(records=records,
                          reservations=isolation.release(
                              state.reservations, fingerprint,
                              now_s if records else None),
                          lifted_s=state.lifted_s.set(fingerprint, now_s))


def _clear_explained_suspects(state: State, died_on: str) -> State:
    """Clears those who are suspects only for a death that has its culprit."""
    if not died_on:
        return state
    for fingerprint, record in state.records.items():
        if record.died_on == died_on and record.crashes < CRASHES_TO_REFUSE:
            state = state._replace(records=state.records.delete(fingerprint),
                                   reservations=isolation.release(
                                       state.reservations, fingerprint))
    return state


def _exclusive_time_s(record: Record | None) -> float:
    if record is None or not record.crashes:
        return math.inf
    return _AGE_FACTOR * record.age_s + _AGE_MARGIN_S


def _is_run_pending(state: State, fingerprint: str, record: Record,
                    now_s: float) -> bool:
    """Returns whether a run of a suspect goes on or its end is not judged.

    Attempts that broke may turn out to be crashes: no further target is risked
    until that is known, once they would make `CRASHES_TO_REFUSE` with those known.
    """
    if isolation.is_reserved_by_peer(state.reservations, fingerprint):
        return True
    broken = 0
    for runs in state.runs.values():
        for run in runs.values():
            if run.fingerprint == fingerprint:
                if run.disconnected_s == math.inf:
                    return True
                broken += now_s - run.disconnected_s < DEATH_REPORT_GRACE_S
    return bool(broken) and record.crashes + broken >= CRASHES_TO_REFUSE


def _runs_suspect(state: State, target: str, now_s: float) -> bool:
    return bool(state.records) and any(
        run.fingerprint in state.records and run.disconnected_s == math.inf and
        now_s -
        run.started_s < _exclusive_time_s(state.records[run.fingerprint])
        for run in state.runs.get(target, _NO_RUNS).values())


def _count_work(state: State, target: str, now_s: float) -> int:
    running = sum(run.disconnected_s == math.inf
                  for run in state.runs.get(target, _NO_RUNS).values())
    return running + isolation.count_peer_work(state.peer_loads, target, now_s)


def _remove_keys(items: immutables.Map, *keys: str) -> immutables.Map:
    for key in keys:
        if key in items:
            items = items.delete(key)
    return items
