"""Gossip protocol between daemons: handles events and received messages.

Daemons of one failure domain send each other digests. Between failure domains,
summaries travel over a few links and are relayed once. Urgent messages are
flooded: the origin sends to its whole failure domain and over its links to
others; a daemon that receives one from its own failure domain forwards it to
other failure domains only, and one that receives it from another failure domain
forwards it to all. A daemon does not forward a message that it already has,
which ends the flood. A digest carries the revision and hashes of members and
facts, by which peers detect and repair lost messages.

`step` is pure; the peer actor executes `Send`, `OpenLink` and `CloseLink`.

References:
    Demers et al.: "Epidemic algorithms for replicated database maintenance",
    1987 (rumours and anti-entropy).
"""

import functools
import random

from persimmonspan.connection import peer_messages
from persimmonspan.process import gossip_facts
from persimmonspan.process import gossip_plan
from persimmonspan.process import gossip_round
from persimmonspan.process import gossip_spread
from persimmonspan.process import gossip_state as types
from persimmonspan.process import membership
from persimmonspan.request import events

_NO_RNG = random.Random(0)  # Membership draws no random numbers.


def make_state(
    own: membership.Identity, options: types.Options = types.Options()
) -> types.State:
    """Returns the state of a daemon that has no other members recorded."""
    members = membership.State(own)
    return types.State(options, members,
                       gossip_plan.make_plan(members, 0.0, options.mesh_limit))


def step(state: types.State, event: types.Event, now_s: float,
         rng: random.Random) -> types.Result:
    """Returns the next state and the commands that the event leads to."""
    return _step(event, state, now_s, rng)


@functools.singledispatch
def _step(event: object, state: types.State, now_s: float,
          rng: random.Random) -> types.Result:
    del rng
    return _step_membership(state, event, now_s)


@_step.register
def _(event: types.Tick, state: types.State, now_s: float,
      rng: random.Random) -> types.Result:
    del event
    state, commands = _step_membership(state, membership.Tick(), now_s)
    if now_s >= state.next_round_s:
        state, more = gossip_round.run_round(state, now_s, rng)
        commands += more
    state, more = gossip_spread.ask_for_changes(state, now_s, rng)
    return state, commands + more


@_step.register
def _(event: types.LoadsPublished, state: types.State, now_s: float,
      rng: random.Random) -> types.Result:
    del now_s, rng
    loads = state.loads
    gone = set(loads) - {load.target for load in event.loads}
    for target in gone:
        # Stays as an explicit zero, so that peers delete the load.
        loads = loads.set(target, events.TargetLoad(target, 0, 0))
    for load in event.loads:
        loads = loads.set(load.target, load)
    return state._replace(loads=loads), []


@_step.register
def _(event: types.FactPublished, state: types.State, now_s: float,
      rng: random.Random) -> types.Result:
    del rng
    message = event.message
    if gossip_facts.is_recorded(state.facts, message):
        return state, []
    message = message._replace(
        version=gossip_facts.next_version(state.facts, message))
    if isinstance(message, peer_messages.Quarantine) and not message.crashes:
        message = message._replace(ttl_s=gossip_facts.LIFT_TTL_S)
    facts = gossip_facts.merge(state.facts, message, now_s)
    if facts is None:
        return state, []
    return gossip_spread.flood(state._replace(facts=facts), message, None,
                               now_s)


@_step.register
def _(event: types.ChangePublished, state: types.State, now_s: float,
      rng: random.Random) -> types.Result:
    del rng
    if event.change.revision in state.changes:
        return state, []
    return gossip_spread.flood(gossip_spread.keep_change(state, event.change),
                               event.change, None, now_s)


@_step.register
def _(event: types.WholeAdopted, state: types.State, now_s: float,
      rng: random.Random) -> types.Result:
    del now_s, rng
    if event.whole.revision < state.revision:
        return state, [types.Count("peer_revision_went_back")]
    state = state._replace(revision=event.whole.revision, whole=event.whole)
    # A change that arrived before its base revision applies only now.
    return state, [
        types.Deliver(change)
        for change in state.changes.values()
        if change.base_revision == state.revision
    ]


@_step.register
def _(event: types.StoreRead, state: types.State, now_s: float,
      rng: random.Random) -> types.Result:
    del event, rng
    return state._replace(store_read_s=now_s), []


@_step.register
def _(event: types.DrainStarted, state: types.State, now_s: float,
      rng: random.Random) -> types.Result:
    del event
    return gossip_round.run_round(state._replace(is_draining=True), now_s, rng)


@_step.register
def _(event: types.MessageReceived, state: types.State, now_s: float,
      rng: random.Random) -> types.Result:
    del rng
    link = state.links.get(event.peer) or types.Link(False, now_s)
    state = state._replace(links=state.links.set(
        event.peer, link._replace(last_received_s=now_s, reopen_backoff_s=0.0)))
    return _handle_message(event.message, state, event.peer, now_s)


def _step_membership(state: types.State, event: object,
                     now_s: float) -> types.Result:
    members, changes = membership.step(state.members, event, now_s, _NO_RNG)
    state = state._replace(members=members)
    commands: list[types.Command] = []
    for change in changes:
        if isinstance(change, membership.MajorityHeardChanged):
            commands.append(types.Deliver(change))
        elif isinstance(change, membership.OwnIncarnationRaised):
            commands.append(types.Count("peer_incarnation_raised"))
            commands.append(
                types.Send(tuple(state.links), gossip_round.make_hello(state)))
        else:
            state, more = _forget_loads(state, change.daemon)
            reason = ("peer_silent" if isinstance(
                change, membership.DaemonFellSilent) else "peer_restarted")
            commands += [*more, types.Count(reason)]
    return state, commands


def _forget_loads(state: types.State, daemon: str) -> types.Result:
    if daemon not in state.peer_loads:
        return state, []
    return (state._replace(peer_loads=state.peer_loads.delete(daemon)),
            [types.Deliver(events.PeerLoad(daemon, ()))])


@functools.singledispatch
def _handle_message(message: object, state: types.State, peer: str,
                    now_s: float) -> types.Result:
    raise TypeError(f"unknown message {message!r} from {peer} at {now_s} "
                    f"for {state.members.own.daemon}")


@_handle_message.register
def _(message: peer_messages.Hello, state: types.State, peer: str,
      now_s: float) -> types.Result:
    if message.daemon != peer:
        return state, [types.Count("peer_identity_mismatch")]
    state, commands = _introduce(state, (message,), now_s)
    commands += _correct_incarnation(state, peer, message.incarnation)
    if not state.links[peer].is_dialed:
        commands.append(types.Send((peer,), gossip_round.make_hello(state)))
    return state, commands


@_handle_message.register
def _(message: peer_messages.Members, state: types.State, peer: str,
      now_s: float) -> types.Result:
    del peer
    state, commands = _introduce(state, message.members, now_s)
    pairs = tuple(
        sorted((item.daemon, item.incarnation) for item in message.members))
    members_hash = gossip_plan.hash_members(pairs)
    held_hashes = {
        item.summary.members_hash for item in state.summaries.values()
    }
    if members_hash in held_hashes:
        rosters = state.rosters.set(members_hash, pairs)
        for unused_hash in set(rosters) - held_hashes:
            rosters = rosters.delete(unused_hash)
        state = state._replace(rosters=rosters)
    return state, commands


@_handle_message.register
def _(message: peer_messages.MembersRequest, state: types.State, peer: str,
      now_s: float) -> types.Result:
    domain = message.failure_domain
    if not domain:
        answer: tuple[peer_messages.Hello,
                      ...] = (gossip_round.make_hello(state),)
    else:
        answer = _list_domain_members(state, domain, now_s)
    return state, [types.Send((peer,), peer_messages.Members(answer))]


@_handle_message.register
def _(message: peer_messages.Digest, state: types.State, peer: str,
      now_s: float) -> types.Result:
    if message.daemon != peer:
        return state, [types.Count("peer_identity_mismatch")]
    member = state.members.members.get(peer)
    if member is None or member.identity.incarnation < message.incarnation:
        return state, [types.Send((peer,), peer_messages.MembersRequest(""))]
    if member.identity.incarnation > message.incarnation:
        return state, _correct_incarnation(state, peer, message.incarnation)
    if message.sequence <= member.sequence:
        return state, [types.Count("peer_message_stale")]
    state, commands = _step_membership(
        state,
        membership.HeartbeatReceived(peer, message.incarnation,
                                     message.sequence, message.revision,
                                     message.store_age_s, message.draining),
        now_s)
    state, more = _merge_peer_loads(state, peer, message.loads)
    commands += more
    for summary in message.summaries:
        state, more = _merge_summary(state, summary, peer, now_s)
        commands += more
    is_equal = (message.members_hash == state.identities_hash and
                message.facts_hash == gossip_facts.digest(state.facts))
    state, more = _repair_peer(state, peer, is_equal, now_s)
    return state, commands + more


@_handle_message.register
def _(message: peer_messages.Summary, state: types.State, peer: str,
      now_s: float) -> types.Result:
    if message.reporter != peer:
        return state, [types.Count("peer_identity_mismatch")]
    state, commands = _merge_summary(state, message, peer, now_s)
    if message.loads:
        commands.append(
            types.Deliver(
                events.PeerLoad("domain/" + message.failure_domain,
                                message.loads)))
    state, more = _step_membership(
        state,
        membership.HeartbeatReceived(peer, message.incarnation,
                                     message.sequence, message.revision_max),
        now_s)
    is_equal = message.facts_hash == gossip_facts.digest(state.facts)
    state, repairs = _repair_peer(state, peer, is_equal, now_s)
    return state, commands + more + repairs


@_handle_message.register
def _(message: peer_messages.Change, state: types.State, peer: str,
      now_s: float) -> types.Result:
    if message.revision <= state.revision:
        return state, [types.Count("peer_change_known")]
    if message.revision in state.changes:
        is_next = message.base_revision == state.revision
        return state, [
            types.Deliver(message)
            if is_next else types.Count("peer_change_known")
        ]
    state, commands = gossip_spread.flood(
        gossip_spread.keep_change(state, message), message, peer, now_s)
    return state, [types.Deliver(message), *commands]


@_handle_message.register
def _(message: peer_messages.WholeConfiguration, state: types.State, peer: str,
      now_s: float) -> types.Result:
    del peer, now_s
    if message.revision <= state.revision:
        return state, [types.Count("peer_whole_known")]
    return state, [types.Deliver(message)]


@_handle_message.register
def _(message: peer_messages.RevisionRequest, state: types.State, peer: str,
      now_s: float) -> types.Result:
    if message.revision >= state.revision or state.whole is None:
        return state, []
    chain = gossip_spread.find_change_chain(state, message.revision)
    if chain:
        return state, [types.Send((peer,), change) for change in chain]
    rate = state.options.wholes_per_s
    bucket, is_allowed = types.take_tokens(state.document_bucket, 1.0, rate,
                                           rate, now_s)
    state = state._replace(document_bucket=bucket)
    if not is_allowed:
        return state, [types.Count("peer_ask_deferred")]
    return state, [types.Send((peer,), state.whole)]


@_handle_message.register(peer_messages.Quarantine)
@_handle_message.register(peer_messages.LeavingNotice)
def _(message: gossip_facts.FactMessage, state: types.State, peer: str,
      now_s: float) -> types.Result:
    facts = gossip_facts.merge(state.facts, message, now_s)
    if facts is None:
        return state, []
    state, commands = gossip_spread.flood(state._replace(facts=facts), message,
                                          peer, now_s)
    return state, [types.Deliver(_fact_event(message)), *commands]


def _fact_event(
    message: gossip_facts.FactMessage
) -> (events.QuarantineShared | events.QuarantineLifted | events.TargetLeaving |
      events.TargetReturned):
    if isinstance(message, peer_messages.LeavingNotice):
        return (events.TargetLeaving(message.target) if message.is_leaving else
                events.TargetReturned(message.target))
    if message.crashes == 0:
        return events.QuarantineLifted(message.fingerprint)
    return events.QuarantineShared(message.fingerprint, message.crashes,
                                   message.ttl_s, message.crashes_alone,
                                   message.requests, message.is_refused)


def _introduce(state: types.State, hellos: tuple[peer_messages.Hello, ...],
               now_s: float) -> types.Result:
    commands: list[types.Command] = []
    for item in hellos:
        state, more = _step_membership(
            state, membership.DaemonIntroduced(membership.Identity(*item[:5])),
            now_s)
        commands += more
    return state, commands


def _correct_incarnation(state: types.State, peer: str,
                         incarnation: int) -> list[types.Command]:
    recorded = state.members.members[peer].identity
    if recorded.incarnation <= incarnation:
        return []
    return [
        types.Count("peer_message_stale"),
        types.Send((peer,),
                   peer_messages.Members((peer_messages.Hello(*recorded),)))
    ]


def _list_domain_members(state: types.State, domain: str,
                         now_s: float) -> tuple[peer_messages.Hello, ...]:
    own = state.members.own
    pairs: tuple[tuple[str, int], ...] = ()
    if domain == own.failure_domain:
        pairs, _ = gossip_round.select_own_domain_pairs(state, now_s)
    else:
        for held in state.summaries.values():
            if held.summary.failure_domain == domain:
                pairs = state.rosters.get(held.summary.members_hash, pairs)
    answer = []
    for daemon, incarnation in pairs:
        identity = own if daemon == own.daemon else (
            state.members.members[daemon].identity)
        answer.append(
            peer_messages.Hello(*identity._replace(incarnation=incarnation)))
    return tuple(answer)


def _merge_peer_loads(state: types.State, peer: str,
                      loads: tuple[events.TargetLoad, ...]) -> types.Result:
    if not loads:
        return state, []
    merged = gossip_plan.merge_loads(
        state.peer_loads.get(peer, state.peer_loads.__class__()), loads)
    return (state._replace(peer_loads=state.peer_loads.set(peer, merged)),
            [types.Deliver(events.PeerLoad(peer, tuple(merged.values())))])


def _merge_summary(state: types.State, summary: peer_messages.Summary,
                   peer: str, now_s: float) -> types.Result:
    key = f"{summary.failure_domain}/{summary.reporter}"
    recorded = state.summaries.get(key)
    if (summary.failure_domain == state.members.own.failure_domain or
        (recorded is not None and (summary.incarnation, summary.sequence)
         <= (recorded.summary.incarnation, recorded.summary.sequence))):
        return state, []
    held = types.HeldSummary(summary, now_s, peer == summary.reporter)
    state = state._replace(summaries=state.summaries.set(key, held))
    pairs = state.rosters.get(summary.members_hash)
    if pairs is None:
        return state, [
            types.Send((peer,),
                       peer_messages.MembersRequest(summary.failure_domain))
        ]
    return _step_membership(
        state,
        membership.HeartbeatsReported(pairs, summary.age_s,
                                      summary.revision_min, summary.draining),
        now_s)


def _repair_peer(state: types.State, peer: str, is_equal: bool,
                 now_s: float) -> types.Result:
    link = state.links[peer]
    options = state.options
    if is_equal or now_s - link.last_repair_s < options.repair_interval_s:
        return state, []
    state = state._replace(
        links=state.links.set(peer, link._replace(last_repair_s=now_s)))
    messages: list[peer_messages.Message] = list(
        gossip_facts.select_repair_facts(state.facts, now_s,
                                         options.facts_per_repair))
    if peer in state.plan.mates:
        mates = (state.members.members.get(name) for name in state.plan.mates)
        messages.append(
            peer_messages.Members(
                tuple(
                    peer_messages.Hello(*item.identity)
                    for item in mates
                    if item is not None)))
    size = sum(len(peer_messages.encode(message)) for message in messages)
    state, is_allowed = gossip_spread.take_urgent_bytes(state, size, now_s)
    if not is_allowed:
        return state, [types.Count("peer_repair_deferred")]
    return state, [types.Send((peer,), message) for message in messages]
