"""Adapter of the platform's table service.

Only this module knows the wire format; the stand-in `testbed.platform` uses the
same documents. A `Transaction` is atomic and conditional: it is applied only if
each checked row still has the version named, where version 0 means absent.
Versions never repeat, not even after a delete or after a return of the store
from an older copy, since they contain the store's era (`store_era`). A check of
a row that was read in an earlier era fails without being sent. Only if the
response to the write is the first one of a new era may such a check have been
compared with a version that was issued again; this is logged.

`Table.transact` raises no store errors: the outcome of its `Result` is
`APPLIED`, `NOT_APPLIED` or `UNKNOWN`. If the response is lost, the rows are
read to find the outcome. A row that carries the write id proves that the
transaction was applied. If the checks still hold, the transaction may still be
in progress, so it is sent again under the same write id; this is safe if each
row that it writes is also checked, since then it can be applied only once. If
all written rows have changed, only a witness proves the outcome: a row that
this transaction inserts and that nobody overwrites. An inserted row that is
absent proves nothing if somebody may have deleted it since, unless it is a
witness or `are_rows_kept` is set. Without a proof the result is `UNKNOWN`, as
it is for a lost response to a delete.

Interface: `Table(address, client).transact(transaction) -> Result`,
`.read(keys) -> rows`, `.scan(prefix, limit, after) -> rows`, `.era`. Reads
raise `errors.StoreError` with `STORE_UNAVAILABLE` or `STORE_THROTTLED`.

See Also:
    `persimmonspan.process.store_actor`: shares one adapter among all users.
"""

import collections.abc
import enum
import http
import logging
import time
import typing
import uuid

import msgspec
import urllib3

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.connection import store_era

CLIENT_HEADER = "X-Client"
_RESOLVE_TIMEOUT_S = 2.5
_POOL_CONNECTIONS = 8

_logger = logging.getLogger(__name__)


class Check(typing.NamedTuple):
    """Condition of a transaction; version 0 means that the row is absent."""

    key: str
    version: int


class Put(typing.NamedTuple):
    """A row to write."""

    key: str
    value: str


class Row(typing.NamedTuple):
    """A row as read; an absent row has version 0."""

    key: str
    value: str
    version: int
    write_id: str


class Transaction(typing.NamedTuple):
    """Writes that are applied together if all checks hold.

    `witness` names an inserted row that nobody overwrites or deletes.
    `are_rows_kept` says that nobody deletes the rows that are inserted.
    """

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()
    witness: str | None = None
    are_rows_kept: bool = False


class Outcome(enum.StrEnum):
    """Whether a transaction was applied."""

    APPLIED = "applied"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


class Result(typing.NamedTuple):
    """Result of a transaction.

    Attributes:
        outcome: Whether the transaction was applied.
        code: `CONFLICT`, `STORE_UNAVAILABLE` or `STORE_THROTTLED` if the
            transaction was not applied or its outcome is unknown, else None.
        version: Version of the written rows if applied, else 0.
        conflicts: Current rows whose check failed.
        write_id: Id under which the transaction was sent.
    """

    outcome: Outcome
    code: errors.Code | None = None
    version: int = 0
    conflicts: tuple[Row, ...] = ()
    write_id: str = ""


class CheckDocument(typing.TypedDict):
    """Wire form of a check."""

    key: str
    version: int


class PutDocument(typing.TypedDict):
    """Wire form of a put."""

    key: str
    value: str


class TransactDocument(typing.TypedDict):
    """Body of `POST /v1/transact`."""

    write_id: str
    checks: list[CheckDocument]
    puts: list[PutDocument]
    deletes: list[str]


class RowDocument(typing.TypedDict):
    """Wire form of a row."""

    key: str
    value: str
    version: int
    write_id: str


class RowsDocument(typing.TypedDict):
    """Response with rows: to a read, to a scan or on a conflict."""

    rows: list[RowDocument]


class AppliedDocument(typing.TypedDict):
    """Response to a transaction that was applied."""

    version: int


class ReadDocument(typing.TypedDict):
    """Body of `POST /v1/read`."""

    keys: list[str]


class ScanDocument(typing.TypedDict):
    """Body of `POST /v1/scan`; `after` is the last key already seen."""

    prefix: str
    limit: int
    after: str


class LostResponseError(errors.StoreError):
    """The request may have been sent, but no valid response was received."""


_rows_decoder = decoding.JsonDecoder(RowsDocument)
_applied_decoder = decoding.JsonDecoder(AppliedDocument)
_CODE_BY_STATUS = {
    http.HTTPStatus.TOO_MANY_REQUESTS: errors.Code.STORE_THROTTLED,
    http.HTTPStatus.SERVICE_UNAVAILABLE: errors.Code.STORE_UNAVAILABLE,
}


class Table:
    """Client of the table service; may be shared among threads."""

    def __init__(self,
                 address: str,
                 client: str,
                 connect_timeout_s: float = 0.5,
                 response_timeout_s: float = 1.0) -> None:
        self.address = address
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self._headers = {CLIENT_HEADER: client}
        self._timeout = urllib3.Timeout(connect=connect_timeout_s,
                                        read=response_timeout_s)
        self._pool = self._new_pool()
        self._eras = store_era.EraTracker()

    @property
    def era(self) -> int | None:
        """Highest era of the store seen so far; None before a response."""
        return self._eras.era

    def transact(self,
                 transaction: Transaction,
                 write_id: str | None = None) -> Result:
        """Applies a transaction; finds the outcome if the response is lost.

        Args:
            transaction: What to write; each row that it puts or deletes should
                also be checked, otherwise it may be applied twice if a response
                is lost.
            write_id: Id to send, by default a new one.
        """
        write_id = write_id or uuid.uuid4().hex
        is_in_doubt = False
        end_s = time.monotonic() + _RESOLVE_TIMEOUT_S
        while not is_in_doubt or time.monotonic() < end_s:
            try:
                result = (self._send_transaction(transaction, write_id)
                          if self._are_checks_current(transaction) else
                          self._refuse_outdated_checks(transaction, write_id))
                if not is_in_doubt or result.outcome == Outcome.APPLIED:
                    return result
                if result.code != errors.Code.CONFLICT:
                    break
            except LostResponseError:
                is_in_doubt = True
            try:
                result = infer_result(transaction, write_id,
                                      self.read(_collect_keys(transaction)))
            except errors.StoreError:
                break
            if result.outcome == Outcome.APPLIED or result.code is not None:
                return result
        return Result(Outcome.UNKNOWN,
                      errors.Code.STORE_UNAVAILABLE,
                      write_id=write_id)

    def read(self, keys: collections.abc.Sequence[str]) -> tuple[Row, ...]:
        """Reads rows; absent rows are returned with version 0.

        Raises:
            errors.StoreError: The store did not send the rows.
        """
        return self._fetch_rows("/v1/read", ReadDocument(keys=list(keys)))

    def scan(self,
             prefix: str,
             limit: int = 1000,
             after: str = "") -> tuple[Row, ...]:
        """Reads up to `limit` rows under a prefix, in order of keys.

        Raises:
            errors.StoreError: The store did not send the rows.
        """
        return self._fetch_rows(
            "/v1/scan", ScanDocument(prefix=prefix, limit=limit, after=after))

    def _fetch_rows(self, path: str,
                    body: ReadDocument | ScanDocument) -> tuple:
        try:
            status, data, era = self._post(path, body)
        except LostResponseError:
            # A read can be repeated; the new pool has no broken connections.
            status, data, era = self._post(path, body)
        if status != http.HTTPStatus.OK:
            raise errors.StoreError(_error_code(status),
                                    f"table service sent status {status}")
        return _decode_rows(data, era)

    def _are_checks_current(self, transaction: Transaction) -> bool:
        known = self.era or 0
        return all(era >= known for era in _check_eras(transaction))

    def _refuse_outdated_checks(self, transaction: Transaction,
                                write_id: str) -> Result:
        """Returns the conflict of a transaction with outdated versions."""
        versions = {check.key: check.version for check in transaction.checks}
        try:
            rows = self.read(list(versions))
        except errors.StoreError as error:
            return Result(Outcome.NOT_APPLIED, error.code, write_id=write_id)
        return Result(
            Outcome.NOT_APPLIED,
            errors.Code.CONFLICT,
            conflicts=tuple(
                row for row in rows if row.version != versions[row.key]),
            write_id=write_id)

    def _send_transaction(self, transaction: Transaction,
                          write_id: str) -> Result:
        status, data, era = self._post("/v1/transact",
                                       _make_document(transaction, write_id))
        if status == http.HTTPStatus.OK:
            if any(item != era for item in _check_eras(transaction)):
                _logger.warning(
                    "a write was applied in a later era than its checks",
                    extra={
                        "era": era,
                        "keys": [item.key for item in transaction.puts][:10]
                    })
            version = _decode(_applied_decoder, data)["version"]
            return Result(Outcome.APPLIED,
                          version=store_era.qualify_version(era, version),
                          write_id=write_id)
        if status == http.HTTPStatus.CONFLICT:
            return Result(Outcome.NOT_APPLIED,
                          errors.Code.CONFLICT,
                          conflicts=_decode_rows(data, era),
                          write_id=write_id)
        return Result(Outcome.NOT_APPLIED,
                      _error_code(status),
                      write_id=write_id)

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(self._host,
                                          self._port,
                                          maxsize=_POOL_CONNECTIONS,
                                          retries=False,
                                          timeout=self._timeout,
                                          headers=self._headers)

    def _post(self, path: str, body: object) -> tuple[int, bytes, int]:
        """Returns status, body and era of the response."""
        try:
            response = self._pool.request("POST",
                                          path,
                                          body=msgspec.json.encode(body))
        except (urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError):
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b"", self.era or 0
        except (urllib3.exceptions.HTTPError, OSError) as error:
            # All established connections may be broken while new ones work, so
            # none of them is used again.
            self._pool = self._new_pool()
            raise LostResponseError(
                errors.Code.STORE_UNAVAILABLE,
                f"no response from the table service: {error}") from error
        era = self._eras.observe(response.headers.get(store_era.HEADER))
        return response.status, response.data, era


def infer_result(transaction: Transaction, write_id: str,
                 rows: collections.abc.Sequence[Row]) -> Result:
    """Returns what current rows prove about a write without a response.

    A result `UNKNOWN` without a code means that the checks still hold: the
    transaction has not been applied, but may be in progress. Once a check
    fails, it can no longer be applied; a written row that has not changed
    proves that it was not applied earlier either.

    >>> insert = Transaction((Check("a", 0),), (Put("a", "x"),), witness="a")
    >>> infer_result(insert, "w1", [Row("a", "x", 7, "w1")]).outcome.value
    'applied'
    >>> infer_result(insert, "w1", [Row("a", "", 0, "")])[:2]
    (<Outcome.UNKNOWN: 'unknown'>, None)
    """
    rows_by_key = {row.key: row for row in rows}
    for put in transaction.puts:
        if rows_by_key[put.key].write_id == write_id:
            return Result(Outcome.APPLIED,
                          version=rows_by_key[put.key].version,
                          write_id=write_id)
    changed_rows = tuple(rows_by_key[check.key]
                         for check in transaction.checks
                         if rows_by_key[check.key].version != check.version)
    if not changed_rows:
        code = None if _find_proof_keys(
            transaction) else errors.Code.STORE_UNAVAILABLE
        return Result(Outcome.UNKNOWN, code, write_id=write_id)
    changed_keys = {row.key for row in changed_rows}
    is_refuted = (transaction.witness in changed_keys or
                  bool(_find_proof_keys(transaction) - changed_keys))
    return Result(Outcome.NOT_APPLIED if is_refuted else Outcome.UNKNOWN,
                  errors.Code.CONFLICT,
                  conflicts=changed_rows,
                  write_id=write_id)


def _find_proof_keys(transaction: Transaction) -> set[str]:
    """Returns the written rows that are proof if they are unchanged.

    Versions do not repeat, so that such a row cannot have been changed and
    restored. An inserted row that was deleted is absent again, as before the
    insert, and proves nothing.
    """
    written = {put.key for put in transaction.puts} | set(transaction.deletes)
    return {
        check.key for check in transaction.checks if check.key in written and
        (check.version > 0 or transaction.are_rows_kept or
         check.key == transaction.witness)
    }


def _collect_keys(transaction: Transaction) -> tuple[str, ...]:
    keys = [check.key for check in transaction.checks]
    keys.extend(put.key for put in transaction.puts)
    return tuple(dict.fromkeys((*keys, *transaction.deletes)))


def _make_document(transaction: Transaction, write_id: str) -> TransactDocument:
    return TransactDocument(
        write_id=write_id,
        checks=[
            CheckDocument(key=item.key,
                          version=store_era.split_version(item.version)[1])
            for item in transaction.checks
        ],
        puts=[PutDocument(**item._asdict()) for item in transaction.puts],
        deletes=list(transaction.deletes))


def _check_eras(transaction: Transaction) -> set[int]:
    """Returns the eras in which the checked rows were read."""
    return {
        store_era.split_version(check.version)[0]
        for check in transaction.checks
        if check.version
    }


def _error_code(status: int) -> errors.Code:
    return _CODE_BY_STATUS.get(http.HTTPStatus(status),
                               errors.Code.STORE_UNAVAILABLE)


def _decode(decoder: msgspec.json.Decoder, data: bytes) -> typing.Any:
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        raise LostResponseError(
            errors.Code.STORE_UNAVAILABLE,
            f"table service sent a malformed response: {error}") from error


def _decode_rows(data: bytes, era: int) -> tuple[Row, ...]:
    return tuple(
        Row(item["key"], item["value"],
            store_era.qualify_version(era, item["version"]), item["write_id"])
        for item in _decode(_rows_decoder, data)["rows"])
