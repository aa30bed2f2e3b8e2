"""Tests of the targets' rates that a daemon knows."""

import pytest

from persimmonspan.process import clock
from persimmonspan.process import named_rates
from persimmonspan.request import events


@pytest.mark.parametrize("target, is_known", [("vanished", False),
                                              ("heard", True)])
def test_target_that_named_a_rate_and_vanished_is_forgotten(
        monkeypatch, target, is_known):
    now_s = 1.0
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    sent = []
    rates = named_rates.NamedRates(sent.append)
    rates.record(events.RateNamed("vanished", 2.0))
    for second in range(2, 120):
        now_s = float(second)
        rates.record(events.RateNamed("heard", 2.0))
    sent.clear()
    now_s += 1.0
    # Of a target that is not known, such an answer is no news.
    rates.record(events.RateNamed(target, None))
    assert bool(sent) is is_known
