"""Long requests of a leaving target go on elsewhere.

The load: engines are taken away with a notice of about two seconds, every few
seconds, while drafts run for ten.
"""

import random

from persimmonspan.process import load_view
from persimmonspan.request import events
from persimmonspan.request import scheduler

_CAPACITY = 30_000


class _Scheduler:

    def __init__(self, engines=4):
        self.state = scheduler.State()
        self.now_s = 0.0
        self.rng = random.Random(1)
        self.engines = [
            events.Target(f"e{i}", "drafts", f"10.0.0.{i}:80", "a", _CAPACITY,
                          24) for i in range(engines)
        ]
        self.list(self.engines)

    def list(self, engines):
        """Lists engines."""
        kind = events.KindPolicy("draft", "drafts", 1.0, False, False, 39.0)
        self.send(events.TargetsChanged(1, tuple(engines), (kind,), ()))

    def send(self, event, after_s=0.01):
        """Steps the scheduler; returns its commands but for counts."""
        self.now_s += after_s
        self.state, commands = scheduler.step(self.state, event, self.now_s,
                                              self.rng)
        return [
            command for command in commands
            if not isinstance(command, events.Count)
        ]

    def start(self, request_id):
        """Starts a draft up to its first token; returns its dispatch."""
        dispatch, = self.send(
            events.Arrived(request_id,
                           "w",
                           "draft",
                           "drafts",
                           3000,
                           2000,
                           self.now_s + 39.0,
                           request_id,
                           is_idempotent=False,
                           idempotency_key=request_id,
                           max_attempts=1,
                           wants_backup=True))
        self.send(events.FirstToken(request_id, dispatch.target))
        return dispatch


def test_a_draft_with_a_copy_needs_no_move():
    world = _Scheduler()
    dispatch = world.start("r")
    assert dispatch.backup not in (None, dispatch.target)
    assert not world.send(events.TargetLeaving(dispatch.target), 5.0)


def test_a_young_draft_is_moved_since_its_copy_is_not_there_yet():
    world = _Scheduler()
    dispatch = world.start("r")
    command, = world.send(events.TargetLeaving(dispatch.target), 0.1)
    assert command.target != dispatch.target


def test_a_refuge_without_room_is_followed_by_others_until_none_is_left():
    world = _Scheduler()
    dispatch = world.start("r")
    command, = world.send(events.TargetLeaving(dispatch.target), 0.1)
    refuges = [command.target]
    while command := world.send(events.MoveFailed("r", refuges[-1])):
        refuges.append(command[0].target)
    others = {engine.name for engine in world.engines} - {dispatch.target}
    assert sorted(refuges) == sorted(others)


def test_the_copy_of_a_draft_on_a_target_that_lingers_is_renewed():
    world = _Scheduler()
    dispatch = world.start("r")
    command, = world.send(events.TargetLeaving(dispatch.target), 0.1)
    progress = [
        world.send(events.Progressed("r", dispatch.target, tokens), 0.5)
        for tokens in (40, 80, 120, 160)
    ]
    assert progress == [[], [], [command], []]


def test_a_copy_from_the_start_needs_no_renewal():
    world = _Scheduler()
    dispatch = world.start("r")
    world.send(events.TargetLeaving(dispatch.target), 5.0)
    assert not world.send(events.Progressed("r", dispatch.target, 80), 5.0)


def test_a_draft_that_loses_its_copy_on_a_leaving_target_is_moved():
    world = _Scheduler()
    dispatch = world.start("r")
    assert not world.send(events.TargetLeaving(dispatch.target), 5.0)
    command, = world.send(events.TargetLeaving(dispatch.backup))
    assert command.target not in (dispatch.target, dispatch.backup)


def test_drafts_of_a_leaving_target_spread_over_refuges():
    """Daemons that see the same load must not choose the same refuge."""
    chosen = set()
    for seed in range(20):
        world = _Scheduler(engines=9)
        world.rng = random.Random(1)
        dispatch = world.start("r")
        world.rng = random.Random(seed)
        command, = world.send(events.TargetLeaving(dispatch.target), 0.1)
        chosen.add(command.target)
    assert len(chosen) >= 5


def test_a_draft_whose_copy_left_before_is_moved_to_a_listed_target():
    world = _Scheduler()
    dispatch = world.start("r")
    world.send(events.TargetLeaving(dispatch.backup), 5.0)
    world.list(
        [engine for engine in world.engines if engine.name != dispatch.backup])
    command, = world.send(events.TargetLeaving(dispatch.target))
    assert command.target not in (dispatch.target, dispatch.backup)


def test_a_draft_that_begins_on_a_leaving_target_is_moved_then():
    world = _Scheduler()
    dispatch, = world.send(
        events.Arrived("r",
                       "w",
                       "draft",
                       "drafts",
                       3000,
                       2000,
                       39.0,
                       "r",
                       is_idempotent=False,
                       wants_backup=True))
    assert not world.send(events.TargetLeaving(dispatch.target))
    command, = world.send(events.FirstToken("r", dispatch.target))
    assert isinstance(command, events.Evacuate)


def test_a_moved_draft_gets_a_new_copy():
    world = _Scheduler()
    dispatch = world.start("r")
    world.send(events.TargetLeaving(dispatch.target), 5.0)
    rearmed, = world.send(events.RequestMoved("r", dispatch.backup))
    assert isinstance(rearmed, events.AssignBackup)
    assert rearmed.backup not in (None, dispatch.target, dispatch.backup)
    assert not world.send(events.TargetLeaving(dispatch.backup), 5.0)


def test_no_load_is_left_when_all_drafts_have_ended():
    world = _Scheduler()
    for number in range(6):
        dispatch = world.start(f"r{number}")
        world.send(events.TargetLeaving(dispatch.target), 2.0)
        for request_id, running in list(world.state.running.items()):
            if running.target == dispatch.target:
                world.send(events.RequestMoved(request_id, running.backup))
        world.list(engine for engine in world.engines
                   if engine.name != dispatch.target)
        world.list(world.engines)
    for request_id, running in list(world.state.running.items()):
        world.send(
            events.AttemptEnded(request_id, running.target,
                                events.Outcome.COMPLETED, 100))
    for item in world.state.view.targets.values():
        assert (item.running, item.copies, item.copy_tokens) == (0, 0, 0.0)
        assert item.own == load_view.Profile()


def test_crowded_engines_keep_no_copies():
    world = _Scheduler(engines=2)
    backups = [world.start(f"r{number}").backup for number in range(9)]
    assert backups[0] is not None and backups[-1] is None
