"""Waits until this daemon knows the registered targets as of a time.

A daemon that was cut off, or stood still, acts on targets that it knew before.
For most decisions a limit on their age suffices, as a target that leaves serves
on for a while. A decision that rests on the absence of a target needs a read
that began after the question was asked.

Through an outage of the store for all daemons no target can register, so what
was read last stays complete. That it is one is shown by peers that tell, after
the question, that they cannot read either.
"""

import collections.abc
import time
import typing

from persimmonspan.process import clock

_CHECK_INTERVAL_S = 0.02


class Evidence(typing.Protocol):
    """What peers tell of the store."""

    def is_outage(self, since_s: float) -> bool:
        """Returns whether no daemon can read the store."""


class Peers(typing.Protocol):
    """Tells when the targets were last read, by any daemon."""

    @property
    def evidence(self) -> Evidence:
        """What peers tell of the store."""

    def targets_confirmed_s(self) -> float:
        """Returns when the registered targets were last current."""


def await_targets(
        peers: Peers,
        since_s: float,
        timeout_s: float,
        sleep: collections.abc.Callable[[float], object] = time.sleep) -> bool:
    """Waits until the targets are known as of a time; returns whether they are.

    Args:
        peers: The daemons, with this one.
        since_s: The time, on `clock`.
        timeout_s: How long to wait.
        sleep: Waits for a number of seconds.
    """
    end_s = clock.now_s() + timeout_s
    while (peers.targets_confirmed_s() < since_s and
           not peers.evidence.is_outage(since_s)):
        if clock.now_s() >= end_s:
            return False
        sleep(_CHECK_INTERVAL_S)
    # A thread that recorded the time may still be applying what it read.
    sleep(_CHECK_INTERVAL_S)
    return True
