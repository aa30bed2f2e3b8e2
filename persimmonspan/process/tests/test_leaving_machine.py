"""Tests the set of leaving targets with random orders of reports.

The oracle keeps a log of all reports and evaluates it from the start.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from persimmonspan.process import leaving

_SETTINGS = hypothesis.settings(max_examples=80,
                                stateful_step_count=30,
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
_VM = {"a": "v", "b": "v", "c": "w"}
_TARGETS = strategies.sampled_from(sorted(_VM))
_NAMES = strategies.sampled_from(sorted({*_VM, *_VM.values()}))


class LeavingMachine(stateful.RuleBasedStateMachine):
    """Lets the sources report on three targets on two VMs."""

    list_brings_back = False

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.log = []  # (seconds, name, whether it leaves)
        self.revision, self.listed = -1, frozenset()
        self.incarnation = dict.fromkeys(_VM, 0)
        self.state = leaving.State()
        self._send(leaving.VmsAssigned(tuple(_VM.items())))
        for target in _VM:
            self._send(leaving.IncarnationSeen(target, "0"))

    def _send(self, event):
        self.now_s += 1.0
        self.state, _ = leaving.step(self.state, event, self.now_s)

    @stateful.rule(names=strategies.frozensets(_NAMES),
                   revision=strategies.integers(0, 9))
    def inventory(self, names, revision):
        self._send(leaving.InventoryRead(revision, names))
        if revision > self.revision:
            gone = self.listed - names
            self.log += [(self.now_s, name, False) for name in gone]
            self.revision, self.listed = revision, names

    @stateful.rule(names=strategies.frozensets(
        strategies.sampled_from(["v", "w"])),
                   age_s=strategies.integers(0, 20))
    def vm_list(self, names, age_s):
        self._send(leaving.VmsListed(tuple(sorted(names)), age_s - 0.5))
        self.log += [(self.now_s - age_s + 0.5, name, True) for name in names]
        if self.list_brings_back:
            reported_s = self.state.reported_s
            for name in reported_s:
                if name in ("v", "w") and name not in names:
                    reported_s = reported_s.delete(name)
            self.state = self.state._replace(reported_s=reported_s)

    @stateful.rule(name=_NAMES)
    def reclaim(self, name):
        self._send(leaving.ReclaimNoticed(name))
        self.log.append((self.now_s, name, True))

    @stateful.rule(name=_TARGETS, back=strategies.integers(0, 1))
    def refusal(self, name, back):
        incarnation = max(0, self.incarnation[name] - back)
        self._send(leaving.DrainRefused(name, str(incarnation)))
        if incarnation == self.incarnation[name]:
            self.log.append((self.now_s, name, True))

    @stateful.rule(name=_TARGETS, offset=strategies.integers(-2, 1))
    def answer(self, name, offset):
        incarnation = self.incarnation[name] + offset
        self._send(leaving.LeavingAnswered(name, str(incarnation)))
        if not offset:
            self.log.append((self.now_s, name, True))

    @stateful.rule(name=_TARGETS, is_new=strategies.booleans())
    def report(self, name, is_new):
        self.incarnation[name] += is_new
        self._send(leaving.IncarnationSeen(name, str(self.incarnation[name])))
        if is_new:
            self.log.append((self.now_s, name, False))

    @stateful.rule(name=_NAMES)
    def undrain(self, name):
        self._send(leaving.UndrainOrdered(name))
        self.log.append((self.now_s, name, False))
        self.listed -= {name}

    @stateful.invariant()
    def leaving_set_is_the_oracles(self):
        for target, vm in _VM.items():
            names = (target, vm)
            expected = any(name in self.listed for name in names)
            for name in names:
                returned_s = max((s for s, who, leaves in self.log
                                  if who in (name, target) and not leaves),
                                 default=float("-inf"))
                expected |= any(who == name and leaves and s > returned_s
                                for s, who, leaves in self.log)
            assert leaving.is_leaving(self.state, target) == expected


class CredulousMachine(LeavingMachine):
    """Treats a VM that a list does not mark as leaving as returned."""

    list_brings_back = True


TestLeaving = LeavingMachine.TestCase
TestLeaving.settings = _SETTINGS


def test_oracle_sees_a_list_that_brings_a_vm_back():
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(CredulousMachine,
                                           settings=_FAULTY_SETTINGS)
