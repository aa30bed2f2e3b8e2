"""Drafts with bodies of the largest size that the configuration allows."""

import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standins  # pylint: disable=wrong-import-position

_MEMORY_MB = 150  # DEPLOY.md and SYSTEM.md: of a machine of pvs-lima.
_MACHINES = 7  # SYSTEM.md: of pvs-lima.
_LOST = 5  # SYSTEM.md: "To be borne at once: the loss of any number".
_BODY_BYTES = 4194304  # `maxBodyBytes` of the configuration, DEPLOY.md's too.
_DRAFTS_PER_S = 2.02  # SYSTEM.md: `permit-draft` of pvs-lima.
_EVENTS = 235  # SYSTEM.md: the mean of `permit-draft`.
_EVENT_PAUSE_S = 0.05  # SYSTEM.md: on time up to 0.18.
_TRAFFIC_S = 75.0
_LOSS_S = 10.0
_RESTART_S = 0.5
_ENDS_OF_A_MACHINE = 3  # RULES.md, "Faults".


class _Machine:
    """A daemon, and the platform that keeps its memory limit."""

    def __init__(self, record, daemon):
        self.daemon, self._record = daemon, record
        self.ends, self.is_lost, self.peak_mb = 0, False, 0.0
        self._is_over = threading.Event()
        daemon.start()

    def watch(self):
        """Kills the process above its limit and starts it again."""
        while not self._is_over.wait(0.02):
            if self.is_lost:
                return
            if self.daemon.poll() is not None:
                self._record.write(f"{self.daemon.name} ended by itself")
                self._restart()
                continue
            memory_mb = self.daemon.memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            if memory_mb > _MEMORY_MB:
                self._record.write(
                    f"{self.daemon.name} uses {memory_mb:.0f} MB of "
                    f"{_MEMORY_MB}: killed by the platform")
                self.daemon.kill()
                self._restart()

    def _restart(self):
        self.ends += 1
        time.sleep(_RESTART_S)
        if not self._is_over.is_set():
            self.daemon.start()

    def lose(self):
        """Takes the machine away for good."""
        self.is_lost = True
        self.daemon.kill()
        self._record.write(f"{self.daemon.name} is lost for good")

    def end(self):
        """Ends the process."""
        self._is_over.set()
        self.daemon.kill()


def _draft(replica, request):
    del replica
    time.sleep(0.3)
    yield standins.stream_begin(request)
    for number in range(1, _EVENTS + 1):
        yield standins.event(number)
        time.sleep(_EVENT_PAUSE_S)
    yield standins.STREAM_END


class _Clients:
    """Send drafts to the machines that are in rotation."""

    def __init__(self, record, machines):
        self._record, self._machines = record, machines
        self._lock = threading.Lock()
        self._in_flight = {}
        self.counts = {}

    def send(self, number):
        """Sends a draft on a connection that was used before."""
        ready = [
            item for item in self._machines
            if not item.is_lost and item.daemon.is_ready()
        ]
        if not ready:
            self._count("no machine was ready")
            return
        # Evenly, which is kinder than the platform's balancer.
        daemon = ready[number % len(ready)].daemon
        name = daemon.name
        self._record.write(f"draft-{number} sent to {name}")
        try:
            with socket.create_connection(standins.split(daemon.front),
                                          1.0) as sock:
                look = standins.send(daemon.front,
                                     "/look/a",
                                     f"look-{number}",
                                     method="GET",
                                     deadline_ms=2500,
                                     connection=sock)
                answer = standins.send(
                    daemon.front,
                    "/draft/a",
                    f"draft-{number}",
                    b"x" * _BODY_BYTES,
                    deadline_ms=39000,
                    connection=sock,
                    headers=("X-Model: m", "X-Token-Usage: 3000,940",
                             f"X-Prefix-Hash: 5c1e07a2:79,{number + 4096:x}"
                             ":2921"))
        except OSError:
            look, answer = standins.Answer(), standins.Answer()
        outcome = (
            "whole" if answer.is_whole and answer.status == 200 else
            f"status {answer.status}" if answer.is_whole else
            "broken off midway" if answer.status else "without an answer")
        self._record.write(f"draft-{number} at {name}: {outcome} "
                           f"(the look before: {look.status})")
        self._count(outcome)

    def _count(self, outcome):
        with self._lock:
            self.counts[outcome] = self.counts.get(outcome, 0) + 1


def case(record, folder, has_trouble):
    """Returns whether no two machines ended three times by themselves."""
    store = standins.Store()
    store.write("op", "config", standins.configuration())
    for number in range(6):
        engine = standins.Replica(f"i-engine-{number}", "engines", _draft)
        store.write("servers", engine.name, engine.entry())
    desk = standins.Replica("i-desk-0", "desk",
                            lambda replica, request: [standins.whole(request)])
    store.write("servers", desk.name, desk.entry())
    machines = [
        _Machine(
            record,
            standins.Daemon(f"edge-{number}", f"127.0.1.{number}", store,
                            folder, _MEMORY_MB))
        for number in range(1, _MACHINES + 1)
    ]
    clients = _Clients(record, machines)
    try:
        for item in machines:
            item.daemon.wait_ready()
            threading.Thread(target=item.watch, daemon=True).start()
        _play(record, machines, clients, has_trouble)
    finally:
        for item in machines:
            item.end()
    for item in machines:
        record.write(f"{item.daemon.name}: {item.ends} ends, at most "
                     f"{item.peak_mb:.0f} MB")
    record.write(f"drafts: {clients.counts}")
    if not clients.counts.get("whole"):
        raise standins.CannotRun("no draft was served")
    # A tenth of the machines in use, and two at least.
    return sum(item.ends >= _ENDS_OF_A_MACHINE for item in machines) < 2


def _play(record, machines, clients, has_trouble):
    began_s = time.monotonic()
    threads, number, has_lost = [], 0, False
    while (at_s := time.monotonic() - began_s) < _TRAFFIC_S:
        if has_trouble and not has_lost and at_s > _LOSS_S:
            has_lost = True
            for item in machines[:_LOST]:
                item.lose()
        if at_s >= number / _DRAFTS_PER_S:
            thread = threading.Thread(target=clients.send, args=(number,))
            thread.start()
            threads.append(thread)
            number += 1
        time.sleep(0.01)
    record.write("no more drafts are sent")
    for thread in threads:
        thread.join(20.0)


standins.main(FOLDER, case)
