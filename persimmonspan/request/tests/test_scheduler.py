"""Tests the commands of the scheduler after single faults and under load."""

import random

import pytest

from persimmonspan import errors
from persimmonspan.request import choice
from persimmonspan.request import events
from persimmonspan.request import scheduler

_KINDS = (events.KindPolicy("draft", "m", 8, False, True, 60),
          events.KindPolicy("check", "m", 5, True, True,
                            10), events.KindPolicy("pay", "p", 9, True, False,
                                                   5))
_SHARES = (events.WorkspaceShare("big", 5), events.WorkspaceShare("low", 1))


class SimulatedDaemon:
    """A scheduler state with its clock and random source."""

    def __init__(self, engines=2, capacity=20_000):
        self.rng = random.Random(1)
        self.now_s = 50.0
        self.state = scheduler.State()
        self.targets = tuple(
            events.Target(f"e{i}", "m", "", f"d{i}", capacity, 32)
            for i in range(engines)) + (events.Target("p0", "p", "", "d0", 0,
                                                      2),)
        self.count = 0
        self.send(events.TargetsChanged(1, self.targets, _KINDS, _SHARES))

    def send(self, event):
        """Applies an event and returns the commands."""
        self.state, commands = scheduler.step(self.state, event, self.now_s,
                                              self.rng)
        return commands

    def arrive(self, kind="draft", workspace="big", time_s=60.0, prompt=500):
        """Applies the arrival of a new request and returns the commands."""
        self.count += 1
        service = "p" if kind == "pay" else "m"
        return self.send(
            events.Arrived(f"r{self.count}", workspace, kind, service, prompt,
                           30_000, self.now_s + time_s, f"f{self.count}", (),
                           kind != "pay"))

    def fill(self):
        """Adds drafts until one has to wait."""
        while not self.state.queue.requests:
            self.arrive()

    def wait(self, seconds):
        """Advances the clock, applies a tick and returns the commands."""
        self.now_s += seconds
        return self.send(events.Tick())


def _commands_of_type(commands, kind):
    return [item for item in commands if isinstance(item, kind)]


def test_short_work_does_not_wait_behind_long_drafts():
    # Failure: drafts fill engines and queue, so that a check waits behind them.
    daemon = SimulatedDaemon()
    daemon.fill()
    dispatch = _commands_of_type(daemon.arrive("check", prompt=200),
                                 events.Dispatch)
    assert dispatch and dispatch[0].priority == 0


def test_memory_that_a_peer_uses_is_not_assigned_again():
    # Failure: a peer fills a target, and this daemon still sends work there.
    daemon = SimulatedDaemon(engines=1)
    daemon.send(
        events.PeerLoad("x", (events.TargetLoad(
            "e0", 9, 19_000,
            (18_000, 19_000, 19_000, 19_000, 15_000, 9_000), 2_000),)))
    assert not _commands_of_type(daemon.arrive(), events.Dispatch)
    daemon.send(events.PeerLoad("x", ()))
    assert _commands_of_type(daemon.wait(0.1), events.Dispatch)


def test_load_of_a_silent_peer_is_forgotten():
    # Failure: the load of a dead peer blocks a target forever.
    daemon = SimulatedDaemon(engines=1)
    daemon.send(events.PeerLoad("x", (events.TargetLoad("e0", 9, 19_900),)))
    daemon.arrive()
    assert daemon.state.queue.requests
    assert _commands_of_type(daemon.wait(11.0), events.Dispatch)


def test_wrong_estimates_do_not_overfill_memory():
    # Failure: after many short texts all drafts become 10 times longer, and
    # each is admitted as if it were short, so that the engine preempts.
    daemon = SimulatedDaemon(engines=1, capacity=60_000)
    for i in range(60):
        daemon.arrive()
        daemon.send(
            events.AttemptEnded(f"r{i + 1}", "e0", events.Outcome.COMPLETED,
                                100))
    held = {}
    for _ in range(80):
        for command in daemon.arrive() + daemon.wait(0.5):
            if isinstance(command, events.Dispatch):
                held[command.request_id] = 0
        for request_id in list(held):
            held[request_id] += 50
            if held[request_id] < 1000:
                daemon.send(
                    events.Progressed(request_id, "e0", held[request_id]))
                continue
            del held[request_id]
            daemon.send(
                events.AttemptEnded(request_id, "e0", events.Outcome.COMPLETED,
                                    1000))
        assert sum(held.values()) + 500 * len(held) <= 60_000


def test_waiting_request_is_refused_before_its_deadline_as_not_run():
    # Failure: a request waits although it can no longer end by its deadline.
    daemon = SimulatedDaemon(engines=1)
    daemon.fill()
    (request_id, item), = daemon.state.queue.requests.items()
    refusals = _commands_of_type(
        daemon.wait(item.latest_start_s - daemon.now_s + 0.2), events.Refuse)
    assert [r.request_id for r in refusals] == [request_id]
    assert refusals[0].run_state is errors.RunState.NOT_RUN
    assert refusals[0].retry_after_s > 0
    assert item.latest_start_s < item.arrived.deadline_s


def test_large_workspace_does_not_starve_a_small_one():
    # Failure: the workspace with most requests gets all free capacity.
    daemon = SimulatedDaemon(engines=1)
    live, started = [], {"big": 0, "low": 0}
    workspace_of = {}
    for _ in range(400):
        for workspace in ("big", "big", "big", "big", "big", "low"):
            commands = daemon.arrive("draft", workspace, prompt=3000)
            workspace_of[f"r{daemon.count}"] = workspace
            live += _commands_of_type(commands, events.Dispatch)
        live += _commands_of_type(daemon.wait(0.1), events.Dispatch)
        for command in live[:1]:
            started[workspace_of[command.request_id]] += 1
            live += _commands_of_type(
                daemon.send(
                    events.AttemptEnded(command.request_id, command.target,
                                        events.Outcome.COMPLETED, 300)),
                events.Dispatch)
            live.remove(command)
    assert started["low"] >= started["big"] / 5 / 2


def test_failed_request_that_may_have_run_is_not_retried():
    # Failure: a payment that may have run is sent again and runs twice.
    daemon = SimulatedDaemon()
    daemon.arrive("pay")
    commands = daemon.send(
        events.AttemptEnded("r1", "p0",
                            events.Outcome.FAILED_BEFORE_FIRST_TOKEN))
    refusal, = _commands_of_type(commands, events.Refuse)
    assert refusal.run_state is errors.RunState.UNKNOWN
    assert not _commands_of_type(commands, events.Dispatch)


def test_removed_target_keeps_its_running_attempt():
    # Failure: a configuration without the target drops the attempts that run
    # there, so that their ends are lost.
    daemon = SimulatedDaemon()
    target = _commands_of_type(daemon.arrive(), events.Dispatch)[0].target
    daemon.send(events.TargetsChanged(2, (), _KINDS, _SHARES))
    assert daemon.state.view.targets[target].running == 1
    assert _commands_of_type(daemon.arrive(),
                             events.Refuse)[0].reason == "no_target"
    daemon.send(events.AttemptEnded("r1", target, events.Outcome.COMPLETED, 9))
    assert target not in daemon.state.view.targets


def test_older_load_report_does_not_replace_a_newer_one():
    # Failure: a report that was measured earlier but arrives later is applied.
    daemon = SimulatedDaemon()
    daemon.send(events.LoadReported("e0", 0.1, 15_000, 20_000, 9, 2, 0))
    daemon.send(events.LoadReported("e0", 5.0, 0, 20_000, 0, 0, 0))
    item = daemon.state.view.targets["e0"]
    assert item.waiting == 2 and item.extra_tokens == 15_000


@pytest.mark.parametrize("size", (6, 24))
def test_subset_is_stable_and_spread_over_failure_domains(size):
    # Failure: the change of one target changes several targets of a daemon, or
    # its targets are spread unevenly over failure domains.
    targets = [
        events.Target(f"t{i}", "m", "", f"d{i % 12}") for i in range(2300)
    ]
    subset = choice.select_subset("daemon-7", targets, size)
    assert len({item.name for item in subset}) == size
    counts = [
        sum(item.failure_domain == f"d{i}"
            for item in subset)
        for i in range(12)
    ]
    assert max(counts) - min(counts) <= 1
    without = [item for item in targets if item is not subset[0]]
    assert len(
        set(choice.select_subset("daemon-7", without, size)) &
        set(subset)) == (size - 1)
    loads = [0] * 2300
    for i in range(330):
        for item in choice.select_subset(f"daemon-{i}", targets, size):
            loads[int(item.name[1:])] += 1
    assert max(loads) <= 6 * 330 * size / 2300 + 6
