"""Relays a generation: executes the decisions of `request.stream`.

The worker thread opens and resumes connections to the engine. While one is
open, the relay thread passes each batch of bytes to `_consume`, which decodes
the tokens, has `request.stream` check them and encodes them for the caller.
"""

import functools
import logging
import socket
import threading
import time
import typing
import uuid

from persimmonspan import errors
from persimmonspan.connection import engine
from persimmonspan.connection import exchange
from persimmonspan.connection import relay
from persimmonspan.request import completion
from persimmonspan.request import events
from persimmonspan.request import session
from persimmonspan.request import stream

# Each progress event costs the scheduler a step. One event a second is
# enough to predict the memory of an engine and cheap enough for 800 streams.
_PROGRESS_INTERVAL_S = 1.0
_CANCEL_TIMEOUT_S = 2.0
_RESUME_PAUSE_S = 0.1

_logger = logging.getLogger(__name__)


class Responder(typing.Protocol):
    """Frames the response to the caller."""

    def stream_head(self) -> bytes:
        """Returns the response head of a stream and marks it as sent."""

    def frame(self, data: bytes) -> bytes:
        """Returns a part of a streamed body, framed for the wire."""


class Generation:
    """Runs the generation of one request at one target after the other."""

    def __init__(self, request_session: session.Session,
                 request: completion.Request, model: str, responder: Responder,
                 transfer: relay.Transfer) -> None:
        self._session = request_session
        self._request = request
        self._model = model
        self._responder = responder
        self._transfer = transfer
        self._formatter = completion.Formatter(request,
                                               request_session.call.request_id,
                                               model)
        self._target: events.Target | None = None
        self._stream = stream.State("", "")
        self._ahead_tokens = 0  # Tokens delivered but not yet in the state.
        self._reader = engine.ResponseReader("", "", "")
        self._decision: stream.Resume | stream.End | None = None
        self._texts: list[str] = []
        self._finish_reason = ""

    @property
    def has_started(self) -> bool:
        """Whether the caller received a part of a stream."""
        return self._request.is_streamed and self.tokens > 0

    @property
    def tokens(self) -> int:
        """Number of tokens delivered so far."""
        return self._stream.next_index + self._ahead_tokens

    def encode_response(self) -> bytes:
        """Returns the body of a complete response that is not streamed."""
        return self._formatter.format_response(self._texts, self._finish_reason,
                                               self.tokens)

    def run(self, dispatch: events.Dispatch, target: events.Target) -> bool:
        """Runs one attempt; returns whether the request is finished.

        Raises:
            errors.PersimmonspanError: The request failed.
            session.CallerLeftError: The caller left.
        """
        self._target = target
        self._stream = stream.State(self._session.call.request_id,
                                    uuid.uuid4().hex)
        try:
            outcome = self._run_attempt(dispatch)
        except BaseException:
            # Whatever ended the request, the engine must stop decoding.
            self._end_attempt(events.Outcome.CANCELLED)
            raise
        self._end_attempt(outcome)
        if outcome is events.Outcome.FAILED_AFTER_FIRST_TOKEN:
            raise self._build_loss_error()
        return outcome is events.Outcome.COMPLETED

    def _end_attempt(self, outcome: events.Outcome) -> None:
        self._session.end_attempt(self._target.name, outcome, self.tokens)
        self._session.context.metrics.tokens.inc(self.tokens)
        if outcome in (events.Outcome.FAILED_BEFORE_FIRST_TOKEN,
                       events.Outcome.FAILED_AFTER_FIRST_TOKEN):
            self._session.context.report_broken_target(self._target)
        if outcome in (events.Outcome.CANCELLED,
                       events.Outcome.FAILED_BEFORE_FIRST_TOKEN,
                       events.Outcome.FAILED_AFTER_FIRST_TOKEN):
            # The process waits for the thread at exit. A hung engine must not
            # delay the response to the caller or a restart at another target.
            # A closed engine is told when it opens, if the process still runs.
            left_s = self._session.context.pauses.left_s(self._target.name)
            timer = threading.Timer(
                left_s, engine.cancel,
                (self._target.address, self._session.call.request_id,
                 _CANCEL_TIMEOUT_S))
            timer.daemon = left_s > 0
            timer.start()

    def _run_attempt(self, dispatch: events.Dispatch) -> events.Outcome:
        outcome = self._relay_connection("/v1/generate",
                                         self._generate_body(dispatch))
        while outcome is None and isinstance(self._decision, stream.Resume):
            if not self._wait_to_resume():
                return self._classify_loss()
            from_index = self._decision.from_index
            _logger.info("resuming a stream",
                         extra={
                             "target": self._target.name,
                             "from_index": from_index
                         })
            time.sleep(_RESUME_PAUSE_S *
                       (self._stream.resumes_without_token - 1))
            outcome = self._relay_connection(
                "/v1/resume",
                engine.ResumeDocument(request_id=self._stream.request_id,
                                      generation_id=self._stream.generation_id,
                                      from_index=from_index))
        if outcome is not None:
            return outcome
        if self._decision.ending is stream.Ending.FINISHED:
            return events.Outcome.COMPLETED
        if self._decision.ending is stream.Ending.LOST:
            return self._classify_loss()
        return events.Outcome.FAILED_AFTER_FIRST_TOKEN

    def _wait_to_resume(self) -> bool:
        """Waits until a closed engine opens; returns whether to resume there.

        One stream may be resumed at once in each pause.
        """
        context = self._session.context
        if context.pauses.may_cross(self._target.name):
            return True
        left_s = context.pauses.left_s(self._target.name)
        may_wait = left_s < min(self._session.remaining_s(),
                                context.configuration.timeouts.between_tokens_s)
        if may_wait:
            time.sleep(left_s)
        else:
            context.metrics.count("stream_kept_from_closed_target")
            _logger.warning("stream cannot use a closed target",
                            extra={
                                "target": self._target.name,
                                "purpose": "resume",
                                "left_s": round(left_s, 3)
                            })
        return may_wait

    def _classify_loss(self) -> events.Outcome:
        if self._session.call.kind.is_idempotent and not self.tokens:
            return events.Outcome.FAILED_BEFORE_FIRST_TOKEN
        # The scheduler does not retry this outcome: tokens were delivered, or
        # the request must not run twice.
        return events.Outcome.FAILED_AFTER_FIRST_TOKEN

    def _build_loss_error(self) -> errors.TargetError:
        message = (f"target {self._target.name} lost the generation after "
                   f"{self.tokens} tokens")
        if self.tokens:
            return errors.TargetError(errors.Code.STREAM_CUT, message,
                                      errors.RunState.RAN)
        return errors.TargetError(errors.Code.TARGET_FAILED, message,
                                  errors.RunState.UNKNOWN)

    def _relay_connection(self, path: str,
                          body: typing.Any) -> events.Outcome | None:
        """Relays one connection until a decision or an outcome ends it."""
        timeouts = self._session.context.configuration.timeouts
        is_resume = path == "/v1/resume"
        first_s = timeouts.first_token_s
        if is_resume and self.tokens:
            first_s = timeouts.between_tokens_s
        self._decision = None
        self._reader = engine.ResponseReader(self._target.address,
                                             self._stream.request_id,
                                             self._stream.generation_id)
        may_have_run_before = self._session.may_have_run
        try:
            with engine.open_request(self._target.address, path, body,
                                     timeouts.connect_s) as sock:
                self._session.may_have_run = True
                event = self._relay_tokens(sock, first_s,
                                           timeouts.between_tokens_s)
        except engine.ConnectTimeoutError:
            event = stream.ConnectionBroken(stream.BreakReason.SILENT)
            if not is_resume:
                return events.Outcome.CONNECT_FAILED
        except engine.NotSentError:
            event = stream.GenerationUnknown()
            if not is_resume:
                return events.Outcome.CONNECT_FAILED
        except engine.NotRunError:
            event = stream.ConnectionBroken(stream.BreakReason.TRUNCATED)
            if not is_resume:
                self._session.may_have_run = may_have_run_before
                return events.Outcome.REFUSED
        except engine.BrokenStreamError:
            self._session.may_have_run = True
            event = stream.ConnectionBroken(stream.BreakReason.TRUNCATED)
        if isinstance(event, events.Outcome):
            return event
        if event is not None:
            self._apply_event(event)
        return None

    def _relay_tokens(
        self, sock: socket.socket, first_s: float, between_timeout_s: float
    ) -> (stream.ConnectionBroken | stream.GenerationUnknown | events.Outcome |
          None):
        context = self._session.context
        serial = context.relay.attach_engine(self._transfer, sock,
                                             self._consume, first_s,
                                             between_timeout_s)
        has_input = functools.partial(exchange.has_input, sock)
        try:
            while True:
                message = self._session.next_message(has_input)
                if isinstance(message, events.CancelAttempt):
                    if message.target == self._target.name:
                        return self._handle_cancellation()
                elif isinstance(message, events.Dispatch):
                    # Only one generation runs at a time: a hedge is cancelled.
                    self._session.end_attempt(message.target,
                                              events.Outcome.CANCELLED)
                elif message.serial == serial:
                    return self._classify_break(message.signal)
        finally:
            context.relay.release_engine(self._transfer)
            self._apply_ahead()

    def _handle_cancellation(self) -> events.Outcome:
        if self.tokens:
            raise errors.TargetError(errors.Code.STREAM_CUT,
                                     "the scheduler cancelled the generation",
                                     errors.RunState.RAN)
        return events.Outcome.CANCELLED

    def _classify_break(
        self, signal: relay.Signal
    ) -> stream.ConnectionBroken | stream.GenerationUnknown | None:
        self._session.context.pauses.record(self._target.name,
                                            self._reader.retry_after_s,
                                            "request")
        if signal is relay.Signal.SILENT:
            return stream.ConnectionBroken(stream.BreakReason.SILENT)
        failure = self._reader.failure
        if signal in (relay.Signal.CLOSED, relay.Signal.RESET):
            failure = self._reader.error_at_end(signal is relay.Signal.RESET)
        if isinstance(failure, engine.NotRunError):
            raise failure
        if isinstance(failure, engine.UnknownGenerationError):
            return stream.GenerationUnknown()
        if isinstance(failure, engine.TruncatedError):
            return stream.ConnectionBroken(stream.BreakReason.TRUNCATED)
        if failure is None:
            return None
        _logger.warning("answer of an engine rejected",
                        extra={
                            "target": self._target.name,
                            "reason": str(failure),
                            "tokens": self.tokens
                        })
        is_mismatched = isinstance(failure, engine.MismatchedResponseError)
        return stream.ConnectionBroken(
            stream.BreakReason.CROSSED if is_mismatched else stream.BreakReason.
            GARBAGE)

    def _consume(self, data: bytes, now_s: float) -> relay.ConsumeResult:
        """Converts bytes from the engine into bytes for the caller."""
        tokens_before = self.tokens
        if tokens_before and self._request.is_streamed:
            text = self._reader.match_expected_token(data, tokens_before)
            if text is not None:
                self._ahead_tokens += 1
                if (now_s - self._session.last_progress_s
                        >= _PROGRESS_INTERVAL_S):
                    self._report_progress(tokens_before, now_s)
                return (self._responder.frame(
                    self._formatter.format_encoded_token(text)), 1, False)
        self._apply_ahead()
        output: list[bytes] = []
        received = self._reader.feed(data)
        if self._reader.leaving_incarnation is not None:
            self._report_leaving(self._reader.leaving_incarnation)
        for token in received:
            delivery = self._apply_event(
                stream.TokenReceived(token["r"], token["g"], token["i"],
                                     token["t"], token["f"]))
            if delivery is not None:
                self._encode_delivery(delivery, output)
            if self._decision is not None:
                break
        if self.tokens > tokens_before:
            self._report_progress(tokens_before, now_s)
        body = b"".join(output)
        if body:
            body = self._responder.frame(body)
            if tokens_before == 0:
                body = self._responder.stream_head() + body
        is_done = (self._decision is not None or
                   self._reader.failure is not None)
        return body, self.tokens - tokens_before, is_done

    def _report_leaving(self, incarnation: str) -> None:
        """Reports once for each answer that the engine leaves."""
        self._reader.leaving_incarnation = None
        context = self._session.context
        context.relay.call_soon(context.report_leaving, self._target.name,
                                incarnation)

    def _apply_ahead(self) -> None:
        """Adds the tokens that were compared as bytes to the stream state."""
        if self._ahead_tokens:
            self._stream = stream.advance(self._stream, self._ahead_tokens)
            self._ahead_tokens = 0

    def _apply_event(self, event: stream.Event) -> stream.Deliver | None:
        self._stream, commands = stream.step(self._stream, event,
                                             time.monotonic(), None)
        delivery = None
        for command in commands:
            if isinstance(command, stream.Deliver):
                delivery = command
            elif isinstance(command, stream.Count):
                self._session.context.metrics.count(command.reason)
            elif isinstance(command, stream.Resume | stream.End):
                self._decision = command
        return delivery

    def _encode_delivery(self, delivery: stream.Deliver,
                         output: list[bytes]) -> None:
        if delivery.finish is not None:
            self._finish_reason = delivery.finish
        if not self._request.is_streamed:
            self._texts.append(delivery.text)
            return
        if self.tokens == 1:
            output.append(self._formatter.format_opening())
        output.append(
            self._formatter.format_token(delivery.text, delivery.finish))
        if delivery.finish is not None:
            output.append(self._formatter.format_closing(self.tokens))

    def _report_progress(self, tokens_before: int, now_s: float) -> None:
        self._session.report_tokens(self._target.name, tokens_before == 0,
                                    self.tokens, now_s, _PROGRESS_INTERVAL_S)

    def _generate_body(self,
                       dispatch: events.Dispatch) -> engine.GenerateDocument:
        return engine.GenerateDocument(request_id=self._stream.request_id,
                                       generation_id=self._stream.generation_id,
                                       model=self._model,
                                       prompt=self._request.prompt,
                                       max_tokens=self._request.max_tokens,
                                       priority=dispatch.priority,
                                       from_index=0)
