"""Tests that requests which are late in any case wait behind the others.

They guard against a crest at which requests that wait in arrival order all
start a little too late.
"""

import math
import random

from persimmonspan.request import events
from persimmonspan.request import scheduler

_KIND = events.KindPolicy("flag", "s", 1.0, True, True, 6.0)
_OBJECTIVE_S = 1.5
_TARGET = events.Target("e", "s", "10.0.0.1:80", "d", 27_000, 1)


def _arrive(name, deadline_s, latency_objective_s=_OBJECTIVE_S):
    return events.Arrived(name,
                          "w",
                          "flag",
                          "s",
                          2000,
                          40,
                          deadline_s,
                          name,
                          latency_objective_s=latency_objective_s)


def _play(*timed_events):
    """Returns the requests in the order in which they were dispatched."""
    state, rng = scheduler.State(), random.Random(1)
    dispatched = []
    changed = events.TargetsChanged(1, (_TARGET,), (_KIND,), ())
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


def _load(last, **objective):
    return ((0.0, _arrive("running", 6.0,
                          **objective)), (0.1, _arrive("late", 6.1,
                                                       **objective)),
            (1.5, _arrive("timely", 7.5, **objective)), (1.6, events.Tick()),
            (1.7, _ended("running")), (2.0, _ended(last)))


def test_request_in_time_passes_one_that_is_late():
    assert _play(*_load("timely")) == ["running", "timely", "late"]


def test_arrival_order_holds_without_a_latency_objective():
    assert _play(*_load("late", latency_objective_s=math.inf)) == [
        "running", "late", "timely"
    ]


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
