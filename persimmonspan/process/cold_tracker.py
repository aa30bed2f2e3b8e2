"""Keeps which targets are cold, for all threads of a daemon.

A target says how long it is still cold in its entry and in its responses. An
entry is as old as a heartbeat and a read, so that the targets of a failure
domain that returns count as cold until one that has changed, or a response,
says otherwise. An entry does not shorten what a response said, which is newer.
Only services whose cold targets have a limited rate are followed.

See Also:
    `persimmonspan.request.cold_targets`: how many requests cold targets get.
"""

import collections.abc
import logging
import threading
import typing

from persimmonspan.process import clock
from persimmonspan.process import directory
from persimmonspan.request import cold_targets
from persimmonspan.request import events
from persimmonspan.version import routes

# Targets renew their entries at this interval. Source: contract of the
# platform.
_HEARTBEAT_S = 1.2
_ANSWER = "answer"
_ENTRY = "entry"
_RETURN = "return"

_logger = logging.getLogger(__name__)

_Command = events.TargetCold | events.ColdSharesChanged


class _Cold(typing.NamedTuple):
    until_s: float
    source: str


class ColdTracker:
    """Cold targets; may be used from any thread.

    Args:
        send: Receives the events for the scheduler.
        count: Increments the counter of a reason.
    """

    def __init__(self, send: collections.abc.Callable[[_Command], object],
                 count: collections.abc.Callable[[str], None]) -> None:
        self._send = send
        self._count = count
        self._services: dict[str, routes.Service] = {}
        # By target: its process and the time in its last entry.
        self._entries: dict[str, tuple[tuple[int, str, str], float]] = {}
        self._cold: dict[str, _Cold] = {}
        self._shares: events.ColdSharesChanged | None = None
        self._lock = threading.Lock()

    def set_shares(self, shares: events.ColdSharesChanged) -> None:
        """Passes on what divides the rate of cold targets, if it changed."""
        with self._lock:
            if shares == self._shares:
                return
            is_news = self._shares is None or self._shares[2:] != shares[2:]
            self._shares = shares
            self._send(shares)
        if is_news:
            _logger.info("shares of cold targets",
                         extra={
                             "daemons": len(shares.daemons),
                             "is_complete": shares.is_complete,
                             "overrun": shares.overrun,
                             "tolerance": shares.tolerance
                         })

    def apply_entries(
            self, entries: collections.abc.Iterable[directory.Registration],
            services: collections.abc.Mapping[str, routes.Service]) -> None:
        """Applies all registered targets and the configured services."""
        limited = {
            name: service
            for name, service in services.items()
            if service.cold_per_s > 0
        }
        if not limited and not self._services:
            return
        with self._lock:
            self._services = limited
            present = {
                entry.name: entry
                for entry in entries
                if entry.service in limited
            }
            for name in set(self._cold) - set(present):
                self._set(name, 0.0, 0.0, _ENTRY)
            before, self._entries = self._entries, {
                name: (entry.process_id, entry.slow_start_s)
                for name, entry in present.items()
            }
            for name, entry in present.items():
                known = before.get(name)
                if known != self._entries[name] and (known is not None or
                                                     entry.slow_start_s):
                    self._apply_entry(entry)

    def _apply_entry(self, entry: directory.Registration) -> None:
        """Applies an entry that has changed; within the lock."""
        cold = self._cold.get(entry.name)
        left_s = cold.until_s - clock.now_s() if cold is not None else 0.0
        if (cold is not None and cold.source == _ANSWER and
                left_s > entry.slow_start_s):
            return
        self._set(entry.name, self._services[entry.service].cold_per_s,
                  entry.slow_start_s, _ENTRY)

    def assume_cold(self,
                    entries: collections.abc.Iterable[directory.Registration],
                    domains: frozenset[str], max_read_age_s: float) -> None:
        """Records that all targets of failure domains count as cold.

        Args:
            entries: All registered targets.
            domains: Failure domains that return.
            max_read_age_s: Age of the entries at this daemon.
        """
        with self._lock:
            for entry in entries:
                service = self._services.get(entry.service)
                if service is not None and entry.failure_domain in domains:
                    self._set(
                        entry.name, service.cold_per_s,
                        service.cold_start_s + _HEARTBEAT_S + max_read_age_s,
                        _RETURN)

    def record_answer(self, target: events.Target,
                      cold_s: float | None) -> None:
        """Records for how long a target says that it is cold, if it does."""
        if cold_s is None or not self._services:
            return
        with self._lock:
            service = self._services.get(target.service)
            if service is not None:
                self._set(target.name, service.cold_per_s, cold_s, _ANSWER)

    def is_cold(self, target: str) -> bool:
        """Returns whether a target is cold."""
        cold = self._cold.get(target)
        return cold is not None and clock.now_s() < cold.until_s

    def count_cold(self) -> int:
        """Returns the number of cold targets."""
        with self._lock:
            return sum(map(self.is_cold, self._cold))

    def _set(self, target: str, per_s: float, cold_s: float,
             source: str) -> None:
        """Records a time, and passes it on; within the lock."""
        was_cold = self.is_cold(target)
        if cold_s <= 0:
            if self._cold.pop(target, None) is None:
                return
        else:
            until_s = clock.now_s() + min(cold_targets.MAX_COLD_S, cold_s)
            self._cold[target] = _Cold(until_s, source)
        # In the lock: the scheduler receives changes in their order.
        self._send(events.TargetCold(target, per_s, cold_s))
        if was_cold == (cold_s > 0):
            return
        self._count(f"target_cold_{source}" if cold_s > 0 else "target_warm")
        _logger.info("target cold" if cold_s > 0 else "target no longer cold",
                     extra={
                         "target": target,
                         "cold_s": round(cold_s, 3),
                         "source": source
                     })
