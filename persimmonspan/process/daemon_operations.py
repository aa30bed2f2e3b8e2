"""Implements the operations of a daemon for its administration API.

Each method asks the component that owns the state and keeps none itself.
"""

import time
import typing

import pykka

from persimmonspan import errors
from persimmonspan.process import metrics
from persimmonspan.process import operations
from persimmonspan.process import peer_actor
from persimmonspan.process import scheduler_actor
from persimmonspan.process import scheduler_view
from persimmonspan.request import events
from persimmonspan.version import model

_ASK_TIMEOUT_S = 2.0
_P99 = 0.99


class Configurations(typing.Protocol):
    """Reads and commits the configuration documents."""

    def documents(self) -> operations.Documents | None:
        """Returns the documents in force, or None."""

    def commit(self, proposed: operations.Documents, actor: str,
               is_dry_run: bool) -> operations.CommitDocument:
        """Commits documents that were derived from `proposed.revision`."""

    def audit(self, after_revision: int) -> list[operations.AuditDocument]:
        """Returns the changes accepted after a revision."""

    def store_state(self) -> str:
        """Returns `up`, `down` or `none`."""


class Outcomes(typing.Protocol):
    """Lists and settles calls that the ledger records."""

    def list_unknown(self,
                     workspace: str | None) -> list[operations.OutcomeDocument]:
        """Returns the calls with an unknown outcome."""

    def settle(self, workspace: str, key: str,
               finding: operations.Finding) -> None:
        """Records an operator's finding on whether a call ran."""


class DaemonState(typing.Protocol):
    """State and components of a daemon that the operations use."""

    name: str
    failure_domain: str
    metrics: metrics.Metrics
    scheduler: pykka.ActorRef[scheduler_actor.SchedulerActor]
    configurations: Configurations
    outcomes: Outcomes
    peers: peer_actor.Peers | None

    def configuration(self) -> model.Configuration | None:
        """Returns the configuration in force."""

    def is_ready(self) -> bool:
        """Returns whether the balancer may send new requests."""

    def is_draining(self) -> bool:
        """Returns whether the daemon is stopping or being drained."""

    def in_flight(self) -> int:
        """Returns the number of requests in flight."""


class DaemonOperations:
    """Implements `operations.Operations` on the components of a daemon."""

    def __init__(self, daemon_state: DaemonState) -> None:
        self._daemon_state = daemon_state

    def configuration(self) -> model.Configuration | None:
        """Returns the configuration in force."""
        return self._daemon_state.configuration()

    def documents(self) -> operations.Documents:
        """Returns the documents in force.

        Raises:
            errors.RefusalError: No configuration is in force.
        """
        documents = self._daemon_state.configurations.documents()
        if documents is None:
            raise errors.RefusalError(errors.Code.CONFIG_UNVERIFIED,
                                      "no configuration is in force", 1.0)
        return documents

    def commit(self, proposed: operations.Documents, actor: str,
               is_dry_run: bool) -> operations.CommitDocument:
        """Commits documents; see `operations.Operations.commit`."""
        return self._daemon_state.configurations.commit(proposed, actor,
                                                        is_dry_run)

    def status(self) -> operations.StatusDocument:
        """Returns the state of the system."""
        daemon_state = self._daemon_state
        configuration = daemon_state.configuration()
        view = daemon_state.scheduler.ask(scheduler_actor.Evaluate(
            scheduler_view.build_status_view),
                                          timeout=_ASK_TIMEOUT_S)
        return operations.StatusDocument(
            daemon=daemon_state.name,
            revision=configuration.revision if configuration else 0,
            is_ready=daemon_state.is_ready(),
            is_draining=daemon_state.is_draining(),
            store=daemon_state.configurations.store_state(),
            in_flight=daemon_state.in_flight(),
            queued_by_kind=view.queued_by_kind,
            events_by_reason=daemon_state.metrics.counts(),
            first_token_p99_s=daemon_state.metrics.first_token.quantile_s(_P99),
            between_tokens_p99_s=daemon_state.metrics.between_tokens.quantile_s(
                _P99),
            daemons=self._list_daemons(),
            targets=view.targets)

    def decisions(self, request_id: str) -> list[operations.DecisionDocument]:
        """Returns recent decisions about a request, oldest first."""
        now_s = time.monotonic()
        records = self._daemon_state.scheduler.ask(
            scheduler_actor.Explain(request_id), timeout=_ASK_TIMEOUT_S)
        return [
            operations.DecisionDocument(age_s=now_s - item.at_s,
                                        decision=item.text) for item in records
        ]

    def unknown_outcomes(
            self, workspace: str | None) -> list[operations.OutcomeDocument]:
        """Returns the calls with an unknown outcome."""
        return self._daemon_state.outcomes.list_unknown(workspace)

    def settle(self, workspace: str, key: str,
               finding: operations.Finding) -> None:
        """Records an operator's finding on whether a call ran."""
        self._daemon_state.outcomes.settle(workspace, key, finding)

    def quarantined_fingerprints(self) -> list[operations.QuarantineDocument]:
        """Returns the quarantined fingerprints."""
        return self._daemon_state.scheduler.ask(scheduler_actor.Evaluate(
            scheduler_view.quarantined_fingerprints),
                                                timeout=_ASK_TIMEOUT_S)

    def lift_quarantine(self, fingerprint: str) -> None:
        """Lifts the quarantine of a fingerprint on all daemons."""
        self._daemon_state.scheduler.tell(events.QuarantineLifted(fingerprint))
        if self._daemon_state.peers is not None:
            self._daemon_state.peers.publish_quarantine(
                events.ShareQuarantine(fingerprint, 0, 0.0))

    def audit(self, after_revision: int) -> list[operations.AuditDocument]:
        """Returns the changes accepted after a revision, oldest first."""
        return self._daemon_state.configurations.audit(after_revision)

    def _list_daemons(self) -> list[operations.DaemonDocument]:
        daemon_state = self._daemon_state
        configuration = daemon_state.configuration()
        documents = [
            operations.DaemonDocument(
                name=daemon_state.name,
                failure_domain=daemon_state.failure_domain,
                revision=configuration.revision if configuration else 0,
                is_draining=daemon_state.is_draining(),
                age_s=0.0)
        ]
        if daemon_state.peers is None:
            return documents
        documents += [
            operations.DaemonDocument(
                name=item.identity.daemon,
                failure_domain=item.identity.failure_domain,
                revision=item.revision,
                is_draining=item.is_draining,
                age_s=min(item.heard_age_s, 1e9))
            for item in daemon_state.peers.status(_ASK_TIMEOUT_S).members
        ]
        return sorted(documents, key=lambda item: item["name"])
