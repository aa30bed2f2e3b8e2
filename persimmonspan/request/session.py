"""Message queue, deadline and run state of one request's worker thread.

The thread waits on one queue, which carries the scheduler's commands and the
relay's notices. The deadline of the request bounds each wait.
"""

import collections.abc
import logging
import queue
import time
import typing

import pykka

from persimmonspan import errors
from persimmonspan.connection import relay
from persimmonspan.process import metrics
from persimmonspan.process import scheduler_actor
from persimmonspan.process import target_pauses
from persimmonspan.request import at_most_once
from persimmonspan.request import events
from persimmonspan.request import gate
from persimmonspan.version import model

# How long after its deadline a request waits for a response that is being read.
_MAX_LATE_S = 0.2
_LATE_CHECK_INTERVAL_S = 0.02

_logger = logging.getLogger(__name__)


class Context(typing.NamedTuple):
    """Configuration and services of the process that a request needs."""

    configuration: model.Configuration
    find_target: collections.abc.Callable[[str], events.Target | None]
    scheduler: pykka.ActorRef[scheduler_actor.SchedulerActor]
    metrics: metrics.Metrics
    relay: relay.Relay
    gate: gate.Gate
    ledger: at_most_once.Context
    caller_write_timeout_s: float  # How long a caller may read no byte.
    report_broken_target: collections.abc.Callable[[events.Target], None]
    # Called with a target and its incarnation that leaves.
    report_leaving: collections.abc.Callable[[str, str], None]
    pauses: target_pauses.TargetPauses


class Call(typing.NamedTuple):
    """A caller's request after authentication.

    The request id is unique for each call, because engines and the scheduler
    distinguish requests by it; it starts with the id that the caller sent.
    """

    request_id: str
    workspace: model.Workspace
    kind: events.KindPolicy
    method: str
    path: str
    body: bytes
    arrived_s: float
    deadline_s: float
    idempotency_key: str | None = None
    query: str = ""  # With the question mark, or empty.


class CallLike(typing.Protocol):
    """The attributes of a call that a session uses."""

    @property
    def request_id(self) -> str:
        """Id that is unique among all calls."""

    @property
    def arrived_s(self) -> float:
        """Monotonic time at which the call arrived."""


class ContextLike(typing.Protocol):
    """The services of the process that a session uses."""

    @property
    def scheduler(self) -> pykka.ActorRef[scheduler_actor.SchedulerActor]:
        """The scheduler actor."""

    @property
    def metrics(self) -> metrics.Metrics:
        """The metrics of the process."""

    @property
    def relay(self) -> relay.Relay:
        """The relay thread."""

    @property
    def find_target(
            self) -> collections.abc.Callable[[str], events.Target | None]:
        """Function that returns the target of a name, or None."""

    @property
    def pauses(self) -> target_pauses.TargetPauses:
        """The pauses of targets that turned requests away."""


class CallerLeftError(ConnectionError):
    """The caller closed its connection or stopped reading."""


class Session:
    """Queue, deadline and run state of one request.

    Args:
        call: The request.
        context: Services of the process.
        end_s: Monotonic time by which the request must have its response.
    """

    def __init__(self, call: CallLike, context: ContextLike,
                 end_s: float) -> None:
        self.call = call
        self.context = context
        self.messages: queue.SimpleQueue[events.Command |
                                         relay.Notice] = queue.SimpleQueue()
        # Set once a byte may have reached a target, unless that target
        # confirmed that it did not run the request.
        self.may_have_run = False
        self.has_run = False  # Set with the first token.
        self.last_progress_s = 0.0  # When the last token report was sent.
        self._end_s = end_s

    def remaining_s(self) -> float:
        """Returns the time until the deadline, at least zero."""
        return max(0.0, self._end_s - time.monotonic())

    def next_message(
            self,
            has_input: collections.abc.Callable[[], bool] | None = None,
            until_s: float | None = None
    ) -> events.Command | relay.Notice | None:
        """Waits for the next command or notice.

        Args:
            has_input: Returns whether bytes of a target wait to be read.
            until_s: Monotonic time at which to return None; None: never.

        Raises:
            CallerLeftError: The caller left or is too slow.
            errors.PersimmonspanError: The deadline passed, or the scheduler
                refused the request.
        """
        wait_s = self.remaining_s()
        if until_s is not None and until_s - time.monotonic() < wait_s:
            message = self._wait(max(0.0, until_s - time.monotonic()))
            if message is None:
                return None
        else:
            message = self._wait(wait_s)
        late_until_s = time.monotonic() + _MAX_LATE_S
        # If this process was paused until after the deadline, the response may
        # have arrived in time, and is not read yet.
        while (message is None and has_input is not None and
               time.monotonic() < late_until_s):
            is_arriving = has_input()
            message = self._wait(_LATE_CHECK_INTERVAL_S)
            if not is_arriving:
                break
        if message is None:
            raise errors.PersimmonspanError(
                errors.Code.DEADLINE_EXCEEDED,
                "the request did not finish before its deadline",
                self.run_state())
        if isinstance(message, relay.Notice):
            if message.signal in (relay.Signal.CALLER_LEFT,
                                  relay.Signal.CALLER_SLOW):
                raise CallerLeftError(message.signal)
        elif isinstance(message, events.Refuse):
            run_state = message.run_state
            if run_state is errors.RunState.NOT_RUN:
                run_state = self.run_state()
            raise errors.PersimmonspanError(
                message.reason, " ".join(("request refused:", message.reason,
                                          message.fingerprint)).rstrip(),
                run_state, message.retry_after_s)
        return message

    def _wait(self, timeout_s: float) -> events.Command | relay.Notice | None:
        try:
            return self.messages.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def run_state(self) -> errors.RunState:
        """Returns the run state of a request without a complete response."""
        if self.has_run:
            return errors.RunState.RAN
        return (errors.RunState.UNKNOWN
                if self.may_have_run else errors.RunState.NOT_RUN)

    def report_tokens(self, target: str, is_first: bool, tokens: int,
                      now_s: float, interval_s: float) -> None:
        """Reports the first token, and progress once per interval.

        Args:
            target: Name of the target that runs the request.
            is_first: Whether these are the first tokens of the request.
            tokens: Number of tokens delivered to the caller so far.
            now_s: Monotonic time.
            interval_s: Minimum time between two progress reports.
        """
        context = self.context
        request_id = self.call.request_id
        if is_first:
            self.has_run = True
            self.last_progress_s = now_s
            context.relay.call_soon(context.metrics.first_token.observe,
                                    now_s - self.call.arrived_s)
            context.relay.call_soon(context.scheduler.tell,
                                    events.FirstToken(request_id, target))
        elif now_s - self.last_progress_s >= interval_s:
            self.last_progress_s = now_s
            context.relay.call_soon(
                context.scheduler.tell,
                events.Progressed(request_id, target, tokens))

    def end_attempt(self,
                    target: str,
                    outcome: events.Outcome,
                    tokens: int = 0) -> None:
        """Reports the end of an attempt to the scheduler."""
        _logger.debug("attempt ended",
                      extra={
                          "target": target,
                          "outcome": outcome,
                          "tokens": tokens
                      })
        ended = events.AttemptEnded(self.call.request_id, target, outcome,
                                    tokens)
        if tokens:
            # The relay thread sends this after the token reports, and nothing
            # waits for it.
            self.context.relay.call_soon(self.context.scheduler.tell, ended)
        else:
            self.context.scheduler.tell(ended)


def run_attempts(
    session: Session, arrived: events.Arrived,
    attempt: collections.abc.Callable[[events.Dispatch, events.Target], bool]
) -> None:
    """Runs the attempts that the scheduler commands until one is final.

    Args:
        session: Session of the request.
        arrived: The request as submitted to the scheduler.
        attempt: Runs one attempt; returns whether the request is finished.

    Raises:
        CallerLeftError: The caller left or is too slow.
        errors.PersimmonspanError: The request was refused or failed.
    """
    scheduler = session.context.scheduler
    scheduler.tell(scheduler_actor.Submit(arrived, session.messages))
    try:
        while True:
            message = session.next_message()
            if not isinstance(message, events.Dispatch):
                continue
            # The scheduler may choose a target of a newer configuration.
            target = session.context.find_target(message.target)
            if target is None:
                session.end_attempt(message.target,
                                    events.Outcome.CONNECT_FAILED)
            elif session.context.pauses.is_closed(target.name):
                session.end_attempt(target.name, events.Outcome.TARGET_CLOSED)
            elif attempt(message, target):
                return
    except (CallerLeftError, errors.PersimmonspanError):
        # The scheduler ignores this if it has already ended the request.
        scheduler.tell(events.RequestAbandoned(arrived.request_id))
        raise
    finally:
        scheduler.tell(scheduler_actor.RequestFinished(arrived.request_id))
