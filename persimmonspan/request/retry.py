"""Retry budget per target group, and the decision to retry.

Retries at several layers multiply: three layers with three attempts each send
27 requests. Here each daemon keeps one budget per target group (the targets of
one service). A success deposits a fraction of a token; a retry and a caller's
own repeat each spend a whole token. Extra load thus stays below that fraction
of the successful load plus a fixed reserve. What a full budget cannot hold of
the deposits (`surplus`) pays for hedged requests.

A refusal by a target halves its send weight, which then recovers linearly with
time (additive increase, multiplicative decrease). Refusals within
`_WEIGHT_DECREASE_INTERVAL_S` count as one signal, because they concern requests
that this daemon sent before it received the first refusal.

The caller runs `admit_request` for each request, `may_retry` after a failed
attempt, `record_success` and `record_refusal` for events of targets,
`record_end` at the end of a request and `tick` about once a second.
Each decision carries a reason to be counted with `events.Count(reason)`.

>>> state = State()
>>> request = Request("drafts", "plaza/key-1", has_key=True)
>>> state, decision = admit_request(state, request, now_s=1.0)
>>> decision.is_allowed, decision.is_repeat
(True, False)
>>> attempt = Attempt("drafts", tried=("e1",), is_idempotent=True)
>>> state, decision = may_retry(
...     state, attempt, events.Outcome.FAILED_BEFORE_FIRST_TOKEN)
>>> decision.is_allowed, decision.reason.value
(True, 'retry_failed_before_first_token')
>>> balance(state, "drafts")
4.0

See Also:
    `persimmonspan.request.quarantine`: where a suspect request may be retried.
    `persimmonspan.request.hedging`: second attempts beside the first.

References:
    Google, Site Reliability Engineering, chapter 21: retry budgets.
"""

import enum
import typing

import immutables

from persimmonspan.request import events

DEPOSIT_PER_SUCCESS = 0.1  # Limits extra load to 10% of successful load.
MAX_BALANCE = 20.0
INITIAL_BALANCE = 5.0  # Allows retries of the first failures after a start.
REPEAT_WINDOW_S = 10.0  # How long a failure makes an equal request a repeat.
MIN_SEND_WEIGHT = 0.05  # Enough requests to detect that a target accepts again.
WEIGHT_RECOVERY_PER_S = 0.1
_WEIGHT_DECREASE_FACTOR = 0.5
_WEIGHT_DECREASE_INTERVAL_S = 0.1


class Reason(enum.StrEnum):
    """Why an attempt is allowed or denied; the value names a counter."""

    FIRST_ATTEMPT = "attempt_first"
    REPEAT = "repeat_by_caller"
    REPEAT_OF_RUNNING = "repeat_of_running"
    REPEAT_OVER_BUDGET = "repeat_denied_budget"
    RETRY_REFUSED = "retry_refused"
    RETRY_CONNECT_FAILED = "retry_connect_failed"
    RETRY_FAILED = "retry_failed_before_first_token"
    RETRY_ERROR = "retry_answered_error"
    RETRY_INTERRUPTED = "retry_interrupted"
    DENIED_STARTED = "retry_denied_after_first_token"
    DENIED_NOT_IDEMPOTENT = "retry_denied_not_idempotent"
    DENIED_OUTCOME = "retry_denied_outcome"
    DENIED_REPEAT = "retry_denied_repeat"
    DENIED_BUDGET = "retry_denied_budget"


_RETRY_REASONS = {
    events.Outcome.REFUSED: Reason.RETRY_REFUSED,
    events.Outcome.CONNECT_FAILED: Reason.RETRY_CONNECT_FAILED,
    events.Outcome.FAILED_BEFORE_FIRST_TOKEN: Reason.RETRY_FAILED,
    events.Outcome.ANSWERED_ERROR: Reason.RETRY_ERROR,
    events.Outcome.INTERRUPTED: Reason.RETRY_INTERRUPTED,
}
# No target ran the request, so any kind of request may be retried.
_NOT_RUN_OUTCOMES = frozenset(
    {events.Outcome.REFUSED, events.Outcome.CONNECT_FAILED})


class Request(typing.NamedTuple):
    """Identifies a caller's request for the detection of repeats.

    `key` consists of the workspace and the idempotency key or, without
    one, the fingerprint; `has_key` is true for an idempotency key.
    """

    group: str
    key: str
    has_key: bool = False


class Attempt(typing.NamedTuple):
    """The properties that decide whether a request may be sent again.

    `tried` holds the targets already tried; `select_untried_targets`
    picks among the others.
    """

    group: str
    tried: tuple[str, ...]
    is_idempotent: bool
    is_short: bool = False
    has_started: bool = False
    is_repeat: bool = False


class Decision(typing.NamedTuple):
    """Whether the attempt is allowed, and the reason to count."""

    is_allowed: bool
    reason: Reason
    is_repeat: bool = False


class _RecentRequest(typing.NamedTuple):
    running: int
    failed_s: float | None  # Time of the last failure.


class _SendWeight(typing.NamedTuple):
    value: float
    updated_s: float


class Limits(typing.NamedTuple):
    """Deposit per success, maximum and initial balance of each group."""

    deposit: float = DEPOSIT_PER_SUCCESS
    cap: float = MAX_BALANCE
    initial: float = INITIAL_BALANCE


class State(typing.NamedTuple):
    """Budgets, recent requests and send weights."""

    balances: immutables.Map[str, float] = immutables.Map()
    requests: immutables.Map[tuple[str, str], _RecentRequest] = immutables.Map()
    send_weights: immutables.Map[str, _SendWeight] = immutables.Map()
    limits: Limits = Limits()


Result = tuple[State, Decision]


def balance(state: State, group: str) -> float:
    """Returns the tokens left in the budget of a group."""
    return state.balances.get(group, state.limits.initial)


def set_limits(state: State, limits: Limits) -> State:
    """Replaces the limits; balances above the new cap fall to it."""
    balances = {
        group: min(limits.cap, value) for group, value in state.balances.items()
    }
    return state._replace(limits=limits, balances=immutables.Map(balances))


def admit_request(state: State, request: Request, now_s: float) -> Result:
    """Admits a caller's request; a repeat spends from the budget.

    A request is certainly a repeat if one with the same idempotency key is
    running, or if the same request failed within `REPEAT_WINDOW_S`; it is
    denied once the budget is empty. A request with the same content and no key
    may come from an independent caller while the first one runs: it spends a
    token if one is left but is never denied. This daemon retries neither
    (`Attempt.is_repeat`), so that its retries and the caller's do not multiply.
    The caller must run `record_end` once for every allowed request.
    """
    request_key = (request.group, request.key)
    recent = state.requests.get(request_key, _RecentRequest(0, None))
    has_failed = (recent.failed_s is not None and
                  now_s - recent.failed_s < REPEAT_WINDOW_S)
    decision = Decision(True, Reason.FIRST_ATTEMPT)
    if has_failed or recent.running:
        charged = _spend(state, request.group)
        if charged is None and (has_failed or request.has_key):
            return state, Decision(False, Reason.REPEAT_OVER_BUDGET, True)
        state = charged or state
        decision = Decision(
            True, Reason.REPEAT if has_failed or request.has_key else
            Reason.REPEAT_OF_RUNNING, True)
    recent = recent._replace(running=recent.running + 1)
    return state._replace(
        requests=state.requests.set(request_key, recent)), decision


def record_end(state: State, request: Request, is_success: bool,
               now_s: float) -> State:
    """Records that an allowed request ended for the caller.

    `is_success` is also false if the caller disconnected, since it may repeat
    the request.
    """
    request_key = (request.group, request.key)
    recent = state.requests.get(request_key)
    if recent is None:
        return state
    failed_s = None if is_success else now_s
    running = max(0, recent.running - 1)
    if not running and failed_s is None:
        return state._replace(requests=state.requests.delete(request_key))
    return state._replace(requests=state.requests.set(
        request_key, _RecentRequest(running, failed_s)))


def may_retry(state: State, attempt: Attempt,
              outcome: events.Outcome) -> Result:
    """Decides whether a request may be sent again after an attempt ended."""
    reason = _RETRY_REASONS.get(outcome)
    has_started = (attempt.has_started or
                   outcome is events.Outcome.FAILED_AFTER_FIRST_TOKEN)
    if has_started:
        return state, Decision(False, Reason.DENIED_STARTED)
    if reason is None:
        return state, Decision(False, Reason.DENIED_OUTCOME)
    if not attempt.is_idempotent and outcome not in _NOT_RUN_OUTCOMES:
        return state, Decision(False, Reason.DENIED_NOT_IDEMPOTENT)
    if attempt.is_repeat:
        return state, Decision(False, Reason.DENIED_REPEAT)
    charged = _spend(state, attempt.group)
    if charged is None:
        return state, Decision(False, Reason.DENIED_BUDGET)
    return charged, Decision(True, reason)


def select_untried_targets(attempt: Attempt,
                           targets: typing.Iterable[str]) -> list[str]:
    """Returns the targets that a retry may use.

    >>> select_untried_targets(Attempt("drafts", ("e1",), True), ["e1", "e2"])
    ['e2']
    """
    return [target for target in targets if target not in attempt.tried]


def surplus(state: State, group: str) -> float:
    """Returns what the budget cannot hold of the next deposit.

    >>> state = State(limits=Limits(0.25, 1.0, 0.875))
    >>> surplus(state, "g"), surplus(record_success(state, "g"), "g")
    (0.125, 0.25)
    """
    limits = state.limits
    return max(0.0, balance(state, group) + limits.deposit - limits.cap)


def record_success(state: State, group: str) -> State:
    """Deposits a fraction of a token for a successful attempt."""
    value = balance(state, group)
    limits = state.limits
    if value >= limits.cap:
        return state
    return state._replace(balances=state.balances.set(
        group, min(limits.cap, value + limits.deposit)))


def record_refusal(state: State, target: str, now_s: float) -> State:
    """Halves the send weight of a target that refused a request.

    >>> state = record_refusal(State(), "e1", 0.0)
    >>> send_weight(state, "e1", 0.0), send_weight(state, "e1", 2.0)
    (0.5, 0.7)
    """
    weight = state.send_weights.get(target)
    if (weight is not None and
            now_s - weight.updated_s < _WEIGHT_DECREASE_INTERVAL_S):
        return state
    value = max(MIN_SEND_WEIGHT,
                send_weight(state, target, now_s) * _WEIGHT_DECREASE_FACTOR)
    return state._replace(
        send_weights=state.send_weights.set(target, _SendWeight(value, now_s)))


def send_weight(state: State, target: str, now_s: float) -> float:
    """Returns the share of new requests, 0..1, that a target should receive."""
    weight = state.send_weights.get(target)
    if weight is None:
        return 1.0
    recovered = (now_s - weight.updated_s) * WEIGHT_RECOVERY_PER_S
    return min(1.0, weight.value + recovered)


def tick(state: State, now_s: float) -> State:
    """Removes expired failures and send weights that have fully recovered."""
    expired = [
        request_key for request_key, recent in state.requests.items()
        if not recent.running and recent.failed_s is not None and now_s -
        recent.failed_s >= REPEAT_WINDOW_S
    ]
    recovered = [
        target for target in state.send_weights
        if send_weight(state, target, now_s) >= 1.0
    ]
    if not expired and not recovered:
        return state
    return state._replace(requests=_remove_keys(state.requests, expired),
                          send_weights=_remove_keys(state.send_weights,
                                                    recovered))


def _spend(state: State, group: str) -> State | None:
    value = balance(state, group)
    if value < 1.0:
        return None
    return state._replace(balances=state.balances.set(group, value - 1.0))


def _remove_keys(items: immutables.Map, keys: list) -> immutables.Map:
    with items.mutate() as mutation:
        for key in keys:
            del mutation[key]
        return mutation.finish()
