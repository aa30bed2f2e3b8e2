"""Detection of stragglers and hangs by `process.health`, without any I/O.

Streams progress on targets whose time per token grows with their number; a
stream that ends is replaced by one on the less busy of two targets. One target
becomes slower, or hangs, or all become slower at once and unevenly (a load
spike). All times are simulated.

Run `python -m bench.health --seed 1`; the result goes to `out/health.json`.
"""

import argparse
import concurrent.futures
import json
import pathlib
import random
import statistics
import typing

from persimmonspan.process import health
from persimmonspan.request import events

_STEP_S = 0.25
_ONSET_S = 15.0
_RECOVERY_S = 45.0
_RUN_S = 75.0
_FIRST_TOKEN_S = 0.2
_GAP_S = 0.02
_GAP_PER_STREAM_S = 0.0006
_NOISE = 0.25  # Standard deviation of the logarithm of one measured gap.
_FIRST_TOKEN_NOISE = 0.6
_UNEVEN = 0.1  # The same between targets, for a whole run.
_MEAN_TOKENS = 300.0
_DETECTED = 0.5  # A weight at which the target counts as detected.


class Setup(typing.NamedTuple):
    """One combination that is run with several seeds."""

    name: str
    straggler: float = 1.0
    spike: float = 1.0
    spike_uneven: float = 0.0
    hangs: bool = False
    targets: int = 6
    streams: int = 16  # Mean per target.


class _Stream(typing.NamedTuple):
    request_id: str
    target: str
    begun_s: float
    first_s: float
    length: float
    tokens: float = 0.0


class Run:
    """One run with one seed."""

    def __init__(self, setup: Setup, seed: int) -> None:
        self.setup = setup
        self.rng = random.Random(seed)
        self.names = [f"e{i}" for i in range(setup.targets)]
        self.factors = {
            name: self.rng.lognormvariate(0, _UNEVEN) for name in self.names
        }
        self.spikes = {
            name: setup.spike * self.rng.lognormvariate(0, setup.spike_uneven)
            for name in self.names
        }
        targets = tuple(
            events.Target(name, "drafts", "", "lima-a") for name in self.names)
        self.state, _ = health.step(health.State(),
                                    events.TargetsChanged(1, targets, (), ()),
                                    0.0)
        self.number = 0
        self.counts = dict.fromkeys(self.names, 0)
        self.streams = [
            self._begin(name, self.rng.uniform(0, 5.0))
            for name in self.names * setup.streams
        ]
        self.detected_s: float | None = None
        self.recovered_s: float | None = None
        self.lost_weight_s = 0.0
        self.lowest_other = 1.0
        self.weight_at_end_of_fault = 1.0

    def go(self) -> dict[str, float | None]:
        """Runs to the end and returns what was seen."""
        for i in range(int(_RUN_S / _STEP_S)):
            now_s = i * _STEP_S
            self.streams = [
                self._advance(stream, self.counts[stream.target], now_s)
                for stream in self.streams
            ]
            for name in self.names:
                if health.is_probe_due(self.state, name, now_s):
                    self.streams.append(self._begin(name, now_s, probe=True))
            self.state, _ = health.step(self.state, events.Tick(), now_s)
            self._watch(now_s)
        return {
            "detected_s": self.detected_s,
            "recovered_s": self.recovered_s,
            "weight": self.weight_at_end_of_fault,
            "false_share": self.lost_weight_s / _RUN_S,
            "lowest_other": self.lowest_other,
        }

    def _begin(self, name: str, now_s: float, probe: bool = False) -> _Stream:
        self.number += 1
        self.counts[name] += 1
        request_id = f"r{self.number}"
        self.state, _ = health.step(self.state,
                                    events.Dispatch(request_id, name, 0, 1),
                                    now_s)
        first_s = (_FIRST_TOKEN_S * self._factor(name, now_s) *
                   self.rng.lognormvariate(0, _FIRST_TOKEN_NOISE))
        length = 20.0 if probe else self.rng.expovariate(1 / _MEAN_TOKENS) + 20
        return _Stream(request_id, name, now_s, first_s, length)

    def _choose(self) -> str:
        """Takes the less busy of two targets for its weight, as `choice`."""
        weights = {name: health.weight(self.state, name) for name in self.names}
        usable = [name for name in self.names if weights[name] > 0.0]
        pair = self.rng.sample(usable, min(2, len(usable)))
        return min(pair,
                   key=lambda name: (self.counts[name] + 1) / weights[name])

    def _factor(self, name: str, now_s: float) -> float:
        factor = self.factors[name]
        if _ONSET_S <= now_s < _RECOVERY_S:
            factor *= self.spikes[name]
            if name == "e0":
                factor *= self.setup.straggler
        return factor

    def _is_hung(self, name: str, now_s: float) -> bool:
        return (self.setup.hangs and name == "e0" and
                _ONSET_S <= now_s < _RECOVERY_S)

    def _advance(self, stream: _Stream, count: int, now_s: float) -> _Stream:
        since_s = now_s - stream.begun_s
        is_silent = self._is_hung(stream.target, now_s)
        if is_silent or since_s < stream.first_s:
            return stream
        if not stream.tokens:
            # Events carry the time at which they are delivered.
            self.state, _ = health.step(
                self.state, events.FirstToken(stream.request_id, stream.target),
                max(stream.begun_s + stream.first_s, 0.0))
            return stream._replace(tokens=1.0)
        gap_s = ((_GAP_S + _GAP_PER_STREAM_S * count) *
                 self._factor(stream.target, now_s) *
                 self.rng.lognormvariate(0, _NOISE))
        tokens = stream.tokens + _STEP_S / gap_s
        if tokens >= stream.length:
            self.state, _ = health.step(
                self.state,
                events.AttemptEnded(stream.request_id,
                                    stream.target, events.Outcome.COMPLETED,
                                    int(tokens)), now_s)
            self.counts[stream.target] -= 1
            return self._begin(self._choose(), now_s)
        self.state, _ = health.step(
            self.state,
            events.Progressed(stream.request_id, stream.target, int(tokens)),
            now_s)
        return stream._replace(tokens=tokens)

    def _watch(self, now_s: float) -> None:
        has_fault = self.setup.straggler > 1.0 or self.setup.hangs
        for name in self.names:
            weight = health.weight(self.state, name)
            if name == "e0" and has_fault and now_s >= _ONSET_S:
                self._watch_fault(weight, now_s)
            else:
                self.lost_weight_s += (1.0 - weight) * _STEP_S
                self.lowest_other = min(self.lowest_other, weight)

    def _watch_fault(self, weight: float, now_s: float) -> None:
        if now_s < _RECOVERY_S:
            self.weight_at_end_of_fault = weight
            if self.detected_s is None and weight <= _DETECTED:
                self.detected_s = now_s - _ONSET_S
        elif self.recovered_s is None and weight >= 1.0:
            self.recovered_s = now_s - _RECOVERY_S


def measure(task: tuple[Setup, int, int]) -> dict[str, typing.Any]:
    """Runs one setup with several seeds and sums up."""
    setup, seed, runs = task
    results = [Run(setup, seed * 1000 + i).go() for i in range(runs)]
    detected = sorted(item["detected_s"]
                      for item in results
                      if item["detected_s"] is not None)
    recovered = sorted(item["recovered_s"]
                       for item in results
                       if item["recovered_s"] is not None)
    return {
        **setup._asdict(),
        "runs": runs,
        "detected_runs": len(detected),
        "detected_p50_s": statistics.median(detected) if detected else None,
        "detected_max_s": detected[-1] if detected else None,
        "weight_p50": statistics.median(item["weight"] for item in results),
        "recovered_runs": len(recovered),
        "recovered_p50_s": statistics.median(recovered) if recovered else None,
        # Mean weight missing from targets without a fault, in targets.
        "false_share": statistics.mean(item["false_share"] for item in results),
        "false_runs": sum(item["lowest_other"] < 1.0 for item in results),
        "lowest_other": min(item["lowest_other"] for item in results),
    }


def main() -> None:
    """Runs all combinations and writes them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--output",
                        type=pathlib.Path,
                        default=pathlib.Path("out/health.json"))
    options = parser.parse_args()
    setups = [Setup("none")]
    setups += [
        Setup("straggler", straggler=factor)
        for factor in (1.25, 1.5, 2.0, 3.0, 5.0, 10.0)
    ]
    setups += [
        Setup("spike", spike=factor, spike_uneven=uneven)
        for factor in (2.0, 5.0)
        for uneven in (0.0, 0.2, 0.4)
    ]
    setups += [
        Setup("straggler in a spike", 3.0, 3.0, 0.2),
        Setup("straggler, 2 streams", 3.0, streams=2),
        Setup("straggler, 2 targets", 3.0, targets=2),
        Setup("hang", hangs=True),
        Setup("hang in a spike", spike=3.0, spike_uneven=0.2, hangs=True)
    ]
    with concurrent.futures.ProcessPoolExecutor(2) as pool:
        results = list(
            pool.map(measure,
                     [(setup, options.seed, options.runs) for setup in setups]))
    options.output.parent.mkdir(exist_ok=True)
    options.output.write_text(
        json.dumps({
            "seed": options.seed,
            "results": results
        }, indent=1))
    for row in results:
        print(" | ".join(
            f"{key}={value:.3g}" if isinstance(value, float
                                              ) else f"{key}={value}"
            for key, value in row.items()))


if __name__ == "__main__":
    main()
