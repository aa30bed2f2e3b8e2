"""Tracks for one daemon which registered targets leave.

Answers, replies to questions, digests of peers and reads of the store are
reported from different threads. Each change is logged, counted and sent to the
scheduler once.

See Also:
    `persimmonspan.process.departures`: decides which targets leave.
"""

import collections.abc
import logging
import threading

from persimmonspan.process import clock
from persimmonspan.process import departures
from persimmonspan.process import directory
from persimmonspan.request import events

_logger = logging.getLogger(__name__)


class DepartureTracker:
    """Applies reports; may be used from any thread.

    Args:
        send: Receives a notice for each target that begins to leave.
        count: Increments the counter of a reason.
    """

    def __init__(self, send: collections.abc.Callable[[events.TargetLeaving],
                                                      object],
                 count: collections.abc.Callable[[str], None]) -> None:
        self._send = send
        self._count = count
        self._state = departures.State()
        self._lock = threading.Lock()

    def record_answer(self, target: events.Target) -> None:
        """Records that an answer of a target says that it leaves."""
        self._record_own(target, departures.Source.ANSWER)

    def record_notice(self, target: events.Target) -> None:
        """Records that a target, when asked, says that it leaves."""
        self._record_own(target, departures.Source.NOTICE)

    def record_peer_departures(
            self, told: collections.abc.Iterable[departures.Departure]) -> None:
        """Records the targets that leave according to a peer."""
        for item in told:
            self._record(
                departures.Report(item.target, item.incarnation, item.address,
                                  departures.Source.PEER, item.age_s))

    def apply_entries(
            self,
            entries: collections.abc.Iterable[directory.Registration]) -> None:
        """Applies all targets as they are registered now."""
        with self._lock:
            self._state, changes = departures.apply_entries(
                self._state, entries, clock.now_s())
            self._report(changes)

    def is_leaving(self, entry: directory.Registration) -> bool:
        """Returns whether a target as registered gets no new work."""
        return departures.is_leaving(self._state, entry)

    def leaving_targets(self) -> frozenset[str]:
        """Returns the names of the targets that leave, registered or not."""
        return departures.leaving_targets(self._state)

    def select(self, turn: int) -> tuple[departures.Departure, ...]:
        """Returns what the digest of a number tells."""
        return departures.select(self._state, clock.now_s(), turn)

    def _record_own(self, target: events.Target,
                    source: departures.Source) -> None:
        self._record(
            departures.Report(target.name, target.incarnation, target.address,
                              source))

    def _record(self, report: departures.Report) -> None:
        # A target that leaves says so in each answer, and peers repeat it.
        if departures.is_known(self._state, report):
            return
        with self._lock:
            self._state, changes = departures.record(self._state, report,
                                                     clock.now_s())
            self._report(changes)
            is_void = not departures.is_known(self._state, report)
        if is_void and report.source is not departures.Source.PEER:
            self._count("target_leaving_void")
            _logger.info("report that a target leaves is void",
                         extra=report._asdict())

    def _report(self, changes: list[departures.Change]) -> None:
        for change in changes:
            is_begun = isinstance(change, departures.Begun)
            self._count(f"target_leaving_{change.source}"
                        if is_begun else "target_leaving_ended")
            _logger.info(
                "target leaving" if is_begun else "target no longer leaving",
                extra=change._asdict() | {"age_s": round(change.age_s, 3)})
            if is_begun:
                self._send(events.TargetLeaving(change.target))
