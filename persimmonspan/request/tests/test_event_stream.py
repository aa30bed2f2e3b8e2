"""Tests that events are delivered once, complete and in order."""

import hypothesis
import pytest
from hypothesis import strategies

from persimmonspan.request import event_stream


def _event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def _events(first, last):
    return b"".join(_event(number) for number in range(first, last + 1))


@hypothesis.given(strategies.lists(strategies.integers(0, 200), max_size=6),
                  strategies.integers(0, 200), strategies.integers(1, 9))
def test_interrupted_stream_continues_without_gap_or_repeat(
        cuts, break_at, resend):
    data = _events(1, 9)
    edges = [0, *sorted(min(cut, break_at) for cut in cuts), break_at]
    state, delivered = event_stream.State(), b""
    for start, end in zip(edges, edges[1:]):
        state, output, _ = event_stream.feed(state, data[start:end])
        delivered += output
    # The next target may start with any event that was delivered before.
    state = event_stream.prepare_resume(state)
    first = min(resend, (state.last_id or 0) + 1)
    state, output, _ = event_stream.feed(state, _events(first, 9))
    assert delivered + output == data
    assert not state.partial_event


def test_missing_event_is_rejected():
    state, _, _ = event_stream.feed(event_stream.State(), _event(1))
    with pytest.raises(event_stream.MalformedStreamError):
        event_stream.feed(state, _event(3))


@pytest.mark.parametrize("data", [b"data: x\n\n", b"id: one\n\n"])
def test_event_without_a_numeric_id_is_rejected(data):
    with pytest.raises(event_stream.MalformedStreamError):
        event_stream.feed(event_stream.State(), data)


def test_line_before_the_id_is_kept():
    data = b"x-weight-versions: 2\nid: 1\ndata: a\n\n"
    assert event_stream.feed(event_stream.State(), data)[1] == data
