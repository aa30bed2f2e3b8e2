"""Tests of requests that wait while all worker threads are busy."""

import concurrent.futures
import time

from persimmonspan.connection import forwarding_listener
from testbed import edge_world
from testbed import replica

_ANSWER_AFTER_S = 1.5
_TIMEOUT_MS = 2000
_MARGIN_MS = 300


def test_time_waited_for_a_thread_is_not_left_to_a_request(monkeypatch):
    monkeypatch.setattr(forwarding_listener, "_MIN_THREADS", 1)
    monkeypatch.setattr(forwarding_listener, "_MAX_THREADS", 1)
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config",
                     edge_world.configuration(timeoutMs=_TIMEOUT_MS))

    def answer_late(request):
        time.sleep(_ANSWER_AFTER_S)
        yield replica.complete_response(request, b"")

    desk = world.add_replica("i-0", "desk", answer_late)

    def send(number):
        return world.send_request("/non_idempotent/1",
                                  X_Attempt_Id=f"r{number}")

    with world.running(), concurrent.futures.ThreadPoolExecutor() as pool:
        list(pool.map(send, range(2)))
    first_ms, second_ms = [
        int(request.headers["x-deadline-ms"]) for request in desk.requests
    ]
    assert _TIMEOUT_MS - _MARGIN_MS < first_ms <= _TIMEOUT_MS
    assert second_ms < _TIMEOUT_MS - _ANSWER_AFTER_S * 1000 + _MARGIN_MS
