"""Configuration and ledger of a daemon that uses the table service.

Translates operators' requests into commits, scans and settlements, and the
results into documents or errors with codes.

See Also:
    `persimmonspan.process.configuration_actor`: adoption and commits.
    `persimmonspan.request.settlement`: unknown outcomes.
"""

import collections.abc
import time
import typing
import uuid

import msgspec
import pykka

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.process import configuration_actor
from persimmonspan.process import ledger_rows
from persimmonspan.process import operations
from persimmonspan.process import store_actor
from persimmonspan.request import ledger_events
from persimmonspan.request import settlement
from persimmonspan.version import commit
from persimmonspan.version import difference

_STORE_TIMEOUT_S = 5.0
_MAX_SHOWN_OUTCOMES = 1000
_MAX_VALUE_CHARS = 60

_CODE_BY_STATUS = {
    commit.Status.CONFLICT: errors.Code.CONFLICT,
    commit.Status.INVALID: errors.Code.BAD_REQUEST,
    commit.Status.REFUSED: errors.Code.STORE_UNAVAILABLE,
}


class StoredConfigurations:
    """Implements `daemon_operations.Configurations` on the table service."""

    def __init__(self, actor: configuration_actor.Configuration,
                 client: store_actor.Client) -> None:
        self._actor = actor
        self._client = client

    def documents(self) -> operations.Documents | None:
        """Returns the documents in force, or None."""
        state = self._actor.state()
        if not state.revision:
            return None
        return operations.Documents(state.revision, state.document["inventory"],
                                    state.document["rules"])

    def commit(self, proposed: operations.Documents, actor: str,
               is_dry_run: bool) -> operations.CommitDocument:
        """Commits documents that are based on `proposed.revision`.

        Raises:
            errors.RefusalError: The change conflicts or is invalid, or the
                store is unavailable.
            errors.StoreError: It is unknown whether the change was committed.
        """
        done = self._actor.submit(
            commit.Change(commit_id=uuid.uuid4().hex,
                          base_revision=proposed.revision,
                          document={
                              "inventory": proposed.inventory,
                              "rules": proposed.rules
                          },
                          operator=actor,
                          reason="",
                          is_dry_run=is_dry_run,
                          at_s=time.time()))
        return make_commit_document(done, proposed.revision)

    def audit(self, after_revision: int) -> list[operations.AuditDocument]:
        """Returns accepted changes after a revision, oldest first.

        Raises:
            errors.StoreError: The store did not respond.
        """
        after = commit.change_key(after_revision)
        found = []
        while page := self._scan(commit.CHANGE_PREFIX, after):
            changes = [
                decoding.JsonDecoder(commit.ChangeDocument).decode(row.value)
                for row in page
            ]
            keys = [commit.audit_key(item["revision"]) for item in changes]
            audits = self._client.read(keys).get(timeout=_STORE_TIMEOUT_S)
            for change, row in zip(changes, audits, strict=True):
                audit = decoding.JsonDecoder(commit.AuditDocument).decode(
                    row.value)
                found.append(
                    operations.AuditDocument(revision=change["revision"],
                                             actor=audit["operator"],
                                             changes=describe_edits(
                                                 change["edits"])))
            after = page[-1].key
        return found

    def store_state(self) -> str:
        """Returns `up` or `down`."""
        try:
            status = self._client.status().get(timeout=_STORE_TIMEOUT_S)
        except pykka.Timeout:
            return "down"
        return "up" if status.is_available else "down"

    def _scan(self, prefix: str, after: str) -> tuple[typing.Any, ...]:
        return self._client.scan(prefix,
                                 after=after,
                                 priority=store_actor.Priority.BACKGROUND).get(
                                     timeout=_STORE_TIMEOUT_S)


class StoredOutcomes:
    """Implements `daemon_operations.Outcomes` on the ledger rows."""

    def __init__(self, client: store_actor.Client) -> None:
        self._client = client

    def list_unknown(self,
                     workspace: str | None) -> list[operations.OutcomeDocument]:
        """Returns calls whose state is claimed or unknown.

        Raises:
            errors.StoreError: The store did not respond.
        """
        prefix = ledger_events.PREFIX
        if workspace is not None:
            prefix += f"{workspace}/"
        found = []
        rows = ledger_rows.LedgerRows(self._client)
        for key, row in settlement.list_unsettled(rows, prefix):
            owner, _, name = key.removeprefix(
                ledger_events.PREFIX).partition("/")
            found.append(
                operations.OutcomeDocument(workspace=owner,
                                           key=name,
                                           daemon=row["daemon"],
                                           state=row["state"],
                                           note=row["note"]))
            if len(found) >= _MAX_SHOWN_OUTCOMES:
                break
        return found

    def settle(self, workspace: str, key: str,
               finding: operations.Finding) -> None:
        """Records the outcome that an operator determined.

        Raises:
            errors.PersimmonspanError: The call cannot be settled this way.
        """
        settlement.settle(
            self._client, f"{ledger_events.PREFIX}{workspace}/{key}",
            settlement.Finding(outcome=settlement.Outcome(
                finding.run_state.value),
                               operator=finding.actor,
                               note=finding.note,
                               is_holder_stopped=finding.is_holder_stopped))


def make_commit_document(done: commit.Done,
                         base_revision: int) -> operations.CommitDocument:
    """Returns the document that describes an ended commit.

    Raises:
        errors.RefusalError: The commit was refused and nothing was written.
        errors.StoreError: It is unknown whether the change was committed.
    """
    message = "\n".join(done.messages) or done.status.value
    if done.status in _CODE_BY_STATUS:
        raise errors.RefusalError(_CODE_BY_STATUS[done.status], message)
    if done.status is commit.Status.UNKNOWN:
        raise errors.StoreError(errors.Code.OUTCOME_UNKNOWN, message)
    return operations.CommitDocument(revision=done.revision or base_revision,
                                     changes=describe_edits(done.edits),
                                     is_merged=bool(done.edits) and
                                     done.base_revision != base_revision,
                                     is_dry_run=done.status
                                     is commit.Status.DRY_RUN)


def describe_edits(
        edits: collections.abc.Iterable[difference.Edit]) -> list[str]:
    """Returns one line of text per edit.

    >>> describe_edits([difference.Edit("set", ("rules", "leaving"), ["a"])])
    ['set rules.leaving = ["a"]']
    """
    lines = []
    for edit in edits:
        value = ""
        if edit.kind != "remove":
            text = msgspec.json.encode(edit.value).decode()
            value = f" = {text[:_MAX_VALUE_CHARS]}"
        lines.append(f"{edit.kind} {'.'.join(edit.path)}{value}")
    return lines
