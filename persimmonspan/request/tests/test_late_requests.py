"""Tests that requests which are late in any case wait behind the others.

They guard against a crest at which requests that wait in arrival order all
start a little too late.
"""

import random

from persimmonspan.request import events
from persimmonspan.request import scheduler

_KIND = events.KindPolicy("flag", "s", 1.0, True, True, 6.0, 1.5)
_TARGET = events.Target("e", "s", "10.0.0.1:80", "d", 27_000, 1)


def _arrive(name, deadline_s):
    return events.Arrived(name, "w", "flag", "s", 2000, 40, deadline_s, name)


def _play(kind, *timed_events):
    """Returns the requests in the order in which they were dispatched."""
    state, rng = scheduler.State(), random.Random(1)
    dispatched = []
    changed = events.TargetsChanged(1, (_TARGET,), (kind,), ())
    for at_s, event in ((0.0, changed), *timed_events):
        state, commands = scheduler.step(state, event, at_s, rng)
        dispatched += [
            command.request_id
            for command in commands
            if isinstance(command, events.Dispatch)
        ]
    return dispatched


def _ended(name):
    return events.AttemptEnded(name, "e", events.Outcome.COMPLETED, 8)


_LOAD = ((0.0, _arrive("running", 6.0)), (0.1, _arrive("late", 6.1)),
         (1.5, _arrive("timely", 7.5)), (1.6, events.Tick()),
         (1.7, _ended("running")), (2.0, _ended("timely")))


def test_request_in_time_passes_one_that_is_late():
    assert _play(_KIND, *_LOAD) == ["running", "timely", "late"]


def test_arrival_order_holds_without_a_latency_objective():
    kind = _KIND._replace(latency_objective_s=0.0)
    assert _play(kind, *_LOAD[:-1],
                 (2.0, _ended("late"))) == ["running", "late", "timely"]


def test_late_request_leaves_an_engine_that_prefills_to_others():
    target = _TARGET._replace(max_running=24)
    state, rng = scheduler.State(), random.Random(1)
    for at_s, event in ((0.0, events.TargetsChanged(1, (target,), (_KIND,),
                                                    ())),
                        (0.0, events.PeerStarted("e", 14_000)),
                        (0.1, _arrive("late",
                                      6.1)), (1.5, events.PeerStarted("e",
                                                                      500))):
        state, _ = scheduler.step(state, event, at_s, rng)
    state, commands = scheduler.step(state, events.Tick(), 1.6, rng)
    assert not any(isinstance(item, events.Dispatch) for item in commands)
    _, commands = scheduler.step(state, events.Tick(), 4.0, rng)
    assert any(isinstance(item, events.Dispatch) for item in commands)
