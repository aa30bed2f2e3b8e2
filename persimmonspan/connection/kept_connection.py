"""One connection to a server that is kept for many calls.

Whatever the server sends, a call ends in bounded time and holds a bounded
number of bytes: of a head, interim responses, chunk lines, trailers or a body
without end. Such an answer closes the connection, like bytes that come after
an answer or before a request.

See Also:
    `persimmonspan.connection.exchange`: decodes the answers.
"""

import contextlib
import socket
import time

from persimmonspan import errors
from persimmonspan.connection import exchange

_READ_BYTES = 64 * 1024
_CLOSE = b"close"


class KeptConnection:
    """A connection for one thread; it opens when a call needs it.

    Args:
        address: Address and port of the server.
        connect_timeout_s: How long the server may take to accept.
        max_body_bytes: Size above which a body is rejected.
        max_call_s: How long a call may take beside its `idle_timeout_s`,
            although bytes come.
    """

    def __init__(self, address: str, connect_timeout_s: float,
                 max_body_bytes: int, max_call_s: float) -> None:
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._max_body_bytes = max_body_bytes
        self._max_call_s = max_call_s
        self._sock: socket.socket | None = None
        self._opened = contextlib.ExitStack()

    def close(self) -> None:
        """Closes the connection; the next call opens another one."""
        self._sock = None
        self._opened.close()

    def call(self, request: exchange.Request,
             idle_timeout_s: float) -> tuple[exchange.RawResponseHead, bytes]:
        """Sends a request and returns the head and body of the response.

        Args:
            request: The request.
            idle_timeout_s: How long the server may send nothing.

        Raises:
            errors.TargetError: No whole response arrived in time.
        """
        if self._sock is not None and exchange.has_input(self._sock):
            self.close()  # Its end, or bytes that belong to no request.
        try:
            if self._sock is None:
                self._sock = self._opened.enter_context(
                    exchange.open_socket(self._address,
                                         self._connect_timeout_s))
            reader, body = self._exchange(self._sock, request, idle_timeout_s)
        except errors.TargetError:
            self.close()
            raise
        if (not reader.is_framed or reader.has_trailing_bytes or
                _CLOSE in (reader.head.get(b"connection") or b"").lower()):
            self.close()
        return reader.head, body

    def _exchange(
            self, sock: socket.socket, request: exchange.Request,
            idle_timeout_s: float) -> tuple[exchange.ResponseReader, bytes]:
        end_s = time.monotonic() + idle_timeout_s + self._max_call_s
        exchange.send(sock, exchange.encode(request), idle_timeout_s)
        reader = exchange.ResponseReader(request.method)
        body = bytearray()
        try:
            sock.settimeout(idle_timeout_s)
            while not reader.is_complete:
                body += reader.feed(sock.recv(_READ_BYTES))
                if len(body) > self._max_body_bytes:
                    raise exchange.BrokenResponseError(
                        errors.Code.TARGET_FAILED, "the response has more than "
                        f"{self._max_body_bytes} bytes")
                if not reader.is_complete and time.monotonic() > end_s:
                    raise TimeoutError("the response took too long")
        except OSError as error:
            raise exchange.BrokenResponseError(
                errors.Code.TARGET_FAILED,
                f"no whole answer: {error}") from error
        return reader, bytes(body)
