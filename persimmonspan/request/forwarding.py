"""Forwards one request to targets on a worker thread and relays the response.

A forwarded request keeps its method, path, body and response, whereas
`request.handler` serves the product's own interface. The life cycle is the
same: the scheduler places the request, an attempt runs at a target, and the
outcome of the attempt decides whether another may follow.

A plain response is held until it is complete. A stream is relayed event by
event, each as soon as it is complete. If a target interrupts a stream, the
stream continues at another target: from the copy of its memory that the
scheduler had placed there, or, if the route allows it, by a new run after the
last event.
"""

import collections.abc
import contextlib
import functools
import logging
import socket
import time
import typing

import pykka

from persimmonspan import errors
from persimmonspan.connection import caller_output
from persimmonspan.connection import exchange
from persimmonspan.connection import relay
from persimmonspan.process import metrics
from persimmonspan.process import run_stopper
from persimmonspan.process import scheduler_actor
from persimmonspan.process import stream_origins
from persimmonspan.process import target_pauses
from persimmonspan.request import arrival
from persimmonspan.request import classification
from persimmonspan.request import copies
from persimmonspan.request import current_run
from persimmonspan.request import event_stream
from persimmonspan.request import events
from persimmonspan.request import forwarded
from persimmonspan.request import head_reports
from persimmonspan.request import hedged_exchange
from persimmonspan.request import pauses
from persimmonspan.request import response_body
from persimmonspan.request import resumption
from persimmonspan.request import session
from persimmonspan.request import silent_runs
from persimmonspan.version import routes

# Several round trips between failure domains; a live target accepts in one.
_CONNECT_TIMEOUT_S = 0.5
_SEND_TIMEOUT_S = 2.0
# Time after which a stream is abandoned if its caller reads nothing.
CALLER_WRITE_TIMEOUT_S = 5.0
# Interval of the progress reports of one stream to the scheduler.
_PROGRESS_INTERVAL_S = 0.25
_TOKENS_PER_EVENT = 4
_MIN_TIME_LEFT_S = 0.02
_LOST_CONNECTION_SIGNALS = frozenset({relay.Signal.CLOSED, relay.Signal.RESET})

_logger = logging.getLogger(__name__)


class Context(typing.NamedTuple):
    """Configuration and services of the process that a request needs."""

    configuration: routes.Configuration
    find_target: collections.abc.Callable[[str], events.Target | None]
    report_wrong_target: collections.abc.Callable[[str], None]
    report_broken_target: collections.abc.Callable[[events.Target], None]
    report_rate: collections.abc.Callable[[events.RateNamed], None]
    pauses: target_pauses.TargetPauses
    scheduler: pykka.ActorRef[scheduler_actor.SchedulerActor]
    metrics: metrics.Metrics
    relay: relay.Relay
    wire: forwarded.Wire
    report_leaving: collections.abc.Callable[[events.Target], None]
    origins: stream_origins.StreamOrigins
    run_stopper: run_stopper.RunStopper
    # Returns why a target gets nothing new, or an empty string.
    find_obstacle: collections.abc.Callable[[events.Target],
                                            str] = lambda target: ""
    report_cold: collections.abc.Callable[[events.Target, float | None],
                                          None] = lambda target, cold_s: None


def serve(routed_call: forwarded.RoutedCall, context: Context,
          responder: forwarded.Responder) -> forwarded.Response | None:
    """Serves one request; returns its response, or None if it was streamed.

    Raises:
        errors.PersimmonspanError: The request was refused, or failed before
            its response began.
        OSError: The caller left.
    """
    request_session = session.Session(routed_call, context, routed_call.end_s)
    watching = context.relay.watch_caller(responder.caller,
                                          request_session.messages.put,
                                          CALLER_WRITE_TIMEOUT_S,
                                          responder.account)
    with contextlib.ExitStack() as stack, watching as transfer:
        forwarding = _ForwardedRequest(request_session, routed_call, context,
                                       responder, transfer)
        stack.callback(forwarding.drop_copy)
        stack.callback(forwarding.drop_body)
        stack.callback(forwarding.drop_hedge)
        try:
            session.run_attempts(
                request_session,
                arrival.build(routed_call, context.configuration),
                forwarding.attempt)
        except errors.PersimmonspanError as error:
            if forwarding.has_response_begun:
                context.metrics.count(f"stream_cut_{error.code}")
                _logger.warning("stream cut",
                                extra={
                                    "code": error.code,
                                    "reason": str(error),
                                    "events": forwarding.event_count
                                })
                responder.abort()
                return None
            error_response = forwarding.find_error_response()
            if error_response is None:
                raise
            # The target's own error is more specific than this error.
            return error_response
        forwarding.log_completion()
        forwarding.end_origin()
        pending = context.relay.take_pending(transfer)
    # The target has ended; its caller may read for long.
    caller_output.send(responder.caller, pending, CALLER_WRITE_TIMEOUT_S,
                       responder.account, routed_call.end_s)
    return forwarding.answer


class _ForwardedRequest:
    """Runs one request at one target after the other."""

    def __init__(self, request_session: session.Session,
                 routed_call: forwarded.RoutedCall, context: Context,
                 responder: forwarded.Responder,
                 transfer: relay.Transfer) -> None:
        self.answer: forwarded.Response | None = None
        self._error_response: forwarded.Response | None = None
        self._session = request_session
        self._routed_call = routed_call
        self._context = context
        self._responder = responder
        self._transfer = transfer
        self._is_stream = routed_call.route.kind is routes.Kind.STREAMING
        self._stream = event_stream.State(
            last_id=routed_call.call.last_event_id)
        self._reader = exchange.ResponseReader(routed_call.call.method)
        self._head: forwarded.ResponseHead | None = None
        self._body = response_body.HeldBody(responder.account)
        self._events_before_attempt = 0
        self._target_error: errors.TargetError | None = None
        self._is_connection_lost = False  # It ended before the response.
        self._target: events.Target | None = None
        self._may_have_run_before = False
        self._attempt_number = 0  # Of the last attempt that was commanded.
        route = routed_call.route
        self._silence = pauses.limit_silence(route.latency_objective_s,
                                             route.token_pause_s,
                                             request_session.remaining_s())
        self._copies = copies.Copies(routed_call, context)
        self._run = current_run.CurrentRun(routed_call, context, self._copies)
        self._timing = pauses.Pauses()
        self._handover_times_s: list[float] = []
        # Head of the stream that the caller receives, once it has begun.
        self._begun_head: forwarded.ResponseHead | None = None
        # Software version that the events of the stream come from, once it has
        # begun here or in an earlier call.
        self._software_version = routed_call.software_version
        # Versions of which the store may have a row for this stream.
        self._recorded_versions: set[str] = set()
        self._attempts = 0
        self._hedge = hedged_exchange.SecondAttempt(routed_call, context,
                                                    request_session,
                                                    responder.account)

    @property
    def has_response_begun(self) -> bool:
        """Whether the caller received a part of a stream."""
        return self._begun_head is not None

    @property
    def event_count(self) -> int:
        """Number of events relayed to the caller so far."""
        return self._stream.event_count

    def find_error_response(self) -> forwarded.Response | None:
        """Returns the error response of a target, if one sent any."""
        return self._error_response or self._hedge.error_response

    def log_completion(self) -> None:
        """Logs the status, target and timing of a served request."""
        arrived_s = self._routed_call.arrived_s
        fields: dict[str, typing.Any] = {
            "status": (self.answer or self._head).status,
            "target": self._target.name,
            "took_s": round(time.monotonic() - arrived_s, 3)
        }
        if self._timing.first_s:
            timing = self._timing
            fields |= {
                "first_event_s": round(timing.first_s - arrived_s, 3),
                "longest_pause_s": round(timing.longest_s, 3),
                "longest_pause_at_s": round(timing.longest_at_s - arrived_s, 3),
                "moved_at_s": [
                    round(at_s - arrived_s, 3)
                    for at_s in self._handover_times_s
                ],
                "events": self.event_count
            }
        _logger.info("answered", extra=fields)

    def drop_copy(self) -> None:
        """Frees a memory copy that the stream did not need."""
        if self._target is not None:
            self._copies.drop_unused_copy(self._target)

    def drop_body(self) -> None:
        """Drops a response that was not taken.

        The traceback of an error refers to this object until the next run of
        the garbage collector.
        """
        self._body.clear()

    def drop_hedge(self) -> None:
        """Ends a second attempt that still runs."""
        self._hedge.cancel()

    def attempt(self, dispatch: events.Dispatch, target: events.Target) -> bool:
        """Runs one attempt; returns whether the request is finished."""
        self._target = target
        try:
            return self._run_attempt(dispatch, target)
        except (session.CallerLeftError, errors.PersimmonspanError) as error:
            # The scheduler ignores this report if the attempt has already
            # ended.
            self._hedge.cancel()
            self._report_end(events.Outcome.CANCELLED)
            self._run.abandon()
            _logger.info("request ended early",
                         extra={
                             "target": self._target.name,
                             "reason": str(error),
                             "events": self.event_count
                         })
            raise

    def _run_attempt(self, dispatch: events.Dispatch,
                     target: events.Target) -> bool:
        backup = dispatch.backup
        resume_from = None
        self._attempt_number = dispatch.attempt
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
            self._hedge.arm(dispatch)
            outcome = self._try_target(target, dispatch.priority, backup,
                                       resume_from)
            if self._hedge.is_running:
                target, outcome = self._settle_hedge(target, outcome)
            has_progressed = self.event_count > before
            if outcome is events.Outcome.COMPLETED:
                self._run.end()
                self._report_end(outcome)
                return True
            self._log_failure(target, outcome)
            self._stop_run(outcome, backup, has_progressed)
            handover = None
            if has_progressed and outcome is events.Outcome.INTERRUPTED:
                handover = self._copies.select_handover(
                    self._copies.find_backup(backup), self._software_version)
            if handover is not None:
                self._context.scheduler.tell(
                    events.RequestMoved(self._routed_call.request_id,
                                        handover.target.name))
            # The quarantine has to know of the move before the death.
            self._report_broken_target(target)
            if handover is None:
                break
            target, resume_from = handover
            self._handover_times_s.append(time.monotonic())
            backup = self._wait_for_backup()
        return self._end_failed_attempt(outcome)

    def _stop_run(self, outcome: events.Outcome, backup_name: str | None,
                  has_progressed: bool) -> None:
        """Stops the run of a failed attempt, if it may go on."""
        if outcome is not events.Outcome.INTERRUPTED:
            # The target's own response has ended it.
            self._run.end()
            return
        backup = self._copies.find_backup(backup_name)
        has_other_place = self._can_continue_elsewhere(backup)
        if has_progressed or has_other_place:
            self._run.stop(backup, has_other_place)
        else:
            self._run.abandon()

    def _report_broken_target(self, target: events.Target) -> None:
        if self._is_connection_lost:
            self._context.report_broken_target(target)

    def _log_failure(self, target: events.Target,
                     outcome: events.Outcome) -> None:
        if isinstance(self._target_error, classification.RejectedResponseError):
            self._context.metrics.count(f"response_{self._target_error.reason}")
        _logger.info("attempt ended",
                     extra={
                         "target": target.name,
                         "outcome": outcome,
                         "reason": str(self._target_error),
                         "events": self.event_count,
                         "prompt_parts": self._prompt_part_names()
                     })

    def _settle_hedge(
            self, target: events.Target,
            outcome: events.Outcome) -> tuple[events.Target, events.Outcome]:
        """Chooses between the ended first attempt and the second one.

        Returns:
            The target of the remaining attempt, and how that ended.
        """
        if outcome is events.Outcome.COMPLETED or self.event_count:
            self._hedge.lose()
            return target, outcome
        if self._hedge.has_succeeded:
            outcome = events.Outcome.CANCELLED
        else:
            self._report_broken_target(target)
            self._log_failure(target, outcome)
        self._report_end(outcome)
        if outcome in (events.Outcome.CANCELLED, events.Outcome.INTERRUPTED):
            self._run.abandon()
        taken = self._hedge.take()
        self._target = taken.target
        self._run.begin(taken.target, self._session.remaining_s())
        if outcome is not events.Outcome.REFUSED:
            self._may_have_run_before = True
        self._session.may_have_run = True
        try:
            return taken.target, self._finish_hedge(taken)
        finally:
            self._hedge.release()

    def _finish_hedge(self, taken: hedged_exchange.Taken) -> events.Outcome:
        self._begin_response()
        # No bytes would stand for the end of the connection.
        if taken.data:
            output, _, _ = self._consume(taken.data, time.monotonic())
            if output:
                self._context.relay.write(self._transfer, output)
        if taken.signal in _LOST_CONNECTION_SIGNALS:
            self._handle_connection_end(taken.signal)
        elif not self._is_response_ended():
            self._relay_response(taken.target, None, taken.sock)
        return self._classify_response()

    def _prompt_part_names(self) -> list[str]:
        return [name for name, _ in self._routed_call.call.prefix_parts]

    def _wait_for_backup(self) -> str | None:
        """Waits until the scheduler names the target of the next copy."""
        while True:
            message = self._session.next_message()
            if isinstance(message, events.AssignBackup):
                return message.backup

    def _end_failed_attempt(self, outcome: events.Outcome) -> bool:
        is_idempotent = self._routed_call.route.is_idempotent
        if outcome in (events.Outcome.REFUSED, events.Outcome.CONNECT_FAILED):
            self._report_end(outcome)
            return False
        self._session.may_have_run = True
        if is_idempotent:
            self._report_end(outcome)
            return False
        self._report_end(events.Outcome.FAILED_AFTER_FIRST_TOKEN)
        if self._error_response is not None and not self.has_response_begun:
            self.answer = self._error_response
            return True
        raise self._target_error or errors.TargetError(
            errors.Code.TARGET_FAILED, "the target sent no complete response")

    def _report_end(self, outcome: events.Outcome) -> None:
        end = (self._target.name, outcome, self.event_count * _TOKENS_PER_EVENT)
        if self._head is not None and self._head.retry_after_s:
            # After the report of the pause: a retry must not come too early.
            self._context.relay.call_soon(self._session.end_attempt, *end)
        else:
            self._session.end_attempt(*end)

    def _try_target(self, target: events.Target, priority: int,
                    backup: str | None,
                    resume_from: str | None) -> events.Outcome:
        self._begin_response()
        time_left_s = self._session.remaining_s()
        if time_left_s < _MIN_TIME_LEFT_S:
            raise errors.PersimmonspanError(
                errors.Code.DEADLINE_EXCEEDED,
                "no time is left before the deadline",
                self._session.run_state())
        if not self._may_continue_at(target):
            self._target_error = errors.TargetError(
                errors.Code.TARGET_FAILED,
                "the target has another software version than the stream")
            return (events.Outcome.INTERRUPTED
                    if self.event_count else events.Outcome.CONNECT_FAILED)
        self._attempts += 1
        copy = self._copies.find_backup(backup)
        last_id = self._stream.last_id if self._is_stream else None
        order = self._context.wire.encode_order(
            self._routed_call.call,
            forwarded.Attempt(
                target.name, time_left_s, self._routed_call.workspace and
                self._routed_call.workspace.name, priority, last_id,
                copy.address if copy else None, resume_from))
        head = exchange.encode_head(order)
        try:
            with exchange.open_socket(target.address,
                                      min(_CONNECT_TIMEOUT_S,
                                          time_left_s)) as sock:
                self._may_have_run_before = self._session.may_have_run
                self._session.may_have_run = True
                self._run.begin(target, time_left_s)
                exchange.send(sock, head, _SEND_TIMEOUT_S, order.body,
                              time.monotonic() + time_left_s)
                self._record_origin(target)
                self._relay_response(target, copy, sock)
        except exchange.NotSentError as error:
            self._target_error = error
            return (events.Outcome.CONNECT_FAILED
                    if not self.event_count else events.Outcome.INTERRUPTED)
        except errors.TargetError as error:
            self._target_error = error
        return self._classify_response()

    def _begin_response(self) -> None:
        """Drops what an earlier attempt left of its response."""
        self._reader = exchange.ResponseReader(self._routed_call.call.method)
        self._head = None
        self._target_error = None
        self._is_connection_lost = False
        self._events_before_attempt = self.event_count
        self._copies.reset()
        self._run.end()
        self._body.clear()
        self._stream = event_stream.prepare_resume(self._stream)

    def _may_continue_at(self, target: events.Target) -> bool:
        """Returns whether the target has the version of the stream, if any."""
        return (target.software_version == self._software_version or
                not (self.has_response_begun or self._software_version))

    def _record_origin(self, target: events.Target) -> None:
        """Records what begins the stream, before its first event is passed on.

        Raises:
            errors.TargetError: The store may tell another version later.
        """
        call, version = self._routed_call.call, target.software_version
        if (not version or call.is_take_up or self.has_response_begun or
                not self._routed_call.route.is_resumable):
            if self._routed_call.route.is_resumable:
                self._update_origin(target)
            return
        is_written = self._context.origins.record(self._stream_id(),
                                                  self._attempts,
                                                  self._origin(target))
        if not is_written:
            self._context.metrics.count("stream_origin_not_written")
            if self._recorded_versions - {version}:
                raise errors.TargetError(
                    errors.Code.TARGET_FAILED,
                    "the software version of the stream is not recorded")
        self._recorded_versions.add(version)

    def _origin(self, target: events.Target) -> resumption.Origin:
        return resumption.Origin(self._routed_call.service,
                                 target.software_version, target.name,
                                 self._routed_call.call.request_id)

    def _update_origin(self, target: events.Target) -> None:
        """Records where a stream goes on, for callers that take it up."""
        if (self._recorded_versions or
                self._routed_call.call.resumes is not None):
            self._context.origins.update(self._stream_id(),
                                         self._origin(target))

    def _stream_id(self) -> str:
        workspace, call = self._routed_call.workspace, self._routed_call.call
        return stream_origins.stream_id(workspace.name if workspace else "",
                                        call.resumes or call.request_id)

    def end_origin(self) -> None:
        """Has the rows of a stream removed that its caller has whole."""
        if self._recorded_versions or self._routed_call.call.resumes:
            self._context.origins.end(self._stream_id(), self._attempts)

    def _relay_response(self, target: events.Target,
                        backup: events.Target | None,
                        sock: socket.socket) -> None:
        # A plain response counts no events: only its deadline bounds it.
        limits = self._silence
        if not self._is_stream:
            unlimited_s = self._session.remaining_s() + 1
            limits = pauses.SilenceLimits(unlimited_s, unlimited_s)
        silence = silent_runs.Silence(limits, self._routed_call, self._context,
                                      target, self._copies)
        silence_timeout_s = silence.first_s
        attach = functools.partial(self._context.relay.attach_engine,
                                   self._transfer, sock, self._consume)
        # A second attempt may have brought its first event already.
        has_begun = self.event_count > self._events_before_attempt
        serial = attach(
            silence_timeout_s if has_begun else self._session.remaining_s() + 1,
            silence_timeout_s)

        def has_input() -> bool:
            return exchange.has_input(sock) or self._hedge.has_input()

        try:
            while True:
                message = self._session.next_message(has_input,
                                                     self._hedge.due_s)
                if message is None:
                    self._hedge.ask(target.name)
                elif isinstance(message, relay.Notice):
                    if message.serial != serial:
                        continue
                    wait_s = None
                    if message.signal is relay.Signal.SILENT:
                        wait_s = silence.handle(
                            max(self.event_count, self._stream.last_id or 0),
                            backup,
                            functools.partial(self._can_continue_elsewhere,
                                              backup), has_input)
                    if wait_s is None:
                        self._handle_connection_end(message.signal)
                        return
                    serial = attach(wait_s, silence_timeout_s)
                elif isinstance(message, hedged_exchange.Message):
                    if not self._hedge.check(message):
                        continue
                    self._context.relay.release_engine(self._transfer)
                    if not self.event_count or self._is_response_ended():
                        return
                    # The first event of the first attempt was a bit faster.
                    self._hedge.lose()
                    serial = attach(silence_timeout_s, silence_timeout_s)
                else:
                    self._execute(message, target)
        finally:
            self._context.relay.release_engine(self._transfer)

    def _execute(self, command: events.Command, target: events.Target) -> None:
        """Executes a command of the scheduler about the running attempt."""
        if isinstance(command, events.Evacuate):
            if self._is_streaming():
                self._copies.copy(target, command.target)
        elif isinstance(command, events.Dispatch):
            if command.is_hedge:
                self._hedge.start(command, self._has_response_bytes)
            else:
                self._session.end_attempt(command.target,
                                          events.Outcome.CANCELLED)

    def _has_response_bytes(self) -> bool:
        return self.event_count > 0 or self._is_response_ended()

    def _is_response_ended(self) -> bool:
        return self._target_error is not None or self._reader.is_complete

    def _can_continue_elsewhere(self, backup: events.Target | None) -> bool:
        """Returns whether another target may continue a silent stream."""
        if self._routed_call.route.is_idempotent:
            return (self._attempt_number + self._hedge.was_sent
                    < self._routed_call.route.max_attempts)
        has_backup = (backup is not None and
                      self._copies.find_backup(backup.name) is not None)
        return (self.event_count > self._events_before_attempt and
                (has_backup or self._copies.has_copy))

    def _handle_connection_end(self, signal: relay.Signal) -> None:
        if self._is_response_ended():
            return
        self._is_connection_lost = signal in _LOST_CONNECTION_SIGNALS
        if signal is relay.Signal.CLOSED:
            # A response without a length ends with the connection.
            self._consume(b"", time.monotonic())
        if not self._reader.is_complete and self._target_error is None:
            self._target_error = exchange.BrokenResponseError(
                errors.Code.TARGET_FAILED, f"the target is {signal}")

    def _consume(self, data: bytes, now_s: float) -> relay.ConsumeResult:
        """Converts bytes from the target into bytes for the caller."""
        output, count = b"", 0
        try:
            body = self._reader.feed(data)
            if self._head is None and self._reader.head is not None:
                self._head = self._context.wire.decode_response_head(
                    self._reader.head)
                head_reports.report(self._context,
                                    self._routed_call.call.request_id,
                                    self._target, self._head, self._begun_head)
            if self._is_streaming():
                if body:
                    output, count = self._encode_events(body, now_s)
            elif body:
                self._body.append(body)
        except errors.TargetError as error:
            self._target_error = error
        except event_stream.MalformedStreamError as error:
            self._target_error = exchange.BrokenResponseError(
                errors.Code.TARGET_FAILED, str(error))
        return output, count, self._is_response_ended()

    def _is_streaming(self) -> bool:
        return (self._is_stream and self._head is not None and
                self._head.status == classification.OK)

    def _encode_events(self, body: bytes, now_s: float) -> tuple[bytes, int]:
        is_first = self.event_count == 0
        self._stream, output, count = event_stream.feed(self._stream, body)
        if not output:
            return b"", 0
        output = self._responder.frame(output)
        if not self.has_response_begun:
            self._begun_head = self._head
            self._software_version = self._target.software_version
            output = self._responder.stream_head(self._head.status,
                                                 self._head.headers) + output
        self._run.start()
        if is_first:
            self._hedge.note_first_event()
        self._timing = self._timing.after(now_s)
        self._session.report_tokens(self._target.name, is_first,
                                    self.event_count * _TOKENS_PER_EVENT, now_s,
                                    _PROGRESS_INTERVAL_S)
        return output, count

    def _classify_response(self) -> events.Outcome:
        head = self._head
        if self._target_error is not None or not self._reader.is_complete:
            return events.Outcome.INTERRUPTED
        is_stream = self._is_streaming()
        verdict = classification.classify(
            classification.Received(
                head, is_stream, self._reader.is_framed,
                bool(self._stream.partial_event.strip()),
                self.event_count - self._events_before_attempt,
                self.event_count, self._reader.has_trailing_bytes))
        self._target_error = verdict.error
        if verdict.outcome is events.Outcome.INTERRUPTED:
            return verdict.outcome
        if head.is_not_run:
            self._session.may_have_run = (self._may_have_run_before or
                                          self._hedge.may_have_run)
            if head.is_other_target:
                self._context.report_wrong_target(self._target.name)
        answer = forwarded.Response(head.status, head.headers,
                                    self._body.take())
        if verdict.use is classification.Use.RESPONSE:
            self.answer = answer
        elif verdict.use is classification.Use.ERROR:
            self._error_response = answer
        return verdict.outcome
