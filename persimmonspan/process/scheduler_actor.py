"""Actor that owns the scheduler state.

Request threads and other actors send it events. Its commands for a request go
to the queue that the request thread passed with its arrival.
"""

import collections
import collections.abc
import logging
import queue
import random
import threading
import time
import typing

import pykka

from persimmonspan import errors
from persimmonspan.process import metrics
from persimmonspan.request import events
from persimmonspan.request import retry
from persimmonspan.request import scheduler

_TICK_INTERVAL_S = 0.05
# Used without requests: each wakeup of a thread costs about 0.1 ms, which adds
# up on an idle daemon.
_IDLE_TICK_INTERVAL_S = 1.0
_MAX_REMEMBERED_REQUESTS = 5000
_MAX_DECISIONS_PER_REQUEST = 32

# Commands that add load to a target, which peers must learn at once.
_PLACING_COMMANDS = (events.Dispatch, events.Evacuate)

_logger = logging.getLogger(__name__)

CommandQueue = queue.SimpleQueue[events.Command]


class Submit(typing.NamedTuple):
    """Submits a request, with the queue for the scheduler's commands."""

    arrived: events.Arrived
    commands: CommandQueue


class RequestFinished(typing.NamedTuple):
    """Reports that the request thread reads no more commands."""

    request_id: str


class Explain(typing.NamedTuple):
    """Asks for the decisions about a request, by the caller's request id."""

    caller_id: str


class Evaluate(typing.NamedTuple):
    """Asks for the result of a function of the scheduler's state and time."""

    function: collections.abc.Callable[[scheduler.State, float], typing.Any]


class Decision(typing.NamedTuple):
    """A scheduler's command as text, with its time on the monotonic clock."""

    at_s: float
    text: str


ShareQuarantine = collections.abc.Callable[[events.ShareQuarantine], None]


class SchedulerActor(pykka.ThreadingActor):
    """Applies `scheduler.step` to one event after another.

    Args:
        counters: Metrics of the daemon.
        seed: Seed of the random choices.
        share: Called with each `events.ShareQuarantine` command.
        limits: Limits of the retry budget.
        notify_peers: Called after a placement and after a first token, to send
            the loads to peers at once.
        announce_start: Called with the target and the prompt tokens of each
            request that is sent to an engine.
    """

    use_daemon_thread = True

    def __init__(
        self,
        counters: metrics.Metrics,
        seed: int,
        share: ShareQuarantine = lambda command: None,
        limits: retry.Limits = retry.Limits(),
        notify_peers: collections.abc.Callable[[], None] = lambda: None,
        announce_start: collections.abc.Callable[[str, int], None] = (
            lambda target, prefill_tokens: None)
    ) -> None:
        super().__init__()
        self._metrics = counters
        self._share_quarantine = share
        self._notify_peers = notify_peers
        self._announce_start = announce_start
        self._decisions: collections.OrderedDict[
            str, collections.deque[Decision]] = collections.OrderedDict()
        self._rng = random.Random(seed)
        self._state = scheduler.State(budget=retry.State(limits=limits))
        self._queues: dict[str, CommandQueue] = {}
        self._stopped = threading.Event()
        self._has_work = threading.Event()

    def on_start(self) -> None:
        """Starts the timer."""
        threading.Thread(target=self._run_timer, daemon=True).start()

    def on_stop(self) -> None:
        """Stops the timer."""
        self._stopped.set()
        self._has_work.set()

    def on_receive(self, message: typing.Any) -> typing.Any:
        """Applies one message, and returns the result of a query."""
        if isinstance(message, RequestFinished):
            self._queues.pop(message.request_id, None)
            return None
        if isinstance(message, Explain):
            return tuple(self._decisions.get(message.caller_id, ()))
        if isinstance(message, Evaluate):
            return message.function(self._state, time.monotonic())
        if isinstance(message, Submit):
            self._queues[message.arrived.request_id] = message.commands
            message = message.arrived
        commands = self._step(message)
        if isinstance(message, events.HedgeDue):
            _logger.info("hedge decision",
                         extra={
                             "request_id":
                                 message.request_id,
                             "target":
                                 message.target,
                             "decision": [
                                 command.reason
                                 for command in commands
                                 if isinstance(command, events.Count)
                             ]
                         })
        if self._state.running or self._state.queue.requests:
            self._has_work.set()
        else:
            self._has_work.clear()
        for command in commands:
            self._execute(command)
        if isinstance(message, events.FirstToken) or any(
                isinstance(command, _PLACING_COMMANDS) for command in commands):
            # Peers must not choose the same target for their next requests.
            self._notify_peers()
        for command in commands:
            if isinstance(command, events.Dispatch):
                self._announce(command)
        return None

    def _announce(self, command: events.Dispatch) -> None:
        running = self._state.running.get(command.request_id)
        view = self._state.view.targets.get(command.target)
        if running and view and view.target.kv_capacity_tokens:
            self._announce_start(command.target,
                                 running.item.arrived.prompt_tokens)

    def _step(self, event: events.Event) -> list[events.Command]:
        """Applies an event; an event that fails leaves the state as it was.

        An error that left the actor would end it, and no later request of this
        daemon would be placed.
        """
        try:
            self._state, commands = scheduler.step(self._state, event,
                                                   time.monotonic(), self._rng)
        except Exception:  # pylint: disable=broad-exception-caught
            _logger.exception("scheduling failed",
                              extra={"event": type(event).__name__})
            self._metrics.count("scheduling_failed")
            if not isinstance(event, events.Arrived):
                return []
            return [
                events.Refuse(event.request_id, errors.Code.INTERNAL, None,
                              errors.RunState.NOT_RUN)
            ]
        return commands

    def _execute(self, command: events.Command) -> None:
        if isinstance(command, events.Count):
            self._metrics.count(command.reason)
        elif isinstance(command, events.AssignBackup):
            if command.request_id in self._queues:
                self._queues[command.request_id].put(command)
        elif isinstance(command, events.TargetClassified):
            _logger.info("speed class of a target", extra=command._asdict())
            self._metrics.count(f"target_classified_{command.speed_class}")
        elif isinstance(command, events.ShareQuarantine):
            _logger.info("quarantine", extra=command._asdict())
            self._share_quarantine(command)
        else:
            self._record_decision(command)
            if command.request_id in self._queues:
                self._queues[command.request_id].put(command)

    def _record_decision(
        self, command: events.Dispatch | events.Evacuate | events.Refuse |
        events.CancelAttempt
    ) -> None:
        caller_id = command.request_id.rpartition(".")[0]
        if caller_id not in self._decisions:
            self._decisions[caller_id] = collections.deque(
                maxlen=_MAX_DECISIONS_PER_REQUEST)
            if len(self._decisions) > _MAX_REMEMBERED_REQUESTS:
                self._decisions.popitem(last=False)
        self._decisions[caller_id].append(
            Decision(time.monotonic(), describe(command)))

    def _run_timer(self) -> None:
        while not self._stopped.wait(_TICK_INTERVAL_S):
            self._has_work.wait(_IDLE_TICK_INTERVAL_S)
            try:
                self.actor_ref.tell(events.Tick())
            except pykka.ActorDeadError:
                return


def describe(
    command: events.Dispatch | events.Evacuate | events.Refuse |
    events.CancelAttempt
) -> str:
    """Returns a command as text for operators.

    >>> describe(events.Dispatch("r.1", "engine-1", 0, 2))
    'dispatch target=engine-1 priority=0 attempt=2 is_hedge=False backup=None'
    """
    name = {
        events.Dispatch: "dispatch",
        events.Evacuate: "evacuate",
        events.Refuse: "refuse",
        events.CancelAttempt: "cancel"
    }[type(command)]
    fields = command._asdict()
    del fields["request_id"]
    if fields.get("hedge_after_s") is None:
        fields.pop("hedge_after_s", None)
    return " ".join(
        [name, *(f"{key}={value}" for key, value in fields.items())])
