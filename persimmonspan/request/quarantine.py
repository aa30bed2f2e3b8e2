"""Quarantine of requests, and of parts of prompts, that crash targets.

When a target dies, each request that was in flight on it may be the cause: the
request as a whole, which its caller repeats, or a part of its prompt, which
other requests share. Evidence is therefore kept by fingerprint, for whole
requests and for parts alike. Suspects run like other requests, on any target:

- A target that dies counts against the requests that it had not answered for
  long, or against all if there are none, and among their fingerprints against
  the most suspected only. A sound part of a prompt is thus not blamed for the
  one beside it.
- An answer clears a fingerprint: no target survives one that crashes targets.
- `crash_evidence.CRASHES_TO_REFUSE` crashes without an answer in between
  condemn it; for a whole request two are enough if it was alone on a target
  once. Crashes within `crash_evidence.MIN_CRASH_INTERVAL_S` may have one cause
  and count once. A part needs crashes of two different requests. Of parts that
  always came together, the last one in the prompt is condemned; the next crash
  shows whether it was another.

A stream goes on from copies of its memory, and counts as answered. The deaths
of the targets that ran it one after the other are counted with its run,
whatever ran beside it: `crash_evidence.DEATHS_TO_REFUSE` of them condemn the
request, and the stream goes on at no other target.

A condemned fingerprint is refused for `REFUSAL_TTL_S`. It then needs one more
crash to be refused again.

A target may also end without a reset, and its entry tells it later
(`events.TargetLost`). It counts in the same way, but the moment of its end is
not known: what ran at the time of an earlier crash may have ended with it.

Connections break before a death is reported: a request whose attempt broke
counts as in flight for `DEATH_GRACE_S`, or until the target is known to live. A
request that might crash too many targets until then waits (`must_wait`). A
crash is not alone if the last `PeerLoad` of a peer shows work there.

Daemons share counted crashes, refusals and cleared fingerprints. Of two counts
the higher one holds, so that crashes that two daemons count at the same time
count once. A report carries the time for which it still holds; from this the
receiver knows whether it is older than an answer.

The scheduler runs `find_refused` and `must_wait` before each dispatch,
`record_dispatch` for each `events.Dispatch`, and `step` for its events.

>>> state = State()
>>> for number, target in enumerate(("e1", "e2", "e3")):
...     request = crash_evidence.Fingerprints(f"request-{number}",
...                                          ("part:shared",))
...     state = record_dispatch(state, f"r{number}", request, target, number)
...     state, _ = step(state, events.TargetDied(target), number + 0.5)
>>> request = crash_evidence.Fingerprints("request-9", ("part:shared",))
>>> find_refused(state, request, 3.0)
'part:shared'
>>> request = crash_evidence.Fingerprints("request-9", ("part:other",))
>>> find_refused(state, request, 3.0)
"""

import functools
import math
import typing

import immutables

from persimmonspan.request import crash_evidence
from persimmonspan.request import events

REFUSAL_TTL_S = 600.0
DEATH_GRACE_S = 5.0
# Reports of crashes until this long after an answer are taken for older than
# the answer, as they were on their way for a while.
ANSWER_MARGIN_S = 1.0
MAX_RECORDS = 4096
MAX_SHARED_SUSPECTS = 128  # Per death; keeps gossip in its byte budget.
MAX_SHARED_REFUSALS = 16
_PEER_LOAD_TTL_S = 5.0  # A peer that left has no work on a target.
_MAY_RUN = frozenset({
    events.Outcome.FAILED_BEFORE_FIRST_TOKEN,
    events.Outcome.FAILED_AFTER_FIRST_TOKEN, events.Outcome.CANCELLED,
    events.Outcome.INTERRUPTED
})


class _PeerLoads(typing.NamedTuple):
    at_s: float
    outstanding: immutables.Map[str, int]


class State(typing.NamedTuple):
    """Requests in flight, and the records of fingerprints.

    `runs` are kept by request id and target. `cleared_s` holds the time at
    which a fingerprint was cleared last.
    """

    runs: immutables.Map[tuple[str, str], crash_evidence.Run] = immutables.Map()
    records: immutables.Map[str, crash_evidence.Record] = immutables.Map()
    cleared_s: immutables.Map[str, float] = immutables.Map()
    peer_loads: immutables.Map[str, _PeerLoads] = immutables.Map()


Result = tuple[State, list[events.Command]]


def find_refused(state: State, fingerprints: crash_evidence.Fingerprints,
                 now_s: float) -> str | None:
    """Returns the fingerprint for which a request is refused, or None."""
    if not state.records:
        return None
    for fingerprint in (fingerprints.request, *fingerprints.parts):
        if refused_for_s(state, fingerprint, now_s) > 0:
            return fingerprint
    return None


def refused_for_s(state: State, fingerprint: str, now_s: float) -> float:
    """Returns for how long a fingerprint is still refused, at least zero."""
    record = state.records.get(fingerprint)
    return 0.0 if record is None else max(0.0, record.refused_until_s - now_s)


def is_suspect(state: State, fingerprints: crash_evidence.Fingerprints,
               now_s: float) -> bool:
    """Returns whether a crash counts against a request or a part of it."""
    return bool(state.records) and any(
        _crashes(state, fingerprint, now_s)
        for fingerprint in (fingerprints.request, *fingerprints.parts))


def must_wait(state: State, request_id: str, fingerprint: str,
              now_s: float) -> bool:
    """Returns whether a request waits until deaths of its targets are known."""
    crashes = _crashes(state, fingerprint, now_s)
    broken = sum(
        key[0] == request_id and run.disconnected_s < math.inf and now_s -
        run.disconnected_s < DEATH_GRACE_S for key, run in state.runs.items())
    return bool(
        broken) and crashes + broken >= crash_evidence.CRASHES_TO_REFUSE_ALONE


def list_refusals(state: State,
                  now_s: float) -> tuple[events.QuarantineShared, ...]:
    """Returns the refusals in force, the latest first, to tell a new peer."""
    latest = sorted(((record.refused_until_s, fingerprint)
                     for fingerprint, record in state.records.items()
                     if record.refused_until_s > now_s),
                    reverse=True)[:MAX_SHARED_REFUSALS]
    return tuple(
        events.QuarantineShared(
            *_report(fingerprint, state.records[fingerprint], now_s))
        for _, fingerprint in latest)


def record_dispatch(state: State, request_id: str,
                    fingerprints: crash_evidence.Fingerprints, target: str,
                    now_s: float) -> State:
    """Records that a request was sent to a target."""
    return state._replace(
        runs=state.runs.set((request_id,
                             target), crash_evidence.Run(fingerprints, now_s)))


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
    key = (event.request_id, event.target)
    run = state.runs.get(key)
    if run is None:
        return state, []
    if event.outcome in _MAY_RUN:
        return state._replace(
            runs=state.runs.set(key, run._replace(disconnected_s=now_s))), []
    state = state._replace(runs=state.runs.delete(key))
    if event.outcome is not events.Outcome.COMPLETED:
        return state, []
    return _clear_answered(state,
                           (run.fingerprints.request, *run.fingerprints.parts),
                           now_s)


@_step.register
def _(event: events.Progressed, state: State, now_s: float) -> Result:
    key = (event.request_id, event.target)
    run = state.runs.get(key)
    if run is None or run.is_answered:
        return state, []
    # Not at the first token: a target may still send it and then crash.
    state = state._replace(
        runs=state.runs.set(key, run._replace(is_answered=True)))
    return _clear_answered(state, run.fingerprints.parts, now_s)


@_step.register
def _(event: events.RequestMoved, state: State, now_s: float) -> Result:
    for (request_id, target), run in state.runs.items():
        if request_id != event.request_id or run.disconnected_s < math.inf:
            continue
        runs = state.runs.set((request_id, target),
                              run._replace(disconnected_s=now_s))
        runs = runs.set((request_id, event.target),
                        crash_evidence.Run(run.fingerprints,
                                           now_s,
                                           True,
                                           deaths=run.deaths))
        return state._replace(runs=runs), []
    return state, []


@_step.register(events.TargetDied)
@_step.register(events.TargetLost)
def _(event: events.TargetDied | events.TargetLost, state: State,
      now_s: float) -> Result:
    in_flight = {
        key: run
        for key, run in state.runs.items()
        if key[1] == event.target and now_s - run.disconnected_s < DEATH_GRACE_S
    }
    state = state._replace(runs=_remove(state.runs, *in_flight))
    state, outlived = _count_deaths(state, in_flight)
    suspects = crash_evidence.list_suspects(in_flight.values())
    most = max(
        (_crashes(state, fingerprint, now_s) for fingerprint in suspects),
        default=0)
    is_alone = len(in_flight) == 1 and not _count_peer_work(
        state, event.target, now_s)
    counted: dict[str, crash_evidence.Record] = {}
    for fingerprint, runs in sorted(suspects.items()):
        record = _find_record(state, fingerprint, now_s)
        run = next((run for run in runs if crash_evidence.is_another_crash(
            record, run, now_s, isinstance(event, events.TargetLost))), None)
        if record.crashes == most and run is not None:
            counted[fingerprint] = crash_evidence.add_crash(
                record, run, is_alone, now_s)
    guilty = {
        fingerprint for fingerprint, record in counted.items()
        if crash_evidence.is_proven(fingerprint, record)
    }
    for fingerprint, run in outlived.items():
        record = counted.get(fingerprint, _find_record(state, fingerprint,
                                                       now_s))
        counted[fingerprint] = crash_evidence.condemn(record, run, now_s)
        suspects.setdefault(fingerprint, (run,))
    guilty.update(outlived)
    commands: list[events.Command] = []
    for fingerprint, record in counted.items():
        if fingerprint in guilty and not crash_evidence.is_explained(
                fingerprint, suspects[fingerprint], guilty):
            until_s = now_s + REFUSAL_TTL_S
            record = record._replace(refused_until_s=until_s,
                                     expires_s=until_s +
                                     crash_evidence.SUSPECT_TTL_S)
            state, more = _clear_explained(state, record, now_s)
            commands += more
        state = _set_record(state, fingerprint, record)
        is_refused = record.refused_until_s > now_s
        commands.append(
            events.Count(
                "quarantine_condemned" if is_refused else "quarantine_suspect"))
        if is_refused or len(suspects) <= MAX_SHARED_SUSPECTS:
            commands.append(
                events.ShareQuarantine(*_report(fingerprint, record, now_s)))
    return state, commands


def _count_deaths(
    state: State, in_flight: dict[tuple[str, str], crash_evidence.Run]
) -> tuple[State, dict[str, crash_evidence.Run]]:
    """Counts a death in the runs that go on elsewhere.

    Returns:
        The state, and the runs of requests that too many targets ran when they
        died, by fingerprint.
    """
    outlived: dict[str, crash_evidence.Run] = {}
    deaths = {
        request_id: run._replace(deaths=run.deaths + 1)
        for (request_id, _), run in in_flight.items()
    }
    runs = state.runs
    for key, run in state.runs.items():
        died = deaths.get(key[0])
        if died is not None and run.deaths < died.deaths:
            runs = runs.set(key, run._replace(deaths=died.deaths))
    for run in deaths.values():
        if run.deaths >= crash_evidence.DEATHS_TO_REFUSE:
            outlived[run.fingerprints.request] = run
    return state._replace(runs=runs), outlived


@_step.register(events.LoadReported)
@_step.register(events.TargetAlive)
def _(event: events.LoadReported | events.TargetAlive, state: State,
      now_s: float) -> Result:
    broken = [
        key for key, run in state.runs.items()
        if key[1] == event.target and run.disconnected_s < now_s
    ]
    return state._replace(runs=_remove(state.runs, *broken)), []


@_step.register
def _(event: events.PeerLoad, state: State, now_s: float) -> Result:
    outstanding = immutables.Map(
        {load.target: load.outstanding for load in event.loads})
    return state._replace(peer_loads=state.peer_loads.set(
        event.daemon, _PeerLoads(now_s, outstanding))), []


@_step.register
def _(event: events.QuarantineShared, state: State, now_s: float) -> Result:
    if event.crashes <= 0:
        return _clear(state, event.fingerprint, now_s), []
    full_ttl_s = (REFUSAL_TTL_S
                  if event.is_refused else crash_evidence.SUSPECT_TTL_S)
    crashed_s = now_s - max(0.0, full_ttl_s - event.ttl_s)
    cleared_s = state.cleared_s.get(event.fingerprint, -math.inf)
    if crashed_s <= cleared_s + ANSWER_MARGIN_S:
        return state, []
    record = _find_record(state, event.fingerprint, now_s)
    if event.crashes > record.crashes:
        record = record._replace(crashes=event.crashes,
                                 crashes_alone=max(record.crashes_alone,
                                                   event.crashes_alone),
                                 requests=event.requests,
                                 crashed_s=now_s)
    until_s = now_s + min(event.ttl_s, full_ttl_s)
    if event.is_refused:
        record = record._replace(
            refused_until_s=max(record.refused_until_s, until_s))
        until_s += crash_evidence.SUSPECT_TTL_S
    record = record._replace(expires_s=max(record.expires_s, until_s))
    return _set_record(state, event.fingerprint,
                       record), [events.Count("quarantine_shared")]


@_step.register
def _(event: events.QuarantineLifted, state: State, now_s: float) -> Result:
    if event.fingerprint not in state.records:
        return state, []
    return _clear(state, event.fingerprint, now_s), [
        events.ShareQuarantine(event.fingerprint, 0, 0.0),
        events.Count("quarantine_lifted")
    ]


@_step.register
def _(event: events.Tick, state: State, now_s: float) -> Result:
    del event
    expired_runs = [
        key for key, run in state.runs.items()
        if now_s - run.disconnected_s >= DEATH_GRACE_S
    ]
    expired_records = [
        key for key, record in state.records.items()
        if record.expires_s <= now_s
    ]
    expired_answers = [
        key for key, cleared_s in state.cleared_s.items()
        if now_s - cleared_s >= REFUSAL_TTL_S
    ]
    return state._replace(runs=_remove(state.runs, *expired_runs),
                          records=_remove(state.records, *expired_records),
                          cleared_s=_remove(state.cleared_s,
                                            *expired_answers)), []


def _clear_explained(state: State, record: crash_evidence.Record,
                     now_s: float) -> Result:
    """Lifts refusals of parts whose crashes the condemned one explains."""
    return _clear_answered(state, [
        fingerprint for fingerprint, other in state.records.items()
        if refused_for_s(state, fingerprint, now_s) > 0 and fingerprint not in
        other.requests and set(other.requests) < set(record.requests)
    ], now_s)


def _report(fingerprint: str, record: crash_evidence.Record,
            now_s: float) -> tuple[typing.Any, ...]:
    """Returns the fields of a report to peers."""
    is_refused = record.refused_until_s > now_s
    until_s = record.refused_until_s if is_refused else record.expires_s
    return (fingerprint, record.crashes, until_s - now_s, record.crashes_alone,
            record.requests, is_refused)


def _find_record(state: State, fingerprint: str,
                 now_s: float) -> crash_evidence.Record:
    record = state.records.get(fingerprint)
    if record is None or record.expires_s <= now_s:
        return crash_evidence.Record(now_s)
    return record


def _crashes(state: State, fingerprint: str, now_s: float) -> int:
    return _find_record(state, fingerprint, now_s).crashes


def _set_record(state: State, fingerprint: str,
                record: crash_evidence.Record) -> State:
    if len(state.records) >= MAX_RECORDS and fingerprint not in state.records:
        return state  # Expiry makes room; a poison request returns.
    return state._replace(records=state.records.set(fingerprint, record))


def _clear_answered(state: State, fingerprints: typing.Iterable[str],
                    now_s: float) -> Result:
    """Clears those of the fingerprints against which there is evidence."""
    commands: list[events.Command] = []
    for fingerprint in fingerprints:
        if fingerprint in state.records:
            state = _clear(state, fingerprint, now_s)
            commands += [
                events.ShareQuarantine(fingerprint, 0, 0.0),
                events.Count("quarantine_cleared")
            ]
    return state, commands


def _clear(state: State, fingerprint: str, now_s: float) -> State:
    return state._replace(records=_remove(state.records, fingerprint),
                          cleared_s=state.cleared_s.set(fingerprint, now_s))


def _count_peer_work(state: State, target: str, now_s: float) -> int:
    """Returns how many requests of peers a target runs by their reports."""
    return sum(
        loads.outstanding.get(target, 0)
        for loads in state.peer_loads.values()
        if now_s - loads.at_s < _PEER_LOAD_TTL_S)


def _remove(items: immutables.Map, *keys: typing.Hashable) -> immutables.Map:
    for key in keys:
        if key in items:
            items = items.delete(key)
    return items
