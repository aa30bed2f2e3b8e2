"""Follows the store: the configuration and the targets, as they change.

Each table has a thread and a connection of its own, so that a call that waits
for changes of one does not delay the other.
"""

import collections.abc
import contextlib
import logging
import threading
import time
import typing

from persimmonspan import errors
from persimmonspan.process import directory
from persimmonspan.process import row_store
from persimmonspan.process import threads
from persimmonspan.version import routes

# A connection that went silent is noticed one answer timeout after this, and
# a configuration must be in force within 2 s of its acceptance.
_CONFIGURATION_WAIT_S = 0.8
_TARGETS_INTERVAL_S = 0.5
_FAILURE_PAUSE_S = 0.25

_logger = logging.getLogger(__name__)


class Formats(typing.NamedTuple):
    """Where the platform keeps what is followed, and how it is decoded."""

    configuration_table: str
    configuration_key: str
    decode_configuration: collections.abc.Callable[[bytes],
                                                   routes.Configuration]
    targets_table: str
    decode_target: collections.abc.Callable[[str, bytes],
                                            directory.Registration | None]


class Receiver(typing.Protocol):
    """Takes what was read."""

    def adopt(self, configuration: routes.Configuration) -> None:
        """Takes a configuration, which may be older than the last one."""

    def take_directory(self, state: directory.State,
                       change: directory.Change) -> None:
        """Takes the registered targets and what changed."""


class Followers:
    """The threads that read the store."""

    def __init__(self, open_store: collections.abc.Callable[[str],
                                                            row_store.RowStore],
                 address: str, formats: Formats, receiver: Receiver) -> None:
        self._open_store = open_store
        self._address = address
        self._formats = formats
        self._receiver = receiver
        self._stopped = threading.Event()
        self._lost: set[str] = set()

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator[None]:
        """Follows the store until the block ends."""
        with threads.running(self._follow_targets, self._stopped.set):
            # The waiting call of this thread must not delay a stop.
            threading.Thread(target=self._follow_configuration,
                             daemon=True).start()
            yield

    def _follow_configuration(self) -> None:
        store = self._open_store(self._address)
        table = self._formats.configuration_table
        version: int | None = None
        while not self._stopped.is_set():
            try:
                rows = (store.read(table) if version is None else store.changes(
                    table, version, _CONFIGURATION_WAIT_S))
            except row_store.HistoryLostError:
                _logger.warning("history lost", extra={"table": table})
                version = None
                continue
            except errors.StoreError as error:
                self._failed(table, error)
                continue
            self._succeeded(table)
            version = rows.version
            for row in rows.rows:
                if row.key == self._formats.configuration_key and row.value:
                    self._adopt(row)

    def _adopt(self, row: row_store.Row) -> None:
        try:
            configuration = self._formats.decode_configuration(row.value)
        except ValueError as error:
            _logger.error("configuration not understood",
                          extra={
                              "version": row.version,
                              "reason": str(error)
                          })
            return
        self._receiver.adopt(configuration)

    def _follow_targets(self) -> None:
        store = self._open_store(self._address)
        table = self._formats.targets_table
        state = directory.State()
        while not self._stopped.is_set():
            try:
                rows = store.read(table)
            except errors.StoreError as error:
                state = directory.failed(state)
                self._failed(table, error)
                continue
            self._succeeded(table)
            entries = [
                entry
                for entry in (self._formats.decode_target(row.key, row.value)
                              for row in rows.rows
                              if row.value)
                if entry is not None
            ]
            state, change = directory.read(state, entries, time.monotonic())
            self._receiver.take_directory(state, change)
            self._stopped.wait(_TARGETS_INTERVAL_S)

    def _failed(self, table: str, error: errors.StoreError) -> None:
        if table not in self._lost:
            self._lost.add(table)
            _logger.warning("store lost",
                            extra={
                                "table": table,
                                "code": error.code,
                                "reason": str(error)
                            })
        self._stopped.wait(_FAILURE_PAUSE_S)

    def _succeeded(self, table: str) -> None:
        if table in self._lost:
            self._lost.discard(table)
            _logger.warning("store regained", extra={"table": table})
