"""Running requests that go on at another target when theirs leaves.

The load: engines are taken away with a notice of about two seconds, while
generations run for ten and may not be run again. Once it is cut, a request goes
on from a copy of its memory: one that another engine kept from its start, or
one that is made at the notice.

See Also:
    `persimmonspan.request.choice`: `backup` and `choose_evacuation_target`.
    `persimmonspan.request.copies`: carries out `events.Evacuate`.
"""

import math
import random

from persimmonspan.process import load_view
from persimmonspan.request import choice
from persimmonspan.request import events
from persimmonspan.request import placement

# A copy that is kept from the start is sent along several times a second; with
# the notice it is complete when the target ends.
_COPIED_S = 0.3
# Targets keep an unused copy for some seconds.
_RENEW_S = 1.5


def evacuate(state: placement.State, running: placement.RunningRequest,
             now_s: float, rng: random.Random) -> placement.Result:
    """Finds where a request goes on whose target leaves.

    A stream that can start anew elsewhere, that has not begun or of which a
    copy is kept needs no move.
    """
    arrived = running.item.arrived
    if not arrived.wants_backup or not running.tokens:
        return state, []
    if running.backup is not None and _has_copy(state, running, now_s):
        return state, []
    return _to_refuge(state, running, now_s, rng)


def move_failed(state: placement.State, running: placement.RunningRequest,
                now_s: float, rng: random.Random) -> placement.Result:
    """Finds another target for a request that its refuge had no room for."""
    running = running._replace(
        rejected_evacuation_targets=running.rejected_evacuation_targets +
        (running.backup,))
    return _to_refuge(state, running, now_s, rng)


def renew(state: placement.State, running: placement.RunningRequest,
          now_s: float) -> placement.Result:
    """Has a copy brought up to date whose stream still runs at its target.

    Targets forget copies that are not used, and some linger after the notice.
    """
    if running.backup is None or now_s - running.copy_ordered_s < _RENEW_S:
        return state, []
    request_id = running.item.arrived.request_id
    running = running._replace(copy_ordered_s=now_s)
    return state._replace(running=state.running.set(request_id, running)), [
        events.Evacuate(request_id, running.backup)
    ]


def _to_refuge(state: placement.State, running: placement.RunningRequest,
               now_s: float, rng: random.Random) -> placement.Result:
    """Plans a move; what was to keep the copy before is free again."""
    arrived = running.item.arrived
    view = state.view
    if running.backup is not None:
        view = load_view.uncopied(view, running.backup, running.backup_profile)
    wanted = choice.TargetQuery(
        arrived.service, running.profile, running.is_long, False,
        (running.target, *running.rejected_evacuation_targets))
    refuge = choice.choose_evacuation_target(
        view, wanted, placement.target_constraints(state), running.target,
        now_s, rng)
    commands: list[events.Command] = []
    if refuge is not None:
        view = load_view.copied(view, refuge, running.profile)
        commands.append(events.Evacuate(arrived.request_id, refuge))
    running = running._replace(backup=refuge,
                               backup_profile=running.profile,
                               copy_ordered_s=now_s)
    return state._replace(view=view,
                          running=state.running.set(arrived.request_id,
                                                    running)), commands


def _has_copy(state: placement.State, running: placement.RunningRequest,
              now_s: float) -> bool:
    """Returns whether the copy of a request may be relied on."""
    names = state.view.groups.get(running.item.arrived.service, ())
    return (running.backup in names and running.backup not in state.leaving and
            now_s - running.first_token_s >= _COPIED_S)


def moved(state: placement.State, event: events.RequestMoved,
          running: placement.RunningRequest, now_s: float,
          rng: random.Random) -> placement.Result:
    """Takes a running request to another target, and plans its next copy."""
    view = load_view.ended(state.view, running.target, running.profile,
                           running.is_long, running.tokens > 0)
    if running.backup is not None:
        view = load_view.uncopied(view, running.backup, running.backup_profile)
    if event.target not in view.targets:
        return state, [events.AssignBackup(event.request_id, None)]
    view = load_view.started(view, event.target, running.profile,
                             running.is_long, now_s)
    if running.tokens:
        view = load_view.progressed(view, event.target, 0, 0.0,
                                    running.profile.mean[0])
    item = running.item._replace(tried_targets=running.item.tried_targets +
                                 (event.target,))
    wanted = choice.TargetQuery(item.arrived.service, running.profile,
                                running.is_long, False)
    backup = choice.backup(view, wanted, placement.target_constraints(state),
                           event.target, now_s, rng)
    if backup is not None:
        view = load_view.copied(view, backup, running.profile)
    running = running._replace(item=item,
                               target=event.target,
                               backup=backup,
                               backup_profile=running.profile,
                               rejected_evacuation_targets=(),
                               copy_ordered_s=math.inf,
                               first_token_s=now_s,
                               last_progress_s=now_s)
    return state._replace(view=view,
                          running=state.running.set(
                              event.request_id, running)), [
                                  events.AssignBackup(event.request_id, backup)
                              ]
