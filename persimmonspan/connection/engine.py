"""Adapter of model engines.

This module alone knows the engine's wire format: JSON requests and server-sent
events, each with request id, generation id and token index, by which the relay
checks every token. The stand-in engine uses the same codecs.

Connections are never pooled: a connection that was silently dropped on the way
must not be handed to the next request.

See Also:
    `persimmonspan.request.stream`: checks the order of the tokens.

References:
    WHATWG HTML, section "Server-sent events".
"""

import collections.abc
import contextlib
import typing

import msgspec
import urllib3

from persimmonspan import errors
from persimmonspan.version import model

_EVENT_PREFIX = b"data: "
_EVENT_END = b"\n\n"
_REFUSED_STATUS = 503


class GenerateDocument(typing.TypedDict):
    """Body of a generate request."""

    request_id: str
    generation_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    from_index: int


class TokenDocument(typing.TypedDict):
    """One event: request, generation, index, text and finish reason."""

    r: str
    g: str
    i: int
    t: str
    f: str | None


class LoadDocument(typing.TypedDict):
    """Load report of an engine."""

    kv_used_tokens: int
    kv_capacity_tokens: int
    running: int
    waiting: int
    preemptions: int
    measured_age_s: float
    incarnation: str


class NotSentError(errors.TargetError):
    """The connection failed before a byte of the request was sent."""


class NotRunError(errors.TargetError):
    """The engine confirmed that it did not run the request."""


class BrokenStreamError(errors.TargetError):
    """The stream ended, stalled or carried garbage before its finish."""


_token_decoder = msgspec.json.Decoder(TokenDocument)
_load_decoder = msgspec.json.Decoder(LoadDocument)


def encode_token(token: TokenDocument) -> bytes:
    """Returns one server-sent event."""
    return _EVENT_PREFIX + msgspec.json.encode(token) + _EVENT_END


def decode_event(event: bytes) -> TokenDocument:
    """Decodes one event without its blank line.

    >>> decode_event(b'data: {"r":"a","g":"b","i":0,"t":"x","f":null}')["t"]
    'x'

    Raises:
        BrokenStreamError: The event is not a token.
    """
    try:
        return _token_decoder.decode(event.removeprefix(_EVENT_PREFIX))
    except msgspec.DecodeError as error:
        raise BrokenStreamError(
            errors.Code.TARGET_FAILED,
            f"engine sent a malformed event: {error}") from error


@contextlib.contextmanager
def open_stream(
    address: str, path: str, body: GenerateDocument, timeouts: model.Timeouts
) -> collections.abc.Iterator[collections.abc.Iterator[TokenDocument]]:
    """Opens a generation or resumes one, over a connection of its own.

    Args:
        address: Address and port of the engine.
        path: `/v1/generate` or `/v1/resume`.
        body: The request.
        timeouts: Timeouts for connecting and between reads.

    Yields:
        The tokens as they come.

    Raises:
        NotSentError: No byte of the request was sent.
        NotRunError: The engine refused it.
        BrokenStreamError: The stream broke.
    """
    host, port = address.rsplit(":", 1)
    connection = urllib3.connection.HTTPConnection(host,
                                                   int(port),
                                                   timeout=timeouts.connect_s)
    try:
        connect(connection, address)
        connection.sock.settimeout(timeouts.first_token_s)
        response = _request(connection, path, body)
        if response.status == _REFUSED_STATUS:
            raise NotRunError(errors.Code.OVERLOADED,
                              f"engine {address} refused the request",
                              errors.RunState.NOT_RUN)
        if response.status != 200:
            raise BrokenStreamError(
                errors.Code.TARGET_FAILED,
                f"engine {address} answered status {response.status}")
        yield _tokens(connection, response, timeouts.between_tokens_s)
    finally:
        connection.close()


def cancel(address: str, request_id: str, timeout_s: float) -> None:
    """Cancels a generation; errors are ignored as the engine may be gone."""
    with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
        _call(address, "POST", "/v1/cancel",
              msgspec.json.encode({"request_id": request_id}), timeout_s)


def read_load(address: str, timeout_s: float) -> LoadDocument:
    """Reads the load report of an engine.

    Raises:
        errors.TargetError: The engine did not answer with a load report.
    """
    try:
        return _load_decoder.decode(
            _call(address, "GET", "/v1/load", None, timeout_s))
    except (urllib3.exceptions.HTTPError, OSError,
            msgspec.DecodeError) as error:
        raise errors.TargetError(errors.Code.TARGET_FAILED,
                                 f"no load report from {address}") from error


def connect(connection: urllib3.connection.HTTPConnection,
            address: str) -> None:
    """Connects, so that a failure to connect is told apart from a lost answer.

    Raises:
        NotSentError: The connection failed.
    """
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise NotSentError(errors.Code.TARGET_FAILED,
                           f"cannot connect to engine {address}",
                           errors.RunState.NOT_RUN) from error


def _request(connection: urllib3.connection.HTTPConnection, path: str,
             body: GenerateDocument) -> urllib3.BaseHTTPResponse:
    try:
        connection.request("POST",
                           path,
                           body=msgspec.json.encode(body),
                           headers={"Content-Type": "application/json"},
                           preload_content=False)
        return connection.getresponse()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise BrokenStreamError(errors.Code.TARGET_FAILED,
                                f"engine did not answer: {error}") from error


def _tokens(connection: urllib3.connection.HTTPConnection,
            response: urllib3.BaseHTTPResponse,
            between_tokens_s: float) -> collections.abc.Iterator[TokenDocument]:
    buffer = b""
    try:
        for chunk in response.read_chunked():
            buffer += chunk
            *events, buffer = buffer.split(_EVENT_END)
            for event in events:
                yield decode_event(event)
            connection.sock.settimeout(between_tokens_s)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise BrokenStreamError(errors.Code.TARGET_FAILED,
                                f"stream broke: {error}") from error


def _call(address: str, method: str, path: str, body: bytes | None,
          timeout_s: float) -> bytes:
    host, port = address.rsplit(":", 1)
    with urllib3.HTTPConnectionPool(host,
                                    int(port),
                                    timeout=timeout_s,
                                    retries=False) as pool:
        return pool.request(method, path, body=body).data
