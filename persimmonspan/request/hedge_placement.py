"""Places the second attempt of a hedged request, and ends one of the two.

While two attempts run, `placement.RunningRequest` holds one of them in its own
fields and the other in `other`. They are exchanged as needed (`find`), so that
all other transitions concern a request with one attempt. The load of each
counts at its target until it ends.

See Also:
    `persimmonspan.request.hedging`: decides whether a request is hedged.
    `persimmonspan.request.scheduler`: maps events to these transitions.
"""

import collections.abc
import random

from persimmonspan.process import health
from persimmonspan.process import load_view
from persimmonspan.request import choice
from persimmonspan.request import cold_targets
from persimmonspan.request import events
from persimmonspan.request import hedging
from persimmonspan.request import placement
from persimmonspan.request import quarantine
from persimmonspan.request import rate_limits
from persimmonspan.request import retry
from persimmonspan.request import target_backoff


def find(state: placement.State, request_id: str,
         target: str) -> placement.RunningRequest | None:
    """Returns a running request with its attempt at a target in front."""
    running = state.running.get(request_id)
    if (running is None or running.other is None or
            running.other.target != target):
        return running
    return _exchange(running)


def _exchange(running: placement.RunningRequest) -> placement.RunningRequest:
    other = running.other
    return running._replace(target=other.target,
                            sent_s=other.sent_s,
                            software_version=other.software_version,
                            is_hedge=other.is_hedge,
                            other=hedging.OtherAttempt(running.target,
                                                       running.sent_s,
                                                       running.software_version,
                                                       running.is_hedge))


def record_latency(state: placement.State, running: placement.RunningRequest,
                   now_s: float) -> placement.State:
    """Records how long the first attempt of a request took, or took at least.
    """
    arrived = running.item.arrived
    is_first = running.is_hedged or len(running.item.tried_targets) == 1
    if running.is_hedge or not is_first or not arrived.may_hedge:
        return state
    return state._replace(hedges=hedging.record_latency(
        state.hedges, arrived.service, arrived.kind, now_s - running.sent_s))


def start(state: placement.State, event: events.HedgeDue, now_s: float,
          rng: random.Random) -> placement.Result:
    """Sends a request to a second target, if it may be hedged."""
    running = state.running.get(event.request_id)
    if running is None or running.target != event.target or running.is_hedged:
        return state, []
    item = running.item
    arrived = item.arrived
    is_first = (len(item.tried_targets) == 1 and not item.is_repeat and
                arrived.max_attempts > 1)
    reason = hedging.decide(
        state.hedges,
        hedging.Request(
            arrived.service, arrived.kind, now_s - running.sent_s,
            arrived.may_hedge, is_first, running.tokens > 0,
            quarantine.is_suspect(state.suspects,
                                  placement.fingerprints(arrived), now_s),
            any(key[0] == arrived.service for key in state.queue.lanes),
            retry.balance(state.budget, arrived.service)), now_s)
    if reason is not hedging.Reason.SENT:
        return state, [events.Count(reason)]
    target = _choose_target(state, running, now_s, rng)
    if target is None:
        return state, [events.Count(hedging.Reason.DENIED_TARGET)]
    item = item._replace(tried_targets=item.tried_targets + (target,))
    dispatch = events.Dispatch(arrived.request_id,
                               target,
                               placement.target_priority(item),
                               len(item.tried_targets),
                               is_hedge=True)
    running = running._replace(
        item=item,
        is_hedged=True,
        other=hedging.OtherAttempt(
            target, now_s, state.view.targets[target].target.software_version,
            True))
    state = state._replace(
        view=load_view.add_attempt(state.view, target, item.profile,
                                   item.is_long, now_s),
        running=state.running.set(arrived.request_id, running),
        hedges=hedging.spend(state.hedges, arrived.service, now_s),
        health_state=health.step(state.health_state, dispatch, now_s)[0],
        suspects=quarantine.record_dispatch(state.suspects, arrived.request_id,
                                            placement.fingerprints(arrived),
                                            target, now_s),
        rates=rate_limits.record_dispatch(state.rates, target, now_s),
        backoff=target_backoff.record_dispatch(state.backoff, target, now_s))
    return state, [dispatch, events.Count(reason)]


def _choose_target(state: placement.State, running: placement.RunningRequest,
                   now_s: float, rng: random.Random) -> str | None:
    item = running.item
    arrived = item.arrived
    allowed = tuple(_list_spare_targets(state, running, now_s))
    if not allowed:
        return None
    query = choice.TargetQuery(arrived.service, item.profile, item.is_long,
                               arrived.is_idempotent, item.tried_targets,
                               allowed, arrived.software_version,
                               item.arrived_s + arrived.latency_objective_s)
    return choice.choose_target(state.view, query,
                                placement.target_constraints(state), now_s, rng)


def _list_spare_targets(state: placement.State,
                        running: placement.RunningRequest,
                        now_s: float) -> collections.abc.Iterator[str]:
    """Yields the targets that have room and nothing that slows them.

    The store knows the software version of the first attempt of a stream, so
    the second one has the same.
    """
    needs_version = running.item.arrived.is_resumable
    for name in state.view.groups.get(running.item.arrived.service, ()):
        item = state.view.targets[name]
        if (name in running.item.tried_targets or name in state.leaving or
                now_s < item.avoid_until_s):
            continue
        if item.running + item.peers_running >= item.target.max_running:
            continue
        if (needs_version and
                item.target.software_version != running.software_version):
            continue
        if (name in state.backoff.pauses or
                cold_targets.is_cold(state.cold, name, now_s) or
                rate_limits.is_limited(state.rates, name)):
            continue
        if (health.weight(state.health_state, name) < 1.0 or
                retry.send_weight(state.budget, name, now_s) < 1.0):
            continue
        yield name


def end_one(state: placement.State, running: placement.RunningRequest,
            outcome: events.Outcome, now_s: float) -> placement.State:
    """Ends the attempt in front, which did not succeed; the other one goes on.
    """
    if outcome is events.Outcome.CANCELLED:
        # The other attempt was faster.
        state = record_latency(state, running, now_s)
    ended, running = running, _exchange(running)
    state = _release_other(state, running)
    item = running.item
    if outcome is events.Outcome.TARGET_CLOSED:
        # It was not sent.
        item = item._replace(tried_targets=tuple(
            name for name in item.tried_targets if name != ended.target))
        state = state._replace(
            hedges=hedging.refund(state.hedges, item.arrived.service, now_s))
    else:
        item = item._replace(
            is_not_run=item.is_not_run and outcome in placement.NOT_RUN)
    running = running._replace(item=item, other=None)
    return state._replace(
        running=state.running.set(item.arrived.request_id, running))


def drop_other(
        state: placement.State, running: placement.RunningRequest,
        now_s: float) -> tuple[placement.State, placement.RunningRequest]:
    """Cancels the other attempt of a request that ends, if one still runs."""
    if running.other is None:
        return state, running
    cancelled = events.AttemptEnded(running.item.arrived.request_id,
                                    running.other.target,
                                    events.Outcome.CANCELLED)
    state = _release_other(state, running)
    state = state._replace(health_state=health.step(state.health_state,
                                                    cancelled, now_s)[0],
                           suspects=quarantine.step(state.suspects, cancelled,
                                                    now_s)[0])
    return state, running._replace(other=None)


def _release_other(state: placement.State,
                   running: placement.RunningRequest) -> placement.State:
    item = running.item
    return state._replace(view=load_view.remove_attempt(
        state.view, running.other.target, item.profile, item.is_long, False))
