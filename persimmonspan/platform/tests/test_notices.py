"""Tests that streams outlive engines that leave while the store is silent.

The load: engines leave every few seconds with about two seconds of notice, and
the store does not answer for eight. Callers must get complete streams.
"""

import json
import threading
import time

import pytest

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.platform import wire
from persimmonspan.process import scheduler_actor
from testbed import edge_world
from testbed import replica

_EVENTS = 30
_PAUSE_S = 0.1
_HANDLE = "h1"


class _SilentRows:
    """Rows that cannot be read while `is_silent` is set."""

    def __init__(self, rows):
        self._rows = rows
        self.is_silent = threading.Event()

    def _check(self):
        if self.is_silent.is_set():
            raise errors.StoreError(errors.Code.STORE_UNAVAILABLE,
                                    "no response")

    def read(self, table):
        """Returns all rows of a table."""
        self._check()
        return self._rows.read(table)

    def changes(self, table, since, wait_s):
        """Waits for rows that changed after a version."""
        self._check()
        return self._rows.changes(table, since, wait_s)

    def put(self, table, key, value):
        """Writes a row."""
        self._rows.put(table, key, value)

    def write(self, table, key, document):
        """Writes a row as an operator or a target."""
        self._rows.write(table, key, document)


class _Engine:
    """An engine that breaks off its streams once it has left."""

    def __init__(self):
        self.is_leaving = threading.Event()
        self.has_left = threading.Event()
        self.reports = 0

    def __call__(self, request):
        if request.path == "/report":
            self.reports += 1
            state = "draining" if self.is_leaving.is_set() else "ready"
            yield replica.complete_response(
                request,
                json.dumps({
                    "state": state
                }).encode())
        elif request.path == "/kv-move":
            yield replica.complete_response(
                request,
                json.dumps({
                    "session": _HANDLE,
                    "created": 1
                }).encode())
        elif request.path.startswith("/kv-handle/"):
            yield replica.complete_response(request, b"")
        else:
            first = int(request.headers.get("last-event-id", -1)) + 1
            yield replica.stream_head(request)
            for number in range(first, _EVENTS):
                if self.has_left.is_set():
                    yield replica.ConnectionReset()
                yield replica.event_chunk(number)
                time.sleep(_PAUSE_S)
            yield replica.STREAM_END


def test_stream_is_copied_when_its_engine_leaves_in_an_outage():
    rows = _SilentRows(edge_world.InMemoryRowStore())
    world = edge_world.EdgeEnvironment(rows=rows)
    rows.write("op", "config", edge_world.configuration())
    engines = [_Engine(), _Engine()]
    for number, engine in enumerate(engines):
        world.add_replica(f"e-{number}", "engines", engine)

    def leave():
        # The one that runs the stream is not known ahead: both would do.
        time.sleep(0.3)
        rows.is_silent.set()
        time.sleep(0.2)
        running = world.edge.scheduler.ask(
            scheduler_actor.Evaluate(
                lambda state, now_s:
                [item.target for item in state.running.values()]))
        engine = engines[int(running[0].removeprefix("e-"))]
        engine.is_leaving.set()
        time.sleep(2.0)
        engine.has_left.set()

    with world.running():
        time.sleep(0.5)  # Both are read.
        leaving = threading.Thread(target=leave)
        leaving.start()
        # Too large for a copy from its start, which only little memory is for.
        status, _, body = world.send_request("/draft/1",
                                             X_Deadline_Ms="20000",
                                             X_Token_Usage="20000,200")
        leaving.join()
    assert status == 200 and body.count(b"data:") == _EVENTS


def test_engines_are_not_asked_while_the_store_answers():
    rows = edge_world.InMemoryRowStore()
    world = edge_world.EdgeEnvironment(rows=rows)
    rows.write("op", "config", edge_world.configuration())
    engine = _Engine()
    world.add_replica("e-0", "engines", engine)
    with world.running():
        edge_world.wait_until(lambda: world.send_request(
            "/draft/1", X_Deadline_Ms="9000")[0] == 200)
    assert not engine.reports


@pytest.mark.parametrize("status, body, is_leaving", [
    (200, b'{"state": "draining"}', True),
    (200, b'{"state": "ready", "leaves_ms": 1500}', True),
    (200, b'{"state": "ready", "running": 3}', False),
    (200, b'{"state": 7}', False),
    (200, b"\xff", False),
    (503, b'{"state": "draining"}', False),
])
def test_leaving_is_decoded_from_a_report(status, body, is_leaving):
    head = exchange.RawResponseHead(status, ())
    assert wire.decode_leaving(head, body) is is_leaving
