"""Scheduler of requests: one pure step from an event to commands.

`step` takes the state, an event, the monotonic time and a source of randomness
and returns the next state with commands. It has no side effects, so a recorded
sequence of events replays to the same commands.

A request that arrives is dispatched at once if its class has no queue and a
target admits it; else it waits in its lane. The queue is served when a target
gets room: for that target when an attempt ends, for all at a tick.

See Also:
    `persimmonspan.request.queueing`: which request is next.
    `persimmonspan.request.admission`: which target can take it.
    `persimmonspan.request.choice`: which of these targets gets it.
"""

import functools
import random
import typing

import immutables

from persimmonspan import errors
from persimmonspan.process import load_view
from persimmonspan.request import admission
from persimmonspan.request import choice
from persimmonspan.request import events
from persimmonspan.request import length
from persimmonspan.request import queueing

_MAX_ATTEMPTS = 3
# A request must be able to end within its deadline with this probability.
_IN_TIME_PROBABILITY = 0.85
# A short kind that has generated more belongs to the long class.
_OUTGROWN_TOKENS = 512
# A profile is built anew when the tokens have grown by this much.
_REFRESH_TOKENS = 32
_REFRESH_SHARE = 1 / 8
# Lanes that may pass one whose head does not fit, while it is not yet urgent.
_PASSING_LANES = 2
_URGENT_SHARE = 0.5
_AVOID_S = 1.0
_MOST_AVOID_S = 8.0
_PLAIN_WORK = 1.0
_FIRST_TOKEN_S = 0.5
_SHORT_PRIORITY = 0
_LONG_PRIORITY = 1
_DEFAULT_WORTH = 1.0

_MAYBE_RAN = frozenset({
    events.Outcome.FAILED_BEFORE_FIRST_TOKEN,
    events.Outcome.FAILED_AFTER_FIRST_TOKEN
})
_NOT_RUN = frozenset({events.Outcome.REFUSED, events.Outcome.CONNECT_FAILED})


class Running(typing.NamedTuple):
    """A request with an attempt on a target."""

    item: queueing.Queued
    target: str
    profile: load_view.Profile
    is_long: bool
    progress_s: float
    tokens: int = 0
    bucket: int = 0
    refresh_at: int = 0


class State(typing.NamedTuple):
    """State of the scheduler."""

    view: load_view.View = load_view.View()
    leaving: frozenset[str] = frozenset()
    running: immutables.Map[str, Running] = immutables.Map()
    queue: queueing.Queue = queueing.Queue()
    lengths: length.Lengths = length.Lengths()
    kinds: immutables.Map[str, events.KindPolicy] = immutables.Map()
    # Median token interval by service, taken at ticks.
    usual_s: immutables.Map[str, float] = immutables.Map()


Result = tuple[State, list[events.Command]]


def step(state: State, event: events.Event, now_s: float,
         rng: random.Random) -> Result:
    """Returns the next state and the commands that the event leads to."""
    return _step(event, state, now_s, rng)


def peer_loads(state: State) -> tuple[events.TargetLoad, ...]:
    """Returns what this daemon tells its peers."""
    return load_view.own_loads(state.view)


@functools.singledispatch
def _step(event: object, state: State, now_s: float,
          rng: random.Random) -> Result:
    del event, now_s, rng
    return state, []


@_step.register
def _(event: events.Arrived, state: State, now_s: float,
      rng: random.Random) -> Result:
    if event.request_id in state.running or (event.request_id
                                             in state.queue.requests):
        return state, [
            events.Refuse(event.request_id, errors.Code.CONFLICT, None,
                          errors.RunState.NOT_RUN),
            events.Count("duplicate_request_id")
        ]
    item = _queued(state, event, now_s)
    if not choice.any_open(state.view, event.service, state.leaving, ()):
        return _refuse(state, item, errors.Code.NO_TARGET, now_s, rng)
    if queueing.first(state.queue, (event.service, item.is_long), 0) is None:
        placed, commands = _place(state, item, (), now_s, rng)
        if commands:
            return placed, commands
    if item.latest_s <= now_s or queueing.is_overlong(state.queue, item, now_s):
        return _refuse(state, item, errors.Code.OVERLOADED, now_s, rng)
    return state._replace(queue=queueing.push(state.queue, item, now_s)), []


@_step.register
def _(event: events.FirstToken, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    running = state.running.get(event.request_id)
    if running is None or running.target != event.target or running.tokens:
        return state, []
    view = load_view.progressed(state.view, event.target, 0, 0.0, now_s, True)
    running = running._replace(tokens=1, progress_s=now_s)
    return state._replace(view=view,
                          running=state.running.set(event.request_id,
                                                    running)), []


@_step.register
def _(event: events.Progressed, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    running = state.running.get(event.request_id)
    if (running is None or running.target != event.target or
            event.tokens <= running.tokens):
        return state, []
    view = load_view.progressed(state.view, event.target,
                                event.tokens - running.tokens,
                                now_s - running.progress_s, now_s,
                                running.tokens == 0)
    running = running._replace(tokens=event.tokens, progress_s=now_s)
    state = state._replace(view=view)
    if event.tokens >= running.refresh_at:
        state, running = _grown(state, running)
    return state._replace(
        running=state.running.set(event.request_id, running)), []


@_step.register
def _(event: events.AttemptEnded, state: State, now_s: float,
      rng: random.Random) -> Result:
    running = state.running.get(event.request_id)
    if running is None or running.target != event.target:
        return state, []
    state = _release(state, event.request_id, running)
    outcome = event.outcome
    commands: list[events.Command] = []
    if outcome is events.Outcome.COMPLETED:
        state = _learn(state, running, event.tokens)
    elif outcome in _NOT_RUN or (outcome
                                 is events.Outcome.FAILED_BEFORE_FIRST_TOKEN):
        state = _avoid(state, event.target, now_s)
        state, commands = _again(state, running, outcome, now_s, rng)
    state, more = _drain(state, running.item.arrived.service, (event.target,),
                         now_s, rng)
    return state, commands + more


@_step.register
def _(event: events.Abandoned, state: State, now_s: float,
      rng: random.Random) -> Result:
    if event.request_id in state.queue.requests:
        return state._replace(
            queue=queueing.remove(state.queue, event.request_id)), []
    running = state.running.get(event.request_id)
    if running is None or not _is_model(state, running.target):
        # A call to a plain service goes on; its outcome is recorded.
        return state, []
    state = _release(state, event.request_id, running)
    state, commands = _drain(state, running.item.arrived.service,
                             (running.target,), now_s, rng)
    return state, [events.CancelAttempt(event.request_id, running.target)
                  ] + commands


@_step.register
def _(event: events.LoadReported, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    return state._replace(view=load_view.reported(state.view, event, now_s)), []


@_step.register
def _(event: events.PeerLoad, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    return state._replace(
        view=load_view.peer_spoke(state.view, event, now_s)), []


@_step.register
def _(event: events.TargetsChanged, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s, rng
    groups: dict[str, list[events.Target]] = {}
    for target in event.targets:
        groups.setdefault(target.service, []).append(target)
    view = load_view.listed(
        state.view, {
            service: choice.subset(event.daemon, members)
            for service, members in groups.items()
        })
    shares = immutables.Map(
        {item.name: item.share for item in event.workspaces})
    return state._replace(
        view=view,
        leaving=state.leaving & {item.name for item in event.targets},
        queue=state.queue._replace(shares=shares),
        kinds=immutables.Map({item.name: item for item in event.kinds})), []


@_step.register
def _(event: events.TargetLeaving, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s, rng
    return state._replace(leaving=state.leaving | {event.target}), []


@_step.register
def _(event: events.TargetReturned, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s, rng
    return state._replace(leaving=state.leaving - {event.target}), []


@_step.register
def _(event: events.TargetDied, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    return _avoid(state, event.target, now_s), []


@_step.register
def _(event: events.Tick, state: State, now_s: float,
      rng: random.Random) -> Result:
    del event
    queue, over = queueing.expired(state.queue, now_s)
    services = state.view.groups
    state = state._replace(
        view=load_view.forget_silent_peers(state.view, now_s),
        queue=queueing.reorder(queue, now_s),
        usual_s=immutables.Map({
            name: choice.usual_interval_s(state.view, name) for name in services
        }))
    commands: list[events.Command] = []
    for item in over:
        state, refusal = _refuse(state, item, errors.Code.OVERLOADED, now_s,
                                 rng)
        commands += refusal
    for service in {key[0] for key in state.queue.order}:
        state, more = _drain(state, service, (), now_s, rng)
        commands += more
    return state, commands


def _queued(state: State, arrived: events.Arrived,
            now_s: float) -> queueing.Queued:
    kind = state.kinds.get(arrived.kind)
    is_short = kind.is_short if kind else True
    worth = kind.worth if kind else _DEFAULT_WORTH
    names = state.view.groups.get(arrived.service, ())
    if not names or not _is_model(state, names[0]):
        return queueing.Queued(arrived, now_s, arrived.deadline_s, False,
                               load_view.Profile(), _PLAIN_WORK, worth)
    curve = length.curve(state.lengths, arrived.workspace, arrived.kind,
                         is_short)
    usual_s = state.usual_s.get(arrived.service, choice.DEFAULT_INTERVAL_S)
    time_s = arrived.deadline_s - now_s
    tokens = min(arrived.max_output_tokens,
                 length.quantile(curve, 0, _IN_TIME_PROBABILITY))
    latest_s = max(arrived.deadline_s - _FIRST_TOKEN_S - usual_s * tokens,
                   now_s + _LEAST_WAIT_SHARE * time_s)
    most = min(arrived.max_output_tokens, max(1.0, time_s / usual_s))
    return queueing.Queued(
        arrived, now_s, min(latest_s, arrived.deadline_s), not is_short,
        admission.profile(curve, arrived.prompt_tokens, 0,
                          arrived.max_output_tokens),
        length.work(curve, arrived.prompt_tokens, most), worth)


# A request waits at least this part of its time, however long its kind runs.
_LEAST_WAIT_SHARE = 0.25


def _is_model(state: State, target: str) -> bool:
    item = state.view.targets.get(target)
    return item is not None and item.target.kv_capacity_tokens > 0


def _place(state: State, item: queueing.Queued, only: tuple[str, ...],
           now_s: float, rng: random.Random) -> Result:
    """Dispatches a request; returns no commands when no target admits it."""
    arrived = item.arrived
    wanted = choice.Wanted(arrived.service, item.profile, item.is_long,
                           item.tried)
    usual_s = state.usual_s.get(arrived.service, choice.DEFAULT_INTERVAL_S)
    target = choice.choose(state.view, wanted, only, state.leaving, usual_s,
                           now_s, rng)
    if target is None:
        return state, []
    item = item._replace(tried=item.tried + (target,))
    running = Running(item, target, item.profile, item.is_long, now_s, 0, 0,
                      _REFRESH_TOKENS)
    state = state._replace(view=load_view.started(state.view, target,
                                                  item.profile, item.is_long,
                                                  now_s),
                           queue=queueing.served(state.queue, item, now_s),
                           running=state.running.set(arrived.request_id,
                                                     running))
    priority = _LONG_PRIORITY if item.is_long else _SHORT_PRIORITY
    return state, [
        events.Dispatch(arrived.request_id, target, priority, len(item.tried))
    ]


def _drain(state: State, service: str, only: tuple[str, ...], now_s: float,
           rng: random.Random) -> Result:
    """Dispatches waiting requests until no target admits the next one."""
    commands: list[events.Command] = []
    for is_long in (False, True):
        passed = 0
        while passed <= _PASSING_LANES:
            item = queueing.first(state.queue, (service, is_long), passed)
            if item is None:
                break
            placed, dispatch = _place(state, item, only, now_s, rng)
            if dispatch:
                state = placed._replace(
                    queue=queueing.take(placed.queue, item, now_s))
                commands += dispatch
                continue
            time_s = item.latest_s - item.arrived_s
            if now_s - item.arrived_s > _URGENT_SHARE * time_s:
                break
            passed += 1
    return state, commands


def _grown(state: State, running: Running) -> tuple[State, Running]:
    """Builds the profile of a generation anew and learns what it passed."""
    arrived = running.item.arrived
    kind = state.kinds.get(arrived.kind)
    is_short = kind.is_short if kind else True
    bucket = length.index(running.tokens)
    lengths = length.observe_passed(state.lengths, arrived.workspace,
                                    arrived.kind, is_short, running.bucket,
                                    bucket)
    curve = length.curve(lengths, arrived.workspace, arrived.kind, is_short)
    step_tokens = max(_REFRESH_TOKENS, int(running.tokens * _REFRESH_SHARE))
    profile = admission.profile(curve, arrived.prompt_tokens,
                                running.tokens + step_tokens // 2,
                                arrived.max_output_tokens)
    is_long = running.is_long or running.tokens > _OUTGROWN_TOKENS
    view = load_view.grew(state.view, running.target, running.profile, profile,
                          is_long - running.is_long)
    return state._replace(view=view, lengths=lengths), running._replace(
        profile=profile,
        is_long=is_long,
        bucket=bucket,
        refresh_at=running.tokens + step_tokens)


def _learn(state: State, running: Running, tokens: int) -> State:
    if not _is_model(state, running.target):
        return state
    arrived = running.item.arrived
    kind = state.kinds.get(arrived.kind)
    is_short = kind.is_short if kind else True
    lengths = length.observe_passed(state.lengths, arrived.workspace,
                                    arrived.kind, is_short, running.bucket,
                                    length.index(tokens))
    return state._replace(lengths=length.observe_ended(
        lengths, arrived.workspace, arrived.kind, is_short, tokens))


def _release(state: State, request_id: str, running: Running) -> State:
    return state._replace(view=load_view.ended(state.view, running.target,
                                               running.profile, running.is_long,
                                               running.tokens > 0),
                          running=state.running.delete(request_id))


def _again(state: State, running: Running, outcome: events.Outcome,
           now_s: float, rng: random.Random) -> Result:
    """Retries a request on another target, or refuses it."""
    item = running.item
    item = item._replace(is_clean=item.is_clean and outcome in _NOT_RUN)
    service = item.arrived.service
    if not item.is_clean and not item.arrived.is_idempotent:
        return _refuse(state, item, errors.Code.OUTCOME_UNKNOWN, now_s, rng)
    if (len(item.tried) >= _MAX_ATTEMPTS or not choice.any_open(
            state.view, service, state.leaving, item.tried)):
        return _refuse(state, item, errors.Code.NO_TARGET, now_s, rng)
    state, commands = _place(state, item, (), now_s, rng)
    if commands:
        return state, commands
    if item.latest_s <= now_s:
        return _refuse(state, item, errors.Code.OVERLOADED, now_s, rng)
    return state._replace(
        queue=queueing.push(state.queue, item, now_s, is_first=True)), []


def _avoid(state: State, target: str, now_s: float) -> State:
    item = state.view.targets.get(target)
    failures = item.failures if item else 0
    until_s = now_s + min(_MOST_AVOID_S, _AVOID_S * 2**min(failures, 8))
    return state._replace(view=load_view.avoid(state.view, target, until_s))


def _refuse(state: State, item: queueing.Queued, reason: errors.Code,
            now_s: float, rng: random.Random) -> Result:
    run_state = (errors.RunState.NOT_RUN
                 if item.is_clean else errors.RunState.UNKNOWN)
    retry_after_s = (queueing.retry_after_s(state.queue, item, now_s, rng)
                     if item.is_clean else None)
    return state, [
        events.Refuse(item.arrived.request_id, reason, retry_after_s,
                      run_state),
        events.Count(reason)
    ]
