"""Worker thread of one request: from the caller's HTTP request to its answer.

The thread carries events to the scheduler and its commands out: it opens the
stream, checks each token, writes it to the caller and tells the scheduler how
the attempt ended.
"""

import hashlib
import logging
import queue
import time
import typing
import uuid

import msgspec
import pykka

from persimmonspan import errors
from persimmonspan.connection import engine
from persimmonspan.connection import plain_service
from persimmonspan.process import metrics
from persimmonspan.process import scheduler_actor
from persimmonspan.request import events
from persimmonspan.version import model

_PROGRESS_INTERVAL_S = 0.25
_CHARS_PER_TOKEN = 4
_CANCEL_TIMEOUT_S = 2.0
_DEFAULT_MAX_TOKENS = 1024

_logger = logging.getLogger(__name__)


class CompletionDocument(typing.TypedDict, total=False):
    """Body of an OpenAI-compatible completion or chat completion."""

    model: str
    prompt: str
    messages: list[dict[str, str]]
    max_tokens: int
    stream: bool


class Context(typing.NamedTuple):
    """What a request needs of the process and of its version."""

    configuration: model.Configuration
    scheduler: pykka.ActorRef[scheduler_actor.SchedulerActor]
    metrics: metrics.Metrics


class Call(typing.NamedTuple):
    """A caller's request after authentication."""

    request_id: str
    workspace: model.Workspace
    kind: events.KindPolicy
    method: str
    path: str
    body: bytes
    arrived_s: float
    deadline_s: float


class Responder(typing.Protocol):
    """Writes the answer to the caller."""

    def start(self, status: int, content_type: str) -> None:
        """Sends the response headers."""

    def write(self, data: bytes) -> None:
        """Sends a part of the body.

        Raises:
            OSError: The caller left.
        """


def serve(call: Call, context: Context, responder: Responder) -> None:
    """Serves one request from arrival to its end.

    Raises:
        errors.PersimmonspanError: The request was refused or failed before the
            response was started.
    """
    commands: scheduler_actor.CommandQueue = queue.SimpleQueue()
    targets = {
        target.name: target for service in context.configuration.services
        for target in service.targets
    }
    body = _completion(call) if _is_model(call, context) else None
    context.scheduler.tell(
        scheduler_actor.Submit(_arrived(call, body), commands))
    try:
        while True:
            command = commands.get()
            if isinstance(command, events.Refuse):
                raise errors.PersimmonspanError(
                    command.reason, f"request refused: {command.reason}",
                    command.run_state, command.retry_after_s)
            if isinstance(command, events.Dispatch):
                attempt = _Attempt(call, context, responder,
                                   targets[command.target], command)
                outcome = (attempt.relay(body)
                           if body is not None else attempt.forward())
                if outcome is None:
                    return
    finally:
        context.scheduler.tell(scheduler_actor.Finished(call.request_id))


def _is_model(call: Call, context: Context) -> bool:
    return any(service.name == call.kind.service and service.is_model
               for service in context.configuration.services)


def _completion(call: Call) -> CompletionDocument:
    try:
        return msgspec.json.decode(call.body, type=CompletionDocument)
    except msgspec.ValidationError as error:
        raise errors.RefusalError(errors.Code.BAD_REQUEST,
                                  str(error)) from error
    except msgspec.DecodeError as error:
        raise errors.RefusalError(errors.Code.BAD_REQUEST,
                                  f"body is not JSON: {error}") from error


def _prompt(body: CompletionDocument) -> str:
    messages = body.get("messages")
    if messages is None:
        return body.get("prompt", "")
    return "\n".join(
        f"{item.get('role')}: {item.get('content')}" for item in messages)


def _arrived(call: Call, body: CompletionDocument | None) -> events.Arrived:
    prompt = _prompt(body) if body is not None else ""
    return events.Arrived(
        request_id=call.request_id,
        workspace=call.workspace.name,
        kind=call.kind.name,
        service=call.kind.service,
        prompt_tokens=len(prompt) // _CHARS_PER_TOKEN + 1,
        max_output_tokens=(body or {}).get("max_tokens", _DEFAULT_MAX_TOKENS),
        deadline_s=call.deadline_s,
        fingerprint=hashlib.sha256(call.path.encode() + call.body).hexdigest(),
        is_idempotent=call.kind.is_idempotent)


class _Attempt:
    """One attempt on one target."""

    def __init__(self, call: Call, context: Context, responder: Responder,
                 target: events.Target, command: events.Dispatch) -> None:
        self._call = call
        self._context = context
        self._responder = responder
        self._target = target
        self._command = command
        self._tokens = 0
        self._progress_s = call.arrived_s

    def relay(self, body: CompletionDocument) -> events.Outcome | None:
        """Relays a generation; returns None when the request is at its end."""
        generation_id = uuid.uuid4().hex
        request = engine.GenerateDocument(request_id=self._call.request_id,
                                          generation_id=generation_id,
                                          model=body.get("model", ""),
                                          prompt=_prompt(body),
                                          max_tokens=body.get(
                                              "max_tokens",
                                              _DEFAULT_MAX_TOKENS),
                                          priority=self._command.priority,
                                          from_index=0)
        texts: list[str] = []
        is_streamed = body.get("stream", False)
        try:
            with engine.open_stream(
                    self._target.address, "/v1/generate", request,
                    self._context.configuration.timeouts) as tokens:
                for token in tokens:
                    self._check(token, generation_id)
                    self._deliver(token, is_streamed, texts)
                    if token["f"] is not None:
                        return self._finish(token["f"], is_streamed, texts)
            raise engine.BrokenStreamError(errors.Code.STREAM_CUT,
                                           "stream ended without a finish")
        except engine.NotSentError:
            return self._end(events.Outcome.CONNECT_FAILED)
        except engine.NotRunError:
            return self._end(events.Outcome.REFUSED)
        except engine.BrokenStreamError as error:
            return self._broken(error, is_streamed)

    def forward(self) -> events.Outcome | None:
        """Forwards a call to a plain service."""
        try:
            answer = plain_service.call(self._target.address, self._call.method,
                                        self._call.path, self._call.body,
                                        self._call.request_id,
                                        self._context.configuration.timeouts)
        except engine.NotSentError:
            return self._end(events.Outcome.CONNECT_FAILED)
        except engine.NotRunError:
            return self._end(events.Outcome.REFUSED)
        except errors.TargetError:
            self._end(events.Outcome.FAILED_AFTER_FIRST_TOKEN)
            raise
        self._responder.start(answer.status, answer.content_type)
        self._responder.write(answer.body)
        self._end(events.Outcome.COMPLETED)
        return None

    def _check(self, token: engine.TokenDocument, generation_id: str) -> None:
        if token["r"] != self._call.request_id or token["g"] != generation_id:
            raise engine.BrokenStreamError(errors.Code.STREAM_CUT,
                                           "token of another request")
        if token["i"] != self._tokens:
            raise engine.BrokenStreamError(
                errors.Code.STREAM_CUT,
                f"expected token {self._tokens}, got {token['i']}")

    def _deliver(self, token: engine.TokenDocument, is_streamed: bool,
                 texts: list[str]) -> None:
        now_s = time.monotonic()
        if self._tokens == 0:
            self._context.metrics.first_token.observe(now_s -
                                                      self._call.arrived_s)
            self._context.scheduler.tell(
                events.FirstToken(self._call.request_id, self._target.name))
            if is_streamed:
                self._responder.start(200, "text/event-stream")
        self._tokens += 1
        if now_s - self._progress_s > _PROGRESS_INTERVAL_S:
            self._progress_s = now_s
            self._context.scheduler.tell(
                events.Progressed(self._call.request_id, self._target.name,
                                  self._tokens))
        if not is_streamed:
            texts.append(token["t"])
            return
        try:
            self._responder.write(_event(self._call.request_id, token))
        except OSError:
            self._context.scheduler.tell(events.Abandoned(
                self._call.request_id))
            engine.cancel(self._target.address, self._call.request_id,
                          _CANCEL_TIMEOUT_S)
            raise

    def _finish(self, reason: str, is_streamed: bool,
                texts: list[str]) -> events.Outcome | None:
        self._context.metrics.tokens.inc(self._tokens)
        self._end(events.Outcome.COMPLETED)
        if is_streamed:
            self._responder.write(b"data: [DONE]\n\n")
            return None
        self._responder.start(200, "application/json")
        self._responder.write(
            msgspec.json.encode({
                "id": self._call.request_id,
                "object": "text_completion",
                "choices": [{
                    "index": 0,
                    "text": "".join(texts),
                    "finish_reason": reason
                }],
                "usage": {
                    "completion_tokens": self._tokens
                }
            }))
        return None

    def _broken(self, error: errors.TargetError,
                is_streamed: bool) -> events.Outcome | None:
        if self._tokens == 0:
            return self._end(events.Outcome.FAILED_BEFORE_FIRST_TOKEN)
        self._end(events.Outcome.FAILED_AFTER_FIRST_TOKEN)
        cut = errors.TargetError(errors.Code.STREAM_CUT, str(error),
                                 errors.RunState.RAN)
        if not is_streamed:
            raise cut
        self._responder.write(b"event: error\ndata: " +
                              error_body(cut, self._call.request_id) + b"\n\n")
        return None

    def _end(self, outcome: events.Outcome) -> events.Outcome:
        self._context.scheduler.tell(
            events.AttemptEnded(self._call.request_id, self._target.name,
                                outcome, self._tokens))
        return outcome


def _event(request_id: str, token: engine.TokenDocument) -> bytes:
    return b"data: " + msgspec.json.encode({
        "id":
            request_id,
        "object":
            "text_completion",
        "choices": [{
            "index": 0,
            "text": token["t"],
            "finish_reason": token["f"]
        }]
    }) + b"\n\n"


def error_body(error: errors.PersimmonspanError, request_id: str) -> bytes:
    """Returns the JSON body of an error."""
    return msgspec.json.encode({
        "error": {
            "code": error.code,
            "message": str(error),
            "reason": error.code,
            "run_state": error.run_state,
            "request_id": request_id
        }
    })
