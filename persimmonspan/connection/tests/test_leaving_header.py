"""Tests which answers on the own interface say that a target leaves."""

import json

import pytest

from persimmonspan import errors
from persimmonspan.connection import engine
from persimmonspan.connection import leaving_header
from persimmonspan.connection import load_reports
from persimmonspan.connection import plain_service
from testbed import replica

_LEAVING = "X-Leaving: 5f1"
_TIMEOUT_S = 2.0


@pytest.mark.parametrize("values, incarnation", [
    ((b"5f1",), "5f1"),
    ((b" 5f1\t",), "5f1"),
    ((b"5f1", b"5f1"), "5f1"),
    ((b"x" * 64,), "x" * 64),
    ((), None),
    ((b"",), None),
    ((b"  ",), None),
    ((b"", b"5f1"), None),
    ((b"5f1", b"6a2"), None),
    ((b"5f1, 5f1",), None),
    ((b"5f1 6a2",), None),
    ((b"x" * 65,), None),
    ((b"5f\x01",), None),
    ((b"\xe95f1",), None),
])
def test_only_one_incarnation_is_decoded(values, incarnation):
    assert leaving_header.decode(values) == incarnation


@pytest.mark.parametrize("head, incarnation", [
    (b"HTTP/1.1 200 OK\r\nX-Leaving: 5f1", "5f1"),
    (b"HTTP/1.1 503 Busy\r\nx-leaving: 5f1\r\nX-Request-Id: r1", "5f1"),
    (b"HTTP/1.1 500 Error\r\nX-LEAVING:5f1", "5f1"),
    (b"HTTP/1.1 200 OK\r\nX-Leaving: 5f1\r\nX-Leaving: 6a2", None),
    (b"HTTP/1.1 200 OK\r\nX-Leaving: 5f1\r\nX-Request-Id: r2", None),
    (b"HTTP/1.1 100 Continue\r\nX-Leaving: 5f1", None),
    (b"HTTP/1.1 200 OK\r\nX-Leaving:", None),
    (b"HTTP/1.1 200 OK", None),
])
def test_head_of_an_engines_answer_says_that_it_leaves(head, incarnation):
    reader = engine.ResponseReader("127.0.0.1:1", "r1", "g1")
    for i in range(len(head)):
        reader.feed(head[i:i + 1])
    # What breaks off within its head says nothing.
    assert reader.leaving_incarnation is None
    reader.feed(b"\r\n\r\n")
    assert reader.leaving_incarnation == incarnation


@pytest.mark.parametrize("lines, status, is_leaving", [
    (("X-Request-Id: r1",), 200, True),
    (("X-Request-Id: r1",), 500, True),
    (("X-Request-Id: r1", "X-Run-State: not_run"), 503, True),
    (("X-Request-Id: r1", "Content-Encoding: gzip"), 200, True),
    (("X-Request-Id: r2",), 200, False),
    ((), 200, False),
])
def test_answer_of_a_plain_service_says_that_it_leaves(lines, status,
                                                       is_leaving):
    reported = []
    service = replica.Replica(
        lambda request:
        [replica.complete_response(request, b"{}", status, (*lines, _LEAVING))])
    with service.running():
        try:
            plain_service.dispatch(
                service.address, plain_service.Request("r1", "POST", "/", b"x"),
                _TIMEOUT_S, _TIMEOUT_S, reported.append)
        except errors.TargetError:
            assert (status, is_leaving) != (200, True) or len(lines) == 2
    assert reported == (["5f1"] if is_leaving else [])


def test_answer_that_breaks_off_says_nothing_of_a_plain_service():
    reported = []
    service = replica.Replica(lambda request: [
        replica.response_head(request, 200, "X-Request-Id: r1",
                              "Content-Length: 9", _LEAVING)
    ])
    with service.running(), pytest.raises(errors.TargetError):
        plain_service.dispatch(service.address,
                               plain_service.Request("r1", "POST", "/", b"x"),
                               _TIMEOUT_S, _TIMEOUT_S, reported.append)
    assert not reported


@pytest.mark.parametrize("lines, status, leaving", [
    ((_LEAVING,), 200, "5f1"),
    ((_LEAVING,), 503, "5f1"),
    ((_LEAVING, "X-Leaving: 6a2"), 200, None),
    ((), 200, None),
])
def test_answer_to_a_read_of_the_load_says_that_an_engine_leaves(
        lines, status, leaving):
    report = {
        "kv_used_tokens": 1,
        "kv_capacity_tokens": 10,
        "running": 1,
        "waiting": 0,
        "preemptions": 0,
        "measured_age_s": 0.2,
        "incarnation": "5f1",
        "leaving": "in the body"
    }
    target = replica.Replica(lambda request: [
        replica.complete_response(request,
                                  json.dumps(report).encode(), status, lines)
    ])
    with target.running():
        read = load_reports.LoadReader().read(target.address, _TIMEOUT_S)
    assert read.get("leaving") == leaving
