"""What operators and peers see of the scheduler's state.

Each function takes the state and the monotonic time, so that the scheduler
actor can evaluate it between two events.
"""

import typing

from persimmonspan.process import operations
from persimmonspan.request import events
from persimmonspan.request import scheduler


class View(typing.NamedTuple):
    """Targets and queue lengths."""

    targets: list[operations.TargetDocument]
    queued_by_kind: dict[str, int]


def view(state: scheduler.State, now_s: float) -> View:
    """Returns targets and queue lengths for the status page."""
    del now_s
    targets = [
        operations.TargetDocument(name=target.name,
                                  service=target.service,
                                  address=target.address,
                                  failure_domain=target.failure_domain,
                                  is_leaving=target.name in state.leaving,
                                  outstanding=state.outstanding.get(
                                      target.name, 0),
                                  report_age_s=None,
                                  report_trust=0.0,
                                  kv_used_tokens=0,
                                  kv_capacity_tokens=target.kv_capacity_tokens,
                                  weight=1.0)
        for target in state.targets.values()
    ]
    return View(sorted(targets, key=lambda item: item["name"]), {})


def loads(state: scheduler.State,
          now_s: float) -> tuple[events.TargetLoad, ...]:
    """Returns what this daemon has outstanding, for its peers."""
    del now_s
    return tuple(
        events.TargetLoad(name, count, 0)
        for name, count in state.outstanding.items()
        if count)


def quarantined(state: scheduler.State,
                now_s: float) -> list[operations.QuarantineDocument]:
    """Returns quarantined fingerprints."""
    del state, now_s
    return []
