"""Moves running requests to another target when theirs leaves.

Engines leave with a notice of about two seconds, while generations run for ten
and may not be run again. After its stream is interrupted, a request continues
from a copy of its memory: a backup that another engine kept from the start, or
a copy that is made at the notice.

See Also:
    `persimmonspan.request.choice`: `backup` and `choose_evacuation_target`.
    `persimmonspan.request.copies`: carries out `events.Evacuate`.
"""

import math
import random

from persimmonspan import errors
from persimmonspan.process import load_view
from persimmonspan.request import choice
from persimmonspan.request import events
from persimmonspan.request import placement
from persimmonspan.request import quarantine
from persimmonspan.request import target_backoff

# The source updates a backup several times a second. With the time of the
# notice, a backup of this age is complete when the target ends.
_BACKUP_READY_S = 0.3
# Targets discard a copy that is unused for some seconds.
_COPY_RENEWAL_INTERVAL_S = 1.5


def evacuate(state: placement.State, running: placement.RunningRequest,
             now_s: float, rng: random.Random) -> placement.Result:
    """Plans the move of a request whose target leaves.

    A request needs no move if it may run again elsewhere, has no token yet or
    has a usable backup. A closed target cannot be asked for a copy; see
    `renew_copy`.
    """
    arrived = running.item.arrived
    if not arrived.wants_backup or not running.tokens:
        return state, []
    if target_backoff.is_closed(state.backoff, running.target, now_s):
        return state, []
    if running.backup is not None and _has_usable_backup(state, running, now_s):
        return state, []
    return _plan_evacuation(state, running, now_s, rng)


def retry_move(state: placement.State, running: placement.RunningRequest,
               now_s: float, rng: random.Random) -> placement.Result:
    """Plans another move after the copy to an evacuation target failed."""
    running = running._replace(
        rejected_evacuation_targets=running.rejected_evacuation_targets +
        (running.backup,))
    return _plan_evacuation(state, running, now_s, rng)


def renew_copy(state: placement.State, running: placement.RunningRequest,
               now_s: float, rng: random.Random) -> placement.Result:
    """Orders a new copy of a request that still runs at its leaving target.

    Targets discard unused copies, and some targets run for long after the
    notice. A request that had to wait for a closed target is planned now.
    """
    if target_backoff.is_closed(state.backoff, running.target, now_s):
        return state, []
    if state.backoff.pauses and (running.backup is None or
                                 math.isinf(running.copy_ordered_s)):
        return evacuate(state, running, now_s, rng)
    if (running.backup is None or
            now_s - running.copy_ordered_s < _COPY_RENEWAL_INTERVAL_S):
        return state, []
    request_id = running.item.arrived.request_id
    running = running._replace(copy_ordered_s=now_s)
    return state._replace(running=state.running.set(request_id, running)), [
        events.Evacuate(request_id, running.backup)
    ]


def _plan_evacuation(state: placement.State, running: placement.RunningRequest,
                     now_s: float, rng: random.Random) -> placement.Result:
    """Plans a move and frees the room of the copy at its previous target."""
    arrived = running.item.arrived
    view = state.view
    if running.backup is not None:
        view = load_view.remove_copy(view, running.backup,
                                     running.backup_profile)
    wanted = choice.TargetQuery(
        arrived.service,
        running.profile,
        running.is_long,
        False, (running.target, *running.rejected_evacuation_targets),
        software_version=running.software_version)
    evacuation_target = None
    if not target_backoff.is_closed(state.backoff, running.target, now_s):
        evacuation_target = choice.choose_evacuation_target(
            view, wanted, placement.target_constraints(state), running.target,
            now_s, rng)
    commands: list[events.Command] = []
    if evacuation_target is not None:
        view = load_view.add_copy(view, evacuation_target, running.profile)
        commands.append(events.Evacuate(arrived.request_id, evacuation_target))
    running = running._replace(backup=evacuation_target,
                               backup_profile=running.profile,
                               copy_ordered_s=now_s)
    return state._replace(view=view,
                          running=state.running.set(arrived.request_id,
                                                    running)), commands


def _has_usable_backup(state: placement.State,
                       running: placement.RunningRequest, now_s: float) -> bool:
    """Returns whether the backup of a request is complete and stays."""
    target_names = state.view.groups.get(running.item.arrived.service, ())
    return (running.backup in target_names and
            running.backup not in state.leaving and
            now_s - running.first_token_s >= _BACKUP_READY_S)


def refuse_move(state: placement.State, event: events.RequestMoved,
                running: placement.RunningRequest,
                now_s: float) -> placement.Result:
    """Ends a stream that crashed too many targets before it reaches another.

    Its response has begun, so its caller sees a broken connection.
    """
    state = placement.release_attempt(state, event.request_id, running,
                                      running.tokens, now_s)
    state = placement.record_request_end(state, running.item.arrived, False,
                                         now_s)
    # The quarantine has recorded the run at the next target.
    not_sent = events.AttemptEnded(event.request_id, event.target,
                                   events.Outcome.CONNECT_FAILED)
    state = state._replace(
        suspects=quarantine.step(state.suspects, not_sent, now_s)[0])
    return state, [
        events.Refuse(event.request_id, errors.Code.QUARANTINED, None,
                      errors.RunState.RAN, running.item.arrived.fingerprint),
        events.Count("stream_move_refused_quarantined")
    ]


def record_move(state: placement.State, event: events.RequestMoved,
                running: placement.RunningRequest, now_s: float,
                rng: random.Random) -> placement.Result:
    """Records the move of a running request and chooses its next backup."""
    view = load_view.remove_attempt(state.view, running.target, running.profile,
                                    running.is_long, running.tokens > 0)
    if running.backup is not None:
        view = load_view.remove_copy(view, running.backup,
                                     running.backup_profile)
    if event.target not in view.targets:
        return state, [events.AssignBackup(event.request_id, None)]
    view = load_view.add_attempt(view, event.target, running.profile,
                                 running.is_long, now_s)
    if running.tokens:
        view = load_view.record_progress(view, event.target, 0, 0.0,
                                         running.profile.mean[0])
    item = running.item._replace(tried_targets=running.item.tried_targets +
                                 (event.target,))
    wanted = choice.TargetQuery(item.arrived.service,
                                running.profile,
                                running.is_long,
                                False,
                                software_version=running.software_version)
    backup = choice.backup(view, wanted, placement.target_constraints(state),
                           event.target, now_s, rng)
    if backup is not None:
        view = load_view.add_copy(view, backup, running.profile)
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
