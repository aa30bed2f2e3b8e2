"""Follows the configuration and the targets in the store, as they change.

Each table has its own thread and connection, so that a call that waits for
changes of one does not delay the other. If a peer has read a table recently,
its store snapshot is used instead of another read.

See Also:
    `persimmonspan.process.store_eras`: a store that comes back from a copy.
"""

import collections.abc
import contextlib
import logging
import math
import random
import threading
import typing

from persimmonspan import errors
from persimmonspan.process import clock
from persimmonspan.process import directory
from persimmonspan.process import evacuated_set
from persimmonspan.process import evacuation_tracker
from persimmonspan.process import peering
from persimmonspan.process import row_store
from persimmonspan.process import stale_entries
from persimmonspan.process import store_eras
from persimmonspan.process import store_losses
from persimmonspan.process import threads
from persimmonspan.version import routes

# A silent connection is detected one response timeout after this, and a
# configuration must be in force within 2 s of its acceptance.
_CONFIGURATION_WAIT_S = 0.4
# Once a peer has reported a newer version, the daemon waits this long for a
# peer to send it; after that it reads the version itself.
_CONFIGURATION_DELIVERY_TIMEOUT_S = 0.6
_ROLE_CHECK_INTERVAL_S = 0.1
# Time between two reads of the other daemons' addresses. Digests announce new
# daemons sooner; the rows are for daemons that no digest reaches.
_ADDRESSES_READ_INTERVAL_S = 45.0
# After the store came back from a copy, each daemon reads the addresses again,
# and writes its own if it is lost, within this time for each known daemon. The
# load: 330 daemons, 83 calls a second of the 400 that the store takes.
_ADDRESSES_RETURN_SPREAD_S = 0.012
# Longest time of a call to the store that is not answered.
_CALL_TIMEOUT_S = 2.0
_DIGEST = "digest of a peer"  # Stands for a table as the source of an era.
# Pause after an unexpected error.
_ERROR_PAUSE_S = 1.0

_logger = logging.getLogger(__name__)


class Formats(typing.NamedTuple):
    """Tables and key of the followed data on the platform, and its decoders."""

    configuration_table: str
    configuration_key: str
    decode_configuration: collections.abc.Callable[[bytes],
                                                   routes.Configuration]
    targets_table: str
    decode_target: collections.abc.Callable[[str, bytes],
                                            directory.Registration | None]
    # Domain that the row of a key of the configuration's table evacuates.
    decode_evacuation: evacuated_set.DecodeKey = lambda key: None


class Receiver(typing.Protocol):
    """Receives the data that was read."""

    def adopt(self, configuration: routes.Configuration) -> None:
        """Adopts a configuration, which may be older than the last one."""

    def apply_directory(self, state: directory.State,
                        change: directory.Change) -> None:
        """Receives the registered targets and their changes."""

    def count(self, reason: str) -> None:
        """Increments the event counter of a reason."""


class Followers:
    """Runs the threads that read the store.

    `peers` must be set before the threads start. `evacuations` receives the
    rows of the configuration's table.
    """

    def __init__(
        self,
        open_store: collections.abc.Callable[[str], row_store.RowStore],
        address: str,
        formats: Formats,
        receiver: Receiver,
        evacuations: evacuation_tracker.EvacuationTracker | None = None
    ) -> None:
        self.peers: peering.Peering
        self._evacuations = evacuations
        self._open_store = open_store
        self._address = address
        self._formats = formats
        self._receiver = receiver
        self._stopped = threading.Event()
        self._failures: dict[str, int] = {}
        # Until when the last failed call shows that the store does not answer.
        self._failure_valid_until_s = -math.inf
        self._undecoded: frozenset[str] = frozenset()
        self._directory = directory.State()
        self._directory_lock = threading.Lock()
        self._adoption_lock = threading.Lock()
        self._era = store_eras.State()
        self._addresses_due_s = -math.inf
        self._generator = random.Random()
        self._era_lock = threading.Lock()
        self._version = 0  # Of the last adopted configuration.
        self._peer_version = 0  # Newest version that a peer reported.
        # When a peer first reported a version that is not in force here yet.
        self._peer_version_s = 0.0

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator[None]:
        """Follows the store until the block ends."""
        with threads.running(lambda: self._keep_running(self._follow_targets),
                             self._stopped.set):
            # A daemon thread: its waiting call must not delay a stop.
            threading.Thread(
                target=lambda: self._keep_running(self._follow_configuration),
                daemon=True).start()
            yield

    def _keep_running(self, follow: collections.abc.Callable[[], None]) -> None:
        """Starts to follow a table again after an unexpected error.

        A daemon whose thread had ended would serve what it read last forever.
        """
        while not self._stopped.is_set():
            try:
                follow()
            except Exception:  # pylint: disable=broad-exception-caught
                _logger.exception("following the store failed")
                self._stopped.wait(_ERROR_PAUSE_S)

    def apply_store_snapshot(
        self,
        registrations: tuple[directory.Registration, ...] | None,
        configuration_version: int,
        configuration: bytes,
        era: int,
        known_since_s: float = -math.inf,
        expired: collections.abc.Collection[str] = ()
    ) -> None:
        """Applies a store snapshot of a peer.

        Args:
            registrations: The targets, or None if they are not newer than the
                recorded ones.
            configuration_version: Version in force in the store.
            configuration: The value of its row, if the peer sent it.
            era: Era of the store when the targets were read, or 0.
            known_since_s: Since when the peer has known targets.
            expired: Names of the targets that lapsed for the peer.
        """
        if configuration_version > self._peer_version:
            if self._peer_version <= self._version:
                self._peer_version_s = clock.now_s()
            self._peer_version = configuration_version
        if configuration and configuration_version > self._version:
            self._adopt(configuration, configuration_version)
        with self._directory_lock:
            state = self._directory
            # How long the digest took is uncertain, so that an earlier era is
            # always taken for a late one.
            if not self._accept_era(_DIGEST, era, 0, -math.inf):
                return
            if registrations is None:
                if not state.era or era in (0, state.era):
                    return
                rows, expired = directory.last_rows(state), state.expired
            else:
                rows = registrations
                # The id of what was received: the targets in force may differ
                # from it for some time, and would be sent again and again.
                self.peers.record_entries(registrations, expired)
            self._directory, change = directory.apply_snapshot(
                state, rows, clock.now_s(), era, known_since_s, expired,
                self.peers.evidence.confirmed_since_s()
                if expired else -math.inf)
            store_losses.log_left_out(self._directory, expired)
            self._receiver.apply_directory(self._directory, change)
            if registrations is not None:
                self.peers.record_stale_entries(
                    stale_entries.select(self._directory, self._generator))

    def apply_stale_entries(self, stale: stale_entries.StaleEntries) -> None:
        """Applies what a peer knows of targets that left before the start."""
        with self._directory_lock:
            self._directory, change = stale_entries.apply(
                self._directory, stale, clock.now_s())
            if any(change):
                self._receiver.apply_directory(self._directory, change)

    def last_checked_s(self) -> float:
        """Returns when what is in force was last confirmed or uncheckable.

        The time, on `clock`, is that of the last confirmation, or the last at
        which the store was known not to answer: through an outage, what was
        read last stays in force.
        """
        return max(self.peers.last_confirmed_s(),
                   min(clock.now_s(), self._failure_valid_until_s))

    def _follow_configuration(self) -> None:
        store = self._open_store(self._address)
        table = self._formats.configuration_table
        since: row_store.Rows | None = None  # The last answer.
        losses = 0  # Of the history, since the last changes that were read.
        while not self._stopped.is_set():
            can_rely_on_peers = (self._peer_version <= self._version or
                                 clock.now_s() - self._peer_version_s
                                 < _CONFIGURATION_DELIVERY_TIMEOUT_S)
            if (self._version and self._knows_evacuations() and
                    can_rely_on_peers and
                    not self.peers.must_read_configuration()):
                since = None
                self._stopped.wait(_ROLE_CHECK_INTERVAL_S)
                continue
            began_s = clock.now_s()
            try:
                if since is None:
                    self._log_read(began_s)
                    rows = store.read(table)
                else:
                    rows = store.changes(table, since.version,
                                         _CONFIGURATION_WAIT_S)
            except row_store.HistoryLostError:
                _logger.warning("history lost", extra={"table": table})
                if losses:
                    self._stopped.wait(self.peers.retry_pause_range_s()[0])
                losses += 1
                since = None
                continue
            except errors.StoreError as error:
                since = None
                self._record_failure(table, error)
                continue
            self._record_success(table)
            is_late = not self._accept_era(table, rows.era, rows.version,
                                           began_s)
            if is_late or (since is not None and rows.era != since.era):
                # The changes are those since a version of another history.
                since = None
                continue
            losses = losses if since is None else 0
            if self._evacuations is not None:
                # Before a first configuration makes the daemon ready.
                self._evacuations.apply_rows(rows, since is None)
            since = rows
            written = [
                row for row in rows.rows
                if row.key == self._formats.configuration_key and row.value
            ]
            if written:
                # The newest version is complete; in a series of changes,
                # adopting the older ones would only delay it.
                self._adopt(written[-1].value, written[-1].version)
            # The version counts as read at the start of the call: a busy daemon
            # may process a response long after the store sent it.
            self.peers.record_version_read(self._version, began_s)
            self._stopped.wait(self.peers.configuration_pause_s())

    def _knows_evacuations(self) -> bool:
        """Returns whether peers told what this daemon did not read."""
        return self._evacuations is None or self._evacuations.is_known

    def _log_read(self, now_s: float) -> None:
        """Logs why this daemon reads the configuration itself."""
        age_s = now_s - self.peers.last_confirmed_s()
        _logger.info("configuration read from the store",
                     extra={
                         "version":
                             self._version,
                         "peer_version":
                             self._peer_version,
                         "confirmed_age_s":
                             round(age_s, 3) if math.isfinite(age_s) else None
                     })

    def _accept_era(self, table: str, era: int, version: int,
                    began_s: float) -> bool:
        """Applies the era of an answer; returns whether the answer holds."""
        with self._era_lock:
            before = self._era
            now_s = clock.now_s()
            self._era, verdict = store_eras.observe(before, era, version,
                                                    began_s, now_s)
            if verdict is store_eras.Verdict.CHANGED:
                self._addresses_due_s = now_s + random.uniform(
                    0.0,
                    _ADDRESSES_RETURN_SPREAD_S * len(self.peers.list_daemons()))
        if verdict is store_eras.Verdict.LATE:
            self._receiver.count("store_answer_late")
            _logger.warning("answer of an earlier era of the store left out",
                            extra={
                                "table": table,
                                "era": era,
                                "present_era": before.era
                            })
            return False
        if self._era.era != before.era:
            self.peers.record_era(self._era.era)
        if verdict is store_eras.Verdict.CHANGED:
            self._receiver.count("store_era_changed")
            _logger.warning(
                "store came back from a copy",
                extra={
                    "era_before": before.era,
                    "era": era,
                    "version_before": before.version,
                    "version": version,
                    "source": table,
                    "read_again": ["configuration", "targets", "addresses"]
                })
        return True

    def _adopt(self, value: bytes, version: int) -> None:
        try:
            configuration = self._formats.decode_configuration(value)
        except ValueError as error:
            _logger.error("configuration not understood",
                          extra={
                              "version": version,
                              "reason": str(error)
                          })
            return
        # Both the follower's thread and digests of peers call this.
        with self._adoption_lock:
            self._receiver.adopt(configuration)
            if configuration.version >= self._version:
                self._version = configuration.version
                self.peers.record_configuration(configuration.version, value)

    def _follow_targets(self) -> None:
        store = self._open_store(self._address)
        is_first = True
        while not self._stopped.is_set():
            if clock.now_s() >= self._addresses_due_s:
                is_first = not self._exchange_addresses(store, is_first)
            if not self.peers.must_read_targets():
                self._apply_time()
                self._stopped.wait(_ROLE_CHECK_INTERVAL_S)
                continue
            if self._read_targets(store):
                self._stopped.wait(self.peers.targets_read_interval_s())

    def _exchange_addresses(self, store: row_store.RowStore,
                            is_first: bool) -> bool:
        """Returns whether the addresses were read and the own one is there."""
        due_s = self._addresses_due_s
        try:
            self.peers.exchange_addresses(store, is_first)
        except errors.StoreError as error:
            _logger.info("addresses not exchanged",
                         extra={"reason": str(error)})
            pause_s = self.peers.retry_pause_range_s()[0]
        else:
            is_first = False
            pause_s = _ADDRESSES_READ_INTERVAL_S
        with self._era_lock:
            # The store may have come back meanwhile.
            if self._addresses_due_s == due_s:
                self._addresses_due_s = clock.now_s() + pause_s
        return not is_first

    def _apply_time(self) -> None:
        """Ends spans of time of entries while a peer confirms the rows."""
        with self._directory_lock:
            self._directory = state = store_losses.disprove(
                self._directory, self.peers)
            if not (state.lapsed or state.doubted or state.expired or
                    state.is_lost):
                return
            self._directory, change = directory.apply_time(
                state, clock.now_s(), self.peers.targets_confirmed_s())
            self._receiver.apply_directory(self._directory, change)

    def _read_targets(self, store: row_store.RowStore) -> bool:
        table = self._formats.targets_table
        began_s = clock.now_s()
        try:
            rows = store.read(table)
        except errors.StoreError as error:
            with self._directory_lock:
                self._directory = directory.failed(
                    self._directory, self.peers.targets_confirmed_s())
            self.peers.record_read_failure()
            self._record_failure(table, error)
            return False
        self._record_success(table)
        decoded = {
            row.key: self._formats.decode_target(row.key, row.value)
            for row in rows.rows
            if row.value
        }
        entries = [entry for entry in decoded.values() if entry is not None]
        self._log_undecoded(
            frozenset(key for key, entry in decoded.items() if entry is None))
        with self._directory_lock:
            # Within the lock: a snapshot of a later era may come between.
            if not self._accept_era(table, rows.era, rows.version, began_s):
                return True
            self._directory, change = directory.apply_rows(
                store_losses.disprove(self._directory, self.peers), entries,
                clock.now_s(), rows.era)
            self._receiver.apply_directory(self._directory, change)
            self.peers.record_targets_read(self._directory, began_s)
        return True

    def _log_undecoded(self, names: frozenset[str]) -> None:
        """Logs each entry that does not decode to a target, once."""
        added = names - self._undecoded
        self._undecoded = names
        if added:
            _logger.warning("target entries not understood",
                            extra={"targets": sorted(added)})

    def _record_failure(self, table: str, error: errors.StoreError) -> None:
        failures = self._failures.get(table, 0)
        self._failures[table] = failures + 1
        if not failures:
            _logger.warning("store lost",
                            extra={
                                "table": table,
                                "code": error.code,
                                "reason": str(error)
                            })
        min_s, max_s = self.peers.retry_pause_range_s()
        pause_s = min(max_s, min_s * 2**min(failures, 8))
        self._failure_valid_until_s = clock.now_s() + pause_s + _CALL_TIMEOUT_S
        self._stopped.wait(pause_s)

    def _record_success(self, table: str) -> None:
        failures = self._failures.pop(table, 0)
        if failures:
            _logger.warning("store regained",
                            extra={
                                "table": table,
                                "failures": failures
                            })
