"""Keeps the pauses of targets for all threads of a daemon.

The scheduler receives each beginning and end of a pause as an event. Threads
that call targets themselves (probes, copies, moves) ask here whether a target
is closed. Pauses are measured on `clock`, so that they also pass while the VM
is suspended.

See Also:
    `persimmonspan.request.target_backoff`: the decision.
"""

import collections.abc
import contextlib
import logging
import queue
import random
import threading
import typing

from persimmonspan.process import clock
from persimmonspan.process import threads
from persimmonspan.request import events
from persimmonspan.request import target_backoff

# A suspended VM wakes up within this time after its resumption.
_MAX_SLEEP_S = 1.0
_MIN_SLEEP_S = 0.01

_logger = logging.getLogger(__name__)


class _Beginning(typing.NamedTuple):
    source: str
    began_s: float


class TargetPauses:
    """The pauses of all targets; may be used from any thread.

    Args:
        send: Receives the events for the scheduler.
        count: Increments the counter of a reason.
    """

    def __init__(self, send: collections.abc.Callable[
        [events.TargetClosed | events.TargetOpened], object],
                 count: collections.abc.Callable[[str], object]) -> None:
        self._send = send
        self._count = count
        self._state = target_backoff.State()
        self._beginnings: dict[str, _Beginning] = {}
        self._rng = random.Random()
        self._lock = threading.Lock()
        self._wakeups: queue.SimpleQueue[bool] = queue.SimpleQueue()

    def record(self, target: str, retry_after_s: float | None,
               source: str) -> None:
        """Closes a target that turned a request away and named a time.

        Args:
            target: Name of the target.
            retry_after_s: The time, or None if it named none.
            source: What it turned away, for the log.
        """
        if not retry_after_s:
            return
        now_s = clock.now_s()
        with self._lock:
            pause_s = target_backoff.draw_pause_s(retry_after_s, self._rng)
            state = target_backoff.close(self._state, target, pause_s, now_s)
            if state is self._state:
                return
            self._state = state
            is_first = target not in self._beginnings
            if is_first:
                self._beginnings[target] = _Beginning(source, now_s)
            # In the lock: the scheduler knows of the pause before a thread that
            # sees it tells the scheduler anything.
            self._send(events.TargetClosed(target, pause_s))
        self._count("target_closed" if is_first else "target_pause_prolonged")
        if is_first:
            _logger.info("target closed",
                         extra={
                             "target": target,
                             "source": source,
                             "retry_after_s": retry_after_s,
                             "left_s": round(pause_s, 3)
                         })
        self._wakeups.put(True)

    def is_closed(self, target: str) -> bool:
        """Returns whether a target wants no request now."""
        with self._lock:
            return target_backoff.is_closed(self._state, target, clock.now_s())

    def left_s(self, target: str) -> float:
        """Returns the time until a target opens, zero if it is open."""
        with self._lock:
            return target_backoff.left_s(self._state, target, clock.now_s())

    def may_cross(self, target: str) -> bool:
        """Returns whether a request that cannot wait may be sent now.

        True once in each pause; see `target_backoff.cross`.
        """
        with self._lock:
            self._state, may_cross = target_backoff.cross(
                self._state, target, clock.now_s())
        return may_cross

    def reopen(self, target: str) -> None:
        """Opens a target that started again."""
        now_s = clock.now_s()
        with self._lock:
            self._state = target_backoff.reopen(self._state, target, now_s)
        self._report_open((target,), now_s, "restart")

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator[None]:
        """Reports targets that open until the block ends."""
        with threads.running(self._run, lambda: self._wakeups.put(False)):
            yield

    def _run(self) -> None:
        while True:
            try:
                if not self._wakeups.get(timeout=self._sleep_s()):
                    return
            except queue.Empty:
                self._report_open(tuple(self._beginnings), clock.now_s(),
                                  "time")

    def _sleep_s(self) -> float | None:
        now_s = clock.now_s()
        with self._lock:
            if not self._beginnings:
                return None
            left_s = min(
                target_backoff.left_s(self._state, target, now_s)
                for target in self._beginnings)
        return min(_MAX_SLEEP_S, max(_MIN_SLEEP_S, left_s))

    def _report_open(self, targets: tuple[str, ...], now_s: float,
                     source: str) -> None:
        """Tells the scheduler and the log which of some targets are open."""
        with self._lock:
            opened = {
                target: self._beginnings.pop(target)
                for target in target_backoff.list_open(self._state, now_s)
                if target in targets and target in self._beginnings
            }
            self._state = target_backoff.expire(self._state, now_s)
            for target in opened:
                self._send(events.TargetOpened(target))
        for target, beginning in opened.items():
            self._count("target_opened")
            _logger.info("target open again",
                         extra={
                             "target": target,
                             "source": source,
                             "turned_away": beginning.source,
                             "closed_s": round(now_s - beginning.began_s, 3)
                         })
