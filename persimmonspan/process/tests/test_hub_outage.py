"""Plays the exchange of 195 daemons in virtual time through a store outage.

Each daemon is an `edge_peers.State`; a digest arrives one step after it was
sent. The steps are as long as the interval between two digests of a hub.
"""

import immutables
import pytest

from persimmonspan.process import edge_peers
from persimmonspan.request import events

_DAEMONS = 195
_STEP_S = 0.2
_OUTAGE_STEPS = 45  # 9 s
# A daemon whose read failed knows after its timeout.
_FAILED_READ_STEPS = 6
# Digests of one daemon in a step: to the hub, from it, and some to daemons that
# may replace it. While these change, several send to all.
_MAX_MEAN_DIGESTS = 5
_MAX_DIGESTS = 10


class _Deployment:
    """All daemons, which have each other's addresses from the store."""

    def __init__(self, count):
        names = [f"d{number:03}" for number in range(count)]
        silent_s = -1e9
        peers = {
            name: edge_peers.Peer(name, silent_s, 0.0, False) for name in names
        }
        self.states = {
            name:
                edge_peers.State(immutables.Map(peers).delete(name), name=name)
            for name in names
        }
        self.step = 0
        self.sent = []  # Numbers of digests by step.
        self._in_transit = []

    def play(self, steps, can_read=lambda name: True):
        """Plays steps in which some daemons can read the store."""
        for _ in range(steps):
            self.step += 1
            now_s = self.step * _STEP_S
            arriving, self._in_transit = self._in_transit, []
            for receiver, digest in arriving:
                if receiver in self.states:
                    self.states[receiver], _ = edge_peers.merge_digest(
                        self.states[receiver], digest, now_s, now_s)
            for name, state in self.states.items():
                state = state._replace(can_read=can_read(name))
                self.states[name] = state
                self._send(name, state, now_s)
            self.sent.append(len(self._in_transit))

    def _send(self, name, state, now_s):
        is_sum = edge_peers.is_hub(state, name, now_s)
        load = events.TargetLoad(name, 1, 1)
        digest = edge_peers.Digest(name, name, state.can_read, (load,), None,
                                   is_sum)
        self._in_transit += [
            (receiver, digest)
            for receiver in edge_peers.select_receivers(state, name, now_s)
        ]

    def check_digests(self, steps):
        """Checks that digests do not grow with the square of the daemons."""
        sent = self.sent[-steps:]
        assert sum(sent) <= _MAX_MEAN_DIGESTS * _DAEMONS * steps
        assert max(sent) <= _MAX_DIGESTS * _DAEMONS

    def hubs(self):
        """Returns the daemons that send sums now."""
        now_s = self.step * _STEP_S
        return [
            name for name, state in self.states.items()
            if edge_peers.is_hub(state, name, now_s)
        ]

    def counted_at(self, hub):
        """Returns the number of daemons whose loads a hub sums up."""
        totals = edge_peers.sum_loads(self.states[hub], (), (),
                                      self.step * _STEP_S)
        return len(totals.loads)


@pytest.fixture(name="deployment")
def _deployment():
    deployment = _Deployment(_DAEMONS)
    deployment.play(20)
    assert deployment.hubs() == ["d000"]
    assert deployment.counted_at("d000") == _DAEMONS - 1
    return deployment


def test_hub_stays_through_an_outage_and_all_loads_are_known(deployment):
    # All daemons became hubs one after the other, and sent 195 digests each at
    # every interval; the sums were empty, as nobody sent to the old hub.
    deployment.play(_FAILED_READ_STEPS)
    deployment.play(_OUTAGE_STEPS, lambda name: False)
    assert deployment.hubs() == ["d000"]
    assert deployment.counted_at("d000") == _DAEMONS - 1
    deployment.check_digests(_OUTAGE_STEPS)


def test_daemon_that_can_read_replaces_a_hub_that_cannot(deployment):
    # The store turns some machines away, among them the first.
    refused = {"d000", "d001", "d003"}
    deployment.play(_OUTAGE_STEPS, lambda name: name not in refused)
    assert deployment.hubs() == ["d002"]
    assert deployment.counted_at("d002") == _DAEMONS - 1
    deployment.check_digests(_OUTAGE_STEPS)
    deployment.play(10)
    assert deployment.hubs() == ["d000"]


def test_next_daemon_is_hub_when_the_hub_is_lost_in_an_outage(deployment):
    deployment.play(_OUTAGE_STEPS, lambda name: False)
    del deployment.states["d000"]
    deployment.play(_OUTAGE_STEPS, lambda name: False)
    assert deployment.hubs() == ["d001"]
    assert deployment.counted_at("d001") == _DAEMONS - 2
    deployment.check_digests(_OUTAGE_STEPS)
    deployment.check_digests(_OUTAGE_STEPS)
