"""Time of one decision, by number of targets, queue length and running.

    python -m bench.policy_speed

Prints the median and p99 in microseconds per event and their slope, and what a
daemon tells its peers. Time is that of the process, not the wall clock.
"""

import random
import time
import typing

import msgspec
from hdrh import histogram

from persimmonspan.process import load_view
from persimmonspan.request import choice
from persimmonspan.request import events
from persimmonspan.request import scheduler

_WARM_UP = 300
_DECISIONS = 3000
_NS_PER_US = 1000.0
_WORKSPACES = 10
_KINDS = (events.KindPolicy("draft", "m", 8, False, True, 120),
          events.KindPolicy("check", "m", 5, True, True, 15))


class Driver:
    """A scheduler with a given number of targets, queued and running."""

    def __init__(self, targets: int, running: int, queued: int,
                 peers: int) -> None:
        self.rng = random.Random(5)
        self.state = scheduler.State()
        self.now_s = 1000.0
        self.times: dict[str, histogram.HdrHistogram] = {}
        self._count = 0
        self._live: list[tuple[str, str]] = []
        self._tokens: dict[str, int] = {}
        members = min(targets, choice.MAX_SUBSET_TARGETS)
        capacity = 2400 * running // members if queued else 65_536
        replicas = tuple(
            events.Target(f"t{i}", "m", "", f"d{i % 12}", capacity, 512)
            for i in range(targets))
        shares = tuple(
            events.WorkspaceShare(f"w{i}", 1 + i % 3)
            for i in range(_WORKSPACES))
        self.send(events.TargetsChanged(1, replicas, _KINDS, shares,
                                        "daemon-1"))
        self.names = self.state.view.groups["m"]
        for i in range(peers):
            self.send(
                events.PeerLoad(
                    f"p{i}",
                    tuple(
                        events.TargetLoad(name, 3, 900, (900,) * 6, 300)
                        for name in self.names)))
        while len(self._live) < running and self._count < 3 * running:
            self.arrive()
        while len(self.state.queue.requests) < queued:
            before = len(self.state.queue.requests)
            self.arrive()
            if (self._count > 4 * (running + queued) and
                    len(self.state.queue.requests) == before):
                break

    def send(self, event: events.Event) -> list[events.Command]:
        """Applies an event and records the time of the decision."""
        start_ns = time.process_time_ns()
        self.state, commands = scheduler.step(self.state, event, self.now_s,
                                              self.rng)
        taken_ns = time.process_time_ns() - start_ns
        name = type(event).__name__
        if name not in self.times:
            self.times[name] = histogram.HdrHistogram(1, 10**10, 3)
        self.times[name].record_value(max(1, taken_ns))
        for command in commands:
            if isinstance(command, events.Dispatch):
                self._live.append((command.request_id, command.target))
                self._tokens[command.request_id] = 0
        return commands

    def arrive(self) -> None:
        """Lets a request arrive."""
        self._count += 1
        kind = _KINDS[self._count % 2]
        self.send(
            events.Arrived(f"r{self._count}",
                           f"w{self.rng.randrange(_WORKSPACES)}", kind.name,
                           "m", 300, 30_000,
                           self.now_s + 1000 + kind.deadline_s,
                           f"f{self._count}"))

    def work(self, decisions: int) -> None:
        """Ends and starts requests, reports progress and load."""
        for i in range(decisions):
            self.now_s += 0.002
            if not self._live:
                self.arrive()
                continue
            index = self.rng.randrange(len(self._live))
            request_id, target = self._live[index]
            self._tokens[request_id] += 20
            self.send(
                events.Progressed(request_id, target, self._tokens[request_id]))
            if i % 4 == 0:
                self._live[index] = self._live[-1]
                self._live.pop()
                self.send(
                    events.AttemptEnded(request_id, target,
                                        events.Outcome.COMPLETED,
                                        self._tokens[request_id]))
                self.arrive()
            if i % 10 == 0:
                self.send(
                    events.LoadReported(target, 0.5, 20_000, 65_536, 20, 0, 0))
            if i % 25 == 0:
                self.send(events.Tick())


class Row(typing.NamedTuple):
    """Times of one size."""

    label: str
    times_us: dict[str, tuple[float, float]]
    live: int
    waiting: int


def measure(targets: int, running: int, queued: int, peers: int) -> Row:
    """Returns the times at one size."""
    driver = Driver(targets, running, queued, peers)
    driver.work(_WARM_UP)
    driver.times.clear()
    driver.work(_DECISIONS)
    times = {
        name: (values.get_value_at_percentile(50) / _NS_PER_US,
               values.get_value_at_percentile(99) / _NS_PER_US
              ) for name, values in driver.times.items()
    }
    return Row(f"{targets} targets, {running} running, {queued} queued", times,
               len(driver.state.running), len(driver.state.queue.requests))


def control_bytes(targets: int) -> int:
    """Returns the size of what a daemon tells about its targets."""
    loads = tuple(
        events.TargetLoad(f"quote-model-{i}", 17, 22_000, (18_000, 19_000,
                                                           22_000, 17_000,
                                                           9_000, 2_000), 4_000)
        for i in range(targets))
    return len(msgspec.msgpack.encode([tuple(item) for item in loads]))


def _cell(times_us: tuple[float, float]) -> str:
    return f"{times_us[0]:.0f}/{times_us[1]:.0f}"


def main() -> None:
    """Prints the table."""
    sizes = [(6, 60, 0, 7), (6, 200, 0, 7), (6, 800, 0, 7), (6, 200, 100, 7),
             (6, 200, 1000, 7), (6, 200, 4000, 7),
             (choice.MAX_SUBSET_TARGETS, 400, 0, 30), (2300, 400, 0, 30),
             (2300, 400, 1000, 30)]
    names = ("Arrived", "Progressed", "AttemptEnded", "LoadReported", "Tick")
    print("p50/p99 in us | " + " | ".join(names) +
          " | PeerLoad | live, waiting")
    for size in sizes:
        row = measure(*size)
        cells = [_cell(row.times_us.get(name, (0, 0))) for name in names]
        driver = Driver(*size)
        event = events.PeerLoad(
            "p0",
            tuple(
                events.TargetLoad(name, 3, 900, (900,) * 6, 300)
                for name in driver.names))
        driver.times.clear()
        for _ in range(_WARM_UP):
            driver.send(event)
        peer_us = driver.times["PeerLoad"].get_value_at_percentile(
            50) / _NS_PER_US
        print(f"{row.label} | " + " | ".join(cells) +
              f" | {peer_us:.0f} | {row.live}, {row.waiting}")
    for targets in (6, choice.MAX_SUBSET_TARGETS):
        print(f"peer load of {targets} targets: {control_bytes(targets)} bytes")
    print(f"horizons: {load_view.HORIZONS_TOKENS}")


if __name__ == "__main__":
    main()
