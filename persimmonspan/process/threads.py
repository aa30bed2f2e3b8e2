"""Background threads that end with a block."""

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
    """Runs `work` on a thread until the block ends; `stop` makes it return."""
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
    """Calls `work` at an interval until the block ends.

    A call that fails is logged and does not end the repetition.
    """
    stopped = threading.Event()

    def repeat() -> None:
        while not stopped.wait(interval_s):
            try:
                work()
            except Exception:  # pylint: disable=broad-exception-caught
                _logger.exception("periodic work failed")

    with running(repeat, stopped.set):
        yield
