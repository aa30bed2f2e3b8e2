"""Client of the platform's store.

A call without a response closes its connection, because a connection may stay
silent forever while new connections work.
"""

import base64
import collections.abc
import http
import logging
import typing
import urllib.parse

import msgspec

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.connection import kept_connection
from persimmonspan.process import clock
from persimmonspan.process import row_store

_MS_PER_S = 1000.0
_CONNECT_TIMEOUT_S = 0.5
# Responses usually take a few ms; one that takes 60 times as long still arrives
# in time.
_RESPONSE_TIMEOUT_S = 1.0
# A connection that was idle for longer may have gone silent, which a call would
# notice only by its timeout.
_MAX_IDLE_S = 1.0
# A page has 1 MB of rows at most, encoded for JSON. Source: contract of the
# platform.
_MAX_RESPONSE_BYTES = 4 * 1024 * 1024
# A table that is larger would not fit on the smallest machine.
_MAX_TABLE_BYTES = 16 * 1024 * 1024
# For a page over a slow link.
_MAX_CALL_S = 10.0
_ERA_HEADER = b"store-era"
# A store that comes back from a copy more often than this during one read of
# several pages counts as unavailable.
_MAX_READS = 3


class _Row(msgspec.Struct):
    key: str
    # Misleading name: the version of the row, not of a schema.
    schemaVersion: int
    data: str = ""
    deleted: bool = False


class _Rows(msgspec.Struct):
    rows: list[_Row]
    # Misleading name: the version of the whole store, not of a schema.
    schemaVersion: int
    hasMore: bool = False


class _Response(typing.NamedTuple):
    body: bytes
    era: int


_logger = logging.getLogger(__name__)
_rows_decoder = decoding.JsonDecoder(_Rows)


class Store:
    """Client of the row store; each thread should have its own."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection = kept_connection.KeptConnection(
            address, _CONNECT_TIMEOUT_S, _MAX_RESPONSE_BYTES, _MAX_CALL_S)
        self._used_s = clock.now_s()
        self._unreadable_era = ""

    def read(self, table: str) -> row_store.Rows:
        """Returns all rows of a table.

        The rows are of one version only if they fit into one page, but always
        of one era. The returned version is that of the first page, so that the
        changes since then include rows that changed between two pages.
        """
        for _ in range(_MAX_READS):
            rows = self._read_pages(table)
            if rows is not None:
                return rows
            _logger.warning("the era of the store changed between pages",
                            extra={"table": table})
        raise errors.StoreError(
            errors.Code.STORE_UNAVAILABLE,
            f"the era changed during each of {_MAX_READS} reads")

    def _read_pages(self, table: str) -> row_store.Rows | None:
        """Returns all rows of a table, or None if they are of several eras."""
        rows: list[row_store.Row] = []
        start_key = ""
        first_page: _Rows | None = None
        first_era = 0
        table_bytes = 0
        while True:
            query = {"tableName": table, "part": ""}
            if start_key:
                query["startKey"] = start_key
            page, era = self._fetch_page("/rows-get", query,
                                         _RESPONSE_TIMEOUT_S)
            if first_page is None:
                first_page, first_era = page, era
            elif era != first_era:
                return None
            rows += map(_decode_row, page.rows)
            table_bytes += sum(
                len(row.data) + len(row.key) for row in page.rows)
            if table_bytes > _MAX_TABLE_BYTES:
                raise errors.StoreError(
                    errors.Code.STORE_UNAVAILABLE,
                    f"the table has more than {_MAX_TABLE_BYTES} bytes")
            if not page.hasMore or not page.rows:
                return row_store.Rows(tuple(rows), first_page.schemaVersion,
                                      era)
            # `startKey` is inclusive, so the next page starts at the least key
            # after the last one.
            start_key = page.rows[-1].key + "\0"

    def changes(self, table: str, since: int, wait_s: float) -> row_store.Rows:
        """Waits for and returns the rows that changed after a version."""
        page, era = self._fetch_page(
            "/rows-feed", {
                "tableName": table,
                "sinceRevision": since,
                "waitMs": int(wait_s * _MS_PER_S)
            }, wait_s + _RESPONSE_TIMEOUT_S)
        return row_store.Rows(tuple(map(_decode_row, page.rows)),
                              page.schemaVersion, era)

    def read_range(self, table: str, start: str,
                   end: str) -> tuple[row_store.Row, ...]:
        """Returns the first rows from a key to before another."""
        page, _ = self._fetch_page("/rows-get", {
            "tableName": table,
            "part": "",
            "startKey": start,
            "to": end
        }, _RESPONSE_TIMEOUT_S)
        return tuple(
            _decode_row(row) for row in page.rows if start <= row.key < end)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row unconditionally."""
        self.change(table, {key: value}, ())

    def change(self, table: str, values: collections.abc.Mapping[str, bytes],
               removed: collections.abc.Collection[str]) -> None:
        """Writes and removes rows unconditionally, all at once or none."""
        body = msgspec.json.encode({
            "expectedRevision": [],
            "write": [{
                "tableName": table,
                "part": "",
                "key": key,
                "data": base64.b64encode(value).decode()
            } for key, value in values.items()],
            "remove": [{
                "tableName": table,
                "part": "",
                "key": key
            } for key in removed]
        })
        self._send_request("POST", "/rows-tx", _RESPONSE_TIMEOUT_S, body)

    def _fetch_page(self, path: str, query: collections.abc.Mapping[str,
                                                                    object],
                    response_timeout_s: float) -> tuple[_Rows, int]:
        response = self._send_request(
            "GET", f"{path}?{urllib.parse.urlencode(query)}",
            response_timeout_s)
        try:
            return _rows_decoder.decode(response.body), response.era
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise errors.StoreError(errors.Code.STORE_UNAVAILABLE,
                                    f"malformed response: {error}") from error

    def _send_request(self,
                      method: str,
                      target: str,
                      response_timeout_s: float,
                      body: bytes | None = None) -> _Response:
        if clock.now_s() - self._used_s > _MAX_IDLE_S:
            self._connection.close()
        try:
            head, data = self._connection.call(
                exchange.Request(method, target,
                                 ((b"Host", self._address.encode()),
                                  (b"Content-Type", b"application/json")),
                                 body or b""), response_timeout_s)
        except errors.TargetError as error:
            raise errors.StoreError(errors.Code.STORE_UNAVAILABLE,
                                    f"no response: {error}") from error
        finally:
            self._used_s = clock.now_s()
        if head.status == http.HTTPStatus.OK:
            return _Response(data, self._decode_era(head))
        if head.status == http.HTTPStatus.GONE:
            raise row_store.HistoryLostError(
                errors.Code.STORE_UNAVAILABLE,
                "the store no longer holds the changes")
        code = (errors.Code.STORE_THROTTLED
                if head.status == http.HTTPStatus.TOO_MANY_REQUESTS else
                errors.Code.STORE_UNAVAILABLE)
        raise errors.StoreError(code, f"status {head.status}")

    def _decode_era(self, head: exchange.RawResponseHead) -> int:
        """Returns the era of a response, or 0 if it has none that is a number.

        The versions of such a store are taken for those of one history.
        """
        value = (head.get(_ERA_HEADER) or b"").decode("latin-1")
        if value.isascii() and value.isdecimal():
            return int(value)
        if value and value != self._unreadable_era:
            self._unreadable_era = value
            _logger.warning("era of the store not understood",
                            extra={"era": value})
        return 0


def _decode_row(row: _Row) -> row_store.Row:
    if row.deleted:
        return row_store.Row(row.key, None, row.schemaVersion)
    try:
        value = base64.b64decode(row.data)
    except ValueError as error:
        # The other rows of the table still hold.
        _logger.warning("row of the store not understood",
                        extra={
                            "key": row.key,
                            "version": row.schemaVersion,
                            "reason": str(error)
                        })
        value = b""
    return row_store.Row(row.key, value, row.schemaVersion)
