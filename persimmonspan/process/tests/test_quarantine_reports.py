"""Plays reports of the quarantine through the digests of many daemons."""

import random

import immutables
import pytest

from persimmonspan.process import edge_peers
from persimmonspan.process import quarantine_reports
from persimmonspan.request import crash_evidence
from persimmonspan.request import events
from persimmonspan.request import quarantine

_STEP_S = 0.2
_CRASH = events.QuarantineShared("part:bad", 2, crash_evidence.SUSPECT_TTL_S, 0,
                                 ("r1", "r2"))
_CLEARED = events.QuarantineShared("part:bad", 0, 0.0)
_REFUSAL = events.QuarantineShared("part:bad", 3, quarantine.REFUSAL_TTL_S, 0,
                                   ("r1", "r2", "r3"), True)
# From a daemon to the hub, and from the hub to all.
_HUB_STEPS = 3


class _Deployment:
    """Daemons that exchange digests in steps, some of which are lost."""

    def __init__(self, count, loss=0.0):
        self.rng = random.Random(5)
        self.loss = loss
        self.now_s = 100.0
        names = [f"d{number:03}" for number in range(count)]
        peers = immutables.Map({
            name: edge_peers.Peer(name, self.now_s, self.now_s, True)
            for name in names
        })
        self.peers = {
            name: edge_peers.State(peers.delete(name), name=name)
            for name in names
        }
        self.reports = dict.fromkeys(names, quarantine_reports.State())
        self.suspects = dict.fromkeys(names, quarantine.State())
        self.applied = {name: [] for name in names}

    def publish(self, name, report):
        """Lets a daemon make a report, which it applies itself."""
        self.apply(name, report)
        self.reports[name] = quarantine_reports.publish(
            self.reports[name], self.rng.getrandbits(48), report, self.now_s)

    def apply(self, name, report):
        """Applies a report at a daemon."""
        self.applied[name].append(report)
        self.suspects[name], _ = quarantine.step(self.suspects[name], report,
                                                 self.now_s)

    def play(self, steps):
        """Plays intervals between two digests."""
        for _ in range(steps):
            self.now_s += _STEP_S
            sent = []
            for name, state in self.peers.items():
                refusals = quarantine.list_refusals(self.suspects[name],
                                                    self.now_s)
                self.reports[name], reports = quarantine_reports.select(
                    self.reports[name], refusals, self.now_s)
                digest = edge_peers.Digest(name,
                                           name,
                                           True, (),
                                           is_sum=edge_peers.is_hub(
                                               state, name, self.now_s),
                                           reports=reports)
                data = edge_peers.encode(digest)
                sent += [(receiver, data)
                         for receiver in edge_peers.select_receivers(
                             state, name, self.now_s)]
            for receiver, data in sent:
                if receiver in self.peers and self.rng.random() >= self.loss:
                    self._receive(receiver, edge_peers.decode(data))

    def _receive(self, name, digest):
        self.peers[name], _ = edge_peers.merge_digest(self.peers[name], digest,
                                                      self.now_s, self.now_s)
        refused = {
            item.fingerprint for item in quarantine.list_refusals(
                self.suspects[name], self.now_s)
        }
        self.reports[name], reports = quarantine_reports.receive(
            self.reports[name], digest.reports, refused,
            edge_peers.is_hub(self.peers[name], name, self.now_s), self.now_s)
        for report in reports:
            self.apply(name, report)

    def restart(self, name):
        """Lets a daemon forget all."""
        self.reports[name] = quarantine_reports.State()
        self.suspects[name] = quarantine.State()

    def refusing(self):
        """Returns how many daemons refuse the part."""
        return sum(
            quarantine.refused_for_s(state, "part:bad", self.now_s) > 0
            for state in self.suspects.values())


@pytest.mark.parametrize("count", [8, 195])
def test_report_reaches_all_daemons_once(count):
    deployment = _Deployment(count)
    deployment.play(5)
    deployment.publish(f"d{count - 1:03}", _CRASH)
    deployment.play(_HUB_STEPS)
    assert all(len(items) == 1 for items in deployment.applied.values())
    deployment.play(20)
    assert all(len(items) == 1 for items in deployment.applied.values())


@pytest.mark.parametrize("count", [8, 195])
def test_refusal_reaches_daemons_that_start_later_and_lost_digests(count):
    deployment = _Deployment(count, loss=0.3)
    deployment.play(5)
    deployment.publish("d005", _REFUSAL)
    deployment.play(10)
    assert deployment.refusing() == count
    deployment.restart("d000")
    deployment.restart("d003")
    deployment.play(10)
    assert deployment.refusing() == count


def test_repeated_answer_does_not_undo_a_later_crash():
    deployment = _Deployment(8)
    deployment.play(5)
    deployment.publish("d001", _CLEARED)
    deployment.play(2)
    deployment.now_s += quarantine.ANSWER_MARGIN_S
    deployment.publish("d002", _CRASH)
    deployment.play(5)
    for name, state in deployment.suspects.items():
        assert state.records["part:bad"].crashes == 2, name


@pytest.mark.parametrize("count", [8, 195])
def test_answer_lifts_a_refusal_at_all_daemons(count):
    deployment = _Deployment(count)
    deployment.play(5)
    deployment.publish("d005", _REFUSAL)
    deployment.play(10)
    deployment.publish("d007", _CLEARED)
    deployment.play(10)
    assert deployment.refusing() == 0
