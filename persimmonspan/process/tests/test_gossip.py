"""Tests membership and gossip: incarnations, majority, convergence, bytes."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from persimmonspan.connection import peer_messages
from persimmonspan.process import gossip
from persimmonspan.process import gossip_round
from persimmonspan.process import gossip_state
from persimmonspan.process import membership
from persimmonspan.request import events

_STEP_S = 0.2
_SETTINGS = hypothesis.settings(max_examples=40,
                                stateful_step_count=25,
                                deadline=None,
                                derandomize=True,
                                report_multiple_bugs=False,
                                suppress_health_check=list(
                                    hypothesis.HealthCheck))
_GENERATE = hypothesis.settings(_SETTINGS,
                                max_examples=200,
                                phases=[hypothesis.Phase.generate])


class MemberMachine(stateful.RuleBasedStateMachine):
    """Feeds events to one daemon; the oracle records the valid evidence."""

    names = strategies.sampled_from(("b", "c", "d", "e"))
    forgets_incarnations = False

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.rng = random.Random(1)
        own = membership.Identity("a", 1, "x", "r", "127.0.0.1:1")
        self.state = membership.State(own)
        self.highest = {}
        self.evidence = {}
        self.sequences = {}
        self.apply(
            membership.RowsRead(
                (own, *(self.identity(name, 1) for name in "bcde"))))
        self.highest = dict.fromkeys("bcde", 1)

    def identity(self, name, incarnation):
        return membership.Identity(name, incarnation, "x", "r", "127.0.0.1:2")

    def apply(self, event):
        if self.forgets_incarnations and isinstance(
                event,
            (membership.HeartbeatReceived, membership.HeartbeatsReported)):
            known = {
                name: item.identity.incarnation
                for name, item in self.state.members.items()
            }
            if isinstance(event, membership.HeartbeatReceived):
                event = event._replace(incarnation=known[event.daemon])
            else:
                event = event._replace(pairs=tuple(
                    (name, known[name]) for name, _ in event.pairs))
        self.state, _ = membership.step(self.state, event, self.now_s, self.rng)

    @stateful.rule(name=names, incarnation=strategies.integers(0, 4))
    def introduce(self, name, incarnation):
        self.apply(membership.DaemonIntroduced(self.identity(name,
                                                             incarnation)))
        if incarnation > self.highest[name]:
            self.highest[name] = incarnation
            self.evidence.pop(name, None)
            self.sequences[name] = -1

    @stateful.rule(name=names,
                   incarnation=strategies.integers(1, 4),
                   sequence=strategies.integers(0, 30))
    def hear(self, name, incarnation, sequence):
        self.apply(membership.HeartbeatReceived(name, incarnation, sequence, 0))
        if (incarnation == self.highest[name] and
                sequence > self.sequences.get(name, -1)):
            self.evidence[name] = self.now_s
            self.sequences[name] = sequence

    @stateful.rule(names_heard=strategies.sets(names, min_size=1),
                   incarnation=strategies.integers(1, 4),
                   age_s=strategies.floats(0.0, 10.0))
    def hear_of(self, names_heard, incarnation, age_s):
        pairs = tuple((name, incarnation) for name in sorted(names_heard))
        self.apply(membership.HeartbeatsReported(pairs, age_s, 0))
        for name, _ in pairs:
            if incarnation == self.highest[name]:
                self.evidence[name] = max(self.evidence.get(name, -100.0),
                                          self.now_s - age_s)

    @stateful.rule(seconds=strategies.floats(0.1, 8.0))
    def wait(self, seconds):
        self.now_s += seconds

    @stateful.invariant()
    def heard_only_with_evidence(self):
        self.apply(membership.Tick())
        heard = 1 + sum(self.now_s - at_s <= membership.MAJORITY_WINDOW_S
                        for at_s in self.evidence.values())
        assert self.state.is_majority_heard == (heard > 2.5)
        for name, member in self.state.members.items():
            assert member.identity.incarnation == self.highest[name]
            is_live = self.now_s - self.evidence.get(
                name, -100.0) <= membership.PEER_SILENCE_TIMEOUT_S
            assert member.is_silent != is_live


class Network:
    """Daemons whose messages arrive or are lost, with links that can be cut."""

    def __init__(self, count=7, domains=3, mesh_limit=4):
        self.rng = random.Random(1)
        self.now_s = 0.0
        self.loss = 0.0
        self.cut = set()
        self.reach = set()
        self.inbox = []
        options = gossip_state.Options(mesh_limit=mesh_limit)
        rows = tuple(
            membership.Identity(f"d{i}", 1, f"x{i % domains}", "r",
                                f"127.0.0.1:{i + 1}") for i in range(count))
        self.states = {}
        self.sent = dict.fromkeys((row.daemon for row in rows), 0)
        self.quarantined = {row.daemon: set() for row in rows}
        self.loads = {row.daemon: {} for row in rows}
        for row in rows:
            self.states[row.daemon] = gossip.make_state(row, options)
        for row in rows:
            self.apply(row.daemon, membership.RowsRead(rows))

    def apply(self, name, event):
        self.states[name], commands = gossip.step(self.states[name], event,
                                                  self.now_s, self.rng)
        for command in commands:
            self.carry_out(name, command)

    def carry_out(self, name, command):
        if isinstance(command, gossip_state.OpenLink):
            self.reach.add(frozenset((name, command.peer)))
        elif isinstance(command, gossip_state.Send):
            size = len(peer_messages.encode(
                command.message)) + gossip_round.FRAME_BYTES
            for peer in command.peers:
                link = frozenset((name, peer))
                if link in self.reach and link not in self.cut:
                    self.sent[name] += size
                    if self.rng.random() >= self.loss:
                        self.inbox.append((peer, name, command.message))
        elif isinstance(command, gossip_state.Deliver):
            self.deliver(name, command.event)

    def deliver(self, name, event):
        if isinstance(event, peer_messages.WholeConfiguration):
            self.adopt(name, event.revision)
        elif isinstance(event, peer_messages.Change):
            if event.base_revision == self.states[name].revision:
                self.adopt(name, event.revision)
        elif isinstance(event, events.QuarantineShared):
            self.quarantined[name].add(event.fingerprint)
        elif isinstance(event, events.QuarantineLifted):
            self.quarantined[name].discard(event.fingerprint)
        elif isinstance(event, events.PeerLoad):
            self.loads[name][event.daemon] = event.loads

    def adopt(self, name, revision):
        if revision > self.states[name].revision:
            self.apply(
                name,
                gossip_state.WholeAdopted(
                    peer_messages.WholeConfiguration(revision, b"document")))

    def publish(self, name):
        base = self.states[name].revision
        revision = 1 + max(state.revision for state in self.states.values())
        self.adopt(name, revision)
        self.apply(
            name,
            gossip_state.ChangePublished(
                peer_messages.Change(revision, base, b"difference")))

    def quarantine(self, name, crashes):
        if crashes:
            self.quarantined[name].add("f")
        else:
            self.quarantined[name].discard("f")
        self.apply(
            name,
            gossip_state.FactPublished(
                peer_messages.Quarantine("f", crashes, 600.0)))

    def run(self, seconds):
        for _ in range(int(seconds / _STEP_S)):
            self.now_s += _STEP_S
            inbox, self.inbox = self.inbox, []
            for peer, name, message in inbox:
                self.apply(peer, gossip_state.MessageReceived(name, message))
            for name in self.states:
                self.apply(name, gossip_state.Tick())


class GossipMachine(stateful.RuleBasedStateMachine):
    """Publishes under message loss and cut links, heals, then compares."""

    names = strategies.integers(0, 6).map("d{}".format)
    repairs = True

    def __init__(self):
        super().__init__()
        self.network = Network()
        if not self.repairs:
            for name, state in self.network.states.items():
                self.network.states[name] = state._replace(
                    options=state.options._replace(ask_grace_s=1e9))

    @stateful.rule(name=names)
    def publish(self, name):
        self.network.publish(name)

    @stateful.rule(name=names, crashes=strategies.integers(0, 2))
    def quarantine(self, name, crashes):
        self.network.quarantine(name, crashes)

    @stateful.rule(loss=strategies.sampled_from((0.0, 0.3, 0.9)))
    def lose(self, loss):
        self.network.loss = loss

    @stateful.rule(one=names, other=names)
    def cut(self, one, other):
        self.network.cut.add(frozenset((one, other)))

    @stateful.rule(seconds=strategies.floats(0.2, 8.0))
    def run(self, seconds):
        self.network.run(seconds)

    def teardown(self):
        network = self.network
        network.loss = 0.0
        network.cut.clear()
        network.run(60.0)
        for item in (network.sent,):
            item.update(dict.fromkeys(item, 0))
        network.run(10.0)
        states = list(network.states.values())
        assert len({state.revision for state in states}) == 1
        assert len({frozenset(item) for item in network.quarantined.values()
                   }) == 1
        assert all(state.members.is_majority_heard for state in states)
        for name, size in network.sent.items():
            assert size / 10.0 <= states[0].options.budget_bytes_per_s / 2, name


def test_only_recent_evidence_of_current_incarnations_counts():
    """Guards against counting evidence that is old or of an old incarnation."""
    stateful.run_state_machine_as_test(MemberMachine, settings=_SETTINGS)


def test_connected_daemons_converge():
    """Guards against lost messages that are never repaired."""
    stateful.run_state_machine_as_test(GossipMachine, settings=_SETTINGS)


@pytest.mark.parametrize("faulty", [
    type("Forgets", (MemberMachine,), {"forgets_incarnations": True}),
    type("NoRepair", (GossipMachine,), {"repairs": False}),
])
def test_oracles_find_faults(faulty):
    """Guards against oracles that accept faulty behaviour."""
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(faulty, settings=_GENERATE)


def test_change_received_before_its_base_is_applied():
    """Guards against dropping a change whose base revision arrives later."""
    network = Network(mesh_limit=12)
    network.run(5.0)
    late = {frozenset(("d3", name)) for name in network.states}
    network.cut |= late
    network.publish("d0")
    network.cut -= late
    network.publish("d0")
    network.run(5.0)
    assert {state.revision for state in network.states.values()} == {2}


@pytest.mark.parametrize("mesh_limit", [4, 12])
def test_budget_holds_with_many_loads(mesh_limit):
    """Guards against digests that grow with the number of targets."""
    network = Network(count=9, domains=1, mesh_limit=mesh_limit)
    loads = tuple(
        events.TargetLoad(f"target-{i:04d}", i + 1, 1000 * i, (70_000,) *
                          6, 900) for i in range(500))
    for name in network.states:
        network.apply(name, gossip_state.LoadsPublished(loads))
    network.run(10.0)
    network.sent.update(dict.fromkeys(network.sent, 0))
    network.run(300.0)
    assert max(network.sent.values()) / 300.0 <= 7500.0
    assert len(network.loads["d0"]["d1"]) == 500
