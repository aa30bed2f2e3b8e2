"""Tests the limits of hedged requests, and how the scheduler places them."""

import copy
import functools
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from persimmonspan.process import edge_settings
from persimmonspan.process import shared_limits
from persimmonspan.request import events
from persimmonspan.request import hedging
from persimmonspan.request import scheduler

_REASONS = hedging.Reason
_OUTCOMES = events.Outcome
_KIND = events.KindPolicy("call", "s", 1, True, True, 2)


class SimulatedDaemon:
    """A scheduler state with its clock, and three targets with two slots."""

    def __init__(self, share=1.0, latencies=60, seed=1):
        self.rng = random.Random(seed)
        self.now_s = 50.0
        self.state = scheduler.State()
        self.targets = tuple(
            events.Target(f"t{i}", "s", "", f"d{i}", 0, 2) for i in range(3))
        self.count = 0
        self.send(events.TargetsChanged(1, self.targets, (_KIND,), ()))
        self.send(events.RetryLimitsChanged(1.0, 2.0))
        self.send(events.HedgeLimitsChanged(share, 2.0))
        for _ in range(latencies):
            self.complete(self.arrive())

    def send(self, event):
        """Applies an event and returns the commands."""
        self.state, commands = scheduler.step(self.state, event, self.now_s,
                                              self.rng)
        return commands

    def arrive(self, **changes):
        """Applies the arrival of a request; returns its dispatch, if any."""
        self.count += 1
        arrived = events.Arrived(f"r{self.count}",
                                 "w",
                                 "call",
                                 "s",
                                 0,
                                 0,
                                 self.now_s + 9.0,
                                 f"f{self.count}",
                                 may_hedge=True,
                                 max_attempts=2)
        return next(iter(self.send(arrived._replace(**changes))), None)

    def complete(self, dispatch, took_s=0.1):
        """Ends an attempt with success."""
        self.now_s += took_s
        self.end(dispatch, _OUTCOMES.COMPLETED)

    def end(self, dispatch, outcome):
        """Ends an attempt and returns the commands."""
        return self.send(
            events.AttemptEnded(dispatch.request_id, dispatch.target, outcome))

    def hedge(self, dispatch, waited_s=0.2):
        """Asks for a second attempt; returns its dispatch and the reason."""
        self.now_s += waited_s
        commands = self.send(
            events.HedgeDue(dispatch.request_id, dispatch.target))
        *dispatches, count = commands
        return (dispatches or [None])[0], count.reason

    def running(self):
        """Returns the number of own attempts at each target."""
        return [
            self.state.view.targets[item.name].running for item in self.targets
        ]


def test_nothing_is_recorded_or_timed_without_a_share():
    # Failure: a daemon whose operators set no share behaves otherwise than one
    # without the feature.
    daemon = SimulatedDaemon(share=0.0)
    assert daemon.arrive().hedge_after_s is None
    assert daemon.state.hedges == hedging.State()


def test_delay_is_the_quantile_of_the_kind_after_enough_samples():
    assert SimulatedDaemon(latencies=49).arrive().hedge_after_s is None
    daemon = SimulatedDaemon(latencies=60)
    assert 0.1 <= daemon.arrive().hedge_after_s <= 0.12
    assert daemon.arrive(kind="other").hedge_after_s is None
    assert daemon.arrive(may_hedge=False).hedge_after_s is None


def test_lost_first_attempts_keep_the_quantile_from_shrinking():
    # Failure: hedging cuts slow attempts off, so that the measured latencies
    # and with them the delay fall, until every request is hedged.
    rng = random.Random(1)
    state = hedging.set_limits(hedging.State(), 1.0, 2.0)
    delays_s, hedged = [], 0
    for number in range(20_000):
        slow = rng.random() < 0.15
        latency_s = rng.lognormvariate(0.0, 0.3) * (1.0 if slow else 0.1)
        after_s = hedging.delay_s(state, "s", "k")
        if after_s is not None and latency_s > after_s:
            hedged += 1
            latency_s = min(latency_s, after_s + 0.05)
        state = hedging.record_latency(state, "s", "k", latency_s)
        if number >= 1000:
            delays_s.append(after_s)
    assert min(delays_s) > 0.6 and hedged < 0.055 * 20_000


@pytest.mark.parametrize("prepare, reason", [
    (lambda daemon: {
        "max_attempts": 1
    }, _REASONS.DENIED_KIND),
    (lambda daemon: {
        "may_hedge": False
    }, _REASONS.DENIED_KIND),
    (lambda daemon: daemon.send(events.HedgeLimitsChanged(0.0, 0.0)) and {},
     _REASONS.DENIED_OFF),
    (lambda daemon: daemon.send(
        events.QuarantineShared("f61", 1, 300.0, 0,
                                ("f61",))) and {}, _REASONS.DENIED_SUSPECT),
    (lambda daemon: daemon.send(
        events.PeerLoad(
            "p", tuple(events.TargetLoad(f"t{i}", 2, 0)
                       for i in range(3)))) and {}, _REASONS.DENIED_TARGET),
])
def test_hedge_is_denied(prepare, reason):
    daemon = SimulatedDaemon()
    changes = prepare(daemon) or {}
    dispatch, denied = daemon.hedge(daemon.arrive(**changes))
    assert (dispatch, denied) == (None, reason)


def test_no_hedge_while_requests_wait():
    daemon = SimulatedDaemon()
    first = daemon.arrive()
    while not daemon.state.queue.requests:
        daemon.count += 1
        daemon.send(
            events.Arrived(f"r{daemon.count}", "w", "call", "s", 0, 0,
                           daemon.now_s + 9.0, f"f{daemon.count}"))
    assert daemon.hedge(first)[1] is _REASONS.DENIED_WAITING


@pytest.mark.parametrize("event", [
    events.TargetLeaving, events.TargetDied,
    lambda target: events.TargetClosed(target, 5.0),
    lambda target: events.RateNamed(target, 100.0)
])
def test_hedge_goes_only_to_a_target_without_trouble(event):
    daemon = SimulatedDaemon()
    first = daemon.arrive()
    others = [item.name for item in daemon.targets if item.name != first.target]
    daemon.send(event(others[0]))
    assert daemon.hedge(first)[0].target == others[1]


def test_budget_leaves_retries_their_balance():
    # Failure: hedged requests use up what retries need.
    daemon = SimulatedDaemon()
    sent = 0
    for _ in range(6):
        first = daemon.arrive()
        second, _ = daemon.hedge(first)
        sent += second is not None
        if second is not None:
            daemon.end(second, _OUTCOMES.CANCELLED)
        daemon.end(first, _OUTCOMES.CANCELLED)
    assert sent == 2
    assert daemon.hedge(daemon.arrive())[1] in (_REASONS.DENIED_SHARE,
                                                _REASONS.DENIED_BUDGET)
    assert daemon.state.budget.balances.get("s", 2.0) == 2.0


@pytest.mark.parametrize("burst, daemons", [(184.0, 72), (190.0, 75),
                                            (430.0, 331), (80.0, 8)])
def test_retries_and_hedges_of_all_daemons_stay_within_the_burst(
        burst, daemons):
    budget = edge_settings.RetryBudget(0.2, 10.0, burst)
    cap = shared_limits.retry_limits(budget, daemons).cap
    extra = hedging.limit_budget(burst / daemons, cap)
    assert (cap + extra) * daemons <= burst + 1e-9


def test_winner_completes_and_the_loser_is_released():
    daemon = SimulatedDaemon()
    first = daemon.arrive()
    second, _ = daemon.hedge(first)
    assert second.is_hedge and second.target != first.target
    assert sum(daemon.running()) == 2
    daemon.end(first, _OUTCOMES.CANCELLED)
    daemon.end(second, _OUTCOMES.COMPLETED)
    assert not daemon.state.running and not sum(daemon.running())


def test_hedge_that_was_not_started_leaves_no_load():
    # Failure: the command is still unread when the first attempt has succeeded
    # or its caller has left, and the second one counts at its target for ever.
    daemon = SimulatedDaemon()
    first = daemon.arrive()
    daemon.hedge(first)
    daemon.end(first, _OUTCOMES.COMPLETED)
    assert not daemon.state.running and not sum(daemon.running())
    first = daemon.arrive()
    assert daemon.hedge(first)[0]
    daemon.end(first, _OUTCOMES.CANCELLED)
    daemon.send(events.RequestAbandoned(first.request_id))
    assert not daemon.state.running and not sum(daemon.running())


@pytest.mark.parametrize("outcomes, run_state", [
    ((_OUTCOMES.REFUSED, _OUTCOMES.REFUSED), "not_run"),
    ((_OUTCOMES.CONNECT_FAILED, _OUTCOMES.REFUSED), "not_run"),
    ((_OUTCOMES.INTERRUPTED, _OUTCOMES.REFUSED), "unknown"),
    ((_OUTCOMES.REFUSED, _OUTCOMES.ANSWERED_ERROR), "unknown"),
])
@pytest.mark.parametrize("is_first_last", [False, True])
def test_refusal_after_both_failed_says_whether_one_may_have_run(
        outcomes, run_state, is_first_last):
    daemon = SimulatedDaemon()
    first = daemon.arrive()
    second, _ = daemon.hedge(first)
    order = (second, first) if is_first_last else (first, second)
    assert not daemon.end(order[0], outcomes[0])
    refusal, = [
        command for command in daemon.end(order[1], outcomes[1])
        if isinstance(command, events.Refuse)
    ]
    assert refusal.run_state == run_state


@functools.cache
def _served_daemon():
    return SimulatedDaemon(share=0.5)


class HedgeMachine(stateful.RuleBasedStateMachine):
    """Hedges requests and ends their attempts in any order."""

    def __init__(self):
        super().__init__()
        # A copy of the state costs nothing, but 60 requests do.
        self.daemon = copy.copy(_served_daemon())
        self.daemon.rng = random.Random(1)
        self.served, self.hedged = 60, 0
        self.attempts = {}  # By request id, the attempts that run.
        self.targets = {}  # By request id, all targets that got it.

    def _apply(self, commands):
        for command in commands:
            if isinstance(command, events.Dispatch):
                targets = self.targets.setdefault(command.request_id, set())
                assert command.target not in targets
                targets.add(command.target)
                assert len(targets) <= 2
                self.attempts.setdefault(command.request_id, []).append(command)
                self.hedged += command.is_hedge

    @stateful.precondition(lambda self: len(self.attempts) < 3)
    @stateful.rule()
    def arrive(self):
        """Sends one more request."""
        self._apply([self.daemon.arrive()])

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=strategies.data())
    def ask(self, data):
        """Asks for a second attempt of a request."""
        request_id = data.draw(strategies.sampled_from(sorted(self.attempts)))
        self.daemon.now_s += 0.2
        first = self.attempts[request_id][0]
        self._apply(self.daemon.send(events.HedgeDue(request_id, first.target)))

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(data=strategies.data(),
                   outcome=strategies.sampled_from(
                       (_OUTCOMES.COMPLETED, _OUTCOMES.REFUSED,
                        _OUTCOMES.INTERRUPTED, _OUTCOMES.ANSWERED_ERROR)))
    def end(self, data, outcome):
        """Ends an attempt; a success ends its request."""
        request_id = data.draw(strategies.sampled_from(sorted(self.attempts)))
        attempts = self.attempts[request_id]
        ended = data.draw(strategies.sampled_from(attempts))
        attempts.remove(ended)
        if outcome is _OUTCOMES.COMPLETED:
            attempts.clear()
            self.served += 1
        self._apply(self.daemon.end(ended, outcome))
        if not attempts:
            del self.attempts[request_id]

    @stateful.invariant()
    def loads_match_the_attempts(self):
        """The load counts each running attempt once."""
        assert sum(self.daemon.running()) == sum(
            map(len, self.attempts.values()))
        assert self.hedged <= 0.5 * self.served


TestHedges = HedgeMachine.TestCase
TestHedges.settings = hypothesis.settings(max_examples=60,
                                          stateful_step_count=30,
                                          derandomize=True,
                                          database=None,
                                          deadline=None)
