"""Structured logs: one JSON object per line on standard output.

A thread that serves a request must never wait for the reader of the logs. Lines
go into a bounded buffer, which a separate thread writes out. If the buffer is
full, lines are dropped, and a line after the next batch reports their number.
"""

import atexit
import collections
import contextvars
import logging
import sys
import threading
import typing

from pythonjsonlogger import json as json_logger

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
_FIELD_NAMES = {"asctime": "time", "levelname": "level", "name": "logger"}
# A busy daemon logs this number of lines in several seconds.
_MAX_BUFFERED_LINES = 4000
# Lines of one interval are written together, with a single call.
_WRITE_INTERVAL_S = 0.05
_FLUSH_TIMEOUT_S = 0.5  # At the end of the process.

# Set on each thread that serves a request, and added to its log lines.
request_id: contextvars.ContextVar[str | None] = contextvars.ContextVar(
    "request_id", default=None)


class BufferedHandler(logging.Handler):
    """Buffers a bounded number of lines and writes them on its own thread.

    Args:
        stream: Stream to which lines are written.
        max_buffered_lines: Maximum number of lines in the buffer.
    """

    def __init__(self,
                 stream: typing.TextIO,
                 max_buffered_lines: int = _MAX_BUFFERED_LINES) -> None:
        super().__init__()
        self._stream = stream
        self._max_buffered_lines = max_buffered_lines
        self._lines: collections.deque[str] = collections.deque()
        self._dropped_lines = 0
        self._has_lines = threading.Event()
        self._is_written = threading.Event()
        self._is_written.set()
        threading.Thread(target=self._write_lines, name="logs",
                         daemon=True).start()
        atexit.register(self.flush)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers a line, or drops and counts it if the buffer is full."""
        if len(self._lines) >= self._max_buffered_lines:
            self._dropped_lines += 1
            return
        try:
            line = self.format(record)
        except Exception:  # pylint: disable=broad-exception-caught
            self.handleError(record)
            return
        self._is_written.clear()
        self._lines.append(line)
        self._has_lines.set()

    def flush(self) -> None:
        """Waits until the buffered lines are written, or for a timeout."""
        self._is_written.wait(_FLUSH_TIMEOUT_S)

    def _write_lines(self) -> None:
        pause = threading.Event()
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            lines = []
            while self._lines:
                lines.append(self._lines.popleft())
            dropped_lines, self._dropped_lines = self._dropped_lines, 0
            if dropped_lines:
                lines.append(
                    self.format(
                        logging.makeLogRecord({
                            "name": __name__,
                            "levelname": "WARNING",
                            "msg": "lines left out",
                            "count": dropped_lines
                        })))
            try:
                self._stream.write("".join(line + "\n" for line in lines))
                self._stream.flush()
            except (OSError, ValueError):
                # The stream is closed or broken, so this cannot be logged.
                self._dropped_lines += len(lines)
            if not self._lines:
                self._is_written.set()
            pause.wait(_WRITE_INTERVAL_S)


def configure(level: str, daemon: str) -> None:
    """Sends all log records as JSON lines to standard output.

    Args:
        level: Minimum level of the records that are written.
        daemon: Name of the daemon, which is added to each record.
    """
    handler = BufferedHandler(sys.stdout)
    handler.setFormatter(
        json_logger.JsonFormatter(_FORMAT,
                                  rename_fields=_FIELD_NAMES,
                                  static_fields={"daemon": daemon}))
    handler.addFilter(_add_request_id)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # urllib3 and pykka log each connection and each actor at DEBUG. urllib3
    # also warns whenever more threads than pooled connections are used.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger("pykka").setLevel(logging.WARNING)


def _add_request_id(record: logging.LogRecord) -> bool:
    current = request_id.get()
    if current is not None and not hasattr(record, "request_id"):
        record.request_id = current
    return True
