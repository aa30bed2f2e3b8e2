"""Stateful test of the targets while the store fails and comes back older.

The oracle knows what the targets did. It does not follow the rules of the
directory: it checks only what must hold after each read.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from persimmonspan.process import directory

_NAMES = strategies.sampled_from(["i-1", "i-2"])
_COPY_S = 20.0  # Age of the oldest copy.
# Within this time, entries that nobody renews are removed.
_REMOVAL_S = 6.0
_REREGISTRATION_S = 2.0


class DirectoryMachine(stateful.RuleBasedStateMachine):
    """Targets write to a store that is read, fails and comes back older."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.era = 1
        self.live = {}
        self.rows = {}
        self.copies = [(0.0, {})]
        self.came_back_s = 0.0
        self.incarnation = 0
        self.state = directory.State()
        # What this daemon has read of each name.
        self.newest = {}
        self.left = set()
        self.usable = {}  # At the last read.
        self.returned_s = -100.0
        self.confirmed_s = 0.0
        self.is_lost = False
        self.regained_s = -100.0

    @stateful.rule(name=_NAMES)
    def start(self, name):
        """A target starts, or starts again under its name."""
        self.incarnation += 1
        self.live[name] = directory.Registration(name,
                                                 "s",
                                                 f"a:{self.incarnation}",
                                                 "d",
                                                 1,
                                                 incarnation=self.incarnation)
        self.rows[name] = self.live[name]

    @stateful.rule(name=_NAMES)
    def leave(self, name):
        """A target reports that it leaves."""
        if name in self.live:
            self.live[name] = self.live[name]._replace(is_leaving=True)
            self.rows[name] = self.live[name]

    @stateful.rule(name=_NAMES)
    def renew(self, name):
        """A target writes its entry again."""
        if name in self.live:
            self.rows[name] = self.live[name]

    @stateful.rule(name=_NAMES)
    def remove(self, name):
        """A target ends, and its entry is removed."""
        self.live.pop(name, None)
        self.rows.pop(name, None)

    @stateful.rule(data=strategies.data())
    def come_back(self, data):
        """The store comes back from a copy."""
        recent = [
            rows for at_s, rows in self.copies if self.now_s - at_s <= _COPY_S
        ]
        if recent:
            self.rows = dict(data.draw(strategies.sampled_from(recent)))
            self.came_back_s = self.now_s
            self.era += 1

    @stateful.rule()
    def fail(self):
        """A read fails."""
        self.is_lost = True
        self.state = directory.failed(self.state, self.confirmed_s)

    @stateful.rule(name=_NAMES)
    def lapse(self, name):
        """An entry is removed while the store is lost."""
        if self.is_lost:
            self.rows.pop(name, None)

    @stateful.rule(pause_s=strategies.sampled_from([0.1, 0.5, 1.9, 2.1, 7.0]),
                   reader=strategies.sampled_from(
                       ["this", "peer", "started peer"]))
    def read(self, pause_s, reader):
        """This daemon or a peer reads the entries."""
        self.now_s += pause_s
        if self.now_s - self.came_back_s > _REMOVAL_S:
            self.rows = dict(self.live)
        self.copies.append((self.now_s, dict(self.rows)))
        before = self.state
        self._confirm()
        if reader == "peer":
            self.regained_s = -100.0  # It tells which entries have lapsed.
            self.state, change = directory.apply_snapshot(
                before, self.rows.values(), self.now_s, self.era)
        elif reader == "started peer":
            self.state, change = directory.apply_snapshot(
                before, self.rows.values(), self.now_s, self.era, self.now_s)
        else:
            self.state, change = directory.apply_rows(before,
                                                      self.rows.values(),
                                                      self.now_s, self.era)
        self._check(before, change)

    @stateful.rule(pause_s=strategies.sampled_from([0.1, 2.1]))
    def wait(self, pause_s):
        """Time passes while the same rows are confirmed."""
        self.now_s += pause_s
        before = self.state
        self._confirm()
        self.state, change = directory.apply_time(before, self.now_s,
                                                  self.confirmed_s)
        self._check(before, change)

    def _confirm(self):
        self.confirmed_s = self.now_s
        if self.is_lost:
            self.is_lost, self.regained_s = False, self.now_s

    def _check(self, before, change):
        if before.era and self.state.era != before.era:
            self.returned_s = self.now_s
        usable = {
            entry.name: entry for entry in directory.usable_targets(self.state)
        }
        for name, entry in usable.items():
            # Leaving holds for an incarnation; none replaces a newer one.
            assert (name, entry.incarnation) not in self.left
            assert entry.incarnation >= self.newest.get(name, 0)
            self.newest[name] = entry.incarnation
        available_s = max(self.returned_s, self.regained_s)
        if self.now_s < available_s + _REREGISTRATION_S:
            for name, entry in self.usable.items():
                # Only a report that it leaves, or a restart, ends its use.
                shown = self.state.present.get(name)
                assert name in usable or (shown is not None and
                                          shown.is_leaving)
        else:
            assert not (self.state.lapsed and self.now_s - before.regained_s
                        > _REREGISTRATION_S and not before.is_lost)
        if self.now_s - self.returned_s > _REMOVAL_S:
            for name, row in self.state.doubted.items():
                # What is doubted for longer is known to be older.
                assert (name, row.incarnation) in self.left or (
                    row.incarnation < self.newest.get(name, 0))
        for entry in self.state.present.values():
            if entry.is_leaving:
                self.left.add((entry.name, entry.incarnation))
                self.newest[entry.name] = max(entry.incarnation,
                                              self.newest.get(entry.name, 0))
        known = {entry.name for entry in directory.all_targets(before)}
        now_known = {entry.name for entry in directory.all_targets(self.state)}
        assert {entry.name for entry in change.gone} == known - now_known
        assert {entry.name for entry in change.joined} == now_known - known
        self.usable = usable


_SETTINGS = hypothesis.settings(max_examples=400,
                                stateful_step_count=30,
                                deadline=None,
                                derandomize=True,
                                database=None)
_FAULTY_SETTINGS = hypothesis.settings(_SETTINGS,
                                       max_examples=2000,
                                       phases=[hypothesis.Phase.generate],
                                       report_multiple_bugs=False)
TestDirectoryMachine = DirectoryMachine.TestCase
TestDirectoryMachine.settings = _SETTINGS


def test_oracle_sees_a_directory_that_believes_each_row(monkeypatch):
    monkeypatch.setattr(directory, "_believe", lambda row, state, now_s: row)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(DirectoryMachine,
                                           settings=_FAULTY_SETTINGS)


def test_oracle_sees_a_directory_that_knows_no_eras(monkeypatch):
    monkeypatch.setattr(directory, "_enter_era",
                        lambda state, era, now_s: state._replace(era=era))
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(DirectoryMachine,
                                           settings=_FAULTY_SETTINGS)


def test_oracle_sees_a_directory_that_believes_a_peer_that_has_started(
        monkeypatch):
    apply_snapshot = directory.apply_snapshot
    monkeypatch.setattr(directory, "apply_snapshot",
                        lambda *args: apply_snapshot(*args[:4]))
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(DirectoryMachine,
                                           settings=_FAULTY_SETTINGS)
