"""Adapter of plain services.

A plain service sends a complete HTTP response. It repeats the request id in the
`X-Request-Id` header, so that a response to another request is detected.
`dispatch` sends a request at most once and never repeats it, so that a caller
can wrap it in an at-most-once ledger.
"""

import collections.abc
import math
import time
import typing

from persimmonspan import errors
from persimmonspan.connection import engine
from persimmonspan.connection import exchange
from persimmonspan.connection import leaving_header
from persimmonspan.connection import retry_after

REQUEST_ID_HEADER = engine.REQUEST_ID_HEADER
RUN_STATE_HEADER = "X-Run-State"

_LEAVING_NAME = leaving_header.NAME.lower().encode()
_REQUEST_ID_NAME = REQUEST_ID_HEADER.lower().encode()
_RUN_STATE_NAME = RUN_STATE_HEADER.lower().encode()
_MIN_FAILURE_STATUS = 400
_NO_ENCODING = b"identity"


class Response(typing.NamedTuple):
    """Response of a plain service."""

    status: int
    content_type: str
    body: bytes


class Request(typing.NamedTuple):
    """Request to a plain service."""

    request_id: str
    method: str
    path: str
    body: bytes


class MismatchedResponseError(errors.TargetError):
    """The response belongs to another request."""


def dispatch(
    address: str,
    request: Request,
    connect_s: float,
    response_timeout_s: float,
    report_leaving: collections.abc.Callable[[str], None] | None = None,
    report_pause: collections.abc.Callable[[float | None], object] | None = None
) -> Response:
    """Sends a request once, over a connection of its own.

    Args:
        address: Address and port of the target.
        request: The request to send.
        connect_s: Timeout for connecting, in seconds.
        response_timeout_s: Limit from sending the request to the end of the
            response, in seconds.
        report_leaving: Called with the incarnation that leaves according to the
            response, also if it is a failure.
        report_pause: Called with the time for which the service wants no
            request, or None, if its response belongs to the request.

    Raises:
        engine.NotSentError: No byte was sent.
        engine.NotRunError: The service reported that it did not run the
            request.
        MismatchedResponseError: The response carries another request id.
        errors.TargetError: The outcome is unknown.
    """
    try:
        data = exchange.encode(
            exchange.Request(request.method, request.path,
                             ((b"Host", address.encode()),
                              (b"Accept-Encoding", _NO_ENCODING),
                              (_REQUEST_ID_NAME, request.request_id.encode()),
                              (b"Content-Type", b"application/json")),
                             request.body))
    except errors.RefusalError as error:
        raise errors.TargetError(errors.Code.TARGET_FAILED,
                                 f"no request to {address}: {error}") from error
    end_s = time.monotonic() + response_timeout_s
    try:
        with exchange.open_socket(address, connect_s) as sock:
            exchange.send(sock, data, response_timeout_s)
            reader, body = exchange.receive(sock, request.method, end_s,
                                            math.inf)
    except exchange.NotSentError as error:
        raise engine.NotSentError(error.code, str(error),
                                  error.run_state) from error
    head = reader.head
    if head.get_all(_REQUEST_ID_NAME) != {request.request_id.encode()}:
        raise MismatchedResponseError(
            errors.Code.TARGET_FAILED,
            f"response of {address} belongs to another request")
    incarnation = leaving_header.decode(head.get_all(_LEAVING_NAME))
    if incarnation is not None and report_leaving is not None:
        report_leaving(incarnation)
    if report_pause is not None:
        report_pause(retry_after.read_pause_s(head))
    return _check_response(address, reader, body)


def _check_response(address: str, reader: exchange.ResponseReader,
                    body: bytes) -> Response:
    head = reader.head
    if head.get(b"content-encoding", _NO_ENCODING) != _NO_ENCODING:
        raise errors.TargetError(errors.Code.TARGET_FAILED,
                                 f"response of {address} is encoded")
    if head.get(_RUN_STATE_NAME) == errors.RunState.NOT_RUN.encode():
        if head.status < _MIN_FAILURE_STATUS or reader.has_trailing_bytes:
            # A success may have run; other bytes may be the right response.
            raise errors.TargetError(
                errors.Code.TARGET_FAILED,
                f"the refusal of {address} contradicts itself")
        raise engine.NotRunError(errors.Code.OVERLOADED,
                                 f"{address} refused the request",
                                 errors.RunState.NOT_RUN)
    return Response(
        head.status,
        head.get(b"content-type", b"application/json").decode("latin-1"), body)
