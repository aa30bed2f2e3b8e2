"""Time and memory of the decisions of retry, health, quarantine and the rest.

Each decision is called in a loop at several numbers of targets or requests; the
slope is a least-squares line over those numbers. Memory is what `tracemalloc`
sees for a state that is built up.

Run `python -m bench.decision_cost`; the result goes to
`out/decision_cost.json`. Times depend on the machine.
"""

import argparse
import json
import pathlib
import statistics
import time
import tracemalloc
import typing

from persimmonspan.process import health
from persimmonspan.process import leaving
from persimmonspan.request import crash_evidence
from persimmonspan.request import events
from persimmonspan.request import hedging
from persimmonspan.request import quarantine
from persimmonspan.request import retry

_TARGETS = (6, 32, 128)
_STREAMS = 16  # Per target.
_CALLS = 2000
_ROUNDS = 7


def _targets(count: int) -> tuple[events.Target, ...]:
    return tuple(
        events.Target(f"e{i}", "drafts", "", "lima-a") for i in range(count))


def _health_state(count: int) -> health.State:
    state, _ = health.step(health.State(),
                           events.TargetsChanged(1, _targets(count), (), ()),
                           0.0)
    for i in range(count * _STREAMS):
        name, request = f"e{i % count}", f"r{i}"
        for event in (events.Dispatch(request, name, 0,
                                      1), events.FirstToken(request, name),
                      events.Progressed(request, name, 9)):
            state, _ = health.step(state, event, 0.1 * i / count)
    return state


def _quarantine_state(count: int) -> quarantine.State:
    state = quarantine.State()
    for i in range(count * _STREAMS):
        state = quarantine.record_dispatch(state, f"r{i}",
                                           crash_evidence.Fingerprints(f"f{i}"),
                                           f"e{i % count}", 0.0)
    return state


def _leaving_state(count: int) -> leaving.State:
    placed = tuple((f"e{i}", f"v{i}") for i in range(count))
    state, _ = leaving.step(leaving.State(), leaving.VmsAssigned(placed), 0.0)
    for i in range(count):
        state, _ = leaving.step(state, leaving.IncarnationSeen(f"e{i}", "a"),
                                0.0)
        state, _ = leaving.step(state, leaving.ReclaimNoticed(f"v{i}"), 1.0)
    return state


def _retry_state(count: int) -> retry.State:
    state = retry.State()
    for i in range(count * _STREAMS):
        state, _ = retry.admit_request(state, retry.Request("drafts", f"k{i}"),
                                       0.0)
    return state


def _hedge_state() -> hedging.State:
    state = hedging.set_limits(hedging.State(), 1.0, 2.0)
    for _ in range(_STREAMS * 4):
        state = hedging.record_latency(state, "drafts", "k", 0.1)
        state = hedging.record_success(state, "drafts", 0.1, 1.0)
    return state


def _microseconds(call: typing.Callable[[], object]) -> float:
    times = []
    for _ in range(_ROUNDS):
        begin_s = time.perf_counter()
        for _ in range(_CALLS // _ROUNDS):
            call()
        times.append((time.perf_counter() - begin_s) / (_CALLS // _ROUNDS))
    return statistics.median(times) * 1e6


def _bytes(build: typing.Callable[[int], object], count: int) -> int:
    tracemalloc.start()
    state = build(count)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del state
    return used


def _calls(count: int) -> dict[str, typing.Callable[[], object]]:
    sick, quiet = _health_state(count), _quarantine_state(count)
    left, spent = _leaving_state(count), _retry_state(count)
    suspects, _ = quarantine.step(quiet, events.TargetDied("e0"), 1.0)
    new = crash_evidence.Fingerprints("new", ("part:a", "part:b"))
    attempt = retry.Attempt("drafts", ("e1",), True, True)
    request = retry.Request("drafts", "new")
    hedges = _hedge_state()
    hedged = hedging.Request("drafts", "k", 1.0)
    return {
        "retry.arrived":
            lambda: retry.admit_request(spent, request, 1.0),
        "retry.may_retry":
            lambda: retry.may_retry(spent, attempt, events.Outcome.REFUSED),
        "hedging.decide":
            lambda: hedging.decide(hedges, hedged, 1.0),
        "hedging.record_latency":
            lambda: hedging.record_latency(hedges, "drafts", "k", 0.1),
        "health.step Progressed":
            lambda: health.step(sick, events.Progressed("r1", "e1", 20), 99.0),
        "health.step Tick (evaluation)":
            lambda: health.step(sick, events.Tick(), 99.0),
        "health.weight":
            lambda: health.weight(sick, "e1"),
        "quarantine.find_refused, no suspect":
            lambda: quarantine.find_refused(quiet, new, 1.0),
        "quarantine.find_refused, suspects":
            lambda: quarantine.find_refused(suspects, new, 1.0),
        "quarantine.record_dispatch":
            lambda: quarantine.record_dispatch(quiet, "new", new, "e1", 1.0),
        "quarantine.step TargetDied":
            lambda: quarantine.step(quiet, events.TargetDied("e1"), 1.0),
        "leaving.is_leaving":
            lambda: leaving.is_leaving(left, "e1"),
        "leaving.step Reclaimed":
            lambda: leaving.step(left, leaving.ReclaimNoticed("e1"), 2.0),
    }


def _slope(rows: list[tuple[float, float]]) -> float:
    return statistics.linear_regression([x for x, _ in rows],
                                        [y for _, y in rows]).slope


def main() -> None:
    """Measures all decisions and writes them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output",
                        type=pathlib.Path,
                        default=pathlib.Path("out/decision_cost.json"))
    options = parser.parse_args()
    result: dict[str, typing.Any] = {"time_us": {}, "memory_bytes": {}}
    for count in _TARGETS:
        for name, call in _calls(count).items():
            result["time_us"].setdefault(name, {})[count] = _microseconds(call)
    for name, row in result["time_us"].items():
        row["slope_per_target"] = _slope([(n, row[n]) for n in _TARGETS])
    for name, build in (("retry, per request",
                         _retry_state), ("health, per request", _health_state),
                        ("quarantine, per request", _quarantine_state)):
        rows = [(n * _STREAMS, _bytes(build, n)) for n in _TARGETS]
        result["memory_bytes"][name] = _slope(rows)
    rows = [(n, _bytes(_leaving_state, n)) for n in _TARGETS]
    result["memory_bytes"]["leaving, per target"] = _slope(rows)
    options.output.parent.mkdir(exist_ok=True)
    options.output.write_text(json.dumps(result, indent=1))
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
