"""Decides what the complete response of a target means for its request.

Interface: `check_head(head, ...)` and `classify(received) -> Verdict`. They use
no network and no clock.

See Also:
    `persimmonspan.request.forwarding`: reads the responses and applies the
    verdicts.
"""

import enum
import typing

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.request import events
from persimmonspan.request import forwarded

OK = 200
_MIN_FAILURE_STATUS = 300
_MIN_SERVER_ERROR_STATUS = 500
# Callers conclude from these that the request was not run, so they are not
# passed on for a request that may have run.
_NOT_RUN_STATUSES = frozenset({408, 429, 503})


class Use(enum.Enum):
    """What a response is to the caller."""

    NOTHING = enum.auto()
    RESPONSE = enum.auto()  # The response to the request.
    # The response to the request if no other target sends a better one.
    ERROR = enum.auto()


class Received(typing.NamedTuple):
    """A complete response.

    Attributes:
        head: Its head.
        is_stream: Whether its body was relayed event by event.
        is_framed: Whether its body has a length or chunks.
        is_within_event: Whether its body ends within an event.
        event_count: Number of events that it added to the stream.
        caller_event_count: Number of events that the caller has, with these.
        has_trailing_bytes: Whether other bytes followed it.
    """

    head: forwarded.ResponseHead
    is_stream: bool = False
    is_framed: bool = True
    is_within_event: bool = False
    event_count: int = 0
    caller_event_count: int = 0
    has_trailing_bytes: bool = False


class RejectedResponseError(exchange.BrokenResponseError):
    """A response that must not be used, with the reason for the counter."""

    def __init__(self, reason: str, problem: str) -> None:
        super().__init__(errors.Code.TARGET_FAILED, problem)
        self.reason = reason


class Verdict(typing.NamedTuple):
    """Outcome of an attempt, use of its response, and error if it failed."""

    outcome: events.Outcome
    use: Use = Use.NOTHING
    error: errors.TargetError | None = None


def check_head(head: forwarded.ResponseHead, request_id: str,
               begun_head: forwarded.ResponseHead | None) -> None:
    """Checks whether a head can belong to a response to the request.

    Args:
        head: The head.
        request_id: Id of the request as its caller sent it.
        begun_head: Head of the stream that the caller receives, or None if it
            has received nothing.

    Raises:
        RejectedResponseError: The response must not be used.
    """
    if head.request_id is not None and head.request_id != request_id:
        raise RejectedResponseError("crossed",
                                    "the response belongs to another request")
    if head.is_not_run and head.request_id is None and request_id:
        # It may be the refusal of another request, and this one may run.
        raise RejectedResponseError("refusal_without_id",
                                    "the refusal does not name its request")
    if head.status >= _MIN_FAILURE_STATUS:
        return
    if not head.is_signed or head.is_encoded:
        raise RejectedResponseError("unsigned",
                                    "the response is unsigned or encoded")
    if head.is_not_run:
        raise RejectedResponseError(
            "contradictory", "the response is a success that was not run")
    if (begun_head is not None and head.status == OK and
            head.media_type != begun_head.media_type):
        raise RejectedResponseError(
            "no_continuation", f"the stream continues as {head.media_type}")


def classify(received: Received) -> Verdict:
    """Returns the verdict on a complete response."""
    status = received.head.status
    if received.head.is_not_run:
        if received.has_trailing_bytes:
            # If another response follows, either of them may be the right one.
            return Verdict(events.Outcome.INTERRUPTED,
                           error=RejectedResponseError(
                               "refusal_not_alone",
                               "other bytes follow the refusal"))
        error = errors.TargetError(errors.Code.OVERLOADED, f"status {status}",
                                   errors.RunState.NOT_RUN)
        return Verdict(events.Outcome.REFUSED if not received.caller_event_count
                       else events.Outcome.ANSWERED_ERROR,
                       error=error)
    if received.is_stream:
        return _classify_stream(received)
    if received.caller_event_count:
        # The caller has the head and the first events of a stream.
        return Verdict(events.Outcome.ANSWERED_ERROR,
                       error=errors.TargetError(
                           errors.Code.TARGET_FAILED,
                           f"status {status} after a stream began",
                           errors.RunState.RAN))
    if status >= _MIN_SERVER_ERROR_STATUS or status in _NOT_RUN_STATUSES:
        return Verdict(
            events.Outcome.ANSWERED_ERROR,
            Use.NOTHING if status in _NOT_RUN_STATUSES else Use.ERROR,
            errors.TargetError(errors.Code.TARGET_FAILED, f"status {status}",
                               errors.RunState.RAN))
    return Verdict(events.Outcome.COMPLETED, Use.RESPONSE)


def _classify_stream(received: Received) -> Verdict:
    if received.is_within_event:
        return _interrupted("the stream ends within an event")
    if received.event_count:
        return Verdict(events.Outcome.COMPLETED)
    if received.caller_event_count:
        # It does not show that the events before were all.
        return _interrupted("the stream does not go on")
    if not received.is_framed:
        # A target that crashes closes the connection alike.
        return _interrupted("the stream ends without an event")
    return Verdict(events.Outcome.COMPLETED, Use.RESPONSE)


def _interrupted(problem: str) -> Verdict:
    return Verdict(events.Outcome.INTERRUPTED, error=_broken(problem))


def _broken(problem: str) -> exchange.BrokenResponseError:
    return exchange.BrokenResponseError(errors.Code.TARGET_FAILED, problem)
