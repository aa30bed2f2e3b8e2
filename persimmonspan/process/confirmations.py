"""Since when a daemon has known the registered targets without a gap.

A daemon whose reads fail cannot tell an outage of the store from its own loss
of it. Another daemon whose targets were confirmed all the time knows that the
store was available: what it shows as missing was removed, and has not expired
for want of renewals.

All functions are pure.
"""

import math
import typing

# Targets renew their entries every 1.2 s or less often, and an entry is removed
# after three renewals have failed. A shorter outage than this, of two of them,
# makes no entry expire. Source: contract of the platform.
_MAX_GAP_S = 2.4
# A peer that reads, or hears of the reader, knows targets of about this age. It
# is shorter than the gap, as what a peer tells may wait in a link.
_MAX_AGE_S = 1.0


class Span(typing.NamedTuple):
    """A time in which the targets were confirmed; empty by default."""

    since_s: float = math.inf
    until_s: float = -math.inf


class Ages(typing.NamedTuple):
    """A span for a digest: the age of its end, and its length."""

    age_s: float = math.inf
    length_s: float = 0.0


def confirm(span: Span, at_s: float) -> Span:
    """Records that the targets were current at a time.

    >>> confirm(confirm(confirm(Span(), 1.0), 3.0), 2.0)
    Span(since_s=1.0, until_s=3.0)
    >>> confirm(Span(1.0, 3.0), 6.0)
    Span(since_s=6.0, until_s=6.0)
    """
    if at_s <= span.until_s:
        return span
    if at_s - span.until_s > _MAX_GAP_S:
        return Span(at_s, at_s)
    return Span(span.since_s, at_s)


def to_ages(span: Span, now_s: float) -> Ages:
    """Returns a span as it is told in a digest."""
    if math.isinf(span.until_s):
        return Ages()
    return Ages(now_s - span.until_s, span.until_s - span.since_s)


def from_ages(ages: Ages, now_s: float, composed_after_s: float) -> Span:
    """Returns the span that a peer told.

    Args:
        ages: The span when the digest was composed.
        now_s: Time of the arrival.
        composed_after_s: A time before the digest was composed, or minus
            infinity if none is known.

    >>> from_ages(Ages(0.5, 10.0), 100.0, 99.0)
    Span(since_s=89.5, until_s=98.5)
    """
    if math.isinf(ages.age_s):
        return Span()
    composed_s = now_s if math.isinf(composed_after_s) else composed_after_s
    return Span(now_s - ages.age_s - ages.length_s, composed_s - ages.age_s)


def was_available(spans: typing.Iterable[Span], lost_since_s: float,
                  regained_s: float) -> bool:
    """Returns whether the store was read while this daemon could not.

    Args:
        spans: Spans of the peers.
        lost_since_s: When this daemon's targets were last confirmed.
        regained_s: When it could read again, or the present time.

    >>> was_available([Span(0.0, 9.5)], 2.0, 10.0)
    True
    >>> was_available([Span(3.0, 9.5), Span(0.0, 5.0)], 2.0, 10.0)
    False
    """
    return any(
        span.since_s <= lost_since_s and span.until_s >= regained_s - _MAX_AGE_S
        for span in spans)
