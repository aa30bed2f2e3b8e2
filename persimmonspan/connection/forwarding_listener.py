"""HTTP listener of an edge daemon: callers, the balancer's readiness, metrics.

A cheroot server runs each request on a worker thread. An idle connection waits
in the selector of the server and uses no thread.
"""

import contextlib
import http
import logging
import socket
import struct
import time
import typing

from cheroot import errors as cheroot_errors
from cheroot import server

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.connection import idle_connections
from persimmonspan.connection import timed_input
from persimmonspan.connection import unread_body
from persimmonspan.process import logs
from persimmonspan.request import forwarded

_SERVER_NAME = "persimmonspan"
# If half the daemons fail, their callers connect here at once.
_BACKLOG = 512
# Each request occupies a thread while it waits or streams. An idle daemon
# should not pay for the threads of a highly loaded one.
_MIN_THREADS = 10
_MAX_THREADS = 170
_SPARE_THREADS = 2
_THREADS_PER_GROWTH = 8
_METRICS_PATH = "/metrics"
# Callers reuse connections until shortly before the idle timeout.
_IDLE_SLACK_S = 5.0
_READINESS_THREADS = 2
_READINESS_TIMEOUT_S = 10.0
_MAX_HEADER_BYTES = 64 * 1024
_LINGER_RESET = struct.pack("ii", 1, 0)
_STATUS_BY_CODE = {
    errors.Code.BAD_REQUEST: http.HTTPStatus.BAD_REQUEST,
    errors.Code.UNAUTHORIZED: http.HTTPStatus.UNAUTHORIZED,
    errors.Code.NOT_FOUND: http.HTTPStatus.NOT_FOUND,
    errors.Code.BODY_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}

_logger = logging.getLogger(__name__)


class Application(typing.Protocol):
    """Interface of the daemon that the listener uses."""

    wire: forwarded.Wire

    def forward(self, call: forwarded.Call, read_body: "ReadBody",
                responder: forwarded.Responder) -> forwarded.Response | None:
        """Serves one request; returns its response, or None if streamed."""

    def is_ready(self) -> bool:
        """Returns whether the balancer may send new callers."""

    def is_stopping(self) -> bool:
        """Returns whether to close connections after their response."""

    def exposition(self) -> bytes:
        """Returns the metrics as text."""

    def count(self, reason: str) -> None:
        """Increments a counter."""


ReadBody = typing.Callable[[int, float], bytes]


class _Responder:
    """Writes a response through cheroot."""

    def __init__(self, request: server.HTTPRequest,
                 application: Application) -> None:
        self._request = request
        self._application = application
        self.caller: socket.socket = request.conn.socket
        self.arrived_s = time.monotonic() - request.conn.waited_s

    def whole(self, status: int, headers: exchange.Headers,
              body: bytes) -> None:
        """Sends a complete response."""
        request = self._request
        request.status = _status_line(status)
        request.outheaders = [*headers]
        if self._application.is_stopping():
            request.close_connection = True
        if status >= 200 and status not in (204, 304):
            request.outheaders.append((b"Content-Length", b"%d" % len(body)))
        request.ensure_headers_sent()
        if request.method != b"HEAD":
            request.write(body)

    def stream_head(self, status: int, headers: exchange.Headers) -> bytes:
        """Returns the head of a streamed response and marks it as sent."""
        request = self._request
        lines = [b"HTTP/1.1 " + _status_line(status)]
        lines += [name + b": " + value for name, value in headers]
        # For a caller of HTTP/1.0, only the end of the connection marks the end
        # of the body. cheroot ends a chunked body when the request is done.
        request.chunked_write = self._is_chunked()
        if request.chunked_write:
            lines.append(b"Transfer-Encoding: chunked")
        if not request.chunked_write or self._application.is_stopping():
            request.close_connection = True
        if request.close_connection:
            lines.append(b"Connection: close")
        request.sent_headers = True
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def frame(self, data: bytes) -> bytes:
        """Returns a part of a streamed body in its transfer encoding."""
        return b"%x\r\n%b\r\n" % (len(data),
                                  data) if self._is_chunked() else data

    def abort(self) -> None:
        """Ends the connection before the end of the response."""
        self._request.close_connection = True
        self._request.chunked_write = False
        self._request.sent_headers = True
        # The end of the connection would be the end of a body without chunks.
        self._request.conn.is_reset = not self._is_chunked()

    def _is_chunked(self) -> bool:
        return self._request.response_protocol == "HTTP/1.1"


class _Connection(server.HTTPConnection):
    """A connection that may end with a reset."""

    is_reset = False
    readable_s = 0.0  # When its last request began to wait for a thread.
    waited_s = 0.0  # How long it waited.

    def communicate(self) -> bool:
        """Serves one request; returns whether the connection stays open."""
        self.waited_s = time.monotonic() - self.readable_s
        return super().communicate()

    def __init__(self, http_server: server.HTTPServer, sock: socket.socket,
                 makefile: typing.Any) -> None:
        del makefile
        super().__init__(http_server, sock, timed_input.make_file)

    def close(self) -> None:
        """Closes the connection."""
        if not self.is_reset:
            super().close()
            return
        self.rfile.close()
        # The caller may have closed it.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                   _LINGER_RESET)
        self.socket.close()


class _Server(idle_connections.Server):
    """A server whose new connections use no thread until they send bytes."""

    ConnectionClass = _Connection

    def process_conn(self, conn: server.HTTPConnection) -> None:
        """Processes a connection, or lets a new one wait in the selector."""
        if conn.last_used is None:
            self._connections.put(conn)
            return
        conn.readable_s = time.monotonic()
        super().process_conn(conn)
        if self.requests.idle - self.requests.qsize < _SPARE_THREADS:
            # New threads may process the connection while `grow` blocks.
            self.requests.grow(_THREADS_PER_GROWTH)


def make_server(address: tuple[str, int],
                application: Application) -> idle_connections.Server:
    """Returns a server for callers, not started yet."""

    class _Gateway(server.Gateway):

        def respond(self) -> None:
            """Serves one request."""
            _respond(self.req, application)

    http_server = _Server(address, _Gateway, application.count,
                          _READINESS_TIMEOUT_S, (_MIN_THREADS, _MAX_THREADS),
                          _SERVER_NAME, _IDLE_SLACK_S)
    http_server.request_queue_size = _BACKLOG
    http_server.max_request_header_size = _MAX_HEADER_BYTES
    return http_server


def set_idle_timeout(http_server: idle_connections.Server,
                     idle_timeout_s: float,
                     header_timeout_s: float = 0.0) -> None:
    """Sets how long a connection may be idle between requests.

    A connection that is idle keeps the former limit, if that was larger. A head
    may pause for `header_timeout_s`, also if that is longer.
    """
    http_server.limit_idle_time(idle_timeout_s, _IDLE_SLACK_S, header_timeout_s)


def make_readiness_server(address: tuple[str, int],
                          application: Application) -> idle_connections.Server:
    """Returns a server for the balancer and for metrics."""

    class _Gateway(server.Gateway):

        def respond(self) -> None:
            """Responds with the readiness or the metrics of the daemon."""
            status, body = 200, b""
            if self.req.path == _METRICS_PATH.encode():
                body = application.exposition()
            elif not application.is_ready():
                status = 503
            self.req.status = _status_line(status)
            self.req.outheaders = [(b"Content-Type", b"text/plain"),
                                   (b"Content-Length", b"%d" % len(body))]
            self.req.ensure_headers_sent()
            self.req.write(body)

    return _Server(address, _Gateway, application.count, _READINESS_TIMEOUT_S,
                   (_READINESS_THREADS, _READINESS_THREADS), _SERVER_NAME)


def _status_line(status: int) -> bytes:
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"{status} {phrase}".encode()


def _respond(request: server.HTTPRequest, application: Application) -> None:
    headers = {name.lower(): value for name, value in request.inheaders.items()}
    call = application.wire.decode_call(request.method.decode("latin-1"),
                                        request.uri.decode("latin-1"), headers)
    responder = _Responder(request, application)
    token = logs.request_id.set(call.request_id)
    try:
        if b"transfer-encoding" in headers and b"content-length" in headers:
            # Two lengths allow request smuggling.
            request.close_connection = True
            raise errors.RefusalError(
                errors.Code.BAD_REQUEST,
                "the request has both a Content-Length and a Transfer-Encoding")

        def read_body(max_bytes: int, limit_s: float) -> bytes:
            return _read_body(request, max_bytes, limit_s)

        answer = application.forward(call, read_body, responder)
        if answer is not None:
            responder.whole(answer.status, answer.headers, answer.body)
    except errors.PersimmonspanError as error:
        is_body_read = unread_body.discard(request)
        request.close_connection |= not is_body_read
        _respond_refusal(error, call, application, responder)
        if not is_body_read:
            unread_body.linger(request.conn.socket)
    except OSError as error:
        application.count("caller_left")
        _logger.info("caller left", extra={"reason": str(error)})
        responder.abort()
    finally:
        logs.request_id.reset(token)


def _read_body(request: server.HTTPRequest, max_bytes: int,
               limit_s: float) -> bytes:
    """Returns the body of a request.

    Raises:
        errors.RefusalError: The body is too large, late or malformed.
    """
    length = (None if request.chunked_read else int(
        request.inheaders.get(b"Content-Length", 0)))
    if length == 0:
        return b""
    body, problem = b"", None
    with request.conn.rfile.limit(limit_s):
        try:
            if (length or 0) <= max_bytes:
                body = request.rfile.read(max_bytes + 1)
        except TimeoutError:
            problem = f"incomplete after {limit_s} s"
        except (ValueError, cheroot_errors.MaxSizeExceeded, OSError) as error:
            problem = str(error)
    if (length or 0) > max_bytes or len(body) > max_bytes:
        # The rest of the body is not read, so the connection cannot be reused.
        request.close_connection = True
        raise errors.RefusalError(errors.Code.BODY_TOO_LARGE,
                                  f"the body has more than {max_bytes} bytes")
    if problem is not None or (length is not None and len(body) != length):
        request.close_connection = True
        raise errors.RefusalError(errors.Code.BAD_REQUEST,
                                  f"the body is incomplete: {problem}")
    return body


def _respond_refusal(error: errors.PersimmonspanError, call: forwarded.Call,
                     application: Application, responder: _Responder) -> None:
    """Responds to a request that has no response from a target."""
    status = refusal_status(error)
    application.count(f"refused_{error.code}")
    _logger.info("request refused",
                 extra={
                     "status": status,
                     "code": error.code,
                     "run_state": error.run_state,
                     "reason": str(error),
                     "retry_after_s": error.retry_after_s
                 })
    headers: list[tuple[bytes, bytes]] = []
    if call.request_id:
        headers.append(application.wire.encode_request_id(call.request_id))
    if error.retry_after_s is not None and status == 503:
        headers.append(application.wire.encode_retry_after(error.retry_after_s))
    responder.whole(status, tuple(headers), b"")


def refusal_status(error: errors.PersimmonspanError) -> int:
    """Returns the HTTP status of a response that the daemon itself creates.

    503 means that the request was not run and will not be run. 502 and 504 do
    not say whether it was run.

    >>> refusal_status(errors.RefusalError(errors.Code.OVERLOADED, "full"))
    503
    >>> refusal_status(errors.TargetError(errors.Code.TARGET_FAILED, "broke"))
    502
    """
    if error.run_state is errors.RunState.NOT_RUN:
        return int(
            _STATUS_BY_CODE.get(error.code,
                                http.HTTPStatus.SERVICE_UNAVAILABLE))
    if error.code is errors.Code.DEADLINE_EXCEEDED:
        return 504
    return 502
