"""Tests of daemons that share store snapshots with their peers."""

import contextlib
import logging
import time

import pytest

from persimmonspan import errors
from testbed import edge_world
from testbed import replica

_VERSION = 7
# Several intervals between digests.
_DIGEST_WAIT_S = 0.5


class _RefusingStore:
    """A store that refuses the calls of one daemon when `is_refusing` is set.

    Until then the daemon writes its own row, so that its peers find it.
    """

    def __init__(self, rows):
        self._rows = rows
        self.is_refusing = False
        self.calls = []

    def _check(self, table):
        if self.is_refusing:
            self.calls.append(table)
            raise errors.StoreError(errors.Code.STORE_UNAVAILABLE, "status 503")

    def read(self, table):
        """Returns all rows of a table."""
        self._check(table)
        return self._rows.read(table)

    def changes(self, table, since, wait_s):
        """Waits for rows that changed after a version."""
        self._check(table)
        return self._rows.changes(table, since, wait_s)

    def put(self, table, key, value):
        """Writes a row."""
        self._check(table)
        self._rows.put(table, key, value)


@pytest.fixture(name="pair")
def _pair(caplog):
    """A daemon that reads the store, and one that the store can refuse."""
    caplog.set_level(logging.INFO)
    first = edge_world.EdgeEnvironment("edge-1")
    first.rows.write("op", "config", edge_world.configuration())
    refusing_store = _RefusingStore(first.rows)
    second = edge_world.EdgeEnvironment("edge-2", refusing_store)
    with contextlib.ExitStack() as stack:
        stack.enter_context(first.running())
        stack.enter_context(second.running())
        # The second reads the first's row and sends it a digest; the first logs
        # this.
        edge_world.wait_until(lambda: "peer found" in caplog.text)
        time.sleep(_DIGEST_WAIT_S)
        yield first, second, refusing_store


def test_daemon_that_the_store_refuses_gets_configurations_from_its_peer(pair):
    first, second, refusing_store = pair
    first.add_replica("i-1", "desk",
                      lambda request: [replica.complete_response(request, b"")])
    refusing_store.is_refusing = True
    first.rows.write("op", "config",
                     edge_world.configuration(_VERSION, pathPrefix="/new/"))
    edge_world.wait_until(lambda: second.send_request("/new/1")[0] == 200)


def test_daemon_whose_peer_reads_the_store_makes_no_store_calls(pair):
    first, second, refusing_store = pair
    first.add_replica("i-1", "desk",
                      lambda request: [replica.complete_response(request, b"")])
    edge_world.wait_until(
        lambda: second.send_request("/idempotent/1")[0] == 200)
    refusing_store.is_refusing = True
    first.rows.write("op", "config",
                     edge_world.configuration(_VERSION, pathPrefix="/new/"))
    edge_world.wait_until(lambda: second.send_request("/new/1")[0] == 200)
    assert not refusing_store.calls
