"""HTTP listener for callers, operators and the balancer.

A cheroot server runs each request on a worker thread. The gateway authenticates
the caller, selects the request kind and calls the request handler.
"""

import hmac
import http
import logging
import re
import socket
import time
import typing
import uuid

from cheroot import errors as cheroot_errors
from cheroot import server

from persimmonspan import errors
from persimmonspan.connection import caller_output
from persimmonspan.connection import deadlines
from persimmonspan.connection import idle_connections
from persimmonspan.connection import timed_input
from persimmonspan.connection import unread_body
from persimmonspan.process import access
from persimmonspan.process import admin
from persimmonspan.process import logs
from persimmonspan.process import metrics
from persimmonspan.process import operations
from persimmonspan.request import completion
from persimmonspan.request import events
from persimmonspan.request import handler
from persimmonspan.version import model

_HEALTH_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})
_MS_PER_S = 1000.0
_REQUEST_ID_SUFFIX_CHARS = 12
_SERVER_NAME = "persimmonspan"
_MAX_HEADER_BYTES = 64 * 1024
# Threads for health checks, metrics and refusals while all streams are busy.
_SPARE_THREADS = 16
# If half the daemons fail, their callers connect here at once.
_BACKLOG = 1024
_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,128}")
_IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")

_logger = logging.getLogger(__name__)


class Application(typing.Protocol):
    """Interface of the daemon that the listener uses."""

    metrics: metrics.Metrics
    operations: operations.Operations

    def begin_request(self) -> handler.Context:
        """Counts a started request and returns its context.

        Raises:
            errors.RefusalError: The daemon does not accept new requests.
        """

    def end_request(self, context: handler.Context) -> None:
        """Counts a finished request."""

    def is_ready(self) -> bool:
        """Returns whether the balancer may send new requests."""


class Options(typing.NamedTuple):
    """Limits of the listener."""

    max_streams: int
    max_body_bytes: int
    request_read_timeout_s: float  # For the headers and again for the body.


class _Responder:
    """Writes a response through cheroot."""

    def __init__(self, request: server.HTTPRequest, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self.is_started = False
        self.caller: socket.socket = request.conn.socket

    def start(
        self,
        status: int,
        content_type: str,
        headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        """Sends the response headers."""
        phrase = http.HTTPStatus(status).phrase
        self._request.status = f"{status} {phrase}".encode()
        self._request.outheaders = [(b"Content-Type", content_type.encode()),
                                    (b"X-Request-Id",
                                     self._request_id.encode()), *headers]
        self._request.ensure_headers_sent()
        self.is_started = True

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        self._request.write(data)

    def stream_head(self) -> bytes:
        """Returns the response head of a stream and marks it as sent."""
        request = self._request
        lines = [
            b"HTTP/1.1 200 OK", b"Content-Type: text/event-stream",
            b"Cache-Control: no-store",
            b"X-Request-Id: " + self._request_id.encode()
        ]
        # For a caller of HTTP/1.0, only the end of the connection marks the end
        # of the body. cheroot ends a chunked body when the request is done.
        request.chunked_write = self._is_chunked()
        if request.chunked_write:
            lines.append(b"Transfer-Encoding: chunked")
        else:
            request.close_connection = True
        if request.close_connection:
            lines.append(b"Connection: close")
        request.sent_headers = True
        self.is_started = True
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def frame(self, data: bytes) -> bytes:
        """Returns a part of a streamed body in its transfer encoding."""
        return b"%x\r\n%b\r\n" % (len(data),
                                  data) if self._is_chunked() else data

    def send(self, data: bytes, timeout_s: float) -> None:
        """Sends the output of `stream_head` and `frame`.

        Args:
            data: The output.
            timeout_s: How long the caller may take nothing.

        Raises:
            OSError: The caller left or does not read.
        """
        caller_output.send(self.caller, data, timeout_s)

    def _is_chunked(self) -> bool:
        return self._request.response_protocol == "HTTP/1.1"


def make_server(address: tuple[str, int], application: Application,
                options: Options) -> idle_connections.Server:
    """Returns a server that is not started yet."""
    watchdog = deadlines.Watchdog()

    class _Request(server.HTTPRequest):
        head_limit: deadlines.ReadLimit | None = None
        has_error_response = False

        def parse_request(self) -> None:
            """Reads the head of a request within the time limit."""
            with watchdog.limit(self.conn.socket,
                                options.request_read_timeout_s) as limit:
                self.head_limit = limit
                try:
                    super().parse_request()
                except TimeoutError:
                    # The timeout of the socket ends when the limit does.
                    limit.is_expired = True
            self.head_limit = None
            if (limit.is_expired and not self.ready and
                    not self.has_error_response):
                application.metrics.count("caller_slow_headers")
                self.simple_response("408 Request Timeout")

        def simple_response(self, status: str, msg: str = "") -> None:
            """Sends an error, unless a head is incomplete for its slowness."""
            if self.head_limit is None or not self.head_limit.is_expired:
                self.has_error_response = True
                super().simple_response(status, msg)

    class _Connection(server.HTTPConnection):
        RequestHandlerClass = _Request

        def __init__(self, http_server: server.HTTPServer, sock: socket.socket,
                     makefile: typing.Any) -> None:
            del makefile
            super().__init__(http_server, sock, timed_input.make_file)

    class _Server(idle_connections.Server):
        ConnectionClass = _Connection

    class _Gateway(server.Gateway):

        def respond(self) -> None:
            """Serves one request."""
            _respond(self.req, application, options)

    threads = options.max_streams + _SPARE_THREADS
    http_server = _Server(address, _Gateway, application.metrics.count,
                          options.request_read_timeout_s, (threads, threads),
                          _SERVER_NAME)
    http_server.request_queue_size = _BACKLOG
    http_server.max_request_header_size = _MAX_HEADER_BYTES
    return http_server


def _header(request: server.HTTPRequest, name: str) -> str | None:
    value = request.inheaders.get(name.encode())
    return value.decode("latin-1") if value is not None else None


def _respond(request: server.HTTPRequest, application: Application,
             options: Options) -> None:
    caller_id = _header(request, "X-Request-Id") or uuid.uuid4().hex
    is_valid_id = _REQUEST_ID_PATTERN.fullmatch(caller_id) is not None
    if not is_valid_id:
        caller_id = uuid.uuid4().hex
    # Calls for which callers chose the same id need distinct ids at engines.
    request_id = f"{caller_id}.{uuid.uuid4().hex[:_REQUEST_ID_SUFFIX_CHARS]}"
    token = logs.request_id.set(request_id)
    responder = _Responder(request, caller_id)
    path = request.path.decode("latin-1")
    try:
        if path in _HEALTH_PATHS:
            _respond_health(path, application, responder)
            return
        if path.startswith(admin.PREFIX):
            body = _read_body(request, application, options)
            _respond_admin(request, path, body, application, responder)
            return
        if not is_valid_id:
            raise errors.RefusalError(
                errors.Code.BAD_REQUEST,
                "X-Request-Id must be 1 to 128 letters, digits, '.', '_' or "
                "'-'")
        context = application.begin_request()
        try:
            body = _read_body(request, application, options)
            call = _parse_call(request, request_id, path, body,
                               context.configuration)
            handler.serve(call, context, responder)
        finally:
            application.end_request(context)
    except errors.PersimmonspanError as error:
        application.metrics.count(f"refused_{error.code}")
        _logger.info("request failed",
                     extra={
                         "code": error.code,
                         "run_state": error.run_state
                     })
        is_body_read = unread_body.discard(request)
        request.close_connection |= not is_body_read
        _respond_error(error, responder, request_id)
        if not is_body_read:
            unread_body.linger(request.conn.socket)
    except OSError as error:
        application.metrics.count("caller_left")
        _logger.info("caller left", extra={"error": str(error)})
        request.close_connection = True
        request.chunked_write = False
        request.sent_headers = True
    finally:
        logs.request_id.reset(token)


def _read_body(request: server.HTTPRequest, application: Application,
               options: Options) -> bytes:
    expected = (None if request.chunked_read else int(
        request.inheaders.get(b"Content-Length", 0)))
    is_too_large = (expected or 0) > options.max_body_bytes
    body, is_late = b"", False
    with request.conn.rfile.limit(options.request_read_timeout_s):
        try:
            if not is_too_large:
                body = request.rfile.read(options.max_body_bytes + 1)
        except TimeoutError:
            is_late = True
        except (ValueError, cheroot_errors.MaxSizeExceeded, OSError):
            expected = len(body) + 1  # The body is incomplete.
    if is_too_large or len(body) > options.max_body_bytes:
        # The rest of the body is not read, so the connection cannot be reused.
        request.close_connection = True
        raise errors.RefusalError(
            errors.Code.BODY_TOO_LARGE,
            f"the body has more than {options.max_body_bytes} bytes")
    if is_late:
        application.metrics.count("caller_slow_body")
    if is_late or (expected is not None and len(body) != expected):
        request.close_connection = True
        raise errors.RefusalError(
            errors.Code.BAD_REQUEST,
            f"the body was not whole within {options.request_read_timeout_s} s")
    return body


def _respond_health(path: str, application: Application,
                    responder: _Responder) -> None:
    if path == "/metrics":
        responder.start(200, "text/plain; version=0.0.4")
        responder.write(application.metrics.exposition())
        return
    is_ok = path == "/healthz" or application.is_ready()
    responder.start(200 if is_ok else 503, "text/plain")
    responder.write(b"ok\n" if is_ok else b"not ready\n")


def _respond_admin(request: server.HTTPRequest, path: str, body: bytes,
                   application: Application, responder: _Responder) -> None:
    response = admin.handle(
        admin.Request(request.method.decode("latin-1"), path,
                      request.qs.decode("latin-1"), body,
                      _header(request, "Authorization")),
        application.operations)
    _logger.info("administration request",
                 extra={
                     "method": request.method.decode("latin-1"),
                     "path": path,
                     "status": response.status
                 })
    responder.start(response.status, "application/json")
    responder.write(response.body)


def _respond_error(error: errors.PersimmonspanError, responder: _Responder,
                   request_id: str) -> None:
    if responder.is_started:
        return
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if error.retry_after_s is not None:
        headers = ((b"Retry-After",
                    b"%d" % max(1, round(error.retry_after_s))),)
    responder.start(error.status, "application/json", headers)
    responder.write(handler.error_body(error, request_id))


def _parse_call(request: server.HTTPRequest, request_id: str, path: str,
                body: bytes,
                configuration: model.Configuration) -> handler.Call:
    workspace = _authenticate(_header(request, "Authorization"), configuration)
    kind = _select_kind(_header(request, "X-Request-Kind"), path, configuration)
    if path in completion.PATHS and request.method != b"POST":
        raise errors.RefusalError(
            errors.Code.BAD_REQUEST,
            f"the path {path} accepts only POST, got {request.method.decode()}")
    key = _header(request, "Idempotency-Key")
    if key is not None and not _IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise errors.RefusalError(
            errors.Code.BAD_REQUEST,
            "Idempotency-Key must be 1 to 255 visible ASCII characters")
    now_s = time.monotonic()
    deadline_ms = _header(request, "X-Deadline-Ms")
    if deadline_ms is not None and not deadline_ms.isdecimal():
        raise errors.RefusalError(
            errors.Code.BAD_REQUEST,
            f'X-Deadline-Ms must be a whole number, got "{deadline_ms}"')
    wait_s = (int(deadline_ms) /
              _MS_PER_S if deadline_ms is not None else kind.deadline_s)
    return handler.Call(
        request_id, workspace, kind, request.method.decode(), path, body, now_s,
        now_s + wait_s, key,
        f"?{request.qs.decode('latin-1')}" if request.qs else "")


def _authenticate(authorization: str | None,
                  configuration: model.Configuration) -> model.Workspace:
    digest = access.digest_of((authorization or "").removeprefix("Bearer "))
    for workspace in configuration.workspaces:
        if any(
                hmac.compare_digest(digest, key)
                for key in workspace.key_sha256):
            return workspace
    raise errors.RefusalError(errors.Code.UNAUTHORIZED,
                              "the workspace key is missing or not known")


def _select_kind(name: str | None, path: str,
                 configuration: model.Configuration) -> events.KindPolicy:
    services = {
        service.name
        for service in configuration.services
        if (path in completion.PATHS if service.is_model else path.
            startswith(service.path_prefix))
    }
    kinds = [kind for kind in configuration.kinds if kind.service in services]
    for kind in kinds:
        if name is None or kind.name == name:
            return kind
    if not services:
        raise errors.RefusalError(errors.Code.NOT_FOUND,
                                  f"no service serves the path {path}")
    raise errors.RefusalError(
        errors.Code.BAD_REQUEST,
        f'X-Request-Kind: no kind "{name}" for the path {path}')
