"""Views of the scheduler's state for operators and peers.

Each public function takes the state and the monotonic time, so that the
scheduler actor can evaluate it between two events.
"""

import collections
import math
import typing

from persimmonspan.process import health
from persimmonspan.process import load_view
from persimmonspan.process import operations
from persimmonspan.request import events
from persimmonspan.request import quarantine
from persimmonspan.request import scheduler


class StatusView(typing.NamedTuple):
    """Targets and queue lengths on the status page."""

    targets: list[operations.TargetDocument]
    queued_by_kind: dict[str, int]


def build_status_view(state: scheduler.State, now_s: float) -> StatusView:
    """Returns targets and queue lengths for the status page."""
    targets = [
        _target_document(state, item, now_s)
        for item in state.view.targets.values()
    ]
    queued = collections.Counter(
        item.arrived.kind for item in state.queue.requests.values())
    return StatusView(sorted(targets, key=lambda item: item["name"]),
                      dict(queued))


def _target_document(state: scheduler.State, item: load_view.TargetView,
                     now_s: float) -> operations.TargetDocument:
    has_report = math.isfinite(item.reported_s)
    age_s = now_s - item.reported_s if has_report else None
    own_tokens = item.own.mean[0] + item.peers.mean[0]
    return operations.TargetDocument(
        name=item.target.name,
        service=item.target.service,
        address=item.target.address,
        failure_domain=item.target.failure_domain,
        is_leaving=item.target.name in state.leaving,
        outstanding=item.running,
        report_age_s=age_s,
        report_trust=0.0
        if age_s is None else math.exp(-age_s / load_view.REPORT_DECAY_S),
        kv_used_tokens=round(own_tokens + load_view.extra_tokens(item, now_s)),
        kv_capacity_tokens=item.target.kv_capacity_tokens,
        weight=(0.0 if now_s < item.avoid_until_s else health.weight(
            state.health_state, item.target.name)))


def outstanding_loads(state: scheduler.State,
                      now_s: float) -> tuple[events.TargetLoad, ...]:
    """Returns the loads that this daemon's requests put on the targets."""
    del now_s
    return scheduler.own_loads(state)


def quarantined_fingerprints(
        state: scheduler.State,
        now_s: float) -> list[operations.QuarantineDocument]:
    """Returns the quarantined fingerprints."""
    return [
        operations.QuarantineDocument(fingerprint=fingerprint,
                                      crashes=record.crashes,
                                      ttl_s=record.refused_until_s - now_s)
        for fingerprint, record in state.suspects.records.items()
        if quarantine.refused_for_s(state.suspects, fingerprint, now_s) > 0
    ]
