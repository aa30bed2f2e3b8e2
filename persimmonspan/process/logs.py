"""Structured logs: one JSON object a line on standard output.

A thread that serves a request must never wait for whoever reads the logs. Lines
go into a bounded buffer, which a thread of its own writes out. What finds the
buffer full is left out; the next line that is written says how many were.
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
# Several seconds of a busy daemon's lines.
_MAX_BUFFERED_LINES = 4000
# Lines of this time are written together, which costs one call.
_WRITE_INTERVAL_S = 0.05
_FLUSH_TIMEOUT_S = 0.5  # At the end of the process.

# Set on each thread that serves a request; a field of its log lines.
request_id: contextvars.ContextVar[str | None] = contextvars.ContextVar(
    "request_id", default=None)


class BufferedHandler(logging.Handler):
    """Writes lines from a bounded buffer, on a thread of its own.

    Args:
        stream: Where lines are written.
        buffered_lines: Lines that are held at most.
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
        """Buffers a line, or counts it as left out."""
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
        """Waits a little for the buffered lines to be written."""
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
                # Nobody reads; there is nowhere to say so.
                self._dropped_lines += len(lines)
            if not self._lines:
                self._is_written.set()
            pause.wait(_WRITE_INTERVAL_S)


def configure(level: str, daemon: str) -> None:
    """Sends all log records as JSON lines to standard output.

    Args:
        level: Lowest level that is written.
        daemon: Name of the daemon, a field of each record.
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
    # urllib3 and pykka log each connection and each actor at DEBUG.
    # urllib3 warns whenever more threads than pooled connections are used.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger("pykka").setLevel(logging.WARNING)


def _add_request_id(record: logging.LogRecord) -> bool:
    current = request_id.get()
    if current is not None and not hasattr(record, "request_id"):
        record.request_id = current
    return True
