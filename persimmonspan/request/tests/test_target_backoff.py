"""Tests of the pauses of targets in virtual time."""

import random

import pytest

from persimmonspan import errors
from persimmonspan.request import events
from persimmonspan.request import scheduler
from persimmonspan.request import target_backoff

_DEADLINE_S = 10.0
_TICK_S = 0.05


class _Daemon:
    """A scheduler whose requests to one service end after a fixed time."""

    def __init__(self, targets=2, slots=1000, seed=1):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.state = scheduler.State()
        self.sent = []  # Time and target of each dispatch.
        self.refused = []
        self.names = tuple(f"t{i}" for i in range(targets))
        self.count = 0
        self.send(
            events.TargetsChanged(
                1,
                tuple(
                    events.Target(name, "desk", "", "a", 0, slots)
                    for name in self.names),
                (events.KindPolicy("call", "desk", 1.0, True, True, 10.0),),
                ()))

    def send(self, event):
        """Applies an event and returns the commands."""
        self.state, commands = scheduler.step(self.state, event, self.now_s,
                                              self.rng)
        for command in commands:
            if isinstance(command, events.Dispatch):
                self.sent.append((self.now_s, command.target))
            elif isinstance(command, events.Refuse):
                self.refused.append(command)
        return commands

    def arrive(self, time_s=_DEADLINE_S):
        """Applies the arrival of a new request and returns the commands."""
        self.count += 1
        return self.send(
            events.Arrived(f"r{self.count}", "w", "call", "desk", 0, 0,
                           self.now_s + time_s, f"f{self.count}"))

    def run(self, time_s):
        """Lets time pass with ticks."""
        for _ in range(round(time_s / _TICK_S)):
            self.now_s += _TICK_S
            self.send(events.Tick())

    def end(self, request_id, target, outcome):
        """Ends an attempt."""
        self.send(events.AttemptEnded(request_id, target, outcome))


def test_closed_target_gets_no_request_while_another_is_open():
    daemon = _Daemon()
    daemon.send(events.TargetClosed("t0", 3.0))
    for _ in range(50):
        daemon.arrive()
    assert {target for _, target in daemon.sent} == {"t1"}


def test_requests_that_waited_for_an_opening_are_spread():
    daemon = _Daemon(targets=1)
    for _ in range(200):  # The rate of the lane decides how many may wait.
        daemon.arrive()
    daemon.sent.clear()
    daemon.send(events.TargetClosed("t0", 2.0))
    for _ in range(100):
        daemon.arrive()
    assert not daemon.sent and not daemon.refused
    daemon.run(2.0)
    daemon.send(events.TargetOpened("t0"))
    opened_s = daemon.now_s
    daemon.run(target_backoff.SLOW_START_S + _TICK_S)
    sent_s = [at_s - opened_s for at_s, _ in daemon.sent]
    assert len(sent_s) == 100
    for steps in range(1, 7):
        assert sum(at_s < (steps - 0.5) * target_backoff.DOUBLING_INTERVAL_S
                   for at_s in sent_s) <= 2**(steps - 1)


def test_daemons_that_were_turned_away_together_do_not_return_together():
    rng = random.Random(3)
    opens_s = sorted(target_backoff.draw_pause_s(4.0, rng) for _ in range(200))
    assert opens_s[0] >= 4.0
    busiest = max(
        sum(at_s <= other_s < at_s + 0.1
            for other_s in opens_s)
        for at_s in opens_s)
    assert busiest <= 40


@pytest.mark.parametrize("time_s, is_refused", [(2.0, True), (4.0, False)])
def test_request_waits_only_if_a_target_opens_in_time(time_s, is_refused):
    daemon = _Daemon()
    daemon.send(events.TargetClosed("t0", 3.0))
    daemon.send(events.TargetClosed("t1", 9.0))
    daemon.arrive(time_s)
    assert bool(daemon.refused) == is_refused
    if is_refused:
        refusal = daemon.refused[0]
        assert refusal.run_state is errors.RunState.NOT_RUN
        assert 3.0 <= refusal.retry_after_s <= 4.5
        return
    daemon.run(3.2)
    assert [target for _, target in daemon.sent] == ["t0"]


def test_waiting_request_is_refused_as_soon_as_all_targets_open_too_late():
    daemon = _Daemon(slots=1)
    for _ in range(3):
        daemon.arrive()
    assert len(daemon.sent) == 2
    daemon.send(events.TargetClosed("t0", 20.0))
    assert not daemon.refused
    daemon.send(events.TargetClosed("t1", 30.0))
    assert [item.request_id for item in daemon.refused] == ["r3"]
    assert 20.0 <= daemon.refused[0].retry_after_s <= 21.5


def test_retry_waits_for_an_untried_target_that_opens_in_time():
    daemon = _Daemon()
    daemon.send(events.TargetClosed("t1", 2.0))
    daemon.arrive()
    daemon.send(events.TargetClosed("t0", 60.0))
    daemon.end("r1", "t0", events.Outcome.REFUSED)
    assert not daemon.refused
    daemon.run(2.1)
    assert [target for _, target in daemon.sent] == ["t0", "t1"]


def test_retry_is_refused_if_untried_targets_open_too_late():
    daemon = _Daemon()
    daemon.send(events.TargetClosed("t1", 30.0))
    daemon.arrive()
    daemon.send(events.TargetClosed("t0", 5.0))
    daemon.end("r1", "t0", events.Outcome.REFUSED)
    assert [item.run_state for item in daemon.refused
           ] == [errors.RunState.NOT_RUN]
    assert 5.0 <= daemon.refused[0].retry_after_s <= 6.5


def test_request_whose_target_closed_before_it_was_sent_keeps_its_attempts():
    daemon = _Daemon(targets=1)
    daemon.arrive()
    daemon.send(events.TargetClosed("t0", 1.0))
    daemon.end("r1", "t0", events.Outcome.TARGET_CLOSED)
    assert not daemon.refused and len(daemon.state.queue.requests) == 1
    daemon.run(1.1)
    assert [target for _, target in daemon.sent] == ["t0", "t0"]


def test_target_that_opens_gets_waiting_requests_before_the_next_tick():
    daemon = _Daemon(targets=1)
    daemon.send(events.TargetClosed("t0", 3.0))
    daemon.arrive()
    daemon.now_s += 0.5
    daemon.send(events.TargetOpened("t0"))
    assert daemon.sent == [(daemon.now_s, "t0")]


def test_copy_is_not_placed_at_a_closed_target():
    rng = random.Random(1)
    state = scheduler.State()
    targets = tuple(
        events.Target(f"e{i}", "m", "", f"d{i}", 20_000, 32) for i in range(3))
    kind = events.KindPolicy("draft", "m", 8, False, False, 60)
    state, _ = scheduler.step(state,
                              events.TargetsChanged(1, targets, (kind,), ()),
                              0.0, rng)
    state, _ = scheduler.step(state, events.TargetClosed("e2", 50.0), 0.0, rng)
    for number in range(6):
        state, commands = scheduler.step(
            state,
            events.Arrived(f"r{number}",
                           "w",
                           "draft",
                           "m",
                           100,
                           100,
                           60.0,
                           f"f{number}",
                           is_idempotent=False,
                           wants_backup=True), 1.0, rng)
        assert "e2" not in (commands[0].target, commands[0].backup)


def test_running_stream_is_not_copied_to_or_from_a_closed_target():
    rng = random.Random(1)
    state = scheduler.State()
    targets = tuple(
        events.Target(f"e{i}", "m", "", "d", 20_000, 32) for i in range(2))
    kind = events.KindPolicy("draft", "m", 8, False, False, 60)
    state, _ = scheduler.step(
        state, events.TargetsChanged(1, targets[:1], (kind,), ()), 0.0, rng)
    state, _ = scheduler.step(
        state,
        events.Arrived("r",
                       "w",
                       "draft",
                       "m",
                       100,
                       9000,
                       60.0,
                       "f",
                       is_idempotent=False,
                       wants_backup=True), 1.0, rng)
    state, _ = scheduler.step(state, events.FirstToken("r", "e0"), 1.0, rng)
    state, _ = scheduler.step(state,
                              events.TargetsChanged(1, targets, (kind,), ()),
                              1.0, rng)
    evacuations = []
    for now_s, event in ((1.0, events.TargetClosed("e1", 1.0)),
                         (1.1, events.TargetLeaving("e0")),
                         (1.2, events.TargetClosed("e0", 2.0)),
                         (2.3, events.Progressed("r", "e0", 100)),
                         (3.3, events.Progressed("r", "e0", 200))):
        state, commands = scheduler.step(state, event, now_s, rng)
        evacuations += [(now_s, item.target)
                        for item in commands
                        if isinstance(item, events.Evacuate)]
    assert evacuations == [(3.3, "e1")]
