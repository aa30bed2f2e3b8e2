"""Tests of faults that operators of similar systems reported.

`docs/design/reported-faults.md` lists the reports. Callers, replicas and the
daemon communicate over loopback.
"""

import contextlib
import itertools
import logging
import socket
import threading
import time

import pytest

from persimmonspan.platform import wire
from persimmonspan.process import clock
from persimmonspan.process import edge
from persimmonspan.process import scheduler_actor
from persimmonspan.request import event_stream
from testbed import edge_world
from testbed import replica

# With this limit, one held response may have 1 MB and all of them 4 MB.
_MEMORY_MB = 16.0
_BLOCK = b"x" * 65536
_MAX_BLOCKS = 2000  # 131 MB, far above the memory limit.


@pytest.fixture(name="world")
def _world():
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    return world


def _small_world(**options):
    world = edge_world.EdgeEnvironment(**options)
    world.rows.write("op", "config", edge_world.configuration())
    world.options = world.options._replace(memory_mb=_MEMORY_MB)
    world.edge = edge.Edge(world.options, world.edge._platform)  # pylint: disable=protected-access
    return world


class _Endless:
    """Script that sends blocks until the caller closes, and counts them."""

    def __init__(self, head, block=_BLOCK):
        self._head = head
        self._block = block
        self.blocks = 0

    def __call__(self, request):
        yield self._head(request)
        while self.blocks < _MAX_BLOCKS:
            self.blocks += 1
            yield self._block


def _head_without_end(request):
    del request
    return b"HTTP/1.1 200 OK\r\nX-Filler: "


def _body_without_end(request):
    return replica.response_head(request, 200)


def _too_large_announced(request):
    return replica.response_head(request, 200, "Content-Length: 99999999999")


def _error_without_end(request):
    return replica.response_head(request, 500)


@pytest.mark.parametrize("head", [
    _head_without_end, _body_without_end, _too_large_announced,
    _error_without_end
])
@pytest.mark.parametrize("path", ["/non_idempotent/1", "/draft/1"])
def test_bytes_without_end_are_cut_within_the_memory(path, head):
    world = _small_world()
    script = _Endless(head)
    with world.running():
        world.add_replica("i-1", "desk", script)
        world.add_replica("i-2", "engines", script)
        time.sleep(0.5)  # Both are read.
        status, _, body = world.send_request(path)
    assert status in (500, 502) and not body
    # The limit, and what the sockets' buffers hold.
    assert script.blocks * len(_BLOCK) < 16 * 1024 * 1024


def test_interim_responses_without_end_are_cut(world):
    script = _Endless(lambda request: b"",
                      b"HTTP/1.1 102 Processing\r\n\r\n" * 100)
    world.add_replica("i-1", "desk", script)
    with world.running():
        assert world.send_request("/non_idempotent/1")[0] == 502
    assert script.blocks < _MAX_BLOCKS


def test_memory_of_a_held_response_is_released(world):
    world = _small_world()
    size = 900_000
    world.add_replica(
        "i-1", "desk",
        lambda request: [replica.complete_response(request, b"y" * size)])
    with world.running():
        for _ in range(8):
            status, _, body = world.send_request("/idempotent/1")
            assert status == 200 and len(body) == size


def test_slow_but_sound_stream_is_not_cut(world):

    def script(request):
        yield replica.stream_head(request)
        for number in range(4):
            yield replica.event_chunk(number)
            time.sleep(1.0)
        yield replica.STREAM_END

    world.add_replica("i-1", "engines", script)
    with world.running():
        status, _, body = world.send_request("/draft/1", X_Deadline_Ms="20000")
    assert status == 200 and body.count(b"data:") == 4


def test_stalled_stream_that_sends_a_byte_now_and_then_is_ended(world):

    def script(request):
        yield replica.stream_head(request)
        yield replica.event_chunk(1)
        for _ in range(100):
            time.sleep(0.2)
            yield b"1\r\n:\r\n"

    world.add_replica("i-1", "engines", script)
    with world.running():
        began_s = time.monotonic()
        with contextlib.suppress(Exception):
            world.send_request("/draft/1", X_Deadline_Ms="20000")
        assert time.monotonic() - began_s < 4.0


def _receive_heads(sock, count):
    """Returns what was received once it holds `count` response heads."""
    data = b""
    while data.count(b"HTTP/1.1 ") < count:
        part = sock.recv(65536)
        if not part:
            break
        data += part
    return data


def _request(key, body_head, body):
    return (f"POST /idempotent/1 HTTP/1.1\r\nHost: {edge_world.HOST}\r\n"
            f"X-Attempt-Id: r1\r\nX-Api-Key: {key}\r\n{body_head}\r\n\r\n"
           ).encode() + body


_CHUNKED_BODY = b"5\r\nhello\r\n0\r\n\r\n"


def test_unread_chunks_of_a_refused_request_are_no_request(world):
    # The chunks were taken for the next request: the caller's next one got a
    # 400 that was not its own.
    world.add_replica("i-1", "desk",
                      lambda request: [replica.complete_response(request, b"")])
    with world.running(), socket.create_connection(
            edge_world.split_address(world.options.listen_address),
            edge_world.TIMEOUT_S) as sock:
        sock.sendall(
            _request("unknown", "Transfer-Encoding: chunked", _CHUNKED_BODY))
        assert _receive_heads(sock, 1).startswith(b"HTTP/1.1 401")
        sock.sendall(_request("k", "Transfer-Encoding: chunked", _CHUNKED_BODY))
        assert _receive_heads(sock, 1).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("size", [2, 70_000, 6_000_000])
def test_refusal_reaches_a_caller_that_still_sends_its_body(world, size):
    # The kernel resets a connection that is closed with unread bytes.
    refused = []
    with world.running():
        for _ in range(5):
            with socket.create_connection(
                    edge_world.split_address(world.options.listen_address),
                    edge_world.TIMEOUT_S) as sock:
                # A caller may find its connection closed while it sends.
                with contextlib.suppress(BrokenPipeError):
                    sock.sendall(
                        _request("unknown", f"Content-Length: {size}",
                                 b"x" * size))
                refused.append(_receive_heads(sock, 1)[:12])
    assert refused == [b"HTTP/1.1 401"] * 5


def test_request_whose_body_arrives_during_a_planned_stop_is_answered():
    world = edge_world.EdgeEnvironment(grace_s=6.0)
    world.rows.write("op", "config", edge_world.configuration())
    world.add_replica(
        "i-1", "desk",
        lambda request: [replica.complete_response(request, b"body")])
    with world.running(), socket.create_connection(
            edge_world.split_address(world.options.listen_address),
            edge_world.TIMEOUT_S) as sock:
        sock.sendall(_request("k", "Content-Length: 5", b"he"))
        stopping = threading.Thread(target=world.edge.stop)
        stopping.start()
        time.sleep(1.0)
        sock.sendall(b"llo")
        answer = _receive_heads(sock, 1)
        stopping.join()
    assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer


@pytest.mark.parametrize("headers", [{
    "x-length-hint": "inf"
}, {
    "x-length-hint": "nan"
}, {
    "x-deadline-ms": "inf"
}, {
    "x-deadline-ms": "nan"
}])
def test_number_that_is_not_finite_counts_as_missing(headers):
    call = wire.decode_call("GET", "/a", {
        name.encode(): value.encode() for name, value in headers.items()
    })
    assert call.expected_output_tokens == 0 and call.time_left_s is None


def test_load_that_is_not_finite_does_not_spoil_a_response(world):
    world.add_replica(
        "i-1", "desk", lambda request: [
            replica.complete_response(
                request, b"ok", lines=("X-Instance-Load: inf,0,6",))
        ])
    with world.running():
        assert world.send_request("/non_idempotent/1")[0] == 200


def test_event_id_of_thousands_of_digits_is_malformed():
    event = b"id: " + b"1" * 5000 + b"\ndata: x\n\n"
    with pytest.raises(event_stream.MalformedStreamError):
        event_stream.feed(event_stream.State(), event)


def test_error_in_the_scheduler_ends_one_request_only(world, monkeypatch):
    world.add_replica(
        "i-1", "desk",
        lambda request: [replica.complete_response(request, b"ok")])
    step = scheduler_actor.scheduler.step
    failures = itertools.count()

    def fail_once(state, event, now_s, rng):
        if type(event).__name__ == "Arrived" and not next(failures):
            raise ZeroDivisionError
        return step(state, event, now_s, rng)

    with world.running():
        assert world.send_request("/idempotent/1")[0] == 200
        monkeypatch.setattr(scheduler_actor.scheduler, "step", fail_once)
        assert world.send_request("/idempotent/1")[0] == 503
        assert world.send_request("/idempotent/1")[0] == 200


class _BrokenOnce:
    """Rows of which each table's first read fails in an unexpected way."""

    def __init__(self, rows):
        self._rows = rows
        self._broken = set()

    def _break(self, table):
        if table not in self._broken:
            self._broken.add(table)
            raise ZeroDivisionError

    def read(self, table):
        """Returns all rows of a table."""
        self._break(table)
        return self._rows.read(table)

    def changes(self, table, since, wait_s):
        """Waits for rows that changed after a version."""
        return self._rows.changes(table, since, wait_s)

    def put(self, table, key, value):
        """Writes a row."""
        self._rows.put(table, key, value)


@pytest.mark.filterwarnings(
    "ignore::pytest.PytestUnhandledThreadExceptionWarning")
def test_unexpected_error_at_a_read_does_not_end_following():
    rows = edge_world.InMemoryRowStore()
    rows.write("op", "config", edge_world.configuration())
    world = edge_world.EdgeEnvironment(rows=_BrokenOnce(rows))
    with world.running():
        assert world.edge.is_ready()


class _PausableRows:
    """Rows whose reads wait while `is_running` is cleared."""

    def __init__(self, rows):
        self._rows = rows
        self.is_running = threading.Event()
        self.is_running.set()

    def read(self, table):
        """Returns all rows of a table."""
        self.is_running.wait()
        return self._rows.read(table)

    def changes(self, table, since, wait_s):
        """Waits for rows that changed after a version."""
        self.is_running.wait()
        rows = self._rows.changes(table, since, wait_s)
        # A response from before the pause is lost with its connection.
        return rows if self.is_running.is_set() else self.read(table)

    def write(self, table, key, document):
        """Writes a row as an operator or a target."""
        self._rows.write(table, key, document)

    def put(self, table, key, value):
        """Writes a row."""
        self._rows.put(table, key, value)


def test_suspended_daemon_uses_no_key_that_was_withdrawn(monkeypatch, caplog):
    # The monotonic clock stands still while a VM is suspended: what was read
    # before counted as fresh after it.
    caplog.set_level(logging.INFO)
    rows = edge_world.InMemoryRowStore()
    rows.write("op", "config", edge_world.configuration())
    pausable_rows = _PausableRows(rows)
    world = edge_world.EdgeEnvironment(rows=pausable_rows)
    world.add_replica("i-1", "desk",
                      lambda request: [replica.complete_response(request, b"")])
    suspended_s = 0.0
    now_s = clock.now_s
    monkeypatch.setattr(clock, "now_s", lambda: now_s() + suspended_s)
    with world.running():
        edge_world.wait_until(
            lambda: world.send_request("/idempotent/1")[0] == 200)
        pausable_rows.is_running.clear()
        document = edge_world.configuration(2)
        document["tenants"] = [{"name": "t", "apiKeys": ["other"]}]
        rows.write("op", "config", document)
        suspended_s = 30.0
        threading.Timer(0.3, pausable_rows.is_running.set).start()
        assert world.send_request("/idempotent/1")[0] == 401


def test_outage_of_the_store_does_not_stop_service(world, monkeypatch):
    # The opposite: what was read last stays in force if the store does not
    # answer.
    world.add_replica("i-1", "desk",
                      lambda request: [replica.complete_response(request, b"")])
    now_s = clock.now_s
    later_s = 0.0
    monkeypatch.setattr(clock, "now_s", lambda: now_s() + later_s)
    follower = None
    with world.running():
        edge_world.wait_until(
            lambda: world.send_request("/idempotent/1")[0] == 200)
        follower = world.edge._follower  # pylint: disable=protected-access
        later_s = 30.0
        # pylint: disable=protected-access
        follower._failure_valid_until_s = clock.now_s() + 1.0
        assert world.send_request("/idempotent/1")[0] == 200
