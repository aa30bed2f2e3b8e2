"""The second attempt of a forwarded request, beside the first.

The worker thread of the request sends it, and the relay thread reads its
response from a transfer of its own that has no caller. Nothing of it reaches
the caller: its bytes are kept until the whole response or, in a stream, the
first event has arrived. If it is then the response to use, or if the first
attempt failed, the worker takes it (`take`) and decodes its bytes once more,
like those of a first attempt.

See Also:
    `persimmonspan.request.hedging`: decides whether it is sent.
    `persimmonspan.request.forwarding`: runs the first attempt.
"""

import collections.abc
import contextlib
import logging
import socket
import time
import typing

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.connection import memory_budget
from persimmonspan.connection import relay
from persimmonspan.process import run_stopper
from persimmonspan.request import classification
from persimmonspan.request import event_stream
from persimmonspan.request import events
from persimmonspan.request import forwarded
from persimmonspan.request import head_reports
from persimmonspan.request import response_body
from persimmonspan.request import session
from persimmonspan.version import routes

# The first response waits while the second attempt is sent. A live target
# accepts in a round trip.
_CONNECT_TIMEOUT_S = 0.05
_SEND_TIMEOUT_S = 0.1
_MIN_TIME_LEFT_S = 0.02
_LOST_CONNECTION_SIGNALS = frozenset({relay.Signal.CLOSED, relay.Signal.RESET})
# Without a caller, only the interval at which the relay checks its timers.
_CHECK_INTERVAL_S = 5.0

_logger = logging.getLogger(__name__)


class ContextLike(session.ContextLike, head_reports.ContextLike,
                  typing.Protocol):
    """The part of the process that a second attempt uses."""

    @property
    def wire(self) -> forwarded.Wire:
        """The formats of the platform."""

    @property
    def report_wrong_target(self) -> collections.abc.Callable[[str], None]:
        """Called with a target at whose address another process responds."""

    @property
    def run_stopper(self) -> run_stopper.RunStopper:
        """Stops runs that may go on."""

    @property
    def report_broken_target(
            self) -> collections.abc.Callable[[events.Target], None]:
        """Called with a target that broke a connection."""


class Message(typing.NamedTuple):
    """Tells the worker thread about one of two attempts.

    `signal` is how the relay ended reading the second one; None: the first
    event of the first attempt was passed on.
    """

    signal: relay.Signal | None


class Taken(typing.NamedTuple):
    """A second attempt that becomes the only one of its request.

    `signal` is how the relay ended reading it; None: it still runs.
    """

    target: events.Target
    sock: socket.socket
    data: bytes
    signal: relay.Signal | None


class _Response:
    """The response of a second target, as the relay thread reads it."""

    def __init__(self, routed_call: forwarded.RoutedCall, context: ContextLike,
                 target: events.Target, account: memory_budget.Account,
                 notify: collections.abc.Callable[[Message], None]) -> None:
        self.transfer = relay.Transfer(None, self._notify, _CHECK_INTERVAL_S)
        self.received = response_body.HeldBody(account)
        self.reader = exchange.ResponseReader(routed_call.call.method)
        self.stream = event_stream.State()
        self.head: forwarded.ResponseHead | None = None
        self.has_event = False
        self.error: errors.TargetError | None = None
        self.signal: relay.Signal | None = None
        self._notify_worker = notify
        self._routed_call = routed_call
        self._context = context
        self._target = target
        self._is_stream = routed_call.route.kind is routes.Kind.STREAMING

    def is_streaming(self) -> bool:
        """Returns whether its body consists of events."""
        return (self._is_stream and self.head is not None and
                self.head.status == classification.OK)

    def consume(self, data: bytes, now_s: float) -> relay.ConsumeResult:
        """Keeps bytes of the target, and decodes them to find the end."""
        del now_s
        try:
            self.received.append(data)
            body = self.reader.feed(data)
            if self.head is None and self.reader.head is not None:
                self.head = self._context.wire.decode_response_head(
                    self.reader.head)
                head_reports.report(self._context,
                                    self._routed_call.call.request_id,
                                    self._target, self.head, None)
            if self.is_streaming() and body:
                self.stream, output, _ = event_stream.feed(self.stream, body)
                self.has_event = bool(output)
        except errors.TargetError as error:
            self.error = error
        except event_stream.MalformedStreamError as error:
            self.error = exchange.BrokenResponseError(errors.Code.TARGET_FAILED,
                                                      str(error))
        is_done = (self.error is not None or self.has_event or
                   self.reader.is_complete)
        return b"", 0, is_done

    def _notify(self, notice: relay.Notice) -> None:
        self.signal = notice.signal
        self._notify_worker(Message(notice.signal))


class SecondAttempt:
    """The second attempt of one request; only its worker thread uses it.

    Attributes:
        due_s: When to ask for it, on the monotonic clock; None: never.
        was_sent: Whether it was sent since the first attempt was.
        is_running: Whether it was sent and neither ended nor was taken.
        has_succeeded: Whether its response is one to use.
        may_have_run: Whether its target may have run it. Once it is taken, the
            worker accounts for this.
        error_response: Error response that it ended with, or None.
    """

    def __init__(self, routed_call: forwarded.RoutedCall, context: ContextLike,
                 request_session: session.Session,
                 account: memory_budget.Account) -> None:
        self._account = account
        self.due_s: float | None = None
        self.was_sent = False
        self.is_running = False
        self.has_succeeded = False
        self.may_have_run = False
        self.error_response: forwarded.Response | None = None
        self._routed_call = routed_call
        self._context = context
        self._session = request_session
        self._connection = contextlib.ExitStack()
        self._response: _Response | None = None
        self._target: events.Target | None = None
        self._sock: socket.socket | None = None
        self._first_sent_s = 0.0
        self._sent_s = 0.0
        self._end_s = 0.0  # Deadline that the target received.

    def arm(self, dispatch: events.Dispatch) -> None:
        """Sets the time to ask for a second attempt, as the first is sent."""
        self.due_s, self.was_sent = None, False
        self._first_sent_s = time.monotonic()
        if dispatch.hedge_after_s is not None:
            self.due_s = self._first_sent_s + dispatch.hedge_after_s

    def ask(self, first_target: str) -> None:
        """Asks the scheduler for a second attempt, once for each first one."""
        self.due_s = None
        self._context.scheduler.tell(
            events.HedgeDue(self._routed_call.request_id, first_target))

    def start(self, dispatch: events.Dispatch,
              has_begun: collections.abc.Callable[[], bool]) -> None:
        """Sends the second attempt that the scheduler commands.

        Args:
            dispatch: The command.
            has_begun: Returns whether the response of the first one has begun.
        """
        self._target = target = self._context.find_target(dispatch.target)
        if (target is None or self._context.pauses.is_closed(target.name) or
                self._is_late(has_begun)):
            self._end_unsent(dispatch.target)
            return
        try:
            sock = self._connection.enter_context(
                exchange.open_socket(target.address, _CONNECT_TIMEOUT_S))
        except exchange.NotSentError as error:
            self._fail(events.Outcome.CONNECT_FAILED, error)
            return
        # From here on, the first event of the first attempt is told.
        self.is_running = True
        if self._is_late(has_begun):
            self.is_running = False
            self._connection.close()
            self._end_unsent(dispatch.target)
            return
        self._sock = sock
        self._response = _Response(self._routed_call, self._context, target,
                                   self._account, self._session.messages.put)
        self._sent_s = time.monotonic()
        _logger.info("hedge sent",
                     extra={
                         "target": target.name,
                         "after_s": round(self._sent_s - self._first_sent_s, 3)
                     })
        self._send(dispatch.priority)

    def _is_late(self, has_begun: collections.abc.Callable[[], bool]) -> bool:
        return (has_begun() or not self._session.messages.empty() or
                self._session.remaining_s() < _MIN_TIME_LEFT_S)

    def _send(self, priority: int) -> None:
        left_s = self._session.remaining_s()
        self._end_s = time.monotonic() + left_s
        workspace = self._routed_call.workspace
        order = self._context.wire.encode_order(
            self._routed_call.call,
            forwarded.Attempt(self._target.name, left_s, workspace and
                              workspace.name, priority))
        self.was_sent = self.may_have_run = True
        try:
            exchange.send(self._sock, exchange.encode(order), _SEND_TIMEOUT_S)
        except exchange.BrokenResponseError as error:
            self._context.report_broken_target(self._target)
            self._fail(events.Outcome.INTERRUPTED, error)
            return
        self._context.relay.attach_engine(self._response.transfer, self._sock,
                                          self._response.consume, left_s + 1,
                                          left_s + 1)

    def has_input(self) -> bool:
        """Returns whether bytes of the second target wait to be read."""
        return (self.is_running and self._response.signal is None and
                exchange.has_input(self._sock))

    def note_first_event(self) -> None:
        """Tells the worker that the first attempt has begun a stream."""
        if self.is_running:
            self._session.messages.put(Message(None))

    def check(self, message: Message) -> bool:
        """Returns whether, after a message, this is the response to use."""
        if not self.is_running:
            return False
        if message.signal is None:
            self.lose()
            return False
        response = self._response
        if message.signal is relay.Signal.CLOSED and response.error is None:
            # A response without a length ends with the connection.
            response.consume(b"", time.monotonic())
        if response.error is None and response.has_event:
            self.has_succeeded = True
        elif response.error is None and response.reader.is_complete:
            self._check_complete_response(response)
        else:
            if message.signal in _LOST_CONNECTION_SIGNALS:
                self._context.report_broken_target(self._target)
            self._fail(
                events.Outcome.INTERRUPTED, response.error or
                exchange.BrokenResponseError(errors.Code.TARGET_FAILED,
                                             f"the target is {message.signal}"))
        return self.has_succeeded

    def _check_complete_response(self, response: _Response) -> None:
        head = response.head
        verdict = classification.classify(
            classification.Received(
                head,
                response.is_streaming(),
                response.reader.is_framed,
                bool(response.stream.partial_event.strip()),
                has_trailing_bytes=response.reader.has_trailing_bytes))
        if verdict.outcome is events.Outcome.COMPLETED:
            self.has_succeeded = True
            return
        if verdict.use is classification.Use.ERROR:
            reader = exchange.ResponseReader(self._routed_call.call.method)
            self.error_response = forwarded.Response(
                head.status, head.headers,
                reader.feed(bytes(response.received.take())))
        if verdict.outcome is events.Outcome.REFUSED:
            self.may_have_run = False
            if head.is_other_target:
                self._context.report_wrong_target(self._target.name)
        self._fail(verdict.outcome, verdict.error)

    def lose(self) -> None:
        """Ends the second attempt, as the first one has the response."""
        self._cancel("hedge_lost")

    def cancel(self) -> None:
        """Ends the second attempt, as the request ends without a response."""
        self._cancel("hedge_cancelled")

    def take(self) -> Taken:
        """Makes the second attempt the only one; `release` ends it."""
        self._context.relay.release_engine(self._response.transfer)
        self.is_running = self.may_have_run = False
        if self.has_succeeded:
            self._record("hedge_won", None)
            self._context.metrics.hedge_lost_seconds.inc(time.monotonic() -
                                                         self._first_sent_s)
        else:
            self._record("hedge_took_over", None)
        response = self._response
        taken = Taken(self._target, self._sock, bytes(response.received.take()),
                      response.signal)
        return taken

    def release(self) -> None:
        """Closes the connection and frees the memory."""
        if self._response is not None:
            # Before the descriptor is closed, which the relay has registered.
            self._context.relay.release_engine(self._response.transfer)
            self._response.received.clear()
        self._connection.close()

    def _cancel(self, reason: str) -> None:
        if not self.is_running:
            return
        self.is_running = False
        self.release()
        self._abandon_run()
        self._record(reason, None)
        self._context.metrics.hedge_lost_seconds.inc(time.monotonic() -
                                                     self._sent_s)
        self._session.end_attempt(self._target.name, events.Outcome.CANCELLED)

    def _fail(self, outcome: events.Outcome,
              error: errors.TargetError | None) -> None:
        self.is_running = False
        self.release()
        if outcome is events.Outcome.INTERRUPTED:
            self._abandon_run()
        if isinstance(error, classification.RejectedResponseError):
            self._context.metrics.count(f"response_{error.reason}")
        self._record("hedge_failed", error)
        end = (self._target.name, outcome)
        head = self._response and self._response.head
        if head is not None and head.retry_after_s:
            # After the report of the pause: a retry must not come too early.
            self._context.relay.call_soon(self._session.end_attempt, *end)
        else:
            self._session.end_attempt(*end)

    def _abandon_run(self) -> None:
        """Has the run at its target stopped, if it goes on."""
        response = self._response
        self._context.run_stopper.abandon(
            self._target, self._routed_call.call.request_id, self._end_s,
            response is not None and response.has_event)

    def _end_unsent(self, target: str) -> None:
        self._context.metrics.count("hedge_unsent")
        _logger.info("hedge not sent", extra={"target": target})
        self._session.end_attempt(target, events.Outcome.TARGET_CLOSED)

    def _record(self, reason: str, error: errors.TargetError | None) -> None:
        self._context.metrics.count(reason)
        _logger.info("hedge ended",
                     extra={
                         "target": self._target.name,
                         "outcome": reason,
                         "reason": str(error) if error is not None else "",
                         "took_s": round(time.monotonic() - self._sent_s, 3)
                     })
