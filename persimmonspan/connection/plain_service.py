"""Adapter of plain services.

A plain service answers a whole HTTP response. It repeats the request id in the
`X-Request-Id` header of its answer, by which a crossed answer is told apart.
"""

import typing

import urllib3

from persimmonspan import errors
from persimmonspan.connection import engine
from persimmonspan.version import model

REQUEST_ID_HEADER = "X-Request-Id"
_REFUSED_HEADER = "X-Run-State"


class Answer(typing.NamedTuple):
    """The answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class CrossedAnswerError(errors.TargetError):
    """The answer belongs to another request."""


def call(address: str, method: str, path: str, body: bytes, request_id: str,
         timeouts: model.Timeouts) -> Answer:
    """Sends a request once, over a connection of its own.

    Raises:
        engine.NotSentError: No byte was sent.
        engine.NotRunError: The service confirmed that it did not run it.
        CrossedAnswerError: The answer carries another request id.
        errors.TargetError: The outcome is unknown.
    """
    host, port = address.rsplit(":", 1)
    connection = urllib3.connection.HTTPConnection(host,
                                                   int(port),
                                                   timeout=timeouts.connect_s)
    try:
        engine.connect(connection, address)
        connection.sock.settimeout(timeouts.first_token_s)
        connection.request(method,
                           path,
                           body=body,
                           headers={
                               REQUEST_ID_HEADER: request_id,
                               "Content-Type": "application/json"
                           })
        response = connection.getresponse()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise errors.TargetError(
            errors.Code.TARGET_FAILED,
            f"no answer from {address}: {error}") from error
    finally:
        connection.close()
    if response.headers.get(_REFUSED_HEADER) == errors.RunState.NOT_RUN:
        raise engine.NotRunError(errors.Code.OVERLOADED,
                                 f"{address} refused the request",
                                 errors.RunState.NOT_RUN)
    if response.headers.get(REQUEST_ID_HEADER) != request_id:
        raise CrossedAnswerError(
            errors.Code.TARGET_FAILED,
            f"answer of {address} belongs to another request")
    return Answer(response.status,
                  response.headers.get("Content-Type", "application/json"),
                  response.data)
