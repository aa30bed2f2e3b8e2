"""Tests of callers that read steadily, but more slowly than targets answer.

Review case 9. Callers, replicas and the daemon communicate over loopback.
"""

import socket
import time

import pytest

from persimmonspan.request import forwarding
from testbed import edge_world
from testbed import replica

_EVENTS = 160
_EVENT_BYTES = 1500
_READ_BYTES = 8192
_READ_INTERVAL_S = 0.1
_WRITE_TIMEOUT_S = 0.5


def _stream(request):
    yield replica.stream_head(request)
    for number in range(1, _EVENTS + 1):
        text = f"t{number}".ljust(_EVENT_BYTES, "x")
        data = f"id: {number}\ndata: {text}\n\n".encode()
        yield b"%x\r\n%b\r\n" % (len(data), data)
    yield replica.STREAM_END


def _plain(request):
    yield replica.complete_response(request, b"x" * _EVENTS * _EVENT_BYTES)


def _read_slowly(world, method, path):
    """Returns what arrives until the connection ends."""
    data = bytearray()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(edge_world.split_address(world.options.listen_address))
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: {edge_world.HOST}\r\n"
                     "X-Attempt-Id: r1\r\nX-Api-Key: k\r\n"
                     "X-Deadline-Ms: 20000\r\nContent-Length: 1\r\n"
                     "Connection: close\r\n\r\nx".encode())
        while part := sock.recv(_READ_BYTES):
            data += part
            time.sleep(_READ_INTERVAL_S)
    return bytes(data)


@pytest.mark.parametrize("method, path, service, script", [
    ("POST", "/draft/1", "engines", _stream),
    ("POST", "/non_idempotent/1", "desk", _plain),
])
def test_response_reaches_a_caller_that_reads_slowly(monkeypatch, method, path,
                                                     service, script):
    # Failure: what was left of a stream had to be taken in one timeout.
    monkeypatch.setattr(forwarding, "CALLER_WRITE_TIMEOUT_S", _WRITE_TIMEOUT_S)
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration(timeoutMs=20000))
    world.add_replica("i-1", service, script)
    with world.running():
        data = _read_slowly(world, method, path)
    assert len(data) > _EVENTS * _EVENT_BYTES
    assert data.endswith(b"\r\n0\r\n\r\n" if service == "engines" else b"x")
