"""Tests of targets that end without a reset."""

import pytest

from persimmonspan.connection import exchange
from persimmonspan.process import death_probe
from persimmonspan.process import directory
from persimmonspan.process import lost_targets
from persimmonspan.request import events
from testbed import edge_world

_ENTRY = directory.Registration("a", "s", "10.0.0.1:80", "d", 1, incarnation=1)
_OTHER = _ENTRY._replace(name="b", address="10.0.0.2:80")


def _find(change, is_leaving=lambda entry: False):
    return lost_targets.find_lost((_ENTRY, _OTHER), change, is_leaving)


def test_target_whose_name_another_process_has_was_lost():
    change = directory.Change(restarted=(_ENTRY._replace(incarnation=2),))
    assert _find(change).ended == ("a",)


def test_target_at_whose_address_another_one_registers_was_lost():
    change = directory.Change(joined=(_ENTRY._replace(name="c"),))
    assert _find(change).ended == ("a",)


def test_target_whose_entry_is_gone_is_to_be_probed():
    assert _find(directory.Change(gone=(_ENTRY,))) == ((), (_ENTRY,))


def test_target_that_has_told_that_it_leaves_is_not_lost():
    # Failure: a planned end would be evidence against what runs there.
    change = directory.Change(gone=(_ENTRY,),
                              joined=(_OTHER._replace(name="c"),))
    assert _find(change, lambda entry: True) == ((), ())
    leaving = _ENTRY._replace(name="l", is_leaving=True)
    assert _find(directory.Change(gone=(leaving,))) == ((), ())


@pytest.mark.parametrize("answer, is_missing, result", [
    (exchange.Reachability.REFUSED, False, events.TargetDied),
    (exchange.Reachability.ACCEPTED, False, events.TargetAlive),
    (exchange.Reachability.NO_ANSWER, False, None),
    (exchange.Reachability.REFUSED, True, events.TargetLost),
    (exchange.Reachability.NO_ANSWER, True, events.TargetLost),
    (exchange.Reachability.ACCEPTED, True, None),
])
def test_silence_alone_shows_neither_life_nor_death(monkeypatch, answer,
                                                    is_missing, result):
    # Failure: an address without an answer counted as that of a live target.
    asked, reports = [], []

    def probe(address, timeout_s):
        del timeout_s
        asked.append(address)
        return answer

    monkeypatch.setattr(exchange, "probe", probe)
    checker = death_probe.DeathProbe(reports.append, lambda target: False)
    target = events.Target("t", "s", "10.0.0.1:80", "d")
    with checker.running():
        if is_missing:
            checker.check_missing(target)
        else:
            checker.check(target)
        edge_world.wait_until(lambda: asked)
    assert reports == ([] if result is None else [result("t")])


def test_address_without_a_process_is_told_from_a_silent_one():
    address = edge_world.free_address()
    assert exchange.probe(address, 0.5) is exchange.Reachability.REFUSED
