"""Reads the time for which a target wants no requests.

`Retry-After` holds seconds, which may include a fraction, or an HTTP date,
which counts from the `Date` of the same answer: the clock of this VM may be
wrong. Several values, in one header or in several, give the longest time.
Values that are negative or not of these forms give none.

References:
    RFC 9110, section 10.2.3 (Retry-After) and 6.6.1 (Date).
"""

import collections.abc
import datetime
import email.utils
import http
import re

from persimmonspan.connection import exchange

NAME = b"retry-after"
_DATE_NAME = b"date"
NAMES = frozenset({NAME, _DATE_NAME})  # Headers that tell the time.
_SECONDS = re.compile(rb"(\d+\.?\d*|\.\d+)")


def read_pause_s(head: exchange.RawResponseHead) -> float | None:
    """Returns the time that a target names with status 503, or None.

    >>> read_pause_s(exchange.RawResponseHead(503, ((b"retry-after", b"1.5"),)))
    1.5
    >>> read_pause_s(exchange.RawResponseHead(429, ((b"retry-after", b"1.5"),)))
    """
    if head.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    return parse(head.get_all(NAME), head.get(_DATE_NAME))


def parse(values: collections.abc.Iterable[bytes],
          date: bytes | None = None) -> float | None:
    """Returns the longest time that some header values name, in seconds.

    Args:
        values: The values of all `Retry-After` headers of an answer.
        date: The value of its `Date` header.

    >>> parse([b"2", b"0.5, 3"]), parse([b"-1"]), parse([b"soon"])
    (3.0, None, None)
    """
    times_s = [
        time_s for value in values for time_s in _parse_value(value, date)
        if time_s is not None
    ]
    return max(times_s, default=None)


def _parse_value(value: bytes, date: bytes | None) -> list[float | None]:
    time_s = _parse_date_s(value, date)
    if time_s is not None:
        return [time_s]
    return [_parse_seconds(part.strip()) for part in value.split(b",")]


def _parse_seconds(text: bytes) -> float | None:
    return float(text) if _SECONDS.fullmatch(text) else None


def _parse_date_s(value: bytes, date: bytes | None) -> float | None:
    until, sent = _read_date(value), _read_date(date or b"")
    if until is None or sent is None:
        return None
    return max(0.0, (until - sent).total_seconds())


def _read_date(value: bytes) -> datetime.datetime | None:
    try:
        moment = email.utils.parsedate_to_datetime(value.decode("latin-1"))
    except ValueError:
        return None
    if moment.tzinfo is None:
        return moment.replace(tzinfo=datetime.UTC)
    return moment
