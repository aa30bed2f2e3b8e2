"""Ends a request whose body was not read before its response.

A body that stays unread would be taken for the next request on a kept
connection. If the connection is closed instead, the kernel resets it because of
the unread bytes, and the caller may lose the response. The rest of the body is
therefore read and discarded, within a limit of bytes and of time.

References:
    RFC 9112, section 9.6 (lingering close).
"""

import contextlib
import socket
import time

from cheroot import errors as cheroot_errors
from cheroot import server

_MAX_DISCARDED_BYTES = 4 * 1024 * 1024
_DISCARD_TIMEOUT_S = 0.25
# Time for the caller to read the response of a connection that is closed.
_LINGER_TIMEOUT_S = 1.0
_READ_BYTES = 64 * 1024


def discard(request: server.HTTPRequest) -> bool:
    """Discards the rest of the body of a request.

    Returns:
        Whether the body was read to its end. If not, the connection must be
        closed after the response.
    """
    body = request.rfile
    remaining = 0 if request.chunked_read else body.remaining
    if not request.chunked_read and not remaining:
        return True
    if remaining > _MAX_DISCARDED_BYTES:
        return False
    rest = _MAX_DISCARDED_BYTES
    with request.conn.rfile.limit(_DISCARD_TIMEOUT_S):
        try:
            while rest > 0:
                data = body.read(min(rest, _READ_BYTES))
                if not data:
                    break
                rest -= len(data)
        except (ValueError, cheroot_errors.MaxSizeExceeded, OSError):
            # The body is malformed, or the caller left or stopped.
            return False
    is_complete = request.chunked_read or not body.remaining
    return rest > 0 and is_complete


def linger(sock: socket.socket) -> None:
    """Ends the sending side, and reads on until the caller has the response.

    The socket stays open; its owner closes it.
    """
    end_s = time.monotonic() + _LINGER_TIMEOUT_S
    rest = _MAX_DISCARDED_BYTES
    # Any error means that the caller is gone.
    with contextlib.suppress(OSError):
        # The `shutdown` method of a TLS socket would not notify the peer.
        socket.socket.shutdown(sock, socket.SHUT_WR)
        while rest > 0 and time.monotonic() < end_s:
            sock.settimeout(max(0.001, end_s - time.monotonic()))
            data = sock.recv(min(rest, _READ_BYTES))
            if not data:
                return
            rest -= len(data)
