"""Floods urgent messages and requests missing configuration changes.

A flood takes its bytes from a token bucket. If the bucket lacks them, the
message is not sent: the next digest shows peers the higher revision or the
differing hash, and they request or repair what they miss. This prevents a burst
of changes from becoming a message storm.
"""

import math
import random

from persimmonspan.connection import peer_messages
from persimmonspan.process import gossip_round
from persimmonspan.process import gossip_state as types


def flood(state: types.State, message: peer_messages.Message,
          source: str | None, now_s: float) -> types.Result:
    """Forwards a message; `source` is the peer that sent it, None if own."""
    peers = set(gossip_round.select_cross_domain_peers(state, now_s)) - {source}
    if source is None or (not state.plan.is_mesh and
                          source not in state.plan.mates):
        peers |= state.plan.mates - {source}
    peers &= set(state.links)
    if not peers:
        return state, []
    size = len(peer_messages.encode(message)) + gossip_round.FRAME_BYTES
    state, is_allowed = take_urgent_bytes(state, size * len(peers), now_s)
    if not is_allowed:
        return state, [types.Count("peer_flood_deferred")]
    return state, [types.Send(tuple(sorted(peers)), message)]


def take_urgent_bytes(state: types.State, size: float,
                      now_s: float) -> tuple[types.State, bool]:
    """Takes the bytes of an urgent message from the bucket, if available."""
    options = state.options
    bucket, is_allowed = types.take_tokens(state.urgent_bucket, size,
                                           options.urgent_bytes_per_s,
                                           options.urgent_burst_bytes, now_s)
    return state._replace(urgent_bucket=bucket), is_allowed


def keep_change(state: types.State,
                change: peer_messages.Change) -> types.State:
    """Keeps a change for peers that request it; drops the oldest if full."""
    changes = state.changes.set(change.revision, change)
    if len(changes) > state.options.kept_changes:
        changes = changes.delete(min(changes))
    return state._replace(changes=changes)


def find_change_chain(state: types.State,
                      revision: int) -> list[peer_messages.Change]:
    """Returns the changes since `revision`, or [] if one of them is missing."""
    by_base = {item.base_revision: item for item in state.changes.values()}
    changes = []
    while revision < state.revision and revision in by_base:
        changes.append(by_base[revision])
        revision = changes[-1].revision
    return changes if revision >= state.revision else []


def ask_for_changes(state: types.State, now_s: float,
                    rng: random.Random) -> types.Result:
    """Requests newer changes from a random peer with a higher revision.

    One request is outstanding at a time.
    """
    options = state.options
    peers_ahead = sorted(
        peer for peer, link in state.links.items()
        if now_s - link.last_received_s <= options.link_silence_timeout_s and
        peer in state.members.members and
        state.members.members[peer].revision > state.revision)
    if not peers_ahead:
        return state._replace(ask_state=types.AskState()), []
    asking = state.ask_state
    if math.isinf(asking.behind_since_s):
        asking = asking._replace(behind_since_s=now_s)
    if (now_s - asking.behind_since_s < options.ask_grace_s or
            now_s - asking.asked_s < options.ask_timeout_s):
        return state._replace(ask_state=asking), []
    return (state._replace(ask_state=asking._replace(asked_s=now_s)), [
        types.Send((rng.choice(peers_ahead),),
                   peer_messages.RevisionRequest(state.revision))
    ])
