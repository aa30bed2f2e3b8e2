"""Describes a forwarded request to the scheduler."""

import hashlib
import math

from persimmonspan.request import events
from persimmonspan.request import forwarded
from persimmonspan.version import routes

_MAX_REPORTED_PRIORITY = 9
_FINGERPRINT_DIGITS = 32
# A larger body may take so long to send twice that the first response waits.
_MAX_HEDGED_BODY_BYTES = 64 * 1024
# Parts of a prompt against which evidence is kept; the first ones are shared.
_MAX_PARTS = 16


def build(routed_call: forwarded.RoutedCall,
          configuration: routes.Configuration) -> events.Arrived:
    """Returns a forwarded request as the scheduler places it."""
    call, route = routed_call.call, routed_call.route
    service = configuration.services.get(routed_call.service)
    engine = service.engine if service is not None else None
    digest = hashlib.sha256(f"{call.target}\n{call.key}\n".encode())
    digest.update(call.body)
    return events.Arrived(
        request_id=routed_call.request_id,
        workspace=routed_call.workspace.name if routed_call.workspace else "",
        kind=forwarded.route_kind(route),
        service=routed_call.service,
        prompt_tokens=call.prompt_tokens,
        max_output_tokens=call.max_output_tokens,
        deadline_s=routed_call.end_s,
        fingerprint=digest.hexdigest()[:_FINGERPRINT_DIGITS],
        # The last part belongs to the request itself or to its session.
        part_fingerprints=tuple(
            f"part:{name}" for name, _ in call.prefix_parts[:-1][:_MAX_PARTS]),
        is_idempotent=route.is_idempotent,
        idempotency_key=routed_call.request_id,
        max_attempts=route.max_attempts,
        is_resumable=route.is_resumable,
        wants_backup=(engine is not None and engine.can_back_up and
                      not route.is_resumable),
        priority=_reported_priority(routed_call),
        software_version=routed_call.software_version,
        latency_objective_s=route.latency_objective_s or math.inf,
        may_hedge=_may_hedge(routed_call))


def _may_hedge(routed_call: forwarded.RoutedCall) -> bool:
    """Returns whether a call may run at two targets at the same time.

    A stream that a caller takes up is that caller's retry.
    """
    call, route = routed_call.call, routed_call.route
    may_run_twice = (route.kind is routes.Kind.IDEMPOTENT or
                     route.kind is routes.Kind.STREAMING and route.is_resumable)
    return (may_run_twice and route.max_attempts > 1 and not call.is_take_up and
            len(call.body) <= _MAX_HEDGED_BODY_BYTES)


def _reported_priority(routed_call: forwarded.RoutedCall) -> int:
    workspace = routed_call.workspace
    if workspace is not None and workspace.priority is not None:
        return min(_MAX_REPORTED_PRIORITY, workspace.priority)
    return min(_MAX_REPORTED_PRIORITY, routed_call.route.priority)
