"""What the digests of edge daemons cost, at several sizes.

    python -m bench.edge_capacity > docs/CAPACITY-edge.md

The pure parts are measured: encoding, decoding, the hub's sums and the step of
the scheduler that takes them. Each daemon has work on three
targets, and each target has work of some daemons.
"""

import argparse
import collections.abc
import random
import sys
import time
import typing

from persimmonspan.process import edge_peers
from persimmonspan.request import events
from persimmonspan.request import scheduler

_SIZES = ((64, 26), (330, 153))  # Daemons, and targets of their subset or all.
_SUBSET = 24
_OWN_TARGETS = 3
_HUB_INTERVAL_S = 0.2
_REPEATS = 200


class Cost(typing.NamedTuple):
    """Costs of one size; processor time in us, lengths in bytes."""

    daemons: int
    targets: int
    member_bytes: int
    member_us: float
    sum_bytes: int
    sum_us: float
    take_us: float


def _load(target: str, rng: random.Random) -> events.TargetLoad:
    tokens = rng.randrange(2000, 9000)
    return events.TargetLoad(target, rng.randrange(1, 3), tokens,
                             tuple(tokens - 100 * k for k in range(6)), 900,
                             3000, 500)


def _digest(name: str, targets: int, rng: random.Random) -> edge_peers.Digest:
    loads = tuple(
        _load(f"i-{rng.randrange(targets):010}", rng)
        for _ in range(_OWN_TARGETS))
    return edge_peers.Digest(name,
                             "10.0.0.1:7200",
                             True,
                             loads,
                             version=12,
                             demands=(events.Demand("voba55a", 0.4, 0),
                                      events.Demand("baje63b", 1.1, 0)))


def _us(work: collections.abc.Callable[[], object], repeats: int) -> float:
    began_s = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - began_s) / repeats * 1e6


def measure(daemons: int, targets: int, repeats: int = _REPEATS) -> Cost:
    """Measures a size.

    Args:
        daemons: Daemons that exchange digests through a hub.
        targets: Targets that they send to.
        repeats: Times that each part is run.
    """
    rng = random.Random(1)
    state = edge_peers.State()
    digests = [_digest(f"d{n:03}", targets, rng) for n in range(daemons)]
    for digest in digests:
        state, _ = edge_peers.merge_digest(state, digest, 0.0, 0.0)
    member = edge_peers.encode(digests[1])

    def hear() -> None:
        edge_peers.merge_digest(state, edge_peers.decode(member), 0.1, 0.0)

    sums = edge_peers.sum_loads(state, (), (), 0.1)

    def compose() -> bytes:
        loads, demands = edge_peers.loads_of_others(state, sums, "d005", 0.1)
        return edge_peers.encode(
            edge_peers.Digest("d000", "10.0.0.1:7200", True, loads, None, True,
                              12, demands))

    told = compose()
    service = tuple(
        events.Target(f"i-{n:010}", "s", f"10.0.0.{n}:80", "a", 27_000, 24)
        for n in range(min(targets, _SUBSET)))
    scheduled, _ = scheduler.step(scheduler.State(),
                                  events.TargetsChanged(1, service, (), ()),
                                  0.0, rng)

    def take() -> None:
        scheduler.step(scheduled,
                       edge_peers.to_peer_load(edge_peers.decode(told)), 0.1,
                       rng)

    return Cost(daemons, targets, len(member), _us(hear, repeats), len(told),
                _us(compose, max(1, repeats // 10)), _us(take, repeats))


def page(costs: collections.abc.Iterable[Cost]) -> str:
    """Returns the page of measured costs."""
    lines = [
        "# Capacity of the edge daemon's digests", "",
        "Written by `python -m bench.edge_capacity`; do not edit.",
        "The pure parts were measured on the machine that it ran on; sockets,",
        "threads and the store are not in these figures. The mechanism is in",
        "`persimmonspan/process/edge_peers.py`.", "",
        "| daemons | targets | member to hub | hub hears it | hub to member |"
        " hub composes it | member takes it | hub, of a core | hub sends |"
        " member receives |", "|---|---|---|---|---|---|---|---|---|---|"
    ]
    for cost in costs:
        rate = cost.daemons / _HUB_INTERVAL_S
        core = rate * (cost.member_us + cost.sum_us) / 1e6
        lines.append(
            f"| {cost.daemons} | {cost.targets} | {cost.member_bytes} B | "
            f"{cost.member_us:.0f} us | {cost.sum_bytes} B | "
            f"{cost.sum_us:.0f} us | {cost.take_us:.0f} us | {core:.1%} | "
            f"{rate * cost.sum_bytes:,.0f} B/s | "
            f"{cost.sum_bytes / _HUB_INTERVAL_S:,.0f} B/s |")
    lines += [
        "",
        "Each member sends five digests a second at most, and receives five."
        " Budgets of", "control at the two-year size are 1.2% of a core and"
        " 15,000 bytes/s in a daemon.", ""
    ]
    lines += _verdicts(list(costs))
    return "\n".join(lines)


def _verdicts(costs: list[Cost]) -> list[str]:
    lines = []
    for cost in costs:
        rate = cost.daemons / _HUB_INTERVAL_S
        core = rate * (cost.member_us + cost.sum_us) / 1e6
        received = cost.sum_bytes / _HUB_INTERVAL_S
        lines.append(f"- {cost.daemons} daemons: processor time of the hub "
                     f"{_verdict(core, 0.012)}, bytes that a member receives "
                     f"{_verdict(received, 15_000)}.")
    return lines


def _verdict(value: float, budget: float) -> str:
    return "within the budget" if value <= budget else "OVER the budget"


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Prints the page; returns the exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m bench.edge_capacity",
        description="Measures what the digests of edge daemons cost")
    parser.add_argument("--repeats", type=int, default=_REPEATS)
    options = parser.parse_args(arguments)
    print(page([measure(*size, options.repeats) for size in _SIZES]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
