"""Checks invariants of `scheduler.step` against a simple model."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from persimmonspan import errors
from persimmonspan.request import events
from persimmonspan.request import placement
from persimmonspan.request import quarantine
from persimmonspan.request import scheduler

_TARGETS = tuple(
    events.Target(f"e{i}", "model", "", f"d{i % 3}", 4000, 4)
    for i in range(4)) + tuple(
        events.Target(f"p{i}", "plain", "", f"d{i}", 0, 2) for i in range(2))
_KINDS = (events.KindPolicy("draft", "model", 8, False, True, 60),
          events.KindPolicy("check", "model", 5, True, True, 10),
          events.KindPolicy("pay", "plain", 9, True, False, 5))
_WORKSPACES = (events.WorkspaceShare("big", 5), events.WorkspaceShare("low", 1))
_MAX_DEADLINE_S = 60.0


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Applies events to a scheduler and tracks each request."""

    def __init__(self):
        super().__init__()
        self.rng = random.Random(7)
        self.now_s = 100.0
        self.state = scheduler.State()
        self.listed, self.leaving = set(), set()
        self.waiting, self.live = {}, {}
        self.maybe_ran, self.tried = set(), {}
        self.opens_s = {}
        self.tokens = {}
        self.count = 0
        self.apply_targets(_TARGETS)

    def apply_targets(self, targets):
        """Applies a configuration with these targets."""
        self.listed = {item.name for item in targets}
        self.leaving &= self.listed
        self.send(events.TargetsChanged(1, targets, _KINDS, _WORKSPACES))

    def send(self, event, refused=()):
        """Applies an event and checks each command against the model."""
        self.state, commands = scheduler.step(self.state, event, self.now_s,
                                              self.rng)
        refused, cancelled = set(refused), set()
        for command in commands:
            if isinstance(command, events.Dispatch):
                arrived = self.waiting.pop(command.request_id)
                assert command.target in self.listed - self.leaving
                assert self.now_s >= self.opens_s.get(command.target, 0.0)
                assert (command.backup is None or
                        self.now_s >= self.opens_s.get(command.backup, 0.0))
                assert command.target not in self.tried[command.request_id]
                self.tried[command.request_id].add(command.target)
                assert command.attempt == len(self.tried[command.request_id])
                self.live[command.request_id] = (arrived, command.target)
                self.tokens[command.request_id] = 0
            elif isinstance(command, events.Refuse):
                if command.request_id in cancelled:
                    # Only a quarantine ends a request that runs.
                    assert command.reason is errors.Code.QUARANTINED
                    assert command.run_state is errors.RunState.UNKNOWN
                    continue
                del self.waiting[command.request_id]
                refused.add(command.request_id)
                is_not_run = command.request_id not in self.maybe_ran
                assert (command.run_state
                        is errors.RunState.NOT_RUN) == is_not_run
                assert (command.retry_after_s or 1) > 0
            elif isinstance(command, events.CancelAttempt):
                if isinstance(event,
                              (events.QuarantineShared, events.TargetDied)):
                    del self.live[command.request_id]
                    cancelled.add(command.request_id)
                assert command.request_id not in self.live
        return commands

    @stateful.rule(kind=strategies.sampled_from(_KINDS),
                   workspace=strategies.sampled_from(("big", "low", "new")),
                   prompt=strategies.integers(1, 5000),
                   time_s=strategies.floats(0.0, _MAX_DEADLINE_S),
                   fingerprint=strategies.sampled_from(("", "", "x", "y")))
    def arrive(self, kind, workspace, prompt, time_s, fingerprint):
        """A request arrives."""
        self.count += 1
        arrived = events.Arrived(f"r{self.count}", workspace, kind.name,
                                 kind.service, prompt, 4000,
                                 self.now_s + time_s, fingerprint or
                                 f"f{self.count}", (), kind.is_idempotent)
        self.waiting[arrived.request_id] = arrived
        self.tried[arrived.request_id] = set()
        self.send(arrived)

    @stateful.precondition(lambda self: self.live)
    @stateful.rule(data=strategies.data(),
                   outcome=strategies.sampled_from(list(events.Outcome)))
    def end(self, data, outcome):
        """An attempt ends."""
        request_id = data.draw(strategies.sampled_from(sorted(self.live)))
        arrived, target = self.live.pop(request_id)
        if outcome in (events.Outcome.REFUSED, events.Outcome.CONNECT_FAILED,
                       events.Outcome.FAILED_BEFORE_FIRST_TOKEN,
                       events.Outcome.ANSWERED_ERROR,
                       events.Outcome.INTERRUPTED,
                       events.Outcome.TARGET_CLOSED):
            self.waiting[request_id] = arrived
            if outcome is events.Outcome.TARGET_CLOSED:
                # The request was not sent, so the target may get it later.
                self.tried[request_id].discard(target)
            elif outcome not in placement.NOT_RUN:
                self.maybe_ran.add(request_id)
        commands = self.send(
            events.AttemptEnded(request_id, target, outcome,
                                self.tokens[request_id]))
        if request_id in self.maybe_ran and not arrived.is_idempotent:
            assert not any(
                isinstance(item, events.Dispatch) and
                item.request_id == request_id for item in commands)

    @stateful.precondition(lambda self: self.live)
    @stateful.rule(data=strategies.data(), tokens=strategies.integers(1, 3000))
    def progress(self, data, tokens):
        """A generation sends more tokens."""
        request_id = data.draw(strategies.sampled_from(sorted(self.live)))
        _, target = self.live[request_id]
        if self.tokens[request_id] == 0:
            self.send(events.FirstToken(request_id, target))
        self.tokens[request_id] += tokens
        self.send(events.Progressed(request_id, target,
                                    self.tokens[request_id]))

    @stateful.precondition(lambda self: self.live or self.waiting)
    @stateful.rule(data=strategies.data())
    def abandon(self, data):
        """A caller disconnects."""
        request_id = data.draw(
            strategies.sampled_from(sorted(self.live | self.waiting)))
        self.waiting.pop(request_id, None)
        arrived, target = self.live.get(request_id, (None, ""))
        if arrived is None or arrived.service == "plain":
            assert not any(
                isinstance(item, events.CancelAttempt)
                for item in self.send(events.RequestAbandoned(request_id)))
            return
        del self.live[request_id]
        commands = self.send(events.RequestAbandoned(request_id))
        assert events.CancelAttempt(request_id, target) in commands

    @stateful.rule(replica=strategies.sampled_from(_TARGETS),
                   age_s=strategies.floats(0, 30),
                   used=strategies.integers(0, 6000),
                   waiting=strategies.integers(0, 3),
                   preemptions=strategies.integers(0, 9))
    def report(self, replica, age_s, used, waiting, preemptions):
        """A load report with arbitrary values arrives."""
        self.send(
            events.LoadReported(replica.name, age_s, used, 4000, 3, waiting,
                                preemptions))

    @stateful.rule(daemon=strategies.sampled_from(("x", "y")),
                   names=strategies.sets(
                       strategies.sampled_from([t.name for t in _TARGETS])),
                   profile=strategies.sampled_from(
                       ((), (900, 900, 800, 500, 0, 0))))
    def peer(self, daemon, names, profile):
        """A peer reports its load, with or without a profile."""
        self.send(
            events.PeerLoad(
                daemon,
                tuple(
                    events.TargetLoad(name, 1, 900, profile, 100)
                    for name in sorted(names))))

    @stateful.rule(replica=strategies.sampled_from(_TARGETS))
    def leave(self, replica):
        """A target is leaving."""
        self.leaving.add(replica.name)
        self.send(events.TargetLeaving(replica.name))

    @stateful.rule(replica=strategies.sampled_from(_TARGETS))
    def come_back(self, replica):
        """A target that was leaving accepts requests again."""
        self.leaving.discard(replica.name)
        self.send(events.TargetReturned(replica.name))

    @stateful.rule(replica=strategies.sampled_from(_TARGETS),
                   pause_s=strategies.sampled_from((0.0, 0.2, 2.0, 40.0)))
    def close(self, replica, pause_s):
        """A target turns a request away and wants none for a time."""
        self.opens_s[replica.name] = max(self.opens_s.get(replica.name, 0.0),
                                         self.now_s + pause_s)
        self.send(events.TargetClosed(replica.name, pause_s))

    @stateful.rule(replica=strategies.sampled_from(_TARGETS))
    def open(self, replica):
        """The pause of a target ends, or it started again."""
        self.opens_s.pop(replica.name, None)
        self.send(events.TargetOpened(replica.name))

    @stateful.rule(replica=strategies.sampled_from(_TARGETS))
    def die(self, replica):
        """A target died."""
        self.send(events.TargetDied(replica.name))

    @stateful.rule(fingerprint=strategies.sampled_from(("x", "y")),
                   crashes=strategies.integers(0, 3),
                   is_refused=strategies.booleans())
    def quarantine(self, fingerprint, crashes, is_refused):
        """A peer reports a fingerprint; 0 crashes lift its quarantine."""
        ttl_s = quarantine.REFUSAL_TTL_S if is_refused else 30.0
        self.send(
            events.QuarantineShared(fingerprint, crashes, ttl_s, 0, (),
                                    is_refused))

    @stateful.rule(replicas=strategies.sets(strategies.sampled_from(_TARGETS)))
    def change(self, replicas):
        """The daemon adopts another configuration."""
        self.apply_targets(tuple(sorted(replicas)))

    @stateful.rule(seconds=strategies.sampled_from((0.05, 0.5, 3.0, 20.0)))
    def wait(self, seconds):
        """Time passes."""
        self.now_s += seconds
        self.send(events.Tick())

    @stateful.invariant()
    def counts_match(self):
        """Requests and the sums per target match the model."""
        assert set(self.state.running) == set(self.live)
        assert set(self.state.queue.requests) == set(self.waiting)
        in_lanes = [
            request_id for lane in self.state.queue.lanes.values()
            for request_id in lane.items.values()
        ]
        assert sorted(in_lanes) == sorted(self.waiting)
        for name, item in self.state.view.targets.items():
            running_there = [
                self.state.running[k]
                for k, v in self.live.items()
                if v[1] == name
            ]
            assert item.running == len(running_there)
            assert item.long_running == sum(r.is_long for r in running_there)
            assert item.decoding == sum(r.tokens > 0 for r in running_there)
            assert abs(item.own.mean[0] -
                       sum(r.profile.mean[0] for r in running_there)) < 1e-3

    def teardown(self):
        """Checks that no request waits after its deadline."""
        self.now_s += _MAX_DEADLINE_S + 1
        self.send(events.Tick())
        assert not self.waiting


TestScheduler = SchedulerMachine.TestCase
TestScheduler.settings = hypothesis.settings(derandomize=True,
                                             max_examples=60,
                                             stateful_step_count=60,
                                             deadline=None)
