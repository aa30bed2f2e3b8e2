"""Defines the operations that operators can run, with their typed documents.

The administration API checks roles and bodies and then calls an `Operations`.
The daemon implements this protocol on its actors, and tests on plain fields.

See Also:
    `persimmonspan.process.admin`: the HTTP API.
"""

import typing

from persimmonspan import errors
from persimmonspan.version import model


class Documents(typing.NamedTuple):
    """The configuration documents of a revision."""

    revision: int
    inventory: model.InventoryDocument
    rules: model.RulesDocument


class ConfigurationDocument(typing.TypedDict):
    """The configuration in force."""

    revision: int
    inventory: model.InventoryDocument
    rules: model.RulesDocument


class CommitDocument(typing.TypedDict):
    """Result of a change: its revision, what changed, whether it was merged.

    `revision` is the base revision when the change was a dry run or empty.
    """

    revision: int
    changes: list[str]
    is_merged: bool
    is_dry_run: bool


class TargetDocument(typing.TypedDict):
    """A target as this daemon sees it.

    `report_trust` is between 0 (no recent report) and 1 (fresh report);
    `weight` is its share of new requests relative to a healthy target.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    is_leaving: bool
    outstanding: int
    report_age_s: float | None
    report_trust: float
    kv_used_tokens: int
    kv_capacity_tokens: int
    weight: float


class DecisionDocument(typing.TypedDict):
    """One decision about a request."""

    age_s: float
    decision: str


class DaemonDocument(typing.TypedDict):
    """One daemon as its peers see it."""

    name: str
    failure_domain: str
    revision: int
    is_draining: bool
    age_s: float


class StatusDocument(typing.TypedDict):
    """State of the system as this daemon sees it."""

    daemon: str
    revision: int
    is_ready: bool
    is_draining: bool
    store: str
    in_flight: int
    queued_by_kind: dict[str, int]
    events_by_reason: dict[str, int]
    first_token_p99_s: float
    between_tokens_p99_s: float
    daemons: list[DaemonDocument]
    targets: list[TargetDocument]


class OutcomeDocument(typing.TypedDict):
    """A non-idempotent call whose outcome is not known.

    `state` is `claimed` while the daemon may still run the call, or `unknown`.
    """

    workspace: str
    key: str
    daemon: str
    state: str
    note: str


class Finding(typing.NamedTuple):
    """An operator's finding on whether a call with an unknown outcome ran.

    `is_holder_stopped` is whether the process that claimed the call is certain
    to have ended. A claimed call may be settled as not run only in this case.
    """

    run_state: errors.RunState
    actor: str
    note: str
    is_holder_stopped: bool


class QuarantineDocument(typing.TypedDict):
    """A quarantined fingerprint, whose requests crashed targets."""

    fingerprint: str
    crashes: int
    ttl_s: float


class AuditDocument(typing.TypedDict):
    """One accepted change and who made it."""

    revision: int
    actor: str
    changes: list[str]


class Operations(typing.Protocol):
    """Operations of a daemon that the administration API calls."""

    def configuration(self) -> model.Configuration | None:
        """Returns the configuration in force."""

    def documents(self) -> Documents:
        """Returns the documents in force.

        Raises:
            errors.PersimmonspanError: No configuration is in force.
        """

    def commit(self, proposed: Documents, actor: str,
               is_dry_run: bool) -> CommitDocument:
        """Commits documents that were derived from `proposed.revision`.

        Raises:
            errors.PersimmonspanError: Another change touched the same parts, a
                document is not valid, or the store is down.
        """

    def status(self) -> StatusDocument:
        """Returns the state of the system."""

    def decisions(self, request_id: str) -> list[DecisionDocument]:
        """Returns recent decisions about a request, oldest first."""

    def unknown_outcomes(self, workspace: str | None) -> list[OutcomeDocument]:
        """Returns the calls with an unknown outcome."""

    def settle(self, workspace: str, key: str, finding: Finding) -> None:
        """Records an operator's finding on whether a call ran."""

    def quarantined_fingerprints(self) -> list[QuarantineDocument]:
        """Returns the quarantined fingerprints."""

    def lift_quarantine(self, fingerprint: str) -> None:
        """Lifts the quarantine of a fingerprint on all daemons."""

    def audit(self, after_revision: int) -> list[AuditDocument]:
        """Returns the changes accepted after a revision, oldest first."""
