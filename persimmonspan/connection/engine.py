"""Adapter of model engines.

Only this module implements the engine's wire format: JSON requests and
server-sent events. Each event has a request id, a generation id and a token
index, which are checked for every token. The stand-in engine uses the same
codecs.

Connections for generations are never pooled, because the network may have
dropped a pooled connection silently. A request is sent with blocking calls.
`ResponseReader` decodes the response from the bytes available on the socket, so
that one thread can serve many streams.

See Also:
    `persimmonspan.connection.relay`: reads the sockets.
    `persimmonspan.request.stream`: checks the order of the tokens.

References:
    WHATWG HTML, section "Server-sent events".
    RFC 9112, section 7.1 "Chunked Transfer Coding".
"""

import collections.abc
import contextlib
import socket
import typing

import msgspec
import urllib3

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.connection import leaving_header
from persimmonspan.connection import retry_after

REQUEST_ID_HEADER = "X-Request-Id"

_LEAVING_NAME = leaving_header.NAME.lower().encode()
_REQUEST_ID_NAME = REQUEST_ID_HEADER.lower().encode()
_EVENT_PREFIX = b"data: "
_EVENT_END = b"\n\n"
_LINE_END = b"\r\n"
_UNFINISHED_EVENT_SUFFIX = b',"f":null}\n\n\r\n'
_HEAD_END = b"\r\n\r\n"
_NOT_RUN_STATUS = 503
_UNKNOWN_GENERATION_STATUS = 404
_MIN_FINAL_STATUS = 200  # Lower ones are interim responses.
# A token or a response head is far smaller. More bytes without an end are not
# a valid response.
_MAX_UNDECODED_BYTES = 1024 * 1024


class GenerateDocument(typing.TypedDict):
    """Body of a generate request."""

    request_id: str
    generation_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    from_index: int


class ResumeDocument(typing.TypedDict):
    """Body of a resume request."""

    request_id: str
    generation_id: str
    from_index: int


class TokenDocument(typing.TypedDict):
    """One event: request, generation, index, text and finish reason."""

    r: str
    g: str
    i: int
    t: str
    f: str | None


class LoadDocument(typing.TypedDict):
    """Load report of an engine.

    `leaving` is the incarnation that leaves according to the answer's head.
    """

    kv_used_tokens: int
    kv_capacity_tokens: int
    running: int
    waiting: int
    preemptions: int
    measured_age_s: float
    incarnation: str
    leaving: typing.NotRequired[str]


class _RefusalDocument(typing.TypedDict):
    run_state: str


class NotSentError(errors.TargetError):
    """The connection failed before a byte of the request was sent."""


class ConnectTimeoutError(NotSentError):
    """Connecting took too long; the engine may still be alive."""


class UnusableConnectionError(ConnectTimeoutError):
    """The engine sent bytes, or ended the connection, before a request."""


class NotRunError(errors.TargetError):
    """The engine confirmed that it did not run the request."""


class ReportRefusedError(errors.TargetError):
    """The engine turned a call for its load away, and may have named a time."""


class UnknownGenerationError(errors.TargetError):
    """The engine does not know the generation to resume."""


class BrokenStreamError(errors.TargetError):
    """The response is malformed or has an unexpected status."""


class TruncatedError(BrokenStreamError):
    """The response ended before its last token."""


class MismatchedResponseError(BrokenStreamError):
    """The response names another request."""


_text_decoder = decoding.JsonDecoder(str)
_token_decoder = decoding.JsonDecoder(TokenDocument)
_refusal_decoder = decoding.JsonDecoder(_RefusalDocument)


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
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BrokenStreamError(
            errors.Code.TARGET_FAILED,
            f"engine sent a malformed event: {error}") from error


class ResponseReader:
    """Decodes the response to a generate or resume request as bytes arrive.

    >>> reader = ResponseReader("127.0.0.1:1", "a", "b")
    >>> reader.feed(b"HTTP/1.1 200 OK\\r\\n\\r\\ndata: {\\"r\\":")
    []
    >>> reader.feed(b'"a","g":"b","i":0,"t":"x","f":null}\\n\\n')[0]["t"]
    'x'
    """

    def __init__(self, address: str, request_id: str,
                 generation_id: str) -> None:
        self.failure: errors.TargetError | None = None
        # The incarnation that leaves according to the head.
        self.leaving_incarnation: str | None = None
        self._address = address
        identity = msgspec.json.encode({"r": request_id, "g": generation_id})
        self._expected_prefix = _EVENT_PREFIX + identity[:-1] + b',"i":'
        self._request_id = request_id.encode()
        self._names_other_request = False
        self._pause_headers: list[tuple[bytes, bytes]] = []
        self._status: int | None = None
        self._is_chunked = False
        self._length: int | None = None
        self._is_complete = False
        self._is_between_chunks = False  # After the head, nothing buffered.
        self._raw = b""  # Received, head and chunk framing not removed.
        self._body = b""  # Body bytes of an incomplete event.

    @property
    def retry_after_s(self) -> float | None:
        """Time for which the engine wants no request; None: it named none."""
        if self._status is None or self._names_other_request:
            return None
        return retry_after.read_pause_s(
            exchange.RawResponseHead(self._status, tuple(self._pause_headers)))

    def match_expected_token(self, data: bytes, index: int) -> bytes | None:
        """Returns the encoded text if the data hold only the expected token.

        This is the common case, and comparing bytes costs a fraction of
        decoding them. The data must be one chunk with one event in the format
        of `encode_token`, with this request id, generation id and index, and
        without a finish reason. For other data the function returns None, and
        the caller passes them to `feed`.
        """
        if not self._is_between_chunks:
            return None
        start = data.find(_LINE_END) + 2
        if not (data.startswith(self._expected_prefix, start) and
                data.endswith(_UNFINISHED_EVENT_SUFFIX)):
            return None
        number, _, text = data[start + len(self._expected_prefix):-len(
            _UNFINISHED_EVENT_SUFFIX)].partition(b',"t":')
        if number != b"%d" % index or text[:1] != b'"' or text[-1:] != b'"':
            return None
        try:
            _text_decoder.decode(text)
            if int(data[:start - 2], 16) != len(data) - start - 2:
                return None
        except (msgspec.DecodeError, ValueError):
            return None
        return text

    def feed(self, data: bytes) -> list[TokenDocument]:
        """Returns the tokens that become complete with these bytes.

        At the end of the response, `failure` is set to `NotRunError`,
        `UnknownGenerationError` or `TruncatedError`. It is set to
        `BrokenStreamError` if the bytes are not a valid response.
        """
        tokens: list[TokenDocument] = []
        try:
            self._decode(data, tokens)
        except errors.TargetError as error:
            self.failure = error
        return tokens

    def _decode(self, data: bytes, tokens: list[TokenDocument]) -> None:
        raw = self._raw + data if self._raw else data
        if self._status is None:
            raw = self._read_head(raw)
        if self._is_chunked:
            raw = self._read_chunks(raw)
        elif self._status is not None:
            self._body += raw
            raw = b""
        self._raw = raw
        if len(raw) + len(self._body) > _MAX_UNDECODED_BYTES:
            raise self._broken_stream_error(
                "an event without an end is too large")
        if self._status == 200:
            *events, self._body = self._body.split(_EVENT_END)
            for event in events:
                if not event.startswith(b":"):  # Not a comment.
                    tokens.append(decode_event(event))
            self._is_between_chunks = (self._is_chunked and not raw and
                                       not self._body)
        if self._status is not None and self._has_whole_body():
            raise self.error_at_end()

    def error_at_end(self, is_reset: bool = False) -> errors.TargetError:
        """Returns the error for a response that ends here.

        Args:
            is_reset: Whether the connection failed, so that data may be lost.
        """
        if self._status is not None and self._status != 200:
            return self._rejection_error(is_reset)
        return TruncatedError(
            errors.Code.TARGET_FAILED,
            f"engine {self._address}: the response is truncated")

    def _has_whole_body(self) -> bool:
        return self._is_complete or (self._length is not None and
                                     len(self._body) >= self._length)

    def _rejection_error(self, is_reset: bool) -> errors.TargetError:
        if self._names_other_request:
            return MismatchedResponseError(
                errors.Code.TARGET_FAILED,
                f"response of engine {self._address} belongs to another "
                "request")
        if self._status == _NOT_RUN_STATUS and self._is_refusal(is_reset):
            return NotRunError(errors.Code.OVERLOADED,
                               f"engine {self._address} refused the request",
                               errors.RunState.NOT_RUN)
        if self._status == _UNKNOWN_GENERATION_STATUS:
            return UnknownGenerationError(
                errors.Code.TARGET_FAILED,
                f"engine {self._address} does not know the generation")
        return self._broken_stream_error(f"status {self._status}")

    def _is_refusal(self, is_reset: bool) -> bool:
        """Returns whether the whole response says that nothing was run."""
        if self._is_chunked:
            # Other bytes behind it may be the right response.
            is_whole = self._is_complete and not self._raw
        elif self._length is not None:
            is_whole = len(self._body) == self._length
        else:
            is_whole = not is_reset
        try:
            document = _refusal_decoder.decode(self._body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return False
        return is_whole and document["run_state"] == errors.RunState.NOT_RUN

    def _broken_stream_error(self, problem: str) -> BrokenStreamError:
        return BrokenStreamError(errors.Code.TARGET_FAILED,
                                 f"engine {self._address}: {problem}")

    def _read_head(self, raw: bytes) -> bytes:
        while self._status is None:
            head, separator, rest = raw.partition(_HEAD_END)
            if not separator:
                break
            self._parse_head(head)
            raw = rest
        return raw

    def _parse_head(self, head: bytes) -> None:
        status_line, *fields = head.split(_LINE_END)
        parts = status_line.split(None, 2)
        if (len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or
                not parts[1].isdigit()):
            raise self._broken_stream_error("not an HTTP response")
        if int(parts[1]) < _MIN_FINAL_STATUS:
            return
        leaving: list[bytes] = []
        for field in fields:
            name, _, value = field.partition(b":")
            name = name.lower()
            if name == _REQUEST_ID_NAME:
                self._names_other_request |= value.strip() != self._request_id
            elif name == b"transfer-encoding":
                self._is_chunked = value.strip().lower() == b"chunked"
            elif name in retry_after.NAMES:
                self._pause_headers.append((name, value.strip()))
            elif name == b"content-length" and value.strip().isdigit():
                self._length = int(value)
            elif name == _LEAVING_NAME:
                leaving.append(value)
        if not self._names_other_request:
            self.leaving_incarnation = leaving_header.decode(leaving)
        self._status = int(parts[1])

    def _read_chunks(self, raw: bytes) -> bytes:
        position = 0
        while (line_end := raw.find(_LINE_END, position)) >= 0:
            try:
                size = int(raw[position:line_end], 16)
            except ValueError:
                raise self._broken_stream_error("malformed chunk") from None
            start = line_end + 2
            end = start + size
            if len(raw) < end + 2:
                break
            if size < 0 or raw[end:end + 2] != _LINE_END:
                raise self._broken_stream_error("malformed chunk")
            self._is_complete = self._is_complete or size == 0
            self._body += raw[start:end]
            position = end + 2
        return raw[position:] if position else raw


@contextlib.contextmanager
def open_request(address: str, path: str,
                 body: GenerateDocument | ResumeDocument,
                 timeout_s: float) -> collections.abc.Iterator[socket.socket]:
    """Sends a request to an engine over a new connection.

    Args:
        address: Address and port of the engine.
        path: `/v1/generate` or `/v1/resume`.
        body: Body of the request.
        timeout_s: Separate timeout for connecting and for each send.

    Yields:
        The socket, which is closed at the end of the block.

    Raises:
        NotSentError: No byte of the request was sent.
        BrokenStreamError: The request may have been sent in part.
    """
    connection = open_connection(address, timeout_s)
    try:
        if exchange.has_input(connection.sock):
            raise UnusableConnectionError(
                errors.Code.TARGET_FAILED,
                f"engine {address} sent bytes before a request",
                errors.RunState.NOT_RUN)
        try:
            connection.request("POST",
                               path,
                               body=msgspec.json.encode(body),
                               headers={
                                   "Content-Type": "application/json",
                                   REQUEST_ID_HEADER: body["request_id"]
                               })
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise BrokenStreamError(
                errors.Code.TARGET_FAILED,
                f"cannot send to engine {address}: {error}") from error
        yield connection.sock
    finally:
        connection.close()


def cancel(address: str, request_id: str, timeout_s: float) -> None:
    """Cancels a generation; ignores errors, as the engine may have ended."""
    with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
        _call(address, "POST", "/v1/cancel",
              msgspec.json.encode({"request_id": request_id}), timeout_s)


def open_connection(address: str,
                    timeout_s: float) -> urllib3.connection.HTTPConnection:
    """Connects, to tell a failed connection from a lost response.

    Raises:
        ConnectTimeoutError: Connecting took too long.
        NotSentError: The connection failed.
    """
    host, port = address.rsplit(":", 1)
    connection = urllib3.connection.HTTPConnection(host,
                                                   int(port),
                                                   timeout=timeout_s)
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        connection.close()
        is_timeout = isinstance(error, urllib3.exceptions.ConnectTimeoutError)
        kind = ConnectTimeoutError if is_timeout else NotSentError
        raise kind(errors.Code.TARGET_FAILED,
                   f"cannot connect to target {address}",
                   errors.RunState.NOT_RUN) from error
    return connection


def _call(address: str, method: str, path: str, body: bytes | None,
          timeout_s: float) -> bytes:
    host, port = address.rsplit(":", 1)
    with urllib3.HTTPConnectionPool(host,
                                    int(port),
                                    timeout=timeout_s,
                                    retries=False) as pool:
        return pool.request(method, path, body=body).data
