"""Keeps what began each stream, also through a loss of all daemons.

A row is written before the first event of a stream is passed on, so that a
daemon which has just started can find it. The rows of all streams that begin
while a call to the store is under way go into the next call. The load: 195
daemons of which each begins a resumable stream now and then, and all of them
after they lost power at once.

Without an answer of the store a stream begins without a row. It can then be
taken up at this daemon only.

See Also:
    `persimmonspan.request.resumption`: decides where a stream goes on.
"""

import collections
import collections.abc
import contextlib
import hashlib
import logging
import threading
import time

import msgspec

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.process import row_store
from persimmonspan.process import threads
from persimmonspan.request import resumption

TABLE = "stream_origins"
# Longest time that the first event of a stream waits for its row.
_MAX_WAIT_S = 0.4
# Time between two calls, in which rows gather; a prompt takes longer.
_MIN_CALL_INTERVAL_S = 0.05
# No call is made for this long after one without an answer.
_FAILURE_PAUSE_S = 1.0
# Entries of a transaction; the platform's limit.
_MAX_ENTRIES = 100
# Rows of ended streams that cause a call of their own.
_MAX_ENDED_ROWS = 50
_MAX_REMEMBERED = 4096
_KEY_BYTES = 16
_MAX_ATTEMPTS_READ = 10
# Row of a stream that goes on at another target than its first event's.
_LAST_ATTEMPT = _MAX_ATTEMPTS_READ - 1

_logger = logging.getLogger(__name__)
_encoder = msgspec.msgpack.Encoder()
_decoder = decoding.MsgpackDecoder(resumption.Origin)


class _Batch:
    """Rows that are written with one call."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.is_written = False
        self.ended = threading.Event()


class StreamOrigins:
    """The origins of streams, in memory and in the store.

    Args:
        open_store: Opens a connection to the store at an address.
        address: Address of the store.
    """

    def __init__(self, open_store: collections.abc.Callable[[str],
                                                            row_store.RowStore],
                 address: str) -> None:
        self._open_store = open_store
        self._address = address
        self._changed = threading.Condition()
        self._batch = _Batch()
        self._ended_rows: set[str] = set()
        self._remembered: collections.OrderedDict[
            str, resumption.Origin] = collections.OrderedDict()
        self._paused_until_s = 0.0
        self._is_stopped = False

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator[None]:
        """Writes rows until the block ends."""
        with threads.running(self._write_until_stopped, self._stop):
            yield

    def record(self, stream: str, attempt: int,
               origin: resumption.Origin) -> bool:
        """Records what begins a stream; returns whether its row is written.

        Args:
            stream: Id of the stream, see `stream_id`.
            attempt: Number of the attempt, from 1. The last one counts.
            origin: Service and software version of the target.
        """
        with self._changed:
            self._remember(stream, origin)
            batch = self._batch
            if (self._is_stopped or len(batch.rows) >= _MAX_ENTRIES or
                    time.monotonic() < self._paused_until_s):
                return False
            batch.rows[_row_key(stream, attempt)] = _encoder.encode(origin)
            self._changed.notify()
        batch.ended.wait(_MAX_WAIT_S)
        return batch.is_written

    def update(self, stream: str, origin: resumption.Origin) -> None:
        """Records where a stream that has begun goes on; waits for nothing.

        Args:
            stream: Id of the stream, see `stream_id`.
            origin: Its origin, with the target of the run that goes on.
        """
        with self._changed:
            self._remember(stream, origin)
            rows = self._batch.rows
            if len(rows) < _MAX_ENTRIES and not self._is_stopped:
                rows[_row_key(stream, _LAST_ATTEMPT)] = _encoder.encode(origin)
                self._changed.notify()

    def _remember(self, stream: str, origin: resumption.Origin) -> None:
        self._remembered[stream] = origin
        self._remembered.move_to_end(stream)
        if len(self._remembered) > _MAX_REMEMBERED:
            self._remembered.popitem(last=False)

    def end(self, stream: str, attempts: int) -> None:
        """Has the rows of a stream removed that reached its caller whole."""
        with self._changed:
            self._ended_rows.update(
                _row_key(stream, number)
                for number in (*range(1, attempts + 1), _LAST_ATTEMPT))
            if len(self._ended_rows) >= _MAX_ENDED_ROWS:
                self._changed.notify()

    def find(self, stream: str) -> resumption.Origin | None:
        """Returns what began a stream, or None if nobody knows.

        Raises:
            errors.StoreError: The store did not answer.
        """
        with self._changed:
            known = self._remembered.get(stream)
        if known is not None:
            return known
        rows = self._open_store(self._address).read_range(
            TABLE, _row_key(stream, 0), _row_key(stream, _MAX_ATTEMPTS_READ))
        for row in reversed(rows):
            try:
                return _decoder.decode(row.value or b"")
            except msgspec.DecodeError as error:
                _logger.warning("origin of a stream not understood",
                                extra={
                                    "key": row.key,
                                    "reason": str(error)
                                })
        return None

    def _stop(self) -> None:
        with self._changed:
            self._is_stopped = True
            self._changed.notify()

    def _is_due(self) -> bool:
        return (self._is_stopped or bool(self._batch.rows) or
                len(self._ended_rows) >= _MAX_ENDED_ROWS)

    def _write_until_stopped(self) -> None:
        store = self._open_store(self._address)
        while True:
            with self._changed:
                self._changed.wait_for(self._is_due)
                if self._is_stopped:
                    self._batch.ended.set()
                    return
                batch, self._batch = self._batch, _Batch()
            batch.is_written = self._change(store, batch.rows, [])
            batch.ended.set()
            self._remove_ended_rows(store)
            time.sleep(_MIN_CALL_INTERVAL_S)

    def _remove_ended_rows(self, store: row_store.RowStore) -> None:
        with self._changed:
            if len(self._ended_rows) < _MAX_ENDED_ROWS:
                return
            removed = [
                self._ended_rows.pop()
                for _ in range(min(len(self._ended_rows), _MAX_ENTRIES))
            ]
        self._change(store, {}, removed)

    def _change(self, store: row_store.RowStore, rows: dict[str, bytes],
                removed: list[str]) -> bool:
        """Changes the table; returns whether the store has done so."""
        if not rows and not removed:
            return True
        try:
            store.change(TABLE, rows, removed)
            return True
        except errors.StoreError as error:
            with self._changed:
                self._paused_until_s = time.monotonic() + _FAILURE_PAUSE_S
            _logger.warning("origins of streams not written",
                            extra={
                                "rows": len(rows),
                                "removed": len(removed),
                                "reason": str(error)
                            })
        except Exception:  # pylint: disable=broad-exception-caught
            # The thread must go on: streams wait for it.
            _logger.exception("origins of streams not written")
        return False


def stream_id(workspace: str, request_id: str) -> str:
    """Returns the id of the stream that a caller's request begins."""
    return hashlib.blake2b(f"{workspace}\n{request_id}".encode(),
                           digest_size=_KEY_BYTES).hexdigest()


def _row_key(stream: str, attempt: int) -> str:
    return f"{stream}/{attempt:02}"
