"""Writes and reads the rows of the quarantine on a thread of its own.

The store is called once at the start, and then only to change rows, as long as
other daemons send digests. Without an answer the daemon serves all the same,
and each call is repeated after a pause that doubles.

See Also:
    `persimmonspan.process.refusal_rows`: the decisions.
"""

import collections.abc
import contextlib
import logging
import math
import random
import threading
import time

from persimmonspan import errors
from persimmonspan.process import clock
from persimmonspan.process import refusal_rows
from persimmonspan.process import row_store
from persimmonspan.request import events

TABLE = "refused_requests"
# Pauses after calls without an answer. The load: hundreds of daemons, whose
# calls to the store are limited together, at a start in an outage. As long as a
# call is pending, the loss of all daemons loses evidence.
_MIN_PAUSE_S = 0.5
_MAX_PAUSE_S = 2.0
# Between two reads of a daemon to which no other sends digests.
_READ_INTERVAL_S = 1.0
# Entries of a transaction; the platform's limit.
_MAX_ENTRIES = 100
# A start waits for so long for the rows; a read usually takes a few ms.
_FIRST_READ_TIMEOUT_S = 0.3
# The end does not wait for a call that the store does not answer.
_STOP_TIMEOUT_S = 0.1

_logger = logging.getLogger(__name__)


class RefusalStore:
    """The evidence of the quarantine, in the store.

    Args:
        open_store: Opens a connection to the store at an address.
        address: Address of the store.
        name: Name of this daemon.
        list_daemons: Returns the names of all daemons.
        apply: Called with the evidence of each row that was read.
        count: Increments the counter of a reason.
        hears_nobody: Returns whether no other daemon sends digests here.
    """

    def __init__(
        self,
        open_store: collections.abc.Callable[[str], row_store.RowStore],
        address: str,
        name: str,
        list_daemons: collections.abc.Callable[[],
                                               collections.abc.Collection[str]],
        apply: collections.abc.Callable[[events.QuarantineShared], object],
        count: collections.abc.Callable[[str], object],
        hears_nobody: collections.abc.Callable[[],
                                               bool] = lambda: False) -> None:
        self._open_store = open_store
        self._address = address
        self._name = name
        self._list_daemons = list_daemons
        self._apply = apply
        self._count = count
        self._hears_nobody = hears_nobody
        self._read_s = -math.inf
        self._has_read = False
        self._state = refusal_rows.State()
        self._changed = threading.Condition()
        self._is_stopped = False
        self._has_tried = threading.Event()

    def record_own(self, report: events.QuarantineShared) -> None:
        """Records a report of this daemon's quarantine."""
        with self._changed:
            self._state = refusal_rows.record_own(self._state, report,
                                                  clock.now_s(),
                                                  self._hears_nobody())
            self._changed.notify()

    def record_peer(self, report: events.QuarantineShared) -> None:
        """Records a report of a peer's quarantine."""
        with self._changed:
            self._state = refusal_rows.record_peer(self._state, report,
                                                   clock.now_s())
            # It may have to be written here.
            self._changed.notify()

    def await_first_read(self) -> None:
        """Waits for the first answer of the store, but not for long."""
        self._has_tried.wait(_FIRST_READ_TIMEOUT_S)

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator[None]:
        """Reads the rows, then changes them until the block ends."""
        # A daemon thread: its calls must not delay a stop.
        thread = threading.Thread(target=self._run,
                                  name="refusal-rows",
                                  daemon=True)
        thread.start()
        try:
            yield
        finally:
            with self._changed:
                self._is_stopped = True
                self._changed.notify()
            thread.join(_STOP_TIMEOUT_S)

    def _run(self) -> None:
        store = self._open_store(self._address)
        self._repeat(lambda: self._read(store), "refusals not read")
        while self._await_change():
            if self._has_changes():
                # A stop writes what is left, once.
                self._repeat(lambda: self._write(store), "refusals not written")
            if self._is_stopped:
                return
            if self._must_read():
                self._repeat(lambda: self._read(store), "refusals not read")

    def _has_changes(self) -> bool:
        return bool(self._state.writes or self._state.removals)

    def _must_read(self) -> bool:
        """Returns whether to read rows that no digest tells of."""
        return (not self._is_stopped and
                clock.now_s() - self._read_s >= _READ_INTERVAL_S and
                self._hears_nobody())

    def _repeat(self, call: collections.abc.Callable[[], None],
                problem: str) -> None:
        """Repeats a call until the store answers or the block ends."""
        pause_s = _MIN_PAUSE_S
        while True:
            try:
                call()
                return
            except errors.StoreError as error:
                _logger.warning(problem,
                                extra={
                                    "reason": str(error),
                                    "pause_s": pause_s
                                })
            except Exception:  # pylint: disable=broad-exception-caught
                # The thread must go on: later refusals are written by it.
                _logger.exception(problem)
            finally:
                self._has_tried.set()
            self._count("refusal_rows_failed")
            if self._is_stopped:
                return
            end_s = clock.now_s() + pause_s * random.uniform(0.5, 1.0)
            with self._changed:
                while not self._is_stopped and clock.now_s() < end_s:
                    self._changed.wait(max(0.01, end_s - clock.now_s()))
            pause_s = min(_MAX_PAUSE_S, 2 * pause_s)

    def _read(self, store: row_store.RowStore) -> None:
        rows = store.read(TABLE).rows
        self._read_s = clock.now_s()
        with self._changed:
            self._state, read = refusal_rows.record_rows(
                self._state, rows, clock.now_s(), time.time())
        if read.faulty:
            _logger.warning("rows of refusals not understood",
                            extra={"rows": dict(read.faulty)})
        if read.evidence or not self._has_read:
            _logger.info("refusals read",
                         extra={
                             "rows": len(rows),
                             "new": len(read.evidence)
                         })
        self._has_read = True
        for report in read.evidence:
            self._apply(report)

    def _await_change(self) -> bool:
        """Waits for rows to read, write or remove; returns whether to go on."""
        with self._changed:
            while True:
                now_s = clock.now_s()
                due_s = refusal_rows.next_expiry_s(self._state)
                if due_s is not None and due_s <= now_s:
                    self._state = refusal_rows.expire(self._state, self._name,
                                                      self._list_daemons(),
                                                      now_s)
                    continue
                if self._has_changes() or self._must_read():
                    return True
                if self._is_stopped:
                    return False
                self._changed.wait(_READ_INTERVAL_S if due_s is
                                   None else min(_READ_INTERVAL_S, due_s -
                                                 now_s))

    def _write(self, store: row_store.RowStore) -> None:
        with self._changed:
            sent = self._state.writes
            values, removed = refusal_rows.select(self._state, _MAX_ENTRIES,
                                                  clock.now_s(), time.time())
        if not values and not removed:
            return
        store.change(TABLE, values, removed)
        with self._changed:
            self._state = refusal_rows.record_done(
                self._state, {key: sent[key] for key in values}, removed)
        self._count("refusal_rows_written")
        _logger.info("refusals written",
                     extra={
                         "written": sorted(values),
                         "removed": removed
                     })
