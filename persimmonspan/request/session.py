"""What the worker thread of one request knows and waits for.

The thread sleeps on one queue, which carries the scheduler's commands and the
relay's notices. The wait is bounded by the deadline of the request.
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
from persimmonspan.request import at_most_once
from persimmonspan.request import events
from persimmonspan.request import gate
from persimmonspan.version import model

_logger = logging.getLogger(__name__)


class Context(typing.NamedTuple):
    """What a request needs of the process and of its version."""

    configuration: model.Configuration
    find_target: collections.abc.Callable[[str], events.Target | None]
    scheduler: pykka.ActorRef[scheduler_actor.SchedulerActor]
    metrics: metrics.Metrics
    relay: relay.Relay
    gate: gate.Gate
    ledger: at_most_once.Context
    write_s: float  # How long a caller may take no byte.


class Call(typing.NamedTuple):
    """A caller's request after authentication.

    The request id is unique for each call, as engines and the scheduler tell
    requests apart by it; it starts with the id that the caller sent.
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
    """What a session needs of a call."""

    @property
    def request_id(self) -> str:
        """Id that is unique among all calls."""

    @property
    def arrived_s(self) -> float:
        """When it arrived."""


class ContextLike(typing.Protocol):
    """What a session needs of the process."""

    @property
    def scheduler(self) -> pykka.ActorRef[scheduler_actor.SchedulerActor]:
        """The scheduler."""

    @property
    def metrics(self) -> metrics.Metrics:
        """The metrics."""

    @property
    def relay(self) -> relay.Relay:
        """The relay thread."""

    @property
    def find_target(
            self) -> collections.abc.Callable[[str], events.Target | None]:
        """Finds a target by its name."""


class CallerLeftError(ConnectionError):
    """The caller closed its connection or stopped reading."""


class Session:
    """Queue, deadline and run state of one request.

    Args:
        call: The request.
        context: What it needs of the process.
        end_s: Time by which it must have its answer.
    """

    def __init__(self, call: CallLike, context: ContextLike,
                 end_s: float) -> None:
        self.call = call
        self.context = context
        self.messages: queue.SimpleQueue[events.Command |
                                         relay.Notice] = queue.SimpleQueue()
        # Set once a byte may have reached a target that did not confirm that
        # it ran nothing.
        self.may_have_run = False
        self.has_run = False  # Set with the first token.
        self.progress_s = 0.0  # When the scheduler was told of tokens last.
        self._end_s = end_s

    def remaining_s(self) -> float:
        """Returns the time until the deadline, not below zero."""
        return max(0.0, self._end_s - time.monotonic())

    def next_message(self) -> events.Command | relay.Notice:
        """Waits for the next command or notice.

        Raises:
            CallerLeftError: The caller left or is too slow.
            errors.PersimmonspanError: The deadline passed, or the scheduler
                refused the request.
        """
        try:
            message = self.messages.get(timeout=self.remaining_s())
        except queue.Empty:
            raise errors.PersimmonspanError(
                errors.Code.DEADLINE_EXCEEDED,
                "the request did not finish before its deadline",
                self.run_state()) from None
        if isinstance(message, relay.Notice):
            if message.signal in (relay.Signal.CALLER_LEFT,
                                  relay.Signal.CALLER_SLOW):
                raise CallerLeftError(message.signal)
        elif isinstance(message, events.Refuse):
            run_state = message.run_state
            if run_state is errors.RunState.NOT_RUN:
                run_state = self.run_state()
            raise errors.PersimmonspanError(
                message.reason, f"request refused: {message.reason}", run_state,
                message.retry_after_s)
        return message

    def run_state(self) -> errors.RunState:
        """Returns what may be said of a request without a whole answer."""
        if self.has_run:
            return errors.RunState.RAN
        return (errors.RunState.UNKNOWN
                if self.may_have_run else errors.RunState.NOT_RUN)

    def report_tokens(self, target: str, is_first: bool, tokens: int,
                      now_s: float, interval_s: float) -> None:
        """Tells of the first token, and of progress at an interval.

        Args:
            target: Where the request runs.
            is_first: Whether these are its first tokens.
            tokens: Tokens given to the caller so far.
            now_s: Time.
            interval_s: Time between two reports of progress.
        """
        context = self.context
        request_id = self.call.request_id
        if is_first:
            self.has_run = True
            self.progress_s = now_s
            context.relay.report(context.metrics.first_token.observe,
                                 now_s - self.call.arrived_s)
            context.relay.report(context.scheduler.tell,
                                 events.FirstToken(request_id, target))
        elif now_s - self.progress_s >= interval_s:
            self.progress_s = now_s
            context.relay.report(context.scheduler.tell,
                                 events.Progressed(request_id, target, tokens))

    def end_attempt(self,
                    target: str,
                    outcome: events.Outcome,
                    tokens: int = 0) -> None:
        """Tells the scheduler that an attempt ended."""
        _logger.debug("attempt ended",
                      extra={
                          "target": target,
                          "outcome": outcome,
                          "tokens": tokens
                      })
        ended = events.AttemptEnded(self.call.request_id, target, outcome,
                                    tokens)
        if tokens:
            # After the reports of its tokens; nothing waits for this one.
            self.context.relay.report(self.context.scheduler.tell, ended)
        else:
            self.context.scheduler.tell(ended)


def run(
    owner: Session, arrived: events.Arrived,
    attempt: collections.abc.Callable[[events.Dispatch, events.Target], bool]
) -> None:
    """Carries out the scheduler's commands until an attempt has the answer.

    Args:
        owner: The request.
        arrived: What the scheduler is told of it.
        attempt: Runs one attempt; returns whether the request is at its end.

    Raises:
        CallerLeftError: The caller left or is too slow.
        errors.PersimmonspanError: The request was refused or failed.
    """
    scheduler = owner.context.scheduler
    scheduler.tell(scheduler_actor.Submit(arrived, owner.messages))
    try:
        while True:
            message = owner.next_message()
            if not isinstance(message, events.Dispatch):
                continue
            # The scheduler may know targets of a newer version.
            target = owner.context.find_target(message.target)
            if target is None:
                owner.end_attempt(message.target, events.Outcome.CONNECT_FAILED)
            elif attempt(message, target):
                return
    except (CallerLeftError, errors.PersimmonspanError):
        # The scheduler ignores this for a request that it has ended itself.
        scheduler.tell(events.Abandoned(arrived.request_id))
        raise
    finally:
        scheduler.tell(scheduler_actor.RequestFinished(arrived.request_id))
