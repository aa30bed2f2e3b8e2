"""Checks in the soak that replicas which say that they leave get no requests.

A daemon that has passed on an answer with the header must not send what callers
sent later than the drain time after it to the same incarnation of the replica.
A restart or a pause of the daemon since then excuses it.
"""

import collections
import threading
import time
import typing

from testbed import replica

# Time after the answer within which callers' requests may still arrive.
DRAIN_S = 1.0


class Sent(typing.NamedTuple):
    """A caller's request: the daemon and when it was sent."""

    daemon: str
    sent_s: float


class Departures:
    """What replicas said to daemons, and the requests that came too late."""

    def __init__(self) -> None:
        self.late: list[str] = []
        self.passed_on = 0  # Answers that said it and reached their callers.
        self._sent: dict[str, Sent] = {}
        self._answered: dict[str, tuple[replica.Replica, int]] = {}
        self._incarnations: collections.Counter[
            replica.Replica] = collections.Counter()
        # When a daemon passed on that an incarnation leaves.
        self._told_s: dict[tuple[str, replica.Replica, int], float] = {}
        self._lock = threading.Lock()

    def record_sent(self, request_id: str, daemon: str) -> None:
        """Records a request that a caller sends."""
        with self._lock:
            self._sent[request_id] = Sent(daemon, time.monotonic())

    def record_arrival(self, server: replica.Replica, request_id: str) -> None:
        """Records and checks a request that reaches a replica."""
        with self._lock:
            sent = self._sent.get(request_id)
            if sent is None or not server.is_leaving:
                return
            incarnation = self._incarnations[server]
            self._answered[request_id] = server, incarnation
            told_s = self._told_s.get((sent.daemon, server, incarnation))
            if told_s is not None and sent.sent_s > told_s + DRAIN_S:
                self.late.append(f"{request_id} at {sent.daemon}, "
                                 f"{sent.sent_s - told_s:.2f} s after")

    def record_passed_on(self, request_id: str) -> None:
        """Records that a caller received an answer with the header."""
        with self._lock:
            answered = self._answered.get(request_id)
            if answered is not None:
                self.passed_on += 1
                daemon = self._sent[request_id].daemon
                self._told_s.setdefault((daemon, *answered), time.monotonic())

    def excuse(self, daemon: str) -> None:
        """Forgets what a daemon knew that was restarted or paused."""
        with self._lock:
            for item in list(self._told_s):
                if item[0] == daemon:
                    del self._told_s[item]

    def restart(self, server: replica.Replica) -> None:
        """Replaces the incarnation of a replica at its address."""
        with self._lock:
            server.is_leaving = False
            self._incarnations[server] += 1
