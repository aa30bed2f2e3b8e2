"""Adapter of plain services.

A plain service sends a complete HTTP response. It repeats the request id in the
`X-Request-Id` header, so that a response to another request is detected.
`dispatch` sends a request at most once and never repeats it, so that a caller
can wrap it in an at-most-once ledger.
"""

import time
import typing

import urllib3

from persimmonspan import errors
from persimmonspan.connection import engine

REQUEST_ID_HEADER = engine.REQUEST_ID_HEADER
RUN_STATE_HEADER = "X-Run-State"

_READ_CHUNK_BYTES = 64 * 1024


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


def dispatch(address: str, request: Request, connect_s: float,
             response_timeout_s: float) -> Response:
    """Sends a request once, over a connection of its own.

    Args:
        address: Address and port of the target.
        request: The request to send.
        connect_s: Timeout for connecting, in seconds.
        response_timeout_s: Limit from sending the request to the end of the
            response, in seconds.

    Raises:
        engine.NotSentError: No byte was sent.
        engine.NotRunError: The service reported that it did not run the
            request.
        MismatchedResponseError: The response carries another request id.
        errors.TargetError: The outcome is unknown.
    """
    connection = engine.open_connection(address, connect_s)
    end_s = time.monotonic() + response_timeout_s
    try:
        connection.sock.settimeout(response_timeout_s)
        connection.request(request.method,
                           request.path,
                           body=request.body,
                           headers={
                               REQUEST_ID_HEADER: request.request_id,
                               "Content-Type": "application/json"
                           },
                           preload_content=False)
        response = connection.getresponse()
        body = _read_body(connection, response, end_s)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        raise errors.TargetError(
            errors.Code.TARGET_FAILED,
            f"no response from {address}: {error}") from error
    finally:
        connection.close()
    return _check_response(address, request, response, body)


def _read_body(connection: urllib3.connection.HTTPConnection,
               response: urllib3.BaseHTTPResponse, end_s: float) -> bytes:
    parts = []
    sock = connection.sock
    while True:
        # The socket's timeout restarts at each read, so that a target that
        # sends one byte at a time would exceed the total time.
        remaining_s = end_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the response took too long")
        if sock is not None:
            sock.settimeout(remaining_s)
        part = response.read1(_READ_CHUNK_BYTES)
        if not part:
            return b"".join(parts)
        parts.append(part)


def _check_response(address: str, request: Request,
                    response: urllib3.BaseHTTPResponse,
                    body: bytes) -> Response:
    if response.headers.get(REQUEST_ID_HEADER) != request.request_id:
        raise MismatchedResponseError(
            errors.Code.TARGET_FAILED,
            f"response of {address} belongs to another request")
    if response.headers.get(RUN_STATE_HEADER) == errors.RunState.NOT_RUN:
        raise engine.NotRunError(errors.Code.OVERLOADED,
                                 f"{address} refused the request",
                                 errors.RunState.NOT_RUN)
    return Response(response.status,
                    response.headers.get("Content-Type", "application/json"),
                    body)
