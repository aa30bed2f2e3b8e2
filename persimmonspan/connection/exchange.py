"""HTTP exchanges with targets, each over a new connection.

Connections are never reused. A late or additional response to an earlier
request therefore cannot be matched to the next one, and no request is lost on a
connection that the network dropped silently.

The request is sent with blocking calls. `ResponseReader` decodes the response
from the bytes available on the socket, so that one thread can serve many
responses.

See Also:
    `persimmonspan.connection.relay`: reads the sockets.
"""

import collections.abc
import contextlib
import enum
import select
import socket
import time
import typing

import h11

from persimmonspan import errors

# A response with a larger head is rejected.
_MAX_HEAD_BYTES = 64 * 1024
# Above all classes of RFC 9110, section 15. The decoder rejects statuses below.
_MAX_STATUS = 599
# Targets may send interim responses (RFC 9110, section 15.2); more are garbage.
_MAX_INTERIM_RESPONSES = 16
# Responses to calls between this system and a target are small.
_MAX_CALL_BODY_BYTES = 64 * 1024
_READ_BYTES = 16 * 1024
_MAX_JOINED_BYTES = 16 * 1024
_MIN_SOCKET_TIMEOUT_S = 0.001  # A socket timeout of zero would not wait at all.
# Time to read what arrived before the end, if this process was paused then.
_OVERDUE_READ_S = 0.5
_MS_PER_S = 1000.0

Headers = tuple[tuple[bytes, bytes], ...]


class Request(typing.NamedTuple):
    """A request to a target."""

    method: str
    path: str  # With the query.
    headers: Headers
    body: bytes | bytearray = b""


class RawResponseHead(typing.NamedTuple):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes, default: bytes | None = None) -> bytes | None:
        """Returns the value of a header, by its name in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def get_all(self, name: bytes) -> frozenset[bytes]:
        """Returns the distinct values of a header, by its lower-case name."""
        return frozenset(value for key, value in self.headers if key == name)


class NotSentError(errors.TargetError):
    """No byte of the request was sent."""


class BrokenResponseError(errors.TargetError):
    """The exchange gave no complete response."""


class ResponseReader:
    """Decodes a response as its bytes arrive.

    >>> reader = ResponseReader("GET")
    >>> reader.feed(b"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok")
    b'ok'
    >>> reader.head.status, reader.is_complete
    (200, True)
    """

    def __init__(self, method: str) -> None:
        self.head: RawResponseHead | None = None
        self.is_complete = False
        self._interim_responses = 0
        self._decoder = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        self._decoder.send(
            h11.Request(method=method, target="/",
                        headers=[("Host", "target")]))
        self._decoder.send(h11.EndOfMessage())

    @property
    def is_framed(self) -> bool:
        """Whether the body has a length or chunks, and not just an end."""
        return self.head is not None and (
            self.head.get(b"content-length") is not None or
            self.head.get(b"transfer-encoding") is not None)

    @property
    def has_trailing_bytes(self) -> bool:
        """Whether bytes arrived with the end of the response that follow it."""
        return self.is_complete and bool(self._decoder.trailing_data[0])

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes of the body that the data contain.

        Args:
            data: The received bytes; empty at the end of the connection.

        Raises:
            BrokenResponseError: The data are not an HTTP response or end early.
        """
        if self.is_complete:
            return b""
        parts: list[bytes] = []
        try:
            self._decoder.receive_data(data)
            while not self.is_complete:
                event = self._decoder.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                self._apply_event(event, parts)
        except h11.RemoteProtocolError as error:
            raise BrokenResponseError(errors.Code.TARGET_FAILED,
                                      f"no whole answer: {error}") from error
        return b"".join(parts)

    def _apply_event(self, event: object, parts: list[bytes]) -> None:
        if isinstance(event, h11.Response):
            if event.status_code > _MAX_STATUS:
                raise BrokenResponseError(
                    errors.Code.TARGET_FAILED,
                    f"status {event.status_code} is none of HTTP")
            self.head = RawResponseHead(
                event.status_code,
                tuple((name, value) for name, value in event.headers))
        elif isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > _MAX_INTERIM_RESPONSES:
                raise BrokenResponseError(errors.Code.TARGET_FAILED,
                                          "too many interim responses")
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self.is_complete = True
        elif isinstance(event, h11.ConnectionClosed):
            raise BrokenResponseError(
                errors.Code.TARGET_FAILED,
                "the connection closed without a response")


def encode(request: Request) -> bytes:
    """Returns the bytes of a request.

    >>> encode(Request("GET", "/a", ((b"Host", b"h"),)))
    b'GET /a HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n'

    Raises:
        errors.RefusalError: A header cannot be sent.
    """
    return encode_head(request) + request.body


def encode_head(request: Request) -> bytes:
    """Returns the bytes of a request before its body.

    Raises:
        errors.RefusalError: A header cannot be sent.
    """
    encoder = h11.Connection(h11.CLIENT)
    headers = list(request.headers)
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    try:
        request_head = h11.Request(method=request.method,
                                   target=request.path,
                                   headers=headers)
        return encoder.send(request_head)
    except h11.LocalProtocolError as error:
        raise errors.RefusalError(errors.Code.BAD_REQUEST,
                                  str(error)) from error


@contextlib.contextmanager
def open_socket(address: str,
                timeout_s: float) -> collections.abc.Iterator[socket.socket]:
    """Connects to a target; the socket is closed at the end of the block.

    Raises:
        NotSentError: The target does not accept the connection in time, or has
            already ended it or sent bytes, which cannot be a response.
    """
    host, port = address.rsplit(":", 1)
    try:
        sock = socket.create_connection((host, int(port)), timeout_s)
    except OSError as error:
        raise NotSentError(errors.Code.TARGET_FAILED,
                           f"cannot connect to {address}: {error}",
                           errors.RunState.NOT_RUN) from error
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if has_input(sock):
            raise NotSentError(errors.Code.TARGET_FAILED,
                               f"{address} sent bytes before a request",
                               errors.RunState.NOT_RUN)
        yield sock
    finally:
        sock.close()


def has_input(sock: socket.socket) -> bool:
    """Returns whether bytes or the end of a connection have arrived."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


class Reachability(enum.StrEnum):
    """How a new connection to an address ended."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # No process listens there.
    NO_ANSWER = "no answer"  # The host or the way to it is down.


def probe(address: str, timeout_s: float) -> Reachability:
    """Connects to an address and closes the connection."""
    try:
        with open_socket(address, timeout_s):
            return Reachability.ACCEPTED
    except NotSentError as error:
        if isinstance(error.__cause__, ConnectionRefusedError):
            return Reachability.REFUSED
        # Without a cause it was accepted, and bytes or its end came.
        return (Reachability.NO_ANSWER
                if error.__cause__ else Reachability.ACCEPTED)


def call(
        address: str,
        request: Request,
        timeout_s: float,
        connect_timeout_s: float | None = None
) -> tuple[RawResponseHead, bytes]:
    """Sends a request and returns the head and body of the response.

    Args:
        address: Address of the target.
        request: The request.
        timeout_s: Time for all.
        connect_timeout_s: Time for the target to accept the connection; None:
            `timeout_s`.

    Raises:
        NotSentError: The target does not accept the connection in time.
        BrokenResponseError: No complete response arrived in time.
    """
    end_s = time.monotonic() + timeout_s
    with open_socket(address, connect_timeout_s or timeout_s) as sock:
        send(sock, encode(request), timeout_s)
        reader, body = receive(sock, request.method, end_s,
                               _MAX_CALL_BODY_BYTES)
    return reader.head, body


def receive(sock: socket.socket, method: str, end_s: float,
            max_body_bytes: float) -> tuple[ResponseReader, bytes]:
    """Receives the response to a request that was sent.

    Args:
        sock: Connection to the target.
        method: Method of the request.
        end_s: Monotonic time by which the response must be complete.
        max_body_bytes: Size above which a body is rejected.

    Returns:
        The reader, which has the head, and the body.

    Raises:
        BrokenResponseError: No complete response arrived in time.
    """
    reader = ResponseReader(method)
    body = bytearray()
    is_overdue = False
    sock.setblocking(True)
    try:
        while not reader.is_complete:
            # The socket's timeout restarts at each read, so that a target that
            # sends one byte at a time would exceed the total time.
            left_s = end_s - time.monotonic()
            if left_s <= 0 and not is_overdue:
                is_overdue, left_s = True, _OVERDUE_READ_S
                end_s = time.monotonic() + left_s
            if left_s <= 0 or is_overdue and not has_input(sock):
                raise TimeoutError("the response took too long")
            sock.settimeout(max(_MIN_SOCKET_TIMEOUT_S, left_s))
            body += reader.feed(sock.recv(_READ_BYTES))
            if len(body) > max_body_bytes:
                raise BrokenResponseError(
                    errors.Code.TARGET_FAILED,
                    f"the response has more than {max_body_bytes} bytes")
    except OSError as error:
        raise BrokenResponseError(errors.Code.TARGET_FAILED,
                                  f"no whole answer: {error}") from error
    return reader, bytes(body)


def send(sock: socket.socket,
         data: bytes,
         timeout_s: float,
         body: bytes | bytearray = b"",
         end_s: float | None = None) -> None:
    """Sends a request; stops early if a response arrives meanwhile.

    Args:
        sock: Connection to the target.
        data: The request, or its head.
        timeout_s: How long the target may accept no bytes.
        body: The body, if it is not a part of the data. A small one is joined
            with the head; a copy of a large one would double its memory.
        end_s: Monotonic time by which all must be sent; None: `timeout_s` from
            now.

    Raises:
        BrokenResponseError: The target may have received a part of the request.
    """
    idle_until_s = time.monotonic() + timeout_s
    if end_s is None:
        end_s = idle_until_s
    sock.setblocking(False)
    poll = select.poll()
    poll.register(sock, select.POLLOUT | select.POLLIN)
    if len(body) <= _MAX_JOINED_BYTES:
        data, body = data + body, b""
    parts = [memoryview(part) for part in (data, body) if part]
    try:
        while parts:
            with contextlib.suppress(BlockingIOError):
                parts[0] = parts[0][sock.send(parts[0]):]
                idle_until_s = time.monotonic() + timeout_s
                if not parts[0]:
                    del parts[0]
                continue
            wait_ms = (min(end_s, idle_until_s) - time.monotonic()) * _MS_PER_S
            ready = poll.poll(wait_ms) if wait_ms > 0 else []
            if not ready:
                raise TimeoutError("the target does not read the request")
            if ready[0][1] & select.POLLIN:
                return  # An early response, or the end of the connection.
    except OSError as error:
        raise BrokenResponseError(
            errors.Code.TARGET_FAILED,
            f"cannot send the request: {error}") from error
