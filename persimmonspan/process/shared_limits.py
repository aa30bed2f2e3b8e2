"""Limits that all edge daemons share, divided by the number of daemons."""

import collections.abc
import logging

from persimmonspan.process import edge_settings
from persimmonspan.request import events
from persimmonspan.request import hedging
from persimmonspan.request import retry

# Number of daemons that share the retry budget until their rows were read.
_MIN_DAEMONS = 8
# A daemon keeps at least this many tokens: with less it would never retry.
_MIN_RETRY_CAP = 1.0
# The daemons together use this part of the budget, so that an uneven spread of
# requests over them does not exceed it.
_RETRY_BUDGET_SHARE = 0.6

_logger = logging.getLogger(__name__)


def retry_limits(budget: edge_settings.RetryBudget,
                 daemons: int = _MIN_DAEMONS) -> retry.Limits:
    """Returns a daemon's share of the retry budget of all daemons.

    >>> retry_limits(edge_settings.RetryBudget(0.2, 10.0, 80.0))
    Limits(deposit=0.12, cap=6.0, initial=6.0)
    >>> retry_limits(edge_settings.RetryBudget(0.2, 10.0, 430.0), 195).cap
    1.323076923076923
    """
    cap = max(_MIN_RETRY_CAP, _RETRY_BUDGET_SHARE * budget.burst / daemons)
    return retry.Limits(_RETRY_BUDGET_SHARE * budget.ratio, cap, cap)


class SharedLimits:
    """Tells the scheduler this daemon's share of the common limits.

    Args:
        tell: Sends an event to the scheduler.
    """

    def __init__(self, tell: collections.abc.Callable[[events.Event],
                                                      None]) -> None:
        self.daemons: tuple[str, ...] = ()  # Empty until others are known.
        self._tell = tell
        self._count = _MIN_DAEMONS
        self._hedge_share = 0.0  # As told to the scheduler.

    def set_daemons(self, daemons: tuple[str, ...],
                    options: edge_settings.EdgeSettings,
                    is_stopping: bool) -> None:
        """Divides the limits anew if daemons joined or left."""
        if len(daemons) > 1 and daemons != self.daemons:
            self.daemons = daemons
            self._tell(events.DaemonsChanged(options.name, daemons))
        count = max(_MIN_DAEMONS, len(daemons))
        if count != self._count:
            self._count = count
            self.send(options, is_stopping)

    def send(self, options: edge_settings.EdgeSettings,
             is_stopping: bool) -> None:
        """Tells the limits of retries and of hedged requests."""
        limits = retry_limits(options.retry, self._count)
        _logger.info("retry limits",
                     extra={
                         "daemons": self._count,
                         "deposit": limits.deposit,
                         "cap": limits.cap
                     })
        self._tell(events.RetryLimitsChanged(limits.deposit, limits.cap))
        self.send_hedge_limits(options, is_stopping)

    def send_hedge_limits(self, options: edge_settings.EdgeSettings,
                          is_stopping: bool) -> None:
        """Tells the limits of hedged requests, if there are or were any."""
        share = 0.0 if is_stopping else options.hedge_share
        if not share and not self._hedge_share:
            return
        self._hedge_share = share
        max_budget = hedging.limit_budget(
            options.retry.burst / self._count,
            retry_limits(options.retry, self._count).cap)
        _logger.info("hedge limits",
                     extra={
                         "share": share,
                         "max_budget": max_budget
                     })
        self._tell(events.HedgeLimitsChanged(share, max_budget))
