"""Explains where a request would go now, without sending it.

The scheduler is a pure function of its state, so that the explanation applies
the arrival of the request to the present state and drops the result.

See Also:
    `persimmonspan.request.choice`: the decisions that are explained.
"""

import random
import typing

from persimmonspan.process import health
from persimmonspan.process import load_view
from persimmonspan.process import target_speeds
from persimmonspan.request import admission
from persimmonspan.request import cold_targets
from persimmonspan.request import events
from persimmonspan.request import placement
from persimmonspan.request import queueing
from persimmonspan.request import rate_limits
from persimmonspan.request import scheduler
from persimmonspan.request import target_backoff


class TargetReport(typing.NamedTuple):
    """One target of the service; `obstacle` is empty if it may be chosen."""

    name: str
    failure_domain: str
    use: float
    speed_class: str
    weight: float
    obstacle: str


class Explanation(typing.NamedTuple):
    """What the scheduler would do, and how it sees the targets."""

    outcome: str  # dispatch, refuse or wait.
    detail: str  # The chosen target or the reason of the refusal.
    waiting: int  # Requests of the service that wait at this daemon.
    evacuated: tuple[str, ...]
    targets: tuple[TargetReport, ...]


def explain(state: placement.State, arrived: events.Arrived, now_s: float,
            rng: random.Random) -> Explanation:
    """Returns where a request would go if it arrived now."""
    outcome, detail = "wait", ""
    for command in scheduler.step(state, arrived, now_s, rng)[1]:
        if isinstance(command, events.Dispatch):
            outcome, detail = "dispatch", command.target
        elif isinstance(command, events.Refuse):
            outcome, detail = "refuse", str(command.reason)
    item = placement.build_queued_request(state, arrived, now_s)
    waiting = sum(request.arrived.service == arrived.service
                  for request in state.queue.requests.values())
    targets = tuple(
        _report(state, state.view.targets[name], item, now_s)
        for name in sorted(state.view.groups.get(arrived.service, ())))
    return Explanation(outcome, detail, waiting, tuple(sorted(state.evacuated)),
                       targets)


def _report(state: placement.State, target_view: load_view.TargetView,
            item: queueing.QueuedRequest, now_s: float) -> TargetReport:
    target = target_view.target
    peers = len(state.view.peers)
    return TargetReport(
        target.name, target.failure_domain,
        round(admission.estimate_use(target_view, item.is_long, peers, now_s),
              3), str(target_speeds.class_of(state.speeds, target.name)),
        round(health.weight(state.health_state, target.name), 2),
        _find_obstacle(state, target_view, item, now_s))


def _find_obstacle(state: placement.State, target_view: load_view.TargetView,
                   item: queueing.QueuedRequest, now_s: float) -> str:
    """Returns why a target does not get a request now, or an empty string."""
    target = target_view.target
    version = item.arrived.software_version
    peers = len(state.view.peers)
    checks = (
        ("leaving", target.name in state.leaving),
        ("other_software_version", version
         not in ("", target.software_version)),
        ("failed_recently", now_s < target_view.avoid_until_s),
        ("rate_limited",
         not rate_limits.may_send(state.rates, target.name, now_s)),
        ("closed",
         not target_backoff.may_send(state.backoff, target.name, now_s)),
        ("cold", not cold_targets.may_send(state.cold, target.name, now_s)),
        ("hung", health.weight(state.health_state, target.name) == 0.0),
        ("no_room", not admission.fits(target_view, item.profile, item.is_long,
                                       peers, now_s)),
    )
    return next((name for name, holds in checks if holds), "")
