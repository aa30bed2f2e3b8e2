"""Exchanges digests with the other edge daemons.

See Also:
    `persimmonspan.process.edge_peers`: the content of digests.
    `persimmonspan.process.read_schedule`: which daemon reads the store when.
    `persimmonspan.connection.digest_links`: the sockets.
"""

import collections
import collections.abc
import contextlib
import logging
import math
import random
import threading
import typing
import zlib

import msgspec
import pykka

from persimmonspan.connection import digest_links
from persimmonspan.process import clock
from persimmonspan.process import configuration_exchange
from persimmonspan.process import confirmations
from persimmonspan.process import departures
from persimmonspan.process import directory
from persimmonspan.process import edge_peers
from persimmonspan.process import evacuated_set
from persimmonspan.process import load_totals
from persimmonspan.process import quarantine_reports
from persimmonspan.process import read_schedule
from persimmonspan.process import row_store
from persimmonspan.process import scheduler_actor
from persimmonspan.process import stale_entries
from persimmonspan.process import store_losses
from persimmonspan.process import target_speeds
from persimmonspan.request import events
from persimmonspan.request import quarantine
from persimmonspan.request import rate_limits
from persimmonspan.request import scheduler

# Table of the store in which each daemon has a row with its address.
TABLE = "edge_daemons"
# A digest is counted in the next sums of the hub, which may be a second away; a
# busy daemon sends many until then.
_REMEMBERED_DIGESTS = 256
_NUMBER_BITS = 48
_MAX_ADDRESS_BYTES = 64
# A fast level: rows of a store are small, but links to peers may be slow.
_COMPRESSION_LEVEL = 1
# Limit after decompression; several times the size of a row in the store.
_MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024

_logger = logging.getLogger(__name__)

# Loads, demands, refusals in force, rates that targets named, and speeds.
_SharedState = tuple[tuple[events.TargetLoad, ...], tuple[events.Demand, ...],
                     tuple[events.QuarantineShared,
                           ...], tuple[rate_limits.Answer,
                                       ...], tuple[events.TargetSpeed, ...]]


class Tracker(typing.Protocol):
    """Keeps the targets that leave according to their answers."""

    def record_peer_departures(
            self, told: collections.abc.Iterable[departures.Departure]) -> None:
        """Records what a peer tells."""

    def select(self, turn: int) -> tuple[departures.Departure, ...]:
        """Returns what the digest of a number tells."""


class Evacuations(typing.Protocol):
    """Keeps the evacuated failure domains."""

    @property
    def state(self) -> evacuated_set.State:
        """What this daemon knows, to tell it to peers."""

    def apply_peer_state(self, state: evacuated_set.State) -> None:
        """Applies what a peer knows."""


_ApplySnapshot = collections.abc.Callable[[
    tuple[directory.Registration, ...] |
    None, int, bytes, int, float, tuple[str, ...]
], None]


class Peering:
    """Sends digests to the other daemons and merges theirs.

    Args:
        name: Name of this daemon.
        address: Address at which it receives digests.
        scheduler_ref: Receives the loads of peers and returns the own loads.
        apply_store_snapshot: Called with the targets that the reader read, or
            None if they are not newer than the recorded ones, with the version
            of the configuration in the store, with the configuration if this
            daemon reported an older version, with the era of the store, with
            the time since which the reader has known targets, and with the
            names of those that lapsed for the reader.
        record_rates: Called with what targets answered to peers.
        limits: Times in which changes in the store must take effect.
        tracker: Keeps the targets that leave according to their answers.
        apply_stale_entries: Called with what a peer knows of targets that left
            before this daemon started.
        link_bits_per_s: Speed of the link of this daemon.
        evacuations: Keeps the evacuated failure domains.
        record_report: Called with each new report of a peer's quarantine.
    """

    def __init__(
        self,
        name: str,
        address: str,
        scheduler_ref: pykka.ActorRef[scheduler_actor.SchedulerActor],
        apply_store_snapshot: _ApplySnapshot,
        record_rates: collections.abc.Callable[[tuple[rate_limits.Answer, ...]],
                                               None],
        limits: read_schedule.Limits = read_schedule.Limits(),
        tracker: Tracker | None = None,
        apply_stale_entries: collections.abc.Callable[
            [stale_entries.StaleEntries], None] = lambda stale: None,
        link_bits_per_s: float = math.inf,
        evacuations: Evacuations | None = None,
        record_report: collections.abc.Callable[[events.QuarantineShared],
                                                object] = lambda report: None,
    ) -> None:
        self._name = name
        self._address = address
        self._scheduler = scheduler_ref
        self._apply_store_snapshot = apply_store_snapshot
        self._record_rates = record_rates
        self._apply_stale_entries = apply_stale_entries
        self._limits = limits
        self._tracker = tracker
        self._link_bits_per_s = link_bits_per_s
        self._evacuations = evacuations
        self.address_reads = 0  # Of the rows of all daemons.
        self._record_report = record_report
        self._sent_bytes = 0  # Size of the last digests.
        self._next_digests_s = -math.inf
        self._state = edge_peers.State(hub_received_s=clock.now_s(),
                                       can_read=False,
                                       name=name)
        self.evidence = store_losses.Evidence(lambda: self._state)
        # Guards `_state` and `_own_read`, which three threads replace.
        self._lock = threading.Lock()
        self._is_hub = False
        self._own_read = read_schedule.OwnRead()
        self._own_version = 0
        # Readers that asked this daemon for its newer configuration.
        self._wanted_by: frozenset[str] = frozenset()
        # Id of the registered targets in force.
        self._entries_id = 0
        self._known_since_s = math.inf
        self._stale_entries: stale_entries.Selection | None = None
        # Starts at random: after a restart, a hub may still count a digest of
        # the process before.
        self._number = random.getrandbits(_NUMBER_BITS)
        self._sent_parts: collections.OrderedDict[int, tuple[tuple[
            events.TargetLoad, ...], tuple[events.Demand,
                                           ...]]] = collections.OrderedDict()
        self._sent_s: dict[int, float] = {}  # By the number of the digest.
        self._reports = quarantine_reports.State()
        self._refused: frozenset[str] = frozenset()
        self._last_sent_content: tuple[typing.Any, ...] = ()
        self._last_sent_s = 0.0
        self._links = digest_links.Links(address, self._receive,
                                         self._compose_digests, self.interval_s)

    def running(self) -> contextlib.AbstractContextManager[None]:
        """Exchanges digests until the block ends."""
        return self._links.running()

    def wake(self) -> None:
        """Sends a digest at once; may be called from any thread.

        A hub sends to all daemons, so it does so at its interval only.
        """
        if not self._is_hub:
            self._links.wake()

    def publish_quarantine(self, report: events.QuarantineShared) -> None:
        """Sends a report of this daemon's quarantine to all daemons."""
        with self._lock:
            self._reports = quarantine_reports.publish(
                self._reports, random.getrandbits(_NUMBER_BITS), report,
                clock.now_s())
        self.wake()

    def list_daemons(self) -> dict[str, str]:
        """Returns the addresses of all daemons, with this one, by name."""
        addresses = {
            name: peer.address for name, peer in self._state.peers.items()
        }
        return dict(sorted({**addresses, self._name: self._address}.items()))

    def interval_s(self) -> float:
        """Returns the time between two digests, in seconds."""
        return edge_peers.interval_s(self._state, self._sent_bytes,
                                     self._link_bits_per_s)

    def must_read_targets(self) -> bool:
        """Returns whether this daemon should read the registered targets."""
        return read_schedule.must_read_targets(self._state, self._own_read,
                                               self._limits, clock.now_s())

    def targets_read_interval_s(self) -> float:
        """Returns the time between two own reads of the targets."""
        return read_schedule.targets_read_interval_s(self._state, self._limits,
                                                     clock.now_s())

    def targets_confirmed_s(self) -> float:
        """Returns when the registered targets were last current, on `clock`."""
        return read_schedule.targets_confirmed_s(self._state, self._own_read)

    def configuration_pause_s(self) -> float:
        """Returns the pause after an own read of the configuration."""
        return read_schedule.configuration_pause_s(self._state, self._limits,
                                                   clock.now_s())

    def last_confirmed_s(self) -> float:
        """Returns when targets and configuration were both last current.

        The time is on `clock`.
        """
        return read_schedule.last_confirmed_s(self._state, self._own_read)

    def must_read_configuration(self) -> bool:
        """Returns whether this daemon should read configurations itself."""
        return read_schedule.must_read_configuration(self._state, self._limits,
                                                     clock.now_s())

    def retry_pause_range_s(self) -> tuple[float, float]:
        """Returns the least and the longest pause after a failed read."""
        return read_schedule.retry_pause_range_s(self._state)

    def _record_can_read(self, can_read: bool) -> None:
        with self._lock:
            self._state = self._state._replace(can_read=can_read)

    def record_targets_read(self, state: directory.State,
                            began_s: float) -> None:
        """Records the targets that were read, for the next digest."""
        self._record_can_read(True)
        entries = directory.all_targets(state)
        with self._lock:
            self._own_read = self._own_read._replace(entries=entries,
                                                     entries_s=began_s,
                                                     era=state.era,
                                                     expired=tuple(
                                                         state.lapsed))
            self._state = self._state._replace(
                confirmed=confirmations.confirm(self._state.confirmed, began_s))
        # Entries that have lapsed end here after some time, unless the reader
        # has them. If they were part of the id, it would not send them.
        self.record_entries(state.present.values())

    def record_entries(
        self,
        entries: collections.abc.Iterable[directory.Registration],
        expired: collections.abc.Iterable[str] = ()
    ) -> None:
        """Records the registered targets that were read or received last."""
        self._known_since_s = min(self._known_since_s, clock.now_s())
        self._entries_id = edge_peers.identify_entries(entries, expired)

    def record_stale_entries(self,
                             selection: stale_entries.Selection | None) -> None:
        """Records what the reader does not know, for the next digests to it."""
        self._stale_entries = selection

    def record_era(self, era: int) -> None:
        """Records the present era of the store."""
        with self._lock:
            self._state = self._state._replace(era=era)

    def record_version_read(self, version: int, at_s: float) -> None:
        """Records the version that was in force in the store at a time."""
        with self._lock:
            self._own_read = self._own_read._replace(version=version,
                                                     version_s=at_s)
        if configuration_exchange.outdated_peers(self._state, version, at_s):
            self._send_soon()

    def _send_soon(self) -> None:
        """Sends digests at once, unless the link still carries the last."""
        if clock.now_s() >= self._next_digests_s:
            self._links.wake()

    def record_configuration(self, version: int, configuration: bytes) -> None:
        """Records the configuration in force, to send it to peers."""
        compressed = zlib.compress(configuration, _COMPRESSION_LEVEL)
        with self._lock:
            self._own_version = version
            self._own_read = self._own_read._replace(configuration=compressed)

    def record_read_failure(self) -> None:
        """Records that a read of the store failed.

        One lost response makes no other daemon the reader: this one can read as
        long as what it read last is current.
        """
        age_s = clock.now_s() - self._own_read.entries_s
        if age_s > self._limits.max_targets_age_s:
            self._record_can_read(False)

    def exchange_addresses(self, store: row_store.RowStore,
                           is_first: bool) -> None:
        """Reads the addresses of all daemons from the store.

        Args:
            store: Connection to the store.
            is_first: Whether to write the address of this daemon before. It
                is also written if the store does not have it: the store may
                have come back from an older copy.

        Raises:
            errors.StoreError: The store did not respond.
        """
        own_value = self._address.encode()
        if is_first:
            store.put(TABLE, self._name, own_value)
        rows = store.read(TABLE).rows
        if not any(row[:2] == (self._name, own_value) for row in rows):
            _logger.warning("row of this daemon written again",
                            extra={"table": TABLE})
            store.put(TABLE, self._name, own_value)
        self.address_reads += 1
        now_s = clock.now_s()
        for row in rows:
            if (row.value and row.key != self._name and
                    len(row.value) <= _MAX_ADDRESS_BYTES):
                with self._lock:
                    self._state = edge_peers.add_peer_address(
                        self._state, row.key,
                        row.value.decode(errors="replace"), now_s)

    def _receive(self, data: bytes) -> None:
        try:
            digest = edge_peers.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            _logger.warning("digest of a peer could not be decoded",
                            extra={"reason": str(error)})
            return
        now_s = clock.now_s()
        with self._lock:
            if digest.name not in self._state.peers:
                _logger.info("peer found",
                             extra={
                                 "peer": digest.name,
                                 "address": digest.address
                             })
            self._state, is_newer = edge_peers.merge_digest(
                self._state, digest, now_s, self._own_read.entries_s,
                self._entries_id, self._composed_after_s(digest))
            self._reports, reports = quarantine_reports.receive(
                self._reports, digest.reports, self._refused, self._is_hub,
                now_s)
        for report in reports:
            self._record_report(report)
            self._scheduler.tell(report)
        # Before the configuration and the targets that it may come with.
        if digest.evacuations is not None and self._evacuations is not None:
            self._evacuations.apply_peer_state(digest.evacuations)
        self._record_rates(digest.rates)
        if self._tracker is not None and digest.leaving:
            self._tracker.record_peer_departures(digest.leaving)
        self._scheduler.tell(edge_peers.to_peer_load(digest, self._sent_parts))
        if digest.wants_configuration and digest.version < self._own_version:
            with self._lock:
                self._wanted_by |= {digest.name}
            self._send_soon()
        if digest.configuration:
            _logger.info("configuration received from a peer",
                         extra={
                             "peer": digest.name,
                             "version": digest.version
                         })
            self._apply_store_snapshot(None, digest.version,
                                       _decompress(digest.configuration), 0,
                                       -math.inf, ())
        if digest.stale is not None:
            self._apply_stale_entries(digest.stale)
        if digest.news is not None:
            self._apply_news(digest.news, is_newer,
                             self._composed_after_s(digest), now_s)

    def _apply_news(self, news: edge_peers.StoreSnapshot, is_newer: bool,
                    composed_after_s: float, now_s: float) -> None:
        """Applies what a peer read, if something of it is new here."""
        if (is_newer or news.configuration or
                news.configuration_version > self._own_version or
                news.era > self._state.era):
            self._apply_store_snapshot(news.entries if is_newer else None,
                                       news.configuration_version,
                                       _decompress(news.configuration),
                                       news.era, now_s - news.known_age_s,
                                       news.expired)
        with self._lock:
            self._state = edge_peers.confirm_configuration(
                self._state, news, self._own_version, composed_after_s)

    def _composed_after_s(self, digest: edge_peers.Digest) -> float:
        """Returns a time before a peer composed a digest, if one is known."""
        return (self._sent_s.get(digest.counted_number, -math.inf) +
                digest.counted_age_s)

    def _compose_digests(self) -> dict[str, bytes]:
        """Returns the digest that is due now, by receiver's address."""
        digests = self._compose_due_digests()
        self._sent_bytes = sum(map(len, digests.values()))
        usual_s = edge_peers.interval_s(self._state)
        pause_s = self.interval_s()
        self._next_digests_s = (clock.now_s() +
                                pause_s if pause_s > usual_s else -math.inf)
        return digests

    def _compose_due_digests(self) -> dict[str, bytes]:
        now_s = clock.now_s()
        with self._lock:
            state = edge_peers.expire_peers(self._state, now_s)
            for name in set(self._state.peers) - set(state.peers):
                _logger.info("silent peer removed", extra={"peer": name})
            self._state = state
        receivers = edge_peers.select_receivers(state, self._name, now_s)
        self._links.set_peers(receivers.values())
        if not receivers:
            return {}
        loads, demands, refusals, rates, speeds = self._scheduler.ask(
            scheduler_actor.Evaluate(_shared_state))
        reports = self._select_reports(refusals, now_s)
        snapshot = self._store_snapshot(state, now_s)
        is_hub = edge_peers.is_hub(state, self._name, now_s)
        self._drop_loads_on_role_change(state, is_hub)
        requests = self._take_requests(receivers, now_s)
        departing = (self._tracker.select(self._number)
                     if self._tracker is not None else ())
        stale = stale_entries.encode(self._stale_entries, now_s)
        if not self._is_digest_due(
            (loads, state.can_read, self._own_version, self._own_read.version,
             self._entries_id, snapshot and self._own_read.entries_s, [
                 (number, report.fingerprint) for number, report in reports
             ], [answer[:2] for answer in rates
                ], [speed.target for speed in speeds], requests,
             [item[:2] for item in departing], stale and stale.entries,
             self._evacuation_state() and self._evacuation_state().domains),
                is_hub, now_s):
            return {}
        totals = b""
        if is_hub:
            totals = load_totals.encode(
                edge_peers.sum_loads(state, loads, demands, now_s, speeds))
            # No other hub can count them: they are in these sums only.
            loads, demands, speeds = (), (), ()
        digest = edge_peers.Digest(
            self._name,
            self._address,
            self._state.can_read,
            loads,
            snapshot,
            is_hub,
            self._own_version,
            demands,
            totals=totals,
            number=self._remember_part(loads, demands, now_s),
            entries_id=self._entries_id,
            reports=reports,
            rates=rates,
            leaving=departing,
            stale=stale,
            confirmed=confirmations.to_ages(state.confirmed, now_s),
            evacuations=self._evacuation_state(),
            speeds=speeds)
        if (not is_hub and snapshot is None and stale is None and
                not any(requests)):
            return dict.fromkeys(receivers.values(), edge_peers.encode(digest))
        return self._encode_for_peers(digest, state, receivers, requests, now_s)

    def _evacuation_state(self) -> evacuated_set.State | None:
        return None if self._evacuations is None else self._evacuations.state

    def _encode_for_peers(self, digest: edge_peers.Digest,
                          state: edge_peers.State, receivers: dict[str, str],
                          requests: configuration_exchange.Requests,
                          now_s: float) -> dict[str, bytes]:
        """Returns the digest with what each peer needs, by its address."""
        snapshot = digest.news
        reader = edge_peers.select_reader(state, self._name, now_s)
        outdated = self._select_outdated_peers(snapshot, receivers, now_s)
        entries_id = snapshot.entries_id if snapshot is not None else 0
        without_entries = edge_peers.peers_without_entries(state, entries_id)
        return {
            address:
                edge_peers.encode(
                    self._digest_for_peer(
                        msgspec.structs.replace(
                            digest,
                            wants_configuration=name == requests.source,
                            configuration=self._own_read.configuration
                            if name in requests.wanted_by else b"",
                            stale=digest.stale if name == reader else None),
                        name in outdated, name in without_entries,
                        edge_peers.counted_digest(state, name, now_s)))
            for name, address in receivers.items()
        }

    def _is_digest_due(self, content: tuple[typing.Any, ...], is_hub: bool,
                       now_s: float) -> bool:
        """Returns whether to send a digest; records its content if so."""
        is_changed = is_hub or content != self._last_sent_content
        if not edge_peers.is_digest_due(is_changed, self._last_sent_s, now_s):
            return False
        self._last_sent_content, self._last_sent_s = content, now_s
        return True

    def _select_reports(
            self, refusals: tuple[events.QuarantineShared, ...],
            now_s: float) -> tuple[quarantine_reports.NumberedReport, ...]:
        with self._lock:
            self._refused = frozenset(item.fingerprint for item in refusals)
            self._reports, reports = quarantine_reports.select(
                self._reports, refusals, now_s)
        return reports

    def _remember_part(self, loads: tuple[events.TargetLoad, ...],
                       demands: tuple[events.Demand, ...], now_s: float) -> int:
        """Records what the next digest tells; returns the digest's number."""
        self._number += 1
        self._sent_parts[self._number] = loads, demands
        self._sent_s[self._number] = now_s
        if len(self._sent_parts) > _REMEMBERED_DIGESTS:
            number, _ = self._sent_parts.popitem(last=False)
            del self._sent_s[number]
        return self._number

    def _select_outdated_peers(self, snapshot: edge_peers.StoreSnapshot | None,
                               receivers: collections.abc.Iterable[str],
                               now_s: float) -> frozenset[str]:
        """Returns the peers to which the configuration is sent now."""
        if snapshot is None:
            return frozenset()
        version = self._own_read.version
        with self._lock:
            names = frozenset(receivers).intersection(
                configuration_exchange.outdated_peers(self._state, version,
                                                      now_s))
            self._state = configuration_exchange.record_sent_configuration(
                self._state, names, version, now_s)
        return names

    def _take_requests(self, receivers: collections.abc.Container[str],
                       now_s: float) -> configuration_exchange.Requests:
        """Returns the requests for configurations that are due now."""
        with self._lock:
            wanted_by, self._wanted_by = self._wanted_by, frozenset()
            source = None
            if edge_peers.is_reader(self._state, self._name, now_s):
                source = configuration_exchange.select_source(
                    self._state, self._own_version, now_s)
            if source is None or source not in receivers:
                return configuration_exchange.Requests(None, wanted_by)
            self._state = configuration_exchange.record_asked(
                self._state, source, now_s)
            version = self._state.peers[source].version
        _logger.warning("a peer has a newer configuration than the store",
                        extra={
                            "peer": source,
                            "version": version,
                            "own_version": self._own_version
                        })
        return configuration_exchange.Requests(source, wanted_by)

    def _digest_for_peer(self, digest: edge_peers.Digest, is_outdated: bool,
                         needs_entries: bool,
                         counted: tuple[int, float]) -> edge_peers.Digest:
        """Returns a digest with only what one daemon does not have yet."""
        snapshot = digest.news
        if snapshot is not None:
            snapshot = msgspec.structs.replace(
                snapshot,
                entries=snapshot.entries if needs_entries else None,
                expired=snapshot.expired if needs_entries else (),
                configuration=self._own_read.configuration
                if is_outdated else b"")
        return msgspec.structs.replace(digest,
                                       news=snapshot,
                                       counted_number=counted[0],
                                       counted_age_s=counted[1])

    def _drop_loads_on_role_change(self, state: edge_peers.State,
                                   is_hub: bool) -> None:
        """Drops recorded loads when this daemon starts or ends as the hub.

        A hub receives the load of each peer, other daemons receive the sum of
        all. Without this, the same work would be counted in both forms.
        """
        if is_hub == self._is_hub:
            return
        self._is_hub = is_hub
        _logger.info("hub of digests" if is_hub else "no longer hub",
                     extra={"peers": len(state.peers)})
        for name in (edge_peers.OTHERS,) if is_hub else state.peers:
            self._scheduler.tell(events.PeerLoad(name, ()))

    def _store_snapshot(self, state: edge_peers.State,
                        now_s: float) -> edge_peers.StoreSnapshot | None:
        own_read = self._own_read
        # The last read of a daemon that has just become the reader may be old.
        if (not state.can_read or
                now_s - own_read.entries_s > self._limits.max_targets_age_s or
                not edge_peers.is_reader(state, self._name, now_s)):
            return None
        return edge_peers.StoreSnapshot(now_s - own_read.entries_s,
                                        own_read.entries,
                                        own_read.version,
                                        now_s - own_read.version_s,
                                        entries_id=edge_peers.identify_entries(
                                            own_read.entries, own_read.expired),
                                        era=own_read.era,
                                        known_age_s=now_s - self._known_since_s,
                                        expired=own_read.expired)


def _decompress(data: bytes) -> bytes:
    """Returns the stored form of a configuration; empty bytes stay empty.

    Raises:
        zlib.error: The data is not a compressed configuration.
    """
    if not data:
        return b""
    return zlib.decompressobj().decompress(data, _MAX_CONFIGURATION_BYTES)


def _shared_state(state: scheduler.State, now_s: float) -> _SharedState:
    return (scheduler.own_loads(state), scheduler.own_demands(state, now_s),
            quarantine.list_refusals(state.suspects, now_s),
            rate_limits.list_answers(state.rates, now_s),
            target_speeds.own_speeds(state.speeds, now_s))
