"""HTTP listener for callers, operators and the balancer.

A cheroot server runs each request on a worker thread. The gateway authenticates
the caller, finds the request kind and hands over to the request handler.
"""

import hashlib
import hmac
import http
import logging
import time
import typing
import uuid

from cheroot import server

from persimmonspan import errors
from persimmonspan.process import metrics
from persimmonspan.request import events
from persimmonspan.request import handler
from persimmonspan.version import model

_MODEL_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
_MS_PER_S = 1000.0
_SERVER_NAME = "persimmonspan"

_logger = logging.getLogger(__name__)


class Application(typing.Protocol):
    """What the listener needs of the daemon."""

    metrics: metrics.Metrics

    def begin_request(self) -> handler.Context:
        """Counts a request in and returns its context.

        Raises:
            errors.RefusalError: The daemon takes no new work.
        """

    def end_request(self, context: handler.Context) -> None:
        """Counts a request out."""

    def is_ready(self) -> bool:
        """Returns whether the balancer may send new work."""


class _Responder:
    """Writes a response through cheroot."""

    def __init__(self, request: server.HTTPRequest, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self.is_started = False

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


def make_gateway(application: Application) -> type[server.Gateway]:
    """Returns the gateway class that serves the application."""

    class _Gateway(server.Gateway):

        def respond(self) -> None:
            """Serves one request."""
            _respond(self.req, application)

    return _Gateway


def make_server(address: tuple[str, int], application: Application,
                max_streams: int, max_body_bytes: int) -> server.HTTPServer:
    """Returns a server that is not started yet."""
    http_server = server.HTTPServer(address,
                                    make_gateway(application),
                                    minthreads=max_streams,
                                    maxthreads=max_streams,
                                    server_name=_SERVER_NAME)
    http_server.max_request_body_size = max_body_bytes
    return http_server


def _header(request: server.HTTPRequest, name: str) -> str | None:
    value = request.inheaders.get(name.encode())
    return value.decode("latin-1") if value is not None else None


def _respond(request: server.HTTPRequest, application: Application) -> None:
    request_id = _header(request, "X-Request-Id") or uuid.uuid4().hex
    responder = _Responder(request, request_id)
    path = request.path.decode("latin-1")
    try:
        if path in ("/healthz", "/readyz", "/metrics"):
            _respond_health(path, application, responder)
            return
        context = application.begin_request()
        try:
            call = _call(request, request_id, path, context.configuration)
            handler.serve(call, context, responder)
        finally:
            application.end_request(context)
    except errors.PersimmonspanError as error:
        application.metrics.count(f"refused_{error.code}")
        _logger.info("request failed",
                     extra={
                         "request_id": request_id,
                         "code": error.code,
                         "run_state": error.run_state
                     })
        _respond_error(error, responder, request_id)
    except OSError:
        application.metrics.count("caller_left")
        request.close_connection = True


def _respond_health(path: str, application: Application,
                    responder: _Responder) -> None:
    if path == "/metrics":
        responder.start(200, "text/plain; version=0.0.4")
        responder.write(application.metrics.exposition())
        return
    is_ok = path == "/healthz" or application.is_ready()
    responder.start(200 if is_ok else 503, "text/plain")
    responder.write(b"ok\n" if is_ok else b"not ready\n")


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


def _call(request: server.HTTPRequest, request_id: str, path: str,
          configuration: model.Configuration) -> handler.Call:
    workspace = _authenticate(_header(request, "Authorization"), configuration)
    kind = _kind(_header(request, "X-Request-Kind"), path, configuration)
    now_s = time.monotonic()
    deadline_ms = _header(request, "X-Deadline-Ms")
    if deadline_ms is not None and not deadline_ms.isdecimal():
        raise errors.RefusalError(
            errors.Code.BAD_REQUEST,
            f'X-Deadline-Ms must be a whole number, got "{deadline_ms}"')
    wait_s = (int(deadline_ms) /
              _MS_PER_S if deadline_ms is not None else kind.deadline_s)
    return handler.Call(request_id, workspace, kind, request.method.decode(),
                        path, request.rfile.read(), now_s, now_s + wait_s)


def _authenticate(authorization: str | None,
                  configuration: model.Configuration) -> model.Workspace:
    token = (authorization or "").removeprefix("Bearer ")
    digest = hashlib.sha256(token.encode()).hexdigest()
    for workspace in configuration.workspaces:
        if any(
                hmac.compare_digest(digest, key)
                for key in workspace.key_sha256):
            return workspace
    raise errors.RefusalError(errors.Code.UNAUTHORIZED,
                              "the workspace key is missing or not known")


def _kind(name: str | None, path: str,
          configuration: model.Configuration) -> events.KindPolicy:
    services = {
        service.name
        for service in configuration.services
        if (path in _MODEL_PATHS if service.is_model else path.
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
