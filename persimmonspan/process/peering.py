"""Exchanges digests with the other edge daemons.

See Also:
    `persimmonspan.process.edge_peers`: the content of digests.
    `persimmonspan.connection.digest_links`: the sockets.
"""

import collections.abc
import contextlib
import logging
import math
import threading
import time
import typing
import zlib

import msgspec
import pykka

from persimmonspan.connection import digest_links
from persimmonspan.process import directory
from persimmonspan.process import edge_peers
from persimmonspan.process import row_store
from persimmonspan.process import scheduler_actor
from persimmonspan.request import events
from persimmonspan.request import scheduler

# Table of the store in which each daemon has a row with its address.
TABLE = "edge_daemons"
# A daemon whose data from the store is older than this reads the store itself.
# Two seconds after a change in the store, a leaving target must get no new work
# and a new configuration must be in force.
_MAX_TARGETS_AGE_S = 0.7
_MAX_CONFIGURATION_AGE_S = 1.3
_MAX_ADDRESS_BYTES = 64
# A fast level: rows of a store are small, but links to peers may be slow.
_COMPRESSION_LEVEL = 1
# Limit after decompression; several times the size of a row in the store.
_MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024

_logger = logging.getLogger(__name__)


class OwnRead(typing.NamedTuple):
    """Data that this daemon itself read from the store.

    `entries_s` and `version_s` are the times at which the reads of `entries`
    and `version` began.
    """

    entries: tuple[directory.Registration, ...] = ()
    entries_s: float = -math.inf
    version: int = 0
    version_s: float = -math.inf
    configuration: bytes = b""  # Compressed.


class Peering:
    """Sends digests to the other daemons and merges theirs.

    Args:
        name: Name of this daemon.
        address: Address at which it receives digests.
        scheduler_ref: Receives the loads of peers and returns the own loads.
        apply_store_snapshot: Called with the targets that the reader read, or
            None if they are older than the recorded ones, with the version of
            the configuration in the store, and with the configuration if this
            daemon reported an older version.
    """

    def __init__(
        self, name: str, address: str,
        scheduler_ref: pykka.ActorRef[scheduler_actor.SchedulerActor],
        apply_store_snapshot: collections.abc.Callable[
            [tuple[directory.Registration, ...] | None, int, bytes], None]
    ) -> None:
        self._name = name
        self._address = address
        self._scheduler = scheduler_ref
        self._apply_store_snapshot = apply_store_snapshot
        self._state = edge_peers.State(hub_received_s=time.monotonic())
        # Guards `_state` and `_own_read`, which three threads replace.
        self._lock = threading.Lock()
        self._can_read = False
        self._is_hub = False
        self._own_read = OwnRead()
        self._own_version = 0
        self._last_sent_content: tuple[typing.Any, ...] = ()
        self._last_sent_s = 0.0
        self._links = digest_links.Links(address, self._receive,
                                         self._compose_digests, self.interval_s)

    def running(self) -> contextlib.AbstractContextManager[None]:
        """Exchanges digests until the block ends."""
        return self._links.running()

    def wake(self) -> None:
        """Sends a digest at once; may be called from any thread."""
        self._links.wake()

    def interval_s(self) -> float:
        """Returns the time between two digests, in seconds."""
        return edge_peers.interval_s(self._state)

    def must_read_targets(self) -> bool:
        """Returns whether this daemon should read the registered targets."""
        now_s = time.monotonic()
        last_read_s = max(self._state.snapshot_s, self._own_read.entries_s)
        return (now_s - last_read_s > _MAX_TARGETS_AGE_S or
                edge_peers.is_reader(self._state, self._name, now_s))

    def must_read_configuration(self) -> bool:
        """Returns whether this daemon should read configurations itself."""
        now_s = time.monotonic()
        return (now_s - self._state.configuration_s > _MAX_CONFIGURATION_AGE_S
                or edge_peers.is_reader(self._state, self._name, now_s))

    def record_targets_read(self, state: directory.State,
                            began_s: float) -> None:
        """Records the targets that were read, for the next digest."""
        self._can_read = True
        entries = directory.all_targets(state)
        with self._lock:
            self._own_read = self._own_read._replace(entries=entries,
                                                     entries_s=began_s)

    def record_version_read(self, version: int, at_s: float) -> None:
        """Records the version that was in force in the store at a time."""
        with self._lock:
            self._own_read = self._own_read._replace(version=version,
                                                     version_s=at_s)
        if edge_peers.outdated_peers(self._state, version, at_s):
            self.wake()

    def record_configuration(self, version: int, configuration: bytes) -> None:
        """Records the configuration in force, to send it to peers."""
        compressed = zlib.compress(configuration, _COMPRESSION_LEVEL)
        with self._lock:
            self._own_version = version
            self._own_read = self._own_read._replace(configuration=compressed)

    def record_read_failure(self) -> None:
        """Records that this daemon could not read the store."""
        self._can_read = False

    def exchange_addresses(self, store: row_store.RowStore,
                           is_first: bool) -> None:
        """Reads the addresses of all daemons from the store.

        Args:
            store: Connection to the store.
            is_first: Whether to write the address of this daemon before.

        Raises:
            errors.StoreError: The store did not respond.
        """
        if is_first:
            store.put(TABLE, self._name, self._address.encode())
        now_s = time.monotonic()
        for row in store.read(TABLE).rows:
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
        now_s = time.monotonic()
        with self._lock:
            if digest.name not in self._state.peers:
                _logger.info("peer found",
                             extra={
                                 "peer": digest.name,
                                 "address": digest.address
                             })
            self._state, is_newer = edge_peers.merge_digest(
                self._state, digest, now_s, self._own_read.entries_s)
        self._scheduler.tell(edge_peers.to_peer_load(digest))
        snapshot = digest.news
        if is_newer or (snapshot is not None and snapshot.configuration):
            self._apply_store_snapshot(snapshot.entries if is_newer else None,
                                       snapshot.configuration_version,
                                       _decompress(snapshot.configuration))

    def _compose_digests(self) -> dict[str, bytes]:
        """Returns the digest that is due now, by receiver's address."""
        now_s = time.monotonic()
        with self._lock:
            state = edge_peers.expire_peers(self._state, now_s)
            for name in set(self._state.peers) - set(state.peers):
                _logger.info("silent peer removed", extra={"peer": name})
            self._state = state
        receivers = edge_peers.select_receivers(state, self._name, now_s)
        self._links.set_peers(receivers.values())
        if not receivers:
            return {}
        loads, demands = self._scheduler.ask(
            scheduler_actor.Evaluate(_loads_and_demands))
        snapshot = self._store_snapshot(state, now_s)
        own_read = self._own_read
        is_hub = edge_peers.is_hub(state, self._name, now_s)
        self._drop_loads_on_role_change(state, is_hub)
        content = (loads, self._can_read, self._own_version, own_read.version,
                   snapshot and own_read.entries_s)
        is_changed = is_hub or content != self._last_sent_content
        if not edge_peers.is_digest_due(is_changed, self._last_sent_s, now_s):
            return {}
        self._last_sent_content, self._last_sent_s = content, now_s
        digest = edge_peers.Digest(self._name, self._address, self._can_read,
                                   loads, snapshot, is_hub, self._own_version,
                                   demands)
        outdated = self._select_outdated_peers(snapshot, receivers, now_s)
        if not is_hub and not outdated:
            data = edge_peers.encode(digest)
            return {address: data for address in receivers.values()}
        totals = None
        if is_hub:
            totals = edge_peers.sum_loads(state, loads, demands, now_s)
        return {
            address:
                edge_peers.encode(
                    self._digest_for_peer(digest, name, name in outdated,
                                          totals, now_s))
            for name, address in receivers.items()
        }

    def _select_outdated_peers(self, snapshot: edge_peers.StoreSnapshot | None,
                               receivers: collections.abc.Iterable[str],
                               now_s: float) -> frozenset[str]:
        """Returns the peers to which the configuration is sent now."""
        if snapshot is None:
            return frozenset()
        version = self._own_read.version
        with self._lock:
            names = frozenset(receivers).intersection(
                edge_peers.outdated_peers(self._state, version, now_s))
            self._state = edge_peers.record_sent_configuration(
                self._state, names, version, now_s)
        return names

    def _digest_for_peer(self, digest: edge_peers.Digest, name: str,
                         is_outdated: bool, totals: edge_peers.Totals | None,
                         now_s: float) -> edge_peers.Digest:
        if totals is not None:
            loads, demands = edge_peers.loads_of_others(self._state, totals,
                                                        name, now_s)
            digest = msgspec.structs.replace(digest,
                                             loads=loads,
                                             demands=demands)
        if is_outdated:
            snapshot = msgspec.structs.replace(
                digest.news, configuration=self._own_read.configuration)
            digest = msgspec.structs.replace(digest, news=snapshot)
        return digest

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
        if (not self._can_read or
                now_s - own_read.entries_s > _MAX_TARGETS_AGE_S or
                not edge_peers.is_reader(state, self._name, now_s)):
            return None
        return edge_peers.StoreSnapshot(now_s - own_read.entries_s,
                                        own_read.entries, own_read.version,
                                        now_s - own_read.version_s)


def _decompress(data: bytes) -> bytes:
    """Returns the stored form of a configuration; empty bytes stay empty.

    Raises:
        zlib.error: The data is not a compressed configuration.
    """
    if not data:
        return b""
    return zlib.decompressobj().decompress(data, _MAX_CONFIGURATION_BYTES)


def _loads_and_demands(
    state: scheduler.State, now_s: float
) -> tuple[tuple[events.TargetLoad, ...], tuple[events.Demand, ...]]:
    return scheduler.own_loads(state), scheduler.own_demands(state, now_s)
