"""Tests of streams that continue from a copy made when their target leaves.

The stub replicas record the requested moves and complete them at once; a test
then interrupts the stream or lets it end.
"""

import http.client
import threading
import time

import pytest

from testbed import edge_world
from testbed import replica

_EVENTS = 120
_EVENT_INTERVAL_S = 0.02
# Time for the daemon to read the leaving state; several reads of the store.
_NOTICE_WAIT_S = 0.5


class _EngineGroup:
    """Stub replicas with one script and a common record of their calls.

    Args:
        world: World in which the replicas are registered.
        refusing: Number of moves that are refused with status 503.
    """

    def __init__(self, world, refusing=0):
        self.moves = []
        self.drops = []
        self.resumed = []
        self.interrupted = threading.Event()
        self._refusing = refusing
        self._running_on = None
        self._backup_address = None
        self._world = world
        self._replicas = {
            f"i-{number}":
                world.add_replica(f"i-{number}", "engines", self._script)
            for number in range(6)
        }

    def _script(self, request):
        if request.path == "/kv-move":
            return self._move(request)
        if request.path.startswith("/kv-handle/"):
            self.drops.append(request.path.rpartition("/")[2])
            return [replica.complete_response(request, b"")]
        if request.headers.get("kv-from", "").endswith("/r1"):
            return [replica.not_run(request)]  # The backup is gone.
        if "kv-from" in request.headers:
            self.resumed.append(request.headers)
            return self._stream(request, threading.Event())
        self._backup_address = request.headers["x-kv-backup"]
        self._running_on = request.headers["x-expected-instance"]
        return self._stream(request, self.interrupted)

    def _move(self, request):
        self.moves.append(request.body)
        if len(self.moves) <= self._refusing:
            return [replica.complete_response(request, b"{}", 503)]
        return [
            replica.complete_response(request,
                                      b'{"session": "h1", "created": 1}')
        ]

    def _stream(self, request, interrupted):
        first = int(request.headers.get("last-event-id", 0)) + 1
        yield replica.stream_head(request)
        for number in range(first, _EVENTS + 1):
            if interrupted.is_set():
                return
            yield replica.event_chunk(number)
            time.sleep(_EVENT_INTERVAL_S)
        yield replica.STREAM_END

    def address(self):
        """Returns the address of the replica that runs the stream."""
        return self._replicas[self._running_on].address

    def leave(self):
        """Marks the backup's replica, then the stream's one, as leaving."""
        edge_world.wait_until(lambda: self._running_on)
        for address in (self._backup_address, self.address()):
            for name, stub in self._replicas.items():
                if stub.address == address:
                    self._world.register_replica(name, "engines", address,
                                                 "draining")
            time.sleep(_NOTICE_WAIT_S)


@pytest.fixture(name="world")
def _world():
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    return world


def _check_stream_is_complete(world):
    status, _, body = world.send_request("/draft/1", X_Token_Usage="100,500")
    assert status == 200
    numbers = [line for line in body.split(b"\n") if line.startswith(b"id:")]
    assert numbers == [b"id: %d" % number for number in range(1, _EVENTS + 1)]


def _run_after_move(engines, action):
    """Lets the replicas leave and runs an action after a move, in a thread."""

    def run():
        engines.leave()
        edge_world.wait_until(lambda: engines.moves)
        time.sleep(0.1)
        action()

    thread = threading.Thread(target=run)
    thread.start()
    return thread


@pytest.mark.parametrize("refusing", [0, 2])
def test_interrupted_stream_continues_at_its_evacuation_target(world, refusing):
    engines = _EngineGroup(world, refusing)
    with world.running():
        thread = _run_after_move(engines, engines.interrupted.set)
        _check_stream_is_complete(world)
        thread.join()
    assert len(engines.moves) == refusing + 1
    assert len(set(engines.moves)) == refusing + 1
    headers, = engines.resumed
    assert headers["kv-from"] == f"{engines.address()}/h1"
    assert not engines.drops


def test_copy_is_freed_when_the_stream_ends_before_its_target(world):
    engines = _EngineGroup(world)
    with world.running():
        thread = _run_after_move(engines, lambda: None)
        _check_stream_is_complete(world)
        thread.join()
        edge_world.wait_until(lambda: engines.drops)
    assert engines.drops == ["h1"]
    assert not engines.resumed


def test_interrupted_stream_without_an_evacuation_target_ends_incomplete(world):
    engines = _EngineGroup(world, refusing=9)
    with world.running():
        thread = _run_after_move(engines, engines.interrupted.set)
        with pytest.raises(http.client.IncompleteRead):
            _check_stream_is_complete(world)
        thread.join()
