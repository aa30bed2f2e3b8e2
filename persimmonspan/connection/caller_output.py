"""Sends to callers that may read slowly, as long as they read.

A limit on the time of a whole transfer cuts callers for their speed. The limit
here is on the time in which a caller takes nothing. A socket accepts bytes
again only when a third of its buffer is free, which a slow caller may need
longer for; therefore the bytes that the caller's side has not acknowledged are
counted too.

See Also:
    `persimmonspan.connection.relay`: sends while a target is attached.
    `persimmonspan.connection.timed_input`: sends whole responses.
"""

import collections.abc
import fcntl
import select
import socket
import ssl
import struct
import termios
import time

from persimmonspan.connection import memory_budget

_MS_PER_S = 1000.0
# Of a socket whose unacknowledged bytes are not known.
_UNKNOWN = -1
_WOULD_BLOCK_ERRORS = (BlockingIOError, ssl.SSLWantWriteError,
                       ssl.SSLWantReadError)


def count_unread_bytes(sock: socket.socket) -> int:
    """Returns how many sent bytes are not acknowledged, or -1 if unknown."""
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        # Not a socket of the system's own TCP, or closed meanwhile.
        return _UNKNOWN
    return struct.unpack("i", answer)[0]


class Progress:
    """Notices whether a caller reads while its socket accepts nothing.

    Args:
        sock: The connection; no bytes are sent until `has_advanced` is called.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._unread_bytes = count_unread_bytes(sock)

    def has_advanced(self) -> bool:
        """Returns whether the caller took bytes since this was asked last."""
        before, self._unread_bytes = (self._unread_bytes,
                                      count_unread_bytes(self._sock))
        return _UNKNOWN < self._unread_bytes < before


def send(sock: socket.socket,
         data: bytes,
         idle_timeout_s: float,
         account: memory_budget.Account | None = None,
         end_s: float | None = None) -> None:
    """Sends data to a caller for as long as it reads.

    Args:
        sock: Connection to the caller; its timeout is kept.
        data: The bytes.
        idle_timeout_s: How long the caller may take nothing.
        account: Counts the bytes that wait, if given.
        end_s: Monotonic time after which the data are owed no longer, but
            `idle_timeout_s` from now at the earliest; None: never.

    Raises:
        OSError: The caller left, or does not read.
    """
    timeout_s = sock.gettimeout()
    sock.setblocking(False)
    began_s = time.monotonic()
    if end_s is not None:
        end_s = max(end_s, began_s + idle_timeout_s)
    rest = memoryview(data)
    try:
        while rest:
            try:
                sent = sock.send(rest)
            except _WOULD_BLOCK_ERRORS:
                _await_room(sock, idle_timeout_s, account, end_s)
                continue
            rest = rest[sent:]
            if account is not None:
                account.keep_pending(len(rest), sent)
    finally:
        sock.settimeout(timeout_s)


def _await_room(sock: socket.socket, idle_timeout_s: float,
                account: memory_budget.Account | None,
                end_s: float | None) -> None:
    """Waits until a socket accepts bytes."""
    if account is None:
        wait_while_read(sock, idle_timeout_s, lambda: False, end_s)
        return
    with account.waiting():
        wait_while_read(sock, idle_timeout_s, lambda: account.is_evicted, end_s)


def wait_while_read(sock: socket.socket,
                    idle_timeout_s: float,
                    is_given_up: collections.abc.Callable[[], bool],
                    end_s: float | None = None) -> None:
    """Waits until a socket accepts bytes, as long as its caller reads.

    Args:
        sock: Connection to the caller.
        idle_timeout_s: How long the caller may take nothing.
        is_given_up: Returns whether what is sent was given up.
        end_s: Monotonic time after which not to wait; None: never.

    Raises:
        OSError: The caller does not read, or the response was given up.
    """
    progress = Progress(sock)
    idle_until_s = time.monotonic() + idle_timeout_s
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    while not poll.poll(memory_budget.POLL_S * _MS_PER_S):
        if is_given_up():
            raise ConnectionAbortedError("the response was given up")
        now_s = time.monotonic()
        if progress.has_advanced():
            idle_until_s = now_s + idle_timeout_s
        if now_s >= idle_until_s:
            raise TimeoutError("the caller does not read the response")
        if end_s is not None and now_s >= end_s:
            raise TimeoutError("the time for the response is over")
