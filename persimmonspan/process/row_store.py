"""Interface of the row store that a platform provides to edge daemons."""

import typing

from persimmonspan import errors


class Row(typing.NamedTuple):
    """A row of a table; `value` is None for a deleted row."""

    key: str
    value: bytes | None
    version: int


class Rows(typing.NamedTuple):
    """Rows of a table at one version of the store.

    `era` tells apart the histories of a store that comes back from a copy:
    versions of different eras cannot be compared. It is 0 if the store does not
    tell it.
    """

    rows: tuple[Row, ...]
    version: int
    era: int = 0


class HistoryLostError(errors.StoreError):
    """The store no longer holds the changes since a version."""


class RowStore(typing.Protocol):
    """A store of rows in tables.

    All calls raise `errors.StoreError` when the store does not respond in time
    or rejects the call.
    """

    def read(self, table: str) -> Rows:
        """Returns all rows of a table."""

    def changes(self, table: str, since: int, wait_s: float) -> Rows:
        """Waits for and returns the rows that changed after a version.

        Raises:
            HistoryLostError: The caller must read the whole table.
        """

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row unconditionally."""

    def read_range(self, table: str, start: str, end: str) -> tuple[Row, ...]:
        """Returns the first rows from a key to before another, by their keys.
        """

    def change(self, table: str, values: typing.Mapping[str, bytes],
               removed: typing.Collection[str]) -> None:
        """Writes and removes rows unconditionally, all at once or none."""
