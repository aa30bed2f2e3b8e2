"""Tests daemons whose store comes back from a copy some seconds old."""

import time

import pytest

from testbed import edge_world
from testbed import replica

_LOST_WRITES = 20
# The follower of the configuration has read what was written before.
_READ_WAIT_S = 0.5


@pytest.fixture(name="world")
def _world():
    """A daemon with a configuration and a replica of `desk`."""
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    world.add_replica("i-1", "desk",
                      lambda request: [replica.complete_response(request, b"")])
    with world.running():
        edge_world.wait_until(
            lambda: world.send_request("/idempotent/1")[0] == 200)
        yield world


def _write_many(rows, count):
    for number in range(count):
        rows.write("status", "note", number)


def test_configuration_written_at_a_reissued_version_is_in_force(world):
    rows = world.rows
    copy = rows.copy()
    _write_many(rows, _LOST_WRITES)
    rows.write("op", "config", edge_world.configuration(2))
    time.sleep(_READ_WAIT_S)
    with rows.row_changed:
        # The store is away for less than a call takes to fail.
        rows.restore(copy)
        rows.write("op", "config",
                   edge_world.configuration(3, pathPrefix="/new/"))
        _write_many(rows, 2 * _LOST_WRITES)
    edge_world.wait_until(lambda: world.send_request("/new/1")[0] == 200)
