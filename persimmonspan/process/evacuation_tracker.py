"""Keeps which failure domains are evacuated, for all threads of a daemon.

The set is read from the store by the thread that follows the configuration, and
arrives in digests of peers. Each change is logged, counted and passed on once.

See Also:
    `persimmonspan.process.evacuated_set`: which of two sets is newer.
    `persimmonspan.request.evacuated_domains`: what follows for requests.
"""

import collections.abc
import logging
import threading

from persimmonspan.process import evacuated_set
from persimmonspan.process import row_store
from persimmonspan.request import events

_logger = logging.getLogger(__name__)

Apply = collections.abc.Callable[[frozenset[str]], None]


class EvacuationTracker:
    """The evacuated domains; may be used from any thread.

    Args:
        decode_key: Returns the domain that the row of a key evacuates.
        apply: Called after a change with the domains that returned.
        count: Increments the counter of a reason.
    """

    def __init__(self, decode_key: evacuated_set.DecodeKey, apply: Apply,
                 count: collections.abc.Callable[[str], None]) -> None:
        self._decode_key = decode_key
        self._apply = apply
        self._count = count
        self._state = evacuated_set.State()
        self._lock = threading.Lock()

    @property
    def state(self) -> evacuated_set.State:
        """The domains, and the version of the store that told them."""
        return self._state

    @property
    def is_known(self) -> bool:
        """Whether the set was read or received once."""
        return self._state.version > 0

    @property
    def domains(self) -> frozenset[str]:
        """The evacuated failure domains."""
        return frozenset(self._state.domains)

    def is_evacuated(self, target: events.Target) -> bool:
        """Returns whether a target is to get nothing new."""
        return target.failure_domain in self._state.domains

    def apply_rows(self, rows: row_store.Rows, is_full: bool) -> None:
        """Applies what this daemon read: a whole table or its changes."""
        with self._lock:
            self._set(
                evacuated_set.apply_rows(self._state, rows, is_full,
                                         self._decode_key), "store")

    def apply_peer_state(self, state: evacuated_set.State) -> None:
        """Applies what a peer knows."""
        with self._lock:
            self._set(evacuated_set.merge(self._state, state), "peer")

    def _set(self, state: evacuated_set.State, source: str) -> None:
        before, self._state = self._state, state
        added = sorted(set(state.domains).difference(before.domains))
        returned = sorted(set(before.domains).difference(state.domains))
        if not added and not returned:
            return
        for _ in added:
            self._count("domain_evacuated")
        for _ in returned:
            self._count("domain_returned")
        _logger.warning("evacuated failure domains changed",
                        extra={
                            "added": added,
                            "returned": returned,
                            "evacuated": state.domains,
                            "version": state.version,
                            "era": state.era,
                            "source": source
                        })
        self._apply(frozenset(returned))
