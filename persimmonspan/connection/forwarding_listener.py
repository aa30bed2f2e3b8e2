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

from cheroot import server

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.connection import connection_limit
from persimmonspan.connection import idle_connections
from persimmonspan.connection import memory_budget
from persimmonspan.connection import request_bodies
from persimmonspan.connection import timed_input
from persimmonspan.connection import unread_body
from persimmonspan.process import explain_call
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
# Threads that wait for callers leave the other half to ordinary requests.
MAX_WAITING_THREADS = _MAX_THREADS // 2
_THREADS_PER_GROWTH = 8
_DEFAULT_MEMORY_MB = 150.0
_DEFAULT_MAX_FDS = 1024
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

    def explain(self, target: str) -> bytes:
        """Returns where the request of a question would go, as JSON."""

    def count(self, reason: str) -> None:
        """Increments a counter."""


ReadBody = typing.Callable[[int, float], bytes | bytearray]


class _Responder:
    """Writes a response through cheroot."""

    def __init__(self, request: server.HTTPRequest,
                 application: Application) -> None:
        self._request = request
        self._application = application
        self.caller: socket.socket = request.conn.socket
        self.account: memory_budget.Account = request.conn.account
        self.arrived_s = time.monotonic() - request.conn.waited_s

    def whole(self, status: int, headers: exchange.Headers,
              body: bytes | bytearray) -> None:
        """Sends a complete response."""
        request = self._request
        request.status = _status_line(status)
        request.outheaders = [*headers]
        if self._application.is_stopping():
            request.close_connection = True
        if status >= 200 and status not in (204, 304):
            request.outheaders.append((b"Content-Length", b"%d" % len(body)))
        self.account.begin_sending()
        output = request.conn.wfile
        output.hold()
        request.ensure_headers_sent()
        output.release(b"" if request.method == b"HEAD" else body)

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
    has_served = False
    account: memory_budget.Account | None = None  # Of its present request.

    def communicate(self) -> bool:
        """Serves one request; returns whether the connection stays open."""
        self.waited_s = time.monotonic() - self.readable_s
        self.has_served = True
        try:
            with self.server.budget.account(self.socket) as account:
                self.account = self.wfile.account = account
                with self.rfile.reading_head(account,
                                             self.server.head_timeout_s):
                    return super().communicate()
        except errors.RefusalError as error:
            _logger.info("request rejected before it was read",
                         extra={"reason": str(error)})
            self.server.connection_limit.reject(self.socket.dup())
            return False
        finally:
            self.account = self.wfile.account = None

    def __init__(self, http_server: server.HTTPServer, sock: socket.socket,
                 makefile: typing.Any) -> None:
        del makefile
        super().__init__(http_server, sock,
                         timed_input.make_file_without_buffer)

    def close(self) -> None:
        """Closes the connection."""
        self.server.connection_limit.discard(self)
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
    budget: memory_budget.Budget

    def limit_connections(self, memory_mb: float, max_fds: int) -> None:
        """Sets how many connections of callers may be open."""
        self.connection_limit.limit = connection_limit.max_connections(
            memory_mb, max_fds)
        self.keep_alive_conn_limit = self.connection_limit.kept

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
                application: Application,
                budget: memory_budget.Budget | None = None,
                memory_mb: float = _DEFAULT_MEMORY_MB,
                max_fds: int = _DEFAULT_MAX_FDS) -> _Server:
    """Returns a server for callers, not started yet.

    Args:
        address: Host and port.
        application: The daemon.
        budget: Of the memory of all requests; None for one of its own.
        memory_mb: Memory of the machine for this process.
        max_fds: Number of descriptors that this process may open.
    """

    class _Gateway(server.Gateway):

        def respond(self) -> None:
            """Serves one request."""
            _respond(self.req, application)

    http_server = _Server(address, _Gateway, application.count,
                          _READINESS_TIMEOUT_S, (_MIN_THREADS, _MAX_THREADS),
                          _SERVER_NAME, _IDLE_SLACK_S)
    http_server.request_queue_size = _BACKLOG
    http_server.max_request_header_size = _MAX_HEADER_BYTES
    http_server.budget = budget or memory_budget.Budget(
        memory_mb, application.count, MAX_WAITING_THREADS)
    http_server.limit_connections(memory_mb, max_fds)
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
            target = self.req.uri.decode("latin-1")
            if self.req.path == _METRICS_PATH.encode():
                body = application.exposition()
            elif explain_call.is_question(target):
                status, body = _explain(target, application)
            elif not application.is_ready():
                status = 503
            self.req.status = _status_line(status)
            self.req.outheaders = [(b"Content-Type", b"text/plain"),
                                   (b"Content-Length", b"%d" % len(body))]
            self.req.ensure_headers_sent()
            self.req.write(body)

    http_server = _Server(address, _Gateway, application.count,
                          _READINESS_TIMEOUT_S,
                          (_READINESS_THREADS, _READINESS_THREADS),
                          _SERVER_NAME)
    # Its two threads hold little, and must not depend on callers.
    http_server.budget = memory_budget.Budget(0.0, application.count)
    return http_server


def _explain(target: str, application: Application) -> tuple[int, bytes]:
    try:
        return 200, application.explain(target)
    except (errors.PersimmonspanError, ValueError) as error:
        return 400, str(error).encode()


def _status_line(status: int) -> bytes:
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"{status} {phrase}".encode()


def _respond(request: server.HTTPRequest, application: Application) -> None:
    connection = request.conn
    connection.rfile.end_head()
    headers = {name.lower(): value for name, value in request.inheaders.items()}
    call = application.wire.decode_call(request.method.decode("latin-1"),
                                        request.uri.decode("latin-1"), headers)
    responder = _Responder(request, application)
    token = logs.request_id.set(call.request_id)
    length = _body_length(request, headers)
    body = request.rfile = request_bodies.Body(
        connection.rfile, length or 0 if not request.chunked_read else None,
        connection.account)
    try:
        if length is None:
            request.close_connection = True
            raise errors.RefusalError(
                errors.Code.BAD_REQUEST,
                "the length of the body is malformed or given twice")

        def read_body(max_bytes: int, limit_s: float) -> bytes | bytearray:
            data = body.read(max_bytes, limit_s)
            connection.account.begin_running()
            return data

        answer = application.forward(call, read_body, responder)
        if answer is not None:
            responder.whole(answer.status, answer.headers, answer.body)
    except errors.PersimmonspanError as error:
        is_body_read = body.discard() and not connection.account.is_evicted
        request.close_connection |= not is_body_read
        _respond_refusal(error, call, application, responder)
        if not is_body_read:
            with connection.account.waiting():
                unread_body.linger(connection.socket)
    except OSError as error:
        application.count("caller_left")
        _logger.info("caller left", extra={"reason": str(error)})
        responder.abort()
    finally:
        logs.request_id.reset(token)


def _body_length(request: server.HTTPRequest,
                 headers: dict[bytes, bytes]) -> int | None:
    """Returns the length that the head states, or None if it is not valid.

    Two lengths, and ones that others parse in another way, allow request
    smuggling. A negative one would be read without limit.
    """
    length = headers.get(b"content-length")
    if b"transfer-encoding" in headers:
        return (0 if length is None and request.chunked_read else None)
    if length is None:
        return 0
    return int(length) if length.isdigit() else None


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
