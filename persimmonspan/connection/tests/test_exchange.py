"""Tests exchanges with targets on connections that are not as expected."""

import contextlib
import math
import socket
import threading
import time

import pytest

from persimmonspan import errors
from persimmonspan.connection import exchange
from testbed import replica

_REQUEST = exchange.Request("GET", "/report", ((b"Host", b"h"),))
_ANSWERS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\n{}\r\n0\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\nContent-Length: 2\n\n{}",
]
_UNENDED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n"


@pytest.mark.parametrize("is_closed", [False, True])
def test_connection_with_bytes_before_the_request_is_not_used(
        monkeypatch, is_closed):
    ours, theirs = socket.socketpair()
    monkeypatch.setattr(socket, "create_connection", lambda *arguments: ours)
    monkeypatch.setattr(socket.socket, "setsockopt", lambda *arguments: None)
    if not is_closed:
        theirs.sendall(b"HTTP/1.1 503 Busy\r\n\r\n")
    with contextlib.ExitStack() as stack:
        if is_closed:
            theirs.close()
        else:
            stack.enter_context(theirs)
        with pytest.raises(exchange.NotSentError) as caught:
            exchange.call("a:1", _REQUEST, 1.0)
    assert caught.value.run_state is errors.RunState.NOT_RUN


@pytest.mark.parametrize("answer", _ANSWERS)
def test_cut_answer_to_a_call_is_broken(answer):
    sizes = iter(range(len(answer)))
    target = replica.Replica(lambda request: [answer[:next(sizes)]])
    with target.running():
        for _ in answer:
            with pytest.raises(exchange.BrokenResponseError):
                exchange.call(target.address, _REQUEST, 2.0)


def test_bytes_after_a_response_are_noticed():
    reader = exchange.ResponseReader("GET")
    reader.feed(_ANSWERS[0] + b"H")
    assert reader.is_complete and reader.has_trailing_bytes


def test_response_that_arrived_while_the_process_was_paused_is_read():
    body = b"x" * 60_000
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" %
                       len(body) + body)
        reader, received = exchange.receive(ours, "GET",
                                            time.monotonic() - 5.0, math.inf)
    assert reader.is_complete and received == body


@pytest.mark.parametrize("part", [b"x", b"x" * 10_000])
def test_response_without_end_is_ended_though_bytes_wait(part):
    ours, theirs = socket.socketpair()
    is_ended = threading.Event()

    def send():
        with contextlib.suppress(OSError):
            theirs.sendall(_UNENDED_HEAD)
            while not is_ended.is_set():
                theirs.sendall(part)

    with theirs:
        sender = threading.Thread(target=send)
        sender.start()
        began_s = time.monotonic()
        with ours, pytest.raises(exchange.BrokenResponseError):
            exchange.receive(ours, "GET", began_s + 0.2, math.inf)
        is_ended.set()
        sender.join()
    assert time.monotonic() - began_s < 2.0
