"""An edge daemon in this process, with a store in memory and stand-in replicas.

Callers, replicas and the daemon communicate over loopback.
"""

import contextlib
import http.client
import json
import threading
import time

from persimmonspan import errors
from persimmonspan.platform import program
from persimmonspan.process import edge
from persimmonspan.process import edge_settings
from persimmonspan.process import row_store
from testbed import processes
from testbed import replica

HOST = "a.example"
TIMEOUT_S = 5.0


class InMemoryRowStore:
    """Rows in memory, with the interface of the store client."""

    def __init__(self):
        self.tables = {"op": {}, "servers": {}}
        self.version = 1
        self.era = 1
        self.is_unreachable = False  # No call but the waiting ones is answered.
        self.row_changed = threading.Condition()

    def write(self, table, key, document):
        """Writes a row; removes it if the document is None."""
        self._write_value(
            table, key,
            None if document is None else json.dumps(document).encode())

    def _write_value(self, table, key, value):
        with self.row_changed:
            self.version += 1
            self.tables.setdefault(table, {})[key] = value, self.version
            self.row_changed.notify_all()

    def copy(self):
        """Returns a copy of all rows from which the store may come back."""
        with self.row_changed:
            return {
                name: dict(rows) for name, rows in self.tables.items()
            }, self.version

    def restore(self, copy):
        """Comes back from a copy: what was written since is lost.

        The versions since are given out again, in the next era.
        """
        with self.row_changed:
            self.era += 1
            self.tables, self.version = copy
            self.row_changed.notify_all()

    def read(self, table):
        """Returns all rows of a table."""
        self._check_reachable()
        return self.changes(table, 0, 0.0)

    def read_range(self, table, start, end):
        """Returns the rows from a key to before another."""
        return tuple(row for row in sorted(self.read(table).rows)
                     if start <= row.key < end)

    def change(self, table, values, removed=()):
        """Writes and removes rows at once."""
        self._check_reachable()
        for key, value in values.items():
            self._write_value(table, key, value)
        for key in removed:
            self._write_value(table, key, None)

    def _check_reachable(self):
        if self.is_unreachable:
            raise errors.StoreError(errors.Code.STORE_UNAVAILABLE,
                                    "no response")

    def changes(self, table, since, wait_s):
        """Waits for rows that changed after a version.

        Returns the rows and the current version when the wait ends. Version 0
        asks for all rows that are not removed.

        Raises:
            row_store.HistoryLostError: The store does not have the version.
        """

        def rows():
            return tuple(
                row_store.Row(key, value, version)
                for key, (value, version) in self.tables.get(table, {}).items()
                if version > since and (value is not None or since))

        with self.row_changed:
            self.row_changed.wait_for(lambda: rows() or since > self.version,
                                      wait_s)
            if since > self.version:
                raise row_store.HistoryLostError(
                    errors.Code.STORE_UNAVAILABLE,
                    "the store does not have the version")
            return row_store.Rows(rows(), self.version, self.era)

    def put(self, table, key, value):
        """Writes a row with an arbitrary value."""
        self.change(table, {key: value})


def free_address():
    """Returns an address on which no process listens."""
    return f"127.0.0.1:{processes.free_port()}"


def configuration(version=1, **route_changes):
    """Returns a configuration with a route of each kind."""
    engine = {"slots": 8, "kvCapacity": 30000, "snapshots": True}
    return {
        "version": version,
        "routes": [{
            "name": kind,
            "host": HOST,
            "pathPrefix": f"/{kind}/",
            "kind": "streaming" if kind == "draft" else kind,
            "timeoutMs": 30000 if kind == "draft" else 2000,
            "targetLatencyMs": 500,
            "service": "engines" if kind == "draft" else "desk",
            "maxAttempts": 2 if kind == "idempotent" else 1
        } | route_changes
                   for kind in ("idempotent", "non_idempotent", "draft")],
        "services": [{
            "name": "desk"
        }, {
            "name": "engines",
            "runtime": engine
        }],
        "tenants": [{
            "name": "t",
            "apiKeys": ["k"]
        }]
    }


class EdgeEnvironment:
    """A daemon, its store, and replicas by name."""

    def __init__(self, name="edge-1", rows=None, grace_s=2.0):
        self.rows = rows if rows is not None else InMemoryRowStore()
        self.options = edge_settings.EdgeSettings(name,
                                                  "a",
                                                  free_address(),
                                                  free_address(),
                                                  free_address(),
                                                  "store",
                                                  grace_s=grace_s)
        self.edge = edge.Edge(
            self.options,
            program.PLATFORM._replace(open_store=lambda address: self.rows))
        self._replicas = contextlib.ExitStack()

    def add_replica(self, name, service, script, version=None, **fields):
        """Starts a replica and registers it, with these fields in its row."""
        added = self._replicas.enter_context(replica.Replica(script).running())
        self.register_replica(name,
                              service,
                              added.address,
                              version=version,
                              **fields)
        return added

    def register_replica(self,
                         name,
                         service,
                         address,
                         state="ready",
                         born=1,
                         version=None,
                         **fields):
        """Writes the store row of a replica."""
        self.rows.write(
            "servers", name, {
                "service": service,
                "address": address,
                "zone": "a",
                "slots": 6,
                "state": state,
                "born": born
            } | ({} if version is None else {
                "version": version
            }) | fields)

    @contextlib.contextmanager
    def running(self):
        """Runs the daemon until the block ends."""
        with self._replicas, self.edge.running():
            wait_until(self.edge.is_ready)
            yield self

    def send_request(self,
                     path,
                     method="POST",
                     body=b"x",
                     timeout_s=TIMEOUT_S,
                     **headers):
        """Sends a request; returns status, headers and body."""
        connection = http.client.HTTPConnection(*split_address(
            self.options.listen_address),
                                                timeout=timeout_s)
        values = {
            "Host": HOST,
            "X-Attempt-Id": "r1",
            "X-Api-Key": "k",
            "X-Deadline-Ms": "4000"
        } | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        with contextlib.closing(connection):
            connection.request(method, path, body, values)
            response = connection.getresponse()
            return response.status, response.headers, response.read()


@contextlib.contextmanager
def running_pair(read_logs):
    """Runs two daemons with a common store, until the block ends.

    `read_logs` returns what was logged; in it, one daemon finds the other.
    """
    first = EdgeEnvironment("edge-1")
    first.rows.write("op", "config", configuration())
    second = EdgeEnvironment("edge-2", first.rows)
    with first.running(), second.running():
        wait_until(lambda: "peer found" in read_logs())
        yield first, second


def split_address(address):
    """Returns the host and the port of an address."""
    host, port = address.split(":")
    return host, int(port)


def wait_until(condition):
    """Waits until a condition holds; fails after `TIMEOUT_S`."""
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.01)
