"""Measures control over real processes: changes, leaving targets, idle cost.

    python -m bench.control --daemons 8

starts a deployment, commits changes and measures the time from acceptance to
when every daemon shows the revision: undisturbed, and with one daemon paused
while the store is slow (the paused one is timed from its resumption). Then it
drains a target under load and measures how long it still gets new work. At the
start it reads processor time, memory, and store operations of idle daemons.
"""

import argparse
import contextlib
import copy
import json
import pathlib
import signal
import threading
import time
import typing

import urllib3
from hdrh import histogram

from persimmonspan import errors
from persimmonspan.process import load
from persimmonspan.process import operations
from testbed import deployment
from testbed import processes

_OUT = pathlib.Path("out/control.json")
_POLL_S = 0.005
_TIMEOUT_S = 20.0
_PAUSE_S = 5.0
_SLOW_STORE_MS = 300
_IDLE_S = 10.0
_LOAD_RATE = 40.0
_LOAD_S = 12.0
_DRAINED = "permit-model-2"
_US_PER_S = 1e6


def main() -> None:
    """Runs all measurements and writes them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=8)
    parser.add_argument("--changes", type=int, default=60)
    parsed = parser.parse_args()
    plan = deployment.Plan(daemons=parsed.daemons, max_streams=64)
    with deployment.running(plan) as running:
        time.sleep(3.0)
        report = {
            "daemons": parsed.daemons,
            "idle": _idle(running),
            "change": _percentiles(_changes(running, parsed.changes)),
            "change_disturbed": _disturbed(running),
            "leaving": _leaving(running),
        }
    _OUT.parent.mkdir(exist_ok=True)
    _OUT.write_text(json.dumps(report, indent=2), encoding="utf-8")
    print(json.dumps(report, indent=2))


def _changes(running: deployment.Deployment, number: int) -> list[float]:
    return [
        _time_change(running, running.daemons[i % len(running.daemons)],
                     running.daemons, i) for i in range(number)
    ]


def _time_change(running: deployment.Deployment, through: deployment.Daemon,
                 watched: list[deployment.Daemon], number: int) -> float:
    """Returns the time from acceptance until all watched daemons follow."""
    revision = _commit(running, through, number)
    return _time_until(watched, revision, time.monotonic())


def _commit(running: deployment.Deployment, through: deployment.Daemon,
            number: int) -> int:
    inventory = copy.deepcopy(running.inventory)
    inventory["workspaces"][0]["share"] = 1.0 + number % 7 + number / 1000
    with deployment.operator(through) as connection:
        base = connection.call("GET", "/configuration")["revision"]
        result = connection.apply(
            operations.Documents(base, inventory, running.rules), False)
    return result["revision"]


def _time_until(watched: list[deployment.Daemon], revision: int,
                start_s: float) -> float:
    waiting = list(watched)
    while waiting and time.monotonic() - start_s < _TIMEOUT_S:
        waiting = [daemon for daemon in waiting if _revision(daemon) < revision]
        time.sleep(_POLL_S)
    return time.monotonic() - start_s


def _revision(daemon: deployment.Daemon) -> int:
    try:
        with deployment.operator(daemon) as connection:
            return connection.call("GET", "/status")["revision"]
    except errors.PersimmonspanError:
        return 0


def _disturbed(running: deployment.Deployment) -> dict[str, typing.Any]:
    """Changes while the store is slow and the last daemon is paused."""
    _fault(running, {"delay_ms": _SLOW_STORE_MS})
    paused = running.daemons[-1]
    others = running.daemons[:-1]
    times_s, resumed_s = [], []
    try:
        for i in range(6):
            paused.process.send_signal(signal.SIGSTOP)
            try:
                time.sleep(_PAUSE_S / 2)
                revision = _commit(running, others[0], 100 + i)
                times_s.append(_time_until(others, revision, time.monotonic()))
                time.sleep(_PAUSE_S / 2)
            finally:
                paused.process.send_signal(signal.SIGCONT)
            resumed_s.append(_time_until([paused], revision, time.monotonic()))
    finally:
        _fault(running, {"delay_ms": 0})
    return {
        "store_delay_ms": _SLOW_STORE_MS,
        "others": _percentiles(times_s),
        "paused_after_resumption": _percentiles(resumed_s)
    }


def _leaving(running: deployment.Deployment) -> dict[str, float]:
    """Drains a target under load; returns how long it still got new work."""
    planned = [
        item for item in load.plan(running.inventory, _LOAD_RATE, _LOAD_S, 1)
        if item.is_streamed
    ]
    replica = next(item for service in running.inventory["services"]
                   for item in service["replicas"] if item["name"] == _DRAINED)
    results: list[load.Result] = []

    def send() -> None:
        addresses = [daemon.address for daemon in running.daemons]
        with load.running_balancer(addresses) as balancer:
            results.extend(load.run(planned, balancer, running.keys(), 3))

    sending = threading.Thread(target=send)
    sending.start()
    time.sleep(_LOAD_S / 3)
    before = sum(deployment.read_runs(replica).values())
    with deployment.operator(running.daemons[0]) as connection:
        connection.call("POST", f"/targets/{_DRAINED}/drain")
    accepted_s = time.monotonic()
    last_s, runs = 0.0, sum(deployment.read_runs(replica).values())
    while time.monotonic() - accepted_s < _LOAD_S / 2:
        now_runs = sum(deployment.read_runs(replica).values())
        if now_runs > runs:
            runs, last_s = now_runs, time.monotonic() - accepted_s
        time.sleep(_POLL_S)
    sending.join()
    return {
        "runs_before": before,
        "last_new_work_s": last_s,
        "requests": len(results),
        "complete": sum(item.outcome == "complete" for item in results)
    }


def _idle(running: deployment.Deployment) -> dict[str, float]:
    """Returns cost per idle daemon over a time without requests."""
    pids = [daemon.process.pid for daemon in running.daemons]
    before_s = [processes.cpu_s(pid) for pid in pids]
    reads, writes = _operations(running)
    time.sleep(_IDLE_S)
    after_s = [processes.cpu_s(pid) for pid in pids]
    reads_after, writes_after = _operations(running)
    shares = [(b - a) / _IDLE_S for a, b in zip(before_s, after_s)]
    share = 1 / (_IDLE_S * len(pids))
    return {
        "core_share_mean": sum(shares) / len(shares),
        "core_share_max": max(shares),
        "resident_mb_max": max(map(_resident_mb, pids)),
        "store_reads_per_s": (reads_after - reads) * share,
        "store_writes_per_s": (writes_after - writes) * share,
    }


def _operations(running: deployment.Deployment) -> tuple[int, int]:
    stats = urllib3.request(
        "GET", f"http://127.0.0.1:{running.platform_port}/stats").json()
    return (sum(item["reads"] for item in stats.values()),
            sum(item["writes"] for item in stats.values()))


def _fault(running: deployment.Deployment, fault: dict[str, float]) -> None:
    urllib3.request("POST",
                    f"http://127.0.0.1:{running.platform_port}/fault",
                    json=fault)


def _resident_mb(pid: int) -> float:
    with contextlib.suppress(StopIteration):
        lines = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
        return next(
            int(line.split()[1]) / 1024
            for line in lines.splitlines()
            if line.startswith("VmRSS"))
    return 0.0


def _percentiles(times_s: list[float]) -> dict[str, float]:
    recorded = histogram.HdrHistogram(1, 60_000_000, 3)
    for time_s in times_s:
        recorded.record_value(max(1, int(time_s * _US_PER_S)))
    return {
        "number": len(times_s),
        "p50_s": recorded.get_value_at_percentile(50) / _US_PER_S,
        "p99_s": recorded.get_value_at_percentile(99) / _US_PER_S,
        "max_s": recorded.get_max_value() / _US_PER_S,
    }


if __name__ == "__main__":
    main()
