"""Lists calls with an unknown outcome and records operators' findings on them.

A row in state `CLAIMED` or `UNKNOWN` means that a call may have been run. Only
an operator who inspects the target can find out. The finding and an audit row
are written in one transaction. Recorded responses are never changed.

For a row that is still `CLAIMED`, the finding `NOT_RUN` requires that the
operator has made sure that the process named in the row has ended: a paused
process could still dispatch, and after the release a repeat runs the call.

Interface: `list_unsettled(rows, prefix)`, `settle(client, key, finding)`.

See Also:
    `docs/operating/unknown-outcomes.md`: how to investigate such calls.
"""

import collections.abc
import enum
import time
import typing

import msgspec
import pykka

from persimmonspan import errors
from persimmonspan.connection import table_service
from persimmonspan.request import ledger_events

AUDIT_PREFIX = "audit/"
_STORE_TIMEOUT_S = 10.0
_UNSETTLED_STATES = frozenset(
    {ledger_events.RowState.CLAIMED, ledger_events.RowState.UNKNOWN})


class Outcome(enum.StrEnum):
    """What the operator found at the target."""

    RAN = "ran"
    NOT_RUN = "not_run"


class Finding(typing.NamedTuple):
    """An operator's finding.

    Attributes:
        outcome: Whether the target ran the call.
        operator: Name of the operator.
        note: How the operator established the outcome.
        answer: Response for repeats, if the call was run.
        is_holder_stopped: Whether the process that holds the claim has
            certainly ended.
    """

    outcome: Outcome
    operator: str
    note: str
    answer: ledger_events.Response | None = None
    is_holder_stopped: bool = False


class AuditDocument(typing.TypedDict):
    """Value of the audit row of a settlement; `at_s` is wall time."""

    operator: str
    outcome: str
    note: str
    at_s: float
    before: ledger_events.RowDocument


class Scanner(typing.Protocol):
    """Reads pages of ledger rows."""

    def scan(self, prefix: str,
             after: str) -> list[tuple[str, ledger_events.Row]]:
        """Reads a page of rows; raises `errors.StoreError`."""


class Store(typing.Protocol):
    """The methods of the store client that this module uses."""

    def read(
        self, keys: collections.abc.Sequence[str]
    ) -> pykka.Future[tuple[table_service.Row, ...]]:
        """Reads rows."""

    def transact(
            self,
            checks: collections.abc.Sequence[table_service.Check],
            puts: collections.abc.Sequence[table_service.Put],
            *,
            witness: str | None = None) -> pykka.Future[table_service.Result]:
        """Applies a conditional transaction."""


def list_unsettled(
    rows: Scanner,
    prefix: str = ledger_events.PREFIX
) -> collections.abc.Iterator[tuple[str, ledger_events.RowDocument]]:
    """Yields rows that are claimed or unknown, with their keys.

    Rows of calls that are still running are included.

    Raises:
        errors.StoreError: The store did not respond.
    """
    after = ""
    while page := rows.scan(prefix, after):
        for key, row in page:
            if row.document is not None and row.document[
                    "state"] in _UNSETTLED_STATES:
                yield key, row.document
        after = page[-1][0]


def apply_finding(row: ledger_events.Row,
                  finding: Finding) -> ledger_events.RowDocument:
    """Returns the new row after a finding.

    Raises:
        errors.PersimmonspanError: The finding may not be applied to the row.
    """
    before = row.document
    if before is None or before["state"] not in _UNSETTLED_STATES:
        state = before["state"] if before is not None else "absent"
        raise errors.PersimmonspanError(
            errors.Code.CONFLICT,
            f"the call is {state}, not unknown or claimed")
    note = f"settled by {finding.operator}: {finding.note}"
    if finding.outcome == Outcome.RAN:
        answer = finding.answer or ledger_events.Response(
            200, "application/json", msgspec.json.encode({"settled": "ran"}))
        return ledger_events.RowDocument(
            **{
                **before, "state": ledger_events.RowState.RECORDED.value,
                "answer": answer,
                "note": note
            })
    if (before["state"] == ledger_events.RowState.CLAIMED and
            not finding.is_holder_stopped):
        raise errors.PersimmonspanError(
            errors.Code.CONFLICT,
            f"process {before['incarnation']} of {before['daemon']} may still "
            "dispatch this call; make sure that it has ended")
    return ledger_events.RowDocument(**{
        **before, "state": ledger_events.RowState.RELEASED.value,
        "note": note
    })


def settle(client: Store, key: str,
           finding: Finding) -> ledger_events.RowDocument:
    """Records an operator's finding with an audit row; returns the new row.

    Raises:
        errors.PersimmonspanError: The finding may not be applied to the row,
            or another write changed the row.
        errors.StoreError: The store did not write the finding, or it is not
            known whether it did.
    """
    read, = client.read([key]).get(timeout=_STORE_TIMEOUT_S)
    row = ledger_events.decode(read.version, read.value)
    document = apply_finding(row, finding)
    audit_key = f"{AUDIT_PREFIX}{key}/{row.version}"
    audit = AuditDocument(operator=finding.operator,
                          outcome=finding.outcome.value,
                          note=finding.note,
                          at_s=time.time(),
                          before=typing.cast(ledger_events.RowDocument,
                                             row.document))
    result = client.transact([
        table_service.Check(key, row.version),
        table_service.Check(audit_key, 0)
    ], [
        table_service.Put(key, ledger_events.encode(document)),
        table_service.Put(audit_key,
                          msgspec.json.encode(audit).decode())
    ],
                             witness=audit_key).get(timeout=_STORE_TIMEOUT_S)
    if result.outcome == table_service.Outcome.APPLIED:
        return document
    if result.code == errors.Code.CONFLICT:
        raise errors.PersimmonspanError(
            errors.Code.CONFLICT,
            "another write changed the row; read it again")
    raise errors.StoreError(result.code or errors.Code.STORE_UNAVAILABLE,
                            f"finding: {result.outcome}")
