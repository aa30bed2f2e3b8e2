"""What an edge daemon needs of the store of its platform."""

import typing

from persimmonspan import errors


class Row(typing.NamedTuple):
    """A row of a table; `value` is None for a row that was removed."""

    key: str
    value: bytes | None
    version: int


class Rows(typing.NamedTuple):
    """Rows as of one version of the store."""

    rows: tuple[Row, ...]
    version: int


class HistoryLostError(errors.StoreError):
    """The store no longer knows what changed since a version."""


class RowStore(typing.Protocol):
    """A store of rows in tables.

    All calls raise `errors.StoreError` when the store gives no answer in time
    or rejects the call.
    """

    def read(self, table: str) -> Rows:
        """Returns all rows of a table."""

    def changes(self, table: str, since: int, wait_s: float) -> Rows:
        """Waits for rows that changed after a version.

        Raises:
            HistoryLostError: The table must be read as a whole.
        """

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row, whatever it holds."""
