"""Each path of a request returns its memory; a leak would reject all others."""

import contextlib
import http.client
import socket
import threading
import time

import pytest

from testbed import caller_crowd
from testbed import edge_world
from testbed import replica

_CHUNKED = "Transfer-Encoding: chunked"
_BODY = b"z" * 200_000
_WHOLE = caller_crowd.head(f"Content-Length: {len(_BODY)}") + _BODY


def _answer(request):
    yield replica.complete_response(request, b"y" * 100_000)


def _never_answer(request):
    yield replica.response_head(request, 200, "Content-Length: 9")
    time.sleep(3.0)


def _break_connection(request):
    yield replica.response_head(request, 200, "Content-Length: 9") + b"half"
    yield replica.ConnectionReset()


def _announce_too_much(request):
    yield replica.response_head(request, 200, "Content-Length: 99999999")
    for _ in range(400):
        yield b"z" * 65536


def _stream(request):
    yield replica.stream_head(request)
    for number in range(1, 40):
        data = b"id: %d\ndata: %b\n\n" % (number, b"t" * 16000)
        yield b"%x\r\n%b\r\n" % (len(data), data)
    yield replica.STREAM_END


@contextlib.contextmanager
def _running(script):
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    world.add_replica("i-1", "desk", script)
    world.add_replica("i-2", "engines", script)
    with world.running():
        time.sleep(0.3)  # The targets are read.
        yield world


def _connect(world):
    return socket.create_connection(
        edge_world.split_address(world.options.listen_address),
        edge_world.TIMEOUT_S)


def _check_released(world):
    budget = world.edge._budget  # pylint: disable=protected-access
    edge_world.wait_until(lambda: budget.reserved_bytes == 0)


@pytest.mark.parametrize("script, sent, status", [
    (_answer, _WHOLE, 200),
    (_answer, _WHOLE.replace(b"X-Api-Key: k", b"X-Api-Key: other"), 401),
    (_answer, caller_crowd.head("Content-Length: 5000000"), 413),
    (_answer, caller_crowd.head("Content-Length: -1"), 400),
    (_answer, caller_crowd.head(_CHUNKED) + b"g\r\n", 400),
    (_never_answer, _WHOLE.replace(b"-Ms: 4000", b"-Ms: 500"), 504),
    (_break_connection, _WHOLE.replace(b"/idempotent",
                                       b"/non_idempotent"), 502),
    (_announce_too_much, _WHOLE.replace(b"/idempotent",
                                        b"/non_idempotent"), 502),
    (_stream, caller_crowd.head("Content-Length: 1", path="/draft/1") + b"x",
     200),
],
                         ids=[
                             "answered", "unauthorized", "too_large",
                             "negative_length", "malformed", "deadline",
                             "target_breaks", "response_too_large", "stream"
                         ])
def test_answered_request_releases_its_memory(script, sent, status):
    with _running(script) as world, _connect(world) as sock:
        sock.sendall(sent)
        response = http.client.HTTPResponse(sock)
        response.begin()
        assert response.status == status
        response.read()
        _check_released(world)


@pytest.mark.parametrize(
    "script, sent",
    [(_answer, _WHOLE[:-1]), (_answer, _WHOLE[:50]), (_never_answer, _WHOLE),
     (_stream, caller_crowd.head("Content-Length: 1", path="/draft/1") + b"x")],
    ids=["body", "head", "response", "stream"])
def test_caller_that_leaves_releases_its_memory(script, sent):
    with _running(script) as world:
        with _connect(world) as sock:
            sock.sendall(sent)
            time.sleep(0.3)
        _check_released(world)


def test_stop_releases_the_memory():
    with _running(_never_answer) as world, _connect(world) as sock:
        sock.sendall(_WHOLE)
        time.sleep(0.2)
        stopping = threading.Thread(target=world.edge.stop)
        stopping.start()
        stopping.join()
        _check_released(world)


def test_trailers_are_not_taken_for_the_next_request():
    # The trailer was answered with a 400 that was not the caller's own.
    with _running(_answer) as world, _connect(world) as sock:
        for _ in range(3):
            sock.sendall(
                caller_crowd.head(_CHUNKED) +
                b"1\r\nx\r\n0\r\nX-Sum: 1\r\n\r\n")
            response = http.client.HTTPResponse(sock)
            response.begin()
            assert response.status == 200
            response.read()


def test_more_than_ten_connections_are_kept():
    # cheroot told all further callers to close, a limit that nobody had chosen.
    with _running(_answer) as world, contextlib.ExitStack() as stack:
        for _ in range(30):
            sock = stack.enter_context(_connect(world))
            sock.sendall(_WHOLE)
            response = http.client.HTTPResponse(sock)
            response.begin()
            assert response.status == 200
            assert response.headers["Connection"] is None
            response.read()
