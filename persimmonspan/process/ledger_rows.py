"""Ledger rows over the store client; each method waits for its result.

Interface: `LedgerRows(client)` with `write`, `read` and `scan`, as
`persimmonspan.request.at_most_once.Rows` asks for.
"""

import pykka

from persimmonspan.connection import table_service
from persimmonspan.process import store_actor
from persimmonspan.request import ledger_events

_GIVE_UP_S = 30.0


class LedgerRows:
    """Ledger rows over a client; each method waits for its result."""

    def __init__(self, client: store_actor.Client) -> None:
        self._client = client

    def write(self,
              command: ledger_events.WriteRow) -> ledger_events.WriteEnded:
        """Writes a row if it has the expected version; never raises."""
        future = self._client.write_row(command.key, command.expected_version,
                                        ledger_events.encode(command.document))
        try:
            result = future.get(timeout=_GIVE_UP_S)
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

    def read(self, key: str) -> ledger_events.Row:
        """Reads a row.

        Raises:
            errors.StoreError: The store did not answer.
        """
        row, = self._client.read([key]).get(timeout=_GIVE_UP_S)
        return ledger_events.decode(row.version, row.value)

    def scan(self, prefix: str,
             after: str) -> list[tuple[str, ledger_events.Row]]:
        """Reads a page of rows under a prefix.

        Raises:
            errors.StoreError: The store did not answer.
        """
        rows = self._client.scan(
            prefix, after=after,
            priority=store_actor.Priority.BACKGROUND).get(timeout=_GIVE_UP_S)
        return [(row.key, ledger_events.decode(row.version, row.value))
                for row in rows]
