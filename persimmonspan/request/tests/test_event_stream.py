"""Events are given once, whole and in order, over several targets."""

import hypothesis
import pytest
from hypothesis import strategies

from persimmonspan.request import event_stream


def _event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def _all(first, last):
    return b"".join(_event(number) for number in range(first, last + 1))


@hypothesis.given(strategies.lists(strategies.integers(0, 200), max_size=6),
                  strategies.integers(0, 200), strategies.integers(1, 9))
def test_a_stream_cut_anywhere_goes_on_without_gap_or_repeat(
        cuts, break_at, resend):
    data = _all(1, 9)
    edges = [0, *sorted(min(cut, break_at) for cut in cuts), break_at]
    state, given = event_stream.State(), b""
    for start, end in zip(edges, edges[1:]):
        state, output, _ = event_stream.feed(state, data[start:end])
        given += output
    # The next target may begin with any event that was given before.
    state = event_stream.prepare_resume(state)
    first = min(resend, (state.last_id or 0) + 1)
    state, output, _ = event_stream.feed(state, _all(first, 9))
    assert given + output == data
    assert not state.partial_event


def test_a_missing_event_is_no_stream():
    state, _, _ = event_stream.feed(event_stream.State(), _event(1))
    with pytest.raises(event_stream.MalformedStreamError):
        event_stream.feed(state, _event(3))


@pytest.mark.parametrize("data", [b"data: x\n\n", b"id: one\n\n"])
def test_an_event_without_number_is_no_stream(data):
    with pytest.raises(event_stream.MalformedStreamError):
        event_stream.feed(event_stream.State(), data)


def test_a_line_before_the_id_is_kept():
    data = b"x-weight-versions: 2\nid: 1\ndata: a\n\n"
    assert event_stream.feed(event_stream.State(), data)[1] == data
