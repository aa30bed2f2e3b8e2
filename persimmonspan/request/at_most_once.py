"""Runs a non-idempotent call at most once.

A request thread calls `run` directly before dispatch, with a callable that
sends the call to the target the scheduler chose. `run` claims the key, calls
the callable at most once, records the outcome, and returns the response. A
repeat receives the recorded response without a dispatch.

Interface: `run(context, request, dispatch) -> ledger_events.Response`, raises
`errors.PersimmonspanError`; one `Context` per process, over `Rows`
(`store_actor.LedgerRows`). `dispatch(attempt)` returns the response or raises
`errors.TargetError`: with `RunState.NOT_RUN` if no byte was sent or the target
confirmed that it did not run the call, otherwise the outcome is unknown. The
process calls `Context.record_kept_rows()` about once a second to record the
rows that could not be written during an outage or that the store has lost.

An error with `run_state` `not_run` says that this request was not run. It says
nothing about earlier requests with the same key; callers repeat with that key.

See Also:
    `persimmonspan.request.ledger`: the transitions.
"""

import collections.abc
import contextlib
import hashlib
import logging
import threading
import time
import typing
import urllib.parse
import uuid

from persimmonspan import errors
from persimmonspan.request import ledger
from persimmonspan.request import ledger_events
from persimmonspan.request import store_return

_MAX_KEY_CHARS = 200
_MAX_KEPT_KEYS = 20_000
_MAX_BATCH_ROWS = 64

_logger = logging.getLogger(__name__)

Dispatch = collections.abc.Callable[[str], ledger_events.Response]


class Rows(typing.Protocol):
    """Ledger rows in the store; each method waits for its result."""

    def write(self,
              command: ledger_events.WriteRow) -> ledger_events.WriteEnded:
        """Writes a row if it has the expected version; never raises."""

    def read(self, key: str) -> ledger_events.Row:
        """Reads a row; raises `errors.StoreError`."""

    def write_all(
        self, commands: collections.abc.Sequence[ledger_events.WriteRow]
    ) -> list[ledger_events.WriteEnded]:
        """Writes rows, each on its own condition, in few calls."""

    def read_all(
            self,
            keys: collections.abc.Sequence[str]) -> list[ledger_events.Row]:
        """Reads several rows; raises `errors.StoreError`."""


class Request(typing.NamedTuple):
    """A non-idempotent request.

    Attributes:
        workspace: Workspace of the caller.
        idempotency_key: Key of the caller. None generates a key, which guards
            only against repeats by this system.
        digest: Digest of method, path and body; see `digest`.
        deadline_s: Monotonic time after which the call must not be dispatched.
    """

    workspace: str
    idempotency_key: str | None
    digest: str
    deadline_s: float


class Clock(typing.NamedTuple):
    """Sources of time."""

    monotonic: collections.abc.Callable[[], float] = time.monotonic
    wall: collections.abc.Callable[[], float] = time.time
    sleep: collections.abc.Callable[[float], None] = time.sleep


def _is_never_gone(holder: ledger_events.Holder) -> bool:
    del holder
    return False


def _count_nothing(reason: str) -> None:
    del reason


def _has_no_era() -> None:
    return None


class Context:
    """Rows, clock and kept rows that the calls of one process share.

    Args:
        rows: Ledger rows in the store.
        holder: Name and incarnation of this process.
        is_gone: Returns whether another process is known to have ended.
        count: Increments the counter of a reason.
        clock: Sources of time.
        era: Returns the era of the store, or None before its first response.
    """

    def __init__(
            self,
            rows: Rows,
            holder: ledger_events.Holder,
            is_gone: collections.abc.Callable[[ledger_events.Holder],
                                              bool] = _is_never_gone,
            count: collections.abc.Callable[[str], None] = _count_nothing,
            clock: Clock = Clock(),
            era: collections.abc.Callable[[],
                                          int | None] = _has_no_era) -> None:
        self.rows = rows
        self.holder = holder
        self.count = count
        self.clock = clock
        self._is_gone = is_gone
        self._lock = threading.Lock()
        self._kept_rows: dict[str, list[ledger_events.RowDocument]] = {}
        self._active_calls: dict[str, int] = {}
        self._era = era
        self._store_state = store_return.State()
        self._held_rows = store_return.HeldRows()
        self._lost_keys: set[str] = set()

    @property
    def kept_rows(self) -> int:
        """Number of rows that are not yet recorded."""
        with self._lock:
            return sum(map(len, self._kept_rows.values()))

    def is_holder_gone(self, row: ledger_events.Row) -> bool:
        """Returns whether the process of a row is known to have ended."""
        if row.document is None:
            return False
        holder = ledger_events.Holder(row.document["daemon"],
                                      row.document["incarnation"])
        if holder.daemon == self.holder.daemon:
            return holder.incarnation != self.holder.incarnation
        return self._is_gone(holder)

    @contextlib.contextmanager
    def track_call(
        self, request: Request
    ) -> collections.abc.Iterator[tuple[ledger_events.Call,
                                        ledger_events.Begin]]:
        """Counts a call while it is active; yields it with its first event."""
        key = row_key(request.workspace, request.idempotency_key)
        with self._lock:
            kept = self._kept_rows.get(key, [])
            self._active_calls[key] = self._active_calls.get(key, 0) + 1
            call = ledger_events.Call(
                key, request.digest,
                uuid.uuid4().hex, self.holder, request.deadline_s,
                self.clock.wall(),
                frozenset(item["attempt"]
                          for item in kept
                          if item["state"] == ledger_events.RowState.RELEASED),
                self._active_calls[key] > 1, request.idempotency_key is None)
            is_settling = self._is_settling()
            held = self._held_rows.get(key) if is_settling else None
            unreleased = [
                item for item in (*kept, *([held] if held is not None else []))
                if item["state"] != ledger_events.RowState.RELEASED
            ]
        try:
            yield call, ledger_events.Begin(
                unreleased[0] if unreleased else None, is_settling)
        finally:
            with self._lock:
                self._active_calls[key] -= 1
                if not self._active_calls[key]:
                    del self._active_calls[key]

    def is_settling(self) -> bool:
        """Returns whether the store may lack rows of other processes."""
        with self._lock:
            return self._is_settling()

    def hold_row(self, key: str, document: ledger_events.RowDocument) -> None:
        """Holds a row that was written, in case the store loses it."""
        with self._lock:
            self._hold_row(key, document, is_written=True)

    def keep_row(self, command: ledger_events.KeepRow) -> None:
        """Keeps a row in memory until it can be recorded."""
        with self._lock:
            self._hold_row(command.key, command.document, is_written=False)
            if len(self._kept_rows
                  ) >= _MAX_KEPT_KEYS and command.key not in self._kept_rows:
                # The row stays claimed, so repeats cannot learn the outcome.
                self.count("ledger_kept_dropped")
                return
            self._kept_rows.setdefault(command.key, []).append(command.document)

    def record_kept_rows(self) -> int:
        """Records the kept and the lost rows; returns how many remain."""
        with self._lock:
            self._is_settling()
            lost = sorted(self._lost_keys)
            kept = [(key, item)
                    for key, items in self._kept_rows.items()
                    for item in items]
        for start in range(0, len(kept), _MAX_BATCH_ROWS):
            try:
                self._record_batch(kept[start:start + _MAX_BATCH_ROWS])
            except errors.StoreError:
                break
        for start in range(0, len(lost), _MAX_BATCH_ROWS):
            try:
                self._restore_batch(lost[start:start + _MAX_BATCH_ROWS])
            except errors.StoreError as error:
                _logger.info("lost ledger rows could not be restored yet",
                             extra={
                                 "rows": len(lost),
                                 "reason": str(error)
                             })
                break
        with self._lock:
            return sum(map(len, self._kept_rows.values())) + len(
                self._lost_keys)

    def _is_settling(self) -> bool:
        """Observes the era; the caller holds the lock."""
        now_s = self.clock.monotonic()
        state = store_return.observe(self._store_state, self._era(), now_s)
        previous, self._store_state = self._store_state, state
        if previous.era is not None and previous != state:
            self._lost_keys.update(self._held_rows.keys())
            self.count("ledger_store_returned")
            _logger.warning("the store may lack ledger rows: claims wait",
                            extra={
                                "era": state.era,
                                "held_rows": len(self._lost_keys)
                            })
        return store_return.is_settling(state, now_s)

    def _hold_row(self, key: str, document: ledger_events.RowDocument,
                  is_written: bool) -> None:
        is_settling = self._is_settling()
        if is_settling:
            self._lost_keys.add(key)
        held = self._held_rows.get(key)
        if (held is None or (is_written and not is_settling) or
                not store_return.outlives(held, document)):
            self._held_rows.add(key, document, self.clock.monotonic())

    def _restore_batch(self, keys: list[str]) -> None:
        """Writes back the lost rows with one read and one group commit."""
        rows = self.rows.read_all(keys)
        writes = []
        with self._lock:
            for key, row in zip(keys, rows):
                held = self._held_rows.get(key)
                write = (store_return.plan_restore(key, held, row)
                         if held is not None else None)
                if write is not None:
                    writes.append(write)
                    continue
                finding = store_return.compare(self._store_state, held, row,
                                               self.clock.monotonic())
                if finding != store_return.Finding.CLAIMED:
                    self._lost_keys.discard(key)
                if finding == store_return.Finding.SECOND_ATTEMPT:
                    self.count("ledger_second_attempt")
                    _logger.error(
                        "another attempt has claimed a call that the store "
                        "lost",
                        extra={
                            "key": key,
                            "attempt": held["attempt"] if held else ""
                        })
        for write, ended in zip(writes, self.rows.write_all(writes)):
            if ended.is_applied:
                with self._lock:
                    if self._held_rows.get(write.key) == write.document:
                        self._held_rows.add(write.key, write.document,
                                            self.clock.monotonic())
                self.count("ledger_restored")
                _logger.info("restored a ledger row that the store had lost",
                             extra={
                                 "key": write.key,
                                 "state": write.document["state"]
                             })

    def _record_batch(
            self, kept: list[tuple[str, ledger_events.RowDocument]]) -> None:
        """Records kept rows with one read and one group commit."""
        rows = self.rows.read_all([key for key, _ in kept])
        writes = [
            ledger.plan_late_write(key, document, row)
            for (key, document), row in zip(kept, rows)
        ]
        write_results = iter(
            self.rows.write_all([item for item in writes if item is not None]))
        for (key, document), write in zip(kept, writes):
            if write is not None and not next(write_results).is_applied:
                continue
            with self._lock:
                self._hold_row(key, document, is_written=False)
                self._kept_rows[key].remove(document)
                if not self._kept_rows[key]:
                    del self._kept_rows[key]
            self.count("ledger_recorded_late")


def run(context: Context, request: Request,
        dispatch: Dispatch) -> ledger_events.Response:
    """Runs a call at most once and returns its response.

    Args:
        context: State that the calls of this process share.
        request: The request.
        dispatch: Sends the call to its target; called at most once, with the
            attempt id.

    Raises:
        errors.PersimmonspanError: The call has no response; `run_state` says
            whether it was run.
    """
    with context.track_call(request) as (call, event):
        state = ledger.State(call)
        pending: list[ledger_events.Event] = [event]
        while True:
            state, commands = ledger.step(state, pending.pop(0),
                                          context.clock.monotonic())
            for command in commands:
                if isinstance(command, ledger_events.Respond):
                    return command.answer
                if isinstance(command, ledger_events.Refuse):
                    context.count(f"ledger_{command.code}")
                    raise errors.PersimmonspanError(command.code,
                                                    command.message,
                                                    command.run_state,
                                                    command.retry_after_s)
                pending.extend(_execute_command(context, command, dispatch))


def digest(method: str, path: str, body: bytes) -> str:
    """Returns a request digest, which detects a repeat with another body."""
    head = f"{method} {path}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def row_key(workspace: str, idempotency_key: str | None) -> str:
    """Returns the key of a call's ledger row.

    >>> row_key("lima", "fee/7")
    'ledger/lima/k-fee%2F7'

    Raises:
        errors.RefusalError: The idempotency key is empty or too long.
    """
    if idempotency_key is None:
        return f"{ledger_events.PREFIX}{workspace}/g-{uuid.uuid4().hex}"
    if not 0 < len(idempotency_key) <= _MAX_KEY_CHARS:
        raise errors.RefusalError(
            errors.Code.BAD_REQUEST,
            f"Idempotency-Key must have 1 to {_MAX_KEY_CHARS} characters, "
            f"got {len(idempotency_key)}")
    name = urllib.parse.quote(idempotency_key, safe="")
    return f"{ledger_events.PREFIX}{workspace}/k-{name}"


def _execute_command(context: Context, command: ledger_events.Command,
                     dispatch: Dispatch) -> list[ledger_events.Event]:
    if isinstance(command, ledger_events.WriteRow):
        ended = context.rows.write(command)
        if ended.is_applied:
            context.hold_row(command.key, command.document)
        return [ended._replace(is_settling=context.is_settling())]
    if isinstance(command, ledger_events.ReadRow):
        context.clock.sleep(command.delay_s)
        try:
            row = context.rows.read(command.key)
        except errors.StoreError:
            return [ledger_events.ReadFailed()]
        return [
            ledger_events.RowRead(row, context.is_holder_gone(row),
                                  context.is_settling())
        ]
    if isinstance(command, ledger_events.Dispatch):
        if context.clock.monotonic() > command.not_after_s:
            return [ledger_events.DispatchExpired()]
        return [_dispatch_call(command, dispatch)]
    if isinstance(command, ledger_events.KeepRow):
        context.keep_row(command)
    elif isinstance(command, ledger_events.Count):
        context.count(command.reason)
    return []


def _dispatch_call(command: ledger_events.Dispatch,
                   dispatch: Dispatch) -> ledger_events.Event:
    try:
        return ledger_events.TargetResponded(dispatch(command.attempt))
    except errors.TargetError as error:
        if error.run_state == errors.RunState.NOT_RUN:
            return ledger_events.TargetNotRun(str(error))
        return ledger_events.ResponseLost(str(error))
    except Exception as error:  # pylint: disable=broad-exception-caught
        # The call may have been sent, so its outcome is unknown.
        _logger.exception("dispatch failed")
        return ledger_events.ResponseLost(f"dispatch failed: {error}")
