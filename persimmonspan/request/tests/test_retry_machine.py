"""Tests the retry budget under any order of requests and failures.

The reference model counts tenths of a token in an integer.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from persimmonspan.request import events
from persimmonspan.request import retry

_SETTINGS = hypothesis.settings(max_examples=60,
                                stateful_step_count=40,
                                derandomize=True,
                                database=None,
                                deadline=None,
                                report_multiple_bugs=False)
# One failing example is enough, and shrinking it takes long. The examples
# depend on the loaded modules, which differ between the workers of a run, so
# there are enough of them to find a failure in any case.
_FAULTY_SETTINGS = hypothesis.settings(_SETTINGS,
                                       max_examples=2000,
                                       phases=[hypothesis.Phase.generate])
_NOT_RUN_OUTCOMES = (events.Outcome.REFUSED, events.Outcome.CONNECT_FAILED)


class RetryMachine(stateful.RuleBasedStateMachine):
    """Spends from one budget by repeats and retries."""

    ignores_spending = False

    def __init__(self):
        super().__init__()
        self.state = retry.State()
        self.balance_tenths = 50
        self.now_s = 0.0
        self.running = []

    def _apply(self, result, spends=True):
        state, decision = result
        if decision.is_allowed and spends:
            self.balance_tenths -= 10
            assert self.balance_tenths >= 0
        if not (self.ignores_spending and spends):
            self.state = state
        return decision

    @stateful.rule(key=strategies.sampled_from("abc"),
                   has_key=strategies.booleans())
    def arrive(self, key, has_key):
        request = retry.Request("g", key, has_key)
        before = retry.balance(self.state, "g")
        state, decision = retry.admit_request(self.state, request, self.now_s)
        has_spent = retry.balance(state, "g") < before
        if request in self.running:
            assert decision.is_repeat
        self._apply((state, decision), has_spent)
        if decision.is_allowed:
            self.running.append(request)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), is_success=strategies.booleans())
    def end(self, data, is_success):
        request = data.draw(strategies.sampled_from(self.running))
        self.running.remove(request)
        self.state = retry.record_end(self.state, request, is_success,
                                      self.now_s)

    @stateful.rule(count=strategies.integers(1, 300))
    def succeed(self, count):
        before, surplus = retry.balance(self.state, "g"), 0.0
        for _ in range(count):
            surplus += retry.surplus(self.state, "g")
            self.state = retry.record_success(self.state, "g")
        self.balance_tenths = min(200, self.balance_tenths + count)
        # Each deposit goes to the balance or to the surplus.
        assert (retry.balance(self.state, "g") - before +
                surplus) * 10 == pytest.approx(count, abs=1e-6)

    @stateful.rule(outcome=strategies.sampled_from(events.Outcome),
                   is_idempotent=strategies.booleans(),
                   has_started=strategies.booleans(),
                   tried=strategies.sets(strategies.sampled_from("xyz")))
    def retry(self, outcome, is_idempotent, has_started, tried):
        attempt = retry.Attempt("g",
                                tuple(tried),
                                is_idempotent,
                                has_started=has_started)
        decision = self._apply(retry.may_retry(self.state, attempt, outcome))
        if decision.is_allowed:
            assert not has_started
            assert is_idempotent or outcome in _NOT_RUN_OUTCOMES
        assert tried.isdisjoint(retry.select_untried_targets(attempt, "xyz"))

    @stateful.rule(seconds=strategies.sampled_from((0.1, 3.0, 20.0)))
    def wait(self, seconds):
        self.now_s += seconds
        self.state = retry.tick(self.state, self.now_s)

    @stateful.invariant()
    def balance_matches_the_model(self):
        value = retry.balance(self.state, "g")
        assert 0 <= value <= retry.MAX_BALANCE
        assert value * 10 == pytest.approx(self.balance_tenths, abs=1e-6)


class FaultyRetryMachine(RetryMachine):
    """Uses a budget that does not record spent tokens."""

    ignores_spending = True


TestRetry = RetryMachine.TestCase
TestRetry.settings = _SETTINGS


def test_model_detects_a_budget_that_ignores_spending():
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(FaultyRetryMachine,
                                           settings=_FAULTY_SETTINGS)
