"""Stateful test of which targets leave, against a simple oracle.

The oracle keeps the reports that arrived and compares incarnations only. The
store shows former incarnations, late entries and entries of older copies;
answers and digests arrive late.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from persimmonspan.process import departures
from persimmonspan.process import directory

_NAMES = strategies.sampled_from(["i-1", "i-2"])
_INCARNATIONS = strategies.integers(1, 4)
_SETTINGS = hypothesis.settings(max_examples=300,
                                stateful_step_count=30,
                                deadline=None,
                                report_multiple_bugs=False)
_SOURCES = strategies.sampled_from([
    departures.Source.ANSWER, departures.Source.NOTICE, departures.Source.PEER
])


def _entry(name, incarnation):
    return directory.Registration(name,
                                  "s",
                                  f"{name}:1",
                                  "d",
                                  1,
                                  incarnation=incarnation)


class DeparturesMachine(stateful.RuleBasedStateMachine):
    """Reports and reads in any order."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.state = departures.State()
        self.shown = {}  # Incarnations that are registered.
        # The newest incarnation of each target that was said to leave.
        self.left = {}
        self.leaving = set()  # According to the changes.

    @stateful.rule(name=_NAMES, incarnation=_INCARNATIONS, source=_SOURCES)
    def report(self, name, incarnation, source):
        """A source says that an incarnation leaves."""
        if incarnation >= self.shown.get(name, 0):
            self.left[name] = max(incarnation, self.left.get(name, 0))
        self._apply(
            departures.record(
                self.state,
                departures.Report(name, incarnation, f"{name}:1", source),
                self.now_s))

    @stateful.rule(name=_NAMES,
                   incarnation=strategies.none() | _INCARNATIONS,
                   is_leaving=strategies.booleans())
    def read(self, name, incarnation, is_leaving):
        """The store shows an incarnation of a target, or none."""
        self.shown.pop(name, None)
        if incarnation is not None:
            self.shown[name] = incarnation
            if incarnation > self.left.get(name, 0):
                self.left.pop(name, None)
                if is_leaving:
                    self.left[name] = incarnation
        entries = [
            _entry(other,
                   number)._replace(is_leaving=is_leaving and other == name)
            for other, number in self.shown.items()
        ]
        self._apply(departures.apply_entries(self.state, entries, self.now_s))

    @stateful.rule()
    def wait(self):
        """Time passes, shorter than targets without entries are kept."""
        self.now_s += 1.0

    def _apply(self, result):
        self.state, changes = result
        for change in changes:
            if isinstance(change, departures.Begun):
                self.leaving.add(change.target)
            else:
                assert change.target in self.leaving
                self.leaving.discard(change.target)

    @stateful.invariant()
    def leaving_is_as_the_oracle_says(self):
        """Exactly the incarnations that were said to leave do."""
        for name, incarnation in self.shown.items():
            is_leaving = incarnation <= self.left.get(name, 0)
            assert departures.is_leaving(self.state,
                                         _entry(name,
                                                incarnation)) == is_leaving
            assert (name
                    in departures.leaving_targets(self.state)) == is_leaving
        assert self.leaving == set(self.left)

    @stateful.invariant()
    def daemon_that_hears_all_digests_knows_the_same(self):
        """A digest holds what another daemon needs."""
        other = departures.State()
        for item in departures.select(self.state, self.now_s, 1):
            other, _ = departures.record(
                other,
                departures.Report(item.target, item.incarnation, item.address,
                                  departures.Source.PEER, item.age_s),
                self.now_s)
        for name, mark in other.marks.items():
            assert mark.incarnation == self.left.get(name)


@pytest.mark.timeout(120)
def test_departures():
    stateful.run_state_machine_as_test(DeparturesMachine, settings=_SETTINGS)


@pytest.mark.timeout(120)
@pytest.mark.parametrize("covers", [
    lambda mark, incarnation, address: True,
    lambda mark, incarnation, address: incarnation == mark.incarnation,
    lambda mark, incarnation, address: incarnation >= mark.incarnation,
])
def test_oracle_sees_incarnations_that_are_confused(monkeypatch, covers):
    monkeypatch.setattr(departures, "_covers", covers)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(DeparturesMachine,
                                           settings=_SETTINGS)
