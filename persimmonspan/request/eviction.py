"""Ends requests that can no longer be served before they have a response.

The quarantine refuses requests that crash their targets. A request whose
targets are all closed is refused as soon as they open too late for it, so that
its caller can go elsewhere.

See Also:
    `persimmonspan.request.quarantine`: which requests crash their targets.
    `persimmonspan.request.target_backoff`: when targets open.
"""

import random

from persimmonspan import errors
from persimmonspan.request import choice
from persimmonspan.request import events
from persimmonspan.request import hedge_placement
from persimmonspan.request import placement
from persimmonspan.request import quarantine
from persimmonspan.request import queueing


def refuse_quarantined(state: placement.State, now_s: float,
                       rng: random.Random) -> placement.Result:
    """Ends the requests that the quarantine refuses since its last change.

    Those that wait are refused. Those that run and have no token yet are
    cancelled, so that they do not crash their targets too.
    """
    commands: list[events.Command] = []
    for item in state.queue.requests.values():
        if quarantine.find_refused(state.suspects,
                                   placement.fingerprints(item.arrived), now_s):
            state, more = placement.refuse(state, item, errors.Code.QUARANTINED,
                                           now_s, rng)
            state = state._replace(
                queue=queueing.remove_and_rescore(state.queue, item, now_s))
            commands += more
    for request_id, running in state.running.items():
        fingerprint = quarantine.find_refused(
            state.suspects, placement.fingerprints(running.item.arrived), now_s)
        if fingerprint is None or running.tokens:
            continue
        state, running = hedge_placement.drop_other(state, running, now_s)
        state, cancel = placement.cancel_attempt(state, request_id, running,
                                                 now_s)
        commands += [
            cancel,
            events.Refuse(request_id, errors.Code.QUARANTINED, None,
                          errors.RunState.UNKNOWN, fingerprint)
        ]
    return state, commands


def refuse_late(state: placement.State, now_s: float,
                rng: random.Random) -> placement.Result:
    """Refuses waiting requests whose targets all open or warm up too late."""
    commands: list[events.Command] = []
    if not state.backoff.pauses and not state.cold.targets:
        return state, commands
    rules = placement.target_constraints(state)
    starts_s = {
        service: choice.earliest_start_s(state.view, service, rules, (), now_s)
        for service in state.view.groups
    }
    late = [
        item for item in state.queue.requests.values()
        if now_s < starts_s.get(item.arrived.service, now_s) and
        item.latest_start_s <= starts_s[item.arrived.service]
    ]
    for item in late:
        state, refusal = placement.refuse(state, item, errors.Code.OVERLOADED,
                                          now_s, rng)
        state = state._replace(
            queue=queueing.remove_and_rescore(state.queue, item, now_s))
        commands += refusal
    return state, commands
