"""Tests that targets which say in their answers that they leave get no work.

The store still shows them as ready, does not answer, or comes back from an
older copy.
"""

import json
import logging
import threading
import time

import pytest

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.platform import wire
from persimmonspan.process import scheduler_actor
from testbed import edge_world
from testbed import replica

_SETTLE_S = 0.3
_REQUESTS = 12
_EVENTS = 30
_PAUSE_S = 0.1
_HANDLE = "h1"


class _Rows(edge_world.InMemoryRowStore):
    """Rows that cannot be read while `is_silent` is set."""

    def __init__(self):
        super().__init__()
        self.is_silent = threading.Event()

    def changes(self, table, since, wait_s):
        """Waits for rows that changed after a version."""
        if self.is_silent.is_set():
            raise errors.StoreError(errors.Code.STORE_UNAVAILABLE,
                                    "no response")
        return super().changes(table, since, wait_s)


def _answer(request):
    return [replica.complete_response(request, b"ok")]


def _send_many(world, prefix):
    """Returns the statuses of several requests."""
    return [
        world.send_request("/idempotent/1", X_Attempt_Id=f"{prefix}{number}")[0]
        for number in range(_REQUESTS)
    ]


def _arrived(stub, prefix):
    return sum(request.id.startswith(prefix) for request in stub.requests)


@pytest.fixture(name="world")
def _world():
    world = edge_world.EdgeEnvironment(rows=_Rows())
    world.rows.write("op", "config", edge_world.configuration())
    return world


def _make_leave(world, stub):
    """Lets a target leave and waits until it has said so in an answer."""
    stub.is_leaving = True
    before = len(stub.requests)
    edge_world.wait_until(
        lambda: _send_many(world, "said") and len(stub.requests) > before)
    time.sleep(_SETTLE_S)


def test_target_that_says_it_leaves_gets_no_request_in_an_outage(world):
    left, other = (
        world.add_replica(name, "desk", _answer) for name in ("i-1", "i-2"))
    with world.running():
        edge_world.wait_until(lambda: _send_many(world, "first") and left.
                              requests and other.requests)
        world.rows.is_silent.set()
        _make_leave(world, left)
        assert set(_send_many(world, "after")) == {200}
    assert not _arrived(left, "after")


def _full(request):
    return [replica.not_run(request)]


def _failed(request):
    return [replica.complete_response(request, b"", 500)]


def _broken(request):
    return [
        replica.response_head(request, 200, "Content-Length: 9"),
        replica.ConnectionReset()
    ]


def _event(request):
    return [
        replica.stream_head(request),
        replica.event_chunk(0), replica.STREAM_END
    ]


@pytest.mark.parametrize("path, script", [("/idempotent/1", _answer),
                                          ("/idempotent/1", _full),
                                          ("/idempotent/1", _failed),
                                          ("/idempotent/1", _broken),
                                          ("/draft/1", _event)],
                         ids=["whole", "full", "failed", "broken", "stream"])
def test_target_that_says_it_leaves_in_any_answer_gets_no_other_request(
        world, path, script):
    service = "engines" if path.startswith("/draft") else "desk"
    stub = world.add_replica("i-1", service, _answer)
    stub.script, stub.is_leaving = script, True
    with world.running():
        edge_world.wait_until(
            lambda: world.send_request(path) and stub.requests)
        time.sleep(_SETTLE_S)
        # The target is no longer to be avoided because of its failure.
        time.sleep(1.0)
        world.send_request(path, X_Attempt_Id="after", X_Deadline_Ms="1000")
    assert not _arrived(stub, "after")


def test_leaving_target_that_an_older_copy_shows_again_gets_no_request(world):
    stub = world.add_replica("i-1", "desk", _answer)
    rows = world.rows
    with world.running():
        edge_world.wait_until(lambda: stub.requests or _send_many(world, "a"))
        copy = rows.copy()
        _make_leave(world, stub)
        rows.write("servers", "i-1", None)
        time.sleep(_SETTLE_S)
        rows.restore(copy)
        # Its entry is believed again once it has outlived its removal.
        time.sleep(7.0)
        world.register_replica("i-2", "engines", stub.address)
        time.sleep(_SETTLE_S)
        world.send_request("/idempotent/1",
                           X_Attempt_Id="after",
                           X_Deadline_Ms="1000")
    assert not _arrived(stub, "after")


def test_target_that_restarts_after_it_left_is_used_in_spite_of_a_late_answer(
        world, caplog):
    caplog.set_level(logging.INFO)
    has_restarted = threading.Event()

    def answer(request):
        if request.id == "late":
            has_restarted.wait(edge_world.TIMEOUT_S)
            time.sleep(_SETTLE_S)
            return [
                replica.complete_response(request, b"", 200,
                                          ("Server-Leaving: 1",))
            ]
        return _answer(request)

    stub = world.add_replica("i-1", "desk", answer)
    with world.running():
        late = threading.Thread(target=world.send_request,
                                args=("/idempotent/1",),
                                kwargs={"X_Attempt_Id": "late"})
        edge_world.wait_until(
            lambda: world.send_request("/idempotent/1")[0] == 200)
        late.start()
        edge_world.wait_until(lambda: _arrived(stub, "late"))
        _make_leave(world, stub)
        world.send_request("/idempotent/1",
                           X_Attempt_Id="former",
                           X_Deadline_Ms="1000")
        stub.is_leaving = False
        world.register_replica("i-1", "desk", stub.address, born=2)
        edge_world.wait_until(
            lambda: world.send_request("/idempotent/1")[0] == 200)
        has_restarted.set()
        late.join()
        time.sleep(_SETTLE_S)
        assert set(_send_many(world, "after")) == {200}
        counts = world.edge.metrics.counts()
    assert not _arrived(stub, "former")
    assert counts["target_leaving_answer"] == 1
    assert counts["target_leaving_ended"] == 1
    assert counts["target_leaving_void"] == 1
    assert caplog.messages.count("target leaving") == 1
    assert caplog.messages.count("target no longer leaving") == 1


def test_target_that_left_at_a_peer_gets_no_request_from_others(caplog):
    caplog.set_level(logging.INFO)
    with edge_world.running_pair(lambda: caplog.text) as (first, second):
        left, other = (
            first.add_replica(name, "desk", _answer) for name in ("i-1", "i-2"))
        edge_world.wait_until(lambda: _send_many(second, "first") and left.
                              requests and other.requests)
        _make_leave(first, left)
        time.sleep(_SETTLE_S)
        assert set(_send_many(second, "after")) == {200}
        assert second.edge.metrics.counts()["target_leaving_peer"] == 1
    assert not _arrived(left, "after")


class _Engine:
    """An engine whose streams break off once it has left."""

    def __init__(self, world, name):
        self.has_left = threading.Event()
        self.report_status = 200
        self.stub = world.add_replica(name, "engines", self._answer)
        self.stub.stop_script = self._answer

    def _answer(self, request):
        if request.path == "/report":
            yield replica.complete_response(request, b'{"state": "ready"}',
                                            self.report_status)
        elif request.path == "/kv-move":
            yield replica.complete_response(
                request,
                json.dumps({
                    "session": _HANDLE,
                    "created": 1
                }).encode())
        elif request.path.startswith("/kv-handle/"):
            yield replica.complete_response(request, b"")
        elif request.path == "/draft/short":
            yield replica.stream_head(request)
            yield replica.event_chunk(0)
            yield replica.STREAM_END
        else:
            first = int(request.headers.get("last-event-id", -1)) + 1
            yield replica.stream_head(request)
            for number in range(first, _EVENTS):
                if self.has_left.is_set():
                    yield replica.ConnectionReset()
                yield replica.event_chunk(number)
                time.sleep(_PAUSE_S)
            yield replica.STREAM_END


def _running_engine(world, engines):
    """Returns the engine that runs the stream."""
    running = world.edge.scheduler.ask(
        scheduler_actor.Evaluate(
            lambda state, now_s:
            [item.target for item in state.running.values()]))
    return engines[int(running[0].removeprefix("e-"))]


def _stream_while(world, act):
    """Sends a stream, and calls a function while it runs."""
    with world.running():
        time.sleep(0.5)  # Both engines are read.
        acting = threading.Thread(target=act)
        acting.start()
        # Too large for a copy from its start, which only little memory is for.
        status, _, body = world.send_request("/draft/1",
                                             X_Deadline_Ms="20000",
                                             X_Token_Usage="20000,200")
        acting.join()
    return status, body


def test_stream_is_copied_when_its_engine_says_in_an_answer_that_it_leaves(
        world):
    engines = [_Engine(world, f"e-{number}") for number in range(2)]

    def leave():
        time.sleep(0.5)
        engine = _running_engine(world, engines)
        engine.stub.is_leaving = True
        # The answer to another request says so.
        edge_world.wait_until(lambda: world.send_request(
            "/draft/short", X_Attempt_Id="short", X_Token_Usage="10,10") and
                              _arrived(engine.stub, "short"))
        time.sleep(1.0)
        engine.has_left.set()

    status, body = _stream_while(world, leave)
    assert status == 200 and body.count(b"data:") == _EVENTS


def test_stream_is_copied_when_a_failed_report_says_that_its_engine_leaves(
        world):
    engines = [_Engine(world, f"e-{number}") for number in range(2)]

    def leave():
        time.sleep(0.5)
        world.rows.is_silent.set()
        engine = _running_engine(world, engines)
        engine.report_status = 503
        engine.stub.is_leaving = True
        time.sleep(2.0)
        engine.has_left.set()

    status, body = _stream_while(world, leave)
    assert status == 200 and body.count(b"data:") == _EVENTS


def test_leaving_in_an_answer_to_another_request_says_nothing(world):
    stub = world.add_replica("i-1", "desk", _crossed)
    stub.is_leaving = True
    with world.running():
        edge_world.wait_until(
            lambda: world.send_request("/idempotent/1") and stub.requests)
        stub.script, stub.is_leaving = _answer, False
        edge_world.wait_until(
            lambda: world.send_request("/idempotent/1")[0] == 200)


def _crossed(request):
    other = request._replace(headers={"x-attempt-id": "another"})
    return [replica.complete_response(other, b"ok")]


@pytest.mark.parametrize("status, values, is_leaving", [
    (200, (b"1",), True),
    (500, (b"1",), True),
    (503, (b" 1\t",), True),
    (200, (b"1", b"1"), True),
    (200, (b"1, 1",), True),
    (200, (b"0", b"1"), True),
    (200, (b"", b"1"), True),
    (200, (), False),
    (200, (b"",), False),
    (200, (b"0",), False),
    (200, (b"0", b"0"), False),
    (200, (b"true",), False),
    (200, (b"01",), False),
    (200, (b"1.0",), False),
    (200, (b"11",), False),
    (200, (b"-1",), False),
    (200, (b"\xb9",), False),
    (421, (b"1",), False),
])
def test_leaving_is_decoded_from_a_head(status, values, is_leaving):
    head = exchange.RawResponseHead(
        status, tuple((wire.LEAVING_HEADER, value) for value in values))
    assert wire.says_leaving(head) is is_leaving
    assert wire.decode_response_head(head).is_leaving is is_leaving
