"""Plays requests with a part that crashes engines to several schedulers.

Daemons run `scheduler.step` and tell each other of the quarantine after a
delay. Requests that contain the part crash the engine that begins to answer
them; sound requests share their first part. An engine is back after some
seconds under a new name. Time is virtual.
"""

import heapq
import itertools
import random

import pytest

from persimmonspan.request import events
from persimmonspan.request import scheduler

_RUN_S = 30.0
_PLAY_S = 4.0  # When requests with the part begin to come.
_SHARE_DELAY_S = 0.3
_FIRST_TOKEN_S = 0.4
_ANSWER_S = 3.0
_RESTART_S = 4.0
_STABILITY_S = 3.0
_FIRST_PARTS = 5
_BAD = "part:bad"
# Bounds of the operators: once five engines have crashed and the daemons had
# time to learn of it, three requests may follow; sound requests that share a
# part are then served at least half as often as before.
_CRASHES = 5
_MAX_LATE_REQUESTS = 3
_MIN_SERVED_SHARE = 0.5


class _World:
    """Daemons, engines, and what happened to requests."""

    def __init__(self, seed, bad_per_s, daemons=8, engines=12, sound_per_s=8.0):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.order = itertools.count()
        self.agenda = []
        self.states = {f"d{i}": scheduler.State() for i in range(daemons)}
        self.engines = {f"e{i}" for i in range(engines)}
        self.names = itertools.count(engines)
        self.parts = {}
        self.running = {}  # Request id to daemon and engine.
        self.crashes_s, self.bad_sent_s = [], []
        self.sound = {}  # Request id to arrival time and whether it began.
        self.tell_targets()
        self.schedule_arrivals(sound_per_s, bad_per_s)

    def schedule_arrivals(self, sound_per_s, bad_per_s):
        """Draws the arrivals of the whole run."""
        for rate, start_s, is_bad in ((sound_per_s, 0.0, False),
                                      (bad_per_s, _PLAY_S, True)):
            at_s = start_s + self.rng.expovariate(rate)
            while at_s < _RUN_S:
                self.later(at_s, self.arrive, is_bad)
                at_s += self.rng.expovariate(rate)

    def later(self, at_s, action, *arguments):
        """Schedules an action."""
        heapq.heappush(self.agenda, (at_s, next(self.order), action, arguments))

    def play(self):
        """Plays the run."""
        for i in range(int(_RUN_S / 0.05)):
            for name in self.states:
                self.later(0.05 * i, self.send, name, events.Tick())
        while self.agenda:
            self.now_s, _, action, arguments = heapq.heappop(self.agenda)
            action(*arguments)

    def tell_targets(self):
        """Tells all daemons which engines there are."""
        targets = tuple(
            events.Target(name, "m", "", "a", 30_000, 24)
            for name in sorted(self.engines))
        kinds = (events.KindPolicy("draft", "m", 1.0, False, False, 30.0),)
        for name in self.states:
            self.send(
                name,
                events.TargetsChanged(1, targets, kinds,
                                      (events.WorkspaceShare("w", 1.0),)))

    def arrive(self, is_bad):
        """Lets a request arrive at a daemon."""
        request_id = f"r{next(self.order)}"
        first = f"part:{self.rng.randrange(_FIRST_PARTS)}"
        parts = (first, _BAD) if is_bad else (first, f"part:{request_id}")
        self.parts[request_id] = parts
        if not is_bad:
            self.sound[request_id] = (self.now_s, False)
        self.send(
            self.rng.choice(sorted(self.states)),
            events.Arrived(request_id,
                           "w",
                           "draft",
                           "m",
                           300,
                           400,
                           self.now_s + 20.0,
                           request_id,
                           parts,
                           False,
                           max_attempts=1))

    def send(self, name, event):
        """Applies an event at a daemon and carries out its commands."""
        self.states[name], commands = scheduler.step(self.states[name], event,
                                                     self.now_s, self.rng)
        for command in commands:
            if isinstance(command, events.ShareQuarantine):
                for other in self.states:
                    if other != name:
                        self.later(self.now_s + _SHARE_DELAY_S, self.send,
                                   other, events.QuarantineShared(*command))
            elif isinstance(command, events.Dispatch):
                self.dispatch(name, command)
            elif isinstance(command, events.CancelAttempt):
                self.running.pop(command.request_id, None)

    def dispatch(self, name, command):
        """Runs a request at an engine."""
        request_id, engine = command.request_id, command.target
        if engine not in self.engines:
            self.later(
                self.now_s, self.send, name,
                events.AttemptEnded(request_id, engine,
                                    events.Outcome.CONNECT_FAILED))
            return
        self.running[request_id] = name, engine
        is_bad = _BAD in self.parts[request_id]
        if is_bad:
            self.bad_sent_s.append(self.now_s)
        self.later(self.now_s + _FIRST_TOKEN_S * self.rng.uniform(0.5, 1.5),
                   self.crash if is_bad else self.begin, request_id)

    def begin(self, request_id):
        """Lets an engine answer a sound request."""
        if request_id not in self.running:
            return
        name, engine = self.running[request_id]
        self.sound[request_id] = (self.sound[request_id][0], True)
        self.send(name, events.FirstToken(request_id, engine))
        self.later(self.now_s + 0.3, self.progress, request_id)
        self.later(self.now_s + _ANSWER_S, self.complete, request_id)

    def progress(self, request_id):
        """Reports that an answer goes on."""
        if request_id in self.running:
            name, engine = self.running[request_id]
            self.send(name, events.Progressed(request_id, engine, 40))

    def complete(self, request_id):
        """Ends an answer."""
        if request_id in self.running:
            name, engine = self.running.pop(request_id)
            self.send(
                name,
                events.AttemptEnded(request_id, engine,
                                    events.Outcome.COMPLETED, 200))

    def crash(self, request_id):
        """Crashes the engine of a request."""
        if request_id not in self.running:
            return
        engine = self.running[request_id][1]
        self.crashes_s.append(self.now_s)
        self.engines.discard(engine)
        daemons = set()
        for other, (name, where) in list(self.running.items()):
            if where == engine:
                del self.running[other]
                daemons.add(name)
                self.send(
                    name,
                    events.AttemptEnded(
                        other, engine, events.Outcome.FAILED_AFTER_FIRST_TOKEN))
        for name in sorted(daemons):
            self.later(self.now_s + 0.01, self.send, name,
                       events.TargetDied(engine))
        self.later(self.now_s + _RESTART_S, self.restart)

    def restart(self):
        """Lets an engine come back under a new name."""
        self.engines.add(f"e{next(self.names)}")
        self.tell_targets()

    def served_share(self, from_s, to_s):
        """Returns which share of the sound requests of a time began."""
        began = [
            has_begun for at_s, has_begun in self.sound.values()
            if from_s <= at_s < to_s
        ]
        return sum(began) / len(began)


@pytest.mark.parametrize("bad_per_s", [0.5, 2.0, 5.0])
@pytest.mark.parametrize("seed", range(4))
def test_part_is_refused_in_time_and_requests_that_share_parts_are_served(
        seed, bad_per_s):
    world = _World(seed, bad_per_s)
    world.play()
    assert world.crashes_s
    if len(world.crashes_s) >= _CRASHES:
        late_s = world.crashes_s[_CRASHES - 1] + _STABILITY_S
        late = [at_s for at_s in world.bad_sent_s if at_s > late_s]
        assert len(late) <= _MAX_LATE_REQUESTS
    from_s = world.crashes_s[:_CRASHES][-1] + 2 * _STABILITY_S
    before = world.served_share(0.0, _PLAY_S)
    assert world.served_share(from_s, _RUN_S) >= _MIN_SERVED_SHARE * before > 0
