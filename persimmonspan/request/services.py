"""Services of the process that calls to a target about its runs use."""

import collections.abc
import typing

from persimmonspan.connection import exchange
from persimmonspan.process import metrics
from persimmonspan.process import target_pauses
from persimmonspan.request import events
from persimmonspan.request import forwarded


class CallContext(typing.Protocol):
    """The part of the process that such calls use."""

    @property
    def wire(self) -> forwarded.Wire:
        """The formats of the platform."""

    @property
    def metrics(self) -> metrics.Metrics:
        """The metrics of the process."""

    @property
    def pauses(self) -> target_pauses.TargetPauses:
        """The pauses of targets that turned requests away."""

    @property
    def report_leaving(self) -> collections.abc.Callable[[events.Target], None]:
        """Called with a target that says that it leaves."""

    @property
    def report_cold(
            self
    ) -> collections.abc.Callable[[events.Target, float | None], None]:
        """Called with for how long a target says that it is cold, or None."""


class Services(typing.NamedTuple):
    """These services for calls that belong to no request."""

    wire: forwarded.Wire
    metrics: metrics.Metrics
    pauses: target_pauses.TargetPauses
    report_leaving: collections.abc.Callable[[events.Target], None]
    report_cold: collections.abc.Callable[[events.Target, float | None], None]


def record_call(context: CallContext, target: events.Target,
                head: exchange.RawResponseHead, purpose: str) -> None:
    """Records what the answer to a call says about its target.

    Args:
        context: Services of the process.
        target: The target.
        head: Head of its answer.
        purpose: What the call was for, for the log.
    """
    context.pauses.record(target.name, context.wire.decode_retry_after(head),
                          purpose)
    context.report_cold(target, context.wire.decode_cold_start(head))
    if context.wire.says_leaving(head):
        context.report_leaving(target)
