"""Structured logs: one JSON object a line on standard error."""

import contextvars
import logging
import sys

from pythonjsonlogger import json as json_logger

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}

# Set on each thread that serves a request; a field of its log lines.
request_id: contextvars.ContextVar[str | None] = contextvars.ContextVar(
    "request_id", default=None)


def configure(level: str, daemon: str) -> None:
    """Sends all log records as JSON lines to standard error.

    Args:
        level: Lowest level that is written.
        daemon: Name of the daemon, a field of each record.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(_FORMAT,
                                  rename_fields=_RENAMED,
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
