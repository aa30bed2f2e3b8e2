"""Scheduler of requests: a pure function from an event to commands.

`step` takes the state, an event, the monotonic time and a source of randomness
and returns the next state and commands. It has no side effects, so replaying a
recorded sequence of events gives the same commands.

The scheduler dispatches an arriving request at once if no request of its class
waits and a target admits it; else the request waits in its lane. Waiting
requests are dispatched to a target when an attempt on it ends, and to all
targets at a tick.

See Also:
    `persimmonspan.request.queueing`: orders the waiting requests.
    `persimmonspan.request.admission`: decides which targets have room.
    `persimmonspan.request.choice`: chooses among these targets.
"""

import functools
import random

import immutables

from persimmonspan import errors
from persimmonspan.process import health
from persimmonspan.process import load_view
from persimmonspan.process import target_speeds
from persimmonspan.request import choice
from persimmonspan.request import cold_targets
from persimmonspan.request import draining
from persimmonspan.request import evacuated_domains
from persimmonspan.request import evacuation
from persimmonspan.request import events
from persimmonspan.request import eviction
from persimmonspan.request import hedge_placement
from persimmonspan.request import hedging
from persimmonspan.request import placement
from persimmonspan.request import quarantine
from persimmonspan.request import queueing
from persimmonspan.request import rate_limits
from persimmonspan.request import retry
from persimmonspan.request import target_backoff

RunningRequest = placement.RunningRequest
State = placement.State
Result = placement.Result

# Minimum time between two ticks at which the quarantine scans all its records
# to drop old ones.
_SWEEP_INTERVAL_S = 1.0
# Events that update the health of targets, their speeds and the quarantine.
_HEALTH_EVENTS = (events.FirstToken, events.Progressed, events.AttemptEnded,
                  events.TargetDied, events.Tick)
_SPEED_EVENTS = (events.FirstToken, events.Progressed, events.AttemptEnded,
                 events.RequestMoved, events.PeerLoad, events.TargetsChanged,
                 events.TargetDied, events.Tick)
_QUARANTINE_EVENTS = (events.AttemptEnded, events.Progressed,
                      events.RequestMoved, events.TargetDied, events.TargetLost,
                      events.TargetAlive, events.LoadReported, events.PeerLoad,
                      events.QuarantineShared, events.QuarantineLifted,
                      events.Tick)


def step(state: State, event: events.Event, now_s: float,
         rng: random.Random) -> Result:
    """Returns the next state and the commands that result from an event."""
    observer_commands: list[events.Command] = []
    if isinstance(event, _HEALTH_EVENTS):
        health_state, observer_commands = health.step(state.health_state, event,
                                                      now_s)
        state = state._replace(health_state=health_state)
    if isinstance(event, _SPEED_EVENTS):
        speeds, classified = target_speeds.step(state.speeds, event, now_s)
        state = state._replace(speeds=speeds)
        observer_commands = observer_commands + classified
    is_before_sweep = (isinstance(event, events.Tick) and
                       now_s - state.last_sweep_s < _SWEEP_INTERVAL_S)
    # A target that leaves cuts what still runs there when it ends.
    is_announced = (isinstance(event, events.TargetDied) and
                    event.target in state.leaving)
    if (isinstance(event, _QUARANTINE_EVENTS) and not is_before_sweep and
            not is_announced):
        suspects, quarantine_commands = quarantine.step(state.suspects, event,
                                                        now_s)
        state = state._replace(suspects=suspects)
        observer_commands = observer_commands + quarantine_commands
    state, commands = _handle_event(event, state, now_s, rng)
    return state, (observer_commands +
                   commands if observer_commands else commands)


def own_loads(state: State) -> tuple[events.TargetLoad, ...]:
    """Returns the load on each target that this daemon reports to peers."""
    return load_view.own_loads(state.view)


def own_demands(state: State, now_s: float) -> tuple[events.Demand, ...]:
    """Returns the rate and backlog of requests of this daemon, by service."""
    return queueing.demands_by_service(state.queue, now_s)


@functools.singledispatch
def _handle_event(event: object, state: State, now_s: float,
                  rng: random.Random) -> Result:
    del event, now_s, rng
    return state, []


@_handle_event.register
def _(event: events.Arrived, state: State, now_s: float,
      rng: random.Random) -> Result:
    if event.request_id in state.running or (event.request_id
                                             in state.queue.requests):
        return state, [
            events.Refuse(event.request_id, errors.Code.CONFLICT, None,
                          errors.RunState.NOT_RUN),
            events.Count("duplicate_request_id")
        ]
    item = placement.build_queued_request(state, event, now_s)
    budget, decision = retry.admit_request(state.budget,
                                           placement.budget_request(event),
                                           now_s)
    if not decision.is_allowed:
        state, commands = placement.refuse(state, item,
                                           errors.Code.RETRY_BUDGET_EXHAUSTED,
                                           now_s, rng)
        return state, commands + [events.Count(decision.reason)]
    state = state._replace(budget=budget)
    if quarantine.find_refused(state.suspects, placement.fingerprints(event),
                               now_s):
        return placement.refuse(state, item, errors.Code.QUARANTINED, now_s,
                                rng)
    if decision.is_repeat:
        item = item._replace(is_repeat=True)
    if draining.outlasts_stop(state, item):
        return draining.refuse(state, item, 0.0, now_s)
    if not choice.has_eligible_target(state.view, event.service, state.leaving,
                                      (), event.software_version):
        return placement.refuse(state, item, errors.Code.NO_TARGET, now_s, rng)
    if queueing.find_next(state.queue, item.order_key, 0) is None:
        state, commands = placement.place(state, item, (), now_s, rng)
        if commands:
            return state, commands
    start_s = choice.earliest_start_s(state.view, event.service,
                                      placement.target_constraints(state), (),
                                      now_s)
    if item.latest_start_s <= start_s or queueing.is_lane_too_long(
            state.queue, item, start_s):
        return placement.refuse(state, item, errors.Code.OVERLOADED, now_s, rng)
    return placement.enqueue(state, item, now_s, False), []


@_handle_event.register
def _(event: events.FirstToken, state: State, now_s: float,
      rng: random.Random) -> Result:
    running = hedge_placement.find(state, event.request_id, event.target)
    if running is None or running.target != event.target or running.tokens:
        return state, []
    state = hedge_placement.record_latency(state, running, now_s)
    view = load_view.record_progress(state.view, event.target, 0, 0.0,
                                     running.profile.mean[0])
    running = running._replace(tokens=1,
                               last_progress_s=now_s,
                               first_token_s=now_s)
    state = state._replace(view=view,
                           running=state.running.set(event.request_id, running))
    if running.target in state.leaving:
        return evacuation.evacuate(state, running, now_s, rng)
    return state, []


@_handle_event.register
def _(event: events.Progressed, state: State, now_s: float,
      rng: random.Random) -> Result:
    running = hedge_placement.find(state, event.request_id, event.target)
    if (running is None or running.target != event.target or
            event.tokens <= running.tokens or
        (running.tokens and event.tokens < running.refresh_at_tokens)):
        return state, []
    view = load_view.record_progress(
        state.view, event.target, event.tokens - running.tokens,
        now_s - running.last_progress_s,
        None if running.tokens else running.profile.mean[0])
    running = running._replace(tokens=event.tokens, last_progress_s=now_s)
    state = state._replace(view=view)
    if event.tokens >= running.refresh_at_tokens:
        state, running = placement.refresh_profile(state, running)
    state = state._replace(running=state.running.set(event.request_id, running))
    if running.target in state.leaving:
        return evacuation.renew_copy(state, running, now_s, rng)
    return state, []


@_handle_event.register
def _(event: events.AttemptEnded, state: State, now_s: float,
      rng: random.Random) -> Result:
    running = hedge_placement.find(state, event.request_id, event.target)
    if running is None or running.target != event.target:
        return state, []
    outcome = event.outcome
    if running.other is not None and outcome is not events.Outcome.COMPLETED:
        state = hedge_placement.end_one(state, running, outcome, now_s)
        return placement.dispatch_waiting(_record_failure(state, event, now_s),
                                          running.item.arrived.service,
                                          (event.target,), now_s, rng)
    state, running = hedge_placement.drop_other(state, running, now_s)
    state = placement.release_attempt(state, event.request_id, running,
                                      event.tokens, now_s)
    if outcome is events.Outcome.COMPLETED and not running.tokens:
        state = hedge_placement.record_latency(state, running, now_s)
    running = running._replace(tokens=max(running.tokens, event.tokens))
    commands: list[events.Command] = []
    if outcome is events.Outcome.COMPLETED:
        state = placement.record_completion(state, running, event.tokens, now_s)
    elif outcome in placement.RETRYABLE:
        state = _record_failure(state, event, now_s)
        state, commands = placement.retry_or_refuse(state, running, outcome,
                                                    now_s, rng)
    elif outcome is events.Outcome.TARGET_CLOSED:
        state, commands = placement.place_again(state, running, now_s, rng)
    else:
        state = placement.record_request_end(state, running.item.arrived, False,
                                             now_s)
    state, more = placement.dispatch_waiting(state,
                                             running.item.arrived.service,
                                             (event.target,), now_s, rng)
    return state, commands + more


def _record_failure(state: State, event: events.AttemptEnded,
                    now_s: float) -> State:
    """Records in the choice of targets how an attempt failed."""
    if event.outcome is events.Outcome.REFUSED:
        return state._replace(
            budget=retry.record_refusal(state.budget, event.target, now_s))
    if (event.outcome in placement.RETRYABLE and
            event.outcome is not events.Outcome.ANSWERED_ERROR):
        return placement.avoid_target(state, event.target, now_s)
    return state


@_handle_event.register
def _(event: events.HedgeDue, state: State, now_s: float,
      rng: random.Random) -> Result:
    return hedge_placement.start(state, event, now_s, rng)


@_handle_event.register
def _(event: events.StopBegan, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    return draining.refuse_waiting(state._replace(cut_s=event.cut_s), now_s)


@_handle_event.register
def _(event: events.HedgeLimitsChanged, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s, rng
    return state._replace(hedges=hedging.set_limits(state.hedges, event.share,
                                                    event.max_budget)), []


@_handle_event.register
def _(event: events.RequestMoved, state: State, now_s: float,
      rng: random.Random) -> Result:
    running = state.running.get(event.request_id)
    if running is None or running.target == event.target:
        return state, [events.AssignBackup(event.request_id, None)]
    # Parts of its prompt are not held against a stream that made progress.
    if quarantine.refused_for_s(state.suspects,
                                running.item.arrived.fingerprint, now_s):
        state, commands = evacuation.refuse_move(state, event, running, now_s)
        state, more = placement.dispatch_waiting(state,
                                                 running.item.arrived.service,
                                                 (running.target,), now_s, rng)
        return state, commands + more
    state = state._replace(
        rates=rate_limits.record_dispatch(state.rates, event.target, now_s),
        cold=cold_targets.record_dispatch(state.cold, event.target, now_s))
    state, commands = evacuation.record_move(state, event, running, now_s, rng)
    state, more = placement.dispatch_waiting(state,
                                             running.item.arrived.service,
                                             (running.target,), now_s, rng)
    return state, commands + more


@_handle_event.register
def _(event: events.MoveFailed, state: State, now_s: float,
      rng: random.Random) -> Result:
    running = state.running.get(event.request_id)
    if running is None or running.backup != event.evacuation_target:
        return state, []
    return evacuation.retry_move(state, running, now_s, rng)


@_handle_event.register
def _(event: events.RequestAbandoned, state: State, now_s: float,
      rng: random.Random) -> Result:
    queued = state.queue.requests.get(event.request_id)
    if queued is not None:
        state = placement.record_request_end(state, queued.arrived, False,
                                             now_s)
        return state._replace(
            queue=queueing.remove(state.queue, event.request_id)), []
    running = state.running.get(event.request_id)
    if running is None or not (running.is_hedged or
                               placement.is_engine(state, running.target)):
        # A call to a plain service is not cancelled: its outcome is recorded.
        # That of a hedged one is told before this event.
        return state, []
    state, running = hedge_placement.drop_other(state, running, now_s)
    state, cancel = placement.cancel_attempt(state, event.request_id, running,
                                             now_s)
    state, commands = placement.dispatch_waiting(state,
                                                 running.item.arrived.service,
                                                 (running.target,), now_s, rng)
    return state, [cancel] + commands


@_handle_event.register
def _(event: events.LoadReported, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    return state._replace(
        view=load_view.apply_report(state.view, event, now_s)), []


@_handle_event.register
def _(event: events.PeerLoad, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    return state._replace(
        view=load_view.apply_peer_load(state.view, event, now_s)), []


@_handle_event.register
def _(event: events.PeerStarted, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    return state._replace(
        view=load_view.record_peer_start(state.view, event, now_s)), []


@_handle_event.register
def _(event: events.TargetsChanged, state: State, now_s: float,
      rng: random.Random) -> Result:
    groups: dict[str, list[events.Target]] = {}
    for target in evacuated_domains.select_targets(event.targets,
                                                   event.evacuated):
        groups.setdefault(target.service, []).append(target)
    subsets = {
        service: choice.select_subset(event.daemon, members)
        for service, members in groups.items()
    }
    view = load_view.set_targets(state.view, subsets, event.digest_interval_s)
    members = tuple(item for group in subsets.values() for item in group)
    health_state, commands = health.step(state.health_state,
                                         event._replace(targets=members), now_s)
    shares = immutables.Map(
        {item.name: item.share for item in event.workspaces})
    state = state._replace(
        view=view,
        leaving=(state.leaving & {item.name for item in event.targets} |
                 event.leaving),
        queue=state.queue._replace(shares=shares),
        health_state=health_state,
        kinds=immutables.Map({item.name: item for item in event.kinds}))
    state, more = evacuated_domains.apply(state, event.targets, event.evacuated,
                                          now_s, rng)
    return state, commands + more


@_handle_event.register
def _(event: events.RateNamed, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    return state._replace(rates=rate_limits.record_answer(
        state.rates, event.target, event.per_s, event.age_s, now_s)), []


@_handle_event.register
def _(event: events.TargetClosed, state: State, now_s: float,
      rng: random.Random) -> Result:
    state = state._replace(backoff=target_backoff.close(
        state.backoff, event.target, event.pause_s, now_s))
    return eviction.refuse_late(state, now_s, rng)


@_handle_event.register
def _(event: events.TargetOpened, state: State, now_s: float,
      rng: random.Random) -> Result:
    state = state._replace(
        backoff=target_backoff.reopen(state.backoff, event.target, now_s))
    item = state.view.targets.get(event.target)
    if item is None:
        return state, []
    return placement.dispatch_waiting(state, item.target.service,
                                      (event.target,), now_s, rng)


@_handle_event.register
def _(event: events.TargetCold, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    return state._replace(cold=cold_targets.set_cold(
        state.cold, event.target, event.per_s, event.cold_s, now_s)), []


@_handle_event.register
def _(event: events.ColdSharesChanged, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    limits = cold_targets.Limits(event.overrun, event.tolerance)
    return state._replace(
        cold=cold_targets.set_daemons(state.cold, event.daemon, event.daemons,
                                      event.is_complete, limits, now_s)), []


@_handle_event.register
def _(event: events.DaemonsChanged, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    return state._replace(rates=rate_limits.set_daemons(
        state.rates, event.daemon, event.daemons, now_s)), []


@_handle_event.register
def _(event: events.RetryLimitsChanged, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s, rng
    limits = retry.Limits(event.deposit, event.cap, event.cap)
    return state._replace(budget=retry.set_limits(state.budget, limits)), []


@_handle_event.register
def _(event: events.TargetLeaving, state: State, now_s: float,
      rng: random.Random) -> Result:
    if event.target in state.leaving:
        return state, []
    state = state._replace(leaving=state.leaving | {event.target})
    commands: list[events.Command] = []
    for running in state.running.values():
        is_running_there = running.target == event.target
        is_copy_lost = (running.backup == event.target and
                        running.target in state.leaving)
        if is_running_there or is_copy_lost:
            state, more = evacuation.evacuate(state, running, now_s, rng)
            commands += more
    return state, commands


@_handle_event.register
def _(event: events.TargetReturned, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s, rng
    return state._replace(leaving=state.leaving - {event.target}), []


@_handle_event.register
def _(event: events.TargetDied, state: State, now_s: float,
      rng: random.Random) -> Result:
    item = state.view.targets.get(event.target)
    if item is not None and now_s >= item.avoid_until_s:
        state = placement.avoid_target(state, event.target, now_s)
    return eviction.refuse_quarantined(state, now_s, rng)


@_handle_event.register
def _(event: events.TargetLost, state: State, now_s: float,
      rng: random.Random) -> Result:
    del event
    return eviction.refuse_quarantined(state, now_s, rng)


@_handle_event.register
def _(event: events.QuarantineShared, state: State, now_s: float,
      rng: random.Random) -> Result:
    if not event.is_refused:
        return state, []
    return eviction.refuse_quarantined(state, now_s, rng)


@_handle_event.register
def _(event: events.Tick, state: State, now_s: float,
      rng: random.Random) -> Result:
    del event
    queue, expired = queueing.remove_expired(state.queue, now_s)
    services = state.view.groups
    state = state._replace(
        view=load_view.forget_silent_peers(state.view, now_s),
        queue=queueing.rescore_lanes(queue, now_s),
        budget=retry.tick(state.budget, now_s),
        token_interval_s=immutables.Map({
            name: choice.median_token_interval_s(state.view, name)
            for name in services
        }))
    if now_s - state.last_sweep_s >= _SWEEP_INTERVAL_S:
        state = state._replace(budget=retry.tick(state.budget, now_s),
                               rates=rate_limits.expire(state.rates, now_s),
                               cold=cold_targets.expire(state.cold, now_s),
                               backoff=target_backoff.expire(
                                   state.backoff, now_s),
                               last_sweep_s=now_s)
    commands: list[events.Command] = []
    for item in expired:
        state, refusal = placement.refuse(state, item, errors.Code.OVERLOADED,
                                          now_s, rng)
        commands += refusal
    state, refusals = eviction.refuse_late(state, now_s, rng)
    commands += refusals
    # Retries that began to wait after the stop did.
    state, refusals = draining.refuse_waiting(state, now_s)
    commands += refusals
    for service in {key[0] for key in state.queue.ranked_lanes}:
        state, more = placement.dispatch_waiting(state, service, (), now_s, rng)
        commands += more
    return state, commands
