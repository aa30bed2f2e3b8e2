"""Scheduler of requests: one pure step from an event to commands.

`step` takes the state, an event, the monotonic time and a source of randomness
and returns the next state with commands. It has no side effects, so a recorded
sequence of events replays to the same commands.
"""

import functools
import random
import typing

import immutables

from persimmonspan import errors
from persimmonspan.request import events

_MAX_ATTEMPTS = 3

_RETRYABLE = frozenset({
    events.Outcome.REFUSED, events.Outcome.CONNECT_FAILED,
    events.Outcome.FAILED_BEFORE_FIRST_TOKEN
})


class Running(typing.NamedTuple):
    """A request with an attempt on a target."""

    arrived: events.Arrived
    target: str
    tried: tuple[str, ...]


class State(typing.NamedTuple):
    """State of the scheduler."""

    targets: immutables.Map[str, events.Target] = immutables.Map()
    leaving: frozenset[str] = frozenset()
    outstanding: immutables.Map[str, int] = immutables.Map()
    running: immutables.Map[str, Running] = immutables.Map()


Result = tuple[State, list[events.Command]]


def step(state: State, event: events.Event, now_s: float,
         rng: random.Random) -> Result:
    """Returns the next state and the commands that the event leads to."""
    return _step(event, state, now_s, rng)


@functools.singledispatch
def _step(event: object, state: State, now_s: float,
          rng: random.Random) -> Result:
    del event, now_s, rng
    return state, []


@_step.register
def _(event: events.Arrived, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s
    return _dispatch(state, event, (), rng)


@_step.register
def _(event: events.AttemptEnded, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s
    running = state.running.get(event.request_id)
    if running is None:
        return state, []
    state = _release(state, event.request_id, running.target)
    if event.outcome not in _RETRYABLE:
        return state, []
    return _dispatch(state, running.arrived, running.tried, rng)


@_step.register
def _(event: events.Abandoned, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s, rng
    running = state.running.get(event.request_id)
    if running is None:
        return state, []
    return _release(state, event.request_id, running.target), [
        events.CancelAttempt(event.request_id, running.target)
    ]


@_step.register
def _(event: events.TargetsChanged, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s, rng
    targets = immutables.Map({item.name: item for item in event.targets})
    return state._replace(targets=targets), []


@_step.register
def _(event: events.TargetLeaving, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s, rng
    return state._replace(leaving=state.leaving | {event.target}), []


def _dispatch(state: State, arrived: events.Arrived, tried: tuple[str, ...],
              rng: random.Random) -> Result:
    candidates = [
        target for target in state.targets.values()
        if target.service == arrived.service and
        target.name not in state.leaving and target.name not in tried
    ]
    if not candidates or len(tried) >= _MAX_ATTEMPTS:
        refusal = events.Refuse(arrived.request_id, errors.Code.NO_TARGET, 1.0,
                                errors.RunState.NOT_RUN)
        return state, [refusal, events.Count(errors.Code.NO_TARGET)]
    target = min(candidates,
                 key=lambda item:
                 (state.outstanding.get(item.name, 0), rng.random()))
    state = state._replace(outstanding=state.outstanding.set(
        target.name,
        state.outstanding.get(target.name, 0) + 1),
                           running=state.running.set(
                               arrived.request_id,
                               Running(arrived, target.name,
                                       tried + (target.name,))))
    return state, [
        events.Dispatch(arrived.request_id, target.name, 0,
                        len(tried) + 1)
    ]


def _release(state: State, request_id: str, target: str) -> State:
    return state._replace(outstanding=state.outstanding.set(
        target, state.outstanding[target] - 1),
                          running=state.running.delete(request_id))
