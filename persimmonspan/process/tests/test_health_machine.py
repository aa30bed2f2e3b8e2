"""Tests the health state with random sequences of events.

Guards against ejecting more than the allowed share and against miscounted
attempts. The oracle adds up the weights, counts the running attempts and keeps
the time of each target's last token.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from persimmonspan.process import health
from persimmonspan.request import events

_SETTINGS = hypothesis.settings(max_examples=60,
                                stateful_step_count=25,
                                derandomize=True,
                                database=None,
                                deadline=None,
                                report_multiple_bugs=False)
# One failing example is enough, so it is not shrunk, which takes long. The
# examples drawn depend on the loaded modules, which differ between the workers
# of a test run; the search is long enough for any of them.
_FAULTY_SETTINGS = hypothesis.settings(_SETTINGS,
                                       max_examples=2000,
                                       phases=[hypothesis.Phase.generate])
_TARGETS = tuple(
    events.Target(name, "drafts", "", "lima-a", max_running=size)
    for name, size in (("e0", 64), ("e1", 64), ("e2", 64), ("e3", 16)))
_NAMES = [target.name for target in _TARGETS]
_SPEEDS = strategies.fixed_dictionaries(
    {name: strategies.sampled_from((0.0, 0.1, 1.0)) for name in _NAMES})


class HealthMachine(stateful.RuleBasedStateMachine):
    """Lets targets run at any speed, hang, die and lose requests."""

    ignores_cap = False

    def __init__(self):
        super().__init__()
        self.now_s, self.number = 0.0, 0
        self.running = {}  # request -> (target, tokens)
        self.token_s = dict.fromkeys(_NAMES, 0.0)
        self.state = health.State()
        self._step(events.TargetsChanged(1, _TARGETS, (), ()))
        for name in _NAMES:
            self.send(name)

    def _step(self, event):
        self.state, _ = health.step(self.state, event, self.now_s)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def send(self, name):
        self.number += 1
        request = f"r{self.number}"
        self.running[request] = name, 0
        self._step(events.Dispatch(request, name, 0, 1))

    @stateful.rule(speeds=_SPEEDS, steps=strategies.sampled_from((1, 6, 14)))
    def run_on(self, speeds, steps):
        for _ in range(steps):
            self.now_s += 0.25
            for request, (name, tokens) in self.running.items():
                if speeds[name] and not tokens:
                    self._step(events.FirstToken(request, name))
                elif speeds[name]:
                    self._step(events.Progressed(request, name, tokens))
                if speeds[name]:
                    tokens += max(1, int(20 * speeds[name]))
                    self.token_s[name] = self.now_s
                self.running[request] = name, tokens
            self._step(events.Tick())
            self._ignore_cap()

    def _ignore_cap(self):
        if not self.ignores_cap:
            return
        self.state = self.state._replace(targets=self.state.targets.update({
            name: known._replace(weight=0.0 if known.is_hung else known.weight)
            for name, known in self.state.targets.items()
        }))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(),
                   outcome=strategies.sampled_from(events.Outcome))
    def end(self, data, outcome):
        request = data.draw(strategies.sampled_from(sorted(self.running)))
        name, tokens = self.running.pop(request)
        if outcome is events.Outcome.COMPLETED:
            self.token_s[name] = self.now_s
        self._step(events.AttemptEnded(request, name, outcome, tokens))

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def die(self, name):
        self._step(events.TargetDied(name))

    @stateful.rule(seconds=strategies.sampled_from((3.0, 60.0)))
    def pause_daemon(self, seconds):
        weights = [health.weight(self.state, name) for name in _NAMES]
        self.now_s += seconds
        self._step(events.Tick())
        hung = [health.is_hung(self.state, name) for name in _NAMES]
        self.newly_hung = [
            weight for weight, is_hung in zip(weights, hung)
            if is_hung and weight == 1.0
        ]
        assert not self.newly_hung

    @stateful.invariant()
    def ejects_at_most_its_share(self):
        taken = sum(
            (1.0 - health.weight(self.state, target.name)) * target.max_running
            for target in _TARGETS)
        total = sum(target.max_running for target in _TARGETS)
        assert taken <= health.MAX_EJECTED_SHARE * total + 1e-6
        for target in _TARGETS:
            assert 0.0 <= health.weight(self.state, target.name) <= 1.0

    @stateful.invariant()
    def counts_what_runs_and_condemns_only_silence(self):
        for name in _NAMES:
            known = self.state.targets[name]
            running = [
                item for item in self.running.values() if item[0] == name
            ]
            assert known.started + known.waiting == len(running)
            assert known.waiting == sum(not tokens for _, tokens in running)
            if known.is_hung:
                assert self.now_s - self.token_s[
                    name] >= health.TOKEN_SILENCE_TIMEOUT_S


class UncappedMachine(HealthMachine):
    """Ignores the cap: each hung target gets weight 0."""

    ignores_cap = True


TestHealth = HealthMachine.TestCase
TestHealth.settings = _SETTINGS


def test_oracle_sees_an_ejection_beyond_the_share():
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(UncappedMachine,
                                           settings=_FAULTY_SETTINGS)
