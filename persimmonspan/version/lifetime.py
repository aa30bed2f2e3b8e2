"""Tracks which configuration revisions are in use by requests.

Each request runs under one revision from start to end. A revision is freed when
it is no longer the current one and its last request has ended.

>>> state, _ = step(State(), RevisionAdopted(1))
>>> state, _ = step(state, RequestStarted())
>>> state, commands = step(state, RevisionAdopted(2))
>>> commands
[]
>>> step(state, RequestEnded(1))[1]
[FreeRevision(revision=1)]
"""

import functools
import random
import typing

import immutables


class RevisionAdopted(typing.NamedTuple):
    """A revision became the current one."""

    revision: int


class RequestStarted(typing.NamedTuple):
    """A request started under the current revision."""


class RequestEnded(typing.NamedTuple):
    """A request that started under the revision ended."""

    revision: int


class FreeRevision(typing.NamedTuple):
    """Free the revision, which nothing uses any more."""

    revision: int


class State(typing.NamedTuple):
    """Current revision, and the running requests per revision."""

    current: int = 0
    running: immutables.Map[int, int] = immutables.Map()


Event = RevisionAdopted | RequestStarted | RequestEnded
Result = tuple[State, list[FreeRevision]]


def step(state: State,
         event: Event,
         now_s: float = 0.0,
         rng: random.Random | None = None) -> Result:
    """Returns the next state and the revisions to free."""
    del now_s, rng
    return _step(event, state)


@functools.singledispatch
def _step(event: object, state: State) -> Result:
    del event
    return state, []


@_step.register
def _(event: RevisionAdopted, state: State) -> Result:
    if event.revision <= state.current:
        return state, []
    old, state = state.current, state._replace(current=event.revision)
    return state, ([FreeRevision(old)]
                   if old and old not in state.running else [])


@_step.register
def _(event: RequestStarted, state: State) -> Result:
    del event
    count = state.running.get(state.current, 0)
    return state._replace(running=state.running.set(state.current, count +
                                                    1)), []


@_step.register
def _(event: RequestEnded, state: State) -> Result:
    count = state.running.get(event.revision, 0)
    if count > 1:
        return state._replace(running=state.running.set(event.revision, count -
                                                        1)), []
    if not count:
        return state, []
    state = state._replace(running=state.running.delete(event.revision))
    return state, ([FreeRevision(event.revision)]
                   if event.revision != state.current else [])
