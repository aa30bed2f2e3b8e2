"""Background threads that run until the end of a `with` block."""

import collections.abc
import contextlib
import logging
import threading

_logger = logging.getLogger(__name__)


@contextlib.contextmanager
def running(
        work: collections.abc.Callable[[], None],
        stop: collections.abc.Callable[[],
                                       None]) -> collections.abc.Iterator[None]:
    """Runs `work` on a thread; the end of the block calls `stop` to end it."""
    thread = threading.Thread(target=work)
    thread.start()
    try:
        yield
    finally:
        stop()
        thread.join()


@contextlib.contextmanager
def calling_periodically(work: collections.abc.Callable[[], object],
                         interval_s: float) -> collections.abc.Iterator[None]:
    """Calls `work` on a thread at an interval until the block ends.

    An exception of a call is logged and does not end the calls.
    """
    stopped = threading.Event()

    def repeat() -> None:
        while not stopped.wait(interval_s):
            try:
                work()
            except Exception:  # pylint: disable=broad-exception-caught
                _logger.exception("periodic call failed")

    with running(repeat, stopped.set):
        yield
