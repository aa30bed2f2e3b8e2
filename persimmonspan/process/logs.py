"""Structured logs: one JSON object a line on standard error."""

import logging
import sys

from pythonjsonlogger import json as json_logger

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


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
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # urllib3 and pykka log each connection and each actor at DEBUG.
    logging.getLogger("urllib3").setLevel(logging.WARNING)
    logging.getLogger("pykka").setLevel(logging.WARNING)
