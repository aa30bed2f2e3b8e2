"""Versions in use: each request runs under one version from start to end.

A version is freed when it is no longer the current one and its last request has
ended.

>>> state, _ = step(State(), Adopted(1))
>>> state, _ = step(state, Started())
>>> state, commands = step(state, Adopted(2))
>>> commands
[]
>>> step(state, Ended(1))[1]
[Free(revision=1)]
"""

import functools
import random
import typing

import immutables


class Adopted(typing.NamedTuple):
    """A revision became the current one."""

    revision: int


class Started(typing.NamedTuple):
    """A request started under the current revision."""


class Ended(typing.NamedTuple):
    """A request that started under the revision ended."""

    revision: int


class Free(typing.NamedTuple):
    """Nothing uses the revision any more."""

    revision: int


class State(typing.NamedTuple):
    """Current revision and the number of requests per revision in use."""

    current: int = 0
    running: immutables.Map[int, int] = immutables.Map()


Event = Adopted | Started | Ended
Result = tuple[State, list[Free]]


def step(state: State,
         event: Event,
         now_s: float = 0.0,
         rng: random.Random | None = None) -> Result:
    """Returns the next state and what to free."""
    del now_s, rng
    return _step(event, state)


@functools.singledispatch
def _step(event: object, state: State) -> Result:
    del event
    return state, []


@_step.register
def _(event: Adopted, state: State) -> Result:
    if event.revision <= state.current:
        return state, []
    old, state = state.current, state._replace(current=event.revision)
    return state, ([Free(old)] if old and old not in state.running else [])


@_step.register
def _(event: Started, state: State) -> Result:
    del event
    count = state.running.get(state.current, 0)
    return state._replace(running=state.running.set(state.current, count +
                                                    1)), []


@_step.register
def _(event: Ended, state: State) -> Result:
    count = state.running.get(event.revision, 0)
    if count > 1:
        return state._replace(running=state.running.set(event.revision, count -
                                                        1)), []
    if not count:
        return state, []
    state = state._replace(running=state.running.delete(event.revision))
    return state, ([Free(event.revision)]
                   if event.revision != state.current else [])
