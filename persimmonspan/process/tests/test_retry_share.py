"""Tests that all daemons together keep to the retry budget."""

import random

import pytest

from persimmonspan.process import edge_settings
from persimmonspan.process import shared_limits
from persimmonspan.request import events
from persimmonspan.request import retry
from persimmonspan.request import scheduler

_BURST = 430.0


@pytest.mark.parametrize("daemons", [8, 67, 195, 331])
def test_first_failures_at_all_daemons_stay_within_the_burst(daemons):
    # Each of 195 daemons took an eighth of the burst for its own.
    limits = shared_limits.retry_limits(
        edge_settings.RetryBudget(0.2, 10.0, _BURST), daemons)
    state = retry.State(limits=limits)
    retries = 0
    while True:
        attempt = retry.Attempt("s", tried=("t",), is_idempotent=True)
        state, decision = retry.may_retry(
            state, attempt, events.Outcome.FAILED_BEFORE_FIRST_TOKEN)
        if not decision.is_allowed:
            break
        retries += 1
    assert 1 <= retries and retries * daemons <= _BURST


def test_balance_falls_to_a_cap_that_is_lowered():
    # A daemon learns at its start, from the rows of the others, how many share.
    state = scheduler.State()
    budget = state.budget._replace(limits=retry.Limits(0.5, 30.0, 30.0))
    budget = retry.record_success(budget, "s")
    budget = budget._replace(balances=budget.balances.set("s", 30.0))
    state, _ = scheduler.step(state._replace(budget=budget),
                              events.RetryLimitsChanged(0.1, 2.0), 0.0,
                              random.Random(1))
    assert retry.balance(state.budget, "s") == 2.0
    assert retry.balance(state.budget, "other") == 2.0
