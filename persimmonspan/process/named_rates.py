"""Passes on what targets say about the rate of requests that they take.

Most answers name no rate. Only answers that differ from what is known, and
those of targets that named a rate before, become events of the scheduler.
Digests hold the latest answers, which a receiver passes on if they are news.
"""

import collections.abc
import logging
import threading
import typing

from persimmonspan.process import clock
from persimmonspan.request import events
from persimmonspan.request import rate_limits

# Answers that confirm what is known are passed on at this interval.
_CONFIRMATION_INTERVAL_S = 0.5
# A target that named no rate for so long is forgotten.
_FORGET_S = 30.0
# So is one that named a rate and was not heard of for so long. The scheduler no
# longer holds its rate by then.
_FORGET_RATE_S = 90.0

_logger = logging.getLogger(__name__)


class _Known(typing.NamedTuple):
    per_s: float | None
    answered_s: float


class NamedRates:
    """The latest answers by target; may be used from any thread.

    Args:
        send: Receives the events for the scheduler.
    """

    def __init__(
            self, send: collections.abc.Callable[[events.RateNamed],
                                                 object]) -> None:
        self._send = send
        self._known: dict[str, _Known] = {}
        self._lock = threading.Lock()

    def record(self, event: events.RateNamed) -> None:
        """Records an answer of a target to this daemon."""
        if event.per_s is not None or event.target in self._known:
            self._record(event, "own")

    def record_peer_answers(
            self,
            answers: collections.abc.Iterable[rate_limits.Answer]) -> None:
        """Records answers of targets to other daemons."""
        for answer in answers:
            self._record(events.RateNamed(*answer), "peer")

    def _record(self, event: events.RateNamed, source: str) -> None:
        now_s = clock.now_s()
        answered_s = now_s - event.age_s
        with self._lock:
            known = self._known.get(event.target)
            is_changed = known is None or known.per_s != event.per_s
            due_s = (0.0 if known is None else known.answered_s +
                     (0.0 if is_changed else _CONFIRMATION_INTERVAL_S))
            if answered_s <= due_s:
                return
            self._known[event.target] = _Known(event.per_s, answered_s)
            self._forget(now_s)
        if is_changed:
            _logger.info("target names a rate" if event.per_s is not None else
                         "target names no rate any more",
                         extra=event._asdict() | {"source": source})
        self._send(event)

    def _forget(self, now_s: float) -> None:
        for target, known in list(self._known.items()):
            ttl_s = _FORGET_S if known.per_s is None else _FORGET_RATE_S
            if now_s - known.answered_s > ttl_s:
                del self._known[target]
