"""Monte Carlo run of the quarantine: how far does one poison request get?

Daemons share targets; innocent requests arrive at random and one poison request
crashes each target that runs it, while its caller repeats it at a random
daemon. Targets also crash by chance. The daemons run `request.quarantine` and
nothing else of the scheduler: a request goes to the least busy target. All
times are simulated, in steps of `_STEP_S`.

Run `python -m bench.quarantine --seed 1`; the result goes to
`out/quarantine.json`.
"""

import argparse
import concurrent.futures
import itertools
import json
import math
import pathlib
import random
import statistics
import typing

from persimmonspan.request import crash_evidence
from persimmonspan.request import events
from persimmonspan.request import quarantine

_STEP_S = 0.05
_RUN_S = 180.0
_POISON_S = 20.0
_CRASH_DELAY_S = 0.5  # From the dispatch of the poison request to the crash.
_ANSWER_DELAY_S = 0.75  # To the first report that an innocent one goes on.
_DEATH_KNOWN_S = 0.2  # From the broken connections to the known death.
_RESTART_S = 20.0
_GOSSIP_S = 0.1
_LOADS_INTERVAL_S = 1.0
_REPEAT_DELAY_S = 1.0
_DEADLINE_S = 60.0
_ATTEMPTS = 3  # Of one daemon for one request of a caller.


class Setup(typing.NamedTuple):
    """One combination that is run with several seeds."""

    crashes_per_target_hour: float
    in_flight: int  # Mean per target, of all daemons together.
    repeats: int
    duration_s: float = 4.0  # Mean of an innocent request.
    targets: int = 6
    daemons: int = 4
    is_guarded: bool = True


class Request:
    """A request inside one run."""

    def __init__(self, key: str, duration_s: float, now_s: float) -> None:
        self.key = key
        self.duration_s = duration_s
        self.arrived_s = now_s
        self.attempts = 0
        self.is_suspect = False
        self.dispatched_s = math.inf
        self.is_answered = False

    @property
    def is_poison(self) -> bool:
        """Whether it crashes the targets that run it."""
        return self.key == "poison"


class Run:
    """State of one run: daemons, targets and what is counted."""

    def __init__(self, setup: Setup, seed: int) -> None:
        self.setup = setup
        self.rng = random.Random(seed)
        self.states = [quarantine.State() for _ in range(setup.daemons)]
        self.waiting: list[list[Request]] = [[] for _ in range(setup.daemons)]
        self.names = [f"e{i}" for i in range(setup.targets)]
        self.running: dict[str, dict[tuple[int, str], Request]] = {
            name: {} for name in self.names
        }
        self.up_s = dict.fromkeys(self.names, 0.0)
        self.later: list[tuple[float, int, events.Event]] = []
        self.repeats_left = setup.repeats
        self.numbers = itertools.count()
        self.killed = self.chance_deaths = self.refused = 0
        self.expired = self.innocents = 0
        self.died_s = self.refused_everywhere_s = math.inf
        self.delays_s: list[float] = []

    def go(self) -> dict[str, float]:
        """Runs to the end and returns what was counted."""
        rate = (self.setup.in_flight * self.setup.targets /
                self.setup.duration_s * _STEP_S)
        has_poison = False
        for i in range(int(_RUN_S / _STEP_S)):
            now_s = i * _STEP_S
            for _ in range(_poisson(self.rng, rate)):
                self.innocents += 1
                self._arrive(
                    Request(f"i{next(self.numbers)}",
                            self.rng.expovariate(1 / self.setup.duration_s),
                            now_s))
            if now_s >= _POISON_S and not has_poison:
                has_poison = True
                self._arrive(Request("poison", math.inf, now_s))
            self._deliver(now_s)
            self._end_and_crash(now_s)
            for daemon in range(self.setup.daemons):
                self._send(daemon, now_s)
            if i % int(_LOADS_INTERVAL_S / _STEP_S) == 0:
                self._gossip_loads(now_s)
            self._watch(now_s)
        return {
            "killed": self.killed,
            "chance_deaths": self.chance_deaths,
            "refused_everywhere_s": self.refused_everywhere_s - self.died_s,
            "innocents": self.innocents,
            "innocents_refused": self.refused,
            "innocents_expired": self.expired,
            "suspects": len(self.delays_s),
            "suspect_delay_p50_s": _quantile(self.delays_s, 0.5),
            "suspect_delay_max_s": max(self.delays_s, default=0.0),
        }

    def _arrive(self, request: Request) -> None:
        self.waiting[self.rng.randrange(self.setup.daemons)].append(request)

    def _step(self, daemon: int, event: events.Event, now_s: float) -> None:
        self.states[daemon], commands = quarantine.step(self.states[daemon],
                                                        event, now_s)
        for command in commands:
            if isinstance(command, events.ShareQuarantine):
                for peer in range(self.setup.daemons):
                    if peer != daemon:
                        self.later.append((now_s + _GOSSIP_S, peer,
                                           events.QuarantineShared(*command)))

    def _deliver(self, now_s: float) -> None:
        due = [item for item in self.later if item[0] <= now_s]
        self.later = [item for item in self.later if item[0] > now_s]
        for _, daemon, event in due:
            self._step(daemon, event, now_s)
        for daemon in range(self.setup.daemons):
            self._step(daemon, events.Tick(), now_s)

    def _end_and_crash(self, now_s: float) -> None:
        chance = self.setup.crashes_per_target_hour / 3600 * _STEP_S
        for name, running in self.running.items():
            is_killed = any(request.is_poison and now_s -
                            request.dispatched_s >= _CRASH_DELAY_S
                            for request in running.values())
            is_chance = self.up_s[name] <= now_s and self.rng.random() < chance
            if is_killed or is_chance:
                self.killed += is_killed
                self.chance_deaths += is_chance and not is_killed
                if is_killed:
                    self.died_s = min(self.died_s, now_s)
                self._die(name, now_s)
                continue
            for (daemon, key), request in list(running.items()):
                if now_s - request.dispatched_s >= request.duration_s:
                    del running[daemon, key]
                    self._step(
                        daemon,
                        events.AttemptEnded(key, name,
                                            events.Outcome.COMPLETED), now_s)
                elif (not request.is_answered and
                      now_s - request.dispatched_s >= _ANSWER_DELAY_S):
                    request.is_answered = True
                    self._step(daemon, events.Progressed(key, name, 1), now_s)

    def _die(self, name: str, now_s: float) -> None:
        self.up_s[name] = now_s + _RESTART_S
        for (daemon, key), request in self.running[name].items():
            self._step(
                daemon,
                events.AttemptEnded(key, name,
                                    events.Outcome.FAILED_BEFORE_FIRST_TOKEN),
                now_s)
            request.is_suspect = True
            request.arrived_s = now_s
            if request.attempts < _ATTEMPTS:
                self.waiting[daemon].append(request)
            elif request.is_poison:
                self._repeat(now_s)
        self.running[name] = {}
        for daemon in range(self.setup.daemons):
            self.later.append(
                (now_s + _DEATH_KNOWN_S, daemon, events.TargetDied(name)))

    def _repeat(self, now_s: float) -> None:
        if self.repeats_left:
            self.repeats_left -= 1
            self._arrive(Request("poison", math.inf, now_s + _REPEAT_DELAY_S))

    def _send(self, daemon: int, now_s: float) -> None:
        kept = []
        usable = [name for name in self.names if self.up_s[name] <= now_s]
        for request in self.waiting[daemon]:
            is_refused = (self.setup.is_guarded and quarantine.refused_for_s(
                self.states[daemon], request.key, now_s) > 0)
            if request.arrived_s > now_s or not usable:
                kept.append(request)
            elif is_refused:
                self.refused += not request.is_poison
                if request.is_poison:
                    self._repeat(now_s)
            elif now_s - request.arrived_s > _DEADLINE_S:
                self.expired += not request.is_poison
            else:
                self._dispatch(daemon, request, usable, now_s)
        self.waiting[daemon] = kept

    def _dispatch(self, daemon: int, request: Request, usable: list[str],
                  now_s: float) -> None:
        target = min(usable, key=lambda name: len(self.running[name]))
        request.attempts += 1
        request.dispatched_s = now_s
        request.is_answered = False
        if request.is_suspect and not request.is_poison:
            self.delays_s.append(now_s - request.arrived_s)
        self.running[target][daemon, request.key] = request
        self.states[daemon] = quarantine.record_dispatch(
            self.states[daemon], request.key,
            crash_evidence.Fingerprints(request.key), target, now_s)

    def _gossip_loads(self, now_s: float) -> None:
        for daemon in range(self.setup.daemons):
            counts = dict.fromkeys(self.names, 0)
            for name, running in self.running.items():
                counts[name] = sum(owner == daemon for owner, _ in running)
            loads = tuple(
                events.TargetLoad(name, count, 0)
                for name, count in counts.items())
            for peer in range(self.setup.daemons):
                if peer != daemon:
                    self.later.append((now_s + _GOSSIP_S, peer,
                                       events.PeerLoad(f"d{daemon}", loads)))

    def _watch(self, now_s: float) -> None:
        is_open = self.refused_everywhere_s == math.inf > self.died_s
        if is_open and all(
                quarantine.refused_for_s(state, "poison", now_s) > 0
                for state in self.states):
            self.refused_everywhere_s = now_s


def _poisson(rng: random.Random, mean: float) -> int:
    count, product = 0, rng.random()
    while product > math.exp(-mean):
        count += 1
        product *= rng.random()
    return count


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def measure(task: tuple[Setup, int, int]) -> dict[str, typing.Any]:
    """Runs one setup with several seeds and sums up."""
    setup, seed, runs = task
    results = [Run(setup, seed * 1000 + i).go() for i in range(runs)]
    innocents = sum(item["innocents"] for item in results)
    finite = [
        item["refused_everywhere_s"]
        for item in results
        if item["refused_everywhere_s"] < math.inf
    ]
    refused = sum(item["innocents_refused"] for item in results)
    return {
        **setup._asdict(), "runs":
            runs,
        "killed_mean":
            statistics.mean(item["killed"] for item in results),
        "killed_max":
            max(item["killed"] for item in results),
        "chance_deaths":
            sum(item["chance_deaths"] for item in results),
        "refused_everywhere_runs":
            len(finite),
        "refused_everywhere_p50_s":
            _quantile(finite, 0.5),
        "refused_everywhere_max_s":
            max(finite, default=0.0),
        "innocents":
            innocents,
        "innocents_refused":
            refused,
        "false_positive_rate":
            refused / innocents,
        "innocents_expired":
            sum(item["innocents_expired"] for item in results),
        "suspects":
            sum(item["suspects"] for item in results),
        "suspect_delay_p50_s":
            statistics.median(item["suspect_delay_p50_s"] for item in results),
        "suspect_delay_max_s":
            max(item["suspect_delay_max_s"] for item in results)
    }


def main() -> None:
    """Runs all combinations and writes them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--output",
                        type=pathlib.Path,
                        default=pathlib.Path("out/quarantine.json"))
    options = parser.parse_args()
    setups = [
        Setup(crashes, in_flight, repeats)
        for crashes, in_flight, repeats in itertools.product((0.0, 1.0, 10.0), (
            1, 4, 16), (0, 5, 50))
    ]
    setups += [
        Setup(0.0, 4, repeats, is_guarded=False) for repeats in (0, 5, 50)
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
    columns = ("crashes_per_target_hour", "in_flight", "repeats", "is_guarded",
               "killed_mean", "killed_max", "refused_everywhere_runs",
               "refused_everywhere_p50_s", "refused_everywhere_max_s",
               "innocents", "innocents_refused", "innocents_expired",
               "suspects", "suspect_delay_p50_s", "suspect_delay_max_s")
    print(" | ".join(columns))
    for row in results:
        print(" | ".join(f"{row[column]:g}" if isinstance(row[column], float
                                                         ) else str(row[column])
                         for column in columns))


if __name__ == "__main__":
    main()
