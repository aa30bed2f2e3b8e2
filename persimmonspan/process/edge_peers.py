"""What edge daemons tell each other: loads, and what they read of the store.

Each daemon sends a digest to all others: the work that it has on each target,
and, if it is the reader, the registered targets as it read them and the version
of the configuration. One daemon reads for all, so that the calls to the store
do not grow with the number of daemons. The reader is the first by name of the
daemons that were heard of late and whose own reads succeed; a daemon that has
no fresh news reads by itself.

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
from persimmonspan.request import events

# Several digests may be lost or late before a daemon counts as gone.
_SILENT_S = 1.5
_FORGOTTEN_S = 6.0
# Interval between digests: the fewest, and more with the number of daemons, so
# that the messages that a daemon handles in a second stay bounded.
_LEAST_INTERVAL_S = 0.1
_INTERVAL_PER_PEER_S = 0.005
# An unchanged digest is sent this often.
_UNCHANGED_INTERVAL_S = 0.5


class Load(msgspec.Struct, array_like=True):
    """Work on one target, see `events.TargetLoad`."""

    target: str
    outstanding: int
    predicted_tokens: int
    profile_tokens: tuple[int, ...] = ()
    deviation_tokens: int = 0
    copy_tokens: int = 0
    prefill_tokens: int = 0


class Entry(msgspec.Struct, array_like=True):
    """A registered target, see `directory.Registration`."""

    name: str
    service: str
    address: str
    failure_domain: str
    max_running: int
    is_leaving: bool
    incarnation: int
    slow_start_s: float


class News(msgspec.Struct, array_like=True):
    """What the reader read of the store.

    `age_s` is the time since the read of `entries` began;
    `configuration_age_s` is that of the configuration's version.
    """

    age_s: float
    entries: tuple[Entry, ...]
    configuration_version: int
    configuration_age_s: float


class Digest(msgspec.Struct, array_like=True):
    """What a daemon sends to all others."""

    name: str
    address: str
    can_read: bool
    loads: list[Load]
    news: News | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Digest)


class Peer(typing.NamedTuple):
    """A daemon that was heard of."""

    address: str
    heard_s: float
    can_read: bool


class State(typing.NamedTuple):
    """Daemons by name, and when fresh news came last."""

    peers: immutables.Map[str, Peer] = immutables.Map()
    news_s: float = -math.inf  # Age taken off.
    configuration_s: float = -math.inf


def encode(digest: Digest) -> bytes:
    """Returns a digest as bytes."""
    return _encoder.encode(digest)


def decode(data: bytes) -> Digest:
    """Returns a digest from bytes.

    Raises:
        msgspec.DecodeError: The bytes are no digest.
    """
    return _decoder.decode(data)


def heard(state: State, digest: Digest, now_s: float,
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
    peer = Peer(digest.address, now_s, digest.can_read)
    state = state._replace(peers=state.peers.set(digest.name, peer))
    if digest.news is None:
        return state, False
    news_s = now_s - digest.news.age_s
    is_newer = news_s > max(state.news_s, read_s)
    return state._replace(
        news_s=max(state.news_s, news_s),
        configuration_s=max(state.configuration_s,
                            now_s - digest.news.configuration_age_s)), is_newer


def introduced(state: State, name: str, address: str, now_s: float) -> State:
    """Takes a daemon that is known from its row only."""
    known = state.peers.get(name)
    if known is not None and known.address == address:
        return state
    return state._replace(
        peers=state.peers.set(name, Peer(address, now_s - _SILENT_S, False)))


def forget(state: State, now_s: float) -> State:
    """Drops daemons that were not heard of for long."""
    gone = [
        name for name, peer in state.peers.items()
        if now_s - peer.heard_s > _FORGOTTEN_S
    ]
    peers = state.peers
    for name in gone:
        peers = peers.delete(name)
    return state._replace(peers=peers)


def is_reader(state: State, name: str, now_s: float) -> bool:
    """Returns whether a daemon, which can read the store, reads for all.

    >>> def after(digest):
    ...     return heard(State(), digest, 0.0, 0.0)[0]
    >>> is_reader(after(Digest("a", "", True, [])), "b", 0.1)
    False
    >>> is_reader(after(Digest("a", "", False, [])), "b", 0.1)
    True
    """
    return not any(
        peer.can_read and now_s - peer.heard_s <= _SILENT_S and other < name
        for other, peer in state.peers.items())


def interval_s(peers: int) -> float:
    """Returns the time between two digests among a number of daemons."""
    return max(_LEAST_INTERVAL_S, _INTERVAL_PER_PEER_S * peers)


def is_due(is_changed: bool, sent_s: float, now_s: float) -> bool:
    """Returns whether a digest is sent now."""
    return is_changed or now_s - sent_s >= _UNCHANGED_INTERVAL_S


def to_entries(state: directory.State) -> tuple[Entry, ...]:
    """Returns the registered targets in the form of a digest."""
    return tuple(
        Entry(*registration)
        for registration in (*state.present.values(), *state.lapsed.values()))


def to_registrations(
        entries: typing.Iterable[Entry]) -> list[directory.Registration]:
    """Returns the targets that a digest holds."""
    return [
        directory.Registration(*msgspec.structs.astuple(entry))
        for entry in entries
    ]


def to_loads(loads: typing.Iterable[events.TargetLoad]) -> list[Load]:
    """Returns loads in the form of a digest."""
    return [Load(*load) for load in loads]


def to_peer_load(digest: Digest) -> events.PeerLoad:
    """Returns what a peer has on the targets, for the scheduler."""
    return events.PeerLoad(
        digest.name,
        tuple(
            events.TargetLoad(*msgspec.structs.astuple(load))
            for load in digest.loads))
