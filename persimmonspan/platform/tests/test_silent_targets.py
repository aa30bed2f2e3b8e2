"""Tests of streams whose target is silent for a while and goes on.

Callers, replicas and the daemon communicate over loopback.
"""

import time

from testbed import edge_world
from testbed import replica

# Callers wait for four times this, so for 4 s.
_LATENCY_OBJECTIVE_MS = 1000


def _world(latency_objective_ms=_LATENCY_OBJECTIVE_MS, **route_changes):
    world = edge_world.EdgeEnvironment()
    world.rows.write(
        "op", "config",
        edge_world.configuration(targetLatencyMs=latency_objective_ms,
                                 **route_changes))
    return world


def _script(silence_s):

    def script(request):
        first = int(request.headers.get("last-event-id", 0)) + 1
        yield replica.stream_head(request)
        yield replica.event_chunk(first)
        if first == 1:
            time.sleep(silence_s)
        yield replica.event_chunk(first + 1)
        yield replica.STREAM_END

    return script


def _read_ids(world, deadline_ms=20000):
    status, _, body = world.send_request("/draft/1",
                                         X_Deadline_Ms=str(deadline_ms))
    assert status == 200
    return [line for line in body.split(b"\n") if line.startswith(b"id:")]


def test_silence_that_callers_bear_does_not_cut_a_stream():
    world = _world()
    world.add_replica("i-1", "engines", _script(3.0))
    with world.running():
        assert _read_ids(world) == [b"id: 1", b"id: 2"]
        assert b"stream_silence_borne" in world.edge.exposition()


def test_silence_of_a_second_or_two_does_not_move_a_stream():
    world = _world(resumable=True, maxAttempts=2)
    engines = [
        world.add_replica(f"i-{number}", "engines", _script(1.7))
        for number in range(2)
    ]
    with world.running():
        assert _read_ids(world) == [b"id: 1", b"id: 2"]
    # A question about the stream is no attempt of it.
    assert [
        request.path
        for engine in engines
        for request in engine.requests
        if request.path != "/report"
    ] == ["/draft/1"]


def test_silent_stream_continues_elsewhere_while_its_caller_waits():
    world = _world(resumable=True, maxAttempts=2)
    for number in range(2):
        world.add_replica(f"i-{number}", "engines", _script(30.0))
    with world.running():
        assert _read_ids(world) == [b"id: 1", b"id: 2", b"id: 3"]


def test_silent_stream_moves_early_enough_for_its_deadline():
    world = _world(2 * _LATENCY_OBJECTIVE_MS, resumable=True, maxAttempts=2)

    def script(request):
        yield replica.stream_head(request)
        if "last-event-id" in request.headers:
            time.sleep(2.5)  # The prompt is read again.
            yield replica.event_chunk(2)
            yield replica.STREAM_END
            return
        yield replica.event_chunk(1)
        time.sleep(30.0)

    for number in range(2):
        world.add_replica(f"i-{number}", "engines", script)
    with world.running():
        assert _read_ids(world, 6000) == [b"id: 1", b"id: 2"]
