"""Detects stragglers and hung targets from the daemon's own observations.

A target's load report shows a straggler late, and a hung target may still pass
its health check. The daemon sees each token, so it compares a target's time per
token and time to the first token with the median of the other targets of its
service. The comparison is not with a fixed limit or with the past, so a load
spike that slows all targets lowers the weight of none.

Observations are averaged as logarithms, on which a single long gap has little
effect. Each evaluation turns the ratio to the median into a weight for new
work: 1 below `ENTER_RATIO`, and falling with the cube of the ratio above it.
Hysteresis (`ENTER_RATIO`, `LEAVE_RATIO`) keeps a target near the limit from
switching at every evaluation. A weight falls at once and rises in steps, since
a target that gets all its work back at once slows down again.

A target is hung when work that has started there produces no token for
`TOKEN_SILENCE_TIMEOUT_S` while other targets of the service produce tokens; its
weight is then 0. The weights removed never add up to more than
`MAX_EJECTED_SHARE` of a service's capacity; hung targets are ejected first,
then the slowest.

How to call it: call `step` with the scheduler's events and with its commands
`events.Dispatch` (also of hedges) and `events.CancelAttempt`; each attempt must
end in an `events.AttemptEnded` or a `CancelAttempt`. `step` returns
`events.Count` commands. Call `weight` and `is_probe_due` for each candidate:
when `is_probe_due` returns true, send the target one short idempotent request
whatever its weight.

>>> targets = tuple(events.Target(name, "drafts", "", "lima-a")
...                 for name in ("e1", "e2", "e3"))
>>> state, _ = step(State(), events.TargetsChanged(1, targets, (), ()), 0.0)
>>> weight(state, "e1"), is_hung(state, "e1")
(1.0, False)

See Also:
    `persimmonspan.request.retry`: send weight after refusals.

References:
    Huang et al., Gray Failure, HotOS 2017: what a client sees and what a health
    check sees differ.
"""

import functools
import math
import typing

import immutables

from persimmonspan.request import events

EVALUATION_INTERVAL_S = 0.5
ENTER_RATIO = 1.6  # Batches of unequal size differ by less than this.
LEAVE_RATIO = 1.25
# At the onset of a load spike only some targets have new samples.
EVALUATIONS_TO_ENTER = 3
# First-token times also depend on prompts and queues.
FIRST_TOKEN_SCALE = 1.0 / 3.0
# At equal load a weight w of one in n targets is a share w / (n - 1 + w) of the
# work. The cube keeps that share below 1 in 100 from a ratio of 3.5 at 6
# targets, so that a straggler does not reach the 99th percentile.
WEIGHT_EXPONENT = 3.0
MIN_WEIGHT = 0.02  # Keeps some work on a straggler, so it is still observed.
RISE_PER_EVALUATION = 0.1
MAX_EJECTED_SHARE = 0.5
TOKEN_SILENCE_TIMEOUT_S = 2.0
FIRST_TOKEN_TIMEOUT_S = 15.0  # Work may wait this long in an engine's queue.
PROBE_INTERVAL_S = 5.0
_ACTIVE_TOKEN_AGE_S = 1.0  # A target with a newer token counts as active.
_MIN_DAEMON_PAUSE_S = 2.0
_HANG_HOLDOFF_S = 1.0
_MIN_SAMPLES = 4.0
_MAX_SAMPLES = 40.0
_SAMPLE_DECAY = 0.9  # Per evaluation; halves the samples' weight in about 3 s.


class LogAverage(typing.NamedTuple):
    """Averaged logarithm of an observed time, and samples not yet averaged."""

    value: float = 0.0
    samples: float = 0.0  # Decayed number of samples behind `value`.
    new_sum: float = 0.0
    new_samples: int = 0


class Health(typing.NamedTuple):
    """Observations of one target and the resulting state."""

    service: str
    capacity: float
    gap: LogAverage = LogAverage()
    first_token: LogAverage = LogAverage()
    weight: float = 1.0
    is_slow: bool = False
    slow_evaluations: int = 0  # Consecutive ones.
    is_hung: bool = False
    started: int = 0  # Attempts that have produced a token.
    waiting: int = 0  # Attempts that have produced none.
    waiting_since_s: float = -math.inf
    token_s: float = -math.inf  # Last token or completed response.
    probed_s: float = -math.inf


class _Attempt(typing.NamedTuple):
    dispatched_s: float
    tokens: int = 0
    progressed_s: float = 0.0
    has_started: bool = False


class State(typing.NamedTuple):
    """Health per target, and the attempts through which it is observed."""

    targets: immutables.Map[str, Health] = immutables.Map()
    attempts: immutables.Map[tuple[str, str], _Attempt] = immutables.Map()
    evaluated_s: float = 0.0
    hang_detection_from_s: float = 0.0  # No hang is detected before.


Result = tuple[State, list[events.Command]]


def weight(state: State, target: str) -> float:
    """Returns a target's weight for new work, from 0 to 1."""
    health = state.targets.get(target)
    return 1.0 if health is None else health.weight


def is_hung(state: State, target: str) -> bool:
    """Returns whether a target produces no tokens although work runs there."""
    health = state.targets.get(target)
    return health is not None and health.is_hung


def is_probe_due(state: State, target: str, now_s: float) -> bool:
    """Returns whether to send a target one request to check its recovery."""
    health = state.targets.get(target)
    if health is None or not (health.is_hung or health.is_slow):
        return False
    return now_s - max(health.probed_s, health.token_s) >= PROBE_INTERVAL_S


def step(state: State,
         event: events.Event | events.Command,
         now_s: float,
         rng: object = None) -> Result:
    """Returns the next state and one `events.Count` per change."""
    del rng
    return _step(event, state, now_s)


@functools.singledispatch
def _step(event: object, state: State, now_s: float) -> Result:
    del event, now_s
    return state, []


@_step.register
def _(event: events.TargetsChanged, state: State, now_s: float) -> Result:
    del now_s
    targets = {}
    for target in event.targets:
        previous = state.targets.get(target.name)
        if previous is None or previous.service != target.service:
            previous = Health(target.service, 1.0)
        targets[target.name] = previous._replace(
            capacity=float(target.max_running))
    return state._replace(targets=immutables.Map(targets)), []


@_step.register
def _(event: events.Dispatch, state: State, now_s: float) -> Result:
    health = state.targets.get(event.target)
    if health is None:
        return state, []
    since_s = health.waiting_since_s if health.waiting else now_s
    probed_s = health.probed_s if health.weight == 1.0 else now_s
    health = health._replace(waiting=health.waiting + 1,
                             waiting_since_s=since_s,
                             probed_s=probed_s)
    return state._replace(targets=state.targets.set(event.target, health),
                          attempts=state.attempts.set(
                              (event.request_id, event.target),
                              _Attempt(now_s))), []


@_step.register
def _(event: events.FirstToken, state: State, now_s: float) -> Result:
    return _record_token(state, event.request_id, event.target, 1, now_s)


@_step.register
def _(event: events.Progressed, state: State, now_s: float) -> Result:
    return _record_token(state, event.request_id, event.target, event.tokens,
                         now_s)


@_step.register
def _(event: events.AttemptEnded, state: State, now_s: float) -> Result:
    commands: list[events.Command] = []
    attempt = state.attempts.get((event.request_id, event.target))
    if attempt and event.outcome is events.Outcome.COMPLETED:
        # A plain service sends no tokens: its response counts as one.
        state, commands = _record_token(state, event.request_id, event.target,
                                        max(event.tokens, attempt.tokens, 1),
                                        now_s)
    return _end_attempt(state, event.request_id, event.target), commands


@_step.register
def _(event: events.CancelAttempt, state: State, now_s: float) -> Result:
    del now_s
    return _end_attempt(state, event.request_id, event.target), []


@_step.register
def _(event: events.TargetDied, state: State, now_s: float) -> Result:
    del now_s
    health = state.targets.get(event.target)
    if health is None:
        return state, []
    # Observations of one incarnation do not apply to the next.
    health = health._replace(gap=LogAverage(),
                             first_token=LogAverage(),
                             is_slow=False,
                             is_hung=False)
    return state._replace(targets=state.targets.set(event.target, health)), []


@_step.register
def _(event: events.Tick, state: State, now_s: float) -> Result:
    del event
    if now_s - state.evaluated_s < EVALUATION_INTERVAL_S:
        return state, []
    hang_detection_from_s = state.hang_detection_from_s
    if now_s - state.evaluated_s > _MIN_DAEMON_PAUSE_S:
        # The daemon was paused: tokens may be queued behind this event.
        hang_detection_from_s = now_s + _HANG_HOLDOFF_S
    by_service: dict[str, dict[str, Health]] = {}
    for name, health in sorted(state.targets.items()):
        by_service.setdefault(health.service, {})[name] = health._replace(
            gap=_average_samples(health.gap),
            first_token=_average_samples(health.first_token))
    commands: list[events.Command] = []
    with state.targets.mutate() as targets:
        for group in by_service.values():
            evaluated = _evaluate_service(group, now_s, now_s
                                          >= hang_detection_from_s)
            targets.update(evaluated)
            commands += _count_changes(state, evaluated)
        return state._replace(
            targets=targets.finish(),
            evaluated_s=now_s,
            hang_detection_from_s=hang_detection_from_s), commands


def _record_token(state: State, request_id: str, target: str, tokens: int,
                  now_s: float) -> Result:
    entry = (request_id, target)
    attempt = state.attempts.get(entry)
    health = state.targets.get(target)
    if attempt is None or health is None:
        return state, []
    gap, first_token = health.gap, health.first_token
    started, waiting = health.started, health.waiting
    if not attempt.has_started:
        started, waiting = started + 1, waiting - 1
        first_token = _add_sample(first_token, now_s - attempt.dispatched_s)
    elif tokens > attempt.tokens and now_s > attempt.progressed_s:
        gap = _add_sample(gap, (now_s - attempt.progressed_s) /
                          (tokens - attempt.tokens))
    commands: list[events.Command] = []
    if health.is_hung:
        # The length of the silence says nothing about the target's speed.
        gap, first_token = LogAverage(), LogAverage()
        commands = [events.Count("health_hung_recovered")]
    health = health._replace(gap=gap,
                             first_token=first_token,
                             started=started,
                             waiting=waiting,
                             token_s=now_s,
                             is_hung=False)
    attempt = _Attempt(attempt.dispatched_s, tokens, now_s, True)
    return state._replace(targets=state.targets.set(target, health),
                          attempts=state.attempts.set(entry, attempt)), commands


def _end_attempt(state: State, request_id: str, target: str) -> State:
    attempt = state.attempts.get((request_id, target))
    if attempt is None:
        return state
    state = state._replace(attempts=state.attempts.delete((request_id, target)))
    health = state.targets.get(target)
    if health is None:
        return state
    if attempt.has_started:
        health = health._replace(started=max(0, health.started - 1))
    else:
        health = health._replace(waiting=max(0, health.waiting - 1))
    return state._replace(targets=state.targets.set(target, health))


def _add_sample(level: LogAverage, time_s: float) -> LogAverage:
    return level._replace(new_sum=level.new_sum + math.log(max(time_s, 1e-6)),
                          new_samples=level.new_samples + 1)


def _average_samples(level: LogAverage) -> LogAverage:
    """Averages the new samples in; old samples decay even without new ones."""
    samples = level.samples * _SAMPLE_DECAY
    if not level.new_samples:
        return level._replace(samples=samples)
    total = samples + level.new_samples
    value = (level.value * samples + level.new_sum) / total
    return LogAverage(value, min(total, _MAX_SAMPLES))


def _evaluate_service(group: dict[str, Health], now_s: float,
                      detects_hangs: bool) -> dict[str, Health]:
    """Returns the targets of one service with new weights."""
    gaps = _ratios_to_median({
        name: health.gap for name, health in group.items()
    })
    first_tokens = _ratios_to_median({
        name: health.first_token for name, health in group.items()
    })
    evaluated, severity = {}, {}
    for name, health in group.items():
        ratio = gaps.get(name)
        if name in first_tokens:
            ratio = max(ratio or 0.0, first_tokens[name] * FIRST_TOKEN_SCALE)
        is_slow, slow_evaluations = health.is_slow, health.slow_evaluations
        if ratio is not None:
            limit = LEAVE_RATIO if is_slow else ENTER_RATIO
            slow_evaluations = slow_evaluations + 1 if ratio >= limit else 0
            is_slow = slow_evaluations >= EVALUATIONS_TO_ENTER
        hung = health.is_hung or (detects_hangs and
                                  _is_silent(group, name, now_s))
        wanted_weight = 1.0
        if hung:
            wanted_weight = 0.0
        elif is_slow:
            wanted_weight = health.weight
            if ratio is not None:
                wanted_weight = min(1.0, (LEAVE_RATIO / ratio)**WEIGHT_EXPONENT)
            wanted_weight = max(MIN_WEIGHT, wanted_weight)
        value = min(wanted_weight, health.weight + RISE_PER_EVALUATION)
        evaluated[name] = health._replace(weight=value,
                                          is_slow=is_slow,
                                          slow_evaluations=slow_evaluations,
                                          is_hung=hung)
        # The name breaks ties, so that a replay does not depend on hashes.
        severity[name] = (hung, is_slow, ratio or 0.0, name)
    return _cap_ejected_weight(
        evaluated, sorted(evaluated, key=severity.get, reverse=True))


def _ratios_to_median(levels: dict[str, LogAverage]) -> dict[str, float]:
    """Returns each target's time over the median of the others' times.

    It uses the lower median, so that of three targets two stragglers are both
    compared with the third.
    """
    sampled = sorted((level.value, name)
                     for name, level in levels.items()
                     if level.samples >= _MIN_SAMPLES)
    if len(sampled) < 2:
        return {}
    middle = (len(sampled) - 2) // 2
    return {
        name: math.exp(value - sampled[middle + (i <= middle)][0])
        for i, (value, name) in enumerate(sampled)
    }


def _is_silent(group: dict[str, Health], name: str, now_s: float) -> bool:
    health = group[name]
    if not health.started and not health.waiting:
        return False
    others = [other for key, other in group.items() if key != name]
    silent_s = now_s - health.token_s
    limit_s = TOKEN_SILENCE_TIMEOUT_S
    if not health.started:
        silent_s = now_s - max(health.token_s, health.waiting_since_s)
        limit_s = FIRST_TOKEN_TIMEOUT_S
    busy = [
        other for other in others
        if (other.started or other.waiting) and not other.is_hung
    ]
    if not busy:
        # No busy target to compare with: only a long silence shows a hang.
        return bool(others) and silent_s >= FIRST_TOKEN_TIMEOUT_S
    active = sum(now_s - other.token_s < _ACTIVE_TOKEN_AGE_S for other in busy)
    # One token among silent targets may be the first after a common stall.
    return silent_s >= limit_s and 2 * active >= len(busy)


def _cap_ejected_weight(group: dict[str, Health],
                        worst_first: list[str]) -> dict[str, Health]:
    """Limits the ejected weight to a share of the service's capacity."""
    remaining = MAX_EJECTED_SHARE * sum(
        health.capacity for health in group.values())
    capped = {}
    for name in worst_first:
        health = group[name]
        ejected = (1.0 - health.weight) * health.capacity
        if ejected > remaining:
            health = health._replace(weight=1.0 - remaining / health.capacity)
        remaining = max(0.0, remaining - ejected)
        capped[name] = health
    return capped


def _count_changes(state: State,
                   evaluated: dict[str, Health]) -> list[events.Command]:
    commands: list[events.Command] = []
    for name, health in evaluated.items():
        before = state.targets[name]
        if health.is_hung and not before.is_hung:
            commands.append(events.Count("health_hung"))
        if health.is_slow != before.is_slow:
            commands.append(
                events.Count("health_slow" if health.
                             is_slow else "health_slow_recovered"))
    return commands
