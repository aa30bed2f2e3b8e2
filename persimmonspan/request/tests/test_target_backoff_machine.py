"""Checks the pauses of targets against a list of what they named."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from persimmonspan.request import target_backoff

_TARGETS = ("a", "b", "c")
_PAUSES_S = strategies.one_of(
    strategies.sampled_from((-1.0, 0.0, 0.1, 1.0, 20.0, 1e12, float("inf"))),
    strategies.floats(0.0, 30.0))


class BackoffMachine(stateful.RuleBasedStateMachine):
    """Keeps the named ends of all pauses, and what was sent since."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        self.state = target_backoff.State()
        self.ends_s = {name: [] for name in _TARGETS}
        self.sent_s = {name: [] for name in _TARGETS}
        self.crossed = set()

    def _opens_s(self, name):
        return max(self.ends_s[name], default=0.0)

    @stateful.rule(name=strategies.sampled_from(_TARGETS), pause_s=_PAUSES_S)
    def close(self, name, pause_s):
        """A target names a time, of which at most the limit counts."""
        pause_s = min(pause_s, target_backoff.MAX_PAUSE_S)
        if self._opens_s(name) <= self.now_s < self.now_s + pause_s:
            self.crossed.discard(name)
            self.sent_s[name].clear()
        self.state = target_backoff.close(self.state, name, pause_s, self.now_s)
        if self.now_s < self.now_s + pause_s:
            self.ends_s[name].append(self.now_s + pause_s)

    @stateful.rule(name=strategies.sampled_from(_TARGETS))
    def reopen(self, name):
        """A target starts again."""
        if self.now_s < self._opens_s(name):
            self.ends_s[name] = [self.now_s]
            self.sent_s[name].clear()
        self.state = target_backoff.reopen(self.state, name, self.now_s)

    @stateful.rule(time_s=strategies.sampled_from((0.01, 0.1, 0.4, 5.0, 400.0)))
    def wait(self, time_s):
        """Time passes."""
        self.now_s += time_s

    @stateful.rule()
    def expire(self):
        """Old pauses are dropped."""
        self.state = target_backoff.expire(self.state, self.now_s)
        assert all(self.now_s < self._opens_s(name) +
                   target_backoff.SLOW_START_S for name in self.state.pauses)

    @stateful.rule(name=strategies.sampled_from(_TARGETS),
                   wanted=strategies.integers(1, 40))
    def send(self, name, wanted):
        """Requests are sent as far as they may be."""
        for _ in range(wanted):
            if target_backoff.may_send(self.state, name, self.now_s):
                assert self.now_s >= self._opens_s(name)
                self.sent_s[name].append(self.now_s)
                self.state = target_backoff.record_dispatch(
                    self.state, name, self.now_s)

    @stateful.rule(name=strategies.sampled_from(_TARGETS))
    def cross(self, name):
        """One request that cannot wait crosses each pause."""
        self.state, may_cross = target_backoff.cross(self.state, name,
                                                     self.now_s)
        if self.now_s >= self._opens_s(name):
            assert may_cross
            return
        assert may_cross == (name not in self.crossed)
        self.crossed.add(name)

    @stateful.invariant()
    def pauses_match(self):
        """Each target is closed until the last time that it named."""
        for name in _TARGETS:
            opens_s = self._opens_s(name)
            is_closed = self.now_s < opens_s
            assert target_backoff.is_closed(self.state, name,
                                            self.now_s) == is_closed
            left_s = target_backoff.left_s(self.state, name, self.now_s)
            assert left_s == max(0.0, opens_s - self.now_s)
            assert left_s <= target_backoff.MAX_PAUSE_S + 1e-6
            assert (name in target_backoff.list_open(
                self.state, self.now_s)) == (not is_closed and
                                             name in self.state.pauses)
        opens_s = [self._opens_s(name) for name in _TARGETS]
        first_s = min(opens_s) if self.now_s < min(opens_s) else None
        assert target_backoff.find_opening_s(self.state, _TARGETS,
                                             self.now_s) == first_s

    @stateful.invariant()
    def slow_start_doubles(self):
        """An open target got at most twice as many in each interval."""
        for name in _TARGETS:
            for position, at_s in enumerate(self.sent_s[name]):
                open_s = at_s - self._opens_s(name)
                if 0 <= open_s < target_backoff.SLOW_START_S:
                    assert position < 2**round(
                        open_s / target_backoff.DOUBLING_INTERVAL_S + 0.5)


TestBackoff = BackoffMachine.TestCase
TestBackoff.settings = hypothesis.settings(derandomize=True,
                                           max_examples=100,
                                           stateful_step_count=40,
                                           deadline=None)


@hypothesis.given(retry_after_s=strategies.floats(0.0, allow_infinity=True),
                  seed=strategies.integers(0, 99))
@hypothesis.settings(derandomize=True, deadline=None)
def test_pause_is_prolonged_by_little_and_bounded(retry_after_s, seed):
    pause_s = target_backoff.draw_pause_s(retry_after_s, random.Random(seed))
    bounded_s = min(retry_after_s, target_backoff.MAX_PAUSE_S)
    assert bounded_s <= pause_s
    assert pause_s <= bounded_s + min(target_backoff.MAX_JITTER_S,
                                      target_backoff.JITTER_SHARE * bounded_s)
