"""Tests of a daemon that is paused beyond the deadline of a request."""

import time

import pytest

from persimmonspan.connection import relay
from testbed import edge_world
from testbed import replica

_DEADLINE_S = 0.5
_PAUSE_S = 0.6


def _answer(request):
    return [replica.complete_response(request, b"data: 1\n\n")]


def _stream(request):
    return [
        replica.stream_head(request),
        replica.event_chunk(1), replica.STREAM_END
    ]


@pytest.mark.parametrize("path, service, script",
                         [("/idempotent/1", "desk", _answer),
                          ("/non_idempotent/1", "desk", _answer),
                          ("/draft/1", "engines", _stream)])
def test_answer_that_arrived_while_the_daemon_was_paused_is_passed_on(
        monkeypatch, path, service, script):
    # The daemon answered 504, though the target had run the request in time.
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    world.add_replica("i-1", service, script)
    handle_event = relay.Relay._handle_event  # pylint: disable=protected-access
    with world.running():
        paused_until_s = time.monotonic() + _PAUSE_S

        def handle_after_pause(self, transfer, fd, mask, now_s):
            if now_s >= paused_until_s:
                handle_event(self, transfer, fd, mask, now_s)

        monkeypatch.setattr(relay.Relay, "_handle_event", handle_after_pause)
        status, _, body = world.send_request(path,
                                             X_Deadline_Ms=str(
                                                 int(1000 * _DEADLINE_S)))
    assert status == 200 and b"data: " in body


def test_deadline_holds_for_a_target_that_has_sent_nothing():
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    world.add_replica("i-1", "desk", lambda request: [time.sleep(2.0) or b""])
    with world.running():
        began_s = time.monotonic()
        status, _, _ = world.send_request("/non_idempotent/1",
                                          X_Deadline_Ms="500")
        took_s = time.monotonic() - began_s
    assert status == 504 and took_s < 0.7
