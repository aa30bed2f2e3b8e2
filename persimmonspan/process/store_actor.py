"""Actor through which all parts of a daemon use the table service.

The actor asks `persimmonspan.process.store_budget` which operation to start and
runs it on a small pool of threads, so that a slow response blocks no other
operation. Ledger rows that wait at the same time are written in one transaction
(group commit). If some of them conflict, their futures get the conflicting
stored rows, and the others are sent again. If the outcome of a group is not
known, all its futures get `Outcome.UNKNOWN`.

Interface: `Client`, usable from any thread; each method returns a
`pykka.Future`.

    transact(checks, puts, deletes, ...) -> table_service.Result, never raises
    write_row(key, expected_version, value, ...) -> table_service.Result
    read(keys) -> tuple of rows; `get` raises errors.StoreError
    scan(prefix, limit, after) -> tuple of rows; `get` raises errors.StoreError
    status() -> Status
    era() -> era of the store, or None before its first response
    set_daemon_count(daemons): the number of daemons that share the store

Operations on `lease/`, `member/` and `config/head` should pass
`store_budget.Priority.URGENT`; background scans pass `BACKGROUND`.
"""

import collections.abc
import concurrent.futures
import functools
import logging
import random
import threading
import time
import typing

import pykka

from persimmonspan import errors
from persimmonspan.connection import table_service
from persimmonspan.process import store_budget

_TICK_INTERVAL_S = 0.05
_POOL_THREADS = 6
_MAX_GROUP_ROWS = 64
# With few concurrent groups, rows gather while a group is being written.
_MAX_RUNNING_GROUPS = 2
_DEFAULT_WAIT_S = 1.0

_logger = logging.getLogger(__name__)

Priority = store_budget.Priority


class Status(typing.NamedTuple):
    """State of the store as this daemon sees it.

    Attributes:
        is_available: Whether operations are started (circuit breaker closed).
        answered_age_s: Seconds since the last response of the store.
        operations: Number of operations started, by kind.
    """

    is_available: bool
    answered_age_s: float
    operations: dict[str, int]


class _Job(typing.NamedTuple):
    """One operation; a pool thread calls `run`."""

    operation: store_budget.Operation
    priority: Priority
    deadline_s: float
    run: collections.abc.Callable[[], typing.Any]
    future: pykka.Future[typing.Any]


class _RowWrite(typing.NamedTuple):
    """One ledger row that waits for a group commit."""

    transaction: table_service.Transaction
    deadline_s: float
    future: pykka.Future[table_service.Result]

    @property
    def key(self) -> str:
        """Key of the row."""
        return self.transaction.puts[0].key


class _OperationEnded(typing.NamedTuple):
    """A pool thread finished an operation, with a value or an error."""

    request_id: int
    value: typing.Any
    error: errors.StoreError | None


class _StatusRequest(typing.NamedTuple):
    """Requests the status."""


class StoreActor(pykka.ThreadingActor):
    """Owns the budget and starts operations."""

    use_daemon_thread = True

    def __init__(self, table: table_service.Table, seed: int) -> None:
        super().__init__()
        self._table = table
        self._rng = random.Random(seed)
        self._budget = store_budget.State()
        self._jobs: dict[int, _Job] = {}
        self._waiting_rows: list[_RowWrite] = []
        self._groups: dict[int, list[_RowWrite]] = {}
        self._next_id = 0
        self._last_response_s = time.monotonic()
        self._operations: dict[str, int] = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _POOL_THREADS, "store")
        self._stopped = threading.Event()
        self._has_waiting = threading.Event()

    def on_start(self) -> None:
        """Starts the timer thread."""
        threading.Thread(target=self._send_ticks, daemon=True).start()

    def on_stop(self) -> None:
        """Stops the timer and the pool; rejects all jobs and waiting rows.

        Jobs include started ones; rows of a started group get no result.
        """
        self._stopped.set()
        self._has_waiting.set()
        self._pool.shutdown(wait=False)
        for job in self._jobs.values():
            _reject_job(job, errors.Code.STORE_UNAVAILABLE)
        for write in self._waiting_rows:
            write.future.set(_make_rejection(errors.Code.STORE_UNAVAILABLE))

    def on_receive(self, message: typing.Any) -> typing.Any:
        """Applies one message."""
        if isinstance(message, _StatusRequest):
            return Status(not self._budget.is_open,
                          time.monotonic() - self._last_response_s,
                          dict(self._operations))
        if isinstance(message, _Job):
            self._request_start(message)
        elif isinstance(message, _RowWrite):
            self._waiting_rows.append(message)
            self._request_group_commit()
        elif isinstance(message, _OperationEnded):
            self._end_operation(message)
        else:
            self._step_budget(message)
            self._request_group_commit()
        return None

    def _request_start(self, job: _Job) -> int:
        request_id = self._next_id
        self._next_id += 1
        self._jobs[request_id] = job
        self._step_budget(
            store_budget.OperationRequested(request_id, job.operation,
                                            job.priority, job.deadline_s))
        return request_id

    def _request_group_commit(self) -> None:
        """Requests one write for all waiting rows.

        The group stays empty until the write starts.
        """
        if (self._waiting_rows and len(self._groups) < _MAX_RUNNING_GROUPS and
                all(self._groups.values())):
            request_id = self._next_id
            self._groups[request_id] = []
            self._request_start(
                _Job(store_budget.Operation.WRITE, Priority.NORMAL,
                     min(write.deadline_s for write in self._waiting_rows),
                     lambda: None, pykka.ThreadingFuture()))

    def _step_budget(self, event: store_budget.Event) -> None:
        self._budget, commands = store_budget.step(self._budget, event,
                                                   time.monotonic(), self._rng)
        for command in commands:
            job = self._jobs[command.request_id]
            if isinstance(command, store_budget.Start):
                self._start_job(command.request_id, job)
                continue
            del self._jobs[command.request_id]
            if command.request_id in self._groups:
                del self._groups[command.request_id]
                self._reject_rows(command.code)
            else:
                _reject_job(job, command.code)
        if self._budget.waiting or self._waiting_rows:
            self._has_waiting.set()
        else:
            self._has_waiting.clear()

    def _reject_rows(self, code: errors.Code) -> None:
        """Rejects the waiting rows after their group was rejected.

        After `STORE_THROTTLED`, rows before their deadline keep waiting.
        """
        now_s = time.monotonic()
        rows, self._waiting_rows = self._waiting_rows, []
        for write in rows:
            if (code == errors.Code.STORE_THROTTLED and
                    write.deadline_s > now_s):
                self._waiting_rows.append(write)
            else:
                write.future.set(_make_rejection(code))

    def _start_job(self, request_id: int, job: _Job) -> None:
        name = str(job.operation)
        self._operations[name] = self._operations.get(name, 0) + 1
        run = job.run
        if request_id in self._groups:
            group = self._take_group()
            self._groups[request_id] = group
            run = functools.partial(self._table.transact,
                                    _merge_transactions(group))
        self._pool.submit(self._run_operation, request_id, run)

    def _take_group(self) -> list[_RowWrite]:
        group: dict[str, _RowWrite] = {}
        rest = []
        for write in self._waiting_rows:
            if write.key in group or len(group) == _MAX_GROUP_ROWS:
                rest.append(write)
            else:
                group[write.key] = write
        self._waiting_rows = rest
        return list(group.values())

    def _run_operation(self, request_id: int,
                       run: collections.abc.Callable[[], typing.Any]):
        """Runs an operation on a pool thread and reports its end."""
        try:
            ended = _OperationEnded(request_id, run(), None)
        except errors.StoreError as error:
            ended = _OperationEnded(request_id, None, error)
        except Exception as error:  # pylint: disable=broad-exception-caught
            # The future must be resolved, as its owner may wait for it.
            _logger.exception("store operation failed")
            ended = _OperationEnded(
                request_id, None,
                errors.StoreError(errors.Code.INTERNAL, str(error)))
        try:
            self.actor_ref.tell(ended)
        except pykka.ActorDeadError:
            _logger.debug("store operation ended after the actor had stopped")

    def _end_operation(self, ended: _OperationEnded) -> None:
        job = self._jobs.pop(ended.request_id)
        group = self._groups.pop(ended.request_id, None)
        health = _classify_health(ended)
        if health == store_budget.Health.ANSWERED:
            self._last_response_s = time.monotonic()
        self._step_budget(
            store_budget.OperationFinished(ended.request_id, health))
        if group is not None:
            unknown = table_service.Result(table_service.Outcome.UNKNOWN,
                                           errors.Code.INTERNAL)
            self._end_group(group, ended.value or unknown)
            self._request_group_commit()
        elif ended.error is not None:
            job.future.set_exception((type(ended.error), ended.error, None))
        else:
            job.future.set(ended.value)

    def _end_group(self, group: list[_RowWrite],
                   result: table_service.Result) -> None:
        conflicts = {row.key: row for row in result.conflicts}
        is_conflict = (result.outcome == table_service.Outcome.NOT_APPLIED and
                       result.code == errors.Code.CONFLICT)
        for write in group:
            row = conflicts.get(write.key)
            if is_conflict and row is None:
                self._waiting_rows.append(write)
            else:
                write.future.set(
                    result._replace(conflicts=(row,) if row else ()))

    def _send_ticks(self) -> None:
        """Sends ticks only while operations wait; idle ticks cost CPU time."""
        while not self._stopped.wait(_TICK_INTERVAL_S):
            self._has_waiting.wait()
            try:
                self.actor_ref.tell(store_budget.Tick())
            except pykka.ActorDeadError:
                return


class Client:
    """Handle of the actor for other threads and actors."""

    def __init__(self, actor: pykka.ActorRef[StoreActor],
                 table: table_service.Table) -> None:
        self._actor = actor
        self._table = table

    def transact(
            self,
            checks: collections.abc.Sequence[table_service.Check],
            puts: collections.abc.Sequence[table_service.Put] = (),
            deletes: collections.abc.Sequence[str] = (),
            *,
            witness: str | None = None,
            are_rows_kept: bool = False,
            priority: Priority = Priority.NORMAL,
            wait_s: float = _DEFAULT_WAIT_S
    ) -> pykka.Future[table_service.Result]:
        """Applies a conditional transaction.

        Args:
            checks: Conditions; each written row should be among them.
            puts: Rows to write.
            deletes: Keys to delete.
            witness: Key of an inserted row that is never overwritten or
                deleted; shows whether the transaction was applied when the
                response is lost.
            are_rows_kept: Whether the inserted rows are never deleted; helps to
                find the outcome when the response is lost.
            priority: Order among waiting operations.
            wait_s: How long the transaction may wait to be started.
        """
        transaction = table_service.Transaction(tuple(checks), tuple(puts),
                                                tuple(deletes), witness,
                                                are_rows_kept)
        return self._submit(store_budget.Operation.WRITE, priority, wait_s,
                            lambda: self._table.transact(transaction))

    def read(
        self,
        keys: collections.abc.Sequence[str],
        *,
        priority: Priority = Priority.NORMAL,
        wait_s: float = _DEFAULT_WAIT_S
    ) -> pykka.Future[tuple[table_service.Row, ...]]:
        """Reads rows; absent ones have version 0."""
        return self._submit(store_budget.Operation.READ, priority, wait_s,
                            lambda: self._table.read(keys))

    def scan(
        self,
        prefix: str,
        limit: int = 1000,
        after: str = "",
        *,
        priority: Priority = Priority.NORMAL,
        wait_s: float = _DEFAULT_WAIT_S
    ) -> pykka.Future[tuple[table_service.Row, ...]]:
        """Reads rows under a prefix, in order of keys."""
        return self._submit(store_budget.Operation.READ, priority, wait_s,
                            lambda: self._table.scan(prefix, limit, after))

    def write_row(
            self,
            key: str,
            expected_version: int,
            value: str,
            wait_s: float = _DEFAULT_WAIT_S
    ) -> pykka.Future[table_service.Result]:
        """Writes one row by group commit, if it has the expected version.

        The row must be one that is never deleted, such as a ledger row.
        """
        future: pykka.Future[table_service.Result] = pykka.ThreadingFuture()
        transaction = table_service.Transaction(
            (table_service.Check(key, expected_version),),
            (table_service.Put(key, value),),
            are_rows_kept=True)
        self._tell(_RowWrite(transaction,
                             time.monotonic() + wait_s, future), future)
        return future

    def status(self) -> pykka.Future[Status]:
        """Returns the state of the store as seen by this daemon."""
        return self._actor.ask(_StatusRequest(), block=False)

    def era(self) -> int | None:
        """Returns the store's era, or None before its first response."""
        return self._table.era

    def set_daemon_count(self, daemons: int) -> None:
        """Sets the number of daemons that share the store."""
        self._actor.tell(store_budget.DaemonsCounted(daemons))

    def stop(self) -> None:
        """Stops the actor; see `StoreActor.on_stop` for pending operations."""
        self._actor.stop()

    def _submit(self, operation: store_budget.Operation, priority: Priority,
                wait_s: float,
                run: collections.abc.Callable[[], typing.Any]) -> pykka.Future:
        future: pykka.Future[typing.Any] = pykka.ThreadingFuture()
        self._tell(
            _Job(operation, priority,
                 time.monotonic() + wait_s, run, future), future)
        return future

    def _tell(self, message: _Job | _RowWrite, future: pykka.Future) -> None:
        try:
            self._actor.tell(message)
        except pykka.ActorDeadError:
            if isinstance(message, _Job):
                _reject_job(message, errors.Code.STORE_UNAVAILABLE)
            else:
                future.set(_make_rejection(errors.Code.STORE_UNAVAILABLE))


def start(address: str, client: str, seed: int) -> Client:
    """Starts an actor for the table service at an address."""
    table = table_service.Table(address, client)
    return Client(StoreActor.start(table, seed), table)


def _merge_transactions(group: list[_RowWrite]) -> table_service.Transaction:
    """Returns one transaction for all rows of a group."""
    transactions = [write.transaction for write in group]
    return table_service.Transaction(
        tuple(check for item in transactions for check in item.checks),
        tuple(put for item in transactions for put in item.puts),
        are_rows_kept=True)


def _classify_health(ended: _OperationEnded) -> store_budget.Health:
    code = ended.error.code if ended.error is not None else getattr(
        ended.value, "code", None)
    return {
        errors.Code.STORE_UNAVAILABLE: store_budget.Health.FAILED,
        errors.Code.STORE_THROTTLED: store_budget.Health.THROTTLED
    }.get(code, store_budget.Health.ANSWERED)


def _reject_job(job: _Job, code: errors.Code) -> None:
    if job.operation == store_budget.Operation.WRITE:
        job.future.set(_make_rejection(code))
        return
    error = errors.StoreError(code,
                              "the daemon cannot start a store operation now",
                              errors.RunState.NOT_RUN)
    job.future.set_exception((type(error), error, None))


def _make_rejection(code: errors.Code) -> table_service.Result:
    return table_service.Result(table_service.Outcome.NOT_APPLIED, code)
