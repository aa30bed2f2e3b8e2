"""Worker thread of one forwarded request: bytes of a target to its caller.

Unlike `request.handler`, which answers in the product's own interface, a
forwarded request keeps its method, path, body and answer. The life cycle is the
same: the scheduler places it, an attempt runs at a target, and what ended an
attempt decides whether another may follow.

A plain answer is held until it is complete. Of a stream, whole events are given
as they come; where its target breaks off, the stream goes on at another one,
either from the copy of its memory that the scheduler had placed there, or, if
the route allows it, by a new run after the last event.
"""

import collections.abc
import contextlib
import hashlib
import logging
import socket
import time
import typing

import pykka

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.connection import relay
from persimmonspan.process import metrics
from persimmonspan.process import scheduler_actor
from persimmonspan.request import copies
from persimmonspan.request import event_stream
from persimmonspan.request import events
from persimmonspan.request import forwarded
from persimmonspan.request import session
from persimmonspan.version import routes

# Several round trips between failure domains; a live target answers in one.
_CONNECT_S = 0.5
_SEND_S = 2.0
# A stream whose caller takes nothing for so long is given up.
CALLER_WRITE_TIMEOUT_S = 5.0
# Silence after which a stream is taken elsewhere: several times the pause that
# a crowded engine makes, and less than callers wait.
_STREAM_SILENT_S = 1.5
# Progress is told to the scheduler once in so many seconds for each stream.
_PROGRESS_INTERVAL_S = 0.25
_TOKENS_PER_EVENT = 4
_LEAST_TIME_LEFT_S = 0.02
_MAX_REPORTED_PRIORITY = 9
_OK = 200
_FIRST_ERROR = 500
# Callers take these for a promise that the request was not run, so that they
# are not passed on for a request that may have run.
_PROMISES = frozenset({503})

_logger = logging.getLogger(__name__)


class Context(typing.NamedTuple):
    """What a request needs of the process and of its version."""

    configuration: routes.Configuration
    find_target: collections.abc.Callable[[str], events.Target | None]
    report_wrong_target: collections.abc.Callable[[str], None]
    scheduler: pykka.ActorRef[scheduler_actor.SchedulerActor]
    metrics: metrics.Metrics
    relay: relay.Relay
    wire: forwarded.Wire


def serve(placed: forwarded.RoutedCall, context: Context,
          responder: forwarded.Responder) -> forwarded.Response | None:
    """Serves one request; returns its answer, or None if it was streamed.

    Raises:
        errors.PersimmonspanError: The request was refused, or failed before
            its answer began.
        OSError: The caller left.
    """
    owner = session.Session(placed, context, placed.end_s)
    watching = context.relay.watching(responder.caller, owner.messages.put,
                                      CALLER_WRITE_TIMEOUT_S)
    with contextlib.ExitStack() as stack, watching as transfer:
        work = _Forwarding(owner, placed, context, responder, transfer)
        stack.callback(work.drop_copy)
        try:
            session.run_attempts(owner, _arrived(placed, context.configuration),
                                 work.attempt)
        except errors.PersimmonspanError as error:
            if work.has_begun:
                context.metrics.count(f"stream_cut_{error.code}")
                _logger.warning("stream cut",
                                extra={
                                    "code": error.code,
                                    "reason": str(error),
                                    "events": work.event_count
                                })
                responder.abort()
                return None
            if work.failure is None:
                raise
            # The target's own error is the best answer that there is.
            return work.failure
        work.log_end()
        pending = context.relay.take_pending(transfer)
        if pending:
            stack.callback(_send_rest, responder.caller, pending)
    return work.answer


def _send_rest(caller: socket.socket, pending: bytes) -> None:
    caller.settimeout(CALLER_WRITE_TIMEOUT_S)
    caller.sendall(pending)


def _arrived(placed: forwarded.RoutedCall,
             configuration: routes.Configuration) -> events.Arrived:
    call, route = placed.call, placed.route
    service = configuration.services.get(placed.service)
    engine = service.engine if service is not None else None
    digest = hashlib.sha256(f"{call.target}\n{call.key}\n".encode() +
                            call.body).hexdigest()
    return events.Arrived(
        request_id=placed.request_id,
        workspace=placed.workspace.name if placed.workspace else "",
        kind=forwarded.route_kind(route),
        service=placed.service,
        prompt_tokens=call.prompt_tokens,
        max_output_tokens=call.max_output_tokens,
        deadline_s=placed.end_s,
        fingerprint=digest,
        is_idempotent=route.is_idempotent,
        idempotency_key=placed.request_id,
        max_attempts=route.max_attempts,
        is_resumable=route.is_resumable,
        wants_backup=(engine is not None and engine.can_back_up and
                      not route.is_resumable),
        priority=_priority(placed))


def _priority(placed: forwarded.RoutedCall) -> int:
    workspace = placed.workspace
    if workspace is not None and workspace.priority is not None:
        return min(_MAX_REPORTED_PRIORITY, workspace.priority)
    return min(_MAX_REPORTED_PRIORITY, placed.route.priority)


class _Pauses(typing.NamedTuple):
    """When events of a stream came, for the log of its end."""

    first_s: float = 0.0
    last_s: float = 0.0
    longest_s: float = 0.0
    longest_at_s: float = 0.0  # When the longest pause ended.

    def after(self, now_s: float) -> "_Pauses":
        """Returns the pauses after an event came."""
        if not self.first_s:
            return _Pauses(now_s, now_s)
        pause_s = now_s - self.last_s
        if pause_s <= self.longest_s:
            return self._replace(last_s=now_s)
        return _Pauses(self.first_s, now_s, pause_s, now_s)


class _Forwarding:
    """A request over one target after the other."""

    def __init__(self, owner: session.Session, placed: forwarded.RoutedCall,
                 context: Context, responder: forwarded.Responder,
                 transfer: relay.Transfer) -> None:
        self.answer: forwarded.Response | None = None
        self.failure: forwarded.Response | None = None
        self._owner = owner
        self._placed = placed
        self._context = context
        self._responder = responder
        self._transfer = transfer
        self._is_stream = placed.route.kind is routes.Kind.STREAMING
        self._stream = event_stream.State(last_id=placed.call.last_event_id)
        self._reader = exchange.AnswerReader(placed.call.method)
        self._head: forwarded.ResponseHead | None = None
        self._body: list[bytes] = []
        self._problem: errors.TargetError | None = None
        self._target: events.Target | None = None
        self._ran_before = False
        self._copies = copies.Copies(placed, context)
        self._pauses = _Pauses()
        self._handovers: list[float] = []
        self.has_begun = False

    @property
    def event_count(self) -> int:
        """Events given to the caller so far."""
        return self._stream.events

    def log_end(self) -> None:
        """Logs how the request ended for its caller."""
        arrived_s = self._placed.arrived_s
        fields: dict[str, typing.Any] = {
            "status": (self.answer or self._head).status,
            "target": self._target.name,
            "took_s": round(time.monotonic() - arrived_s, 3)
        }
        if self._pauses.first_s:
            pauses = self._pauses
            fields |= {
                "first_event_s": round(pauses.first_s - arrived_s, 3),
                "longest_pause_s": round(pauses.longest_s, 3),
                "longest_pause_at_s": round(pauses.longest_at_s - arrived_s, 3),
                "moved_at_s": [
                    round(at_s - arrived_s, 3) for at_s in self._handovers
                ],
                "events": self.event_count
            }
        _logger.info("answered", extra=fields)

    def drop_copy(self) -> None:
        """Frees a copy that the ended stream did not need."""
        if self._target is not None:
            self._copies.drop(self._target)

    def attempt(self, dispatch: events.Dispatch, target: events.Target) -> bool:
        """Runs one attempt; returns whether the request is at its end."""
        self._target = target
        try:
            return self._attempt(dispatch, target)
        except (session.CallerLeftError, errors.PersimmonspanError) as error:
            # The connection is closed, by which the target stops its work. The
            # scheduler ignores this for an attempt that was ended before.
            self._end(events.Outcome.CANCELLED)
            _logger.info("request ended early",
                         extra={
                             "target": self._target.name,
                             "reason": str(error),
                             "events": self.event_count
                         })
            raise

    def _attempt(self, dispatch: events.Dispatch,
                 target: events.Target) -> bool:
        backup = dispatch.backup
        resume_from = None
        while True:
            self._target = target
            _logger.info("attempt",
                         extra={
                             "target": target.name,
                             "attempt": dispatch.attempt,
                             "backup": backup,
                             "resumed": resume_from is not None,
                             "events": self.event_count
                         })
            before = self.event_count
            outcome = self._try(target, dispatch.priority, backup, resume_from)
            has_progressed = self.event_count > before
            if outcome is events.Outcome.COMPLETED:
                self._end(outcome)
                return True
            _logger.info("attempt ended",
                         extra={
                             "target": target.name,
                             "outcome": outcome,
                             "reason": str(self._problem),
                             "events": self.event_count
                         })
            handover = None
            if has_progressed and outcome is events.Outcome.INTERRUPTED:
                handover = self._copies.handover(self._copy(backup))
            if handover is None:
                break
            target, resume_from = handover
            self._handovers.append(time.monotonic())
            self._context.scheduler.tell(
                events.Moved(self._placed.request_id, target.name))
            backup = self._next_backup()
        return self._finish(outcome)

    def _next_backup(self) -> str | None:
        """Waits for the scheduler to say where the next copy is kept."""
        while True:
            message = self._owner.next_message()
            if isinstance(message, events.Rearmed):
                return message.backup

    def _copy(self, backup: str | None) -> events.Target | None:
        return self._context.find_target(backup) if backup else None

    def _finish(self, outcome: events.Outcome) -> bool:
        is_idempotent = self._placed.route.is_idempotent
        if outcome in (events.Outcome.REFUSED, events.Outcome.CONNECT_FAILED):
            self._end(outcome)
            return False
        self._owner.may_have_run = True
        if is_idempotent:
            self._end(outcome)
            return False
        self._end(events.Outcome.FAILED_AFTER_FIRST_TOKEN)
        if self.failure is not None and not self.has_begun:
            self.answer = self.failure
            return True
        raise self._problem or errors.TargetError(
            errors.Code.TARGET_FAILED, "the target gave no whole answer")

    def _end(self, outcome: events.Outcome) -> None:
        self._owner.end_attempt(self._target.name, outcome,
                                self.event_count * _TOKENS_PER_EVENT)

    def _try(self, target: events.Target, priority: int, backup: str | None,
             resume_from: str | None) -> events.Outcome:
        self._reader = exchange.AnswerReader(self._placed.call.method)
        self._head = None
        self._problem = None
        self._copies.restart()
        self._body = []
        self._stream = event_stream.resumed(self._stream)
        time_left_s = self._owner.remaining_s()
        if time_left_s < _LEAST_TIME_LEFT_S:
            raise errors.PersimmonspanError(errors.Code.DEADLINE_EXCEEDED,
                                            "no time is left",
                                            self._owner.run_state())
        copy = self._copy(backup)
        last_id = self._stream.last_id if self._is_stream else None
        order = self._context.wire.encode_order(
            self._placed.call,
            forwarded.Attempt(
                target.name, time_left_s, self._placed.workspace and
                self._placed.workspace.name, priority, last_id,
                copy.address if copy else None, resume_from))
        data = exchange.encode(order)
        try:
            with exchange.connected(target.address, min(_CONNECT_S,
                                                        time_left_s)) as sock:
                self._ran_before = self._owner.may_have_run
                self._owner.may_have_run = True
                exchange.send(sock, data, _SEND_S)
                self._relay(target, sock)
        except exchange.NotSentError as error:
            self._problem = error
            return (events.Outcome.CONNECT_FAILED
                    if not self.event_count else events.Outcome.INTERRUPTED)
        except errors.TargetError as error:
            self._problem = error
        return self._outcome()

    def _relay(self, target: events.Target, sock: socket.socket) -> None:
        silent_s = self._placed.end_s
        if self._is_stream:
            silent_s = _STREAM_SILENT_S
        serial = self._context.relay.attach(self._transfer, sock, self._consume,
                                            self._owner.remaining_s() + 1,
                                            silent_s)
        try:
            while True:
                message = self._owner.next_message()
                if isinstance(message, relay.Notice):
                    if message.serial == serial:
                        self._closed(message.signal)
                        return
                elif isinstance(message, events.Evacuate):
                    if self._is_streaming():
                        self._copies.copy(target, message.target)
                elif isinstance(message, events.Dispatch):
                    self._owner.end_attempt(message.target,
                                            events.Outcome.CANCELLED)
        finally:
            self._context.relay.release(self._transfer)

    def _closed(self, signal: relay.Signal) -> None:
        if self._problem is not None or self._reader.is_complete:
            return
        if signal is relay.Signal.CLOSED:
            # The end of the connection ends an answer without a length.
            self._consume(b"", time.monotonic())
        if not self._reader.is_complete and self._problem is None:
            self._problem = exchange.BrokenAnswerError(
                errors.Code.TARGET_FAILED, f"the target is {signal}")

    def _consume(self, data: bytes, now_s: float) -> relay.Consumed:
        """Turns bytes of the target into bytes for the caller."""
        output, count = b"", 0
        try:
            body = self._reader.feed(data)
            if self._head is None and self._reader.head is not None:
                self._head = self._context.wire.decode_response_head(
                    self._reader.head)
                self._check(self._head)
            if self._is_streaming():
                if body:
                    output, count = self._take_events(body, now_s)
            elif body:
                self._body.append(body)
        except errors.TargetError as error:
            self._problem = error
        except event_stream.MalformedStreamError as error:
            self._problem = exchange.BrokenAnswerError(
                errors.Code.TARGET_FAILED, str(error))
        return output, count, (self._problem is not None or
                               self._reader.is_complete)

    def _is_streaming(self) -> bool:
        return (self._is_stream and self._head is not None and
                self._head.status == _OK)

    def _check(self, head: forwarded.ResponseHead) -> None:
        if (head.request_id is not None and
                head.request_id != self._placed.call.request_id):
            raise exchange.BrokenAnswerError(
                errors.Code.TARGET_FAILED,
                "the answer belongs to another request")
        is_success = head.status < 300
        if is_success and (not head.is_signed or head.is_encoded):
            raise exchange.BrokenAnswerError(errors.Code.TARGET_FAILED,
                                             "the answer is not the target's")

    def _take_events(self, body: bytes, now_s: float) -> tuple[bytes, int]:
        first = self.event_count == 0
        self._stream, output, count = event_stream.feed(self._stream, body)
        if not output:
            return b"", 0
        output = self._responder.frame(output)
        if not self.has_begun:
            self.has_begun = True
            output = self._responder.stream_head(self._head.status,
                                                 self._head.headers) + output
        self._pauses = self._pauses.after(now_s)
        self._owner.report_tokens(self._target.name, first,
                                  self.event_count * _TOKENS_PER_EVENT, now_s,
                                  _PROGRESS_INTERVAL_S)
        return output, count

    def _outcome(self) -> events.Outcome:
        head = self._head
        if self._problem is not None or not self._reader.is_complete:
            return events.Outcome.INTERRUPTED
        if head.is_not_run:
            self._owner.may_have_run = self._ran_before
            if head.is_other_target:
                self._context.report_wrong_target(self._target.name)
            self._problem = errors.TargetError(errors.Code.OVERLOADED,
                                               f"status {head.status}",
                                               errors.RunState.NOT_RUN)
            return (events.Outcome.REFUSED
                    if not self.event_count else events.Outcome.INTERRUPTED)
        if self._is_streaming():
            return self._stream_outcome()
        answer = forwarded.Response(head.status, head.headers,
                                    b"".join(self._body))
        if head.status >= _FIRST_ERROR:
            if head.status not in _PROMISES:
                self.failure = answer
            self._problem = errors.TargetError(errors.Code.TARGET_FAILED,
                                               f"status {head.status}",
                                               errors.RunState.RAN)
            return events.Outcome.ANSWERED_ERROR
        self.answer = answer
        return events.Outcome.COMPLETED

    def _stream_outcome(self) -> events.Outcome:
        if self._stream.rest.strip():
            self._problem = exchange.BrokenAnswerError(
                errors.Code.TARGET_FAILED, "the stream ends within an event")
            return events.Outcome.INTERRUPTED
        return events.Outcome.COMPLETED
