"""Asks engines themselves whether they leave while the store is silent.

Engines announce that they leave through the store. In an outage of the store
their notices reach nobody, and the streams on them would be cut without a copy.
Each daemon therefore asks the engines on which it runs streams, and only while
what it read from the store is old.

See Also:
    `persimmonspan.request.evacuation`: what follows from a notice.
"""

import collections.abc
import logging
import typing

import pykka

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.process import clock
from persimmonspan.process import scheduler_actor
from persimmonspan.process import target_pauses
from persimmonspan.request import events
from persimmonspan.request import forwarded
from persimmonspan.request import scheduler

INTERVAL_S = 0.5
_RESPONSE_TIMEOUT_S = 0.3

_logger = logging.getLogger(__name__)


class Peers(typing.Protocol):
    """Tells how old the targets are."""

    def targets_confirmed_s(self) -> float:
        """Returns when the targets were last current, on `clock`."""


class Departures(typing.Protocol):
    """Receives the targets that say that they leave."""

    def record_answer(self, target: events.Target) -> None:
        """Records that the head of an answer says so."""

    def record_notice(self, target: events.Target) -> None:
        """Records that a report says so."""


class NoticePoller:
    """Asks the engines with own streams, and reports those that leave.

    Args:
        scheduler_ref: Says which engines run streams.
        find_target: Returns the target of a name, or None.
        wire: The formats of the platform.
        peers: Tells how old the targets are.
        max_age_s: Age of the targets from which engines are asked.
        departures: Receives the engines that say that they leave.
        pauses: Says which engines are closed, and learns it from them.
        find_obstacle: Returns why a target gets nothing new, or "".
        report_cold: Called with for how long a target says that it is cold.
    """

    def __init__(
        self,
        scheduler_ref: pykka.ActorRef[scheduler_actor.SchedulerActor],
        find_target: collections.abc.Callable[[str], events.Target | None],
        wire: forwarded.Wire,
        peers: Peers,
        max_age_s: float,
        departures: Departures,
        pauses: target_pauses.TargetPauses,
        find_obstacle: collections.abc.Callable[[events.Target],
                                                str] = lambda target: "",
        report_cold: collections.abc.Callable[
            [events.Target, float | None], None] = lambda target, cold_s: None
    ) -> None:
        self._scheduler = scheduler_ref
        self._find_target = find_target
        self._wire = wire
        self._peers = peers
        self._max_age_s = max_age_s
        self._departures = departures
        self._pauses = pauses
        self._find_obstacle = find_obstacle
        self._report_cold = report_cold

    def poll(self) -> None:
        """Asks all engines with own streams once, if the targets are old."""
        age_s = clock.now_s() - self._peers.targets_confirmed_s()
        if age_s <= self._max_age_s:
            return
        for name in self._scheduler.ask(
                scheduler_actor.Evaluate(_engines_with_streams)):
            target = self._find_target(name)
            if self._pauses.is_closed(name):
                _logger.info("closed engine not asked whether it leaves",
                             extra={"target": name})
            elif target is not None and self._find_obstacle(target):
                _logger.info("engine not asked whether it leaves",
                             extra={
                                 "target": name,
                                 "reason": self._find_obstacle(target)
                             })
            elif target is not None:
                self._ask(target)

    def _ask(self, target: events.Target) -> None:
        try:
            head, body = exchange.call(target.address,
                                       self._wire.encode_report_query(),
                                       _RESPONSE_TIMEOUT_S)
            self._pauses.record(target.name,
                                self._wire.decode_retry_after(head), "report")
            self._report_cold(target, self._wire.decode_cold_start(head))
        except errors.TargetError as error:
            # Its streams tell themselves if the engine is gone.
            _logger.info("engine did not answer whether it leaves",
                         extra={
                             "target": target.name,
                             "reason": str(error)
                         })
            return
        if self._wire.says_leaving(head):
            self._departures.record_answer(target)
        elif self._wire.decode_leaving(head, body):
            self._departures.record_notice(target)


def _engines_with_streams(state: scheduler.State,
                          now_s: float) -> tuple[str, ...]:
    """Returns the engines that run requests which may not run again."""
    del now_s
    return tuple(
        sorted({
            running.target
            for running in state.running.values()
            if running.item.arrived.wants_backup and
            running.target not in state.leaving
        }))
