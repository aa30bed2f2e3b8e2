"""How long connections may be idle while the limit changes.

A caller that was told a limit may use a connection until shortly before it. A
lowered limit therefore holds for connections that become idle from then on, and
a raised one also for those that are idle already. An idle connection is thus
closed once the largest of the limits that were in force while it was idle has
passed: a lowered limit is in full effect after the time of the former one.
"""

import math
import typing


class Limit(typing.NamedTuple):
    """A limit, and when another one replaced it on the monotonic clock."""

    idle_s: float
    replaced_s: float


Limits = tuple[Limit, ...]


def replace(limits: Limits, idle_s: float, now_s: float) -> Limits:
    """Returns the limits after one was put in force, the oldest first.

    Limits that no connection can need any more are left out.

    >>> limits = replace((), 20.0, 0.0)
    >>> limits = replace(limits, 1.0, 100.0)
    >>> limits
    (Limit(idle_s=20.0, replaced_s=100.0), Limit(idle_s=1.0, replaced_s=inf))
    >>> replace(limits, 2.0, 119.0)
    (Limit(idle_s=20.0, replaced_s=100.0), Limit(idle_s=2.0, replaced_s=inf))
    >>> replace(limits, 2.0, 121.0)
    (Limit(idle_s=2.0, replaced_s=inf),)
    """
    kept = [
        Limit(limit.idle_s, min(limit.replaced_s, now_s))
        for limit in limits
        if limit.idle_s > idle_s
    ]
    return (
        *(limit for limit in kept if limit.replaced_s + limit.idle_s > now_s),
        Limit(idle_s, math.inf))


def find_end_s(limits: Limits, idle_since_s: float) -> float:
    """Returns until when a connection may be idle, on the monotonic clock.

    >>> limits = replace(replace((), 20.0, 0.0), 1.0, 100.0)
    >>> find_end_s(limits, 99.0), find_end_s(limits, 100.0)
    (119.0, 101.0)
    >>> find_end_s(replace(limits, 60.0, 100.5), 100.0)
    160.0
    """
    return idle_since_s + max(
        limit.idle_s for limit in limits if idle_since_s < limit.replaced_s)
