"""The input of a caller's connection, with a limit on the time of its reads.

The timeout of a socket restarts with each byte, so a caller that occasionally
sends a byte could hold a worker thread for hours. A read that takes too long
fails, but the connection stays open in both directions: the caller can still
get a response.

See Also:
    `persimmonspan.connection.deadlines`: ends reads by closing the input.
"""

import collections.abc
import contextlib
import io
import select
import socket
import time

from cheroot import makefile

_MS_PER_S = 1000.0


class _RawInput(socket.SocketIO):
    """Reads from a socket until a moment on the monotonic clock."""

    end_s: float | None = None

    def readinto(self, b: bytearray | memoryview) -> int | None:
        """Reads what has arrived.

        Raises:
            TimeoutError: The time is over, and nothing has arrived.
        """
        if self.end_s is not None and not self._wait(self.end_s):
            raise TimeoutError("the caller was too slow")
        return super().readinto(b)

    def _wait(self, end_s: float) -> bool:
        # TLS may have decrypted more than was read.
        if getattr(self._sock, "pending", int)():
            return True
        poll = select.poll()
        poll.register(self._sock, select.POLLIN)
        # A limit that passed while this process was paused still lets it read
        # what arrived meanwhile.
        return bool(poll.poll(max(0.0, end_s - time.monotonic()) * _MS_PER_S))


class Reader(makefile.StreamReader):
    """The input of a connection, as cheroot uses it."""

    def __init__(self,
                 sock: socket.socket,
                 mode: str = "rb",
                 bufsize: int = io.DEFAULT_BUFFER_SIZE) -> None:
        super().__init__(sock, mode, bufsize)
        # Replaces the raw input, which cheroot does not let choose.
        super(makefile.StreamReader, self).__init__(_RawInput(sock, mode),
                                                    bufsize)

    @contextlib.contextmanager
    def limit(self, limit_s: float) -> collections.abc.Iterator[None]:
        """Limits how long the reads of the block may take in total.

        A read that takes longer raises `TimeoutError`.
        """
        self.raw.end_s = time.monotonic() + limit_s
        try:
            yield
        finally:
            self.raw.end_s = None


def make_file(
        sock: socket.socket,
        mode: str = "rb",
        bufsize: int = io.DEFAULT_BUFFER_SIZE
) -> Reader | makefile.StreamWriter:
    """Returns the input or the output of a connection."""
    cls = Reader if "r" in mode else makefile.StreamWriter
    return cls(sock, mode, bufsize)
