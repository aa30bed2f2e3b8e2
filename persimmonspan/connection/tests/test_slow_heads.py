"""Tests of callers that are slow to send the head of a request."""

import socket

import pytest

from persimmonspan.connection import listener
from persimmonspan.process import metrics
from persimmonspan.process import threads
from testbed import edge_world

_READ_TIMEOUT_S = 0.4
_RESPONSE_TIMEOUT_S = 5.0
_HEAD = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"


class _Application:
    """Responds to health checks only."""

    def __init__(self):
        self.metrics = metrics.Metrics()


@pytest.fixture(name="application")
def _application():
    return _Application()


@pytest.fixture(name="server")
def _server(application):
    address = edge_world.split_address(edge_world.free_address())
    server = listener.make_server(address, application,
                                  listener.Options(2, 1000, _READ_TIMEOUT_S))
    server.prepare()
    with threads.running(server.serve, server.stop):
        yield server


def _read_all(sock):
    data = b""
    while part := sock.recv(1000):
        data += part
    return data


# The timeout of the socket and the watchdog may end the read in any order.
@pytest.mark.parametrize("socket_timeout_s", [0.1, _READ_TIMEOUT_S, 10.0])
@pytest.mark.parametrize("size", [0, 5, len(_HEAD) - 2])
def test_incomplete_head_gets_one_408_whatever_ends_the_read(
        server, application, socket_timeout_s, size):
    server.read_timeout_s = socket_timeout_s
    with socket.create_connection(server.bind_addr,
                                  _RESPONSE_TIMEOUT_S) as sock:
        sock.sendall(_HEAD[:size])
        data = _read_all(sock)
    assert data.startswith(b"HTTP/1.1 408 ")
    assert data.count(b"HTTP/1.1") == 1
    assert b'reason="caller_slow_headers"} 1.0' in (
        application.metrics.exposition())


def test_malformed_head_still_gets_400(server, application):
    with socket.create_connection(server.bind_addr,
                                  _RESPONSE_TIMEOUT_S) as sock:
        sock.sendall(b"malformed\r\n\r\n")
        data = _read_all(sock)
    assert data.startswith(b"HTTP/1.1 400 ")
    assert b"caller_slow_headers" not in application.metrics.exposition()
