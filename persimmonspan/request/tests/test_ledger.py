"""Tests each case of the table in `docs/design/ledger.md`."""

import pytest

from persimmonspan import errors
from persimmonspan.request import ledger
from persimmonspan.request import ledger_events as le

_HOLDER = le.Holder("daemon-1", "i1")
_CALL = le.Call("ledger/lima/k-7", "d1", "a1", _HOLDER, 60.0)
_ANSWER = le.Response(200, "application/json", b"{}")


def _apply_events(*events, call=_CALL, now_s=0.1):
    """Applies events; returns the state and the last commands."""
    state, commands = ledger.State(call), []
    for event in events:
        state, commands = ledger.step(state, event, now_s)
    return state, commands


def _row(state="claimed", attempt="a2", digest="d1", answer=None):
    return le.Row(
        5,
        le.RowDocument(state=state,
                       attempt=attempt,
                       daemon="daemon-2",
                       incarnation="i2",
                       digest=digest,
                       claimed_at_s=0.0,
                       answer=answer,
                       note=""))


def _conflict(**fields):
    return le.WriteEnded(False, conflict=_row(**fields))


_APPLIED = le.WriteEnded(True, 4)
_NOT_WRITTEN = le.WriteEnded(False)
_WRITE_UNKNOWN = le.WriteEnded(None)


def _refusal(commands):
    assert isinstance(commands[-1], le.Refuse)
    return commands[-1].code, commands[-1].run_state


def test_call_is_claimed_dispatched_and_recorded():
    state, commands = _apply_events(le.Begin(), _APPLIED)
    assert isinstance(commands[0], le.Dispatch)
    state, commands = ledger.step(state, le.TargetResponded(_ANSWER), 0.2)
    assert commands[0].document["state"] == "recorded"
    assert commands[0].expected_version == 4
    _, commands = ledger.step(state, _APPLIED, 0.3)
    assert commands == [le.Respond(_ANSWER)]


def test_claim_with_a_lost_response_is_dispatched():
    _, commands = _apply_events(le.Begin(), _conflict(attempt="a1"))
    assert isinstance(commands[0], le.Dispatch)


def test_store_down_before_the_claim_is_not_run():
    _, commands = _apply_events(le.Begin(), _NOT_WRITTEN)
    assert len(commands) == 1
    assert _refusal(commands) == ("store_unavailable", "not_run")


def test_claim_of_unknown_outcome_is_not_dispatched_and_released_later():
    _, commands = _apply_events(le.Begin(), _WRITE_UNKNOWN)
    assert commands[0].document["state"] == "released"
    assert _refusal(commands) == ("store_unavailable", "not_run")
    kept = commands[0].document
    write = ledger.plan_late_write(_CALL.key, kept, _row(attempt="a1"))
    assert write.expected_version == 5
    assert ledger.plan_late_write(_CALL.key, kept, _row(attempt="a2")) is None


def test_store_down_during_a_concurrent_attempt_is_in_progress():
    call = _CALL._replace(has_concurrent_attempt=True)
    _, commands = _apply_events(le.Begin(), _NOT_WRITTEN, call=call)
    assert _refusal(commands) == ("in_progress", "unknown")


@pytest.mark.parametrize("end", [_NOT_WRITTEN, _WRITE_UNKNOWN])
def test_store_down_at_the_record_responds_and_keeps_the_row(end):
    _, commands = _apply_events(le.Begin(), _APPLIED,
                                le.TargetResponded(_ANSWER), end)
    assert commands[0].document["answer"] == _ANSWER
    assert commands[1] == le.Respond(_ANSWER)
    _, commands = _apply_events(le.Begin(commands[0].document),
                                call=_CALL._replace(attempt="a9"))
    assert commands == [le.Respond(_ANSWER)]


def test_silent_target_is_recorded_as_unknown():
    state, commands = _apply_events(le.Begin(), _APPLIED,
                                    le.ResponseLost("closed"))
    assert commands[0].document["state"] == "unknown"
    _, commands = ledger.step(state, _APPLIED, 0.3)
    assert _refusal(commands) == ("outcome_unknown", "unknown")


def test_call_that_was_not_run_is_released():
    state, commands = _apply_events(le.Begin(), _APPLIED,
                                    le.TargetNotRun("busy"))
    assert commands[0].document["state"] == "released"
    _, commands = ledger.step(state, _APPLIED, 0.3)
    assert _refusal(commands) == ("target_failed", "not_run")


def test_released_row_is_claimed_on_its_version():
    _, commands = _apply_events(le.Begin(), _conflict(state="released"))
    assert commands[0].expected_version == 5
    assert commands[0].document["state"] == "claimed"


def test_repeat_gets_the_recorded_answer():
    _, commands = _apply_events(le.Begin(),
                                _conflict(state="recorded", answer=_ANSWER))
    assert commands == [le.Respond(_ANSWER)]


@pytest.mark.parametrize("row_state", ["claimed", "recorded", "unknown"])
def test_same_key_with_another_body_conflicts(row_state):
    _, commands = _apply_events(
        le.Begin(), _conflict(state=row_state, digest="d2", answer=_ANSWER))
    assert _refusal(commands) == ("idempotency_key_reused", "not_run")


def test_concurrent_attempt_waits_for_the_record_then_is_in_progress():
    state, commands = _apply_events(le.Begin(), _conflict())
    assert isinstance(commands[0], le.ReadRow)
    _, answered = ledger.step(
        state, le.RowRead(_row(state="recorded", answer=_ANSWER)), 0.5)
    assert answered == [le.Respond(_ANSWER)]
    _, commands = ledger.step(state, le.RowRead(_row()), 50.0)
    assert _refusal(commands) == ("in_progress", "unknown")


def test_claim_of_an_ended_daemon_is_unknown():
    _, commands = _apply_events(le.Begin(), _conflict(),
                                le.RowRead(_row(), True))
    assert _refusal(commands) == ("outcome_unknown", "unknown")


def test_claim_does_not_expire():
    state, _ = _apply_events(le.Begin(), _conflict())
    for now_s in (1.0, 30.0, 1e6):
        _, commands = ledger.step(state, le.RowRead(_row()), now_s)
        assert not any(
            isinstance(item, le.WriteRow | le.Dispatch) for item in commands)


def test_paused_holder_verifies_its_claim_before_dispatch():
    state, commands = _apply_events(le.Begin(), _APPLIED)
    state, commands = ledger.step(state, le.DispatchExpired(), 30.0)
    assert commands == [le.ReadRow(_CALL.key, 0.0)]
    _, commands = ledger.step(state, le.RowRead(_row(attempt="a1")), 30.1)
    assert isinstance(commands[0], le.Dispatch)
    _, commands = ledger.step(state, le.RowRead(_row(state="unknown")), 30.1)
    assert _refusal(commands) == ("outcome_unknown", "unknown")


def test_paused_holder_releases_its_claim_after_the_deadline():
    state, _ = _apply_events(le.Begin(), _APPLIED)
    state, commands = ledger.step(state, le.DispatchExpired(), 90.0)
    assert commands[0].document["state"] == "released"
    _, commands = ledger.step(state, _APPLIED, 90.1)
    assert _refusal(commands) == ("deadline_exceeded", "not_run")


def test_operators_settlement_is_not_overwritten():
    _, commands = _apply_events(le.Begin(), _APPLIED,
                                le.TargetResponded(_ANSWER),
                                _conflict(state="recorded", attempt="a1"))
    assert commands[0] == le.Count("ledger_record_superseded")
    assert commands[1] == le.Respond(_ANSWER)


def test_in_progress_is_a_conflict_for_callers():
    error = errors.PersimmonspanError(errors.Code.IN_PROGRESS, "")
    assert error.status == 409
