"""Randomized soak of edge daemons that injects faults and checks promises.

Real daemons run as processes in front of stand-ins of the store and of
replicas. While callers send requests, daemons are paused, killed, stopped and
restarted, the store fails, and replicas interrupt responses and reset
connections. Replicas leave, which they report to the store or say in their
answers, and start again under their name. Halfway, the store comes back from a
copy some seconds old; what its writers wrote since is written again. One part
of a prompt crashes each engine that begins to answer it. Faults end before the
callers do: a replica then names a rate, and the daemons must keep to it, refuse
the part and serve the newest configuration. Afterwards the responses and the
runs at replicas are checked.

    python -m testbed.soak --seeds 50 --seconds 8
"""

import argparse
import collections
import collections.abc
import contextlib
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import typing

from testbed import edge_store
from testbed import replica
from testbed import soak_configuration
from testbed import soak_leaving
from testbed import soak_replicas

_DAEMON_COUNT = 3
_CALLER_PAUSE_S = 0.05
_CALLER_COUNT = 6
_RESPONSE_TIMEOUT_S = 6.0
_SHUTDOWN_GRACE_S = 2.0
_COPY_AGE_S = 2.0  # Of the copy from which the store comes back, at most.
_CRASHING_SHARE = 0.15  # Of the drafts.
# After the faults, daemons have this time to be in touch, and are then checked.
_SETTLE_S = 3.0
_CHECK_S = 4.0
_DESKS = frozenset({"i-0", "i-1", "i-2"})
# Callers conclude from these that a request was not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# The bounds of the operators for the time of the check.
_MAX_LATE_CRASHES = 3
_MAX_LIMITED_REQUESTS = 1.5 * soak_replicas.RATE_PER_S * _CHECK_S + 5
_MAX_LATE_REQUESTS = 2


class Result(typing.NamedTuple):
    """Response to one request; status 0 means no whole response.

    The kind is that of its route, or "crashing" for a draft with the part that
    crashes engines.
    """

    request_id: str
    kind: str
    status: int
    body: bytes


def find_broken_promises(
        results: collections.abc.Iterable[Result],
        runs: collections.abc.Mapping[str, int]) -> dict[str, list[str]]:
    """Returns the ids of requests that broke each promise.

    Args:
        results: Responses that callers received.
        runs: How often replicas started each request, without runs that
            continued from the memory of an earlier one.

    >>> find_broken_promises([Result("a", "non_idempotent", 503, b"")],
    ...                      {"a": 1})
    {'refused_but_ran': ['a'], 'served_nothing': ['all']}
    """
    broken: dict[str, list[str]] = collections.defaultdict(list)
    any_served = False
    for result in results:
        name, run_count = result.request_id, runs.get(result.request_id, 0)
        if result.status == 200:
            any_served = True
            expected = (_stream_body()
                        if result.kind == "draft" else name.encode())
            if result.body != expected:
                broken["stream_wrong" if result.kind ==
                       "draft" else "answered_wrong"].append(name)
        if result.kind != "idempotent":
            if run_count > 1:
                broken["ran_twice"].append(name)
            if result.status in _NOT_RUN_STATUSES and run_count:
                broken["refused_but_ran"].append(name)
    if not any_served:
        broken["served_nothing"].append("all")
    return dict(broken)


def find_exceeded_bounds(late_crashes: int,
                         limited_requests: int,
                         late_requests: int = 0) -> dict[str, list[str]]:
    """Returns which bounds were exceeded after the faults had ended.

    Args:
        late_crashes: Engines that crashed.
        limited_requests: Requests to the replica that named a rate.
        late_requests: Most requests of a daemon in a pause that it knew.

    >>> find_exceeded_bounds(3, 11, 2), find_exceeded_bounds(4, 0)
    ({}, {'part_not_refused': ['4 crashes']})
    >>> find_exceeded_bounds(0, 0, 3)
    {'pause_not_kept': ['3 requests']}
    """
    broken = {}
    if late_crashes > _MAX_LATE_CRASHES:
        broken["part_not_refused"] = [f"{late_crashes} crashes"]
    if limited_requests > _MAX_LIMITED_REQUESTS:
        broken["rate_exceeded"] = [f"{limited_requests} requests"]
    if late_requests > _MAX_LATE_REQUESTS:
        broken["pause_not_kept"] = [f"{late_requests} requests"]
    return broken


def _stream_body() -> bytes:
    return b"".join(b"id: %d\ndata: t%d\n\n" % (number, number)
                    for number in range(1, soak_replicas.EVENTS_PER_STREAM + 1))


class _Daemon:
    """One daemon process, which can be stopped and restarted."""

    def __init__(self, number: int, store_address: str,
                 folder: pathlib.Path) -> None:
        self.address = _free_address()
        self._log = folder / f"edge-{number}.log"
        self._settings = folder / f"edge-{number}.json"
        peer_port = int(_free_address().rsplit(":", 1)[1])
        self._settings.write_text(
            json.dumps({
                "nodeName": f"edge-{number}",
                "ip": "127.0.0.1",
                "zone": "a",
                "listenersMap": {
                    "frontend": self.address,
                    "readiness": _free_address()
                },
                "platform": {
                    "address": store_address
                },
                "portRange": [peer_port, peer_port],
                "bounds": {
                    "graceS": _SHUTDOWN_GRACE_S
                }
            }))
        self.process: subprocess.Popen[bytes] | None = None
        self.start()

    def start(self) -> None:
        """Starts the process."""
        environment = os.environ | {"PERSIMMONSPAN_CONFIG": str(self._settings)}
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(  # pylint: disable=consider-using-with
                [sys.executable, "-m", "persimmonspan.platform"],
                env=environment,
                stdout=log,
                stderr=log)

    def stop(self, stop_signal: signal.Signals) -> None:
        """Signals the process and waits; kills it after a timeout."""
        self.process.send_signal(stop_signal)
        try:
            self.process.wait(_SHUTDOWN_GRACE_S + 2.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def _free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def _send_request(address: str,
                  request_id: str,
                  kind: str,
                  departures: soak_leaving.Departures | None = None) -> Result:
    part = soak_replicas.CRASHING_PART if kind == "crashing" else "b0"
    route = "draft" if kind == "crashing" else kind
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host,
                                            int(port),
                                            timeout=_RESPONSE_TIMEOUT_S)
    try:
        connection.request(
            "POST", f"/{route}/1", request_id.encode(), {
                "Host": soak_configuration.HOST,
                "X-Attempt-Id": request_id,
                "X-Deadline-Ms": "4000",
                "X-Token-Usage": "100,48",
                "X-Prefix-Hash": f"a0:20,{part}:20,{request_id}:20"
            })
        response = connection.getresponse()
        body = response.read()
        if departures is not None and response.getheader(replica.LEAVING):
            departures.record_passed_on(request_id)
        return Result(request_id, kind, response.status, body)
    except (OSError, http.client.HTTPException):
        return Result(request_id, kind, 0, b"")
    finally:
        connection.close()


class Soak:
    """One soak with a seed."""

    def __init__(self, seed: int, seconds: float, folder: pathlib.Path) -> None:
        self.results: list[Result] = []
        self.faults: list[str] = []
        self._rng = random.Random(seed)
        self._seed = seed
        self._seconds = seconds
        self._folder = folder
        self._callers_stopped = threading.Event()
        self._version = 1  # Of the configuration.
        self._outdated: list[str] = []
        self._departures = soak_leaving.Departures()
        self._settled_s = 0.0  # When the check of the bounds began.

    @property
    def leaving_passed_on(self) -> int:
        """Number of answers that said to callers that a replica leaves."""
        return self._departures.passed_on

    def run(self) -> dict[str, list[str]]:
        """Runs callers and injects faults; returns the broken promises."""
        replicas = soak_replicas.Replicas(random.Random(self._seed + 1))
        self._departures = replicas.departures
        with contextlib.ExitStack() as stack:
            store = stack.enter_context(edge_store.Store().running())
            entries = soak_replicas.start_replicas(stack, replicas, store)
            store.write("op", "config", soak_configuration.configuration(1))
            daemons = [
                _Daemon(number, store.address, self._folder)
                for number in range(_DAEMON_COUNT)
            ]
            try:
                self._run_workload(daemons, store, replicas, entries)
            finally:
                for daemon in daemons:
                    daemon.process.kill()
                    daemon.process.wait()
        checked_s = self._settled_s
        return find_broken_promises(
            self.results, replicas.runs) | find_exceeded_bounds(
                sum(at_s >= checked_s for at_s in replicas.crashed_s),
                sum(at_s >= checked_s for at_s in replicas.limited_s),
                replicas.count_late(checked_s)) | ({
                    "configuration_outdated": self._outdated
                } if self._outdated else {}) | ({
                    "request_after_leaving": self._departures.late
                } if self._departures.late else {})

    def _run_workload(self, daemons: list[_Daemon], store: edge_store.Store,
                      replicas: soak_replicas.Replicas,
                      entries: dict[str, soak_replicas.Entry]) -> None:
        time.sleep(1.5)
        callers = [
            threading.Thread(target=self._run_caller, args=(daemons, number))
            for number in range(_CALLER_COUNT)
        ]
        for caller in callers:
            caller.start()
        began_s = time.monotonic()
        copies = []
        while time.monotonic() < began_s + self._seconds:
            copies.append((time.monotonic(), store.copy()))
            self._inject_fault(daemons, store, replicas, entries)
            time.sleep(self._rng.uniform(0.1, 0.6))
            if store.era == 1 and (time.monotonic()
                                   >= began_s + self._seconds / 2):
                self._come_back(store, copies, entries)
        store.mode, replicas.fault_share = "ok", 0.0
        replicas.closing = None
        replicas.limited = entries["i-0"].server
        for name, entry in list(entries.items()):
            replicas.write_ready(store, name, entry)
        time.sleep(_SETTLE_S)
        self._outdated = [
            daemon.address for daemon in daemons if _send_request(
                daemon.address, f"version-at-{daemon.address}",
                soak_configuration.version_route(self._version)).status == 404
        ]
        self._settled_s = time.monotonic()
        for name in ("i-1", self._rng.choice(sorted(set(entries) - _DESKS))):
            entry = entries.get(name)
            replicas.closing = entry.server if entry is not None else None
            time.sleep(_CHECK_S / 2)
        replicas.closing = None
        self._callers_stopped.set()
        for caller in callers:
            caller.join()

    def _come_back(self, store: edge_store.Store,
                   copies: list[tuple[float, edge_store.Copy]],
                   entries: dict[str, soak_replicas.Entry]) -> None:
        """Lets the store come back from a copy, and its writers write again."""
        self.faults.append("return")
        now_s = time.monotonic()
        recent = [copy for at_s, copy in copies if now_s - at_s <= _COPY_AGE_S]
        mode, store.mode = store.mode, self._rng.choice(["busy", store.mode])
        store.restore(self._rng.choice(recent or [copies[-1][1]]))
        time.sleep(self._rng.uniform(0.1, 1.0))
        store.mode = mode
        store.write("op", "config",
                    soak_configuration.configuration(self._version))
        for name, entry in list(entries.items()):
            store.write("servers", name, entry.document)

    def _run_caller(self, daemons: list[_Daemon], number: int) -> None:
        rng = random.Random(self._seed * 100 + number)
        for index in range(100_000):
            if self._callers_stopped.is_set():
                return
            kind = rng.choice(["idempotent", "non_idempotent", "draft"])
            if kind == "draft" and rng.random() < _CRASHING_SHARE:
                kind = "crashing"
            position = rng.randrange(len(daemons))
            address = daemons[position].address
            name = f"r{number}x{index}d{position}"
            self._departures.record_sent(name, address)
            self.results.append(
                _send_request(address, name, kind, self._departures))
            time.sleep(_CALLER_PAUSE_S)

    def _inject_fault(self, daemons: list[_Daemon], store: edge_store.Store,
                      replicas: soak_replicas.Replicas,
                      entries: dict[str, soak_replicas.Entry]) -> None:
        kind = self._rng.choice([
            "kill", "stop", "pause", "store", "replicas", "leave", "leave",
            "leave", "change", "reload", "close"
        ])
        daemon = self._rng.choice(daemons)
        self.faults.append(kind)
        if kind == "kill":
            daemon.stop(signal.SIGKILL)
            self._departures.excuse(daemon.address)
            daemon.start()
        elif kind == "stop":
            daemon.stop(signal.SIGTERM)
            self._departures.excuse(daemon.address)
            daemon.start()
        elif kind == "pause":
            daemon.process.send_signal(signal.SIGSTOP)
            time.sleep(self._rng.uniform(0.1, 1.0))
            daemon.process.send_signal(signal.SIGCONT)
            self._departures.excuse(daemon.address)
        elif kind == "store":
            store.mode = self._rng.choice(["ok", "busy", "silent", "lost"])
        elif kind == "close":
            name = self._rng.choice(sorted(entries))
            replicas.closing = self._rng.choice([entries[name].server, None])
        elif kind == "replicas":
            replicas.fault_share = self._rng.choice([0.0, 0.1, 0.3])
        elif kind == "leave":
            name = self._rng.choice(sorted(entries))
            sources = self._rng.choice(["store", "answer", "both"])
            self.faults.append(f"{name}: {sources}")
            replicas.leave_or_return(store, name, entries[name], sources)
        elif kind == "change":
            self._version += 1
            store.write("op", "config",
                        soak_configuration.configuration(self._version))
        else:
            daemon.process.send_signal(signal.SIGHUP)


def main() -> int:
    """Runs some seeds; returns 1 if one broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    parsed = parser.parse_args()
    failed = 0
    for seed in range(parsed.first, parsed.first + parsed.seeds):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, parsed.seconds, pathlib.Path(folder))
            broken = soak.run()
            statuses = collections.Counter(
                result.status for result in soak.results)
            print(json.dumps({
                "seed": seed,
                "broken": broken,
                "statuses": dict(statuses.most_common()),
                "faults": soak.faults,
                "leaving_passed_on": soak.leaving_passed_on
            }),
                  flush=True)
            if broken:
                failed += 1
                for log in pathlib.Path(folder).glob("*.log"):
                    kept_log = pathlib.Path("out") / f"soak-{seed}-{log.name}"
                    kept_log.parent.mkdir(exist_ok=True)
                    kept_log.write_bytes(log.read_bytes())
    print(f"{parsed.seeds} seeds, {failed} with a promise broken")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
