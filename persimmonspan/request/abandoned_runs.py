"""Decides when to call targets that may still work on an abandoned run.

The end of a connection shows nothing about the run behind it: engines may go on
after a reset, an early end, bytes that are no response, or the departure of the
caller. Only the target knows, so it is told to stop the run until it confirms
that the run has ended, until its process has ended, or until the deadline that
it received has passed.

The load: all runs of a target that goes out of reach, and all callers of a
daemon that leave at once, some thousands at most. A target that does not answer
gets one call per pause for all of its runs, with pauses that double.

>>> run = Run("t", "r1")
>>> state = add(State(), run, end_s=30.0, due_s=1.0)
>>> next_due_s(state)
1.0
>>> state, due, _ = select_due(state, 1.0)
>>> due
(Run(target='t', request_id='r1'),)
>>> state, has_ended = record_answer(state, run, StopResult.NO_RUN, 1.1)
>>> has_ended, is_pending(state, run)
(True, False)

See Also:
    `persimmonspan.process.run_stopper`: makes the calls.
    `persimmonspan.request.current_run`: stops a run before its stream goes on.
"""

import collections
import enum
import math
import typing

import immutables

_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 2.0
# More are dropped; their targets stop them at their deadlines.
MAX_RUNS = 4096
# A run that has sent nothing may wait at its target, which then does not know
# it. It is absent for good only after this many answers.
_ABSENCES_BEFORE_START = 3
_UNSTARTED_PAUSE_S = 0.5
# A target that hangs must not hold all threads that make calls.
_MAX_CALLS_PER_TARGET = 4


class StopResult(enum.StrEnum):
    """How a call that stops a run ended; counted as `run_stop_...`."""

    STOPPED = "stopped"  # The target has stopped it.
    NO_RUN = "no_run"  # The target does not have it.
    TARGET_ENDED = "target_ended"  # No process listens at the address.
    BUSY = "busy"  # Another call about the run is in progress.
    UNCLEAR = "unclear"  # Any other response.
    NO_ANSWER = "no_answer"

    @property
    def has_ended(self) -> bool:
        """Whether the run does not go on."""
        return self in (StopResult.STOPPED, StopResult.NO_RUN,
                        StopResult.TARGET_ENDED)


class Run(typing.NamedTuple):
    """A request at a target, by the id that the target knows."""

    target: str
    request_id: str


class _Entry(typing.NamedTuple):
    end_s: float
    due_s: float
    absences_left: int
    calls: int = 0
    is_called: bool = False


class _Silence(typing.NamedTuple):
    calls: int
    until_s: float


class State(typing.NamedTuple):
    """Runs that may go on, and targets that did not answer the last call."""

    entries: immutables.Map[Run, _Entry] = immutables.Map()
    silences: immutables.Map[str, _Silence] = immutables.Map()


def add(state: State,
        run: Run,
        end_s: float,
        due_s: float,
        has_started: bool = True) -> State:
    """Adds a run that is to be stopped.

    Args:
        state: The state.
        run: The run.
        end_s: Monotonic time at which its target ends it anyway.
        due_s: Monotonic time of the first call.
        has_started: Whether the target has sent any part of its response.
    """
    known = state.entries.get(run)
    if known is not None:
        entry = known._replace(end_s=max(known.end_s, end_s),
                               due_s=min(known.due_s, due_s))
        return state._replace(entries=state.entries.set(run, entry))
    entries = state.entries
    if len(entries) >= MAX_RUNS:
        first = min(entries, key=lambda item: entries[item].end_s)
        entries = entries.delete(first)
    absences = 1 if has_started else _ABSENCES_BEFORE_START
    return state._replace(
        entries=entries.set(run, _Entry(end_s, due_s, absences)))


def has_new_runs(state: State) -> bool:
    """Returns whether a call is being made or a first one is to be made."""
    return any(
        not entry.calls or entry.is_called for entry in state.entries.values())


def is_pending(state: State, run: Run) -> bool:
    """Returns whether a run may go on, as far as is known."""
    return run in state.entries


def is_silent(state: State, target: str, now_s: float) -> bool:
    """Returns whether a target has just left a call without an answer."""
    silence = state.silences.get(target)
    return silence is not None and now_s < silence.until_s


def next_due_s(state: State) -> float:
    """Returns when to call `select_due` next; infinite if never.

    Runs at targets that get no more calls now wait for an answer there.
    """
    calls = _count_calls(state)
    return min((entry.end_s if calls[run.target] >= _max_calls(
        state, run.target) else min(entry.end_s, _due_s(state, run, entry))
                for run, entry in state.entries.items()
                if not entry.is_called),
               default=math.inf)


def select_due(state: State,
               now_s: float) -> tuple[State, tuple[Run, ...], tuple[Run, ...]]:
    """Returns the runs to stop now, and those whose deadline has passed.

    The caller must run `record_answer` for each of the former.
    """
    expired = tuple(run for run, entry in state.entries.items()
                    if entry.end_s <= now_s and not entry.is_called)
    entries = state.entries
    for run in expired:
        entries = entries.delete(run)
    state = state._replace(entries=entries)
    calls = _count_calls(state)
    due: list[Run] = []
    for run, entry in entries.items():
        if entry.is_called or _due_s(state, run, entry) > now_s:
            continue
        if calls[run.target] < _max_calls(state, run.target):
            calls[run.target] += 1
            due.append(run)
    state = state._replace(entries=entries)
    for run in due:
        state = begin_call(state, run)
    entries = state.entries
    silences = state.silences
    targets = {run.target for run in entries}
    for target, silence in state.silences.items():
        if target not in targets and silence.until_s <= now_s:
            silences = silences.delete(target)
    return State(entries, silences), tuple(due), expired


def begin_call(state: State, run: Run) -> State:
    """Records that a call about a known run is being made."""
    entry = state.entries[run]
    return state._replace(entries=state.entries.set(
        run, entry._replace(is_called=True, calls=entry.calls + 1)))


def record_answer(state: State, run: Run, result: StopResult,
                  now_s: float) -> tuple[State, bool]:
    """Records how a call ended; returns whether the run has ended."""
    state = _record_reachability(state, run.target, result, now_s)
    entry = state.entries.get(run)
    if entry is None:
        return state, result.has_ended
    entry = entry._replace(is_called=False)
    pause_s = _pause_s(entry.calls)
    if result is StopResult.NO_RUN:
        entry = entry._replace(absences_left=entry.absences_left - 1)
        pause_s = _UNSTARTED_PAUSE_S * entry.calls
    if result.has_ended and (result is not StopResult.NO_RUN or
                             entry.absences_left <= 0):
        return state._replace(entries=state.entries.delete(run)), True
    if result is StopResult.NO_ANSWER:
        # The pause of its target holds.
        pause_s = 0.0
    entry = entry._replace(due_s=now_s + pause_s)
    return state._replace(entries=state.entries.set(run, entry)), False


def defer(state: State, run: Run, pause_s: float, now_s: float) -> State:
    """Puts off a call that was selected and not made.

    >>> state = add(State(), Run("t", "r1"), end_s=30.0, due_s=1.0)
    >>> next_due_s(defer(state, Run("t", "r1"), 2.0, 1.0))
    3.0
    """
    entry = state.entries.get(run)
    if entry is None:
        return state
    entry = entry._replace(is_called=False, due_s=now_s + pause_s)
    return state._replace(entries=state.entries.set(run, entry))


def record_silence(state: State, target: str, now_s: float) -> State:
    """Records that a target left a call without an answer."""
    silence = state.silences.get(target, _Silence(0, 0.0))
    calls = silence.calls + (silence.until_s <= now_s)
    return state._replace(silences=state.silences.set(
        target, _Silence(calls, now_s + _pause_s(calls))))


def _record_reachability(state: State, target: str, result: StopResult,
                         now_s: float) -> State:
    if result is StopResult.NO_ANSWER:
        return record_silence(state, target, now_s)
    if target in state.silences:
        return state._replace(silences=state.silences.delete(target))
    return state


def _count_calls(state: State) -> collections.Counter[str]:
    """Returns the number of calls that are being made, by target."""
    return collections.Counter(
        run.target for run, entry in state.entries.items() if entry.is_called)


def _max_calls(state: State, target: str) -> int:
    # Of a target that did not answer, one call tells for all of its runs.
    return 1 if target in state.silences else _MAX_CALLS_PER_TARGET


def _due_s(state: State, run: Run, entry: _Entry) -> float:
    silence = state.silences.get(run.target)
    return (entry.due_s
            if silence is None else max(entry.due_s, silence.until_s))


def _pause_s(calls: int) -> float:
    return min(_MAX_PAUSE_S, _MIN_PAUSE_S * 2**min(max(0, calls - 1), 8))
