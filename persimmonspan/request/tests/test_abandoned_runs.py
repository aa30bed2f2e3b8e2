"""Tests when targets are called about runs that nobody waits for."""

import random

import pytest

from persimmonspan.request import abandoned_runs

Result = abandoned_runs.StopResult
_RUN = abandoned_runs.Run("t", "r1")
_END_S = 40.0
_MAX_OVERLAP_S = 0.4


def _add(state, run, due_s=0.0, has_started=True):
    return abandoned_runs.add(state, run, _END_S, due_s, has_started)


def _call(state, now_s, result):
    """Makes the calls that are due; returns the state and their runs."""
    state, due, _ = abandoned_runs.select_due(state, now_s)
    for run in due:
        state, _ = abandoned_runs.record_answer(state, run, result, now_s)
    return state, due


@pytest.mark.parametrize("result", [Result.BUSY, Result.UNCLEAR])
def test_call_without_a_confirmation_is_repeated_in_time(result):
    # Failure: two runs went on after one call that a target turned away.
    state, _ = _call(_add(abandoned_runs.State(), _RUN), 0.0, result)
    assert abandoned_runs.next_due_s(state) < _MAX_OVERLAP_S
    assert abandoned_runs.is_pending(state, _RUN)


def test_silent_target_gets_one_call_for_all_of_its_runs():
    # Failure: hundreds of calls to a target that was out of reach.
    runs = [abandoned_runs.Run("t", f"r{number}") for number in range(50)]
    state = abandoned_runs.State()
    for run in runs:
        state = _add(state, run)
    state, first = _call(state, 0.0, Result.NO_ANSWER)
    calls, now_s = 0, 0.0
    while now_s < 20.0:
        now_s += 0.05
        state, due = _call(state, now_s, Result.NO_ANSWER)
        assert len(due) <= 1
        calls += len(due)
    assert len(first) + calls < 20
    assert abandoned_runs.is_silent(state, "t", now_s)


def test_runs_are_stopped_soon_after_a_silent_target_answers():
    runs = [abandoned_runs.Run("t", f"r{number}") for number in range(20)]
    state = abandoned_runs.State()
    for run in runs:
        state = _add(state, run)
    state, _ = _call(state, 0.0, Result.NO_ANSWER)
    now_s = abandoned_runs.next_due_s(state)
    state, _ = _call(state, now_s, Result.STOPPED)
    for _ in runs:
        state, _ = _call(state, now_s, Result.STOPPED)
    assert not any(abandoned_runs.is_pending(state, run) for run in runs)


def test_runs_that_wait_for_an_answer_cause_no_calls_to_select():
    # Failure: a target that hung kept the schedule busy until it answered.
    runs = [abandoned_runs.Run("t", f"r{number}") for number in range(9)]
    state = abandoned_runs.State()
    for run in runs:
        state = _add(state, run)
    state, due, _ = abandoned_runs.select_due(state, 0.0)
    assert 0 < len(due) < len(runs)
    assert abandoned_runs.next_due_s(state) == _END_S
    state, _ = abandoned_runs.record_answer(state, due[0], Result.STOPPED, 0.1)
    assert abandoned_runs.next_due_s(state) <= 0.1


def test_silent_target_does_not_delay_another():
    other = abandoned_runs.Run("u", "r1")
    state, _ = _call(_add(abandoned_runs.State(), _RUN), 0.0, Result.NO_ANSWER)
    _, due = _call(_add(state, other), 0.01, Result.STOPPED)
    assert due == (other,)


def test_run_that_has_not_started_is_looked_for_again():
    # Failure: a request in a target's queue ran later for nobody.
    state = _add(abandoned_runs.State(), _RUN, has_started=False)
    state, _ = _call(state, 0.0, Result.NO_RUN)
    assert abandoned_runs.is_pending(state, _RUN)
    for now_s in (5.0, 10.0):
        state, _ = _call(state, now_s, Result.NO_RUN)
    assert not abandoned_runs.is_pending(state, _RUN)


def test_run_is_forgotten_at_its_deadline():
    state, _ = _call(_add(abandoned_runs.State(), _RUN), 0.0, Result.NO_ANSWER)
    state, due, expired = abandoned_runs.select_due(state, _END_S)
    assert (due, expired) == ((), (_RUN,))
    assert not state.entries


def test_number_of_runs_is_bounded():
    state = abandoned_runs.State()
    for number in range(abandoned_runs.MAX_RUNS + 5):
        state = abandoned_runs.add(state, abandoned_runs.Run("t", str(number)),
                                   _END_S + number, 0.0)
    assert len(state.entries) == abandoned_runs.MAX_RUNS
    assert abandoned_runs.is_pending(
        state, abandoned_runs.Run("t", str(abandoned_runs.MAX_RUNS + 4)))


@pytest.mark.parametrize("seed", range(20))
def test_each_run_is_stopped_or_expires(seed):
    # Failure: a run was never called again after some order of answers.
    rng = random.Random(seed)
    state, open_calls, live, now_s = abandoned_runs.State(), [], {}, 0.0
    while now_s < 60.0:
        now_s += rng.random() * 0.2
        if now_s < 10.0 and rng.random() < 0.5:
            run = abandoned_runs.Run(rng.choice("tuv"), str(rng.randrange(40)))
            end_s = now_s + rng.random() * 20.0
            state = abandoned_runs.add(state, run, end_s, now_s,
                                       rng.random() < 0.5)
            live[run] = max(end_s, live.get(run, 0.0))
        state, due, expired = abandoned_runs.select_due(state, now_s)
        assert not set(due) & set(open_calls)
        open_calls += due
        for run in expired:
            assert live.pop(run) <= now_s
        while open_calls and rng.random() < 0.7:
            run = open_calls.pop(rng.randrange(len(open_calls)))
            state, has_ended = abandoned_runs.record_answer(
                state, run, rng.choice(list(Result)), now_s)
            if has_ended:
                live.pop(run)
    assert not state.entries and not live
