"""Tests from which reports a target counts as cold, and for how long."""

import pytest

from persimmonspan.process import clock
from persimmonspan.process import cold_tracker
from persimmonspan.process import directory
from persimmonspan.request import events
from persimmonspan.version import routes

_SERVICES = {"s": routes.Service("s", None, 1.0, 20.0)}
_TARGET = events.Target("t", "s", "10.0.0.1:80", "a")


class _Harness:

    def __init__(self, services=None):
        self.services = _SERVICES if services is None else services
        self.sent = []
        self.counts = []
        self.tracker = cold_tracker.ColdTracker(self.sent.append,
                                                self.counts.append)
        self.apply(0.0)

    def entries(self, cold_s, incarnation=1):
        """Returns the entry of the target."""
        return (directory.Registration("t", "s", "10.0.0.1:80", "a", 24, False,
                                       incarnation, cold_s),)

    def apply(self, cold_s, incarnation=1):
        """Applies an entry of the target."""
        self.tracker.apply_entries(self.entries(cold_s, incarnation),
                                   self.services)

    def let_return(self):
        """Lets the domain of the target return."""
        self.tracker.assume_cold(self.entries(0.0), frozenset({"a"}), 1.05)


@pytest.fixture(name="now")
def _now(monkeypatch):
    now = {"s": 100.0}
    monkeypatch.setattr(clock, "now_s", lambda: now["s"])
    return now


def test_entry_is_counted_from_its_first_read(now):
    # It is read again until the next heartbeat.
    harness = _Harness()
    harness.apply(0.8)
    now["s"] += 0.5
    harness.apply(0.8)
    assert harness.tracker.is_cold("t")
    now["s"] += 0.4
    assert not harness.tracker.is_cold("t")
    assert harness.sent == [events.TargetCold("t", 20.0, 0.8)]
    # Another process with the same time is cold again.
    harness.apply(0.8, 2)
    assert harness.tracker.is_cold("t")


def test_target_of_a_domain_that_returns_is_cold_until_it_says_otherwise(now):
    harness = _Harness()
    harness.let_return()
    harness.apply(0.0)  # As old as a heartbeat and a read: it says nothing.
    now["s"] += 3.2
    assert harness.tracker.is_cold("t")
    now["s"] += 0.1
    assert not harness.tracker.is_cold("t")


@pytest.mark.parametrize("report", [
    lambda harness: harness.tracker.record_answer(_TARGET, 0.0),
    lambda harness: harness.apply(0.0, 2)
])
def test_report_of_a_warm_target_ends_the_assumption(now, report):
    del now
    harness = _Harness()
    harness.let_return()
    report(harness)
    assert not harness.tracker.is_cold("t")
    assert harness.sent[-1].cold_s == 0.0
    assert harness.counts == ["target_cold_return", "target_warm"]


def test_entry_does_not_shorten_what_a_response_said(now):
    harness = _Harness()
    harness.apply(0.1)
    harness.tracker.record_answer(_TARGET, 1.0)
    now["s"] += 0.2
    harness.apply(0.0)
    assert harness.tracker.is_cold("t")
    harness.apply(2.0)
    now["s"] += 1.9
    assert harness.tracker.is_cold("t")
