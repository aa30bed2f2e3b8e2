"""Finds out whether a target died when it broke off a response.

The network breaks connections too, and some targets end responses early. The
process of a target ended if its address refuses new connections. If there is no
answer, the target or the way to it is down; it ended if its entry is gone, too.

See Also:
    `persimmonspan.request.quarantine`: what follows from a death.
"""

import collections.abc
import contextlib
import logging
import queue

from persimmonspan.connection import exchange
from persimmonspan.process import threads
from persimmonspan.request import events

# A round trip between failure domains; a live host answers within it.
_TIMEOUT_S = 0.3

# What follows from an answer, for targets whose entry is there or is gone.
_RESULTS = {
    False: {
        exchange.Reachability.REFUSED: events.TargetDied,
        exchange.Reachability.ACCEPTED: events.TargetAlive
    },
    True: {
        exchange.Reachability.REFUSED: events.TargetLost,
        exchange.Reachability.NO_ANSWER: events.TargetLost
    }
}

_logger = logging.getLogger(__name__)


class DeathProbe:
    """Connects to targets that broke off, and reports those that died.

    Args:
        report: Called with the result.
        is_closed: Returns whether a target wants no calls now.
    """

    def __init__(self, report: collections.abc.Callable[
        [events.TargetDied | events.TargetLost | events.TargetAlive], object],
                 is_closed: collections.abc.Callable[[str], bool]) -> None:
        self._report = report
        self._is_closed = is_closed
        self._targets: queue.SimpleQueue[tuple[events.Target, bool] |
                                         None] = queue.SimpleQueue()
        # Names of targets in the queue. Single operations are atomic.
        self._pending: set[str] = set()

    def check(self, target: events.Target) -> None:
        """Checks a target soon; may be called from any thread."""
        if target.name not in self._pending:
            self._pending.add(target.name)
            self._targets.put((target, False))

    def check_missing(self, target: events.Target) -> None:
        """Checks a target soon whose entry is gone without notice."""
        self._targets.put((target, True))

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator[None]:
        """Checks targets until the block ends."""
        with threads.running(self._run, lambda: self._targets.put(None)):
            yield

    def _run(self) -> None:
        while (item := self._targets.get()) is not None:
            target, is_missing = item
            self._pending.discard(target.name)
            if self._is_closed(target.name):
                _logger.info("closed target not probed",
                             extra={"target": target.name})
                continue
            try:
                answer = exchange.probe(target.address, _TIMEOUT_S)
            except Exception:  # pylint: disable=broad-exception-caught
                # One invalid address must not end the checks of other targets.
                _logger.exception("probe of a target failed",
                                  extra={"target": target.name})
                continue
            result = _RESULTS[is_missing].get(answer)
            _logger.info("target probed",
                         extra={
                             "target": target.name,
                             "address": target.address,
                             "is_missing": is_missing,
                             "answer": answer,
                             "outcome": result and result.__name__
                         })
            if result is not None:
                self._report(result(target.name))
