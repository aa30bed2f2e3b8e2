"""Bounds how long a caller may take to send a request.

The timeout of a socket starts anew with each byte, so a caller that sends a
byte now and then would hold a worker thread for hours. The watchdog shuts the
reading side down when the whole time is over, which ends the blocked read.
"""

import collections.abc
import contextlib
import socket
import threading
import time

_CHECK_INTERVAL_S = 0.1


class ReadLimit:
    """One read that is bounded."""

    def __init__(self, sock: socket.socket, end_s: float) -> None:
        self.sock = sock
        self.end_s = end_s
        self.is_expired = False


class Watchdog:
    """Thread that ends reads that took too long."""

    def __init__(self) -> None:
        self._limits: set[ReadLimit] = set()
        self._limits_changed = threading.Condition()
        threading.Thread(target=self._run, name="watchdog", daemon=True).start()

    @contextlib.contextmanager
    def limit(self, sock: socket.socket,
              limit_s: float) -> collections.abc.Iterator[ReadLimit]:
        """Bounds the time of the block.

        Args:
            sock: Socket that the block reads from.
            limit_s: Time for the block.

        Yields:
            The limit, which tells afterwards whether it expired.
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
                        # Shutting a TLS socket down by its own method would
                        # turn it into a plain one under the reader.
                        with contextlib.suppress(OSError):
                            socket.socket.shutdown(limit.sock, socket.SHUT_RD)
            time.sleep(_CHECK_INTERVAL_S)
