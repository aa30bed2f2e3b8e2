"""Gossip rounds: maintains links and sends digests and summaries.

All links of a round share the byte budget. A digest fills the bytes that its
fixed parts leave with loads, so that in a larger failure domain each load is
sent less often instead of exceeding the budget.
"""

import math
import random

from persimmonspan.connection import peer_messages
from persimmonspan.process import gossip_facts
from persimmonspan.process import gossip_plan
from persimmonspan.process import gossip_state as types
from persimmonspan.process import load_view
from persimmonspan.process import membership
from persimmonspan.request import events

# Share of the byte budget for digests. Half of the budget is for sending; the
# rest of that half is for summaries, urgent messages and repairs. At 0.4 some
# daemons that sent summaries exceeded the budget in a failure domain of 32.
_DIGEST_SHARE = 0.33
_DIGEST_BYTES = 70
_SUMMARY_BYTES = 80
_MAX_DOMAIN_LOADS = 3
# CURVE adds nonce, authenticator and command name to each frame.
FRAME_BYTES = 35
_SUMMARY_RETENTION_S = 10.0
_ACCEPTED_LINK_RETENTION_S = 60.0
# A link that left the plan stays open for this long, until its replacement has
# been in use for some rounds.
_LINK_LINGER_S = 10.0
_MAX_REOPEN_WAIT_S = 20.0
# Age sent when the daemon has never read the store.
_NEVER_READ_AGE_S = 1e6


def make_hello(state: types.State) -> peer_messages.Hello:
    """Returns the message that introduces the own daemon."""
    return peer_messages.Hello(*state.members.own, state.revision)


def select_cross_domain_peers(state: types.State,
                              now_s: float) -> tuple[str, ...]:
    """Returns linked daemons of other failure domains that are not silent."""
    if state.plan.is_mesh:
        return ()
    domain = state.members.own.failure_domain
    return tuple(peer for peer, link in state.links.items()
                 if peer not in state.plan.mates and now_s -
                 link.last_received_s <= membership.PEER_SILENCE_TIMEOUT_S and
                 peer in state.members.members and
                 state.members.members[peer].identity.failure_domain != domain)


def select_own_domain_pairs(
        state: types.State,
        now_s: float) -> tuple[tuple[tuple[str, int], ...], float]:
    """Returns live members of the own failure domain and their oldest age."""
    own = state.members.own
    pairs, age_s = [(own.daemon, own.incarnation)], 0.0
    for member in membership.select_live_members(state.members,
                                                 own.failure_domain):
        if now_s - member.last_evidence_s <= (
                state.options.link_silence_timeout_s):
            pairs.append((member.identity.daemon, member.identity.incarnation))
            age_s = max(age_s, now_s - member.last_evidence_s)
    return tuple(sorted(pairs)), age_s


def _identities_hash(state: types.State) -> int:
    members = state.members
    pairs = [(members.own.daemon, members.own.incarnation)]
    for name in state.plan.mates:
        member = members.members.get(name)
        if member is not None and (not member.is_silent or
                                   name in members.registered):
            pairs.append((name, member.identity.incarnation))
    return gossip_plan.hash_members(pairs)


def run_round(state: types.State, now_s: float,
              rng: random.Random) -> types.Result:
    """Updates plan and links, and sends this round's digest and summary."""
    options = state.options
    state = state._replace(plan=gossip_plan.make_plan(state.members, now_s,
                                                      options.mesh_limit),
                           facts=gossip_facts.expire(state.facts, now_s),
                           sequence=state.sequence + 1)
    state, commands = _update_links(state, now_s, rng)
    round_s = options.mesh_round_s if state.plan.is_mesh else options.round_s
    # Ticks are coarse; adding to the due time preserves the mean interval.
    due_s = max(state.next_round_s, now_s - round_s)
    state = state._replace(next_round_s=due_s + round_s,
                           identities_hash=_identities_hash(state))
    unanswered = tuple(
        peer for peer, link in state.links.items()
        if link.is_dialed and link.last_received_s < link.opened_s)
    if unanswered:
        commands.append(types.Send(unanswered, make_hello(state)))
    state, more = _make_digest(state, now_s, round_s)
    return state, commands + more + _make_summary(state, now_s)


def _make_digest(state: types.State, now_s: float,
                 round_s: float) -> types.Result:
    mates = tuple(name for name in state.plan.mates if name in state.links)
    state, relayed = _take_due_summaries(state, now_s)
    limit = (state.options.budget_bytes_per_s * _DIGEST_SHARE * round_s /
             max(1, len(mates)))
    limit -= _DIGEST_BYTES + FRAME_BYTES + _SUMMARY_BYTES * len(relayed)
    loads, reported_loads = gossip_plan.choose_loads(state.loads,
                                                     state.reported_loads,
                                                     state.sequence, int(limit))
    digest = peer_messages.Digest(state.members.own.daemon,
                                  state.members.own.incarnation,
                                  state.sequence, state.revision,
                                  store_age_s(state,
                                              now_s), state.identities_hash,
                                  loads, state.is_draining,
                                  gossip_facts.digest(state.facts), relayed)
    expired = {
        key: held
        for key, held in state.summaries.items()
        if now_s - held.received_s > _SUMMARY_RETENTION_S
    }
    for key in expired:
        state = state._replace(summaries=state.summaries.delete(key))
    return state._replace(
        reported_loads=reported_loads), [types.Send(mates, digest)
                                        ] if mates else []


def store_age_s(state: types.State, now_s: float) -> float:
    """Returns the age of the last read of the store, in seconds."""
    age_s = now_s - state.store_read_s
    return _NEVER_READ_AGE_S if math.isinf(age_s) else round(age_s, 2)


def _take_due_summaries(
        state: types.State,
        now_s: float) -> tuple[types.State, tuple[peer_messages.Summary, ...]]:
    """Returns the summaries to relay, each exactly once.

    Selecting summaries by age instead would always skip a reporter whose rounds
    end just after those of the own daemon.
    """
    relayed = []
    for key, held in state.summaries.items():
        if held.is_relay_due:
            age_s = held.summary.age_s + now_s - held.received_s
            relayed.append(
                held.summary._replace(age_s=round(age_s, 2), loads=()))
            state = state._replace(summaries=state.summaries.set(
                key, held._replace(is_relay_due=False)))
    return state, () if state.plan.is_mesh else tuple(relayed)


def _make_summary(state: types.State, now_s: float) -> list[types.Command]:
    peers = select_cross_domain_peers(state, now_s)
    if not peers:
        return []
    own = state.members.own
    pairs, age_s = select_own_domain_pairs(state, now_s)
    mates = [
        member for name, _ in pairs
        if (member := state.members.members.get(name)) is not None
    ]
    revisions = [member.revision for member in mates] + [state.revision]
    draining = [item.identity.daemon for item in mates if item.is_draining]
    if state.is_draining:
        draining.append(own.daemon)
    summary = peer_messages.Summary(own.failure_domain, own.daemon,
                                    own.incarnation, state.sequence,
                                    round(age_s, 2),
                                    gossip_plan.hash_members(pairs),
                                    min(revisions), max(revisions),
                                    gossip_facts.digest(state.facts),
                                    tuple(draining), _sum_domain_loads(state))
    return [types.Send(peers, summary)]


def _sum_domain_loads(state: types.State) -> tuple[events.TargetLoad, ...]:
    sums: dict[str, events.TargetLoad] = dict(state.loads)
    for name in state.plan.mates:
        for target, load in state.peer_loads.get(name, {}).items():
            sums[target] = (load_view.add_loads(sums[target], load)
                            if target in sums else load)
    return tuple(
        sorted(sums.values(),
               key=lambda load: -load.predicted_tokens)[:_MAX_DOMAIN_LOADS])


def _update_links(state: types.State, now_s: float,
                  rng: random.Random) -> types.Result:
    commands: list[types.Command] = []
    links = state.links
    wanted = state.plan.mates | state.plan.dialed
    for peer, link in list(links.items()):
        if peer in wanted:
            continue
        if link.is_dialed and now_s - link.last_wanted_s > _LINK_LINGER_S:
            commands.append(types.CloseLink(peer))
            links = links.delete(peer)
        elif not link.is_dialed and (now_s -
                                     max(link.opened_s, link.last_received_s)
                                     > _ACCEPTED_LINK_RETENTION_S):
            links = links.delete(peer)
    for peer in wanted:
        link = links.get(peer) or types.Link(False, now_s)
        address = state.members.members[peer].identity.address
        is_due, reason = _is_dial_due(state, peer, link, address, now_s)
        if is_due and address:
            wait_s = 0.0
            if reason:
                commands.append(types.Count(reason))
                wait_s = min(
                    _MAX_REOPEN_WAIT_S, 2 * link.reopen_backoff_s +
                    state.options.link_silence_timeout_s)
                wait_s *= rng.uniform(0.5, 1.0)
            commands.append(types.OpenLink(peer, address))
            link = link._replace(is_dialed=True,
                                 opened_s=now_s,
                                 reopen_backoff_s=wait_s,
                                 address=address)
        links = links.set(peer, link._replace(last_wanted_s=now_s))
    return state._replace(links=links), commands


def _is_dial_due(state: types.State, peer: str, link: types.Link, address: str,
                 now_s: float) -> tuple[bool, str]:
    silence_s = now_s - max(link.opened_s, link.last_received_s)
    if link.is_dialed:
        if link.address != address:
            return True, ""
        limit_s = state.options.link_silence_timeout_s + link.reopen_backoff_s
        return silence_s > limit_s, "peer_link_reopened"
    return (peer in state.plan.dialed or state.members.own.daemon > peer or
            silence_s > state.options.fallback_dial_delay_s), ""
