"""Tests streams that have neither a length nor chunks and end by closing."""

import http.client

import pytest

from testbed import edge_world
from testbed import replica


@pytest.fixture(name="world")
def _world():
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    return world


def _unframed(body):

    def answer(request):
        yield replica.response_head(request, 200,
                                    "Content-Type: text/event-stream") + body

    return answer


def _event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def test_unframed_stream_is_relayed_whole(world):
    world.add_replica("i-1", "engines", _unframed(_event(0) + _event(1)))
    with world.running():
        status, _, body = world.send_request("/draft/1", X_Token_Usage="100,10")
    assert (status, body) == (200, _event(0) + _event(1))


def test_unframed_stream_that_ends_within_an_event_is_cut(world):
    world.add_replica("i-1", "engines", _unframed(_event(0) + b"id: 1\nda"))
    with world.running(), pytest.raises(http.client.IncompleteRead):
        world.send_request("/draft/1", X_Token_Usage="100,10")


def test_framed_stream_without_an_event_is_a_success(world):
    world.add_replica(
        "i-1", "engines",
        lambda request: [replica.stream_head(request), replica.STREAM_END])
    with world.running():
        status, _, body = world.send_request("/draft/1", X_Token_Usage="100,10")
    assert (status, body) == (200, b"")


@pytest.mark.parametrize("body", [b"", b"id: 0\n", b"\n"])
def test_unframed_stream_without_a_whole_event_is_no_success(world, body):
    world.add_replica("i-1", "engines", _unframed(body))
    with world.running():
        status, _, _ = world.send_request("/draft/1", X_Token_Usage="100,10")
    assert status == 502
