"""Payments and orders under faults over real processes.

    python -m bench.at_most_once --seed 1

Callers send payments and orders, each under its own idempotency key, to worker
processes and repeat them until they have an answer or are told that the outcome
is unknown. Meanwhile workers are killed (SIGKILL) and paused (SIGSTOP), the
table service loses answers, delays writes and is down for a while, and the
target refuses, closes, answers late or answers another request. At the end the
target's log of runs is compared with what the callers were told.
"""

import argparse
import collections
import contextlib
import json
import random
import signal
import subprocess
import sys
import threading
import time
import typing

import urllib3

from testbed import processes

_CALLERS = 24
_CALL_TIMEOUT_S = 8.0
_PAUSE_S = 0.5
_GIVE_UP_S = 150.0
_IN_PROGRESS_LIMIT = 8
_WORKSPACES = ("payments", "orders")


class Told(typing.NamedTuple):
    """What a caller was told in the end."""

    outcome: str
    body: bytes
    attempts: int


class _Worker:
    """One worker process, which is started again after a kill."""

    def __init__(self, name: str, arguments: list[str]) -> None:
        self.port = processes.free_port()
        self._arguments = ["--name", name, "--port", str(self.port), *arguments]
        self._stack = contextlib.ExitStack()
        self._process = self._start()

    def restart(self) -> None:
        """Kills the process and starts the next incarnation."""
        self.stop()
        self._process = self._start()

    def stop(self) -> None:
        """Kills the process."""
        self._stack.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._process.send_signal(number)

    def _start(self) -> subprocess.Popen[bytes]:
        return self._stack.enter_context(
            processes.running("testbed.ledger_worker",
                              *self._arguments,
                              port=self.port))


class Bench:
    """Processes, callers and faults of one run."""

    def __init__(self, options: argparse.Namespace, platform: str, desk: str,
                 workers: list[_Worker]) -> None:
        self._options = options
        self._platform = platform
        self._desk = desk
        self._workers = workers
        self._pool = urllib3.PoolManager(num_pools=16,
                                         maxsize=_CALLERS,
                                         retries=False)
        self._started_s = time.monotonic()
        self.told: dict[str, Told] = {}
        self.changed: list[str] = []
        self.events: collections.Counter[str] = collections.Counter()
        self._finished = threading.Event()

    def run(self) -> None:
        """Sends all calls under faults."""
        keys = [
            f"{workspace}-{i}" for i in range(self._options.calls)
            for workspace in _WORKSPACES
        ]
        faults = threading.Thread(target=self._disturb)
        if not self._options.undisturbed:
            faults.start()
        callers = [
            threading.Thread(target=self._call_all, args=(keys[i::_CALLERS], i))
            for i in range(_CALLERS)
        ]
        for thread in callers:
            thread.start()
        for thread in callers:
            thread.join()
        self._finished.set()
        if not self._options.undisturbed:
            faults.join()

    def report(self) -> dict[str, object]:
        """Compares what callers were told with the target's log."""
        desk = self._get(self._desk, "/runs")
        runs = desk["runs"]
        outcomes = collections.Counter(
            item.outcome for item in self.told.values())
        answered = [
            key for key, item in self.told.items() if item.outcome == "answered"
        ]
        unknown = [
            key for key, item in self.told.items() if item.outcome == "unknown"
        ]
        seconds = time.monotonic() - self._started_s
        stats = self._get(self._platform, "/stats")
        workers = [
            self._get(f"127.0.0.1:{worker.port}", "/stats")
            for worker in self._workers
        ]
        return {
            "seed":
                self._options.seed,
            "seconds":
                round(seconds, 1),
            "calls":
                len(self.told),
            "requests":
                sum(item.attempts for item in self.told.values()),
            "outcomes":
                dict(outcomes),
            "run_twice":
                sum(count > 1 for count in runs.values()),
            "lost":
                sum(key not in runs for key in answered),
            "answers_changed":
                len(self.changed),
            "unknown_ran":
                sum(key in runs for key in unknown),
            "target_faults":
                desk["faults"],
            "events":
                dict(self.events),
            "claim_p50_ms": [
                round(item["claim_p50_s"] * 1e3, 1) for item in workers
            ],
            "claim_p99_ms": [
                round(item["claim_p99_s"] * 1e3, 1) for item in workers
            ],
            "kept_rows":
                sum(item["kept_rows"] for item in workers),
            "counts":
                dict(
                    sum((collections.Counter(item["counts"])
                         for item in workers), collections.Counter())),
            "reads_per_daemon_s": {
                name: round(item.get("reads", 0) / seconds, 2)
                for name, item in sorted(stats.items())
            },
            "writes_per_daemon_s": {
                name: round(item.get("writes", 0) / seconds, 2)
                for name, item in sorted(stats.items())
            }
        }

    def _call_all(self, keys: list[str], seed: int) -> None:
        rng = random.Random(self._options.seed * 1000 + seed)
        interval_s = self._options.spread_s / max(1, len(keys))
        for i, key in enumerate(keys):
            start_s = self._started_s + (i + rng.random()) * interval_s
            time.sleep(max(0.0, start_s - time.monotonic()))
            self.told[key] = told = self._call(key, rng)
            if told.outcome == "answered":
                again = self._send(key, rng)
                if again[0] == "answered" and again[1] != told.body:
                    self.changed.append(key)

    def _call(self, key: str, rng: random.Random) -> Told:
        end_s = time.monotonic() + _GIVE_UP_S
        attempts = in_progress = 0
        while time.monotonic() < end_s:
            attempts += 1
            outcome, body = self._send(key, rng)
            in_progress += outcome == "in_progress"
            if outcome in ("answered", "unknown"):
                return Told(outcome, body, attempts)
            if in_progress == _IN_PROGRESS_LIMIT:
                return Told("unknown", b"", attempts)
            time.sleep(_PAUSE_S * rng.uniform(0.5, 1.5))
        return Told("given_up", b"", attempts)

    def _send(self, key: str, rng: random.Random) -> tuple[str, bytes]:
        port = rng.choice(self._workers).port
        workspace = key.split("-", maxsplit=1)[0]
        try:
            response = self._pool.request(
                "POST",
                f"http://127.0.0.1:{port}/{workspace}",
                body=key.encode(),
                headers={"Idempotency-Key": key},
                timeout=urllib3.Timeout(connect=0.5, read=_CALL_TIMEOUT_S))
        except (urllib3.exceptions.HTTPError, OSError):
            return "no_answer", b""
        if response.status == 200:
            return "answered", response.data
        error = json.loads(response.data)
        if error["code"] == "outcome_unknown":
            return "unknown", b""
        return ("not_run"
                if error["run_state"] == "not_run" else "in_progress"), b""

    def _disturb(self) -> None:
        rng = random.Random(self._options.seed)
        down_at_s = self._started_s + self._options.down_at_s
        while not self._finished.wait(rng.uniform(1.0, 4.0)):
            if time.monotonic() > down_at_s:
                down_at_s = float("inf")
                self._fault({"down_s": self._options.down_s})
                self.events["outage"] += 1
            worker = rng.choice(self._workers)
            if rng.random() < 0.5:
                worker.restart()
                self.events["kill"] += 1
            else:
                worker.send_signal(signal.SIGSTOP)
                self._finished.wait(rng.uniform(0.5, 6.0))
                worker.send_signal(signal.SIGCONT)
                self.events["pause"] += 1

    def _fault(self, fault: dict[str, float]) -> None:
        self._pool.request("POST", f"http://{self._platform}/fault", json=fault)

    def _get(self, address: str, path: str) -> dict[str, typing.Any]:
        return self._pool.request("GET", f"http://{address}{path}").json()


def main(arguments: list[str] | None = None) -> int:
    """Runs the bench; returns 1 if a call was lost or run twice."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calls",
                        type=int,
                        default=300,
                        help="payments, and as many orders")
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--spread-s", type=float, default=110.0)
    parser.add_argument("--down-at-s", type=float, default=25.0)
    parser.add_argument("--down-s", type=float, default=60.0)
    parser.add_argument("--target-faults", type=float, default=0.08)
    parser.add_argument("--lost-answers", type=float, default=0.05)
    parser.add_argument("--late-writes", type=float, default=0.02)
    parser.add_argument("--daemons",
                        type=int,
                        help="daemons that share the store's budget, by "
                        "default the number of workers")
    parser.add_argument("--undisturbed",
                        action="store_true",
                        help="neither kill nor pause workers, no outage")
    options = parser.parse_args(arguments)
    platform, desk = processes.free_port(), processes.free_port()
    with contextlib.ExitStack() as stack:
        stack.enter_context(
            processes.running("testbed.platform",
                              "--port",
                              str(platform),
                              "--lost-answers",
                              str(options.lost_answers),
                              "--late-writes",
                              str(options.late_writes),
                              "--late-ms",
                              "1500",
                              "--seed",
                              str(options.seed),
                              port=platform))
        stack.enter_context(
            processes.running("testbed.faulty_desk",
                              "--port",
                              str(desk),
                              "--faults",
                              str(options.target_faults),
                              "--seed",
                              str(options.seed),
                              port=desk))
        worker_arguments = [
            "--platform", f"127.0.0.1:{platform}", "--target",
            f"127.0.0.1:{desk}", "--daemons",
            str(options.daemons or options.workers)
        ]
        workers = []
        for i in range(options.workers):
            worker = _Worker(f"daemon-{i + 1}", worker_arguments)
            workers.append(worker)
            stack.callback(worker.stop)
        bench = Bench(options, f"127.0.0.1:{platform}", f"127.0.0.1:{desk}",
                      workers)
        bench.run()
        report = bench.report()
    print(json.dumps(report, indent=1))
    return 1 if report["run_twice"] or report["lost"] else 0


if __name__ == "__main__":
    sys.exit(main())
