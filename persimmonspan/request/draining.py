"""Refuses waiting requests that would outlast a planned stop.

When a daemon is told to stop, no request that it still sends to a target may
run longer than until the end of the grace period. Requests that wait and whose
deadline is later are refused as not run, all at once, so that their callers
have the most time left at another daemon. Those that waited longest may return
first. The load: the queue of a crowded daemon, some thousand requests.

See Also:
    `persimmonspan.process.planned_stop`: ends what still runs.
    `persimmonspan.process.edge`: refuses requests that arrive later.
"""

import math

from persimmonspan import errors
from persimmonspan.request import events
from persimmonspan.request import placement
from persimmonspan.request import queueing

# Between the returns of two callers, and of the first and the last one. The
# queues of other daemons keep the order in which they return.
_RETURN_INTERVAL_S = 0.01
_MAX_RETURN_S = 0.5


def refuse_waiting(state: placement.State, now_s: float) -> placement.Result:
    """Refuses what waits and may outlast the stop, if one has begun."""
    if state.cut_s == math.inf:
        return state, []
    refused = sorted((item for item in state.queue.requests.values()
                      if outlasts_stop(state, item)),
                     key=lambda item: item.arrived_s)
    commands: list[events.Command] = []
    for index, item in enumerate(refused):
        state = state._replace(
            queue=queueing.remove(state.queue, item.arrived.request_id))
        state, more = refuse(state, item,
                             min(_MAX_RETURN_S, index * _RETURN_INTERVAL_S),
                             now_s)
        commands += more
    return state, commands


def outlasts_stop(state: placement.State, item: queueing.QueuedRequest) -> bool:
    """Returns whether a request that is sent now may be cut by the stop."""
    return item.arrived.deadline_s > state.cut_s


def refuse(state: placement.State, item: queueing.QueuedRequest,
           retry_after_s: float, now_s: float) -> placement.Result:
    """Refuses a request so that its caller goes to another daemon."""
    run_state = (errors.RunState.NOT_RUN
                 if item.is_not_run else errors.RunState.UNKNOWN)
    state = placement.record_request_end(state, item.arrived,
                                         not item.tried_targets, now_s)
    return state, [
        events.Refuse(item.arrived.request_id, errors.Code.DRAINING,
                      retry_after_s if item.is_not_run else None, run_state),
        events.Count("queued_request_refused_by_stop")
    ]
