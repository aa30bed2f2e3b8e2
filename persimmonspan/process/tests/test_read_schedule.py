"""Tests which daemons read the store, and how often."""

import immutables

from persimmonspan.process import edge_peers
from persimmonspan.process import read_schedule

_LIMITS = read_schedule.Limits()


def _state(name, silent):
    """Returns the state of a daemon after 30, of which some are silent."""
    peers = {
        f"d{number:02}": edge_peers.Peer("a:1", 0.0, 0.0, number >= silent)
        for number in range(30)
    }
    return edge_peers.State(immutables.Map(peers).delete(name),
                            name=name,
                            hub_received_s=-100.0)


def test_reader_that_is_not_among_the_first_waits_for_changes_without_pause():
    # The first by name cannot read, so that the 13th reads for all.
    reader = _state("d12", 12)
    assert edge_peers.is_reader(reader, "d12", 0.1)
    assert read_schedule.configuration_pause_s(reader, _LIMITS, 0.1) == 0.0
    other = _state("d13", 12)
    assert read_schedule.configuration_pause_s(other, _LIMITS, 0.1) > 1.0
