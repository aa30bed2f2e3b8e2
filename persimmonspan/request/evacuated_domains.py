"""Stops new work at the targets of failure domains that are evacuated.

Operators evacuate a failure domain before work on it, and let it return later.
Its targets are no longer listed meanwhile, so that no request, retry, hedged
request, probe, handover or copy is placed there. What runs there ends there. A
copy there of a request that runs elsewhere counts as none.

The capacity of a service falls at once. The rates by which the lanes of its
queue are judged fall by the share of the slots that is lost; waiting requests
that can then no longer start in time are refused at once, those with the least
worth for their work first. If no target is left, all of them are.

See Also:
    `persimmonspan.process.evacuated_set`: which domains are evacuated.
    `persimmonspan.request.cold_targets`: targets of a domain that returns.
"""

import collections
import collections.abc
import math
import random

from persimmonspan import errors
from persimmonspan.process import load_view
from persimmonspan.request import choice
from persimmonspan.request import evacuation
from persimmonspan.request import events
from persimmonspan.request import placement
from persimmonspan.request import queueing


def select_targets(targets: collections.abc.Iterable[events.Target],
                   evacuated: frozenset[str]) -> tuple[events.Target, ...]:
    """Returns the targets that may get new work."""
    return tuple(
        target for target in targets if target.failure_domain not in evacuated)


def compute_lost_shares(targets: collections.abc.Iterable[events.Target],
                        before: frozenset[str],
                        after: frozenset[str]) -> dict[str, float]:
    """Returns which share of its slots each service lost, if it lost some.

    Args:
        targets: All registered targets.
        before: The failure domains that were evacuated.
        after: Those that are evacuated now.

    >>> targets = [events.Target("a", "s", "", "d1", max_running=6),
    ...            events.Target("b", "s", "", "d2", max_running=2)]
    >>> compute_lost_shares(targets, frozenset(), frozenset(["d1"]))
    {'s': 0.75}
    """
    slots: collections.Counter[str] = collections.Counter()
    lost: collections.Counter[str] = collections.Counter()
    for target in select_targets(targets, before):
        slots[target.service] += target.max_running
        if target.failure_domain in after:
            lost[target.service] += target.max_running
    return {service: count / slots[service] for service, count in lost.items()}


def apply(state: placement.State, targets: tuple[events.Target, ...],
          evacuated: frozenset[str], now_s: float,
          rng: random.Random) -> placement.Result:
    """Applies a change of the evacuated domains, if there is one.

    Args:
        state: The state, in whose view these targets are not listed any more.
        targets: All registered targets.
        evacuated: The failure domains that are evacuated now.
        now_s: Time.
        rng: Source of randomness.
    """
    before = state.evacuated
    if evacuated == before:
        return state, []
    state = state._replace(evacuated=evacuated)
    added = evacuated - before
    commands: list[events.Command] = []
    for running in state.running.values():
        if running.backup is not None and _is_in(state, running.backup, added):
            state, more = _drop_backup(state, running, now_s, rng)
            commands += more
    lost_shares = compute_lost_shares(targets, before, evacuated)
    for service, share in lost_shares.items():
        state = state._replace(
            queue=queueing.scale_rates(state.queue, service, 1 - share))
    state, more = _refuse_late(state, lost_shares, now_s, rng)
    return state, commands + more


def _is_in(state: placement.State, target: str,
           domains: frozenset[str]) -> bool:
    item = state.view.targets.get(target)
    return item is not None and item.target.failure_domain in domains


def _drop_backup(state: placement.State, running: placement.RunningRequest,
                 now_s: float, rng: random.Random) -> placement.Result:
    """Forgets the copy of a request; plans another if its target leaves."""
    view = load_view.remove_copy(state.view, running.backup,
                                 running.backup_profile)
    running = running._replace(backup=None, copy_ordered_s=math.inf)
    state = state._replace(view=view,
                           running=state.running.set(
                               running.item.arrived.request_id, running))
    commands: list[events.Command] = [
        events.Count("backup_in_evacuated_domain")
    ]
    if running.target in state.leaving:
        state, more = evacuation.evacuate(state, running, now_s, rng)
        commands += more
    return state, commands


def _refuse_late(state: placement.State,
                 services: collections.abc.Container[str], now_s: float,
                 rng: random.Random) -> placement.Result:
    """Refuses the waiting requests of services that start too late."""
    commands: list[events.Command] = []
    waiting = [
        item for item in state.queue.requests.values()
        if item.arrived.service in services
    ]
    without_target = {
        item.arrived.request_id
        for item in waiting
        if not choice.has_eligible_target(state.view, item.arrived.service,
                                          state.leaving, item.tried_targets,
                                          item.arrived.software_version)
    }
    late = select_late(state.queue,
                       (item for item in waiting
                        if item.arrived.request_id not in without_target),
                       now_s)
    for item in waiting:
        request_id = item.arrived.request_id
        if request_id in without_target:
            reason = errors.Code.NO_TARGET
        elif request_id in late:
            reason = errors.Code.OVERLOADED
        else:
            continue
        state, refusal = placement.refuse(state, item, reason, now_s, rng)
        state = state._replace(
            queue=queueing.remove_and_rescore(state.queue, item, now_s))
        commands += [*refusal, events.Count("evacuation_refused")]
    return state, commands


def select_late(queue: queueing.Queue,
                waiting: collections.abc.Iterable[queueing.QueuedRequest],
                now_s: float) -> frozenset[str]:
    """Returns the ids of waiting requests that can no longer start in time.

    Requests are kept in the order of their worth for the same work, as long as
    their lane and their service start as many before the latest start.
    """
    lane_rates = queueing.rates_per_s(queue, now_s)
    service_rates: collections.Counter[str] = collections.Counter()
    for (service, _, _), rate in lane_rates.items():
        service_rates[service] += rate
    kept: collections.Counter[str | queueing.LaneKey] = collections.Counter()
    late = set()
    for item in sorted(waiting,
                       key=lambda item:
                       (-item.worth / item.work, item.arrived_s, item.slot)):
        lane, service = item.lane_key, item.arrived.service
        if (kept[lane] <= queueing.max_waiting(lane_rates.get(lane, 0.0), item,
                                               now_s) and kept[service]
                <= queueing.max_waiting(service_rates[service], item, now_s)):
            kept.update((lane, service))
        else:
            late.add(item.arrived.request_id)
    return frozenset(late)
