"""Tests of orders to engines whose responses are repeated or cut off."""

import contextlib
import json
import socket
import threading
import time

import pytest

from persimmonspan.connection import engine_control
from persimmonspan.process import orders

_STATE = json.dumps({
    "incarnation": "1",
    "active": "m",
    "role": "mixed",
    "models": {},
    "last_order_id": "",
    "fence": 0
}).encode()
_ORDER = orders.Order("o-1", 1, "load", "m", "1")
_PAUSE_S = 0.1


def _response(status, body=b"{}"):
    return b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%b" % (
        status, len(body), body)


@contextlib.contextmanager
def _engine(*parts):
    """Yields the address of an engine.

    It sends the first parts, with pauses, in response to a request for its
    state, and the last one in response to an order.
    """

    def serve():
        connection, _ = listener.accept()
        with connection, contextlib.suppress(OSError):
            connection.recv(65536)
            for part in parts[:-1]:
                connection.sendall(part)
                time.sleep(_PAUSE_S)
            if b"POST" in connection.recv(65536):
                connection.sendall(parts[-1])

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve)
        thread.start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        thread.join()


@pytest.mark.parametrize("status, outcome", [(200, "accepted"), (409, "stale"),
                                             (422, "failed"), (500, "unknown")])
def test_response_to_an_order_is_believed(status, outcome):
    with _engine(_response(200, _STATE), _response(status)) as address:
        assert engine_control.send_order(address, _ORDER, 2.0) == outcome


@pytest.mark.parametrize(
    "parts", [
        (2 * _response(200, _STATE), _response(409)),
        (_response(200, _STATE), _response(200) + _response(409)),
        (_response(200, _STATE), b"HTTP/1.1 200 OK\r\nContent-Le"),
        (_response(200, _STATE), b"HTTP/1.1 200 OK\r\n"),
        (_response(200, _STATE), _response(200)[:-1]),
    ],
    ids=["state_twice", "two_responses", "cut_name", "cut_head", "cut_body"])
def test_response_that_may_not_be_that_to_the_order_leaves_it_unknown(parts):
    with _engine(*parts) as address:
        assert engine_control.send_order(address, _ORDER, 2.0) == "unknown"
