"""Guards each case of the table in `docs/design/ledger.md`."""

import pytest

from persimmonspan import errors
from persimmonspan.request import ledger
from persimmonspan.request import ledger_events as le

_HOLDER = le.Holder("daemon-1", "i1")
_CALL = le.Call("ledger/lima/k-7", "d1", "a1", _HOLDER, 60.0)
_ANSWER = le.Answer(200, "application/json", b"{}")


def _play(*events, call=_CALL, now_s=0.1):
    """Steps through events; returns the state and the last commands."""
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
_DOWN = le.WriteEnded(False)
_LOST = le.WriteEnded(None)


def _refusal(commands):
    assert isinstance(commands[-1], le.Refuse)
    return commands[-1].code, commands[-1].run_state


def test_claim_dispatch_record_answer():
    state, commands = _play(le.Begin(), _APPLIED)
    assert isinstance(commands[0], le.Dispatch)
    state, commands = ledger.step(state, le.TargetAnswered(_ANSWER), 0.2)
    assert commands[0].document["state"] == "recorded"
    assert commands[0].expected_version == 4
    _, commands = ledger.step(state, _APPLIED, 0.3)
    assert commands == [le.Respond(_ANSWER)]


def test_lost_answer_of_the_claim_is_found_in_the_row():
    _, commands = _play(le.Begin(), _conflict(attempt="a1"))
    assert isinstance(commands[0], le.Dispatch)


def test_store_down_before_the_claim_is_not_run():
    _, commands = _play(le.Begin(), _DOWN)
    assert len(commands) == 1
    assert _refusal(commands) == ("store_unavailable", "not_run")


def test_unsettled_claim_is_not_dispatched_and_released_later():
    _, commands = _play(le.Begin(), _LOST)
    assert commands[0].document["state"] == "released"
    assert _refusal(commands) == ("store_unavailable", "not_run")
    kept = commands[0].document
    write = ledger.plan_late_write(_CALL.key, kept, _row(attempt="a1"))
    assert write.expected_version == 5
    assert ledger.plan_late_write(_CALL.key, kept, _row(attempt="a2")) is None


def test_store_down_during_a_rivals_call_is_not_called_not_run():
    call = _CALL._replace(has_concurrent_attempt=True)
    _, commands = _play(le.Begin(), _DOWN, call=call)
    assert _refusal(commands) == ("in_progress", "unknown")


@pytest.mark.parametrize("end", [_DOWN, _LOST])
def test_store_down_at_the_record_answers_and_keeps(end):
    _, commands = _play(le.Begin(), _APPLIED, le.TargetAnswered(_ANSWER), end)
    assert commands[0].document["answer"] == _ANSWER
    assert commands[1] == le.Respond(_ANSWER)
    _, commands = _play(le.Begin(commands[0].document),
                        call=_CALL._replace(attempt="a9"))
    assert commands == [le.Respond(_ANSWER)]


def test_silent_target_is_unknown_and_recorded_so():
    state, commands = _play(le.Begin(), _APPLIED, le.TargetSilent("closed"))
    assert commands[0].document["state"] == "unknown"
    _, commands = ledger.step(state, _APPLIED, 0.3)
    assert _refusal(commands) == ("outcome_unknown", "unknown")


def test_call_that_was_not_run_is_released():
    state, commands = _play(le.Begin(), _APPLIED, le.TargetNotRun("busy"))
    assert commands[0].document["state"] == "released"
    _, commands = ledger.step(state, _APPLIED, 0.3)
    assert _refusal(commands) == ("target_failed", "not_run")


def test_released_row_is_claimed_on_its_version():
    _, commands = _play(le.Begin(), _conflict(state="released"))
    assert commands[0].expected_version == 5
    assert commands[0].document["state"] == "claimed"


def test_repeat_gets_the_recorded_answer():
    _, commands = _play(le.Begin(), _conflict(state="recorded", answer=_ANSWER))
    assert commands == [le.Respond(_ANSWER)]


@pytest.mark.parametrize("row_state", ["claimed", "recorded", "unknown"])
def test_same_key_with_another_body_conflicts(row_state):
    _, commands = _play(le.Begin(),
                        _conflict(state=row_state, digest="d2", answer=_ANSWER))
    assert _refusal(commands) == ("idempotency_key_reused", "not_run")


def test_loser_waits_for_the_record_then_says_in_progress():
    state, commands = _play(le.Begin(), _conflict())
    assert isinstance(commands[0], le.ReadRow)
    _, answered = ledger.step(
        state, le.RowRead(_row(state="recorded", answer=_ANSWER)), 0.5)
    assert answered == [le.Respond(_ANSWER)]
    _, commands = ledger.step(state, le.RowRead(_row()), 50.0)
    assert _refusal(commands) == ("in_progress", "unknown")


def test_claim_of_a_dead_daemon_is_unknown():
    _, commands = _play(le.Begin(), _conflict(), le.RowRead(_row(), True))
    assert _refusal(commands) == ("outcome_unknown", "unknown")


def test_no_claim_is_taken_over_by_time():
    state, _ = _play(le.Begin(), _conflict())
    for now_s in (1.0, 30.0, 1e6):
        _, commands = ledger.step(state, le.RowRead(_row()), now_s)
        assert not any(
            isinstance(item, le.WriteRow | le.Dispatch) for item in commands)


def test_paused_holder_reads_its_claim_again_before_dispatch():
    state, commands = _play(le.Begin(), _APPLIED)
    state, commands = ledger.step(state, le.DispatchExpired(), 30.0)
    assert commands == [le.ReadRow(_CALL.key, 0.0)]
    _, commands = ledger.step(state, le.RowRead(_row(attempt="a1")), 30.1)
    assert isinstance(commands[0], le.Dispatch)
    _, commands = ledger.step(state, le.RowRead(_row(state="unknown")), 30.1)
    assert _refusal(commands) == ("outcome_unknown", "unknown")


def test_holder_that_wakes_after_the_deadline_releases():
    state, _ = _play(le.Begin(), _APPLIED)
    state, commands = ledger.step(state, le.DispatchExpired(), 90.0)
    assert commands[0].document["state"] == "released"
    _, commands = ledger.step(state, _APPLIED, 90.1)
    assert _refusal(commands) == ("deadline_exceeded", "not_run")


def test_operators_settlement_is_not_overwritten():
    _, commands = _play(le.Begin(), _APPLIED, le.TargetAnswered(_ANSWER),
                        _conflict(state="recorded", attempt="a1"))
    assert commands[0] == le.Count("ledger_record_superseded")
    assert commands[1] == le.Respond(_ANSWER)


def test_codes_of_refusals_are_conflicts_for_callers():
    error = errors.PersimmonspanError(errors.Code.IN_PROGRESS, "")
    assert error.status == 409
