"""Slopes of the scheduler: step time per event kind, and memory of its state.

Step times are medians of `bench.policy_speed`. Times and memory of retry,
health and quarantine are those of `bench.decision_cost`,
which runs as a process of its own.
"""

import json
import pathlib
import random
import subprocess
import sys
import tempfile
import typing

from bench import capacity_fit
from bench import policy_speed
from persimmonspan.request import choice
from persimmonspan.request import events
from persimmonspan.request import scheduler

_KINDS = ("Arrived", "Progressed", "AttemptEnded", "LoadReported", "Tick")
# Targets, running and queued requests; one of them grows in each group.
_SIZES = {
    "targets in the subset": ((6, 60, 0), (12, 60, 0), (24, 60, 0)),
    "running requests": ((24, 100, 0), (24, 200, 0), (24, 400, 0)),
    "queue length": ((6, 200, 100), (6, 200, 1000), (6, 200, 4000)),
}
_SIZE_PEERS = 7
_PEERS = (8, 27, 81)
_LANES = (50, 220, 880)
_TARGETS = (575, 1150, 2300)
_FAILURE_DOMAINS = 12
_PEER_CALLS = 300
_CHANGE_CALLS = 3
_COMPLETIONS = 3


def measure() -> dict[str, typing.Any]:
    """Returns all slopes of the scheduler."""
    steps: dict[str, dict[str, capacity_fit.Line]] = {}
    for grown, (name, sizes) in enumerate(_SIZES.items()):
        points: dict[str, list[tuple[float, float]]] = {}
        for size in sizes:
            row = policy_speed.measure(*size, _SIZE_PEERS)
            reached = (size[0], row.live, row.waiting)[grown]
            for kind in _KINDS:
                points.setdefault(kind, []).append(
                    (reached, row.times_us[kind][0]))
        steps[name] = {
            kind: capacity_fit.line(rows) for kind, rows in points.items()
        }
    steps["peers"] = {
        "PeerLoad": capacity_fit.times(_PEERS, _peer_step, _PEER_CALLS)
    }
    steps["targets in the inventory"] = {
        "TargetsChanged":
            capacity_fit.times(_TARGETS, _change_step, _CHANGE_CALLS)
    }
    return {"step_us": steps, "memory_bytes": _memory(), "parts": _parts()}


def _peer_load(names: typing.Iterable[str], peer: int) -> events.PeerLoad:
    return events.PeerLoad(
        f"p{peer}",
        tuple(
            events.TargetLoad(name, 3, 900 +
                              peer, (900, 900, 900, 900, 900, 900), 300)
            for name in names))


def _peer_step(peers: int) -> typing.Callable[[], object]:
    driver = policy_speed.Driver(choice.MAX_SUBSET_TARGETS, 400, 0, peers)
    event = _peer_load(driver.names, 0)
    return lambda: scheduler.step(driver.state, event, driver.now_s, driver.rng)


def _targets(count: int) -> tuple[events.Target, ...]:
    return tuple(
        events.Target(
            f"quote-model-{i}", "m", f"10.0.{i // 256}.{i % 256}:9000",
            f"domain-{i % _FAILURE_DOMAINS}", 65_536) for i in range(count))


def _change_step(count: int) -> typing.Callable[[], object]:
    event = events.TargetsChanged(2, _targets(count), (), (), "daemon-1")
    return lambda: scheduler.step(scheduler.State(), event, 1.0, random.Random(1
                                                                              ))


def _memory() -> dict[str, capacity_fit.Line]:
    """Returns traced bytes by size; sizes are those that were reached."""
    return {
        "running request":
            _reached(lambda n: _driven(24, n, 0), (100, 400, 800),
                     lambda state: len(state.running)),
        "queued request":
            _reached(lambda n: _driven(6, 200, n), (500, 1000, 4000),
                     lambda state: len(state.queue.requests)),
        "workspace x kind lane":
            _reached(_learned, _LANES, lambda state: len(state.lengths.lanes)),
        "target":
            _reached(_listed, (6, 12, 24),
                     lambda state: len(state.view.targets)),
        "peer":
            _reached(_with_peers, _PEERS, lambda state: len(state.view.peers)),
    }


def _reached(
        build: typing.Callable[[int], scheduler.State], sizes: tuple[int, ...],
        count: typing.Callable[[scheduler.State], int]) -> capacity_fit.Line:
    return capacity_fit.line(
        (count(build(size)),
         capacity_fit.traced_bytes(lambda size=size: build(size)))
        for size in sizes)


def _driven(targets: int, running: int, queued: int) -> scheduler.State:
    return policy_speed.Driver(targets, running, queued, 0).state


def _listed(count: int) -> scheduler.State:
    rng = random.Random(1)
    change = events.TargetsChanged(1, _targets(count), (), (), "daemon-1")
    state, _ = scheduler.step(scheduler.State(), change, 0.0, rng)
    for i in range(count):
        report = events.LoadReported(f"quote-model-{i}", 0.5, 20_000 + i,
                                     65_536, 20, 0, 0)
        state, _ = scheduler.step(state, report, 1.0, rng)
    return state


def _with_peers(count: int) -> scheduler.State:
    state = _listed(choice.MAX_SUBSET_TARGETS)
    names = [f"quote-model-{i}" for i in range(choice.MAX_SUBSET_TARGETS)]
    for i in range(count):
        state, _ = scheduler.step(state, _peer_load(names, i), 1.0,
                                  random.Random(1))
    return state


def _learned(lanes: int) -> scheduler.State:
    state = _listed(choice.MAX_SUBSET_TARGETS)
    rng = random.Random(1)
    for i in range(lanes):
        for k in range(_COMPLETIONS):
            state, commands = scheduler.step(
                state,
                events.Arrived(f"r{i}-{k}", f"w{i // 4}", f"k{i % 4}", "m", 300,
                               30_000, 1000.0, f"f{i}"), 2.0, rng)
            for command in commands:
                if isinstance(command, events.Dispatch):
                    state, _ = scheduler.step(
                        state,
                        events.AttemptEnded(command.request_id, command.target,
                                            events.Outcome.COMPLETED,
                                            100 * k + i % 300), 3.0, rng)
    return state


def _parts() -> dict[str, typing.Any]:
    with tempfile.TemporaryDirectory() as name:
        output = pathlib.Path(name, "decision_cost.json")
        subprocess.run([
            sys.executable, "-m", "bench.decision_cost", "--output",
            str(output)
        ],
                       check=True,
                       stdout=subprocess.DEVNULL)
        return json.loads(output.read_text(encoding="utf-8"))
