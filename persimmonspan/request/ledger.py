"""State transitions of a non-idempotent call.

A call claims its key by a conditional insert directly before dispatch. The row
names the one attempt that may be dispatched, and no timeout passes a row in
state `CLAIMED` to another attempt. The row changes to `RECORDED` with the
response, to `UNKNOWN` if the target's response was lost, or to `RELEASED` if
the target certainly did not run the call. Only a released row may be claimed
again, by a conditional write on its version.

A released row stays in the table, because an insert that is still in progress
must not find the row absent.

When the store has returned from an older copy, rows may be missing. While
`is_settling`, a key is not claimed, and a claim that was just made is released
(`persimmonspan.request.store_return`).

`step` handles one `Call` from `Begin` to `Respond` or `Refuse`; the runner in
`persimmonspan.request.at_most_once` executes the commands. `KeepRow` passes on
a row that could not be written; `plan_late_write` says how to write it later.
`docs/design/ledger.md` lists each fault and its outcome.

>>> holder = ledger_events.Holder("daemon-1", "i1")
>>> call = ledger_events.Call("ledger/lima/k-7", "d1g3st", "a1", holder, 9.0)
>>> state, commands = step(State(call), ledger_events.Begin(), 0.0)
>>> type(commands[0]).__name__, commands[0].expected_version
('WriteRow', 0)
>>> applied = ledger_events.WriteEnded(True, version=4)
>>> type(step(state, applied, 0.1)[1][0]).__name__
'Dispatch'
"""

import enum
import functools
import random
import typing

from persimmonspan import errors
from persimmonspan.request import ledger_events

MAX_CLAIM_AGE_S = 2.0
_MAX_WAIT_S = 1.5
_MAX_RECORD_WRITES = 3
_POLL_INTERVAL_S = 0.15
_RETRY_AFTER_S = 2.0
_SETTLING = ("the store returned from an older copy and may lack the row of an "
             "earlier attempt")


class Phase(enum.StrEnum):
    """What a call waits for."""

    START = "start"
    LOOK = "look"
    CLAIM = "claim"
    VERIFY = "verify"
    WAIT = "wait"
    DISPATCH = "dispatch"
    RECORD = "record"
    DONE = "done"


class State(typing.NamedTuple):
    """State of one call.

    Attributes:
        call: The call.
        phase: What it waits for.
        version: Version of the claimed row.
        requested_s: When the last write or read was requested.
        wait_until_s: Time until which to wait for another attempt's record.
        final_document: The row to write after the attempt.
        end_command: The result for the caller after that write.
        record_writes: Number of writes of `final_document`.
        is_settling: Whether rows of other attempts may be missing.
    """

    call: ledger_events.Call
    phase: Phase = Phase.START
    version: int = 0
    requested_s: float = 0.0
    wait_until_s: float = 0.0
    final_document: ledger_events.RowDocument | None = None
    end_command: ledger_events.Respond | ledger_events.Refuse | None = None
    record_writes: int = 0
    is_settling: bool = False


Result = tuple[State, list[ledger_events.Command]]


def step(state: State,
         event: ledger_events.Event,
         now_s: float,
         rng: random.Random | None = None) -> Result:
    """Returns the next state and commands; an ended call ignores events."""
    del rng  # No transition is random.
    if state.phase == Phase.DONE:
        return state, []
    return _step(event, state, now_s)


@functools.singledispatch
def _step(event: object, state: State, now_s: float) -> Result:
    del event, now_s
    return state, []


@_step.register
def _(event: ledger_events.Begin, state: State, now_s: float) -> Result:
    state = _update_settling(state._replace(wait_until_s=now_s + _MAX_WAIT_S),
                             event)
    if event.kept is not None:
        end = _resolve_repeat(state.call, event.kept)
        if end is not None:
            return _end_call(state, end)
    if state.is_settling:
        return state._replace(phase=Phase.LOOK, requested_s=now_s), [
            ledger_events.ReadRow(state.call.key, 0.0)
        ]
    return _claim_key(state, 0, now_s)


@_step.register
def _(event: ledger_events.WriteEnded, state: State, now_s: float) -> Result:
    state = _update_settling(state, event)
    if state.phase == Phase.CLAIM:
        return _handle_claim_end(event, state, now_s)
    if state.phase == Phase.RECORD:
        return _handle_record_end(event, state)
    return state, []


@_step.register
def _(event: ledger_events.RowRead, state: State, now_s: float) -> Result:
    row = event.row
    state = _update_settling(state, event)
    if state.phase == Phase.VERIFY:
        if _is_own_claim(state, row):
            return _dispatch_call(state._replace(version=row.version), now_s)
        return _handle_other_row(state, row, now_s)
    if state.phase not in (Phase.LOOK, Phase.WAIT):
        return state, []
    if event.is_holder_gone and _is_claimed(row):
        end = _resolve_repeat(state.call,
                              row.document) if row.document else None
        return _end_call(
            state, end or
            _refuse_unknown("the daemon that ran this call has ended"))
    return _handle_other_row(state, row, now_s)


@_step.register
def _(event: ledger_events.ReadFailed, state: State, now_s: float) -> Result:
    del event
    if state.phase == Phase.VERIFY:
        return _release_claim(state, errors.Code.STORE_UNAVAILABLE,
                              "the claim could not be verified")
    if state.phase == Phase.LOOK:
        return _end_call(
            state, _refuse_unclaimed(state, "the store did not send the row"))
    if state.phase == Phase.WAIT:
        return _wait_for_record(state, now_s)
    return state, []


@_step.register
def _(event: ledger_events.DispatchExpired, state: State,
      now_s: float) -> Result:
    del event
    if state.phase != Phase.DISPATCH:
        return state, []
    return _verify_claim(state, now_s)


@_step.register
def _(event: ledger_events.TargetResponded, state: State,
      now_s: float) -> Result:
    document = _build_document(state.call, ledger_events.RowState.RECORDED,
                               event.answer)
    return _record_outcome(state, document, ledger_events.Respond(event.answer),
                           now_s)


@_step.register
def _(event: ledger_events.TargetNotRun, state: State, now_s: float) -> Result:
    document = _build_document(state.call,
                               ledger_events.RowState.RELEASED,
                               note=event.message)
    end = _refuse_not_run(errors.Code.TARGET_FAILED, event.message)
    return _record_outcome(state, document, end, now_s)


@_step.register
def _(event: ledger_events.ResponseLost, state: State, now_s: float) -> Result:
    document = _build_document(state.call,
                               ledger_events.RowState.UNKNOWN,
                               note=event.message)
    return _record_outcome(state, document, _refuse_unknown(event.message),
                           now_s)


def plan_late_write(key: str, kept: ledger_events.RowDocument,
                    row: ledger_events.Row) -> ledger_events.WriteRow | None:
    """Returns the write that brings a kept row into the table, if needed.

    An absent row is written too: a release then prevents the claim's insert,
    which may still be in progress, from taking effect.

    >>> kept = ledger_events.RowDocument(
    ...     state="released", attempt="a1", daemon="d", incarnation="i",
    ...     digest="x", claimed_at_s=0.0, answer=None, note="")
    >>> other = ledger_events.Row(3, {**kept, "attempt": "a2"})
    >>> plan_late_write("k", kept, other) is None
    True
    >>> plan_late_write("k", kept, ledger_events.Row(0, None)).expected_version
    0
    """
    if row.document is not None and not (
            _is_claimed(row) and row.document["attempt"] == kept["attempt"]):
        return None
    return ledger_events.WriteRow(key, row.version, kept)


def _update_settling(
    state: State, event: ledger_events.Begin | ledger_events.WriteEnded |
    ledger_events.RowRead
) -> State:
    # An earlier attempt cannot have had a unique key.
    return state._replace(
        is_settling=event.is_settling and not state.call.is_key_unique)


def _claim_key(state: State, expected_version: int, now_s: float) -> Result:
    if now_s > state.call.deadline_s:
        return _end_call(
            state,
            _refuse_not_run(errors.Code.DEADLINE_EXCEEDED,
                            "the deadline passed before the claim"))
    if state.is_settling:
        return _end_call(state, _refuse_unclaimed(state, _SETTLING))
    document = _build_document(state.call, ledger_events.RowState.CLAIMED)
    return state._replace(phase=Phase.CLAIM, requested_s=now_s), [
        ledger_events.WriteRow(state.call.key, expected_version, document)
    ]


def _handle_claim_end(event: ledger_events.WriteEnded, state: State,
                      now_s: float) -> Result:
    conflict = event.conflict
    if event.is_applied or (conflict is not None and
                            _is_own_claim(state, conflict)):
        version = conflict.version if conflict is not None else event.version
        state = state._replace(version=version)
        if state.is_settling:
            return _release_claim(state, errors.Code.STORE_UNAVAILABLE,
                                  _SETTLING)
        return _dispatch_call(state, now_s)
    if conflict is not None:
        return _handle_other_row(state, conflict, now_s)
    end = _refuse_unclaimed(state, "the store did not write the claim")
    if event.is_applied is None:
        released = _build_document(state.call,
                                   ledger_events.RowState.RELEASED,
                                   note="no claim")
        return _end_call(state, end,
                         ledger_events.KeepRow(state.call.key, released))
    return _end_call(state, end)


def _handle_other_row(state: State, row: ledger_events.Row,
                      now_s: float) -> Result:
    """Handles a row that another attempt wrote."""
    document = row.document
    if document is None or document[
            "state"] == ledger_events.RowState.RELEASED or (
                _is_claimed(row) and
                document["attempt"] in state.call.abandoned):
        return _claim_key(state, row.version, now_s)
    end = _resolve_repeat(state.call, document)
    return _end_call(state, end) if end is not None else _wait_for_record(
        state, now_s)


def _resolve_repeat(
    call: ledger_events.Call, document: ledger_events.RowDocument
) -> ledger_events.Respond | ledger_events.Refuse | None:
    """Returns the result that a row determines for a repeat, or None."""
    if document["state"] == ledger_events.RowState.RELEASED:
        return None
    if document["digest"] != call.digest:
        return _refuse_not_run(
            errors.Code.IDEMPOTENCY_KEY_REUSED,
            "the idempotency key belongs to another request")
    if document["state"] == ledger_events.RowState.RECORDED and document[
            "answer"]:
        return ledger_events.Respond(document["answer"])
    if document["state"] == ledger_events.RowState.UNKNOWN:
        return _refuse_unknown(
            "an earlier attempt was sent and got no response")
    return None


def _wait_for_record(state: State, now_s: float) -> Result:
    if now_s >= min(state.wait_until_s, state.call.deadline_s):
        return _end_call(state, _refuse_in_progress())
    return state._replace(phase=Phase.WAIT, requested_s=now_s), [
        ledger_events.ReadRow(state.call.key, _POLL_INTERVAL_S)
    ]


def _dispatch_call(state: State, now_s: float) -> Result:
    if now_s > state.call.deadline_s:
        return _release_claim(state, errors.Code.DEADLINE_EXCEEDED,
                              "the deadline passed before the dispatch")
    if now_s - state.requested_s > MAX_CLAIM_AGE_S:
        return _verify_claim(state, now_s)
    return state._replace(phase=Phase.DISPATCH), [
        ledger_events.Dispatch(
            state.call.attempt,
            min(state.call.deadline_s, state.requested_s + MAX_CLAIM_AGE_S))
    ]


def _verify_claim(state: State, now_s: float) -> Result:
    """Re-reads an old claim, because an operator may have settled it."""
    if now_s > state.call.deadline_s:
        return _release_claim(state, errors.Code.DEADLINE_EXCEEDED,
                              "the deadline passed before the dispatch")
    return state._replace(phase=Phase.VERIFY, requested_s=now_s), [
        ledger_events.ReadRow(state.call.key, 0.0)
    ]


def _release_claim(state: State, code: errors.Code, message: str) -> Result:
    """Releases a claim before its dispatch."""
    document = _build_document(state.call,
                               ledger_events.RowState.RELEASED,
                               note=message)
    end = _refuse_not_run(code, message)
    return state._replace(phase=Phase.RECORD,
                          final_document=document,
                          end_command=end), [
                              ledger_events.WriteRow(state.call.key,
                                                     state.version, document)
                          ]


def _record_outcome(state: State, document: ledger_events.RowDocument,
                    end: ledger_events.Respond | ledger_events.Refuse,
                    now_s: float) -> Result:
    if state.phase != Phase.DISPATCH:
        return state, [ledger_events.Count("ledger_unexpected_answer")]
    return state._replace(phase=Phase.RECORD,
                          final_document=document,
                          end_command=end,
                          requested_s=now_s), [
                              ledger_events.WriteRow(state.call.key,
                                                     state.version, document)
                          ]


def _handle_record_end(event: ledger_events.WriteEnded, state: State) -> Result:
    assert state.final_document is not None and state.end_command is not None
    if event.is_applied:
        return _end_call(state, state.end_command)
    if event.conflict is None:
        return _end_call(
            state, state.end_command,
            ledger_events.KeepRow(state.call.key, state.final_document))
    if event.conflict.document == state.final_document:
        return _end_call(state, state.end_command)
    if (_is_behind_outcome(state, event.conflict) and
            state.record_writes < _MAX_RECORD_WRITES):
        return state._replace(version=event.conflict.version,
                              record_writes=state.record_writes + 1), [
                                  ledger_events.WriteRow(
                                      state.call.key, event.conflict.version,
                                      state.final_document)
                              ]
    return _end_call(state, state.end_command,
                     ledger_events.Count("ledger_record_superseded"))


def _is_behind_outcome(state: State, row: ledger_events.Row) -> bool:
    """Returns whether a row is as it was before this attempt's outcome.

    A store that returned from an older copy has the claim under another version
    or not at all.
    """
    if row.document is None or _is_own_claim(state, row):
        return True
    assert state.final_document is not None
    return (state.is_settling and row.document["state"] ==
            ledger_events.RowState.RELEASED != state.final_document["state"] and
            row.document["attempt"] != state.call.attempt)


def _end_call(state: State, end: ledger_events.Respond | ledger_events.Refuse,
              *before: ledger_events.Command) -> Result:
    return state._replace(phase=Phase.DONE), [*before, end]


def _is_claimed(row: ledger_events.Row) -> bool:
    return row.document is not None and (row.document["state"]
                                         == ledger_events.RowState.CLAIMED)


def _is_own_claim(state: State, row: ledger_events.Row) -> bool:
    return (_is_claimed(row) and row.document is not None and
            row.document["attempt"] == state.call.attempt)


def _refuse_not_run(code: errors.Code, message: str) -> ledger_events.Refuse:
    return ledger_events.Refuse(code, message, errors.RunState.NOT_RUN,
                                _RETRY_AFTER_S)


def _refuse_unclaimed(state: State, message: str) -> ledger_events.Refuse:
    if state.call.has_concurrent_attempt:
        return _refuse_in_progress()
    return _refuse_not_run(errors.Code.STORE_UNAVAILABLE, message)


def _refuse_in_progress() -> ledger_events.Refuse:
    return ledger_events.Refuse(
        errors.Code.IN_PROGRESS,
        "another attempt of this call is not recorded yet",
        errors.RunState.UNKNOWN, _RETRY_AFTER_S)


def _refuse_unknown(message: str) -> ledger_events.Refuse:
    return ledger_events.Refuse(errors.Code.OUTCOME_UNKNOWN, message,
                                errors.RunState.UNKNOWN)


def _build_document(call: ledger_events.Call,
                    state: ledger_events.RowState,
                    answer: ledger_events.Response | None = None,
                    note: str = "") -> ledger_events.RowDocument:
    return ledger_events.RowDocument(state=state.value,
                                     attempt=call.attempt,
                                     daemon=call.holder.daemon,
                                     incarnation=call.holder.incarnation,
                                     digest=call.digest,
                                     claimed_at_s=call.claimed_at_s,
                                     answer=answer,
                                     note=note)
