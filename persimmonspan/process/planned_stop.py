"""Times at which a planned stop ends what still runs.

The platform kills a daemon at the end of the grace period. Requests run until
`_CUT_MARGIN_S` before it; then their connections are closed. Ending all threads
takes about 1.2 s, and 2 s more if the store does not answer. Nothing depends on
that, so the process exits without it `_EXIT_MARGIN_S` before the end.
"""

import collections.abc
import logging
import os
import threading
import time
import typing

_CUT_MARGIN_S = 0.4
# The load: a machine with half a core, on which many threads end at once.
_EXIT_MARGIN_S = 0.3
_CHECK_INTERVAL_S = 0.05
# Log lines are written at an interval of 0.05 s.
_LOG_TIME_S = 0.07

EndProcess = collections.abc.Callable[[], object]

_logger = logging.getLogger(__name__)


class Times(typing.NamedTuple):
    """When requests are cut, and when the process exits at the latest.

    Both are on the monotonic clock.
    """

    cut_s: float
    exit_s: float


def plan(stop_s: float, grace_s: float) -> Times:
    """Returns the times for a stop that began at a time.

    >>> plan(100.0, 8.0)
    Times(cut_s=107.6, exit_s=107.7)
    """
    return Times(stop_s + grace_s - _CUT_MARGIN_S,
                 stop_s + grace_s - _EXIT_MARGIN_S)


class Server(typing.Protocol):
    """The listener for callers."""

    shutdown_timeout: float

    def end_reads(self) -> None:
        """Ends the requests that are served."""


def run(times: Times, min_end_s: float, server: Server,
        count_in_flight: collections.abc.Callable[[], int],
        count: collections.abc.Callable[[str], object],
        end_process: EndProcess) -> None:
    """Waits until nothing is in flight, or until requests are cut.

    Args:
        times: When requests are cut and the process exits.
        min_end_s: When the wait ends at the earliest.
        server: Its requests are cut, also if it is stopped meanwhile.
        count_in_flight: Returns the number of requests in flight.
        count: Increments the counter of a reason.
        end_process: Called at `times.exit_s`.
    """

    def cut() -> None:
        in_flight = count_in_flight()
        if in_flight:
            count("requests_cut_by_stop")
            _logger.warning("requests cut by the stop",
                            extra={"in_flight": in_flight})
        server.end_reads()

    _logger.info("stopping", extra={"in_flight": count_in_flight()})
    _call_at(times.cut_s, cut)
    _call_at(times.exit_s, end_process)
    while (now_s := time.monotonic()) < times.cut_s:
        if now_s >= min_end_s and not count_in_flight():
            break
        time.sleep(_CHECK_INTERVAL_S)
    # Requests are still admitted until the listener closes, if they end within
    # the grace period.
    server.shutdown_timeout = max(0.0, times.cut_s - time.monotonic())
    _logger.info("stopped", extra={"in_flight": count_in_flight()})


def _call_at(at_s: float, function: collections.abc.Callable[[],
                                                             object]) -> None:
    """Calls a function at a time, unless the process has ended by then."""
    timer = threading.Timer(max(0.0, at_s - time.monotonic()), function)
    timer.daemon = True
    timer.start()


def exit_process() -> None:
    """Ends the process at once, whatever its threads wait for."""
    _logger.warning("exit before the threads have ended",
                    extra={
                        "threads":
                            sorted(thread.name
                                   for thread in threading.enumerate()
                                   if not thread.daemon)
                    })
    time.sleep(_LOG_TIME_S)
    os._exit(0)  # pylint: disable=protected-access
