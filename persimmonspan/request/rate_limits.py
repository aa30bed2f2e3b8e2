"""Request rates that targets name, shared between all daemons.

A target in need names, in its answers, the rate of requests that it takes from
all daemons together, for as long as it says so. The load: targets whose rate is
far below that of the requests to their service, at a few or hundreds of
daemons.

Each daemon has a token bucket of one request for its part of a target's rate.
Tokens that lie ready at many daemons could be spent at once: a target therefore
belongs to a few daemons, chosen by rendezvous hashing, so that what they can
send at once is about what they may send in `BURST_WINDOW_S`. The buckets start
empty, because requests from before the limit was known are still on their way.

Daemons tell each other the latest answer that they know of. An answer without a
rate ends the limit, and each daemon goes on sending at its part of the rate, so
that there are such answers.

>>> state = record_answer(State(daemons=("a",)), "t", 2.0, 0.0, 0.0)
>>> may_send(state, "t", 0.1), may_send(state, "t", 0.6)
(False, True)
>>> may_send(record_dispatch(state, "t", 0.6), "t", 0.7)
False
>>> may_send(record_answer(state, "t", None, 0.0, 0.7), "t", 0.7)
True

See Also:
    `persimmonspan.request.choice`: skips targets that may not be sent to.

References:
    Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    IEEE/ACM Transactions on Networking 6, 1998 (rendezvous hashing).
"""

import hashlib
import typing

import immutables

# The daemons of a target may send it so many requests at once, and more by the
# rate times this window.
_BASE_BURST = 4
BURST_WINDOW_S = 2.0
_MAX_TOKENS = 1.0
# Daemons among which rates are divided until the others are known.
_UNKNOWN_DAEMONS = 8
# A target of which no answer was heard for so long has no known rate.
_EXPIRY_S = 60.0
# How long the end of a limit is told to others.
_END_TOLD_S = 5.0


class Answer(typing.NamedTuple):
    """The rate that a target named in an answer `age_s` ago, or None."""

    target: str
    per_s: float | None
    age_s: float


class _Limit(typing.NamedTuple):
    per_s: float | None
    answered_s: float
    share_per_s: float = 0.0  # Of this daemon.
    tokens: float = 0.0
    updated_s: float = 0.0


class State(typing.NamedTuple):
    """Limits by target, the daemon's name and the names of all daemons.

    No names: the others are not known yet.
    """

    limits: immutables.Map[str, _Limit] = immutables.Map()
    daemon: str = ""
    daemons: tuple[str, ...] = ()


def set_daemons(state: State, daemon: str, daemons: tuple[str, ...],
                now_s: float) -> State:
    """Replaces the names of all daemons and divides the rates among them."""
    state = state._replace(daemon=daemon, daemons=daemons)
    for target, limit in state.limits.items():
        state = _set(state, target, _refill(limit, now_s))
    return state


def record_answer(state: State, target: str, per_s: float | None, age_s: float,
                  now_s: float) -> State:
    """Records the rate that a target named in an answer, or that it named none.

    Args:
        state: The state before the answer.
        target: Name of the target.
        per_s: Requests per second from all daemons, or None.
        age_s: Time since the answer, which a peer may have received.
        now_s: Time.
    """
    limit = state.limits.get(target)
    answered_s = now_s - age_s
    if limit is not None and answered_s <= limit.answered_s:
        return state
    if limit is None:
        if per_s is None:
            return state
        limit = _Limit(None, answered_s)
    if limit.per_s is None:
        limit = limit._replace(tokens=0.0, updated_s=now_s)
    limit = _refill(limit, now_s)
    return _set(state, target, limit._replace(per_s=per_s,
                                              answered_s=answered_s))


def may_send(state: State, target: str, now_s: float) -> bool:
    """Returns whether this daemon may send a request to a target now."""
    return (not is_limited(state, target) or
            _refill(state.limits[target], now_s).tokens >= _MAX_TOKENS)


def is_limited(state: State, target: str) -> bool:
    """Returns whether a target named a rate in its last known answer."""
    limit = state.limits.get(target)
    return limit is not None and limit.per_s is not None


def record_dispatch(state: State, target: str, now_s: float) -> State:
    """Records that a request was sent to a target."""
    if not is_limited(state, target):
        return state
    limit = _refill(state.limits[target], now_s)
    return _set(state, target, limit._replace(tokens=limit.tokens - 1.0))


def expire(state: State, now_s: float) -> State:
    """Drops rates of targets that did not answer for long, and ended limits."""
    for target, limit in state.limits.items():
        ttl_s = _END_TOLD_S if limit.per_s is None else _EXPIRY_S
        if now_s - limit.answered_s >= ttl_s:
            state = state._replace(limits=state.limits.delete(target))
    return state


def list_answers(state: State, now_s: float) -> tuple[Answer, ...]:
    """Returns the latest answers of targets, to tell them to peers."""
    return tuple(
        Answer(target, limit.per_s, max(0.0, now_s - limit.answered_s))
        for target, limit in sorted(state.limits.items()))


def _set(state: State, target: str, limit: _Limit) -> State:
    share_per_s = (0.0 if limit.per_s is None else _share_per_s(
        state, target, limit.per_s))
    return state._replace(
        limits=state.limits.set(target, limit._replace(
            share_per_s=share_per_s)))


def _share_per_s(state: State, target: str, per_s: float) -> float:
    """Returns the part of a target's rate that this daemon may use."""
    owners = _BASE_BURST + int(BURST_WINDOW_S * per_s)
    if not state.daemons:
        return per_s / max(owners, _UNKNOWN_DAEMONS)
    if len(state.daemons) <= owners:
        return per_s / len(state.daemons)
    is_one = is_owner(state.daemon, state.daemons, target, owners)
    return per_s / owners if is_one else 0.0


def is_owner(daemon: str, daemons: tuple[str, ...], target: str,
             owners: int) -> bool:
    """Returns whether a daemon is one of the owners of a target.

    >>> names = ("a", "b", "c")
    >>> sum(is_owner(name, names, "t", 2) for name in names)
    2
    """
    ranked = sorted(daemons, key=lambda name: _rank(name, target))
    return daemon in ranked[:owners]


def rank_share(daemon: str, target: str) -> float:
    """Returns a number from 0 to 1 by which daemons rank for a target.

    The owners have the lowest.
    """
    rank = _rank(daemon, target)
    return int.from_bytes(rank) / 2**(8 * len(rank))


def _rank(daemon: str, target: str) -> bytes:
    return hashlib.blake2b(f"{daemon}/{target}".encode(),
                           digest_size=8).digest()


def _refill(limit: _Limit, now_s: float) -> _Limit:
    elapsed_s = max(0.0, now_s - limit.updated_s)
    return limit._replace(tokens=min(
        _MAX_TOKENS, limit.tokens + elapsed_s * limit.share_per_s),
                          updated_s=max(now_s, limit.updated_s))
