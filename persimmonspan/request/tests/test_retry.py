"""Tests the spending of the retry budget and the denial of unsafe retries."""

import pytest

from persimmonspan.request import events
from persimmonspan.request import retry

_REASONS = retry.Reason
_OUTCOMES = events.Outcome


def _attempt(**changes):
    return retry.Attempt("drafts", ("e1",), True)._replace(**changes)


@pytest.mark.parametrize("changes, outcome, reason", [
    ({}, _OUTCOMES.FAILED_AFTER_FIRST_TOKEN, _REASONS.DENIED_STARTED),
    ({
        "has_started": True
    }, _OUTCOMES.REFUSED, _REASONS.DENIED_STARTED),
    ({
        "is_idempotent": False
    }, _OUTCOMES.FAILED_BEFORE_FIRST_TOKEN, _REASONS.DENIED_NOT_IDEMPOTENT),
    ({
        "is_idempotent": False
    }, _OUTCOMES.REFUSED, _REASONS.RETRY_REFUSED),
    ({
        "is_idempotent": False
    }, _OUTCOMES.CONNECT_FAILED, _REASONS.RETRY_CONNECT_FAILED),
    ({}, _OUTCOMES.CANCELLED, _REASONS.DENIED_OUTCOME),
    ({
        "is_repeat": True
    }, _OUTCOMES.REFUSED, _REASONS.DENIED_REPEAT),
])
def test_unsafe_retry_is_denied(changes, outcome, reason):
    _, decision = retry.may_retry(retry.State(), _attempt(**changes), outcome)
    assert decision.reason is reason


def test_repeat_by_caller_spends_the_budget_of_retries():
    state = retry.State()
    request = retry.Request("drafts", "key", True)
    reasons = []
    for i in range(8):
        state, decision = retry.admit_request(state, request, float(i) / 10)
        reasons.append(decision.reason)
        if decision.is_allowed:
            state = retry.record_end(state, request, False, float(i) / 10)
    assert reasons == ([_REASONS.FIRST_ATTEMPT] + [_REASONS.REPEAT] * 5 +
                       [_REASONS.REPEAT_OVER_BUDGET] * 2)
    _, decision = retry.may_retry(state, _attempt(), _OUTCOMES.REFUSED)
    assert decision.reason is _REASONS.DENIED_BUDGET
