"""Actor that owns the scheduler state.

Request threads and other actors send it events; it answers each request over
the command queue that the request registered.
"""

import logging
import queue
import random
import threading
import time
import typing

import pykka

from persimmonspan.process import metrics
from persimmonspan.request import events
from persimmonspan.request import scheduler

_TICK_INTERVAL_S = 0.05

_logger = logging.getLogger(__name__)

CommandQueue = queue.SimpleQueue[events.Command]


class Submit(typing.NamedTuple):
    """An arrival together with the queue for its commands."""

    arrived: events.Arrived
    commands: CommandQueue


class Finished(typing.NamedTuple):
    """The request thread reads no more commands."""

    request_id: str


class SchedulerActor(pykka.ThreadingActor):
    """Runs `scheduler.step` for one event after the other."""

    use_daemon_thread = True

    def __init__(self, counters: metrics.Metrics, seed: int) -> None:
        super().__init__()
        self._metrics = counters
        self._rng = random.Random(seed)
        self._state = scheduler.State()
        self._queues: dict[str, CommandQueue] = {}
        self._stopped = threading.Event()

    def on_start(self) -> None:
        """Starts the timer."""
        threading.Thread(target=self._tick, daemon=True).start()

    def on_stop(self) -> None:
        """Stops the timer."""
        self._stopped.set()

    def on_receive(self, message: typing.Any) -> typing.Any:
        """Applies one message."""
        if isinstance(message, Finished):
            self._queues.pop(message.request_id, None)
            return None
        if isinstance(message, Submit):
            self._queues[message.arrived.request_id] = message.commands
            message = message.arrived
        self._state, commands = scheduler.step(self._state, message,
                                               time.monotonic(), self._rng)
        for command in commands:
            self._carry_out(command)
        return None

    def _carry_out(self, command: events.Command) -> None:
        if isinstance(command, events.Count):
            self._metrics.count(command.reason)
        elif isinstance(command, events.ShareQuarantine):
            _logger.info("request quarantined",
                         extra={"fingerprint": command.fingerprint})
        elif command.request_id in self._queues:
            self._queues[command.request_id].put(command)

    def _tick(self) -> None:
        while not self._stopped.wait(_TICK_INTERVAL_S):
            try:
                self.actor_ref.tell(events.Tick())
            except pykka.ActorDeadError:
                return
