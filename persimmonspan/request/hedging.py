"""Decides when a second attempt of a request is sent beside the first.

A few slow responses dominate the tail of the latency. A request that has no
response after the usual time is therefore sent to a second target, and the
first successful response is used. The usual time is a quantile of the latencies
of its service and kind. The latency of a stream ends with its first event.

What may be sent is limited twice, by service:

- The operators set the share of extra attempts. Each served request deposits
  this share as credit, and a hedged request spends a whole one. The credit is
  empty at the start, is bounded, and decays, so that a daemon with few requests
  cannot send many at once.
- A hedged request is paid for by deposits of the retry budget that the full
  balance of retries cannot hold. Retries thus keep their whole balance, and
  both together stay within the limit of the deployment (`limit_budget`).

A latency of which only a lower bound is known, because the first attempt lost,
counts with this bound. It is above the delay in force, so that the share of
samples above the delay stays exact.

>>> state = set_limits(State(), 0.5, 2.0)
>>> for _ in range(60):
...     state = record_latency(state, "s", "k", 0.1)
...     state = record_success(state, "s", 0.1, 1.0)
>>> 0.1 <= delay_s(state, "s", "k") <= 0.12
True
>>> request = Request("s", "k", waited_s=0.12)
>>> decide(state, request, 1.0).value
'hedge_sent'
>>> decide(spend(state, "s", 1.0), request._replace(waited_s=0.01), 1.0).value
'hedge_denied_early'

See Also:
    `persimmonspan.request.hedge_placement`: the loads of both attempts.
    `persimmonspan.request.hedged_exchange`: carries out the second attempt.
    `docs/design/hedging.md`: the ways that were weighed.

References:
    Dean and Barroso, "The Tail at Scale", Communications of the ACM 56, 2013.
"""

import bisect
import enum
import math
import typing

import immutables

_QUANTILE = 0.95
# A shorter delay would hedge requests that are about to end.
_MIN_DELAY_S = 0.005
# Differences of times are not exact; a request that is due is not early.
_DELAY_TOLERANCE_S = 0.001
_MIN_SAMPLES = 50
_MAX_SAMPLES = 1000  # Halves the counts here, to forget old ones.
# Upper edges of the buckets: 1 ms to 56 s, each 1.2 times the one before.
_EDGES_S = tuple(0.001 * 1.2**i for i in range(61))
# With the bound of the credit, a daemon needs 1/share requests in this time to
# hedge one: 72 daemons that share 26 requests a second have 110 each.
_CREDIT_DECAY_S = 300.0
_MAX_CREDIT = 3.0
_MAX_BUDGET = 2.0
# Balance of retries below which nothing is hedged, as targets are failing.
_MIN_RETRY_BALANCE = 1.0


class Reason(enum.StrEnum):
    """Why a request is hedged or not; the value names a counter."""

    SENT = "hedge_sent"
    DENIED_OFF = "hedge_denied_off"
    DENIED_KIND = "hedge_denied_kind"
    DENIED_STARTED = "hedge_denied_started"
    DENIED_EARLY = "hedge_denied_early"
    DENIED_SUSPECT = "hedge_denied_suspect"
    DENIED_WAITING = "hedge_denied_waiting"
    DENIED_SHARE = "hedge_denied_share"
    DENIED_BUDGET = "hedge_denied_budget"
    DENIED_TARGET = "hedge_denied_target"


class OtherAttempt(typing.NamedTuple):
    """The other of two attempts that run at the same time; it has no token."""

    target: str
    sent_s: float
    software_version: str
    is_hedge: bool


class _Account(typing.NamedTuple):
    credit: float = 0.0  # Of the operators' share, at `credited_s`.
    credited_s: float = 0.0
    budget: float = 0.0  # From the surplus of the retry budget.


class State(typing.NamedTuple):
    """Limits, latencies by service and kind, and accounts by service.

    A share of zero means that nothing is hedged or recorded.
    """

    share: float = 0.0
    max_budget: float = 0.0
    latency_counts: immutables.Map[tuple[str, str],
                                   tuple[int, ...]] = immutables.Map()
    accounts: immutables.Map[str, _Account] = immutables.Map()


class Request(typing.NamedTuple):
    """The properties of a running request that decide whether to hedge it.

    `is_first` is false if it was sent more than once already, or is a repeat.
    """

    service: str
    kind: str
    waited_s: float
    may_hedge: bool = True
    is_first: bool = True
    has_started: bool = False
    is_suspect: bool = False  # It may have crashed a target.
    has_waiting: bool = False  # Requests of its service wait.
    retry_balance: float = math.inf


def limit_budget(burst_per_daemon: float, retry_cap: float) -> float:
    """Returns the budget of one daemon, which the retries of all leave over.

    >>> round(limit_budget(190.0 / 75, 1.52), 3)
    1.013
    """
    return max(0.0, min(_MAX_BUDGET, burst_per_daemon - retry_cap))


def set_limits(state: State, share: float, max_budget: float) -> State:
    """Replaces the limits; a share of zero forgets everything."""
    if not share:
        return State()
    accounts = {
        service: account._replace(budget=min(max_budget, account.budget))
        for service, account in state.accounts.items()
    }
    return state._replace(share=share,
                          max_budget=max_budget,
                          accounts=immutables.Map(accounts))


def record_latency(state: State, service: str, kind: str,
                   latency_s: float) -> State:
    """Adds the latency of a first attempt, or its lower bound."""
    if not state.share:
        return state
    key = (service, kind)
    counts = state.latency_counts.get(key) or (0,) * (len(_EDGES_S) + 2)
    bucket = bisect.bisect_left(_EDGES_S, latency_s)
    counts = counts[:bucket] + (counts[bucket] +
                                1,) + counts[bucket + 1:-1] + (counts[-1] + 1,)
    if counts[-1] >= _MAX_SAMPLES:
        halved = tuple(count // 2 for count in counts[:-1])
        counts = halved + (sum(halved),)
    return state._replace(latency_counts=state.latency_counts.set(key, counts))


def delay_s(state: State, service: str, kind: str) -> float | None:
    """Returns the delay after which to hedge, or None if there is none yet.

    It is at most 20% above the quantile.
    """
    counts = state.latency_counts.get((service, kind))
    if counts is None or counts[-1] < _MIN_SAMPLES:
        return None
    remaining = counts[-1] * _QUANTILE
    for edge_s, count in zip(_EDGES_S, counts):
        remaining -= count
        if remaining <= 0:
            return max(_MIN_DELAY_S, edge_s)
    return None  # Beyond the last edge, a hedge comes too late to help.


def record_success(state: State, service: str, surplus: float,
                   now_s: float) -> State:
    """Records a served request.

    Args:
        state: The state before.
        service: Its service.
        surplus: What the full retry balance could not hold of its deposit.
        now_s: Time.
    """
    if not state.share:
        return state
    account = state.accounts.get(service, _Account())
    credit = min(_MAX_CREDIT, _credit(account, now_s) + state.share)
    budget = min(state.max_budget, account.budget + surplus)
    return _set(state, service, _Account(credit, now_s, budget))


def decide(state: State, request: Request, now_s: float) -> Reason:
    """Returns `Reason.SENT` if a second attempt may be sent, else why not."""
    if not state.share:
        return Reason.DENIED_OFF
    if not (request.may_hedge and request.is_first):
        return Reason.DENIED_KIND
    if request.has_started:
        return Reason.DENIED_STARTED
    # The usual latency may have grown since the request was sent.
    after_s = delay_s(state, request.service, request.kind)
    if after_s is None or request.waited_s < after_s - _DELAY_TOLERANCE_S:
        return Reason.DENIED_EARLY
    if request.is_suspect:
        return Reason.DENIED_SUSPECT
    if request.has_waiting:
        return Reason.DENIED_WAITING
    account = state.accounts.get(request.service, _Account())
    if _credit(account, now_s) < 1.0:
        return Reason.DENIED_SHARE
    if account.budget < 1.0 or request.retry_balance < _MIN_RETRY_BALANCE:
        return Reason.DENIED_BUDGET
    return Reason.SENT


def spend(state: State, service: str, now_s: float) -> State:
    """Charges one second attempt."""
    account = state.accounts[service]
    return _set(
        state, service,
        _Account(_credit(account, now_s) - 1.0, now_s, account.budget - 1.0))


def refund(state: State, service: str, now_s: float) -> State:
    """Returns the charge of a second attempt that was not sent."""
    account = state.accounts.get(service)
    if not state.share or account is None:
        return state
    return _set(
        state, service,
        _Account(min(_MAX_CREDIT,
                     _credit(account, now_s) + 1.0), now_s,
                 min(state.max_budget, account.budget + 1.0)))


def _credit(account: _Account, now_s: float) -> float:
    age_s = max(0.0, now_s - account.credited_s)
    return account.credit * math.exp(-age_s / _CREDIT_DECAY_S)


def _set(state: State, service: str, account: _Account) -> State:
    return state._replace(accounts=state.accounts.set(service, account))
