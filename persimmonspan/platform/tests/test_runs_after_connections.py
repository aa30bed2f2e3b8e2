"""Tests of runs that go on at their engine after their connection has ended.

Review case 12. An engine need not drop a run when its connection ends. The
stand-in engines go on until they are told to stop, and like the platform's
replicas they refuse a stop that names no other replica. Callers, engines and
the daemon communicate over loopback.
"""

import contextlib
import socket
import threading
import time

import pytest

from persimmonspan.process import stream_origins
from persimmonspan.request import resumption
from testbed import edge_world
from testbed import lasting_runs
from testbed import replica

# Two runs may overlap for as long (TWICE), and a run may outlast its caller
# (GONE).
_MAX_OVERLAP_S = 0.4
_MAX_AFTER_CALLER_S = 0.5
_PAUSE_OBJECTIVE_S = 0.18  # `interTokenMs` of the users' sheets.

_RESET = [replica.ConnectionReset()]
_EARLY_END = []
_NO_CHUNK = [b"zz\r\n"]
_NO_EVENT = [b"5\r\nhello\r\n", b"2\r\n\n\n\r\n"]
_MISSING_EVENT = [replica.event_chunk(lasting_runs.CUT_AFTER + 2)]


@pytest.fixture(name="world")
def _world():
    return edge_world.EdgeEnvironment()


_ALL_EVENTS = list(range(1, lasting_runs.EVENTS + 1))
_ENDS = {
    "reset": _RESET,
    "early end": _EARLY_END,
    "no chunk": _NO_CHUNK,
    "no event": _NO_EVENT,
    "missing event": _MISSING_EVENT
}
_WAYS = {
    "from a backup": {},
    "by a new run": {
        "has_backups": False,
        "resumable": True,
        "maxAttempts": 2
    }
}


@pytest.mark.parametrize("way", _WAYS)
@pytest.mark.parametrize("end", _ENDS)
def test_run_is_stopped_before_its_stream_goes_on_elsewhere(world, end, way):
    # Failure: both engines generated the stream to its end.
    lasting_runs.configure(world, **_WAYS[way])
    engines = lasting_runs.Engines(world, _ENDS[end])
    with world.running():
        ids, _ = lasting_runs.read_events(world)
        time.sleep(_MAX_OVERLAP_S)
        assert ids == _ALL_EVENTS
        assert len(engines.runs) == 2
        assert engines.runs[0].stopped.is_set()
        assert max(engines.overlaps_s()) <= _MAX_OVERLAP_S


@pytest.mark.parametrize("statuses", [[409], [503], [500, 409], [429]])
def test_run_is_stopped_again_until_its_target_confirms(world, statuses):
    # Failure: a call without a confirmation was the last one.
    lasting_runs.configure(world)
    engines = lasting_runs.Engines(world, _RESET)
    engines.first_statuses = list(statuses)
    with world.running():
        ids, _ = lasting_runs.read_events(world)
        assert ids == _ALL_EVENTS
        assert engines.runs[0].stopped.is_set()
        assert len(engines.stops) == 1


def test_memory_of_a_run_that_is_stopped_late_is_freed(world):
    # Failure: its copy took the place of a request for seconds.
    lasting_runs.configure(world)
    engines = lasting_runs.Engines(world, _RESET, answer_s=0.3)
    with world.running():
        ids, _ = lasting_runs.read_events(world)
        assert ids == _ALL_EVENTS
        # It went on from the backup, and did not wait for the copy.
        assert engines.runs[1].request.headers["kv-from"].endswith("/r1")
        edge_world.wait_until(lambda: engines.dropped)
    assert engines.dropped == ["/kv-handle/h1"]


@pytest.mark.parametrize("fail", lasting_runs.FAILURES)
def test_target_out_of_reach_does_not_hold_its_stream_up(fail):
    # Failure: a stream waited for a target that was gone until it was late.
    # A busy machine adds pauses of its own, so the shortest of three counts.
    pauses_s = []
    for _ in range(3):
        world = edge_world.EdgeEnvironment()
        lasting_runs.configure(world)
        engines = lasting_runs.Engines(world, _RESET)
        engines.failure = fail
        with world.running():
            ids, times_s = lasting_runs.read_events(world)
            engines.hang.clear()
            for stub in engines.stubs.values():
                stub.unblock()
        assert ids == _ALL_EVENTS
        pauses_s.append(times_s[lasting_runs.CUT_AFTER] -
                        times_s[lasting_runs.CUT_AFTER - 1])
    assert min(pauses_s) <= _PAUSE_OBJECTIVE_S


def test_run_is_stopped_when_its_target_can_be_reached_again(world):
    # Failure: a target that was out of reach for a second worked on for 40 s.
    lasting_runs.configure(world)
    engines = lasting_runs.Engines(world, _RESET)
    engines.failure = lasting_runs.block
    with world.running():
        thread = threading.Thread(target=lasting_runs.read_events,
                                  args=(world,))
        thread.start()
        edge_world.wait_until(lambda: len(engines.runs) == 2)
        time.sleep(0.5)
        assert engines.runs[0].is_active
        engines.stubs[engines.runs[0].engine].unblock()
        unblocked_s = time.monotonic()
        assert engines.runs[0].stopped.wait(edge_world.TIMEOUT_S)
        assert time.monotonic() - unblocked_s <= 1.0
        thread.join()


@pytest.mark.parametrize("events_before", [0, 3])
def test_run_is_stopped_if_its_caller_leaves(world, events_before):
    # Failure: the engine worked for a caller that had left.
    lasting_runs.configure(world)
    engines = lasting_runs.Engines(world, _RESET, is_cut=False)
    address = edge_world.split_address(world.options.listen_address)
    with world.running():
        with socket.create_connection(address, 5.0) as caller:
            lasting_runs.send_request(caller, "/draft/1", {})
            if events_before:
                with caller.makefile("rb") as lines:
                    while not next(lines).startswith(b"id: 3"):
                        pass
            else:
                edge_world.wait_until(lambda: engines.runs)
        left_s = time.monotonic()
        run = engines.runs[0]
        assert run.stopped.wait(edge_world.TIMEOUT_S)
        assert run.end_s - left_s <= _MAX_AFTER_CALLER_S


def test_queued_request_is_stopped_once_it_runs(world):
    # Failure: one answer that it does not run yet was taken for its end.
    lasting_runs.configure(world)
    engines = lasting_runs.Engines(world, _RESET, is_cut=False)
    engines.is_queueing = True
    address = edge_world.split_address(world.options.listen_address)
    with world.running():
        with socket.create_connection(address, 5.0) as caller:
            lasting_runs.send_request(caller, "/draft/1", {})
            edge_world.wait_until(lambda: engines.runs)
        edge_world.wait_until(lambda: engines.stops)
        engines.is_queueing = False
        assert engines.runs[0].stopped.wait(edge_world.TIMEOUT_S)


def test_run_is_stopped_if_a_planned_stop_cuts_it(world):
    # Failure: a daemon that ended left its runs at work.
    lasting_runs.configure(world)
    engines = lasting_runs.Engines(world, _RESET, is_cut=False)
    world.edge.reload(world.options._replace(grace_s=0.9))
    with world.running():
        thread = threading.Thread(target=_read_cut_stream, args=(world,))
        thread.start()
        edge_world.wait_until(lambda: engines.runs)
        time.sleep(0.1)
        world.edge.stop()
        assert engines.runs[0].stopped.wait(0.2)
        thread.join()


def _read_cut_stream(world):
    with contextlib.suppress(OSError):
        lasting_runs.read_events(world)


def test_run_of_a_lost_daemon_is_stopped_when_its_stream_is_taken_up(world):
    # Failure: a caller that went on at another daemon had two runs, as only
    # the daemon that was lost knew the first target.
    lasting_runs.configure(world, resumable=True, maxAttempts=2)
    engines = lasting_runs.Engines(world, _RESET, is_cut=False)
    origins = stream_origins.StreamOrigins(lambda address: world.rows, "")
    with origins.running():
        assert origins.record(stream_origins.stream_id("t", "r0"), 1,
                              resumption.Origin("engines", "v1", "i-0", "r0"))
    lost = replica.Request("POST", "/draft/1", {"x-attempt-id": "r0"}, b"x")
    engines.runs.append(lasting_runs.Run("i-0", lost))
    with world.running():
        began_s = time.monotonic()
        ids, _ = lasting_runs.read_events(world,
                                          Resumes="r0",
                                          Last_Event_Id="3")
        assert ids == _ALL_EVENTS[3:]
        assert engines.runs[0].stopped.is_set()
        assert engines.runs[0].end_s - began_s <= _MAX_OVERLAP_S


def test_run_that_ends_with_its_own_response_is_not_stopped(world):
    # Failure: calls for each stream that ended as it should.
    lasting_runs.configure(world)
    engines = lasting_runs.Engines(world, _RESET, is_cut=False)
    with world.running():
        ids, _ = lasting_runs.read_events(world)
        assert ids == _ALL_EVENTS
        time.sleep(0.3)
    assert not engines.stops
