"""Ledger rows in the table service; each method waits for its result.

Interface: `LedgerRows(client)` with `write`, `write_all`, `read`, `read_all` of
`persimmonspan.request.at_most_once.Rows`, and `scan` for operators.
"""

import collections.abc

import pykka

from persimmonspan.connection import table_service
from persimmonspan.process import store_actor
from persimmonspan.request import ledger_events

_RESULT_TIMEOUT_S = 30.0
# With 330 daemons a daemon starts a write every 1.1 s. If a claim is not
# started in time, the call is refused; a record is written later instead.
_MAX_CLAIM_WAIT_S = 3.0
_MAX_RECORD_WAIT_S = 1.0


class LedgerRows:
    """Ledger rows in the table service; each method waits for its result."""

    def __init__(self, client: store_actor.Client) -> None:
        self._client = client

    def write(self,
              command: ledger_events.WriteRow) -> ledger_events.WriteEnded:
        """Writes a row if it has the expected version; never raises."""
        return self.write_all([command])[0]

    def write_all(
        self, commands: collections.abc.Sequence[ledger_events.WriteRow]
    ) -> list[ledger_events.WriteEnded]:
        """Writes rows independently by group commit; never raises."""
        futures = [
            self._client.write_row(item.key, item.expected_version,
                                   ledger_events.encode(item.document),
                                   _get_max_wait_s(item)) for item in commands
        ]
        return [_wait_for_write(future) for future in futures]

    def read(self, key: str) -> ledger_events.Row:
        """Reads a row.

        Raises:
            errors.StoreError: The store did not answer.
        """
        return self.read_all([key])[0]

    def read_all(
            self,
            keys: collections.abc.Sequence[str]) -> list[ledger_events.Row]:
        """Reads rows with one operation.

        Raises:
            errors.StoreError: The store did not answer.
        """
        rows = self._client.read(keys).get(timeout=_RESULT_TIMEOUT_S)
        return [ledger_events.decode(row.version, row.value) for row in rows]

    def scan(self, prefix: str,
             after: str) -> list[tuple[str, ledger_events.Row]]:
        """Reads a page of rows under a prefix.

        Raises:
            errors.StoreError: The store did not answer.
        """
        rows = self._client.scan(prefix,
                                 after=after,
                                 priority=store_actor.Priority.BACKGROUND).get(
                                     timeout=_RESULT_TIMEOUT_S)
        return [(row.key, ledger_events.decode(row.version, row.value))
                for row in rows]


def _get_max_wait_s(command: ledger_events.WriteRow) -> float:
    is_claim = command.document["state"] == ledger_events.RowState.CLAIMED
    return _MAX_CLAIM_WAIT_S if is_claim else _MAX_RECORD_WAIT_S


def _wait_for_write(
        future: pykka.Future[table_service.Result]) -> ledger_events.WriteEnded:
    try:
        result = future.get(timeout=_RESULT_TIMEOUT_S)
    except pykka.Timeout:
        return ledger_events.WriteEnded(None)
    conflict = None
    if result.conflicts:
        row = result.conflicts[0]
        conflict = ledger_events.decode(row.version, row.value)
    is_applied = {
        table_service.Outcome.APPLIED: True,
        table_service.Outcome.NOT_APPLIED: False,
        table_service.Outcome.UNKNOWN: None
    }[result.outcome]
    return ledger_events.WriteEnded(is_applied, result.version, conflict)
