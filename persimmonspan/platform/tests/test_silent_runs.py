"""Tests of streams whose connection goes silent while their run goes on.

Review case 6. The stand-in engines follow the platform's page: a run that is
stopped leaves its memory behind a handle. Callers, engines and the daemon
communicate over loopback.
"""

import json
import threading
import time

import pytest

from persimmonspan.connection import exchange
from persimmonspan.platform import wire
from persimmonspan.request import silent_runs
from testbed import edge_world
from testbed import replica

_LATENCY_OBJECTIVE_MS = 1000  # A stream moves after 2 s of silence.
_MOVE_S = 2.0
_EVENTS_BEFORE = 3


class _Engines:
    """Engines of which the first that runs the stream is cut off from it.

    Args:
        world: World in which the engines are registered.
        count: Number of engines.
        made_events: What the report says of the run; None: 404.
        can_copy: Whether a stopped run can be copied elsewhere.
    """

    def __init__(self, world, count, made_events, can_copy=True):
        self.arrivals = []  # Time and request of each run.
        self.stopped_s = None
        self.silent_s = None
        self.dropped = []
        self._made_events = made_events
        self._can_copy = can_copy
        self._ended = threading.Event()
        self.names = {}
        for number in range(count):
            name = f"i-{number}"
            added = world.add_replica(name, "engines", self._script)
            added.stop_script = self._script
            self.names[added.address] = name

    def end(self):
        """Ends the run that is cut off."""
        self._ended.set()

    def _script(self, request):
        if request.path == "/report":
            return [self._report(request)]
        if request.path == "/kv-move":
            return [self._move(request)]
        if request.method == "DELETE":
            self.dropped.append(request.path)
            return [replica.complete_response(request, b"")]
        self.arrivals.append((time.monotonic(), request))
        return self._run(request)

    def _report(self, request):
        if self._made_events is None:
            return replica.complete_response(request, b"", 404)
        runs = [["r1", 100, self._made_events, 5]]
        return replica.complete_response(
            request,
            json.dumps({
                "waiting": 0,
                "executions": runs if self._made_events else []
            }).encode())

    def _move(self, request):
        document = json.loads(request.body)
        if not document.get("latest"):
            return replica.complete_response(request, b"", 409)
        self.stopped_s = time.monotonic()
        status = 200 if self._can_copy else 503
        return replica.complete_response(request,
                                         b'{"session": "h1", "created": 90}',
                                         status)

    def _run(self, request):
        first = int(request.headers.get("last-event-id", 0)) + 1
        yield replica.stream_head(request)
        for number in range(first, first + _EVENTS_BEFORE):
            yield replica.event_chunk(number)
        if len(self.arrivals) == 1:
            self.silent_s = time.monotonic()
            self._ended.wait(20.0)
            return
        yield replica.STREAM_END


@pytest.fixture(name="world")
def _world():
    return edge_world.EdgeEnvironment()


def _read_ids(world, engines, **route_changes):
    world.rows.write(
        "op", "config",
        edge_world.configuration(targetLatencyMs=_LATENCY_OBJECTIVE_MS,
                                 **route_changes))
    with world.running():
        try:
            status, _, body = world.send_request("/draft/1",
                                                 timeout_s=15.0,
                                                 X_Token_Usage="100,500",
                                                 X_Deadline_Ms="20000")
        finally:
            engines.end()
    assert status == 200
    return [
        int(line[3:]) for line in body.split(b"\n") if line.startswith(b"id:")
    ]


def test_run_is_stopped_before_its_stream_goes_on_elsewhere(world):
    # Failure: the run before worked on, and two engines made one draft.
    engines = _Engines(world, 3, made_events=None)
    assert _read_ids(world, engines) == [1, 2, 3, 4, 5, 6]
    _, first = engines.arrivals[0]
    resumed_s, resumed = engines.arrivals[1]
    assert engines.stopped_s is not None and engines.stopped_s <= resumed_s
    assert resumed_s - engines.silent_s >= _MOVE_S - 0.1
    source = next(address for address, name in engines.names.items()
                  if name == first.headers["x-expected-instance"])
    assert resumed.headers["kv-from"] == f"{source}/h1"
    assert (first.headers["x-expected-instance"]
            != resumed.headers["x-expected-instance"])


def test_run_that_goes_on_behind_a_silent_connection_is_found(world):
    # Failure: a stream waited for 2 s or more for a connection that was dead.
    engines = _Engines(world, 3, made_events=90)
    assert _read_ids(world, engines) == [1, 2, 3, 4, 5, 6]
    resumed_s, _ = engines.arrivals[1]
    assert resumed_s - engines.silent_s < _MOVE_S
    assert engines.stopped_s <= resumed_s


def test_run_that_is_silent_itself_is_not_stopped_early(world):
    # Failure: an engine that pauses would lose its stream after a second.
    engines = _Engines(world, 3, made_events=_EVENTS_BEFORE)
    assert _read_ids(world, engines) == [1, 2, 3, 4, 5, 6]
    assert engines.stopped_s - engines.silent_s >= _MOVE_S - 0.1


def test_stopped_run_without_a_copy_goes_on_at_its_target(world):
    # Failure: a stream without a copy ended with its dead connection.
    engines = _Engines(world, 1, made_events=90, can_copy=False)
    assert _read_ids(world, engines) == [1, 2, 3, 4, 5, 6]
    first, resumed = (request for _, request in engines.arrivals)
    assert (first.headers["x-expected-instance"] ==
            resumed.headers["x-expected-instance"])
    assert resumed.headers["kv-from"].endswith("/h1")


def test_run_of_a_resumable_stream_is_stopped_too(world):
    # Failure: a stream that was run anew left its first run at work.
    engines = _Engines(world, 2, made_events=None, can_copy=False)
    assert _read_ids(world, engines, resumable=True,
                     maxAttempts=2) == [1, 2, 3, 4, 5, 6]
    assert engines.stopped_s <= engines.arrivals[1][0]


def test_run_is_stopped_if_its_caller_leaves_while_it_is_silent(world):
    # Failure: a run whose closed connection it does not see had no caller.
    engines = _Engines(world, 1, made_events=_EVENTS_BEFORE)
    world.rows.write(
        "op", "config",
        edge_world.configuration(targetLatencyMs=_LATENCY_OBJECTIVE_MS))
    with world.running():
        with pytest.raises(TimeoutError):
            world.send_request("/draft/1",
                               timeout_s=1.3,
                               X_Token_Usage="100,500",
                               X_Deadline_Ms="20000")
        edge_world.wait_until(lambda: engines.stopped_s)
        engines.end()


@pytest.mark.parametrize("body, run", [
    (b'{"executions": [["r1", 9, 4, 5], ["r2", 9, 7, 5]]}', (4, 0)),
    (b'{"executions": [], "waiting": 2}', (None, 2)),
    (b'{"waiting": 2}', None),
    (b'{"executions": [["r1"]]}', None),
    (b'{"executions": 3}', None),
    (b"garbage", None),
])
def test_report_of_a_run_is_read_or_tells_nothing(body, run):
    decoded = wire.decode_run(exchange.RawResponseHead(200, ()), body, "r1")
    assert decoded == run


def test_preempted_run_counts_as_silent():
    # Failure: a run that waits for memory would be taken for a lost one.
    run = wire.decode_run(exchange.RawResponseHead(200, ()),
                          b'{"executions": [], "waiting": 1}', "r1")
    assert silent_runs.judge(run, 3) is silent_runs.Verdict.SILENT
