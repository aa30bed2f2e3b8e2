"""Reports what the head of a response says about its target.

The functions run on the relay thread and defer all that may wait.
"""

import collections.abc
import typing

from persimmonspan.connection import relay
from persimmonspan.process import target_pauses
from persimmonspan.request import classification
from persimmonspan.request import events
from persimmonspan.request import forwarded


class ContextLike(typing.Protocol):
    """The services of the process that receive the reports."""

    @property
    def relay(self) -> relay.Relay:
        """The relay thread."""

    @property
    def pauses(self) -> target_pauses.TargetPauses:
        """The pauses of targets that turned requests away."""

    @property
    def report_rate(self) -> collections.abc.Callable[[events.RateNamed], None]:
        """Called with the rate of requests that a target names."""

    @property
    def report_leaving(self) -> collections.abc.Callable[[events.Target], None]:
        """Called with a target that says that it leaves."""

    @property
    def report_cold(
            self
    ) -> collections.abc.Callable[[events.Target, float | None], None]:
        """Called with a target and how long it says that it stays cold."""


def report(context: ContextLike, request_id: str, target: events.Target,
           head: forwarded.ResponseHead,
           begun_head: forwarded.ResponseHead | None) -> None:
    """Reports the head, and checks whether it can belong to the request.

    Args:
        context: Receives the reports.
        request_id: Id of the request as its caller sent it.
        target: The target that sent the head.
        head: The head.
        begun_head: Head of the stream that the caller receives, or None.

    Raises:
        classification.RejectedResponseError: The response must not be used.
    """
    # An answer to another request may be an old one.
    if head.retry_after_s and head.request_id in (None, request_id):
        context.relay.call_soon(context.pauses.record, target.name,
                                head.retry_after_s, "request")
    if head.cold_s is not None and head.request_id in (None, request_id):
        context.relay.call_soon(context.report_cold, target, head.cold_s)
    classification.check_head(head, request_id, begun_head)
    context.relay.call_soon(
        context.report_rate,
        events.RateNamed(target.name, head.max_requests_per_s))
    if head.is_leaving:
        context.relay.call_soon(context.report_leaving, target)
