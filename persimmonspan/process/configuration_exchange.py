"""Decides which daemons send the configuration to which others.

The daemon that reads the store for all sends the configuration to those that
report an older version. It may itself have the older one: it has just started,
and the store came back from a copy that lacks the newest version. The reader
then asks one daemon that reports a newer version, and another one if that does
not send it in time. Other daemons never ask, so that the configuration is sent
at most once in `_RESEND_S`, and not by each of 195 daemons to one.
"""

import typing

from persimmonspan.process import edge_peers

# The configuration is sent again to a daemon that still reports an older one; a
# digest's round trip takes less than this.
_RESEND_S = 0.5


class Requests(typing.NamedTuple):
    """Whom this daemon asks for its configuration, and who asked this one."""

    source: str | None
    wanted_by: frozenset[str]


def outdated_peers(state: edge_peers.State, version: int,
                   now_s: float) -> list[str]:
    """Returns the daemons that need to be sent a version of the configuration.

    >>> digest = edge_peers.Digest("a", "", True, (), version=3)
    >>> state, _ = edge_peers.merge_digest(
    ...     edge_peers.State(), digest, 0.0, 0.0)
    >>> outdated_peers(state, 4, 0.1)
    ['a']
    >>> outdated_peers(record_sent_configuration(state, ["a"], 4, 0.1), 4, 0.2)
    []
    """
    return [
        name for name, peer in state.peers.items()
        if peer.version < version and now_s -
        peer.last_received_s <= edge_peers.PEER_SILENCE_TIMEOUT_S and
        (peer.sent_version < version or now_s - peer.sent_s > _RESEND_S)
    ]


def record_sent_configuration(state: edge_peers.State,
                              names: typing.Iterable[str], version: int,
                              now_s: float) -> edge_peers.State:
    """Records that daemons were sent a version of the configuration."""
    peers = state.peers
    for name in names:
        peers = peers.set(
            name, peers[name]._replace(sent_version=version, sent_s=now_s))
    return state._replace(peers=peers)


def select_source(state: edge_peers.State, version: int,
                  now_s: float) -> str | None:
    """Returns which daemon the reader asks for a newer configuration, if any.

    >>> digest = edge_peers.Digest("a", "", True, (), version=5)
    >>> state, _ = edge_peers.merge_digest(
    ...     edge_peers.State(), digest, 0.0, 0.0)
    >>> select_source(state, 4, 0.1), select_source(state, 5, 0.1)
    ('a', None)
    >>> select_source(record_asked(state, "a", 0.1), 4, 0.2)
    """
    newer = {
        name: peer
        for name, peer in state.peers.items()
        if peer.version > version and now_s -
        peer.last_received_s <= edge_peers.PEER_SILENCE_TIMEOUT_S
    }
    if any(now_s - peer.asked_s <= _RESEND_S for peer in newer.values()):
        return None
    return min(newer,
               key=lambda name:
               (newer[name].asked_s, -newer[name].version, name),
               default=None)


def record_asked(state: edge_peers.State, name: str,
                 now_s: float) -> edge_peers.State:
    """Records that a daemon was asked for its configuration."""
    peer = state.peers[name]._replace(asked_s=now_s)
    return state._replace(peers=state.peers.set(name, peer))
