"""OpenAI-compatible requests and responses of completions and chats.

>>> request = decode("/v1/completions", b'{"prompt": "fair", "stream": true}')
>>> request.prompt, request.is_streamed, request.is_chat
('fair', True, False)

References:
    OpenAI API reference, sections "Completions" and "Chat".
"""

import hashlib
import time
import typing

import msgspec

from persimmonspan import decoding
from persimmonspan import errors

CHAT_PATH = "/v1/chat/completions"
PATHS = frozenset({"/v1/completions", CHAT_PATH})
DONE = b"data: [DONE]\n\n"

_CHARS_PER_TOKEN = 4
_DEFAULT_MAX_TOKENS = 1024
# Messages against which evidence of crashes is kept; the first ones are shared.
_MAX_PARTS = 16
_FINGERPRINT_DIGITS = 32
_Tokens = typing.Annotated[int, msgspec.Meta(ge=1)]


class PartDocument(typing.TypedDict):
    """One part of a chat message; only text is supported."""

    type: typing.Literal["text"]
    text: str


class MessageDocument(typing.TypedDict):
    """One chat message."""

    role: str
    content: str | list[PartDocument]


class StreamOptionsDocument(typing.TypedDict, total=False):
    """Options of a streamed response."""

    include_usage: bool


class CompletionDocument(typing.TypedDict, total=False):
    """Body of a completion or chat completion; other fields are ignored."""

    model: str
    prompt: str
    messages: list[MessageDocument]
    max_tokens: _Tokens
    max_completion_tokens: _Tokens
    stream: bool
    stream_options: StreamOptionsDocument | None
    n: typing.Literal[1]


class Request(typing.NamedTuple):
    """A validated request for a generation."""

    is_chat: bool
    model: str | None
    prompt: str
    prompt_tokens: int
    max_tokens: int
    is_streamed: bool
    includes_usage: bool
    part_fingerprints: tuple[str, ...] = ()  # Of all messages but the last.


_decoder = decoding.JsonDecoder(CompletionDocument)
_encoder = msgspec.json.Encoder()


def decode(path: str, body: bytes) -> Request:
    """Decodes and validates the body of a request.

    Raises:
        errors.RefusalError: The body is not valid.
    """
    try:
        document = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.RefusalError(errors.Code.BAD_REQUEST,
                                  f"request body: {error}") from error
    is_chat = path == CHAT_PATH
    needed = "messages" if is_chat else "prompt"
    if not document.get(needed):
        raise errors.RefusalError(errors.Code.BAD_REQUEST,
                                  f'request body: "{needed}" is missing')
    prompt = (_build_chat_prompt(document["messages"])
              if is_chat else document["prompt"])
    options = document.get("stream_options") or {}
    return Request(
        is_chat, document.get("model"), prompt,
        max(1,
            len(prompt) // _CHARS_PER_TOKEN),
        document.get("max_completion_tokens",
                     document.get("max_tokens", _DEFAULT_MAX_TOKENS)),
        document.get("stream", False), options.get("include_usage", False),
        tuple(
            _part_fingerprint(message)
            for message in document.get("messages", [])[:-1][:_MAX_PARTS]))


class Formatter:
    """Encodes the response to one request.

    The constant parts of an event are encoded once per request.
    """

    def __init__(self, request: Request, request_id: str, model: str) -> None:
        self._request = request
        self._common = {
            "id": request_id,
            "object": _object_name(request),
            "created": int(time.time()),
            "model": model
        }
        common = _encoder.encode(self._common)[:-1]
        text = (b'"delta":{"content":' if request.is_chat else b'"text":')
        self._before_text = (b"data: " + common + b',"choices":[{"index":0,' +
                             text)
        self._after_text = ((b"}" if request.is_chat else b"") +
                            b',"logprobs":null,"finish_reason":')
        self._running = self._after_text + b"null}]}\n\n"

    def format_opening(self) -> bytes:
        """Returns the event before the first token, or nothing."""
        if not self._request.is_chat:
            return b""
        return self._encode_event([{
            "index": 0,
            "delta": {
                "role": "assistant",
                "content": ""
            },
            "logprobs": None,
            "finish_reason": None
        }])

    def format_token(self, text: str, finish: str | None) -> bytes:
        """Returns the event of one token."""
        encoded = self._before_text + _encoder.encode(text)
        if finish is None:
            return encoded + self._running
        return (encoded + self._after_text + _encoder.encode(finish) +
                b"}]}\n\n")

    def format_encoded_token(self, text: bytes) -> bytes:
        """Returns the event of a token, not the last, from its JSON text."""
        return b"%b%b%b" % (self._before_text, text, self._running)

    def format_closing(self, tokens: int) -> bytes:
        """Returns the events after the last token of a finished stream."""
        if not self._request.includes_usage:
            return DONE
        return self._encode_event([], usage=self._usage(tokens)) + DONE

    def format_response(self, texts: list[str], finish: str,
                        tokens: int) -> bytes:
        """Returns the body of a response that is not streamed."""
        text = "".join(texts)
        content: dict[str, object] = ({
            "message": {
                "role": "assistant",
                "content": text
            }
        } if self._request.is_chat else {
            "text": text
        })
        choice = {
            "index": 0,
            **content, "logprobs": None,
            "finish_reason": finish
        }
        return _encoder.encode({
            **self._common, "choices": [choice],
            "usage": self._usage(tokens)
        })

    def _encode_event(self, choices: list[dict[str, object]],
                      **fields: object) -> bytes:
        return b"data: " + _encoder.encode({
            **self._common, "choices": choices,
            **fields
        }) + b"\n\n"

    def _usage(self, tokens: int) -> dict[str, int]:
        return {
            "prompt_tokens": self._request.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self._request.prompt_tokens + tokens
        }


def error_event(body: bytes) -> bytes:
    """Returns the event that ends a stream that did not finish."""
    return b"event: error\ndata: " + body + b"\n\n"


def _object_name(request: Request) -> str:
    if not request.is_chat:
        return "text_completion"
    return ("chat.completion.chunk"
            if request.is_streamed else "chat.completion")


def _build_chat_prompt(messages: list[MessageDocument]) -> str:
    return "\n".join(f"{message['role']}: {_content_text(message['content'])}"
                     for message in messages)


def _part_fingerprint(message: MessageDocument) -> str:
    text = f"{message['role']}: {_content_text(message['content'])}"
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f"part:{digest[:_FINGERPRINT_DIGITS]}"


def _content_text(content: str | list[PartDocument]) -> str:
    if isinstance(content, str):
        return content
    return "".join(part["text"] for part in content)
