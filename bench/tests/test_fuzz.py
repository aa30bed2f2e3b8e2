"""Runs the fuzzing machines briefly and shows that their oracles can fail."""

import pytest

from bench import fuzz
from testbed import configuration_world
from testbed import ledger_world

_STEPS = 8000
_FAULT_STEPS = 30_000  # Upper bound; a run ends at the first failure.


@pytest.mark.parametrize("machine",
                         [fuzz.LedgerMachine, fuzz.ConfigurationMachine])
def test_guarantees_hold(machine):
    counts = fuzz.run(machine, _STEPS, seed=1)
    # A machine that reaches no run and no accepted revision checks nothing. The
    # examples depend on the modules that are loaded, hence the room above 20.
    assert counts.get("answered_keys", 0) + counts.get("accepted", 0) > 20


@pytest.mark.parametrize("fault, message", [
    (ledger_world.Fault.SKIP_CLAIM, "run by|two answers|changed"),
    (ledger_world.Fault.TAKE_OVER, "run by|two answers|not_run|changed"),
    (ledger_world.Fault.FALSE_NOT_RUN, "run by|two answers|not_run|changed"),
    (ledger_world.Fault.IGNORE_RETURN,
     "run by|two answers|not_run|changed|not restored"),
    (configuration_world.Fault.ADOPT_ANY, "reverted"),
    (configuration_world.Fault.SERVE_ISOLATED, "is isolated"),
    (configuration_world.Fault.BLIND_COMMIT,
     "accepted twice|lost a change|another revision"),
])
def test_deliberate_fault_is_found(fault, message):
    machine = fuzz.machine(fault)
    with pytest.raises(BaseException) as caught:
        fuzz.run(machine, _FAULT_STEPS, seed=1, is_shrunk=False)
    failures = getattr(caught.value, "exceptions", [caught.value])
    assert all(isinstance(item, AssertionError) for item in failures)
    assert caught.group_contains(
        AssertionError,
        match=message) if len(failures) > 1 else caught.match(message)
