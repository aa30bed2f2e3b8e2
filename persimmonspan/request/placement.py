"""Placement of requests: the scheduler's state and its transitions.

A request is placed on a target that admits it, else it waits until a target has
room. If an attempt fails, the request may be placed on another target. Each
transition also updates the length statistics, the health of targets, the retry
budget and the quarantine.

See Also:
    `persimmonspan.request.scheduler`: maps events to these transitions.
"""

import math
import random
import typing

import immutables

from persimmonspan import errors
from persimmonspan.process import health
from persimmonspan.process import load_view
from persimmonspan.process import target_speeds
from persimmonspan.request import admission
from persimmonspan.request import choice
from persimmonspan.request import cold_targets
from persimmonspan.request import crash_evidence
from persimmonspan.request import events
from persimmonspan.request import hedging
from persimmonspan.request import length
from persimmonspan.request import quarantine
from persimmonspan.request import queueing
from persimmonspan.request import rate_limits
from persimmonspan.request import retry
from persimmonspan.request import speed_preference
from persimmonspan.request import target_backoff

# A request of a short kind that generated more tokens joins the long class.
_MAX_SHORT_TOKENS = 512
# A profile is rebuilt after this many more tokens, or this share of the
# generated tokens if that is more.
_MIN_PROFILE_REFRESH_TOKENS = 32
_PROFILE_REFRESH_SHARE = 1 / 8
# Lanes whose head does not fit and that later lanes may pass at one time. Short
# and long requests are passed only until this share of their time has passed.
_MAX_PASSED_LANES = 2
_URGENT_WAIT_SHARE = 0.5
_INITIAL_AVOID_S = 1.0
_MAX_AVOID_S = 8.0
_PLAIN_SERVICE_WORK = 1.0
_EXPECTED_FIRST_TOKEN_S = 0.5
_SHORT_PRIORITY = 0
_LONG_PRIORITY = 1
_DEFAULT_WORTH = 1.0

NOT_RUN = frozenset({events.Outcome.REFUSED, events.Outcome.CONNECT_FAILED})
# After these outcomes another target is tried, if the request allows it.
RETRYABLE = NOT_RUN | {
    events.Outcome.FAILED_BEFORE_FIRST_TOKEN, events.Outcome.ANSWERED_ERROR,
    events.Outcome.INTERRUPTED
}


class RunningRequest(typing.NamedTuple):
    """A request with an attempt on a target.

    `is_hedge` is set if this attempt was sent beside the first one, and
    `is_hedged` if the request had two attempts at the same time.
    """

    item: queueing.QueuedRequest
    target: str
    profile: load_view.Profile
    is_long: bool
    sent_s: float
    last_progress_s: float
    first_token_s: float = math.inf
    tokens: int = 0
    length_bucket: int = 0
    refresh_at_tokens: int = 0
    backup: str | None = None
    backup_profile: load_view.Profile = load_view.Profile()
    rejected_evacuation_targets: tuple[str, ...] = ()
    copy_ordered_s: float = math.inf  # When its evacuation was ordered.
    software_version: str = ""  # Of its target.
    other: hedging.OtherAttempt | None = None
    is_hedge: bool = False
    is_hedged: bool = False


class State(typing.NamedTuple):
    """Immutable state of the scheduler between two events."""

    view: load_view.View = load_view.View()
    leaving: frozenset[str] = frozenset()
    running: immutables.Map[str, RunningRequest] = immutables.Map()
    queue: queueing.Queue = queueing.Queue()
    lengths: length.Lengths = length.Lengths()
    kinds: immutables.Map[str, events.KindPolicy] = immutables.Map()
    # Median time between tokens by service, updated at ticks.
    token_interval_s: immutables.Map[str, float] = immutables.Map()
    forecasts: immutables.Map[tuple[str, str],
                              admission.LaneForecast] = immutables.Map()
    last_sweep_s: float = 0.0
    health_state: health.State = health.State()
    budget: retry.State = retry.State()
    suspects: quarantine.State = quarantine.State()
    rates: rate_limits.State = rate_limits.State()
    backoff: target_backoff.State = target_backoff.State()
    evacuated: frozenset[str] = frozenset()  # Failure domains.
    cold: cold_targets.State = cold_targets.State()
    speeds: target_speeds.State = target_speeds.State()
    hedges: hedging.State = hedging.State()
    cut_s: float = math.inf  # When a planned stop ends what still runs.


Result = tuple[State, list[events.Command]]


def build_queued_request(state: State, arrived: events.Arrived,
                         now_s: float) -> queueing.QueuedRequest:
    """Returns an arrived request with its predicted memory, work and time."""
    kind = state.kinds.get(arrived.kind)
    is_short = kind.is_short if kind else True
    worth = kind.worth if kind else _DEFAULT_WORTH
    names = state.view.groups.get(arrived.service, ())
    if not names or not is_engine(state, names[0]):
        return queueing.QueuedRequest(
            arrived, now_s, min(arrived.deadline_s, arrived.latest_start_s),
            False, load_view.Profile(), _PLAIN_SERVICE_WORK, worth)
    forecast = _lane_forecast(state, arrived, is_short)
    token_interval_s = state.token_interval_s.get(
        arrived.service, choice.DEFAULT_TOKEN_INTERVAL_S)
    time_s = arrived.deadline_s - now_s
    tokens = min(arrived.max_output_tokens, forecast.likely_tokens)
    latest_start_s = max(
        arrived.deadline_s - _EXPECTED_FIRST_TOKEN_S -
        token_interval_s * tokens, now_s + _MIN_WAIT_SHARE * time_s)
    return queueing.QueuedRequest(
        arrived, now_s,
        min(latest_start_s, arrived.deadline_s,
            arrived.latest_start_s), not is_short,
        admission.build_initial_profile(forecast, arrived.prompt_tokens,
                                        arrived.max_output_tokens),
        forecast.work + arrived.prompt_tokens *
        (1 + forecast.work_per_prompt_token), worth)


def _lane_forecast(state: State, arrived: events.Arrived,
                   is_short: bool) -> admission.LaneForecast:
    curve = length.survival_curve(state.lengths, arrived.workspace,
                                  arrived.kind, is_short)
    cached = state.forecasts.get((arrived.workspace, arrived.kind))
    if cached is not None and cached.curve is curve:
        return cached
    return admission.build_forecast(curve)


# A request may wait for at least this share of the time to its deadline,
# however long requests of its kind run.
_MIN_WAIT_SHARE = 0.25


def is_engine(state: State, target: str) -> bool:
    """Returns whether a target is a known engine."""
    item = state.view.targets.get(target)
    return item is not None and item.target.kv_capacity_tokens > 0


def place(state: State, item: queueing.QueuedRequest, allowed: tuple[str, ...],
          now_s: float, rng: random.Random) -> Result:
    """Dispatches a request; returns no commands if it has to wait.

    `allowed`, if not empty, restricts the choice to these targets. A request
    that the quarantine refuses gets no target. One that may have crashed its
    targets waits until this is known.
    """
    arrived = item.arrived
    if quarantine.find_refused(state.suspects, fingerprints(arrived), now_s):
        return refuse(state, item, errors.Code.QUARANTINED, now_s, rng)
    if item.tried_targets and quarantine.must_wait(
            state.suspects, arrived.request_id, arrived.fingerprint, now_s):
        return state, []
    query = choice.TargetQuery(arrived.service,
                               item.profile,
                               item.is_long,
                               arrived.is_idempotent,
                               item.tried_targets,
                               allowed,
                               arrived.software_version,
                               first_event_by_s=item.arrived_s +
                               arrived.latency_objective_s)
    rules = target_constraints(state)
    target = choice.choose_target(state.view, query, rules, now_s, rng)
    if target is None:
        return state, []
    item = item._replace(tried_targets=item.tried_targets + (target,))
    version = state.view.targets[target].target.software_version
    backup = None
    if arrived.wants_backup:
        backup = choice.backup(state.view,
                               query._replace(software_version=version), rules,
                               target, now_s, rng)
    running = RunningRequest(item,
                             target,
                             item.profile,
                             item.is_long,
                             now_s,
                             now_s,
                             refresh_at_tokens=_MIN_PROFILE_REFRESH_TOKENS,
                             backup=backup,
                             backup_profile=item.profile,
                             software_version=version)
    hedge_after_s = None
    if arrived.may_hedge and len(item.tried_targets) == 1:
        hedge_after_s = hedging.delay_s(state.hedges, arrived.service,
                                        arrived.kind)
    dispatch = events.Dispatch(arrived.request_id,
                               target,
                               target_priority(item),
                               len(item.tried_targets),
                               backup=backup,
                               hedge_after_s=hedge_after_s)
    view = load_view.add_attempt(state.view, target, item.profile, item.is_long,
                                 now_s)
    if backup is not None:
        view = load_view.add_copy(view, backup, item.profile)
    state = state._replace(
        view=view,
        queue=queueing.record_dispatch(state.queue, item, now_s),
        running=state.running.set(arrived.request_id, running),
        health_state=health.step(state.health_state, dispatch, now_s)[0],
        suspects=quarantine.record_dispatch(state.suspects, arrived.request_id,
                                            fingerprints(arrived), target,
                                            now_s),
        rates=rate_limits.record_dispatch(state.rates, target, now_s),
        backoff=target_backoff.record_dispatch(state.backoff, target, now_s))
    commands: list[events.Command] = [
        dispatch,
        *speed_preference.count_dispatch(state.speeds, target, item.is_long)
    ]
    if cold_targets.is_cold(state.cold, target, now_s):
        state = state._replace(
            cold=cold_targets.record_dispatch(state.cold, target, now_s))
        commands.append(events.Count("cold_target_used"))
    return state, commands


def target_priority(item: queueing.QueuedRequest) -> int:
    """Returns the priority of a request at its targets."""
    priority = item.arrived.priority
    if priority is None:
        priority = _LONG_PRIORITY if item.is_long else _SHORT_PRIORITY
    return priority


def fingerprints(arrived: events.Arrived) -> crash_evidence.Fingerprints:
    """Returns by what the quarantine knows a request."""
    return crash_evidence.Fingerprints(arrived.fingerprint,
                                       arrived.part_fingerprints)


def enqueue(state: State, item: queueing.QueuedRequest, now_s: float,
            is_first: bool) -> State:
    """Adds a request to the queue."""
    return state._replace(
        queue=queueing.push(state.queue, item, now_s, is_first))


def dispatch_waiting(state: State, service: str, allowed: tuple[str, ...],
                     now_s: float, rng: random.Random) -> Result:
    """Dispatches waiting requests as long as targets admit them."""
    commands: list[events.Command] = []
    for group in queueing.Group:
        passed = 0
        while passed <= _MAX_PASSED_LANES:
            item = queueing.find_next(state.queue, (service, group), passed)
            if item is None:
                break
            state, more = place(state, item, allowed, now_s, rng)
            if more:
                state = state._replace(
                    queue=queueing.remove_and_rescore(state.queue, item, now_s))
                commands += more
                continue
            time_s = item.latest_start_s - item.arrived_s
            if now_s - item.arrived_s > _URGENT_WAIT_SHARE * time_s:
                break
            passed += 1
    return state, commands


def refresh_profile(state: State,
                    running: RunningRequest) -> tuple[State, RunningRequest]:
    """Rebuilds the profile of a generation and records the length it passed."""
    arrived = running.item.arrived
    kind = state.kinds.get(arrived.kind)
    is_short = kind.is_short if kind else True
    bucket = length.bucket_index(running.tokens)
    lengths = length.observe_passed(state.lengths, arrived.workspace,
                                    arrived.kind, is_short,
                                    running.length_bucket, bucket)
    curve = length.survival_curve(lengths, arrived.workspace, arrived.kind,
                                  is_short)
    step_tokens = max(_MIN_PROFILE_REFRESH_TOKENS,
                      int(running.tokens * _PROFILE_REFRESH_SHARE))
    profile = admission.build_profile(curve, arrived.prompt_tokens,
                                      running.tokens + step_tokens // 2,
                                      arrived.max_output_tokens)
    is_long = running.is_long or running.tokens > _MAX_SHORT_TOKENS
    view = load_view.replace_profile(state.view, running.target,
                                     running.profile, profile,
                                     is_long - running.is_long)
    return state._replace(view=view, lengths=lengths), running._replace(
        profile=profile,
        is_long=is_long,
        length_bucket=bucket,
        refresh_at_tokens=running.tokens + step_tokens)


def record_completion(state: State, running: RunningRequest, tokens: int,
                      now_s: float) -> State:
    """Records a completed attempt in the retry budget and the lengths."""
    arrived = running.item.arrived
    state = record_request_end(state, arrived, True, now_s)
    state = state._replace(hedges=hedging.record_success(
        state.hedges, arrived.service,
        retry.surplus(state.budget, arrived.service), now_s),
                           budget=retry.record_success(state.budget,
                                                       arrived.service))
    if not is_engine(state, running.target):
        return state
    kind = state.kinds.get(arrived.kind)
    is_short = kind.is_short if kind else True
    lengths = length.observe_passed(state.lengths, arrived.workspace,
                                    arrived.kind, is_short,
                                    running.length_bucket,
                                    length.bucket_index(tokens))
    lengths = length.observe_ended(lengths, arrived.workspace, arrived.kind,
                                   is_short, tokens)
    key = (arrived.workspace, arrived.kind)
    curve = length.survival_curve(lengths, *key, is_short)
    forecasts = state.forecasts
    cached = forecasts.get(key)
    if cached is None or cached.curve is not curve:
        forecasts = forecasts.set(key, admission.build_forecast(curve))
    return state._replace(lengths=lengths, forecasts=forecasts)


def release_attempt(state: State, request_id: str, running: RunningRequest,
                    tokens: int, now_s: float) -> State:
    """Removes an attempt that generated `tokens` from its target's load."""
    queue = state.queue
    if is_engine(state, running.target):
        prompt = running.item.arrived.prompt_tokens
        queue = queueing.correct_work(queue, running.item,
                                      prompt + (prompt + tokens / 2) * tokens,
                                      now_s)
    view = load_view.remove_attempt(state.view, running.target, running.profile,
                                    running.is_long, running.tokens > 0)
    if running.backup is not None:
        view = load_view.remove_copy(view, running.backup,
                                     running.backup_profile)
    return state._replace(view=view,
                          queue=queue,
                          running=state.running.delete(request_id))


def cancel_attempt(state: State, request_id: str, running: RunningRequest,
                   now_s: float) -> tuple[State, events.CancelAttempt]:
    """Ends a running request whose caller gets no response of the target."""
    state = release_attempt(state, request_id, running, running.tokens, now_s)
    state = record_request_end(state, running.item.arrived, False, now_s)
    cancel = events.CancelAttempt(request_id, running.target)
    cancelled = events.AttemptEnded(request_id, running.target,
                                    events.Outcome.CANCELLED)
    return state._replace(health_state=health.step(state.health_state, cancel,
                                                   now_s)[0],
                          suspects=quarantine.step(state.suspects, cancelled,
                                                   now_s)[0]), cancel


def target_constraints(state: State) -> choice.TargetConstraints:
    """Returns the constraints on targets other than load."""
    return choice.TargetConstraints(state.leaving, state.health_state,
                                    state.budget, state.rates, state.backoff,
                                    state.cold, state.speeds)


def retry_or_refuse(state: State, running: RunningRequest,
                    outcome: events.Outcome, now_s: float,
                    rng: random.Random) -> Result:
    """Retries a request on another target, queues it, or refuses it.

    A request with tokens goes on at the software version that generated them.
    """
    item = running.item
    if running.tokens and not item.arrived.software_version:
        item = item._replace(arrived=item.arrived._replace(
            software_version=running.software_version))
    item = item._replace(is_not_run=item.is_not_run and outcome in NOT_RUN)
    arrived = item.arrived
    if (len(item.tried_targets) >= arrived.max_attempts or
            not choice.has_eligible_target(state.view, arrived.service,
                                           state.leaving, item.tried_targets,
                                           arrived.software_version)):
        return refuse(state, item, errors.Code.NO_TARGET, now_s, rng)
    attempt = retry.Attempt(arrived.service, item.tried_targets,
                            arrived.is_idempotent, not item.is_long,
                            running.tokens > 0 and not arrived.is_resumable,
                            item.is_repeat)
    budget, decision = retry.may_retry(state.budget, attempt, outcome)
    state = state._replace(budget=budget)
    count_commands: list[events.Command] = [events.Count(decision.reason)]
    if not decision.is_allowed:
        code = (errors.Code.RETRY_BUDGET_EXHAUSTED
                if arrived.is_idempotent else errors.Code.OUTCOME_UNKNOWN)
        if item.is_not_run:
            code = errors.Code.RETRY_BUDGET_EXHAUSTED
        state, commands = refuse(state, item, code, now_s, rng)
        return state, count_commands + commands
    state, commands = place(state, item, (), now_s, rng)
    if commands:
        return state, count_commands + commands
    state, commands = wait_or_refuse(state, item, now_s, rng)
    return state, count_commands + commands


def wait_or_refuse(state: State, item: queueing.QueuedRequest, now_s: float,
                   rng: random.Random) -> Result:
    """Puts a request first in its lane, or refuses it if it starts too late."""
    if item.latest_start_s <= choice.earliest_start_s(state.view,
                                                      item.arrived.service,
                                                      target_constraints(state),
                                                      item.tried_targets,
                                                      now_s):
        return refuse(state, item, errors.Code.OVERLOADED, now_s, rng)
    return enqueue(state, item, now_s, True), []


def place_again(state: State, running: RunningRequest, now_s: float,
                rng: random.Random) -> Result:
    """Places a request whose target closed before the request was sent.

    The attempt does not count against the attempts of the request.
    """
    item = running.item
    item = item._replace(tried_targets=item.tried_targets[:-1])
    state, commands = place(state, item, (), now_s, rng)
    if commands:
        return state, commands
    return wait_or_refuse(state, item, now_s, rng)


def record_request_end(state: State, arrived: events.Arrived, is_success: bool,
                       now_s: float) -> State:
    """Records in the retry budget that a request ended for its caller."""
    return state._replace(budget=retry.record_end(
        state.budget, budget_request(arrived), is_success, now_s))


def budget_request(arrived: events.Arrived) -> retry.Request:
    """Returns the request as the retry budget identifies it."""
    key = arrived.idempotency_key
    return retry.Request(arrived.service,
                         f"{arrived.workspace}/{key or arrived.fingerprint}",
                         bool(key))


def avoid_target(state: State, target: str, now_s: float) -> State:
    """Stops new requests to a target for a time that doubles per failure."""
    item = state.view.targets.get(target)
    failures = item.failures if item else 0
    until_s = now_s + min(_MAX_AVOID_S, _INITIAL_AVOID_S * 2**min(failures, 8))
    return state._replace(view=load_view.avoid(state.view, target, until_s))


def refuse(state: State, item: queueing.QueuedRequest, reason: errors.Code,
           now_s: float, rng: random.Random) -> Result:
    """Ends a request with an error that reports whether it may have run."""
    run_state = (errors.RunState.NOT_RUN
                 if item.is_not_run else errors.RunState.UNKNOWN)
    closed_s = choice.earliest_start_s(state.view, item.arrived.service,
                                       target_constraints(state),
                                       (), now_s) - now_s
    retry_after_s = None
    if item.is_not_run:
        retry_after_s = (target_backoff.draw_pause_s(closed_s, rng)
                         if closed_s else queueing.retry_after_s(
                             state.queue, item, now_s, rng))
    fingerprint = ""
    if reason is errors.Code.QUARANTINED:
        fingerprint = quarantine.find_refused(
            state.suspects, fingerprints(item.arrived), now_s) or ""
        retry_after_s = quarantine.refused_for_s(state.suspects, fingerprint,
                                                 now_s)
    # A refusal without an attempt is not a failure: the caller's repeat takes
    # nothing from the retry budget.
    state = record_request_end(state, item.arrived, not item.tried_targets,
                               now_s)
    return state, [
        events.Refuse(item.arrived.request_id, reason, retry_after_s, run_state,
                      fingerprint),
        events.Count(reason)
    ] + ([events.Count("all_targets_closed")] if closed_s else [])
