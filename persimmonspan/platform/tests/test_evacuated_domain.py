"""Tests daemons while operators evacuate a failure domain and let it return."""

import time

import pytest

from persimmonspan import errors
from testbed import edge_world
from testbed import replica

_REQUESTS = 20
# A change reaches all daemons within this time; 5 s are allowed.
_APPLY_S = 2.0


def _answer(request):
    return [replica.complete_response(request, b"")]


class _Rows:
    """The rows of another store, which may stop to respond to this daemon."""

    def __init__(self, rows):
        self._rows = rows
        self.is_unreachable = False

    def __getattr__(self, name):
        if self.is_unreachable:
            raise errors.StoreError(errors.Code.STORE_UNAVAILABLE,
                                    "no response")
        return getattr(self._rows, name)


@pytest.fixture(name="world")
def _world():
    """A daemon with a replica of `desk` in each of two failure domains."""
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    world.by_zone = {
        zone: world.add_replica(f"i-{zone}", "desk", _answer, zone=zone)
        for zone in "ab"
    }
    with world.running():
        yield world


def _count_requests(world, daemon=None):
    """Sends requests; returns the statuses and how many each zone got."""
    before = {zone: len(item.requests) for zone, item in world.by_zone.items()}
    statuses = {(daemon or world).send_request("/non_idempotent/1")[0]
                for _ in range(_REQUESTS)}
    return statuses, {
        zone: len(item.requests) - before[zone]
        for zone, item in world.by_zone.items()
    }


def _is_evacuated(world, daemon=None):
    return _count_requests(world, daemon) == ({200}, {"a": 0, "b": _REQUESTS})


def test_evacuated_domain_gets_no_request_until_its_row_is_removed(world):
    # The configuration keeps its version.
    assert _count_requests(world)[1]["a"] > 0
    world.rows.write("op", "evacuate/a", "maintenance")
    time.sleep(_APPLY_S)
    assert _is_evacuated(world)
    # A change of the targets does not list them again.
    world.register_replica("i-c", "engines", "127.0.0.1:1", zone="a")
    time.sleep(0.5)
    assert _is_evacuated(world)
    assert b"persimmonspan_evacuated_domains 1.0" in world.edge.exposition()
    world.rows.write("op", "evacuate/a", None)
    edge_world.wait_until(lambda: _count_requests(world)[1]["a"] > 0)
    counts = world.edge.metrics.counts()
    assert (counts["domain_evacuated"], counts["domain_returned"]) == (1, 1)


def test_daemon_that_starts_reads_which_domains_are_evacuated(world):
    world.rows.write("op", "evacuate/a", {})
    other = edge_world.EdgeEnvironment("edge-2", world.rows)
    with other.running():
        assert _is_evacuated(world, other)


def test_digests_carry_the_set_to_a_daemon_without_the_store(world):
    rows = _Rows(world.rows)
    other = edge_world.EdgeEnvironment("edge-2", rows)
    with other.running():
        edge_world.wait_until(
            lambda: world.rows.tables.get("edge_daemons", {}).get("edge-2"))
        time.sleep(0.5)
        rows.is_unreachable = True
        world.rows.write("op", "evacuate/a", {})
        edge_world.wait_until(lambda: _is_evacuated(world, other))
        # The store stops for all; what was read stays in force.
        world.rows.is_unreachable = True
        time.sleep(_APPLY_S)
        assert _is_evacuated(world, other) and _is_evacuated(world)
        world.rows.is_unreachable = False
        world.rows.write("op", "evacuate/a", None)
        edge_world.wait_until(lambda: _count_requests(world, other)[1]["a"])


def _cold_configuration(version=1, cold_start_s=1.0):
    document = edge_world.configuration(version)
    for service in document["services"]:
        service |= {"coldStartS": cold_start_s, "coldPerS": 2}
    return document


def test_target_that_says_in_a_response_that_it_is_cold_gets_few_requests(
        world):
    world.rows.write("op", "config", _cold_configuration(2))
    time.sleep(_APPLY_S / 2)
    world.by_zone["a"].script = lambda request: [
        replica.complete_response(
            request, b"", lines=("X-Cold-Start-Ms: 60000",))
    ]
    edge_world.wait_until(lambda: _count_requests(world)[1]["a"] <= 2)
    assert world.edge.metrics.counts()["target_cold_answer"] == 1


def test_targets_of_a_domain_that_returns_count_as_cold(world):
    world.rows.write("op", "config", _cold_configuration(2, 30.0))
    world.rows.write("op", "evacuate/a", {})
    time.sleep(_APPLY_S)
    world.rows.write("op", "evacuate/a", None)
    edge_world.wait_until(
        lambda: b"persimmonspan_cold_targets 1.0" in world.edge.exposition())
    statuses, counts = _count_requests(world)
    assert statuses == {200} and counts["a"] <= 2
    # An entry that has changed says that it is warm.
    for cold_ms in (500, 0):
        world.register_replica("i-a",
                               "desk",
                               world.by_zone["a"].address,
                               zone="a",
                               coldRemainingMs=cold_ms)
        time.sleep(0.5)
    edge_world.wait_until(lambda: _count_requests(world)[1]["a"] > 2)


def test_without_a_limited_rate_cold_targets_are_used_as_before(world):
    world.register_replica("i-a",
                           "desk",
                           world.by_zone["a"].address,
                           zone="a",
                           coldRemainingMs=60000)
    time.sleep(_APPLY_S / 2)
    assert _count_requests(world)[1]["a"] > 2
