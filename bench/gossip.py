"""Benchmark of gossip between real daemon processes over loopback.

For each case it measures bytes, processor share and resident memory per
daemon at rest, the time for a change to reach all, and a cut of one failure
domain that heals. The cost of 330 daemons in 12 failure domains is estimated by
a least-squares fit of `a + b * mates + c * other failure domains` over the
cases that are no mesh.

Bytes are sent plus received, with CURVE framing and without TCP/IP headers.
"""

import argparse
import collections
import contextlib
import json
import math
import pathlib
import queue
import random
import subprocess
import sys
import tempfile
import threading
import time
import typing

import numpy

from persimmonspan.connection import peer_keys

_CASES = ((8, 3), (16, 2), (16, 4), (32, 2), (32, 4), (64, 2), (64, 8), (64,
                                                                         12))
_MESH_LIMIT = 12
_GOAL = {
    "bytes_per_s": 15_000.0,
    "bytes_per_s_max": 15_000.0,
    "core_share": 0.012,
    "resident_mb": 128.0
}
_FIT_MATES = 330 / 12 - 1
_FIT_OTHER_DOMAINS = 11
# Below the ports that the kernel gives to outgoing connections.
_FIRST_PORT = 21_000
_TARGETS = 24
_READY_TIMEOUT_S = 60.0
_SPREAD_TIMEOUT_S = 30.0
# More than the kept changes, so that the healed group needs the document.
_CHANGES_DURING_CUT = 40
_HEAL_WINDOW_S = 5.0
# New rosters are fetched in the first rounds.
_SETTLE_S = 10.0


class Process(typing.NamedTuple):
    """A daemon process and the lines that it wrote."""

    name: str
    failure_domain: str
    popen: subprocess.Popen[str]
    statistics: queue.Queue[dict[str, typing.Any]]

    def tell(self, **command: object) -> None:
        """Writes a command."""
        assert self.popen.stdin is not None
        self.popen.stdin.write(json.dumps(command) + "\n")
        self.popen.stdin.flush()


class Group:
    """All daemon processes of a case and when they adopted revisions."""

    def __init__(self) -> None:
        self.members: list[Process] = []
        self.adopted: dict[int, dict[str,
                                     float]] = collections.defaultdict(dict)
        self.published: dict[int, float] = {}
        self.reverts = 0
        self.changed = threading.Condition()

    def read(self, member: Process) -> None:
        """Reads what a process writes until it ends."""
        assert member.popen.stdout is not None
        for line in member.popen.stdout:
            document = json.loads(line)
            with self.changed:
                if "reverted" in document:
                    self.reverts += 1
                elif "published" in document:
                    self.published[document["published"]] = document["at_s"]
                elif "cpu_s" in document:
                    member.statistics.put(document)
                else:
                    self.adopted[document["revision"]][
                        member.name] = document["at_s"]
                self.changed.notify_all()

    def statistics(self) -> list[dict[str, typing.Any]]:
        """Returns the counters of all processes."""
        for member in self.members:
            member.tell(statistics=True)
        return [
            member.statistics.get(timeout=_READY_TIMEOUT_S)
            for member in self.members
        ]

    def wait_adopted(self, revision: int) -> float:
        """Returns the time at which the last daemon adopted a revision."""
        with self.changed:
            if not self.changed.wait_for(
                    lambda: len(self.adopted[revision]) == len(self.members),
                    _SPREAD_TIMEOUT_S):
                return math.inf
            return max(self.adopted[revision].values())


@contextlib.contextmanager
def running(count: int, domains: int,
            directory: pathlib.Path) -> typing.Iterator[Group]:
    """Runs daemons until the block ends."""
    names = [f"daemon-{i:03d}" for i in range(count)]
    rows = [(name, 0, f"domain-{i % domains:02d}", f"region-{i % domains % 5}",
             f"127.0.0.1:{_FIRST_PORT + i}") for i, name in enumerate(names)]
    lines = [
        peer_keys.write_key_pair(str(directory / name), name) for name in names
    ]
    (directory / "keys").write_text("\n".join(lines))
    (directory / "rows").write_text(json.dumps(rows))
    group = Group()
    with contextlib.ExitStack() as stack:
        for name, _, domain, _, _ in rows:
            popen = stack.enter_context(_process(name, directory))
            member = Process(name, domain, popen, queue.Queue())
            group.members.append(member)
            threading.Thread(target=group.read, args=(member,),
                             daemon=True).start()
        yield group


@contextlib.contextmanager
def _process(name: str,
             directory: pathlib.Path) -> typing.Iterator[subprocess.Popen[str]]:
    popen = subprocess.Popen([
        sys.executable, "-m", "bench.gossip_daemon", "--name", name, "--rows",
        str(directory / "rows"), "--targets",
        str(_TARGETS)
    ],
                             stdin=subprocess.PIPE,
                             stdout=subprocess.PIPE,
                             text=True)
    try:
        yield popen
    finally:
        popen.kill()
        popen.wait()


def measure(count: int, domains: int, rest_s: float, changes: int,
            seed: int) -> dict[str, typing.Any]:
    """Runs one case and returns its figures."""
    rng = random.Random(seed)
    with (tempfile.TemporaryDirectory() as
          name, running(count, domains, pathlib.Path(name)) as group):
        ready_s = _wait_ready(group, count)
        result: dict[str, typing.Any] = {
            "daemons": count,
            "failure_domains": domains,
            "ready_s": ready_s
        }
        time.sleep(_SETTLE_S)
        before = group.statistics()
        time.sleep(rest_s)
        after = group.statistics()
        result |= _rates(before, after)
        spread = []
        for revision in range(1, changes + 1):
            rng.choice(group.members).tell(publish=revision)
            last_s = group.wait_adopted(revision)
            spread.append(last_s - group.published[revision])
            time.sleep(0.3)
        result["change_p50_s"] = float(numpy.percentile(spread, 50))
        result["change_max_s"] = max(spread)
        result |= _cut(group, changes)
        result["reverts"] = group.reverts
        result["counts"] = _sum_counts(group.statistics())
    return result


def _wait_ready(group: Group, count: int) -> float:
    start_s = time.monotonic()
    while any(item["heard"] < count for item in group.statistics()):
        if time.monotonic() - start_s > _READY_TIMEOUT_S:
            return math.inf
        time.sleep(0.5)
    return time.monotonic() - start_s


def _rates(before: list[dict[str, typing.Any]],
           after: list[dict[str, typing.Any]]) -> dict[str, float]:

    def rates(*names: str) -> list[float]:
        return [
            sum(new[name] - old[name]
                for name in names) / (new["at_s"] - old["at_s"])
            for old, new in zip(before, after)
        ]

    traffic = rates("sent_bytes", "received_bytes")
    shares = rates("cpu_s")
    return {
        "bytes_per_s":
            float(numpy.mean(traffic)),
        "bytes_per_s_max":
            max(traffic),
        "messages_per_s":
            float(numpy.mean(rates("sent_messages", "received_messages"))),
        "core_share":
            float(numpy.mean(shares)),
        "core_share_max":
            max(shares),
        "switches_per_s":
            float(numpy.mean(rates("switches"))),
        "resident_mb":
            max(item["resident_mb"] for item in after),
        "links":
            float(numpy.mean([item["links"] for item in after])),
        "heard_min":
            min(item["heard"] for item in after)
    }


def _cut(group: Group, revision: int) -> dict[str, typing.Any]:
    inside = {
        item.name
        for item in group.members
        if item.failure_domain == group.members[0].failure_domain
    }
    outside = {item.name for item in group.members} - inside
    for item in group.members:
        item.tell(cut=sorted(outside if item.name in inside else inside))
    time.sleep(8.0)
    publisher = next(item for item in group.members if item.name not in inside)
    for i in range(_CHANGES_DURING_CUT):
        publisher.tell(publish=revision + i + 1)
        time.sleep(0.05)
    time.sleep(2.0)
    cut_off = [
        item for item, member in zip(group.statistics(), group.members)
        if member.name in inside
    ]
    before = group.statistics()
    for item in group.members:
        item.tell(cut=[])
    healed_s = time.monotonic()
    last_s = group.wait_adopted(revision + _CHANGES_DURING_CUT)
    time.sleep(max(0.0, healed_s + _HEAL_WINDOW_S - time.monotonic()))
    return {
        "cut_daemons":
            len(inside),
        "cut_with_majority":
            sum(item["is_majority_heard"] for item in cut_off),
        "cut_ahead":
            sum(item["revision"] > revision for item in cut_off),
        "heal_s":
            last_s - healed_s,
        "heal_bytes_per_s_max":
            _rates(before, group.statistics())["bytes_per_s_max"],
    }


def _sum_counts(items: list[dict[str, typing.Any]]) -> dict[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for item in items:
        total.update(item["counts"])
    return dict(total)


def fit(results: list[dict[str, typing.Any]]) -> dict[str, float]:
    """Returns the estimate for 330 daemons in 12 failure domains."""
    large = [item for item in results if item["daemons"] > _MESH_LIMIT]
    if len(large) < 3:
        return {}
    rows = numpy.array([[
        1.0, item["daemons"] / item["failure_domains"] - 1,
        item["failure_domains"] - 1
    ] for item in large])
    estimate = {}
    for name in _GOAL:
        values = numpy.array([item[name] for item in large])
        terms, *_ = numpy.linalg.lstsq(rows, values)
        estimate[name] = float(terms @ [1.0, _FIT_MATES, _FIT_OTHER_DOMAINS])
        estimate[name + "_per_mate"] = float(terms[1])
        estimate[name + "_per_domain"] = float(terms[2])
        estimate[name + "_residual_max"] = float(
            numpy.max(numpy.abs(rows @ terms - values)))
    return estimate


def main() -> None:
    """Runs the cases and writes the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case",
                        action="append",
                        help="daemons:failure domains, repeatable")
    parser.add_argument("--rest-s", type=float, default=15.0)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out",
                        type=pathlib.Path,
                        default=pathlib.Path("out/gossip.json"))
    parsed = parser.parse_args()
    cases = _CASES
    if parsed.case:
        cases = tuple(tuple(map(int, case.split(":"))) for case in parsed.case)
    results = []
    for count, domains in cases:
        results.append(
            measure(count, domains, parsed.rest_s, parsed.changes, parsed.seed))
        print(json.dumps(results[-1]), flush=True)
    document = {"cases": results, "fit_330": fit(results), "goal": _GOAL}
    parsed.out.parent.mkdir(exist_ok=True)
    parsed.out.write_text(json.dumps(document, indent=1))
    print(json.dumps(document["fit_330"], indent=1))


if __name__ == "__main__":
    main()
