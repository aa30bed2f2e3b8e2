"""Tests that poison requests are quarantined and innocent ones cleared."""

import pytest

from persimmonspan.request import events
from persimmonspan.request import quarantine

_ACTIONS = quarantine.Action
_TARGETS = ["e1", "e2", "e3", "e4", "e5", "e6"]


def _state_after_death(others=("i1", "i2")):
    state = quarantine.State()
    for fingerprint in ("p", *others):
        state = quarantine.record_dispatch(state, f"r-{fingerprint}",
                                           fingerprint, "e1", 0.0)
    return quarantine.step(state, events.TargetDied("e1"), 1.0)[0]


def _dispatch_isolated(state, fingerprint, now_s):
    action, target = quarantine.plan(state, fingerprint, _TARGETS[1:], now_s)
    assert action is _ACTIONS.ISOLATE
    state = quarantine.record_dispatch(state, f"r-{fingerprint}", fingerprint,
                                       target, now_s)
    return state, target


def test_poison_is_refused_after_two_deaths_and_others_are_cleared():
    state, target = _dispatch_isolated(_state_after_death(), "p", 1.0)
    assert quarantine.is_reserved(state, target, 1.5)
    state, commands = quarantine.step(state, events.TargetDied(target), 2.0)
    assert events.ShareQuarantine("p", 2, quarantine.CONDEMNED_TTL_S, "",
                                  "e1") in commands
    assert quarantine.is_quarantined(state, "p", 2.0)
    for fingerprint in ("i1", "i2"):
        assert quarantine.plan(state, fingerprint, _TARGETS,
                               2.0).action is _ACTIONS.ANY


def test_completed_isolated_run_clears_a_suspect_everywhere():
    state = _state_after_death()
    for fingerprint in ("i1", "i2"):
        state, target = _dispatch_isolated(state, fingerprint, 3.0)
        state, commands = quarantine.step(
            state,
            events.AttemptEnded(f"r-{fingerprint}", target,
                                events.Outcome.COMPLETED), 4.0)
        assert events.ShareQuarantine(fingerprint, 0, 0.0) in commands
        assert quarantine.plan(state, fingerprint, _TARGETS,
                               4.0).action is _ACTIONS.ANY


def test_peer_work_on_the_target_leads_to_hold_not_condemnation():
    state, target = _dispatch_isolated(_state_after_death(), "p", 1.0)
    state, _ = quarantine.step(
        state, events.PeerLoad("d2", (events.TargetLoad(target, 1, 9),)), 1.5)
    state, _ = quarantine.step(state, events.TargetDied(target), 2.0)
    hold_s = quarantine.HOLD_TTL_S
    assert quarantine.is_quarantined(state, "p", 1.9 + hold_s)
    action, _ = quarantine.plan(state, "p", _TARGETS, 2.1 + hold_s)
    assert action is _ACTIONS.DRAIN


def test_daemons_that_reserve_the_same_target_at_once_agree():
    loads = events.PeerLoad("peer", ())
    ready = {}
    for own, other in (("p", "i1"), ("i1", "p")):
        state, _ = quarantine.step(_state_after_death(), loads, 1.0)
        action, target = quarantine.plan(state, own, ["e2"], 1.0)
        assert (action, target) == (_ACTIONS.DRAIN, "e2")
        state = quarantine.reserve(state, own, "e2", 1.0)
        shared = events.QuarantineShared(other, 1, 300.0, "e2")
        state, _ = quarantine.step(state, shared, 1.2)
        ready[own] = quarantine.plan(state, own, ["e2"], 1.6).action
    assert ready == {"p": _ACTIONS.WAIT, "i1": _ACTIONS.ISOLATE}


def test_suspect_waits_while_its_second_death_is_undetermined():
    state, target = _dispatch_isolated(_state_after_death(), "p", 1.0)
    state, _ = quarantine.step(
        state,
        events.AttemptEnded("r-p", target,
                            events.Outcome.FAILED_BEFORE_FIRST_TOKEN), 1.5)
    assert quarantine.plan(state, "p", _TARGETS, 1.6).action is _ACTIONS.WAIT


def test_target_is_reserved_for_the_suspect_of_a_peer():
    shared = events.QuarantineShared("p", 1, 300.0, "e2")
    state, _ = quarantine.step(quarantine.State(), shared, 0.0)
    assert quarantine.is_reserved(state, "e2", 1.0)
    assert quarantine.plan(state, "p", _TARGETS, 1.0).action is _ACTIONS.WAIT
    state = quarantine.reserve(state, "a", "e3", 1.0)
    shared = events.QuarantineShared("p", 1, 300.0, "e3")
    state, _ = quarantine.step(state, shared, 1.1)
    assert state.reservations["e3"].fingerprint == "a"


def test_broken_attempt_is_isolated_before_the_death_is_known():
    state = quarantine.record_dispatch(quarantine.State(), "r", "p", "e1", 0.0)
    state, _ = quarantine.step(
        state,
        events.AttemptEnded("r", "e1",
                            events.Outcome.FAILED_BEFORE_FIRST_TOKEN), 1.0)
    assert quarantine.plan(state, "p", _TARGETS, 1.1).action is _ACTIONS.ISOLATE
    late, _ = quarantine.step(state, events.TargetDied("e1"), 3.0)
    assert late.records["p"].crashes == 1
    state, _ = quarantine.step(state, events.Tick(), 7.0)
    assert not state.records and not state.runs["e1"]


def test_busy_target_is_drained_before_the_isolated_run():
    state = _state_after_death()
    for target in _TARGETS[1:]:
        state = quarantine.record_dispatch(state, f"b-{target}", "b", target,
                                           1.0)
    action, target = quarantine.plan(state, "p", _TARGETS[1:], 1.0)
    assert action is _ACTIONS.DRAIN
    state = quarantine.reserve(state, "p", target, 1.0)
    assert quarantine.plan(state, "i1", _TARGETS[1:],
                           1.0).action is _ACTIONS.WAIT
    state, _ = quarantine.step(
        state,
        events.AttemptEnded(f"b-{target}", target, events.Outcome.COMPLETED),
        2.0)
    assert quarantine.plan(state, "p", _TARGETS[1:],
                           2.0) == (_ACTIONS.ISOLATE, target)


@pytest.mark.parametrize("lift", [
    events.QuarantineLifted("p"),
    events.QuarantineShared("p", 0, 0.0),
])
def test_lift_overrides_late_reports_of_peers(lift):
    shared = events.QuarantineShared("p", 2, 600.0)
    state, _ = quarantine.step(quarantine.State(), shared, 0.0)
    assert quarantine.plan(state, "p", _TARGETS, 1.0).action is _ACTIONS.REFUSE
    state, _ = quarantine.step(state, lift, 1.0)
    state, _ = quarantine.step(state, shared, 2.0)
    assert quarantine.plan(state, "p", _TARGETS, 3.0).action is _ACTIONS.ANY
