"""Simulates the ledger calls of several daemons in memory, for fuzzing.

The world holds daemons, a table and the targets' log of runs. Its caller
chooses which event happens next and the fate of each message;
`check_guarantees` compares the responses sent to callers with the runs on the
targets. Time is monotonic; the wall clock times in the rows are random.

When the store returns from an older copy, a key is excused from the guarantees
if a writer of its lost rows has died or is paused until rows are restored, if
an operator wrote them, or if another attempt keeps the key claimed for longer
than rows are held: nobody holds such a row.
"""

import enum
import itertools
import random
import typing

from persimmonspan import errors
from persimmonspan.connection import store_era
from persimmonspan.request import ledger
from persimmonspan.request import ledger_events
from persimmonspan.request import settlement
from persimmonspan.request import store_return

_CALL_TIMEOUT_S = 20.0
# Age of the oldest copy from which the store returns.
_MAX_COPY_AGE_S = 30.0
_RECORD_INTERVAL_S = 1.0


class Fate(enum.StrEnum):
    """What happens to a message and its response."""

    DONE = "done"
    LOST_BEFORE = "lost_before"  # No effect, no response.
    LOST_AFTER = "lost_after"  # Effect, no response.
    LATE = "late"  # No response; the effect may occur later.
    REFUSED = "refused"  # No effect, and the response says so.
    TWICE = "twice"  # Effect and response; arrives again later.


class Fault(enum.StrEnum):
    """Deliberate faults that show that the oracle can fail."""

    NONE = "none"
    SKIP_CLAIM = "skip_claim"
    TAKE_OVER = "take_over"
    FALSE_NOT_RUN = "false_not_run"
    IGNORE_RETURN = "ignore_return"


class PendingDispatch(typing.NamedTuple):
    """A dispatch that may still reach a target."""

    key: str
    attempt: str


class _Undo(typing.NamedTuple):
    """A write that a return undoes; `writer` is None for an operator."""

    at_s: float
    key: str
    before: ledger_events.Row | None
    version: int
    writer: int | None
    incarnation: int


class _RunningCall:
    """A call that runs on a daemon."""

    def __init__(self, daemon: int, call: ledger_events.Call,
                 begin: ledger_events.Begin) -> None:
        self.daemon = daemon
        self.state = ledger.State(call)
        self.pending_commands: list[ledger_events.Command] = []
        self.pending_events: list[ledger_events.Event] = [begin]


class World:
    """Daemons, the table and the targets."""

    def __init__(self, daemons: int, fault: Fault = Fault.NONE) -> None:
        self.now_s = 0.0
        self.rng = random.Random(0)
        self.fault = fault
        self.incarnations = [0] * daemons
        self.paused: set[int] = set()
        self.running_calls: list[_RunningCall] = []
        self.table: dict[str, ledger_events.Row] = {}
        self.delayed_writes: list[tuple[ledger_events.WriteRow, int]] = []
        self.pending_dispatches: list[PendingDispatch] = []
        self.runs: dict[str, list[str]] = {}
        self.kept_documents: list[dict[str,
                                       list[ledger_events.RowDocument]]] = [
                                           {} for _ in range(daemons)
                                       ]
        self.not_run: set[str] = set()
        self.responses: dict[str, ledger_events.Response] = {}
        self.recorded_responses: dict[str, ledger_events.Response | None] = {}
        self.excused_keys: set[str] = set()
        self._attempt_ids = itertools.count(1)
        self._version = 0
        self._era = 0
        self._history: list[_Undo] = []
        self._lost_responses: dict[str, ledger_events.Response | None] = {}
        self._store_states = [store_return.State(0) for _ in range(daemons)]
        self._held_rows = [store_return.HeldRows() for _ in range(daemons)]
        self._restored_eras = [0] * daemons

    def begin_call(self, daemon: int, key: str, digest: str) -> None:
        """A caller sends a call to a daemon."""
        kept = list(self.kept_documents[daemon].get(key, []))
        abandoned = {
            item["attempt"] for item in kept if item["state"] == "released"
        }
        if self.fault == Fault.TAKE_OVER and key in self.table:
            document = self.table[key].document
            abandoned.add(document["attempt"] if document else "")
        unreleased = [item for item in kept if item["state"] != "released"]
        has_concurrent_attempt = any(
            item.daemon == daemon and item.state.call.key == key
            for item in self.running_calls)
        call = ledger_events.Call(key, digest, f"a{next(self._attempt_ids)}",
                                  self._get_holder(daemon),
                                  self.now_s + _CALL_TIMEOUT_S,
                                  self.rng.uniform(-1e9, 1e9),
                                  frozenset(abandoned), has_concurrent_attempt)
        is_settling = self._is_settling(daemon)
        held = self._held_rows[daemon].get(key)
        if is_settling and held is not None and held["state"] != "released":
            unreleased.append(held)
        self.running_calls.append(
            _RunningCall(
                daemon, call,
                ledger_events.Begin(unreleased[0] if unreleased else None,
                                    is_settling)))

    def pass_time(self, seconds: float) -> None:
        """Time passes; running daemons restore the rows that the store lost."""
        self.now_s += seconds
        if seconds < _RECORD_INTERVAL_S:
            return
        for daemon in range(len(self.incarnations)):
            if daemon in self.paused:
                self._excuse_unrestored(daemon)
            else:
                self._observe_era(daemon)
                self._restored_eras[daemon] = self._era
                for key in self._held_rows[daemon].keys():
                    self._restore_row(daemon, key)
        for key, answer in list(self._lost_responses.items()):
            document = self._get_row(key).document
            # A claim under way is released, and the row restored after that.
            is_claimed = document and document["state"] == "claimed"
            if key in self.excused_keys or not is_claimed:
                assert key in self.excused_keys or (
                    document and document["answer"] == answer), (
                        f"the response of {key} was not restored")
                self.recorded_responses[key] = answer
                del self._lost_responses[key]

    def return_store(self, writes: int) -> None:
        """The store returns from a copy that lacks some of the last writes."""
        self._era += 1
        for _ in range(writes):
            if (not self._history or
                    self._history[-1].at_s < self.now_s - _MAX_COPY_AGE_S):
                break
            undo = self._history.pop()
            self._version = undo.version
            if (undo.writer is None or
                    self.incarnations[undo.writer] != undo.incarnation):
                self.excused_keys.add(undo.key)
            if undo.key in self.recorded_responses and (
                    undo.before is None or undo.before.document is None or
                    undo.before.document["state"] != "recorded"):
                self._lost_responses[undo.key] = self.recorded_responses.pop(
                    undo.key)
            del self.table[undo.key]
            if undo.before is not None:
                self.table[undo.key] = undo.before
        self.table = {
            key:
                row._replace(version=store_era.qualify_version(
                    self._era,
                    store_era.split_version(row.version)[1]))
            for key, row in self.table.items()
        }

    def advance_call(self, index: int, fate: Fate) -> None:
        """Advances a call by one step unless its daemon is paused."""
        if not self.running_calls:
            return
        call = self.running_calls[index % len(self.running_calls)]
        if call.daemon in self.paused:
            return
        if call.pending_events:
            call.state, commands = ledger.step(call.state,
                                               call.pending_events.pop(0),
                                               self.now_s)
            call.pending_commands.extend(commands)
        elif call.pending_commands:
            self._execute_command(call, call.pending_commands.pop(0), fate)
        if not call.pending_events and not call.pending_commands:
            self.running_calls.remove(call)

    def apply_delayed_write(self, index: int) -> None:
        """A delayed write reaches the table."""
        if self.delayed_writes:
            self._apply_write(
                *self.delayed_writes.pop(index % len(self.delayed_writes)))

    def resolve_pending_dispatch(self, index: int, is_delivered: bool) -> None:
        """A delayed dispatch reaches its target or is lost."""
        if self.pending_dispatches:
            dispatch = self.pending_dispatches.pop(index %
                                                   len(self.pending_dispatches))
            if is_delivered:
                self._record_run(dispatch)

    def restart_daemon(self, daemon: int) -> None:
        """A daemon dies, loses its memory and starts again."""
        self._excuse_unrestored(daemon)
        self._held_rows[daemon] = store_return.HeldRows()
        self._store_states[daemon] = store_return.State()
        self._restored_eras[daemon] = self._era
        self.incarnations[daemon] += 1
        self.paused.discard(daemon)
        self.kept_documents[daemon] = {}
        self.running_calls = [
            item for item in self.running_calls if item.daemon != daemon
        ]

    def record_kept_documents(self, daemon: int, fate: Fate) -> None:
        """A daemon tries to record the documents that it kept."""
        if daemon in self.paused:
            return
        for key, documents in list(self.kept_documents[daemon].items()):
            for document in list(documents):
                write = ledger.plan_late_write(key, document,
                                               self._get_row(key))
                if write is None or self._write_row(daemon, write,
                                                    fate).is_applied:
                    documents.remove(document)

    def settle_call(self, key: str) -> None:
        """An operator settles a call according to the target's log of runs."""
        row = self._get_row(key)
        if row.document is None:
            return
        attempt = row.document["attempt"]
        holder = ledger_events.Holder(row.document["daemon"],
                                      row.document["incarnation"])
        is_stopped = all(holder != self._get_holder(daemon)
                         for daemon in range(len(self.incarnations)))
        if any(dispatch.attempt == attempt
               for dispatch in self.pending_dispatches):
            return
        has_run = attempt in self.runs.get(key, [])
        finding = settlement.Finding(
            settlement.Outcome.RAN if has_run else settlement.Outcome.NOT_RUN,
            "ana", "log", _make_response(attempt), is_stopped)
        try:
            document = settlement.apply_finding(row, finding)
        except errors.PersimmonspanError:
            return
        self._apply_write(ledger_events.WriteRow(key, row.version, document),
                          None)

    def check_guarantees(self) -> None:
        """Raises AssertionError if a guarantee is broken."""
        for key, attempts in self.runs.items():
            if key in self.excused_keys:
                continue
            assert len(attempts) <= 1, (
                f"{key} was run more than once: run by {attempts}")
            ran = self.not_run & set(attempts)
            assert not ran, f"{ran} of {key} was run but reported as not_run"
        for key, row in self.table.items():
            if (key in self.recorded_responses and
                    key not in self.excused_keys):
                assert (row.document and
                        row.document["answer"] == self.recorded_responses[key]
                       ), (f"{key} changed its recorded response")

    def _execute_command(self, call: _RunningCall,
                         command: ledger_events.Command, fate: Fate) -> None:
        key = call.state.call.key
        match command:
            case ledger_events.WriteRow():
                ended = self._write_row(call.daemon, command, fate)
                call.pending_events.append(
                    ended._replace(is_settling=self._is_settling(call.daemon)))
            case ledger_events.ReadRow():
                call.pending_events.append(self._read_row(call, fate))
            case ledger_events.Dispatch(attempt, not_after_s):
                call.pending_events.append(
                    self._dispatch_attempt(PendingDispatch(key, attempt), fate
                                          ) if self.now_s <=
                    not_after_s else ledger_events.DispatchExpired())
            case ledger_events.KeepRow(key, document):
                self.kept_documents[call.daemon].setdefault(key,
                                                            []).append(document)
                self._hold_row(call.daemon, key, document, is_written=False)
            case ledger_events.Respond() if key in self.excused_keys:
                pass
            case ledger_events.Respond(answer):
                assert self.responses.setdefault(
                    key, answer) == answer, f"two answers for {key}"
                assert answer.body.decode() in self.runs.get(
                    key, []), (f"{key} was answered but not run")
            case ledger_events.Refuse(_, _, errors.RunState.NOT_RUN):
                self.not_run.add(call.state.call.attempt)

    def _read_row(self, call: _RunningCall, fate: Fate) -> ledger_events.Event:
        if fate in (Fate.REFUSED, Fate.LOST_BEFORE, Fate.LOST_AFTER):
            return ledger_events.ReadFailed()
        self._observe_era(call.daemon)
        row = self._get_row(call.state.call.key)
        holder = None
        if row.document is not None:
            holder = ledger_events.Holder(row.document["daemon"],
                                          row.document["incarnation"])
        is_gone = (holder is not None and
                   holder.daemon == call.state.call.holder.daemon and
                   holder != call.state.call.holder)
        return ledger_events.RowRead(row, is_gone,
                                     self._is_settling(call.daemon))

    def _write_row(self, daemon: int, command: ledger_events.WriteRow,
                   fate: Fate) -> ledger_events.WriteEnded:
        if (self.fault == Fault.SKIP_CLAIM and
                command.document["state"] == "claimed"):
            return ledger_events.WriteEnded(True, 1)
        if fate == Fate.REFUSED:
            return ledger_events.WriteEnded(False)
        if fate in (Fate.LATE, Fate.TWICE):
            self.delayed_writes.append((command, daemon))
        if fate in (Fate.DONE, Fate.TWICE):
            ended = self._apply_write(command, daemon)
            self._observe_era(daemon)
            if ended.is_applied:
                self._hold_row(daemon,
                               command.key,
                               command.document,
                               is_written=True)
            return ended
        if fate == Fate.LOST_AFTER:
            self._apply_write(command, daemon)
        return ledger_events.WriteEnded(None)

    def _apply_write(self, command: ledger_events.WriteRow,
                     writer: int | None) -> ledger_events.WriteEnded:
        row = self._get_row(command.key)
        if row.version != command.expected_version:
            return ledger_events.WriteEnded(False, conflict=row)
        self._history.append(
            _Undo(self.now_s, command.key, self.table.get(command.key),
                  self._version, writer,
                  self.incarnations[writer] if writer is not None else 0))
        self._version += 1
        row = ledger_events.Row(
            store_era.qualify_version(self._era, self._version),
            command.document)
        self.table[command.key] = row
        if command.document["state"] == "recorded":
            self.recorded_responses.setdefault(command.key,
                                               command.document["answer"])
        return ledger_events.WriteEnded(True, row.version)

    def _observe_era(self, daemon: int) -> bool:
        """A daemon sees the era in a response; returns whether it settles."""
        if self.fault != Fault.IGNORE_RETURN:
            self._store_states[daemon] = store_return.observe(
                self._store_states[daemon], self._era, self.now_s)
        return self._is_settling(daemon)

    def _is_settling(self, daemon: int) -> bool:
        return store_return.is_settling(self._store_states[daemon], self.now_s)

    def _hold_row(self, daemon: int, key: str,
                  document: ledger_events.RowDocument,
                  is_written: bool) -> None:
        held = self._held_rows[daemon].get(key)
        if (held is None or (is_written and not self._is_settling(daemon)) or
                not store_return.outlives(held, document)):
            self._held_rows[daemon].add(key, document, self.now_s)

    def _restore_row(self, daemon: int, key: str) -> None:
        held = self._held_rows[daemon].get(key)
        assert held is not None
        seen_s = self._store_states[daemon].seen_s
        if self.now_s >= seen_s + store_return.RETENTION_S:
            if key in self._lost_responses and seen_s >= 0:
                self.excused_keys.add(key)
            return
        write = store_return.plan_restore(key, held, self._get_row(key))
        if write is not None and self._apply_write(write, daemon).is_applied:
            self._held_rows[daemon].add(key, held, self.now_s)

    def _excuse_unrestored(self, daemon: int) -> None:
        if self._restored_eras[daemon] != self._era:
            self.excused_keys.update(self._held_rows[daemon].keys())

    def _dispatch_attempt(self, dispatch: PendingDispatch,
                          fate: Fate) -> ledger_events.Event:
        if fate == Fate.REFUSED:
            return ledger_events.TargetNotRun("busy")
        if fate in (Fate.DONE, Fate.TWICE):
            self._record_run(dispatch)
            return ledger_events.TargetResponded(
                _make_response(dispatch.attempt))
        if fate == Fate.LOST_AFTER:
            self._record_run(dispatch)
        elif fate == Fate.LATE:
            self.pending_dispatches.append(dispatch)
        if self.fault == Fault.FALSE_NOT_RUN:
            return ledger_events.TargetNotRun("no response")
        return ledger_events.ResponseLost("no response")

    def _record_run(self, dispatch: PendingDispatch) -> None:
        self.runs.setdefault(dispatch.key, []).append(dispatch.attempt)

    def _get_row(self, key: str) -> ledger_events.Row:
        return self.table.get(key, ledger_events.Row(0, None))

    def _get_holder(self, daemon: int) -> ledger_events.Holder:
        return ledger_events.Holder(f"daemon-{daemon}",
                                    f"i{self.incarnations[daemon]}")


def _make_response(attempt: str) -> ledger_events.Response:
    return ledger_events.Response(200, "text/plain", attempt.encode())
