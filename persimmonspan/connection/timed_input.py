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
import os
import select
import socket
import time

from cheroot import makefile

from persimmonspan import errors
from persimmonspan.connection import caller_output
from persimmonspan.connection import memory_budget

_MS_PER_S = 1000.0
# Time to read what arrived before the limit, if this process was paused then.
# Without an end, a caller that never pauses could send for ever.
_OVERDUE_READ_S = 0.5
# Raw reads beyond the first reserve their bytes twice, as the head is parsed.
_HEAD_COPIES = 2


class _RawInput(socket.SocketIO):
    """Reads from a socket until a moment on the monotonic clock."""

    end_s: float | None = None
    overdue_end_s: float | None = None
    account: memory_budget.Account | None = None
    is_head = False  # Whether the bytes of the reads are reserved here.
    _has_read = False

    def readinto(self, b: bytearray | memoryview) -> int | None:
        """Reads what has arrived.

        Raises:
            TimeoutError: The time is over, and nothing has arrived.
        """
        if self.is_head and self.account is not None:
            self._reserve_head(len(b))
        if self.end_s is not None and not self._wait(self.end_s):
            # cheroot responds with 408 to a head that times out.
            raise TimeoutError("timed out")
        return super().readinto(b)

    def _reserve_head(self, size: int) -> None:
        if not self._has_read:
            # The account begins with the bytes of the first read.
            self._has_read = True
            return
        try:
            self.account.reserve(_HEAD_COPIES * size)
        except errors.RefusalError as error:
            # cheroot responds with 408, which also says "not run".
            raise TimeoutError("timed out") from error

    def _wait(self, end_s: float) -> bool:
        # TLS may have decrypted more than was read.
        if getattr(self._sock, "pending", int)():
            return True
        poll = select.poll()
        poll.register(self._sock, select.POLLIN)
        if self.account is not None:
            return self._wait_with_account(poll, end_s)
        # A limit that passed while this process was paused still lets it read
        # what arrived meanwhile.
        return bool(poll.poll(max(0.0, end_s - time.monotonic()) * _MS_PER_S))

    def _wait_with_account(self, poll: select.poll, end_s: float) -> bool:
        is_ready = bool(poll.poll(0))
        if not is_ready:
            with self.account.waiting():
                while not (is_ready or self.account.is_evicted):
                    left_s = end_s - time.monotonic()
                    if left_s <= 0:
                        break
                    is_ready = bool(
                        poll.poll(
                            min(left_s, memory_budget.POLL_S) * _MS_PER_S))
        return (is_ready and not self.account.is_evicted and
                not self._is_overdue(end_s))

    def _is_overdue(self, end_s: float) -> bool:
        """Returns whether the time for what arrived before the limit is over.

        That time begins when this process notices that the limit has passed: it
        may have been paused.
        """
        now_s = time.monotonic()
        if now_s <= end_s:
            return False
        if self.overdue_end_s is None:
            self.overdue_end_s = now_s + _OVERDUE_READ_S
        return now_s > self.overdue_end_s


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

    def buffered_bytes(self) -> int:
        """Returns how many bytes can be read without a system call."""
        return len(self._read_buf) - self._read_pos

    @contextlib.contextmanager
    def reading_head(self, account: memory_budget.Account,
                     limit_s: float) -> collections.abc.Iterator[None]:
        """Reads a request in the block, for an account and with a limit.

        The limit is that of the head; `end_head` ends it.
        """
        raw = self.raw
        raw.account, raw.is_head = account, True
        raw.end_s, raw.overdue_end_s = time.monotonic() + limit_s, None
        raw._has_read = False  # pylint: disable=protected-access
        try:
            yield
        finally:
            raw.account, raw.is_head, raw.end_s = None, False, None

    def end_head(self) -> None:
        """Ends the limits of the head."""
        self.raw.is_head, self.raw.end_s = False, None

    @contextlib.contextmanager
    def limit(self, limit_s: float) -> collections.abc.Iterator[None]:
        """Limits how long the reads of the block may take in total.

        A read that takes longer raises `TimeoutError`.
        """
        self.raw.end_s = time.monotonic() + limit_s
        self.raw.overdue_end_s = None
        try:
            yield
        finally:
            self.raw.end_s = None


class Writer:
    """The output of a connection, without a buffer of its own.

    cheroot's writer copies what is not sent yet for each system call. This one
    waits in short steps, so that it notices if its account is evicted.
    """

    account: memory_budget.Account | None = None

    def __init__(self, sock: socket.socket) -> None:
        self.bytes_written = 0
        self._sock = sock
        self._held: list[bytes] | None = None

    def hold(self) -> None:
        """Keeps what is written until `release`."""
        self._held = []

    def release(self, body: bytes | bytearray) -> None:
        """Sends what was kept, and a body, in one system call if possible."""
        held, self._held = self._held, None
        self._send([memoryview(part) for part in (*held, body) if part])

    def write(self, data: bytes) -> int:
        """Sends all data.

        Raises:
            OSError: The caller left, or has taken nothing within the timeout of
                the socket.
        """
        if self._held is not None:
            self._held.append(data)
        elif data:
            self._send([memoryview(data)])
        return len(data)

    def _send(self, parts: list[memoryview]) -> None:
        fd = self._sock.fileno()
        while parts:
            try:
                # The descriptor does not block, as the socket has a timeout.
                sent = os.writev(fd, parts)
            except BlockingIOError:
                self._wait()
                continue
            self.bytes_written += sent
            if self.account is not None:
                self.account.record_progress(sent)
            while parts and sent >= len(parts[0]):
                sent -= len(parts.pop(0))
            if parts:
                parts[0] = parts[0][sent:]

    def _wait(self) -> None:
        account = self.account
        waiting = (contextlib.nullcontext()
                   if account is None else account.waiting())
        with waiting:
            caller_output.wait_while_read(
                self._sock,
                self._sock.gettimeout() or 0.0,
                lambda: account is not None and account.is_evicted)


def make_file_without_buffer(
        sock: socket.socket,
        mode: str = "rb",
        bufsize: int = io.DEFAULT_BUFFER_SIZE) -> Reader | Writer:
    """Returns the input or the output of a connection without TLS."""
    return Reader(sock, mode, bufsize) if "r" in mode else Writer(sock)


def make_file(
        sock: socket.socket,
        mode: str = "rb",
        bufsize: int = io.DEFAULT_BUFFER_SIZE
) -> Reader | makefile.StreamWriter:
    """Returns the input or the output of a connection."""
    cls = Reader if "r" in mode else makefile.StreamWriter
    return cls(sock, mode, bufsize)
