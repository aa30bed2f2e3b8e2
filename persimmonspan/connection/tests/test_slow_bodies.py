"""Tests of callers of the own interface whose body arrives slowly."""

import socket
import time

import pytest

from persimmonspan import errors
from persimmonspan.connection import listener
from persimmonspan.connection import timed_input
from persimmonspan.process import metrics
from persimmonspan.process import threads
from testbed import edge_world

_READ_TIMEOUT_S = 5.0
_BODY = b"x" * 20_000
_HEAD = (b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n"
         b"\r\n" % len(_BODY))


class _Stopping:
    """A daemon that refuses each request before its body is read."""

    def __init__(self):
        self.metrics = metrics.Metrics()

    def begin_request(self):
        """Refuses the request."""
        raise errors.RefusalError(errors.Code.DRAINING, "stopping")


@pytest.mark.parametrize("pause_s", [0.1, 0.4, 0.9])
def test_refusal_reaches_a_caller_whose_body_pauses(pause_s):
    address = edge_world.split_address(edge_world.free_address())
    server = listener.make_server(address, _Stopping(),
                                  listener.Options(2, 100_000, _READ_TIMEOUT_S))
    server.prepare()
    with threads.running(server.serve, server.stop), socket.create_connection(
            address, _READ_TIMEOUT_S) as sock:
        sock.sendall(_HEAD + _BODY[:8000])
        time.sleep(pause_s)
        for begin in range(8000, len(_BODY), 4000):
            sock.sendall(_BODY[begin:begin + 4000])
            time.sleep(0.05)
        assert sock.recv(1000).startswith(b"HTTP/1.1 503 ")


@pytest.fixture(name="sockets")
def _sockets():
    ours, callers = socket.socketpair()
    ours.settimeout(_READ_TIMEOUT_S)
    with ours, callers:
        yield ours, callers


def test_bytes_that_arrived_during_a_pause_of_the_process_are_read(sockets):
    ours, callers = sockets
    reader = timed_input.Reader(ours)
    callers.sendall(_BODY)
    with reader.limit(-1.0):
        assert reader.read(len(_BODY)) == _BODY


def test_bytes_now_and_then_do_not_extend_the_limit(sockets):
    ours, callers = sockets
    reader = timed_input.Reader(ours)
    callers.sendall(b"x")
    began_s = time.monotonic()
    with pytest.raises(TimeoutError), reader.limit(0.2):
        reader.read(2)
    assert time.monotonic() - began_s < 1.0
    callers.sendall(b"y")
    assert reader.read(1) == b"y"
