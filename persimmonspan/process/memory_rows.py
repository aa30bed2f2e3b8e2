"""Ledger rows in memory, for a daemon that runs without a table service.

Only this process recognises repeated calls, and only until it ends. That is
enough for a trial on one VM and for tests, not for paid work.
"""

import threading

from persimmonspan.request import ledger_events


class MemoryRows:
    """Rows with conditional writes; implements `at_most_once.Rows`."""

    def __init__(self) -> None:
        self._rows: dict[str, ledger_events.Row] = {}
        self._lock = threading.Lock()

    def write(self,
              command: ledger_events.WriteRow) -> ledger_events.WriteEnded:
        """Writes a row if it has the expected version."""
        with self._lock:
            row = self._read(command.key)
            if row.version != command.expected_version:
                return ledger_events.WriteEnded(False, row.version, row)
            self._rows[command.key] = ledger_events.Row(row.version + 1,
                                                        command.document)
            return ledger_events.WriteEnded(True, row.version + 1)

    def read(self, key: str) -> ledger_events.Row:
        """Reads a row; an absent one has version 0."""
        with self._lock:
            return self._read(key)

    def _read(self, key: str) -> ledger_events.Row:
        return self._rows.get(key, ledger_events.Row(0, None))
