"""Cold targets, and the part of their rate that each daemon may send.

A target is cold for some time after it starts: it sustains few requests a
second, and crashes well above that rate. All daemons together may send it a
limited number of requests in any one second, whether they reach each other or
not. The load: 72 daemons under full load and a failure domain of 12 cold
targets that returns.

Each cold target belongs to a few daemons, chosen by rendezvous hashing as in
`rate_limits`. An owner has a token bucket whose content and refill in one
second together are a whole number of requests, its part of `_OWNED_SHARE` of
the limit. The rest is for daemons whose lists of daemons differ, and for
requests that were on their way. If each daemon misses half of the others, twice
as many take themselves for owners, and the sum stays under the limit.

A daemon that does not know yet who the others are counts `_UNKNOWN_DAEMONS`, or
twice as many as it knows if that is more, and owns a target if the hash alone
is small enough. Its knowledge is complete after its second read of the rows of
all daemons: daemons that start at once miss each other in the first. Names are
kept for a long time, because a partition makes them disappear too.

>>> state = set_daemons(State(), "a", ("a",), True, Limits(), 0.0)
>>> state = set_cold(state, "t", 20.0, 5.0, 0.0)
>>> may_send(state, "t", 0.2)
True
>>> state = record_dispatch(state, "t", 0.2)
>>> may_send(state, "t", 0.21), may_send(state, "t", 0.4)
(False, True)
>>> may_send(set_cold(state, "t", 20.0, 0.0, 0.21), "t", 0.21)
True

See Also:
    `persimmonspan.request.choice`: skips targets that may not be sent to.
    `persimmonspan.process.cold_tracker`: when targets are cold.
    `docs/design/evacuation.md`: what was weighed.
"""

import math
import typing

import immutables

from persimmonspan.request import rate_limits

# Share of the limit that daemons with the same list use at most.
_OWNED_SHARE = 0.4
_MAX_TOKENS = 1.0
# The refill of one second is less than a whole number by this much.
_REFILL_MARGIN = 0.05
# Daemons that one counts at least until it knows the others, and the factor of
# those that it knows by then.
_UNKNOWN_DAEMONS = 64
_UNKNOWN_FACTOR = 2
# Longer than a partition is expected to last.
_REMEMBERED_S = 900.0
# An invalid time does not limit a target for good.
MAX_COLD_S = 300.0


class Limits(typing.NamedTuple):
    """A cold target takes its rate times `overrun`, plus `tolerance`.

    So many requests in any one second, from all daemons together.
    """

    overrun: float = 1.5
    tolerance: float = 5.0


class _Cold(typing.NamedTuple):
    per_s: float  # Sustained by the target.
    until_s: float
    share_per_s: float = 0.0  # Of this daemon.
    tokens: float = 0.0
    updated_s: float = 0.0


class State(typing.NamedTuple):
    """Cold targets, this daemon's name, and when each daemon disappeared.

    The time is infinite for the daemons that are there. A daemon without a name
    sends to no cold target.
    """

    targets: immutables.Map[str, _Cold] = immutables.Map()
    daemon: str = ""
    daemons: immutables.Map[str, float] = immutables.Map()
    is_complete: bool = False  # Whether the others are known.
    limits: Limits = Limits()


def set_daemons(state: State, daemon: str, daemons: tuple[str, ...],
                is_complete: bool, limits: Limits, now_s: float) -> State:
    """Applies the names of the daemons that are known now, and the limits."""
    known = {
        name: min(left_s, now_s)
        for name, left_s in state.daemons.items()
        if now_s - left_s <= _REMEMBERED_S
    } | dict.fromkeys(daemons, math.inf)
    state = state._replace(daemon=daemon,
                           daemons=immutables.Map(known),
                           is_complete=is_complete,
                           limits=limits)
    for target, cold in state.targets.items():
        state = _set(state, target, _refill(cold, now_s))
    return state


def set_cold(state: State, target: str, per_s: float, cold_s: float,
             now_s: float) -> State:
    """Records for how long a target is cold from now on.

    Args:
        state: The state before.
        target: Name of the target.
        per_s: Requests a second that it sustains meanwhile; 0: no limit.
        cold_s: The time; 0 if it is warm.
        now_s: Time.
    """
    if cold_s <= 0 or per_s <= 0:
        if target not in state.targets:
            return state
        return state._replace(targets=state.targets.delete(target))
    cold = state.targets.get(target)
    if cold is None or cold.until_s <= now_s:
        # Buckets that all start alike would be full at the same moment. The
        # names change places: owners rank alike in their usual order.
        cold = _Cold(per_s,
                     now_s,
                     tokens=rate_limits.rank_share(target, state.daemon),
                     updated_s=now_s)
    cold = _refill(cold, now_s)
    return _set(
        state, target,
        cold._replace(per_s=per_s, until_s=now_s + min(MAX_COLD_S, cold_s)))


def is_cold(state: State, target: str, now_s: float) -> bool:
    """Returns whether a target is cold."""
    cold = state.targets.get(target)
    return cold is not None and now_s < cold.until_s


def may_send(state: State, target: str, now_s: float) -> bool:
    """Returns whether this daemon may send a request to a target now."""
    cold = state.targets.get(target)
    return (cold is None or cold.until_s <= now_s or
            _refill(cold, now_s).tokens >= _MAX_TOKENS)


def find_opening_s(state: State, target: str, now_s: float) -> float:
    """Returns from when this daemon may send a request to a target."""
    cold = state.targets.get(target)
    if cold is None or may_send(state, target, now_s):
        return now_s
    if not cold.share_per_s:
        return cold.until_s
    missing = _MAX_TOKENS - _refill(cold, now_s).tokens
    return min(cold.until_s, now_s + missing / cold.share_per_s)


def record_dispatch(state: State, target: str, now_s: float) -> State:
    """Records that a request was sent to a target."""
    if not is_cold(state, target, now_s):
        return state
    cold = _refill(state.targets[target], now_s)
    return state._replace(
        targets=state.targets.set(target, cold._replace(tokens=cold.tokens -
                                                        1.0)))


def expire(state: State, now_s: float) -> State:
    """Drops targets that are no longer cold."""
    for target, cold in state.targets.items():
        if cold.until_s <= now_s:
            state = state._replace(targets=state.targets.delete(target))
    return state


def _set(state: State, target: str, cold: _Cold) -> State:
    share_per_s = _share_per_s(state, target, cold.per_s)
    return state._replace(
        targets=state.targets.set(target, cold._replace(
            share_per_s=share_per_s)))


def _share_per_s(state: State, target: str, per_s: float) -> float:
    """Returns the rate of requests that this daemon may send to a target."""
    if not state.daemon:
        return 0.0
    limits = state.limits
    budget = max(
        1, int(_OWNED_SHARE * (per_s * limits.overrun + limits.tolerance)))
    names = tuple(state.daemons)
    if state.is_complete:
        count = len(names)
        is_owner = rate_limits.is_owner(state.daemon, names, target, budget)
    else:
        count = max(_UNKNOWN_FACTOR * len(names), _UNKNOWN_DAEMONS)
        is_owner = rate_limits.rank_share(state.daemon, target) * count < budget
    if not is_owner:
        return 0.0
    owners = min(count, budget)
    return min(per_s / owners, budget // owners - _REFILL_MARGIN)


def _refill(cold: _Cold, now_s: float) -> _Cold:
    elapsed_s = max(0.0, now_s - cold.updated_s)
    return cold._replace(tokens=min(_MAX_TOKENS,
                                    cold.tokens + elapsed_s * cold.share_per_s),
                         updated_s=max(now_s, cold.updated_s))
