"""Finds out whether a target died when it broke off a response.

The network breaks connections too, and some targets end responses early. The
process of a target ended if its address refuses new connections.

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

_logger = logging.getLogger(__name__)


class DeathProbe:
    """Connects to targets that broke off, and reports those that died.

    Args:
        report: Called with the result.
        is_closed: Returns whether a target wants no calls now.
    """

    def __init__(self, report: collections.abc.Callable[
        [events.TargetDied | events.TargetAlive], object],
                 is_closed: collections.abc.Callable[[str], bool]) -> None:
        self._report = report
        self._is_closed = is_closed
        self._targets: queue.SimpleQueue[events.Target |
                                         None] = queue.SimpleQueue()
        # Names of targets in the queue. Single operations are atomic.
        self._pending: set[str] = set()

    def check(self, target: events.Target) -> None:
        """Checks a target soon; may be called from any thread."""
        if target.name not in self._pending:
            self._pending.add(target.name)
            self._targets.put(target)

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator[None]:
        """Checks targets until the block ends."""
        with threads.running(self._run, lambda: self._targets.put(None)):
            yield

    def _run(self) -> None:
        while (target := self._targets.get()) is not None:
            self._pending.discard(target.name)
            if self._is_closed(target.name):
                _logger.info("closed target not probed",
                             extra={"target": target.name})
                continue
            try:
                has_died = exchange.is_refused(target.address, _TIMEOUT_S)
            except Exception:  # pylint: disable=broad-exception-caught
                # One invalid address must not end the checks of other targets.
                _logger.exception("probe of a target failed",
                                  extra={"target": target.name})
                continue
            _logger.info("target died" if has_died else "target broke off",
                         extra={
                             "target": target.name,
                             "address": target.address
                         })
            result = events.TargetDied if has_died else events.TargetAlive
            self._report(result(target.name))
