"""Limits how long a caller may take to send a request.

The timeout of a socket restarts with each byte, so a caller that occasionally
sends a byte could hold a worker thread for hours. When the time limit is over,
the watchdog shuts down the receiving side of the socket, which ends the blocked
read.

Time in which this process did not run is not the caller's, and counts little.
What arrived meanwhile is still read.
"""

import collections.abc
import contextlib
import socket
import threading
import time

from persimmonspan.connection import exchange

_CHECK_INTERVAL_S = 0.1
# The most that counts between two checks. After a longer time, this process was
# paused.
_MAX_STEP_S = 2 * _CHECK_INTERVAL_S


class ReadLimit:
    """A time limit for reading from a socket."""

    def __init__(self, sock: socket.socket, limit_s: float) -> None:
        self.sock = sock
        self.left_s = limit_s
        self.checked_s = time.monotonic()
        self.is_expired = False
        self._is_overdue = False

    def check(self, now_s: float) -> bool:
        """Counts the time since the last check; returns whether it is over."""
        self.left_s -= min(now_s - self.checked_s, _MAX_STEP_S)
        self.checked_s = now_s
        if self.left_s > 0:
            return False
        if not self._is_overdue and exchange.has_input(self.sock):
            self._is_overdue = True
            self.left_s = _CHECK_INTERVAL_S
            return False
        return True


class Watchdog:
    """Thread that ends reads after their time limit."""

    def __init__(self) -> None:
        self._limits: set[ReadLimit] = set()
        self._limits_changed = threading.Condition()
        threading.Thread(target=self._run, name="watchdog", daemon=True).start()

    @contextlib.contextmanager
    def limit(self, sock: socket.socket,
              limit_s: float) -> collections.abc.Iterator[ReadLimit]:
        """Limits how long the block may read from a socket.

        Args:
            sock: Socket that the block reads from.
            limit_s: Time limit for the block.

        Yields:
            The limit; its `is_expired` is set if the time was over.
        """
        limit = ReadLimit(sock, limit_s)
        with self._limits_changed:
            if not self._limits:
                self._limits_changed.notify()
            self._limits.add(limit)
        try:
            yield limit
        finally:
            with self._limits_changed:
                self._limits.discard(limit)

    def _run(self) -> None:
        while True:
            with self._limits_changed:
                self._limits_changed.wait_for(lambda: self._limits)
                now_s = time.monotonic()
                for limit in self._limits:
                    if not limit.is_expired and limit.check(now_s):
                        limit.is_expired = True
                        # The `shutdown` method of a TLS socket would turn it
                        # into a plain socket while the reader uses it.
                        with contextlib.suppress(OSError):
                            socket.socket.shutdown(limit.sock, socket.SHUT_RD)
            time.sleep(_CHECK_INTERVAL_S)
