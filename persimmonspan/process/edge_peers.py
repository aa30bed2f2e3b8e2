"""What edge daemons tell each other: loads, and what they read of the store.

Each daemon sends a digest to all others: the work that it has on each target,
and, if it is the reader, the registered targets as it read them and the version
of the configuration. One daemon reads for all, so that the calls to the store
do not grow with the number of daemons. The reader is the first by name of the
daemons that were heard of late and whose own reads succeed; a daemon that has
no fresh news reads by itself. A daemon that tells an older version of the
configuration is sent the newer one with the news.

Few daemons send their digests to all others. Among many the reader is also the
hub: all send to it, and it sends each the sum of what the others have, so that
the messages grow with the number of daemons and not with its square. A daemon
that hears no hub sends to the first by name of those that it knows, to more of
them the longer it hears none, and acts as the hub itself once these are all.

Daemons find each other through rows of the store: each writes one at its start
and reads all rows then and now and again. A digest from an unknown daemon makes
it known too.

`State` and the functions on it are pure.
"""

import math
import typing

import immutables
import msgspec

from persimmonspan.process import directory
from persimmonspan.process import load_view
from persimmonspan.request import events

# Several digests may be lost or late before a daemon counts as gone.
_PEER_SILENCE_TIMEOUT_S = 1.5
# Longer than the time between two reads of the rows of all daemons.
_PEER_EXPIRY_S = 100.0
_DIGEST_INTERVAL_S = 0.1
_HUB_DIGEST_INTERVAL_S = 0.2
# Daemons that one without a hub sends to at first; twice as many after each
# time in which a hub would have been heard.
_INITIAL_HUB_CANDIDATES = 2
# The configuration is sent again to a daemon that still tells an older one; a
# digest takes less than this there and back.
_CONFIGURATION_RESEND_S = 0.5
# Up to as many peers, digests go to all.
_MAX_DIRECT_PEERS = 15
# Name under which the loads of all other daemons are known together.
OTHERS = "others"
# An unchanged digest is sent this often.
_UNCHANGED_DIGEST_INTERVAL_S = 0.5


class StoreSnapshot(msgspec.Struct, array_like=True):
    """What the reader read of the store.

    `age_s` is the time since the read of `entries` began;
    `configuration_age_s` is that of the configuration's version.
    """

    age_s: float
    entries: tuple[directory.Registration, ...]
    configuration_version: int
    configuration_age_s: float
    configuration: bytes = b""  # Compressed; empty for daemons that have it.


class Digest(msgspec.Struct, array_like=True):
    """What a daemon sends to all others."""

    name: str
    address: str
    can_read: bool
    loads: tuple[events.TargetLoad, ...]
    news: StoreSnapshot | None = None
    is_sum: bool = False  # Whether the loads are those of all other daemons.
    version: int = 0  # Of the configuration that the daemon has in force.
    demands: tuple[events.Demand, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Digest)


class Peer(typing.NamedTuple):
    """A daemon that is known; `loads` are kept for the sums of a hub."""

    address: str
    last_received_s: float
    last_seen_s: float
    can_read: bool
    loads: tuple[events.TargetLoad, ...] = ()
    demands: tuple[events.Demand, ...] = ()
    version: int = 0
    sent_version: int = 0
    sent_s: float = -math.inf  # When that version was sent.


class State(typing.NamedTuple):
    """Daemons by name, and when fresh news came last."""

    peers: immutables.Map[str, Peer] = immutables.Map()
    snapshot_s: float = -math.inf  # Age taken off.
    configuration_s: float = -math.inf
    hub_received_s: float = 0.0  # When a hub was heard last, or this daemon started.


def encode(digest: Digest) -> bytes:
    """Returns a digest as bytes."""
    return _encoder.encode(digest)


def decode(data: bytes) -> Digest:
    """Returns a digest from bytes.

    Raises:
        msgspec.DecodeError: The bytes are no digest.
    """
    return _decoder.decode(data)


def merge_digest(state: State, digest: Digest, now_s: float,
          read_s: float) -> tuple[State, bool]:
    """Takes a digest of a peer.

    Args:
        state: What was heard before.
        digest: The digest.
        now_s: Time.
        read_s: When this daemon itself read the registered targets last.

    Returns:
        The next state, and whether the digest brings registered targets that
        were read later than those that are known.
    """
    loads = () if digest.is_sum else digest.loads
    known = state.peers.get(digest.name, Peer("", now_s, now_s, False))
    peer = known._replace(address=digest.address,
                          last_received_s=now_s,
                          last_seen_s=now_s,
                          can_read=digest.can_read,
                          loads=loads,
                          demands=() if digest.is_sum else digest.demands,
                          version=digest.version)
    is_usable_hub = digest.is_sum and digest.can_read
    state = state._replace(peers=state.peers.set(digest.name, peer),
                           hub_received_s=now_s if is_usable_hub else state.hub_received_s)
    if digest.news is None:
        return state, False
    news_s = now_s - digest.news.age_s
    is_newer = news_s > max(state.snapshot_s, read_s)
    return state._replace(
        snapshot_s=max(state.snapshot_s, news_s),
        configuration_s=max(state.configuration_s,
                            now_s - digest.news.configuration_age_s)), is_newer


def add_peer_address(state: State, name: str, address: str, now_s: float) -> State:
    """Takes a daemon that is known from its row only."""
    known = state.peers.get(name)
    if known is not None and known.address == address:
        peer = known._replace(last_seen_s=now_s)
    else:
        peer = Peer(address, -math.inf, now_s, False)
    return state._replace(peers=state.peers.set(name, peer))


def expire_peers(state: State, now_s: float) -> State:
    """Drops daemons that were not known of for long."""
    gone = [
        name for name, peer in state.peers.items()
        if now_s - peer.last_seen_s > _PEER_EXPIRY_S
    ]
    peers = state.peers
    for name in gone:
        peers = peers.delete(name)
    return state._replace(peers=peers)


def select_reader(state: State, name: str, now_s: float) -> str:
    """Returns the daemon that reads for all, as a daemon sees it.

    >>> def after(digest):
    ...     return heard(State(), digest, 0.0, 0.0)[0]
    >>> reader(after(Digest("a", "", True, ())), "b", 0.1)
    'a'
    >>> reader(after(Digest("a", "", False, ())), "b", 0.1)
    'b'
    """
    return min([
        name, *(other for other, peer in state.peers.items()
                if peer.can_read and now_s - peer.last_received_s <= _PEER_SILENCE_TIMEOUT_S)
    ])


def is_reader(state: State, name: str, now_s: float) -> bool:
    """Returns whether a daemon, which can read the store, reads for all."""
    return (select_reader(state, name, now_s) == name and
            not (has_hub(state) and _hub_candidates(state, name, now_s)))


def has_hub(state: State) -> bool:
    """Returns whether digests go through a hub."""
    return len(state.peers) > _MAX_DIRECT_PEERS


def is_hub(state: State, name: str, now_s: float) -> bool:
    """Returns whether a daemon tells the others the sums of their loads."""
    return has_hub(state) and is_reader(state, name, now_s)


def select_receivers(state: State, name: str, now_s: float) -> dict[str, str]:
    """Returns the addresses of the daemons to send digests to, by name."""
    hub = select_reader(state, name, now_s)
    if not has_hub(state):
        names: typing.Iterable[str] = state.peers
    elif hub != name:
        names = (hub,)
    else:
        names = _hub_candidates(state, name, now_s) or state.peers
    return {other: state.peers[other].address for other in names}


def _hub_candidates(state: State, name: str, now_s: float) -> tuple[str, ...]:
    """Returns which of the daemons that come before may be the hub.

    None are left for a daemon that is to act as the hub itself.
    """
    silences = max(0, int((now_s - state.hub_received_s) / _PEER_SILENCE_TIMEOUT_S))
    count = _INITIAL_HUB_CANDIDATES * 2**min(silences, 16)
    before = sorted(
        other for other, peer in state.peers.items()
        if other < name and (peer.can_read or now_s - peer.last_received_s > _PEER_SILENCE_TIMEOUT_S))
    return tuple(before[:count]) if len(before) > count or not silences else ()


def outdated_peers(state: State, version: int, now_s: float) -> list[str]:
    """Returns the daemons that are to be sent a version of the configuration.

    >>> digest = Digest("a", "", True, (), version=3)
    >>> state, _ = heard(State(), digest, 0.0, 0.0)
    >>> outdated(state, 4, 0.1)
    ['a']
    >>> outdated(sent(state, ["a"], 4, 0.1), 4, 0.2)
    []
    """
    return [
        name for name, peer in state.peers.items()
        if peer.version < version and now_s - peer.last_received_s <= _PEER_SILENCE_TIMEOUT_S and
        (peer.sent_version < version or now_s - peer.sent_s > _CONFIGURATION_RESEND_S)
    ]


def record_sent_configuration(state: State, names: typing.Iterable[str], version: int,
         now_s: float) -> State:
    """Notes that daemons were sent a version of the configuration."""
    peers = state.peers
    for name in names:
        peers = peers.set(
            name, peers[name]._replace(sent_version=version, sent_s=now_s))
    return state._replace(peers=peers)


class Totals(typing.NamedTuple):
    """What all daemons have together, by target and by service."""

    loads: dict[str, events.TargetLoad]
    demands: dict[str, events.Demand]


def sum_loads(state: State, loads: typing.Iterable[events.TargetLoad],
           demands: typing.Iterable[events.Demand], now_s: float) -> Totals:
    """Returns what this daemon and all that were heard of late have."""
    sums = Totals({load.target: load for load in loads},
                  {demand.service: demand for demand in demands})
    for peer in state.peers.values():
        if now_s - peer.last_received_s > _PEER_SILENCE_TIMEOUT_S:
            continue
        for load in peer.loads:
            before = sums.loads.get(load.target)
            sums.loads[load.target] = (load if before is None else
                                       load_view.add_loads(before, load))
        for demand in peer.demands:
            known = sums.demands.get(demand.service)
            sums.demands[
                demand.service] = demand if known is None else events.Demand(
                    demand.service, known.starts_per_s +
                    demand.starts_per_s, known.waiting + demand.waiting)
    return sums


def loads_of_others(
    state: State, sums: Totals, receiver: str, now_s: float
) -> tuple[tuple[events.TargetLoad, ...], tuple[events.Demand, ...]]:
    """Returns what all daemons but one have, as a hub tells it that one."""
    peer = state.peers[receiver]
    is_counted = now_s - peer.last_received_s <= _PEER_SILENCE_TIMEOUT_S
    own_loads = peer.loads if is_counted else ()
    own_demands = peer.demands if is_counted else ()
    loads = dict(sums.loads)
    for load in own_loads:
        rest = load_view.subtract_loads(loads[load.target], load)
        if rest.outstanding or rest.copy_tokens:
            loads[load.target] = rest
        else:
            del loads[load.target]
    demands = dict(sums.demands)
    for demand in own_demands:
        total = demands[demand.service]
        demands[demand.service] = events.Demand(
            demand.service, round(total.starts_per_s - demand.starts_per_s, 1),
            total.waiting - demand.waiting)
    return tuple(loads.values()), tuple(demands.values())


def interval_s(state: State) -> float:
    """Returns the time between two digests."""
    return _HUB_DIGEST_INTERVAL_S if has_hub(state) else _DIGEST_INTERVAL_S


def is_due(is_changed: bool, sent_s: float, now_s: float) -> bool:
    """Returns whether a digest is sent now."""
    return is_changed or now_s - sent_s >= _UNCHANGED_DIGEST_INTERVAL_S


def to_peer_load(digest: Digest) -> events.PeerLoad:
    """Returns what a peer has on the targets, for the scheduler."""
    return events.PeerLoad(OTHERS if digest.is_sum else digest.name,
                           digest.loads, digest.demands, digest.is_sum)
