"""Limits how long a caller may take to send a request.

The timeout of a socket restarts with each byte, so a caller that occasionally
sends a byte could hold a worker thread for hours. When the time limit is over,
the watchdog shuts down the receiving side of the socket, which ends the blocked
read.
"""

import collections.abc
import contextlib
import socket
import threading
import time

_CHECK_INTERVAL_S = 0.1


class ReadLimit:
    """A time limit for reading from a socket."""

    def __init__(self, sock: socket.socket, end_s: float) -> None:
        self.sock = sock
        self.end_s = end_s
        self.is_expired = False


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
        limit = ReadLimit(sock, time.monotonic() + limit_s)
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
                    if limit.end_s <= now_s and not limit.is_expired:
                        limit.is_expired = True
                        # The `shutdown` method of a TLS socket would turn it
                        # into a plain socket while the reader uses it.
                        with contextlib.suppress(OSError):
                            socket.socket.shutdown(limit.sock, socket.SHUT_RD)
            time.sleep(_CHECK_INTERVAL_S)
