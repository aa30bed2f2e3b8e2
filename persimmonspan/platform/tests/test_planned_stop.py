"""Tests of requests that arrive while an edge daemon stops as planned."""

import contextlib
import http.client
import time

from cheroot import server

from persimmonspan.process import edge
from testbed import edge_world
from testbed import replica

_GRACE_S = 8.0
_MIN_STOP_S = 0.2
_SHUTDOWN_TIMEOUT_S = 0.5
_ANSWER_AFTER_S = 1.5


def _answer_late(request):
    if request.id == "late":
        time.sleep(_ANSWER_AFTER_S)
    yield replica.complete_response(request, request.id.encode())


def _send(connection, request_id):
    connection.request("POST", "/non_idempotent/1", b"x", {
        "Host": edge_world.HOST,
        "X-Attempt-Id": request_id,
        "X-Api-Key": "k"
    })


def test_request_after_the_end_of_the_wait_is_answered(monkeypatch):
    monkeypatch.setattr(edge, "_MIN_STOP_S", _MIN_STOP_S)
    monkeypatch.setattr(server.HTTPServer, "shutdown_timeout",
                        _SHUTDOWN_TIMEOUT_S)
    world = edge_world.EdgeEnvironment(grace_s=_GRACE_S)
    world.rows.write("op", "config", edge_world.configuration())
    desk = world.add_replica("i-1", "desk", _answer_late)
    connection = http.client.HTTPConnection(*edge_world.split_address(
        world.options.listen_address),
                                            timeout=edge_world.TIMEOUT_S)
    with contextlib.closing(connection):
        with world.running():
            _send(connection, "early")
            assert connection.getresponse().read() == b"early"
            world.edge.stop()
            _send(connection, "late")
            edge_world.wait_until(lambda: desk.requests[-1].id == "late")
        response = connection.getresponse()
        assert (response.status, response.read()) == (200, b"late")
    assert response.headers["Connection"] == "close"
