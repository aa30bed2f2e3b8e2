"""Demonstration: a mixed load during configuration changes and faults.

Runs the Plaza Verde sample with three daemons for about 20 s. During the load
it adds a replica to the inventory and removes another, silences the open
connections of a replica, kills an engine and stops a daemon in a planned way.
At the end it reports each promise and each measure, and it returns exit code 1
if a promise was broken.
"""

import argparse
import contextlib
import copy
import json
import pathlib
import signal
import sys
import threading
import time
import typing

from persimmonspan.process import client
from persimmonspan.process import load
from persimmonspan.process import operations
from persimmonspan.version import model
from testbed import deployment
from testbed import promises
from testbed import tcp_proxy

_LEAVING_GRACE_S = 3.0
_ADDED_REPLICA = "permit-model-7"
_SILENCED_REPLICA = "permit-model-1"
_KILLED_REPLICA = "permit-model-2"
_REMOVED_REPLICA = "permit-model-3"
_MAX_TRIES = 8
_STOP_TIMEOUT_S = 120.0
_POLL_INTERVAL_S = 0.05
_IN_FORCE_TIMEOUT_S = 10.0


class _RevisionMonitor:
    """Polls and records the configuration revision of each daemon."""

    def __init__(self, daemons: list[deployment.Daemon]) -> None:
        self.revisions: dict[str, list[int]] = {
            daemon.name: [] for daemon in daemons
        }
        self._daemons = daemons
        self._stopped = threading.Event()

    def run(self) -> None:
        """Polls until `stop` is called."""
        while not self._stopped.wait(_POLL_INTERVAL_S):
            for daemon in [
                    item for item in self._daemons
                    if item.name in self.revisions
            ]:
                with contextlib.suppress(client.errors.PersimmonspanError):
                    with deployment.operator(daemon) as connection:
                        status = connection.call("GET", "/status")
                    self.revisions.get(daemon.name,
                                       []).append(status["revision"])

    def stop(self) -> None:
        """Ends `run`."""
        self._stopped.set()

    def wait_for_revision(self, revision: int) -> float:
        """Returns the time until all daemons report at least the revision.

        It returns after `_IN_FORCE_TIMEOUT_S` even if a daemon does not.
        """
        start_s = time.monotonic()
        while time.monotonic() - start_s < _IN_FORCE_TIMEOUT_S:
            if all(seen and seen[-1] >= revision
                   for seen in self.revisions.values()):
                break
            time.sleep(_POLL_INTERVAL_S / 5)
        return time.monotonic() - start_s


class _InterferenceResult(typing.NamedTuple):
    in_force_s: list[float]
    leaving_runs: int
    stop_exit_code: int | None


def run(rate_per_s: float, duration_s: float, seed: int) -> int:
    """Runs the demonstration; returns its exit code."""
    plan = deployment.Plan(engine_arguments=("--token-interval-ms", "15",
                                             "--mean-tokens", "80"))
    with contextlib.ExitStack() as stack:
        running = stack.enter_context(deployment.running(plan))
        print(f"{len(running.daemons)} daemons, {len(running.targets)} targets")
        monitor = _RevisionMonitor(running.daemons)
        monitor_thread = threading.Thread(target=monitor.run, daemon=True)
        monitor_thread.start()
        planned = load.plan(running.inventory, rate_per_s, duration_s, seed)
        results: list[load.Result] = []

        def send() -> None:
            addresses = [daemon.address for daemon in running.daemons]
            with load.running_balancer(addresses) as balancer:
                results.extend(
                    load.run(planned, balancer, running.keys(), _MAX_TRIES))

        sender_thread = threading.Thread(target=send)
        sender_thread.start()
        outcome = _inject_changes_and_faults(stack, running, monitor,
                                             duration_s)
        sender_thread.join()
        monitor.stop()
        monitor_thread.join()
        return _report_results(running, results, monitor, outcome)


def _inject_changes_and_faults(stack: contextlib.ExitStack,
                               running: deployment.Deployment,
                               monitor: _RevisionMonitor,
                               duration_s: float) -> _InterferenceResult:
    step_s = duration_s / 8
    inventory = copy.deepcopy(running.inventory)
    engines = inventory["services"][0]["replicas"]
    in_force_s = []
    time.sleep(step_s)

    added = model.ReplicaDocument(name=_ADDED_REPLICA,
                                  address="",
                                  failure_domain=engines[0]["failure_domain"])
    running.targets[_ADDED_REPLICA] = stack.enter_context(
        deployment.start_target(added, "model"))
    engines.append(added)
    running.inventory["services"][0]["replicas"].append(added)
    proxy = stack.enter_context(
        tcp_proxy.running(_replica_port(engines, _SILENCED_REPLICA)))
    _find_replica(engines,
                  _SILENCED_REPLICA)["address"] = f"127.0.0.1:{proxy.port}"
    in_force_s.append(_apply_inventory(running, inventory, monitor))
    print(f"added {_ADDED_REPLICA}: in force everywhere after "
          f"{in_force_s[-1]:.2f} s")
    time.sleep(2 * step_s)

    silenced = proxy.silence_connections()
    end_s = time.monotonic() + step_s
    while not silenced and time.monotonic() < end_s:
        time.sleep(_POLL_INTERVAL_S)
        silenced = proxy.silence_connections()
    print(f"silenced {silenced} open connections of {_SILENCED_REPLICA}")
    time.sleep(step_s)
    running.targets[_KILLED_REPLICA].kill()
    print(f"killed {_KILLED_REPLICA}")
    time.sleep(step_s)

    removed = _find_replica(engines, _REMOVED_REPLICA)
    engines.remove(removed)
    in_force_s.append(_apply_inventory(running, inventory, monitor))
    print(f"removed {_REMOVED_REPLICA}: in force everywhere after "
          f"{in_force_s[-1]:.2f} s")
    time.sleep(_LEAVING_GRACE_S)
    leaving_runs = sum(deployment.read_runs(removed).values())
    stopped = running.daemons[-1]
    monitor.revisions.pop(stopped.name)
    stopped.process.send_signal(signal.SIGTERM)
    print(f"stopping {stopped.name}")
    exit_code = stopped.process.wait(_STOP_TIMEOUT_S)
    return _InterferenceResult(in_force_s, leaving_runs, exit_code)


def _find_replica(replicas: list[model.ReplicaDocument],
                  name: str) -> model.ReplicaDocument:
    return next(item for item in replicas if item["name"] == name)


def _replica_port(replicas: list[model.ReplicaDocument], name: str) -> int:
    return int(_find_replica(replicas, name)["address"].rsplit(":", 1)[1])


def _apply_inventory(running: deployment.Deployment,
                     inventory: model.InventoryDocument,
                     monitor: _RevisionMonitor) -> float:
    with deployment.operator(running.daemons[0]) as connection:
        base = connection.call("GET", "/configuration")["revision"]
        result = connection.apply(
            operations.Documents(base, inventory, running.rules), False)
    return monitor.wait_for_revision(result["revision"])


def _report_results(running: deployment.Deployment, results: list[load.Result],
                    monitor: _RevisionMonitor,
                    outcome: _InterferenceResult) -> int:
    replicas = [
        replica for service in running.inventory["services"]
        for replica in service["replicas"]
    ]
    runs: dict[str, int] = {}
    for replica in replicas:
        for name, count in deployment.read_runs(replica).items():
            runs[name] = runs.get(name, 0) + count
    removed = _find_replica(replicas, _REMOVED_REPLICA)
    verdicts = promises.check_promises(
        promises.Observations(
            results=results,
            non_idempotent_kinds=frozenset(
                kind["name"]
                for kind in running.inventory["request_kinds"]
                if not kind["idempotent"]),
            runs=runs,
            leaving_runs=(outcome.leaving_runs,
                          sum(deployment.read_runs(removed).values())),
            stop_exit_code=outcome.stop_exit_code,
            revisions=monitor.revisions,
            in_force_s=outcome.in_force_s))
    summary = load.summarise(results)
    print("\nPROMISES")
    for line in promises.format_report(verdicts):
        print(line)
    print("\nMEASURES")
    print(json.dumps(summary, indent=2))
    pathlib.Path("out/demo.json").write_text(json.dumps(
        {
            "summary": summary,
            "promises": [verdict._asdict() for verdict in verdicts]
        },
        indent=2),
                                             encoding="utf-8")
    return 1 if any(verdict.broken for verdict in verdicts) else 0


def main() -> int:
    """Runs the demonstration from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=20.0, help="requests/s")
    parser.add_argument("--duration", type=float, default=20.0, help="seconds")
    parser.add_argument("--seed", type=int, default=1)
    parsed = parser.parse_args()
    return run(parsed.rate, parsed.duration, parsed.seed)


if __name__ == "__main__":
    sys.exit(main())
