"""Plays daemons that share the rates which targets name, in virtual time."""

import random

import pytest

from persimmonspan.request import rate_limits

_SETTLE_S = 3.0
_WINDOW_S = 4.0
_STEP_S = 0.05
_RUN_S = 40.0
_DIGEST_S = 0.4  # From an answer at one daemon to the others.


class _Fleet:
    """Daemons that send to one target whenever it may be sent to."""

    def __init__(self, count, per_s, demand_per_s, seed):
        self.rng = random.Random(seed)
        self.names = tuple(f"d{number:03}" for number in range(count))
        self.states = {
            name: rate_limits.State(daemon=name, daemons=self.names)
            for name in self.names
        }
        self.per_s = per_s
        # Probability of a request at a daemon in a step.
        self.demand = demand_per_s * _STEP_S / count
        self.sent_s = []
        self.offered = 0
        self.answers = []  # Time at which peers learn of it, and of what.

    def play(self, from_s, to_s):
        """Plays a time; requests that may not be sent go elsewhere."""
        for i in range(int(from_s / _STEP_S), int(to_s / _STEP_S)):
            now_s = i * _STEP_S
            due = [item for item in self.answers if item[0] <= now_s]
            self.answers = [item for item in self.answers if item[0] > now_s]
            for at_s, per_s in due[-1:]:
                for name in self.names:
                    self.states[name] = rate_limits.record_answer(
                        self.states[name], "t", per_s, now_s - at_s + _DIGEST_S,
                        now_s)
            for name in self.names:
                if self.rng.random() < self.demand:
                    self.offered += 1
                    self._send(name, now_s)

    def _send(self, name, now_s):
        if not rate_limits.may_send(self.states[name], "t", now_s):
            return
        self.sent_s.append(now_s)
        state = rate_limits.record_dispatch(self.states[name], "t", now_s)
        self.states[name] = rate_limits.record_answer(state, "t", self.per_s,
                                                      0.0, now_s)
        self.answers.append((now_s + _DIGEST_S, self.per_s))

    def most_in_window(self, from_s):
        """Returns the most requests in any window from a time on."""
        late = [at_s for at_s in self.sent_s if at_s >= from_s]
        return max((sum(start_s <= at_s < start_s + _WINDOW_S
                        for at_s in late)
                    for start_s in late),
                   default=0)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("per_s", [0.3, 1.2, 5.0, 40.0])
@pytest.mark.parametrize("count, demand_per_s", [(2, 20.0), (8, 60.0),
                                                 (195, 90.0)])
def test_all_daemons_together_keep_to_the_rate(count, demand_per_s, per_s,
                                               seed):
    fleet = _Fleet(count, per_s, demand_per_s, seed)
    fleet.play(0.0, _RUN_S)
    assert fleet.most_in_window(_SETTLE_S) <= 1.5 * _WINDOW_S * per_s + 5
    # The rate is used as far as the daemons of the target have requests.
    owners = min(count, 4 + int(2 * per_s))
    expected_per_s = min(per_s, demand_per_s * owners / count)
    late = [at_s for at_s in fleet.sent_s if at_s >= _SETTLE_S]
    assert len(late) >= 0.4 * expected_per_s * (_RUN_S - _SETTLE_S)


def test_requests_that_were_held_for_long_do_not_come_at_once():
    fleet = _Fleet(195, 1.2, 90.0, 1)
    fleet.play(0.0, 5.0)
    fleet.demand = 0.0
    fleet.play(5.0, 35.0)
    fleet.demand = 1.0  # All daemons have a request at each moment.
    fleet.play(35.0, _RUN_S)
    assert fleet.most_in_window(30.0) <= 1.5 * _WINDOW_S * 1.2 + 5


@pytest.mark.parametrize("count", [2, 8, 195])
def test_target_that_names_no_rate_any_more_gets_all_requests(count):
    fleet = _Fleet(count, 1.2, 30.0, 2)
    fleet.play(0.0, 10.0)
    fleet.per_s = None
    fleet.play(10.0, 20.0)
    fleet.sent_s, fleet.offered = [], 0
    fleet.play(20.0, _RUN_S)
    assert len(fleet.sent_s) == fleet.offered > 0


def test_older_answer_does_not_replace_a_later_one():
    state = rate_limits.State(daemon="a", daemons=("a",))
    state = rate_limits.record_answer(state, "t", 2.0, 0.0, 10.0)
    state = rate_limits.record_answer(state, "t", None, 1.0, 10.1)
    assert rate_limits.is_limited(state, "t")
    state = rate_limits.record_answer(state, "t", None, 0.0, 10.2)
    assert not rate_limits.is_limited(state, "t")


def test_rate_of_a_target_that_does_not_answer_is_forgotten():
    state = rate_limits.State(daemon="a", daemons=("a",))
    state = rate_limits.record_answer(state, "t", 0.0, 0.0, 10.0)
    assert rate_limits.is_limited(rate_limits.expire(state, 60.0), "t")
    assert not rate_limits.is_limited(rate_limits.expire(state, 80.0), "t")
