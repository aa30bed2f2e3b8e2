"""Reservations of targets, each to run one suspect request alone.

The daemon that has the suspect reserves the target and shares the reservation,
so that its peers send nothing there either. The suspect runs once the target is
idle, and after `MAX_DRAIN_S` in any case. When the suspect is cleared, the
target stays open for another suspect for `OPEN_RESERVATION_S`, because it is
idle at that moment and would have to be drained again later.

Two daemons may reserve the same target at once, usually one that has just
restarted and is idle. Both keep the reservation whose fingerprint sorts first,
so that they agree without another message, and neither starts its suspect
before `ANNOUNCEMENT_DELAY_S`.

>>> reservations = reserve(Reservations(), "f", "e1", 0.0)
>>> is_reserved(reservations, "e1", 1.0), is_reserved(reservations, "e2", 1.0)
(True, False)
>>> find_reserved_target(release(reservations, "f", 1.0), "f") is None
True

See Also:
    `persimmonspan.request.quarantine`: decides which request is a suspect.
"""

import typing
import zlib

import immutables

from persimmonspan.request import events

OPEN_RESERVATION_S = 0.5
ANNOUNCEMENT_DELAY_S = 0.5  # Lets peers receive it, even if the target is idle.
MAX_DRAIN_S = 10.0  # Then the suspect runs beside the remaining requests.
_PEER_LOAD_TTL_S = 5.0  # A peer that left has no work on a target.
_DISPATCH_MARGIN_S = 5.0  # Time to send the suspect and to report it.


class Reservation(typing.NamedTuple):
    """A target reserved for a fingerprint; an empty one means any suspect."""

    fingerprint: str
    since_s: float
    is_from_peer: bool = False
    is_shared: bool = False
    is_running: bool = False


class PeerLoads(typing.NamedTuple):
    """The outstanding requests per target that a peer reported last."""

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


def adopt_peer_reservation(reservations: Reservations, fingerprint: str,
                           target: str, now_s: float) -> Reservations:
    """Adopts a reservation of a peer, unless this daemon's one has priority."""
    reservation = reservations.get(target)
    if (reservation and reservation.fingerprint and
            not reservation.is_from_peer and
        (reservation.is_running or reservation.fingerprint < fingerprint)):
        return reservations
    return reservations.set(target,
                            Reservation(fingerprint, now_s, is_from_peer=True))


def mark_running(reservations: Reservations, fingerprint: str,
                 target: str) -> Reservations:
    """Records that the suspect runs; its run now keeps the target free."""
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
    """Removes reservations that are too old or whose suspect runs."""
    for target, reservation in reservations.items():
        if _is_expired(reservation, now_s):
            reservations = reservations.delete(target)
    return reservations


def is_reserved(reservations: Reservations, target: str, now_s: float) -> bool:
    """Returns whether a target is reserved for a suspect."""
    reservation = reservations.get(target)
    return reservation is not None and not _is_expired(reservation, now_s)


def is_open(reservations: Reservations, target: str) -> bool:
    """Returns whether a target is open for any suspect."""
    reservation = reservations.get(target)
    return reservation is not None and not reservation.fingerprint


def is_reserved_by_peer(reservations: Reservations, fingerprint: str) -> bool:
    """Returns whether a peer has reserved a target for a fingerprint."""
    return any(
        reservation.is_from_peer and reservation.fingerprint == fingerprint
        for reservation in reservations.values())


def find_reserved_target(reservations: Reservations,
                         fingerprint: str) -> str | None:
    """Returns the target that this daemon has reserved for a fingerprint."""
    for target, reservation in reservations.items():
        if (reservation.fingerprint == fingerprint and
                not reservation.is_from_peer):
            return target
    return None


def list_unshared_targets(reservations: Reservations) -> list[str]:
    """Returns the targets whose reservation was not sent to peers."""
    return sorted(target for target, reservation in reservations.items()
                  if not reservation.is_from_peer and not reservation.is_shared)


def mark_shared(reservations: Reservations) -> Reservations:
    """Records that all reservations were sent to peers."""
    for target in list_unshared_targets(reservations):
        reservations = reservations.set(
            target, reservations[target]._replace(is_shared=True))
    return reservations


def record_peer_load(peers: Peers, event: events.PeerLoad,
                     now_s: float) -> Peers:
    """Replaces the loads of one peer with those that it just reported."""
    outstanding = immutables.Map(
        {load.target: load.outstanding for load in event.loads})
    return peers.set(event.daemon, PeerLoads(now_s, outstanding))


def count_peer_work(peers: Peers, target: str, now_s: float) -> int:
    """Returns how many requests of peers a target runs by their reports."""
    return sum(
        loads.outstanding.get(target, 0)
        for loads in peers.values()
        if now_s - loads.at_s < _PEER_LOAD_TTL_S)


def rank(fingerprint: str, target: str) -> int:
    """Returns a sort key of targets that is equal at all daemons."""
    return zlib.crc32(f"{fingerprint}/{target}".encode())


def _is_expired(reservation: Reservation, now_s: float) -> bool:
    ttl_s = (MAX_DRAIN_S + _DISPATCH_MARGIN_S
             if reservation.fingerprint else OPEN_RESERVATION_S)
    return reservation.is_running or now_s - reservation.since_s >= ttl_s
