"""Tests that logging does not block and reports how many lines it dropped."""

import io
import logging
import threading
import time

from persimmonspan.process import logs


class _BlockedStream(io.StringIO):
    """A stream whose writes block until it is released."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(5.0)
        return super().write(text)


def _logger(handler):
    logger = logging.Logger("test")
    handler.setFormatter(
        logging.Formatter("%(message)s %(count)s", defaults={"count": ""}))
    logger.addHandler(handler)
    return logger


def test_blocked_reader_blocks_no_thread_and_dropped_lines_are_counted():
    stream = _BlockedStream()
    handler = logs.BufferedHandler(stream, max_buffered_lines=10)
    logger = _logger(handler)
    logger.info("first")
    time.sleep(0.2)  # The writer thread now blocks on this line.
    began_s = time.monotonic()
    for number in range(50):
        logger.info("line %d", number)
    assert time.monotonic() - began_s < 0.5
    stream.released.set()
    time.sleep(0.3)
    handler.flush()
    lines = stream.getvalue().splitlines()
    assert len(lines) == 12  # The first line, ten buffered lines and the count.
    assert lines[-1] == "lines left out 40"


def test_lines_are_written_soon_and_in_order():
    stream = io.StringIO()
    handler = logs.BufferedHandler(stream)
    logger = _logger(handler)
    for number in range(20):
        logger.info("%d", number)
    handler.flush()
    assert stream.getvalue().split() == [str(number) for number in range(20)]
