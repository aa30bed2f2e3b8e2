"""Limits the connections of callers that a listener keeps open.

A connection above the limit replaces one that is not used. If all are in use,
it gets a response that says that its request has not run, and is closed.
"""

import collections
import collections.abc
import contextlib
import socket
import time
import typing

# Descriptors of files, of the store, of digests and of connections refused.
_RESERVED_FDS = 200
# A request in progress needs a connection to its caller and one to a target.
_FDS_PER_CONNECTION = 2
# Of the buffers in each direction; the kernel doubles it for its own data. At a
# round trip of 6 ms, it lets a connection use 40 Mbit/s.
_BUFFER_BYTES = 32 * 1024
_KERNEL_BYTES_PER_CONNECTION = 4 * _BUFFER_BYTES
# Part of the memory for full buffers of all connections.
_MEMORY_SHARE = 1 / 4
_MIN_CONNECTIONS = 32
_BYTES_PER_MB = 1024 * 1024
# Callers are told to close the connections above this part of the limit, so
# that new callers find room.
_KEPT_SHARE = 7 / 8
# A connection without a request for so long is not about to send one.
_MIN_UNUSED_S = 0.5
_MIN_IDLE_S = 1.0
# Closed together, so that the search for them costs little.
_MAX_CLOSED = 8
# A response that is refused stays open until its caller has read it.
_REFUSED_OPEN_S = 1.0
_MAX_REFUSED = 64
_RESPONSE = (b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.50\r\n"
             b"Content-Length: 0\r\nConnection: close\r\n\r\n")


def max_connections(memory_mb: float, max_fds: int) -> int:
    """Returns how many connections of callers may be open.

    >>> max_connections(128, 4100), max_connections(552, 1638)
    (256, 719)
    """
    by_memory = (memory_mb * _BYTES_PER_MB * _MEMORY_SHARE /
                 _KERNEL_BYTES_PER_CONNECTION)
    by_descriptors = (max_fds - _RESERVED_FDS) // _FDS_PER_CONNECTION
    return max(_MIN_CONNECTIONS, min(int(by_memory), by_descriptors))


class Waiting(typing.NamedTuple):
    """A connection without a request in progress."""

    fd: int
    has_served: bool
    last_used_s: float


def choose_unused(connections: collections.abc.Iterable[Waiting],
                  now_s: float) -> list[int]:
    """Returns the descriptors of connections that others may replace.

    Connections on which no request ever came go first, then the ones that were
    idle for longest.

    >>> choose_unused([Waiting(1, True, 3.0), Waiting(2, False, 9.0),
    ...                Waiting(3, False, 9.8), Waiting(4, True, 9.8)], 10.0)
    [2, 1]
    """
    unused = [
        item for item in connections if now_s -
        item.last_used_s > (_MIN_IDLE_S if item.has_served else _MIN_UNUSED_S)
    ]
    unused.sort(key=lambda item: (item.has_served, item.last_used_s))
    return [item.fd for item in unused[:_MAX_CLOSED]]


class Tracker:
    """The connections of a listener; without a limit until one is set."""

    def __init__(self) -> None:
        self.limit: int | None = None
        self._open: set[object] = set()
        # With the times at which they are closed.
        self._refused: collections.deque[tuple[socket.socket,
                                               float]] = collections.deque()

    @property
    def kept(self) -> int | None:
        """How many idle connections may be kept."""
        return None if self.limit is None else int(self.limit * _KEPT_SHARE)

    def limit_buffers(self, listener: socket.socket) -> None:
        """Limits the kernel buffers of connections, if there is a limit."""
        if self.limit is not None:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                _BUFFER_BYTES)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF,
                                _BUFFER_BYTES)

    def is_reached(self) -> bool:
        """Returns whether no further connection may be open."""
        return self.limit is not None and len(self._open) >= self.limit

    def add(self, connection: object) -> None:
        """Counts an open connection."""
        if self.limit is not None:
            self._open.add(connection)

    def discard(self, connection: object) -> None:
        """Forgets a connection that is closed; may be called repeatedly."""
        self._open.discard(connection)

    def refuse(self, listener: socket.socket) -> bool:
        """Accepts a connection and tells its caller to come back.

        It is closed a moment later: the kernel resets a connection with unread
        bytes when it is closed, and the caller could lose the response.

        Returns:
            Whether there was a connection.
        """
        try:
            sock, _ = listener.accept()
        except OSError:
            return False  # The caller left.
        self.reject(sock)
        self.close_refused()
        return True

    def reject(self, sock: socket.socket) -> None:
        """Sends the same response; the thread that accepts closes the socket.

        It must not be used otherwise afterwards.
        """
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # The caller left.
            sock.send(_RESPONSE)
            sock.shutdown(socket.SHUT_WR)
        self._refused.append((sock, time.monotonic() + _REFUSED_OPEN_S))

    def close_refused(self, is_stopping: bool = False) -> None:
        """Closes refused connections whose callers had time to read."""
        now_s = time.monotonic()
        while self._refused and (is_stopping or self._refused[0][1] <= now_s or
                                 len(self._refused) > _MAX_REFUSED):
            self._refused.popleft()[0].close()
