"""Tests that the quarantine condemns no fingerprint without evidence.

For each fingerprint, the reference model counts the deaths at which a request
with it was in flight since the last answer, without the rules that make some of
these deaths count less.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from persimmonspan.request import crash_evidence
from persimmonspan.request import events
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
_REQUESTS = "abcd"
_PARTS = ("part:x", "part:y")


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Runs requests that share parts on three targets that may die."""

    ignores_answers = False

    def __init__(self):
        super().__init__()
        self.state = quarantine.State()
        self.now_s = 0.0
        self.number = 0
        self.runs = {}  # request id -> (fingerprints, target)
        self.answered = set()  # Ids of requests that made progress.
        self.broken = []  # (seconds, fingerprints, target)
        self.deaths = {}  # fingerprint -> fingerprints of the requests
        self.died_alone = set()
        self.peer_work = {}

    def _step(self, event):
        if self.ignores_answers and isinstance(
                event, (events.AttemptEnded, events.Progressed)):
            return
        self.state, _ = quarantine.step(self.state, event, self.now_s)

    def _answer(self, fingerprints):
        for fingerprint in fingerprints:
            self.deaths.pop(fingerprint, None)
            self.died_alone.discard(fingerprint)

    @stateful.rule(request=strategies.sampled_from(_REQUESTS),
                   parts=strategies.sets(strategies.sampled_from(_PARTS)),
                   name=strategies.sampled_from(_TARGETS))
    def send(self, request, parts, name):
        fingerprints = crash_evidence.Fingerprints(request,
                                                   tuple(sorted(parts)))
        refused = quarantine.find_refused(self.state, fingerprints, self.now_s)
        if refused is not None:
            self._check_evidence(refused)
            return
        self.number += 1
        self.runs[f"r{self.number}"] = fingerprints, name
        self.state = quarantine.record_dispatch(self.state, f"r{self.number}",
                                                fingerprints, name, self.now_s)

    def _check_evidence(self, fingerprint):
        requests = self.deaths.get(fingerprint, [])
        if fingerprint in _PARTS:
            assert len(requests) >= crash_evidence.CRASHES_TO_REFUSE
            assert len(set(requests)) > 1
        elif fingerprint in self.died_alone:
            assert len(requests) >= crash_evidence.CRASHES_TO_REFUSE_ALONE
        else:
            assert len(requests) >= crash_evidence.CRASHES_TO_REFUSE

    @stateful.precondition(lambda self: self.runs)
    @stateful.rule(data=strategies.data(),
                   outcome=strategies.sampled_from(events.Outcome))
    def end(self, data, outcome):
        request = data.draw(strategies.sampled_from(sorted(self.runs)))
        fingerprints, target = self.runs.pop(request)
        self._step(events.AttemptEnded(request, target, outcome))
        if outcome is events.Outcome.COMPLETED:
            self._answer((fingerprints.request, *fingerprints.parts))
        elif outcome not in (events.Outcome.REFUSED,
                             events.Outcome.CONNECT_FAILED,
                             events.Outcome.ANSWERED_ERROR):
            self.broken.append((self.now_s, fingerprints, target))

    @stateful.precondition(lambda self: self.runs)
    @stateful.rule(data=strategies.data())
    def progress(self, data):
        request = data.draw(strategies.sampled_from(sorted(self.runs)))
        fingerprints, target = self.runs[request]
        self._step(events.Progressed(request, target, 40))
        if request not in self.answered:
            self.answered.add(request)
            self._answer(fingerprints.parts)

    @stateful.rule(name=strategies.sampled_from(_TARGETS))
    def die(self, name):
        in_flight = [run[0] for run in self.runs.values() if run[1] == name]
        in_flight += [
            fingerprints for broken_s, fingerprints, target in self.broken
            if target == name and self.now_s -
            broken_s < quarantine.DEATH_GRACE_S
        ]
        for fingerprints in in_flight:
            for fingerprint in (fingerprints.request, *fingerprints.parts):
                self.deaths.setdefault(fingerprint,
                                       []).append(fingerprints.request)
            if len(in_flight) == 1 and not self.peer_work.get(name):
                self.died_alone.add(fingerprints.request)
        self.runs = {k: run for k, run in self.runs.items() if run[1] != name}
        self.broken = [item for item in self.broken if item[2] != name]
        self._step(events.TargetDied(name))

    @stateful.rule(name=strategies.sampled_from(_TARGETS))
    def be_alive(self, name):
        self.broken = [
            item for item in self.broken
            if item[2] != name or item[0] >= self.now_s
        ]
        self._step(events.TargetAlive(name))

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

    @stateful.rule(fingerprint=strategies.sampled_from((*_REQUESTS, *_PARTS)))
    def lift(self, fingerprint):
        self._step(events.QuarantineLifted(fingerprint))
        self._answer((fingerprint,))
        assert not quarantine.refused_for_s(self.state, fingerprint, self.now_s)

    @stateful.invariant()
    def condemned_only_with_evidence(self):
        for fingerprint, record in self.state.records.items():
            assert record.crashes <= len(self.deaths.get(fingerprint, ()))
            if record.refused_until_s > self.now_s:
                self._check_evidence(fingerprint)


class FaultyQuarantineMachine(QuarantineMachine):
    """Lets no answer clear a fingerprint."""

    ignores_answers = True


TestQuarantine = QuarantineMachine.TestCase
TestQuarantine.settings = _SETTINGS


def test_model_detects_condemnation_without_evidence():
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(FaultyQuarantineMachine,
                                           settings=_FAULTY_SETTINGS)
