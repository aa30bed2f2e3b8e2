"""Targets that are kept free to run one suspect request alone.

A reservation is made by the daemon that has the suspect, and shared, so that
its peers send nothing there either. It lasts until the target is idle, and at
most `MAX_DRAIN_S`; then the suspect runs. When the suspect is cleared, the target
stays open for another suspect for `OPEN_RESERVATION_S`, because it is idle at that moment
and would have to be drained again.

Two daemons may reserve one target at once, mostly one that has just restarted
and is idle. Both keep the reservation whose fingerprint sorts first, so that
they agree without another message, and neither starts before `ANNOUNCEMENT_DELAY_S`.

>>> reservations = reserve(Reservations(), "f", "e1", 0.0)
>>> is_reserved(reservations, "e1", 1.0), is_reserved(reservations, "e2", 1.0)
(True, False)
>>> find_reserved_target(release(reservations, "f", 1.0), "f") is None
True

See Also:
    `persimmonspan.request.quarantine`: decides who is a suspect.
"""

import typing
import zlib

import immutables

from persimmonspan.request import events

OPEN_RESERVATION_S = 0.5
ANNOUNCEMENT_DELAY_S = 0.5  # Until every peer has heard, even if the target is idle.
MAX_DRAIN_S = 10.0  # Then the suspect runs beside what is left on the target.
_PEER_LOAD_TTL_S = 5.0  # A peer that is gone has no work there.
_DISPATCH_MARGIN_S = 5.0  # Until the scheduler sends the suspect, or a peer says so.


class Reservation(typing.NamedTuple):
    """For which suspect a target is kept free; an empty one for any."""

    fingerprint: str
    since_s: float
    is_from_peer: bool = False
    is_shared: bool = False
    is_running: bool = False


class PeerLoads(typing.NamedTuple):
    """What a peer last said that it has outstanding per target."""

    at_s: float
    outstanding: immutables.Map[str, int]


Reservations = immutables.Map[str, Reservation]
Peers = immutables.Map[str, PeerLoads]


def reserve(reservations: Reservations, fingerprint: str, target: str,
            now_s: float) -> Reservations:
    """Reserves a target; a repeated call changes nothing."""
    reservation = reservations.get(target)
    if reservation and reservation.fingerprint == fingerprint:
        return reservations
    return reservations.set(target, Reservation(fingerprint, now_s))


def adopt_peer_reservation(reservations: Reservations, fingerprint: str, target: str,
                     now_s: float) -> Reservations:
    """Takes over what a peer reserved, unless this daemon goes first."""
    reservation = reservations.get(target)
    if (reservation and reservation.fingerprint and not reservation.is_from_peer and
        (reservation.is_running or reservation.fingerprint < fingerprint)):
        return reservations
    return reservations.set(target, Reservation(fingerprint, now_s, is_from_peer=True))


def mark_running(reservations: Reservations, fingerprint: str,
            target: str) -> Reservations:
    """Notes that the suspect runs; from now on its run keeps others off."""
    reservation = reservations.get(target)
    if reservation is None or reservation.fingerprint != fingerprint:
        return reservations
    return reservations.set(target, reservation._replace(is_running=True))


def release(reservations: Reservations,
            fingerprint: str,
            open_at_s: float | None = None) -> Reservations:
    """Ends the reservations for a fingerprint, or opens them to any suspect."""
    for target, reservation in reservations.items():
        if reservation.fingerprint == fingerprint:
            reservations = reservations.delete(target)
            if open_at_s is not None:
                reservations = reservations.set(
                    target, Reservation("", open_at_s, is_from_peer=True))
    return reservations


def expire(reservations: Reservations, now_s: float) -> Reservations:
    """Ends the reservations that are too old or whose suspect runs."""
    for target, reservation in reservations.items():
        if _is_expired(reservation, now_s):
            reservations = reservations.delete(target)
    return reservations


def is_reserved(reservations: Reservations, target: str, now_s: float) -> bool:
    """Returns whether a target is kept free for a suspect."""
    reservation = reservations.get(target)
    return reservation is not None and not _is_expired(reservation, now_s)


def is_open(reservations: Reservations, target: str) -> bool:
    """Returns whether a target is kept free for any suspect."""
    reservation = reservations.get(target)
    return reservation is not None and not reservation.fingerprint


def is_reserved_by_peer(reservations: Reservations, fingerprint: str) -> bool:
    """Returns whether a peer keeps a target free for this fingerprint."""
    return any(reservation.is_from_peer and reservation.fingerprint == fingerprint
               for reservation in reservations.values())


def find_reserved_target(reservations: Reservations, fingerprint: str) -> str | None:
    """Returns the target that this daemon keeps free for a fingerprint."""
    for target, reservation in reservations.items():
        if reservation.fingerprint == fingerprint and not reservation.is_from_peer:
            return target
    return None


def list_unshared_targets(reservations: Reservations) -> list[str]:
    """Returns the targets whose reservation no peer was told about."""
    return sorted(target for target, reservation in reservations.items()
                  if not reservation.is_from_peer and not reservation.is_shared)


def mark_shared(reservations: Reservations) -> Reservations:
    """Notes that peers were told about all reservations."""
    for target in list_unshared_targets(reservations):
        reservations = reservations.set(target,
                                reservations[target]._replace(is_shared=True))
    return reservations


def record_peer_load(peers: Peers, event: events.PeerLoad, now_s: float) -> Peers:
    """Returns the loads with what one peer said just now."""
    outstanding = immutables.Map(
        {load.target: load.outstanding for load in event.loads})
    return peers.set(event.daemon, PeerLoads(now_s, outstanding))


def count_peer_work(peers: Peers, target: str, now_s: float) -> int:
    """Returns how many requests of peers a target runs, as last heard."""
    return sum(
        loads.outstanding.get(target, 0)
        for loads in peers.values()
        if now_s - loads.at_s < _PEER_LOAD_TTL_S)


def rank(fingerprint: str, target: str) -> int:
    """Orders targets alike at all daemons that isolate a fingerprint."""
    return zlib.crc32(f"{fingerprint}/{target}".encode())


def _is_expired(reservation: Reservation, now_s: float) -> bool:
    ttl_s = MAX_DRAIN_S + _DISPATCH_MARGIN_S if reservation.fingerprint else OPEN_RESERVATION_S
    return reservation.is_running or now_s - reservation.since_s >= ttl_s
