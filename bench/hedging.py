"""Simulates hedged requests while some targets are slow.

The decisions are those of `persimmonspan.request.scheduler`, with simulated
time. Daemons with the loads of each other's digests left out see the same
targets; a spell makes a share of the targets slow, and others in the next one.

    python -m bench.hedging --seed 1

Columns: share, requests, extra attempts, p50, p99 and maximum in ms.
"""

import argparse
import heapq
import itertools
import random
import typing

from persimmonspan.request import events
from persimmonspan.request import scheduler

_USUAL_S = 0.08
_DEVIATION = 0.2  # Of the logarithm of the time that a response takes.
_SPELL_S = 0.6
_TICK_S = 0.05
_DEADLINE_S = 4.0
_KIND = events.KindPolicy("call", "s", 1.0, True, True, _DEADLINE_S)


class Load(typing.NamedTuple):
    """What is simulated; `slow_factor` multiplies the time at slow targets."""

    targets: int = 20
    slow_share: float = 0.15
    slow_factor: float = 10.0
    requests: int = 20_000
    per_s: float = 60.0
    share: float = 0.05
    seed: int = 1


class Result(typing.NamedTuple):
    """Latencies of all requests, ordered, and the number of extra attempts."""

    latencies_s: list[float]
    extra: int

    def quantile_s(self, quantile: float) -> float:
        """Returns the latency at a quantile."""
        return self.latencies_s[int(quantile * (len(self.latencies_s) - 1))]


class Simulation:
    """One daemon and its targets, with a queue of future events by time."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._rng = random.Random(load.seed)
        self._state = scheduler.State()
        self._now_s = 0.0
        self._future: list[tuple[float, int, events.Event]] = []
        self._order = itertools.count()
        self._slow: frozenset[str] = frozenset()
        self._names = [f"t{i}" for i in range(load.targets)]
        self._running: dict[str, set[str]] = {}
        self._arrived_s: dict[str, float] = {}
        self._latencies_s: list[float] = []
        self._extra = 0

    def run(self) -> Result:
        """Runs until all requests have a response."""
        load = self._load
        targets = tuple(
            events.Target(name, "s", "", "d", 0, 16) for name in self._names)
        self._apply(events.TargetsChanged(1, targets, (_KIND,), ()))
        self._apply(events.HedgeLimitsChanged(load.share, 2.0))
        at_s = 0.0
        for number in range(load.requests):
            at_s += self._rng.expovariate(load.per_s)
            self._schedule(
                at_s,
                events.Arrived(f"r{number}",
                               "w",
                               "call",
                               "s",
                               0,
                               0,
                               at_s + _DEADLINE_S,
                               f"f{number}",
                               max_attempts=2,
                               may_hedge=True))
        for number in range(int((at_s + _DEADLINE_S) / _TICK_S)):
            self._schedule(number * _TICK_S, events.Tick())
        spell = -1
        while self._future:
            self._now_s, _, event = heapq.heappop(self._future)
            if int(self._now_s / _SPELL_S) != spell:
                spell = int(self._now_s / _SPELL_S)
                self._slow = frozenset(
                    self._rng.sample(self._names,
                                     round(load.slow_share * load.targets)))
            self._handle(event)
        return Result(sorted(self._latencies_s), self._extra)

    def _schedule(self, at_s: float, event: events.Event) -> None:
        heapq.heappush(self._future, (at_s, next(self._order), event))

    def _handle(self, event: events.Event) -> None:
        if isinstance(event, events.Arrived):
            self._arrived_s[event.request_id] = self._now_s
        elif isinstance(event, events.AttemptEnded):
            targets = self._running.get(event.request_id)
            if targets is None:
                return  # The other attempt was faster.
            for loser in targets - {event.target}:
                self._apply(
                    event._replace(target=loser,
                                   outcome=events.Outcome.CANCELLED))
            del self._running[event.request_id]
            self._latencies_s.append(self._now_s -
                                     self._arrived_s.pop(event.request_id))
        self._apply(event)

    def _apply(self, event: events.Event) -> None:
        self._state, commands = scheduler.step(self._state, event, self._now_s,
                                               self._rng)
        for command in commands:
            if not isinstance(command, events.Dispatch):
                continue
            self._extra += command.is_hedge
            self._running.setdefault(command.request_id,
                                     set()).add(command.target)
            took_s = _USUAL_S * self._rng.lognormvariate(0.0, _DEVIATION)
            if command.target in self._slow:
                took_s *= self._load.slow_factor
            self._schedule(
                self._now_s + took_s,
                events.AttemptEnded(command.request_id, command.target,
                                    events.Outcome.COMPLETED))
            if command.hedge_after_s is not None:
                self._schedule(
                    self._now_s + command.hedge_after_s,
                    events.HedgeDue(command.request_id, command.target))


def main() -> None:
    """Prints the latencies with and without hedged requests."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slow-factor", type=float, default=10.0)
    parser.add_argument("--per-s", type=float, default=60.0)
    options = parser.parse_args()
    for share in (0.0, 0.02, 0.05, 0.1, 0.2):
        load = Load(share=share,
                    seed=options.seed,
                    slow_factor=options.slow_factor,
                    per_s=options.per_s)
        result = Simulation(load).run()
        print(
            share, len(result.latencies_s), result.extra,
            *(round(result.quantile_s(value) * 1000)
              for value in (0.5, 0.99, 1.0)))


if __name__ == "__main__":
    main()
