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


class CallerLeftError(ConnectionError):
    """The caller closed its connection or stopped reading."""


class Session:
    """Queue, deadline and run state of one request."""

    def __init__(self, call: Call, context: Context) -> None:
        self.call = call
        self.context = context
        self.messages: queue.SimpleQueue[events.Command |
                                         relay.Notice] = queue.SimpleQueue()
        # Set once a byte may have reached a target that did not confirm that
        # it ran nothing.
        self.may_have_run = False
        self.has_run = False  # Set with the first token.
        self._end_s = min(
            call.deadline_s,
            call.arrived_s + context.configuration.timeouts.request_s)

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
