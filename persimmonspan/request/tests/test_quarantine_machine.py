"""Tests that the quarantine condemns no request without evidence.

For each fingerprint, the reference model counts the deaths at which it was in
flight, and those at which no other request was.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import immutables
import pytest

from persimmonspan.request import events
from persimmonspan.request import isolation
from persimmonspan.request import quarantine

_SETTINGS = hypothesis.settings(max_examples=150,
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
_TARGETS = ("e1", "e2", "e3")
_ACTIONS = quarantine.Action


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Runs four fingerprints on three targets that may die at any time."""

    accuses_only_the_first = False

    def __init__(self):
        super().__init__()
        self.state = quarantine.State()
        self.now_s = 0.0
        self.number = 0
        self.runs = {}  # request -> (fingerprint, target)
        self.disconnected = []  # (seconds, fingerprint, target)
        self.crashes = dict.fromkeys("abcd", 0)
        self.crashes_alone = dict.fromkeys("abcd", 0)
        self.peer_work = {}

    def _step(self, event):
        self.state, _ = quarantine.step(self.state, event, self.now_s)

    @stateful.rule(fingerprint=strategies.sampled_from("abcd"),
                   preferred=strategies.sampled_from(_TARGETS))
    def send(self, fingerprint, preferred):
        action, target = quarantine.plan(self.state, fingerprint, _TARGETS,
                                         self.now_s)
        if action is _ACTIONS.REFUSE:
            assert self.crashes[fingerprint] >= quarantine.CRASHES_TO_REFUSE
        if target is not None:
            before = self.state.reservations.get(target)
            self.state = quarantine.reserve(self.state, fingerprint, target,
                                            self.now_s)
            others = [run for run in self.runs.values() if run[1] == target]
            is_late = (before is not None and
                       self.now_s - before.since_s >= isolation.MAX_DRAIN_S)
            assert action is _ACTIONS.DRAIN or not others or is_late
        if action is _ACTIONS.ANY and not quarantine.is_reserved(
                self.state, preferred, self.now_s):
            target = preferred
        elif action is not _ACTIONS.ISOLATE:
            return
        self.number += 1
        self.runs[f"r{self.number}"] = fingerprint, target
        self.state = quarantine.record_dispatch(self.state, f"r{self.number}",
                                                fingerprint, target, self.now_s)

    @stateful.precondition(lambda self: self.runs)
    @stateful.rule(data=strategies.data(),
                   outcome=strategies.sampled_from(events.Outcome))
    def end(self, data, outcome):
        request = data.draw(strategies.sampled_from(sorted(self.runs)))
        fingerprint, target = self.runs.pop(request)
        self._step(events.AttemptEnded(request, target, outcome))
        if outcome is events.Outcome.COMPLETED:
            self._reset_crashes(fingerprint)
        elif outcome not in (events.Outcome.REFUSED,
                             events.Outcome.CONNECT_FAILED,
                             events.Outcome.ANSWERED_ERROR):
            self.disconnected.append((self.now_s, fingerprint, target))

    @stateful.rule(name=strategies.sampled_from(_TARGETS))
    def die(self, name):
        in_flight = {run[0] for run in self.runs.values() if run[1] == name}
        in_flight |= {
            fingerprint
            for disconnected_s, fingerprint, target in self.disconnected
            if target == name and self.now_s -
            disconnected_s < quarantine.DEATH_GRACE_S
        }
        for fingerprint in in_flight:
            self.crashes[fingerprint] += 1
            self.crashes_alone[fingerprint] += (len(in_flight) == 1 and
                                                not self.peer_work.get(name))
        self.runs = {k: run for k, run in self.runs.items() if run[1] != name}
        self.disconnected = [
            item for item in self.disconnected if item[2] != name
        ]
        if self.accuses_only_the_first:
            runs = sorted(self.state.runs.get(name,
                                              immutables.Map()).items())[:1]
            self.state = self.state._replace(
                runs=self.state.runs.set(name, immutables.Map(runs)))
        self._step(events.TargetDied(name))

    @stateful.rule(name=strategies.sampled_from(_TARGETS),
                   count=strategies.integers(0, 2))
    def peer_load(self, name, count):
        self.peer_work = {name: count}
        self._step(events.PeerLoad("d2", (events.TargetLoad(name, count, 0),)))

    @stateful.rule(seconds=strategies.sampled_from((0.1, 1.0, 6.0, 70.0)))
    def wait(self, seconds):
        self.now_s += seconds
        if seconds > 1.0:  # The report of the peer has expired.
            self.peer_load("e1", 0)
        self._step(events.Tick())

    @stateful.rule(fingerprint=strategies.sampled_from("abcd"))
    def lift(self, fingerprint):
        self._step(events.QuarantineLifted(fingerprint))
        self._reset_crashes(fingerprint)
        assert quarantine.plan(self.state, fingerprint, _TARGETS,
                               self.now_s).action is _ACTIONS.ANY

    def _reset_crashes(self, fingerprint):
        self.crashes[fingerprint] = self.crashes_alone[fingerprint] = 0

    @stateful.invariant()
    def condemned_only_with_evidence(self):
        for fingerprint in "abcd":
            record = self.state.records.get(fingerprint)
            if record is None:
                continue
            assert record.crashes <= self.crashes[fingerprint]
            assert record.crashes_alone <= self.crashes_alone[fingerprint]
            if record.refused_until_s > self.now_s:
                assert self.crashes[fingerprint] >= quarantine.CRASHES_TO_REFUSE
            if (record.refused_until_s
                    > self.now_s + quarantine.CONDEMNED_TTL_S / 2):
                assert self.crashes_alone[
                    fingerprint] >= quarantine.CRASHES_ALONE_TO_CONDEMN


class FaultyQuarantineMachine(QuarantineMachine):
    """Treats the first request on a target that died as the only one."""

    accuses_only_the_first = True


TestQuarantine = QuarantineMachine.TestCase
TestQuarantine.settings = _SETTINGS


def test_model_detects_condemnation_without_evidence():
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(FaultyQuarantineMachine,
                                           settings=_FAULTY_SETTINGS)
