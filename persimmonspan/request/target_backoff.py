"""Pauses that targets ask for when they turn requests away.

A target that turns a request away with a time (`Retry-After`) is closed to this
daemon until then. The load: a crowd of requests at one or hundreds of daemons
whose targets close in turns or all at once, with up to thousands of requests
that wait for the first one to open.

What waited must not come back at once, or the target closes again. A pause is
therefore prolonged by a random part, which differs between daemons, and a
target that opens gets one request from each daemon, and twice as many in each
interval that follows (slow start).

A later answer prolongs a pause and never shortens it, since each time that a
target names holds. Pauses are bounded by `MAX_PAUSE_S`, so that an invalid
answer does not close a target for good.

>>> state = close(State(), "t", 2.0, now_s=10.0)
>>> may_send(state, "t", 11.9), may_send(state, "t", 12.0)
(False, True)
>>> state = record_dispatch(state, "t", 12.0)
>>> may_send(state, "t", 12.0), may_send(state, "t", 12.1)
(False, True)
>>> find_opening_s(state, ("t",), 10.0), find_opening_s(state, ("t", "u"), 10.0)
(12.0, None)

See Also:
    `persimmonspan.request.choice`: skips targets that may not be sent to.
    `persimmonspan.connection.retry_after`: reads the time that a target names.

References:
    Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988 (slow start).
    RFC 9110, section 10.2.3 (Retry-After).
"""

import collections.abc
import random
import typing

import immutables

# A target that names a longer time is asked again after this one.
MAX_PAUSE_S = 300.0
# Random part by which a pause is prolonged, and its maximum.
JITTER_SHARE = 0.25
MAX_JITTER_S = 1.0
# An open target may get twice as many requests in each interval as before,
# until the slow start ends.
DOUBLING_INTERVAL_S = 0.1
SLOW_START_S = 1.0


class _Pause(typing.NamedTuple):
    opens_s: float
    sent: int = 0  # Requests since it opened.
    has_crossed: bool = False  # One request was sent nevertheless.


class State(typing.NamedTuple):
    """Pauses by target, until the end of the slow start."""

    pauses: immutables.Map[str, _Pause] = immutables.Map()


def draw_pause_s(retry_after_s: float, rng: random.Random) -> float:
    """Returns for how long to send nothing to a target that named a time.

    >>> draw_pause_s(1e9, random.Random(1)) <= MAX_PAUSE_S + MAX_JITTER_S
    True
    """
    pause_s = min(MAX_PAUSE_S, retry_after_s)
    return pause_s + rng.random() * min(MAX_JITTER_S, JITTER_SHARE * pause_s)


def close(state: State, target: str, pause_s: float, now_s: float) -> State:
    """Closes a target for a time; a time of zero or less changes nothing."""
    opens_s = now_s + pause_s
    pause = state.pauses.get(target)
    if opens_s <= now_s or (pause is not None and opens_s <= pause.opens_s):
        return state
    if pause is None or pause.opens_s <= now_s:
        pause = _Pause(opens_s)
    return State(state.pauses.set(target, pause._replace(opens_s=opens_s)))


def reopen(state: State, target: str, now_s: float) -> State:
    """Ends the pause of a target, which begins its slow start."""
    if not is_closed(state, target, now_s):
        return state
    return State(state.pauses.set(target, _Pause(now_s)))


def is_closed(state: State, target: str, now_s: float) -> bool:
    """Returns whether a target wants no request now."""
    pause = state.pauses.get(target)
    return pause is not None and now_s < pause.opens_s


def left_s(state: State, target: str, now_s: float) -> float:
    """Returns the time until a target opens, zero if it is open."""
    pause = state.pauses.get(target)
    return 0.0 if pause is None else max(0.0, pause.opens_s - now_s)


def may_send(state: State, target: str, now_s: float) -> bool:
    """Returns whether a target is open and its slow start admits a request."""
    pause = state.pauses.get(target)
    if pause is None:
        return True
    open_s = now_s - pause.opens_s
    return open_s >= 0 and (open_s >= SLOW_START_S or
                            pause.sent < _max_sent(open_s))


def _max_sent(open_s: float) -> int:
    # Differences of times are not exact; a step must not come late for that.
    return 2**int(open_s / DOUBLING_INTERVAL_S + 1e-6)


def record_dispatch(state: State, target: str, now_s: float) -> State:
    """Records that a request was sent to a target."""
    pause = state.pauses.get(target)
    if pause is None or now_s < pause.opens_s:
        return state
    return State(state.pauses.set(target, pause._replace(sent=pause.sent + 1)))


def cross(state: State, target: str, now_s: float) -> tuple[State, bool]:
    """Returns whether a request that cannot wait may be sent to a target.

    One may cross each pause: the continuation of a stream whose memory is at
    this target only.
    """
    pause = state.pauses.get(target)
    if pause is None or now_s >= pause.opens_s:
        return state, True
    if pause.has_crossed:
        return state, False
    return State(state.pauses.set(target,
                                  pause._replace(has_crossed=True))), True


def find_opening_s(state: State, targets: collections.abc.Iterable[str],
                   now_s: float) -> float | None:
    """Returns when the first of some targets opens; None: one is open."""
    opens_s = None
    for target in targets:
        if not is_closed(state, target, now_s):
            return None
        opening_s = state.pauses[target].opens_s
        opens_s = opening_s if opens_s is None else min(opens_s, opening_s)
    return opens_s


def list_open(state: State, now_s: float) -> tuple[str, ...]:
    """Returns the targets whose pause has ended, in order of their names."""
    return tuple(
        sorted(target for target, pause in state.pauses.items()
               if pause.opens_s <= now_s))


def expire(state: State, now_s: float) -> State:
    """Drops pauses whose slow start has ended."""
    for target, pause in state.pauses.items():
        if now_s >= pause.opens_s + SLOW_START_S:
            state = State(state.pauses.delete(target))
    return state
