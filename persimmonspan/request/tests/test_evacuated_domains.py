"""Tests the scheduler while a failure domain is evacuated and after it returns.

The load: 36 engines of 24 slots in three failure domains, of which one is
evacuated, and long streams of which another engine keeps a copy.
"""

import random

from persimmonspan import errors
from persimmonspan.request import events
from persimmonspan.request import scheduler

_ENGINES = tuple(
    events.Target(f"e{number:02}", "engines", f"10.0.0.{number}:80", "abc"[
        number % 3], 27_000, 24) for number in range(36))
_DESKS = tuple(
    events.Target(f"p{domain}", "desk", f"10.0.1.{number}:80", domain, 0, 6)
    for number, domain in enumerate("abc"))
_DOMAINS = {item.name: item.failure_domain for item in _ENGINES + _DESKS}
_KINDS = (events.KindPolicy("long", "engines", 1.0, False, True, 39.0),
          events.KindPolicy("call", "desk", 1.0, True, False, 3.0),
          events.KindPolicy("dear", "desk", 9.0, True, False, 3.0))


class _Harness:

    def __init__(self, targets=_ENGINES + _DESKS):
        self.state = scheduler.State()
        self.now_s = 0.0
        self.rng = random.Random(1)
        self.targets = targets
        self.evacuate()

    def evacuate(self, *domains, leaving=frozenset(), after_s=0.1):
        """Lists the targets; returns the commands."""
        return self.send(
            events.TargetsChanged(1,
                                  self.targets,
                                  _KINDS, (),
                                  daemon="edge-1",
                                  leaving=leaving,
                                  evacuated=frozenset(domains)), after_s)

    def send(self, event, after_s=0.01):
        """Steps the scheduler; returns its commands except counts."""
        self.now_s += after_s
        self.state, commands = scheduler.step(self.state, event, self.now_s,
                                              self.rng)
        return [
            command for command in commands
            if not isinstance(command, events.Count)
        ]

    def start_stream(self, request_id):
        """Runs a stream up to its first token; returns its dispatch."""
        dispatch, = self.send(
            events.Arrived(request_id,
                           "w",
                           "long",
                           "engines",
                           3000,
                           752,
                           self.now_s + 39.0,
                           request_id,
                           is_idempotent=True,
                           is_resumable=True,
                           wants_backup=True))
        self.send(events.FirstToken(request_id, dispatch.target))
        return dispatch

    def call(self, request_id, kind="call", wait_s=2.0):
        """Sends a call to the plain service; returns the commands."""
        return self.send(
            events.Arrived(request_id,
                           "w",
                           kind,
                           "desk",
                           0,
                           0,
                           self.now_s + wait_s,
                           request_id,
                           is_idempotent=False,
                           max_attempts=1))

    def set_cold(self, domain, per_s=20.0, cold_s=3.25, daemons=("edge-1",)):
        """Makes the engines of a domain cold, with other daemons around."""
        self.send(events.ColdSharesChanged("edge-1", daemons, True, 1.5, 5.0))
        for target in _ENGINES:
            if target.failure_domain == domain:
                self.send(events.TargetCold(target.name, per_s, cold_s), 0.0)


def test_nothing_new_goes_to_an_evacuated_domain():
    harness = _Harness()
    harness.evacuate("a")
    for number in range(60):
        dispatch = harness.start_stream(f"r{number}")
        assert _DOMAINS[dispatch.target] != "a"
        assert _DOMAINS.get(dispatch.backup) != "a"
    # All engines that are left are known, not only those of before.
    assert len(harness.state.view.groups["engines"]) == 24


def test_stream_in_an_evacuated_domain_stays_until_its_engine_leaves():
    harness = _Harness()
    dispatch = harness.start_stream("r")
    domain = _DOMAINS[dispatch.target]
    assert not harness.evacuate(domain, after_s=5.0)
    for tokens in (40, 80, 400):
        assert not harness.send(events.Progressed("r", dispatch.target, tokens),
                                1.0)
    assert harness.state.running["r"].target == dispatch.target
    for command in harness.send(events.TargetLeaving(dispatch.target)):
        assert _DOMAINS[command.target] != domain


def _stream_with_backup_elsewhere(harness):
    for number in range(50):
        dispatch = harness.start_stream(f"r{number}")
        if _DOMAINS[dispatch.backup] != _DOMAINS[dispatch.target]:
            return f"r{number}", dispatch
    raise AssertionError("no backup in another domain")


def test_backup_in_an_evacuated_domain_counts_as_none():
    harness = _Harness()
    request_id, dispatch = _stream_with_backup_elsewhere(harness)
    domain = _DOMAINS[dispatch.backup]
    harness.evacuate(domain, after_s=5.0)
    assert harness.state.running[request_id].backup is None
    moves = harness.send(events.TargetLeaving(dispatch.target))
    move, = [item for item in moves if item.request_id == request_id]
    assert _DOMAINS[move.target] != domain


def test_copy_of_a_leaving_stream_is_made_again_outside_of_the_domain():
    harness = _Harness()
    request_id, dispatch = _stream_with_backup_elsewhere(harness)
    harness.send(events.TargetLeaving(dispatch.target), 5.0)
    domain = _DOMAINS[dispatch.backup]
    commands = harness.evacuate(domain, leaving=frozenset({dispatch.target}))
    move, = [item for item in commands if item.request_id == request_id]
    assert _DOMAINS[move.target] != domain
    # The copy is renewed at its new place.
    renewed = harness.send(events.Progressed(request_id, dispatch.target, 400),
                           2.0)
    assert renewed == [move]


def test_waiting_requests_that_start_too_late_are_refused_at_once():
    harness = _Harness()
    for number in range(120):
        # A steady load first: the rates of the lanes are known.
        commands = harness.call(f"s{number}", ("call", "dear")[number % 2])
        harness.send(
            events.AttemptEnded(f"s{number}", commands[0].target,
                                events.Outcome.COMPLETED), 0.05)
    busy = [harness.call(f"b{number}") for number in range(18)]
    assert all(busy)
    for number in range(12):
        assert not harness.call(f"w{number}")
        assert not harness.call(f"d{number}", "dear")
    waiting = len(harness.state.queue.requests)
    refusals = harness.evacuate("a", "b")
    assert 0 < len(refusals) < waiting
    assert all(
        isinstance(item, events.Refuse) and item.retry_after_s > 0 and
        item.run_state is errors.RunState.NOT_RUN for item in refusals)
    # Of the kinds, the one with the least worth for its work goes first.
    cheap = sum(item.request_id.startswith("w") for item in refusals)
    assert cheap > len(refusals) / 2, refusals
    assert not harness.evacuate("a", "b")


def test_all_requests_are_refused_if_all_domains_are_evacuated():
    harness = _Harness()
    for number in range(18):
        harness.call(f"b{number}")
    assert not harness.call("w")
    refusal, = harness.evacuate("a", "b", "c")
    assert (refusal.request_id, refusal.reason) == ("w", errors.Code.NO_TARGET)
    for refusal in (refusal, *harness.call("new")):
        assert refusal.run_state is errors.RunState.NOT_RUN
        assert refusal.retry_after_s > 0


def test_cold_domain_gets_few_requests_and_the_others_the_rest():
    # Guards against a domain that returns under load: its targets are empty,
    # and all daemons would choose them first.
    harness = _Harness()
    harness.evacuate("a")
    harness.set_cold("a", daemons=tuple(f"edge-{i}" for i in range(72)))
    harness.evacuate()
    targets = []
    for number in range(80):
        targets.append(harness.start_stream(f"r{number}").target)
    cold = [name for name in targets if _DOMAINS[name] == "a"]
    # 1.6 s have passed; a daemon owns 14 in 72 of 8 targets.
    assert len(cold) <= 4


def test_request_that_all_cold_targets_would_start_too_late_is_refused():
    harness = _Harness(_DESKS[:1])
    harness.send(events.TargetCold("pa", 20.0, 3.0))
    refusal, = harness.call("r", wait_s=2.0)
    assert refusal.reason is errors.Code.OVERLOADED
    assert not harness.call("s", wait_s=5.0)
    harness.send(events.TargetCold("pa", 20.0, 0.0))
    dispatch, = harness.send(events.Tick())
    assert dispatch.target == "pa"
