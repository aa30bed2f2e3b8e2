"""Tests of the verdicts on responses, without a network."""

import pytest

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.request import classification
from persimmonspan.request import events
from persimmonspan.request import forwarded

_HEAD = forwarded.ResponseHead(200, (), "r1", False, False, True, False, None)


@pytest.mark.parametrize("status", [201, 204, 301, 404, 429, 500, 503])
def test_no_response_but_a_stream_is_used_after_a_stream_began(status):
    verdict = classification.classify(
        classification.Received(_HEAD._replace(status=status),
                                caller_event_count=1))
    assert verdict.use is classification.Use.NOTHING
    assert verdict.outcome is events.Outcome.ANSWERED_ERROR
    assert verdict.error.run_state is errors.RunState.RAN


@pytest.mark.parametrize("status, use", [
    (200, classification.Use.RESPONSE),
    (404, classification.Use.RESPONSE),
    (408, classification.Use.NOTHING),
    (429, classification.Use.NOTHING),
    (500, classification.Use.ERROR),
    (503, classification.Use.NOTHING),
])
def test_use_of_a_response_before_a_stream_began(status, use):
    received = classification.Received(_HEAD._replace(status=status))
    assert classification.classify(received).use is use


@pytest.mark.parametrize("changes", [
    {
        "request_id": "r0"
    },
    {
        "is_signed": False
    },
    {
        "is_encoded": True
    },
    {
        "is_not_run": True
    },
    {
        "media_type": "text/html"
    },
])
def test_head_that_cannot_continue_a_stream_is_rejected(changes):
    begun_head = _HEAD._replace(media_type="text/event-stream")
    classification.check_head(begun_head, "r1", begun_head)
    with pytest.raises(exchange.BrokenResponseError):
        classification.check_head(begun_head._replace(**changes), "r1",
                                  begun_head)
