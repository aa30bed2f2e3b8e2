"""Digests that edge daemons exchange: their loads and store snapshots.

Each daemon sends a digest to all others. It holds the work that the daemon has
on each target and, if the daemon is the reader, the registered targets as it
read them and the version of the configuration. One daemon reads for all, so
that the calls to the store do not grow with the number of daemons. The reader
is the first by name of the daemons whose digests arrived recently and whose own
reads succeed; a daemon without a fresh snapshot reads by itself. A daemon that
reports an older version of the configuration is sent the newer one with the
snapshot; see `persimmonspan.process.configuration_exchange`.

What a digest tells was true when it was composed, and it may have waited in a
link since. It therefore says which digest of the receiver its sender had, and
for how long; the receiver counts from the time at which it sent that one.

Targets change far less often than digests are sent. A digest therefore holds
the registered targets only for daemons that report another id of them than the
reader's; the others learn from the id that what they hold is still current.

If there are few daemons, each sends its digests to all others. If there are
many, the reader is also the hub: all send to it, and it sends all the same sum
of the loads, encoded once, so that its work for each daemon is small. The sum
contains the receiver's own loads, which the receiver subtracts: the digest says
which of the receiver's digests was counted. A daemon that receives nothing from
a hub sends to the first by name of the recorded daemons. The longer it receives
nothing, the more of them it sends to; it acts as the hub itself once these
would be all before it.

Daemons find each other through rows of the store: each writes one at its start,
and reads all rows then and at intervals. A digest from an unrecorded daemon
records it too.

`State` and the functions on it are pure.
"""

import hashlib
import math
import typing

import immutables
import msgspec

from persimmonspan import decoding
from persimmonspan.process import confirmations
from persimmonspan.process import departures
from persimmonspan.process import directory
from persimmonspan.process import evacuated_set
from persimmonspan.process import load_totals
from persimmonspan.process import load_view
from persimmonspan.process import quarantine_reports
from persimmonspan.process import stale_entries
from persimmonspan.process import target_speeds
from persimmonspan.request import events
from persimmonspan.request import rate_limits

# Several digests may be lost or late before a daemon counts as gone.
PEER_SILENCE_TIMEOUT_S = 1.5
# Longer than the time between two reads of the rows of all daemons.
_PEER_EXPIRY_S = 100.0
_DIGEST_INTERVAL_S = 0.1
_HUB_DIGEST_INTERVAL_S = 0.2
# Number of daemons that one without a hub sends to at first; it doubles after
# each `PEER_SILENCE_TIMEOUT_S` without a digest of a hub.
_INITIAL_HUB_CANDIDATES = 2
# So many daemons, the first by name, try at once to take the place of a hub
# that cannot read; the others wait for one of them before they read themselves.
_EARLY_DAEMONS = 8
# With more peers, digests go through a hub.
MAX_DIRECT_PEERS = 15
_LAST_NAME = "\U0010ffff"  # Comes after all names of daemons.
# Name under which the sum of the loads of all other daemons is recorded.
OTHERS = "others"
# Share of the link of a daemon that its digests take at most; the rest is for
# callers. The interval stays below the silence of a peer.
_MAX_LINK_SHARE = 0.5
_MAX_DIGEST_INTERVAL_S = 1.0
# Interval at which an unchanged digest is sent again.
_UNCHANGED_DIGEST_INTERVAL_S = 0.5


class StoreSnapshot(msgspec.Struct, array_like=True):
    """Targets and configuration as the reader read them from the store.

    `age_s` is the time since the read of the entries began;
    `configuration_age_s` is the time since the read of the configuration's
    version began. `entries` is None for a daemon that reported `entries_id`.
    `known_age_s` is the time since the daemon first knew targets.
    """

    age_s: float
    entries: tuple[directory.Registration, ...] | None
    configuration_version: int
    configuration_age_s: float
    configuration: bytes = b""  # Compressed; empty for daemons that have it.
    entries_id: int = 0
    era: int = 0  # Of the store when the entries were read; 0 if not told.
    known_age_s: float = math.inf
    # Names of the entries that were missing, and lapsed for the reader only.
    expired: tuple[str, ...] = ()


class Digest(msgspec.Struct, array_like=True):
    """Message that a daemon sends to all others or through the hub."""

    name: str
    address: str
    can_read: bool
    loads: tuple[events.TargetLoad, ...]
    news: StoreSnapshot | None = None
    is_sum: bool = False  # Whether a hub sent it, with `totals`.
    version: int = 0  # Of the configuration in force at the daemon.
    demands: tuple[events.Demand, ...] = ()
    number: int = 0  # Increases with each digest of a daemon.
    entries_id: int = 0  # Of the targets in force at the daemon.
    totals: bytes = b""  # Loads and demands of all daemons, encoded.
    counted_number: int = 0  # The receiver's digest that the totals contain.
    reports: tuple[quarantine_reports.NumberedReport, ...] = ()
    rates: tuple[rate_limits.Answer, ...] = ()
    # Whether the receiver is to send its configuration, as it is newer.
    wants_configuration: bool = False
    configuration: bytes = b""  # Of `version`, if the receiver wanted it.
    # Targets that leave according to their answers.
    leaving: tuple[departures.Departure, ...] = ()
    # What a reader that has just started does not know.
    stale: stale_entries.StaleEntries | None = None
    counted_age_s: float = 0.0  # Since the receiver's digest arrived.
    # Not in the snapshot, which a reader without fresh targets does not send.
    evacuations: evacuated_set.State | None = None
    # When the sender's targets were confirmed without a gap.
    confirmed: confirmations.Ages = confirmations.Ages()
    speeds: tuple[events.TargetSpeed, ...] = ()  # As the daemon measured them.


_encoder = msgspec.msgpack.Encoder()
_decoder = decoding.MsgpackDecoder(Digest)


class Peer(typing.NamedTuple):
    """A recorded daemon; `loads` are kept for the sums of a hub."""

    address: str
    last_received_s: float
    last_seen_s: float
    can_read: bool
    loads: tuple[events.TargetLoad, ...] = ()
    demands: tuple[events.Demand, ...] = ()
    number: int = 0
    entries_id: int = 0
    version: int = 0
    sent_version: int = 0
    sent_s: float = -math.inf  # When that version was sent.
    asked_s: float = -math.inf  # When it was asked for its configuration.
    sums_received_s: float = -math.inf  # Last digest that it sent as the hub.
    confirmed: confirmations.Span = confirmations.Span()
    speeds: tuple[events.TargetSpeed, ...] = ()


class State(typing.NamedTuple):
    """Daemons by name, and the times of the last snapshot and hub digest.

    `snapshot_s` and `configuration_s` are the times of the reads, not of the
    arrivals. `can_read` says whether this daemon's last read succeeded, `name`
    is its name.
    """

    peers: immutables.Map[str, Peer] = immutables.Map()
    snapshot_s: float = -math.inf  # Age subtracted.
    configuration_s: float = -math.inf
    hub_received_s: float = 0.0  # Last digest of a hub, or the start.
    can_read: bool = True
    name: str = ""
    era: int = 0  # Newest era of the store that this daemon knows.
    confirmed: confirmations.Span = confirmations.Span()  # The own targets.


def encode(digest: Digest) -> bytes:
    """Returns an encoded digest."""
    return _encoder.encode(digest)


def decode(data: bytes) -> Digest:
    """Returns a decoded digest.

    Raises:
        msgspec.DecodeError: The bytes are not a digest.
    """
    return _decoder.decode(data)


def identify_entries(
    entries: typing.Iterable[directory.Registration],
    expired: typing.Iterable[str] = ()
) -> int:
    """Returns an id that differs for different registered targets.

    It also differs if other targets have expired.

    >>> one = directory.Registration("a", "s", "10.0.0.1:80", "d", 1)
    >>> other = one._replace(is_leaving=True)
    >>> identify_entries([one]) == identify_entries([other])
    False
    """
    names = sorted(expired)
    data = _encoder.encode(
        sorted(entries)) + (_encoder.encode(names) if names else b"")
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def merge_digest(state: State,
                 digest: Digest,
                 now_s: float,
                 read_s: float,
                 entries_id: int = 0,
                 composed_after_s: float | None = None) -> tuple[State, bool]:
    """Records a digest of a peer.

    Args:
        state: The state before the digest.
        digest: The digest.
        now_s: Time.
        read_s: When this daemon itself read the registered targets last.
        entries_id: Id of the registered targets in force at this daemon.
        composed_after_s: A time before the peer composed the digest, or minus
            infinity if none is known; the time of its arrival by default.

    Returns:
        The next state, and whether the digest holds registered targets that
        were read later than the recorded ones.
    """
    if composed_after_s is None:
        composed_after_s = now_s
    loads = () if digest.is_sum else digest.loads
    previous = state.peers.get(digest.name, Peer("", now_s, now_s, False))
    peer = previous._replace(
        address=digest.address,
        last_received_s=now_s,
        last_seen_s=now_s,
        can_read=digest.can_read,
        loads=loads,
        demands=() if digest.is_sum else digest.demands,
        speeds=() if digest.is_sum else digest.speeds,
        number=digest.number,
        entries_id=digest.entries_id,
        version=digest.version,
        sums_received_s=now_s if digest.is_sum else previous.sums_received_s,
        confirmed=confirmations.from_ages(digest.confirmed, now_s,
                                          composed_after_s))
    # A hub is to be replaced by a daemon of a better rank, such as one that can
    # read in place of one that cannot.
    is_usable_hub = digest.is_sum and _hub_rank(
        peer, digest.name) < (not state.can_read, state.name or _LAST_NAME)
    state = state._replace(
        peers=state.peers.set(digest.name, peer),
        hub_received_s=now_s if is_usable_hub else state.hub_received_s)
    news = digest.news
    if news is None or 0 < news.era < state.era:
        # Versions and entries of an earlier era confirm nothing.
        return state, False
    snapshot_s = composed_after_s - news.age_s
    if snapshot_s <= max(state.snapshot_s, read_s):
        return state, False
    if news.entries is None and news.entries_id != entries_id:
        # The targets in force changed after this daemon reported them.
        return state, False
    confirmed = confirmations.confirm(state.confirmed, snapshot_s)
    return state._replace(snapshot_s=snapshot_s,
                          confirmed=confirmed), news.entries is not None


def confirm_configuration(state: State, news: StoreSnapshot, version: int,
                          composed_after_s: float) -> State:
    """Records that the configuration in force is, or lately was, the newest.

    Args:
        state: The state before.
        news: What a peer read.
        version: Version of the configuration in force at this daemon.
        composed_after_s: A time before the peer composed the digest.

    >>> news = StoreSnapshot(0.0, None, 3, 0.5)
    >>> confirm_configuration(State(), news, 3, 10.0).configuration_s
    9.5
    >>> confirm_configuration(State(), news, 2, 10.0).configuration_s
    -inf
    """
    if news.configuration_version > version or 0 < news.era < state.era:
        return state
    return state._replace(
        configuration_s=max(state.configuration_s, composed_after_s -
                            news.configuration_age_s))


def add_peer_address(state: State, name: str, address: str,
                     now_s: float) -> State:
    """Records the address of a daemon from its row in the store."""
    previous = state.peers.get(name)
    if previous is not None and previous.address == address:
        peer = previous._replace(last_seen_s=now_s)
    else:
        peer = Peer(address, -math.inf, now_s, False)
    return state._replace(peers=state.peers.set(name, peer))


def expire_peers(state: State, now_s: float) -> State:
    """Drops daemons of which no digest or row was seen recently."""
    gone = [
        name for name, peer in state.peers.items()
        if now_s - peer.last_seen_s > _PEER_EXPIRY_S
    ]
    peers = state.peers
    for name in gone:
        peers = peers.delete(name)
    return state._replace(peers=peers)


def select_reader(state: State, name: str, now_s: float) -> str:
    """Returns the name of the daemon that reads for all, as `name` sees it.

    >>> def after(digest):
    ...     return merge_digest(State(), digest, 0.0, 0.0)[0]
    >>> select_reader(after(Digest("a", "", True, ())), "b", 0.1)
    'a'
    >>> select_reader(after(Digest("a", "", False, ())), "b", 0.1)
    'b'
    """
    return min([
        name, *(other for other, peer in state.peers.items()
                if peer.can_read and now_s -
                peer.last_received_s <= PEER_SILENCE_TIMEOUT_S)
    ])


def is_reader(state: State, name: str, now_s: float) -> bool:
    """Returns whether a daemon, which can read the store, reads for all."""
    if has_hub(state):
        return is_hub(state, name, now_s)
    return select_reader(state, name, now_s) == name


def has_hub(state: State) -> bool:
    """Returns whether digests go through a hub."""
    return len(state.peers) > MAX_DIRECT_PEERS


def is_hub(state: State, name: str, now_s: float) -> bool:
    """Returns whether a daemon sends the others the sums of their loads.

    Through an outage of the store the hub stays, though it cannot read. If each
    daemon that hears of no reader took its place, all would send to all.
    """
    if not has_hub(state) or select_reader(state, name, now_s) != name:
        return False
    other = find_hub(state, now_s)
    if other is not None and _hub_rank(state.peers[other],
                                       other) < (not state.can_read, name):
        return False
    return not _hub_candidates(state, name, now_s)


def find_hub(state: State, now_s: float) -> str | None:
    """Returns the daemon that sends sums, the best if several do."""
    ranked = [
        _hub_rank(peer, other)
        for other, peer in state.peers.items()
        if now_s - peer.sums_received_s <= PEER_SILENCE_TIMEOUT_S
    ]
    return min(ranked)[1] if ranked else None


def _hub_rank(peer: Peer, name: str) -> tuple[bool, str]:
    """Returns the rank of a hub; one that can read comes first."""
    return not peer.can_read, name


def hears_nobody(state: State, now_s: float) -> bool:
    """Returns whether no other daemon sends digests here.

    It may be the only one. It may also not know the others, since it read their
    addresses before they were written.
    """
    return all(now_s - peer.last_received_s > PEER_SILENCE_TIMEOUT_S
               for peer in state.peers.values())


def is_early(state: State, name: str) -> bool:
    """Returns whether a daemon is among the first to take the hub's place."""
    return sum(other < name for other in state.peers) < _EARLY_DAEMONS


def select_receivers(state: State, name: str, now_s: float) -> dict[str, str]:
    """Returns the addresses of the daemons to send digests to, by name."""
    hub = select_reader(state, name, now_s)
    if not has_hub(state) or is_hub(state, name, now_s):
        names: typing.Iterable[str] = state.peers
    elif hub != name:
        names = (hub,)
    else:
        names = _hub_candidates(state, name, now_s)
        other = find_hub(state, now_s)
        if other is not None:
            # It cannot read, but it still tells the loads of all.
            names = {other, *names[:_INITIAL_HUB_CANDIDATES]}
    return {other: state.peers[other].address for other in names}


def _hub_candidates(state: State, name: str, now_s: float) -> tuple[str, ...]:
    """Returns which of the daemons before `name`, by name, may be the hub.

    The result is empty if the daemon is to act as the hub itself.
    """
    silences = max(0,
                   int((now_s - state.hub_received_s) / PEER_SILENCE_TIMEOUT_S))
    count = _INITIAL_HUB_CANDIDATES * 2**min(silences, 16)
    before = sorted(
        other for other, peer in state.peers.items()
        if other < name and (peer.can_read or now_s -
                             peer.last_received_s > PEER_SILENCE_TIMEOUT_S))
    return tuple(before[:count]) if len(before) > count or not silences else ()


def peers_without_entries(state: State, entries_id: int) -> frozenset[str]:
    """Returns the daemons that need to be sent the registered targets."""
    return frozenset(name for name, peer in state.peers.items()
                     if peer.entries_id != entries_id)


def sum_loads(
    state: State,
    loads: typing.Iterable[events.TargetLoad],
    demands: typing.Iterable[events.Demand],
    now_s: float,
    speeds: tuple[events.TargetSpeed, ...] = ()
) -> load_totals.Totals:
    """Sums loads and demands over this daemon and the peers not silent.

    The speeds are the least times per token of all.
    """
    present = [
        peer for peer in state.peers.values()
        if now_s - peer.last_received_s <= PEER_SILENCE_TIMEOUT_S
    ]
    sums = load_totals.Totals({load.target: load for load in loads},
                              {demand.service: demand for demand in demands},
                              target_speeds.merge_speeds(
                                  [speeds, *(peer.speeds for peer in present)]))
    for peer in present:
        for load in peer.loads:
            before = sums.loads.get(load.target)
            sums.loads[load.target] = (load if before is None else
                                       load_view.add_loads(before, load))
        for demand in peer.demands:
            previous = sums.demands.get(demand.service)
            sums.demands[
                demand.service] = demand if previous is None else events.Demand(
                    demand.service, previous.starts_per_s +
                    demand.starts_per_s, previous.waiting + demand.waiting)
    return sums


def counted_digest(state: State, receiver: str,
                   now_s: float) -> tuple[int, float]:
    """Returns which digest of a daemon is in the sums, and its age.

    The number is 0 if none is. The age is counted from the arrival.
    """
    peer = state.peers[receiver]
    age_s = now_s - peer.last_received_s
    return (peer.number, age_s) if age_s <= PEER_SILENCE_TIMEOUT_S else (0, 0.0)


def interval_s(state: State,
               sent_bytes: int = 0,
               link_bits_per_s: float = math.inf) -> float:
    """Returns the time between two digests.

    It is longer if the digests would wait in the link of this daemon. The load:
    a hub of 195 daemons whose link takes 20 Mbit/s.

    Args:
        state: The recorded daemons.
        sent_bytes: Size of the last digests, for all receivers together.
        link_bits_per_s: Speed of the link of this daemon.

    >>> interval_s(State(), 400_000, 20e6)
    0.32
    """
    usual_s = _HUB_DIGEST_INTERVAL_S if has_hub(state) else _DIGEST_INTERVAL_S
    needed_s = 8 * sent_bytes / (link_bits_per_s * _MAX_LINK_SHARE)
    return max(usual_s, min(_MAX_DIGEST_INTERVAL_S, needed_s))


def is_digest_due(is_changed: bool, sent_s: float, now_s: float) -> bool:
    """Returns whether a digest is to be sent now."""
    return is_changed or now_s - sent_s >= _UNCHANGED_DIGEST_INTERVAL_S


def to_peer_load(
    digest: Digest, own_parts: typing.Mapping[int,
                                              tuple[tuple[events.TargetLoad,
                                                          ...],
                                                    tuple[events.Demand, ...]]]
) -> events.PeerLoad:
    """Returns the load of peers on the targets, for the scheduler.

    Args:
        digest: Digest of one peer or of a hub.
        own_parts: Loads and demands of this daemon by the number of the digest
            in which it sent them.

    Raises:
        msgspec.DecodeError: The totals of a hub cannot be decoded.
        zlib.error: The totals of a hub cannot be decompressed.
    """
    if not digest.is_sum:
        return events.PeerLoad(digest.name,
                               digest.loads,
                               digest.demands,
                               speeds=digest.speeds)
    # A digest that is not remembered was sent before a restart of this daemon:
    # its work ended with the process.
    own_loads, own_demands = own_parts.get(digest.counted_number, ((), ()))
    totals = load_totals.decode(digest.totals)
    loads, demands = load_totals.without_part(totals, own_loads, own_demands)
    return events.PeerLoad(OTHERS, loads, demands, True, totals.speeds)
