"""Tests daemons whose store comes back from a copy some seconds old."""

import logging
import time

import pytest

from persimmonspan import errors
from testbed import edge_world
from testbed import replica

_LOST_WRITES = 20
# The follower of the configuration has read what was written before.
_READ_WAIT_S = 0.5
_REQUEST_INTERVAL_S = 0.05


@pytest.fixture(name="desk_world")
def _desk_world():
    """A daemon with a configuration, and the address of a replica of `desk`."""
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    added = world.add_replica(
        "i-1", "desk",
        lambda request: [replica.complete_response(request, b"")])
    with world.running():
        edge_world.wait_until(
            lambda: world.send_request("/idempotent/1")[0] == 200)
        yield world, added.address


def _write_many(rows, count):
    for number in range(count):
        rows.write("status", "note", number)


def test_configuration_written_at_a_reissued_version_is_in_force(desk_world):
    world, _ = desk_world
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


def _statuses(world, duration_s):
    """Returns the statuses of requests during a time."""
    end_s = time.monotonic() + duration_s
    statuses = set()
    while time.monotonic() < end_s:
        statuses.add(world.send_request("/idempotent/1")[0])
        time.sleep(_REQUEST_INTERVAL_S)
    return statuses


def test_leaving_target_that_the_copy_shows_as_ready_gets_no_request(
        desk_world):
    world, address = desk_world
    copy = world.rows.copy()
    world.register_replica("i-1", "desk", address, "draining")
    edge_world.wait_until(lambda: world.send_request("/idempotent/1")[0] == 503)
    world.rows.restore(copy)
    # Another change makes the daemon tell its scheduler all targets.
    world.register_replica("i-2", "engines", address)
    assert _statuses(world, 1.0) == {503}


def test_target_that_registered_after_the_copy_is_served_at_its_return(
        desk_world):
    world, address = desk_world
    world.rows.write("servers", "i-1", None)
    edge_world.wait_until(lambda: world.send_request("/idempotent/1")[0] == 503)
    copy = world.rows.copy()
    world.register_replica("i-1", "desk", address)
    edge_world.wait_until(lambda: world.send_request("/idempotent/1")[0] == 200)
    world.rows.restore(copy)
    assert _statuses(world, 1.5) == {200}
    world.register_replica("i-1", "desk", address)
    assert _statuses(world, 1.5) == {200}


def test_daemon_that_starts_on_an_older_copy_gets_the_configuration_in_force():
    # It is the first by name, which reads for all.
    second = edge_world.EdgeEnvironment("edge-2")
    rows = second.rows
    rows.write("op", "config", edge_world.configuration())
    copy = rows.copy()
    rows.write("op", "config", edge_world.configuration(2, pathPrefix="/new/"))
    with second.running():
        edge_world.wait_until(lambda: second.send_request("/new/1")[0] != 404)
        rows.restore(copy)
        first = edge_world.EdgeEnvironment("edge-1", rows)
        with first.running():
            edge_world.wait_until(
                lambda: first.send_request("/new/1")[0] != 404)
            assert second.send_request("/new/1")[0] != 404


def test_address_that_the_store_lost_is_written_again(desk_world):
    world, _ = desk_world
    copy = {"op": dict(world.rows.tables["op"]), "servers": {}}, 1
    edge_world.wait_until(lambda: world.rows.tables.get("edge_daemons"))
    world.rows.restore(copy)
    edge_world.wait_until(lambda: world.rows.tables.get("edge_daemons"))


def test_target_that_was_removed_before_the_first_configuration_is_usable(
        caplog):
    caplog.set_level(logging.INFO)
    world = edge_world.EdgeEnvironment()
    desk = replica.Replica(
        lambda request: [replica.complete_response(request, b"")])
    with desk.running(), world.edge.running():
        world.register_replica("i-1", "desk", desk.address)
        for message in ("target joined", "target gone"):
            edge_world.wait_until(
                lambda message=message: message in caplog.messages)
            world.rows.write("servers", "i-1", None)
        world.register_replica("i-1", "desk", desk.address)
        edge_world.wait_until(
            lambda: caplog.messages.count("target joined") == 2)
        world.rows.write("op", "config", edge_world.configuration())
        edge_world.wait_until(
            lambda: world.send_request("/idempotent/1")[0] == 200)


def test_replica_that_starts_again_after_its_clock_was_set_back_is_used(
        desk_world):
    world, address = desk_world
    entry = {
        "service": "desk",
        "address": address,
        "zone": "a",
        "slots": 6,
        "state": "ready",
        "born": 1000
    }
    world.rows.write("servers", "i-1", entry)
    time.sleep(_READ_WAIT_S)
    world.rows.write("servers", "i-1", entry | {"born": 900})
    time.sleep(_READ_WAIT_S)
    assert _statuses(world, 0.5) == {200}


class _AbsentRows(edge_world.InMemoryRowStore):
    """Rows of a store that may be away."""

    def __init__(self):
        super().__init__()
        self.is_away = False

    def changes(self, table, since, wait_s):
        """Waits for changes, unless the store is away."""
        if self.is_away:
            raise errors.StoreError(errors.Code.STORE_UNAVAILABLE, "away")
        return super().changes(table, since, wait_s)


def test_reader_that_started_in_an_outage_takes_away_no_lapsed_target():
    rows = _AbsentRows()
    second = edge_world.EdgeEnvironment("edge-2", rows)
    rows.write("op", "config", edge_world.configuration())
    added = second.add_replica(
        "i-1", "desk",
        lambda request: [replica.complete_response(request, b"")])
    with second.running():
        edge_world.wait_until(
            lambda: second.send_request("/idempotent/1")[0] == 200)
        rows.is_away = True
        rows.write("servers", "i-1", None)
        assert _statuses(second, 1.5) == {200}
        # It is the first by name, which reads for all.
        first = edge_world.EdgeEnvironment("edge-1", rows)
        with first.edge.running():
            assert _statuses(second, 0.5) == {200}
            rows.is_away = False
            assert _statuses(second, 1.5) == {200}
            second.register_replica("i-1", "desk", added.address)
            assert _statuses(second, 1.5) == {200}


def test_configuration_that_no_daemon_has_is_in_force_once_written_again():
    # All daemons start after the return, on a copy with the older one.
    first = edge_world.EdgeEnvironment("edge-1")
    rows = first.rows
    rows.write("op", "config", edge_world.configuration())
    copy = rows.copy()
    newer = edge_world.configuration(2, pathPrefix="/new/")
    rows.write("op", "config", newer)
    rows.restore(copy)
    second = edge_world.EdgeEnvironment("edge-2", rows)
    with first.running(), second.running():
        for world in (first, second):
            edge_world.wait_until(
                lambda world=world: world.send_request("/new/1")[0] == 404)
        rows.write("op", "config", newer)
        for world in (first, second):
            edge_world.wait_until(
                lambda world=world: world.send_request("/new/1")[0] == 503)


def test_daemon_that_starts_on_an_older_copy_uses_no_target_that_had_left():
    second = edge_world.EdgeEnvironment("edge-2")
    rows = second.rows
    rows.write("op", "config", edge_world.configuration())
    arrived = []

    def respond(request):
        arrived.append(request)
        return [replica.complete_response(request, b"")]

    added = second.add_replica("i-1", "desk", respond)
    copy = rows.copy()
    with second.running():
        edge_world.wait_until(
            lambda: second.send_request("/idempotent/1")[0] == 200)
        second.register_replica("i-1", "desk", added.address, "draining")
        edge_world.wait_until(
            lambda: second.send_request("/idempotent/1")[0] == 503)
        rows.write("servers", "i-1", None)
        rows.restore(copy)
        # It is the first by name, which reads for all.
        first = edge_world.EdgeEnvironment("edge-1", rows)
        with first.running():
            # Until it has heard of its peer, it knows the copy only.
            edge_world.wait_until(
                lambda: first.send_request("/idempotent/1")[0] == 503)
            arrived.clear()
            assert _statuses(first, 1.0) == {503} and not arrived
