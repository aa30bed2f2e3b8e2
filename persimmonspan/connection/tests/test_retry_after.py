"""Tests which values of `Retry-After` name a time."""

import pytest

from persimmonspan.connection import exchange
from persimmonspan.connection import retry_after

_SENT = b"Sat, 05 Dec 2026 01:00:00 GMT"


@pytest.mark.parametrize(
    "values, pause_s",
    [
        ([], None),
        ([b"2"], 2.0),
        ([b" 2 "], 2.0),
        ([b"0.25"], 0.25),
        ([b".5"], 0.5),
        ([b"3."], 3.0),
        ([b"0"], 0.0),
        # Values that name no time.
        ([b""], None),
        ([b"-1"], None),
        ([b"+1"], None),
        ([b"1e9"], None),
        ([b"inf"], None),
        ([b"nan"], None),
        ([b"0x10"], None),
        ([b"1_0"], None),
        ([b"1:30"], None),
        ([b"soon"], None),
        ([b"\xff2"], None),
        ([b"\xb2"], None),
        # Repeated values: the longest time counts.
        ([b"1", b"3"], 3.0),
        ([b"3", b"soon"], 3.0),
        ([b"1, 4"], 4.0),
        ([b"", b"2"], 2.0),
        # Dates.
        ([b"Sat, 05 Dec 2026 01:00:07 GMT"], 7.0),
        ([b"Saturday, 05-Dec-26 01:00:07 GMT"], 7.0),
        ([b"Sat, 05 Dec 2026 00:59:00 GMT"], 0.0),
        ([b"Sat, 99 Dec 2026 01:00:07 GMT"], None),
    ])
def test_only_readable_times_close_a_target(values, pause_s):
    head = exchange.RawResponseHead(
        503,
        (*((retry_after.NAME, value) for value in values), (b"date", _SENT)))
    assert retry_after.read_pause_s(head) == pause_s


def test_huge_number_is_a_time():
    assert retry_after.parse([b"9" * 400]) == float("inf")


@pytest.mark.parametrize("date", [None, b"", b"soon"])
def test_date_without_the_date_of_the_answer_names_no_time(date):
    assert retry_after.parse([_SENT], date) is None


@pytest.mark.parametrize("status", [200, 301, 408, 421, 429, 500, 502, 504])
def test_answer_with_another_status_closes_no_target(status):
    head = exchange.RawResponseHead(status, ((retry_after.NAME, b"2"),))
    assert retry_after.read_pause_s(head) is None
