"""Targets that are kept free to run one suspect request alone.

A reservation is made by the daemon that has the suspect, and shared, so that
its peers send nothing there either. It lasts until the target is idle, and at
most `DRAIN_S`; then the suspect runs. When the suspect is cleared, the target
stays open for another suspect for `OPEN_S`, because it is idle at that moment
and would have to be drained again.

Two daemons may reserve one target at once, mostly one that has just restarted
and is idle. Both keep the reservation whose fingerprint sorts first, so that
they agree without another message, and neither starts before `ANNOUNCE_S`.

>>> reserved = reserve(Reservations(), "f", "e1", 0.0)
>>> is_held(reserved, "e1", 1.0), is_held(reserved, "e2", 1.0)
(True, False)
>>> target_of(release(reserved, "f", 1.0), "f") is None
True

See Also:
    `persimmonspan.request.quarantine`: decides who is a suspect.
"""

import typing
import zlib

import immutables

from persimmonspan.request import events

OPEN_S = 0.5
ANNOUNCE_S = 0.5  # Until every peer has heard, even if the target is idle.
DRAIN_S = 10.0  # Then the suspect runs beside what is left on the target.
_PEER_LOAD_TTL_S = 5.0  # A peer that is gone has no work there.
_MARGIN_S = 5.0  # Until the scheduler sends the suspect, or a peer says so.


class Reservation(typing.NamedTuple):
    """For which suspect a target is kept free; an empty one for any."""

    fingerprint: str
    since_s: float
    is_peers: bool = False
    is_shared: bool = False
    is_running: bool = False


class PeerLoads(typing.NamedTuple):
    """What a peer last said that it has outstanding per target."""

    at_s: float
    outstanding: immutables.Map[str, int]


Reservations = immutables.Map[str, Reservation]
Peers = immutables.Map[str, PeerLoads]


def reserve(reserved: Reservations, fingerprint: str, target: str,
            now_s: float) -> Reservations:
    """Reserves a target; a repeated call changes nothing."""
    known = reserved.get(target)
    if known and known.fingerprint == fingerprint:
        return reserved
    return reserved.set(target, Reservation(fingerprint, now_s))


def reserved_by_peer(reserved: Reservations, fingerprint: str, target: str,
                     now_s: float) -> Reservations:
    """Takes over what a peer reserved, unless this daemon goes first."""
    known = reserved.get(target)
    if (known and known.fingerprint and not known.is_peers and
        (known.is_running or known.fingerprint < fingerprint)):
        return reserved
    return reserved.set(target, Reservation(fingerprint, now_s, is_peers=True))


def started(reserved: Reservations, fingerprint: str,
            target: str) -> Reservations:
    """Notes that the suspect runs; from now on its run keeps others off."""
    known = reserved.get(target)
    if known is None or known.fingerprint != fingerprint:
        return reserved
    return reserved.set(target, known._replace(is_running=True))


def release(reserved: Reservations,
            fingerprint: str,
            open_at_s: float | None = None) -> Reservations:
    """Ends the reservations for a fingerprint, or opens them to any suspect."""
    for target, known in reserved.items():
        if known.fingerprint == fingerprint:
            reserved = reserved.delete(target)
            if open_at_s is not None:
                reserved = reserved.set(
                    target, Reservation("", open_at_s, is_peers=True))
    return reserved


def expire(reserved: Reservations, now_s: float) -> Reservations:
    """Ends the reservations that are too old or whose suspect runs."""
    for target, known in reserved.items():
        if _is_over(known, now_s):
            reserved = reserved.delete(target)
    return reserved


def is_held(reserved: Reservations, target: str, now_s: float) -> bool:
    """Returns whether a target is kept free for a suspect."""
    known = reserved.get(target)
    return known is not None and not _is_over(known, now_s)


def is_open(reserved: Reservations, target: str) -> bool:
    """Returns whether a target is kept free for any suspect."""
    known = reserved.get(target)
    return known is not None and not known.fingerprint


def is_tried_by_peer(reserved: Reservations, fingerprint: str) -> bool:
    """Returns whether a peer keeps a target free for this fingerprint."""
    return any(known.is_peers and known.fingerprint == fingerprint
               for known in reserved.values())


def target_of(reserved: Reservations, fingerprint: str) -> str | None:
    """Returns the target that this daemon keeps free for a fingerprint."""
    for target, known in reserved.items():
        if known.fingerprint == fingerprint and not known.is_peers:
            return target
    return None


def unshared(reserved: Reservations) -> list[str]:
    """Returns the targets whose reservation no peer was told about."""
    return sorted(target for target, known in reserved.items()
                  if not known.is_peers and not known.is_shared)


def shared(reserved: Reservations) -> Reservations:
    """Notes that peers were told about all reservations."""
    for target in unshared(reserved):
        reserved = reserved.set(target,
                                reserved[target]._replace(is_shared=True))
    return reserved


def with_peer_load(peers: Peers, event: events.PeerLoad, now_s: float) -> Peers:
    """Returns the loads with what one peer said just now."""
    outstanding = immutables.Map(
        {load.target: load.outstanding for load in event.loads})
    return peers.set(event.daemon, PeerLoads(now_s, outstanding))


def peer_work(peers: Peers, target: str, now_s: float) -> int:
    """Returns how many requests of peers a target runs, as last heard."""
    return sum(
        loads.outstanding.get(target, 0)
        for loads in peers.values()
        if now_s - loads.at_s < _PEER_LOAD_TTL_S)


def rank(fingerprint: str, target: str) -> int:
    """Orders targets alike at all daemons that isolate a fingerprint."""
    return zlib.crc32(f"{fingerprint}/{target}".encode())


def _is_over(known: Reservation, now_s: float) -> bool:
    lasts_s = DRAIN_S + _MARGIN_S if known.fingerprint else OPEN_S
    return known.is_running or now_s - known.since_s >= lasts_s
