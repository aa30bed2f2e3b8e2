"""Tells an outage of the store from the loss of it by this daemon alone.

See Also:
    `persimmonspan.process.directory`: what follows for the targets.
    `persimmonspan.process.confirmations`: what daemons tell each other.
"""

import collections.abc
import logging
import math
import typing

from persimmonspan.process import clock
from persimmonspan.process import confirmations
from persimmonspan.process import directory
from persimmonspan.process import edge_peers

_logger = logging.getLogger(__name__)


class Evidence:
    """What this daemon and its peers know of the store's availability.

    Args:
        read_state: Returns the present state of the daemons.
    """

    def __init__(
            self,
            read_state: collections.abc.Callable[[], edge_peers.State]) -> None:
        self._read_state = read_state

    def confirmed_since_s(self) -> float:
        """Returns since when the targets were confirmed without a gap."""
        return self._read_state().confirmed.since_s

    def was_available(self, lost_since_s: float, regained_s: float) -> bool:
        """Returns whether peers read the store from one time to another."""
        return confirmations.was_available(
            (peer.confirmed for peer in self._read_state().peers.values()),
            lost_since_s, regained_s)

    def hears_nobody(self) -> bool:
        """Returns whether no other daemon sends digests here."""
        return edge_peers.hears_nobody(self._read_state(), clock.now_s())

    def is_outage(self, since_s: float) -> bool:
        """Returns whether no daemon can read the store, as peers tell.

        Args:
            since_s: Time, on `clock`, from which on a peer must have told it.
        """
        state = self._read_state()
        heard = [
            peer.can_read
            for peer in state.peers.values()
            if peer.last_received_s >= since_s
        ]
        return bool(heard) and not (state.can_read or any(heard))


class Peers(typing.Protocol):
    """Has the evidence of the peers."""

    evidence: Evidence


def disprove(state: directory.State, peers: Peers) -> directory.State:
    """Ends a loss of the store if peers read it all the time."""
    regained_s = clock.now_s() if state.is_lost else state.regained_s
    if math.isinf(state.lost_since_s) or math.isinf(regained_s):
        return state
    if not peers.evidence.was_available(state.lost_since_s, regained_s):
        return state
    _logger.info("peers read the store while this daemon could not",
                 extra={
                     "lost_s": round(regained_s - state.lost_since_s, 2),
                     "lapsed": sorted(state.lapsed)
                 })
    return directory.disprove_loss(state)


def log_left_out(state: directory.State,
                 expired: collections.abc.Collection[str]) -> None:
    """Logs which targets that lapsed for the reader are not used here."""
    left_out = sorted(frozenset(expired).difference(state.present))
    if left_out:
        _logger.info("expired targets of the reader left out",
                     extra={"targets": left_out})
