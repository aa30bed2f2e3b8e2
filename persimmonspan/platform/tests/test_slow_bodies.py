"""Tests of callers whose body arrives slowly, against a whole edge daemon."""

import socket
import time

import pytest

from testbed import edge_world
from testbed import replica

_BODY = b"x" * 20_000


@pytest.fixture(name="world")
def _world():
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    world.add_replica(
        "i-1", "desk",
        lambda request: [replica.complete_response(request, b"body")])
    return world


def _connect(world):
    return socket.create_connection(
        edge_world.split_address(world.options.listen_address),
        edge_world.TIMEOUT_S)


def _head(key):
    return (f"POST /idempotent/1 HTTP/1.1\r\nHost: {edge_world.HOST}\r\n"
            f"X-Attempt-Id: r1\r\nX-Api-Key: {key}\r\n"
            f"Content-Length: {len(_BODY)}\r\n\r\n").encode()


@pytest.mark.parametrize("pause_s", [0.1, 0.4, 0.9])
def test_refusal_reaches_a_caller_whose_body_pauses(world, pause_s):
    with world.running(), _connect(world) as sock:
        sock.sendall(_head("unknown") + _BODY[:8000])
        time.sleep(pause_s)
        for begin in range(8000, len(_BODY), 4000):
            sock.sendall(_BODY[begin:begin + 4000])
            time.sleep(0.05)
        assert sock.recv(1000).startswith(b"HTTP/1.1 401 ")
