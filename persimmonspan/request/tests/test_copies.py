"""Tests what the answers to the copy of a stream's memory say."""

import types

import pytest

from persimmonspan.connection import exchange
from persimmonspan.platform import wire
from persimmonspan.process import metrics
from persimmonspan.process import target_pauses
from persimmonspan.request import copies
from persimmonspan.request import events

_SOURCE = events.Target("e-0", "engines", "10.0.0.1:80", "a")
_REFUGE = events.Target("e-1", "engines", "10.0.0.2:80", "a")


@pytest.mark.parametrize("status, body, path", [
    (200, b'{"session": "h1", "created": 1}', "/kv-move"),
    (503, b"", "/kv-move"),
    (200, b'{"session": "h1", "created": 1}', "/kv-handle/h1"),
])
def test_engine_that_says_in_the_answer_to_a_copy_that_it_leaves_is_reported(
        monkeypatch, status, body, path):
    reported = []

    def call(address, request, timeout_s):
        del timeout_s
        assert address == _SOURCE.address
        headers = ((wire.LEAVING_HEADER, b"1"),) if request.path == path else ()
        return exchange.RawResponseHead(status, headers), body

    monkeypatch.setattr(exchange, "call", call)
    context = types.SimpleNamespace(
        wire=wire,
        report_leaving=reported.append,
        find_obstacle=lambda target: "",
        report_cold=lambda target, cold_s: None,
        metrics=metrics.Metrics(),
        pauses=target_pauses.TargetPauses(lambda event: None,
                                          lambda reason: None),
        find_target=lambda name: _REFUGE,
        scheduler=types.SimpleNamespace(tell=lambda event: None))
    routed_call = types.SimpleNamespace(
        request_id="r.1", call=types.SimpleNamespace(request_id="r"))
    stream_copies = copies.Copies(routed_call, context)
    stream_copies.copy(_SOURCE, _REFUGE.name)
    stream_copies.drop_unused_copy(_SOURCE)
    assert reported == [_SOURCE]
