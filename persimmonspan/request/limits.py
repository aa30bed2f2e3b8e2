"""Decides whether a request is within the limits of its workspace.

A token bucket that holds one second of requests limits the request rate: it
admits a burst of that size and bounds the mean rate. Prompt and output limits
depend on the request alone. The number of concurrent requests is counted.

>>> limits = model.Limits(requests_per_s=1.0)
>>> state, commands = step(State(), Requested("a", limits, 10, 10), 0.0, None)
>>> commands
(Admit(),)
>>> step(state, Requested("a", limits, 10, 10), 0.0, None)[1][0]
Reject(reason='request_rate', retry_after_s=1.0)

See Also:
    `persimmonspan.request.gate`: applies the decision to requests.
"""

import functools
import random
import typing

import immutables

from persimmonspan.version import model

# With shorter waits, a rejected caller would poll without pause.
_MIN_RETRY_AFTER_S = 0.1
_CONCURRENCY_RETRY_AFTER_S = 1.0


class Usage(typing.NamedTuple):
    """Running requests and rate bucket of a workspace."""

    running: int = 0
    bucket: float | None = None  # Requests that may start; None if full.
    refilled_s: float = 0.0


class State(typing.NamedTuple):
    """Usage of each workspace that has sent a request."""

    usage: immutables.Map[str, Usage] = immutables.Map()


class Requested(typing.NamedTuple):
    """A workspace sent a request."""

    workspace: str
    limits: model.Limits
    prompt_tokens: int
    output_tokens: int


class Ended(typing.NamedTuple):
    """An admitted request ended."""

    workspace: str


class Admit(typing.NamedTuple):
    """The request is within the limits."""


class Reject(typing.NamedTuple):
    """The request exceeds a limit; if the time is None, no retry helps."""

    reason: str
    retry_after_s: float | None


Event = Requested | Ended
Command = Admit | Reject
Result = tuple[State, tuple[Command, ...]]


def step(state: State, event: Event, now_s: float,
         rng: random.Random | None) -> Result:
    """Returns the next state and whether it admits the request."""
    del rng
    return _step(event, state, now_s)


@functools.singledispatch
def _step(event: object, state: State, now_s: float) -> Result:
    del event, now_s
    return state, ()


@_step.register
def _(event: Requested, state: State, now_s: float) -> Result:
    limits = event.limits
    if event.prompt_tokens > limits.prompt_tokens:
        return state, (Reject("prompt_tokens", None),)
    if event.output_tokens > limits.output_tokens:
        return state, (Reject("output_tokens", None),)
    usage = state.usage.get(event.workspace, Usage())
    if usage.running >= limits.concurrent_requests:
        return state, (Reject("concurrent_requests",
                              _CONCURRENCY_RETRY_AFTER_S),)
    bucket = _refill_bucket(usage, limits.requests_per_s, now_s)
    if bucket < 1.0:
        wait_s = max(_MIN_RETRY_AFTER_S, (1.0 - bucket) / limits.requests_per_s)
        return state, (Reject("request_rate", wait_s),)
    usage = Usage(usage.running + 1, bucket - 1.0, now_s)
    return State(state.usage.set(event.workspace, usage)), (Admit(),)


@_step.register
def _(event: Ended, state: State, now_s: float) -> Result:
    del now_s
    usage = state.usage[event.workspace]
    usage = usage._replace(running=usage.running - 1)
    return State(state.usage.set(event.workspace, usage)), ()


def _refill_bucket(usage: Usage, requests_per_s: float, now_s: float) -> float:
    capacity = max(1.0, requests_per_s)
    if usage.bucket is None:
        return capacity
    refill = max(0.0, now_s - usage.refilled_s) * requests_per_s
    return min(capacity, usage.bucket + refill)
