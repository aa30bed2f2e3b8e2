"""Tests that probes keep to the pauses of targets, and when pauses end."""

import collections
import logging
import time
import types

import pytest

from persimmonspan.platform import wire
from persimmonspan.process import clock
from persimmonspan.process import death_probe
from persimmonspan.process import notice_poller
from persimmonspan.process import target_pauses
from persimmonspan.request import events
from testbed import edge_world
from testbed import replica


class _Scheduler:
    """Records events, and names the engines that run streams."""

    def __init__(self, engines=()):
        self.events = []
        self._engines = engines

    def tell(self, event):
        """Records an event."""
        self.events.append(event)

    def ask(self, message):
        """Returns the engines that run streams."""
        del message
        return self._engines


@pytest.fixture(name="clock_s")
def _clock_s(monkeypatch):
    """A clock whose value the test sets."""
    holder = types.SimpleNamespace(value=1000.0)
    monkeypatch.setattr(clock, "now_s", lambda: holder.value)
    return holder


def _make_pauses():
    sent, counts = [], collections.Counter()
    pauses = target_pauses.TargetPauses(sent.append,
                                        lambda reason: counts.update([reason]))
    return pauses, sent, counts


def test_closed_target_is_not_probed():
    pauses, _, _ = _make_pauses()
    reports, connected = [], []
    probe = death_probe.DeathProbe(reports.append, pauses.is_closed)

    def answer(request):
        connected.append(request)
        return [replica.complete_response(request, b"")]

    with replica.Replica(answer).running() as server, probe.running():
        target = events.Target("t", "desk", server.address, "a")
        pauses.record("t", 30.0, "request")
        probe.check(target)
        probe.check(target._replace(name="u"))
        edge_world.wait_until(lambda: reports)
    assert reports == [events.TargetAlive("u")]


def test_engine_that_turns_a_report_away_is_not_asked_again():
    pauses, _, _ = _make_pauses()
    asked = []

    def answer(request):
        asked.append(request.path)
        return [replica.turn_away(request, "30")]

    with replica.Replica(answer).running() as server:
        poller = notice_poller.NoticePoller(
            _Scheduler(("e",)),
            lambda name: events.Target(name, "engines", server.address, "a"),
            wire,
            types.SimpleNamespace(targets_confirmed_s=lambda: -1e9),
            max_age_s=1.0,
            departures=None,
            pauses=pauses)
        for _ in range(3):
            poller.poll()
    assert asked == ["/report"]


def test_pause_ends_while_the_vm_is_suspended(clock_s, caplog):
    caplog.set_level(logging.INFO)
    pauses, sent, counts = _make_pauses()
    with pauses.running():
        pauses.record("t", 100.0, "request")
        assert pauses.is_closed("t")
        clock_s.value += 126.0
        assert not pauses.is_closed("t")
        edge_world.wait_until(lambda: len(sent) == 2)
    assert isinstance(sent[0], events.TargetClosed)
    assert 100.0 <= sent[0].pause_s <= 101.0
    assert sent[1] == events.TargetOpened("t")
    assert counts == {"target_closed": 1, "target_opened": 1}
    line = next(record for record in caplog.records
                if record.getMessage() == "target open again")
    assert (line.target, line.source, line.closed_s) == ("t", "time", 126.0)


def test_restart_opens_only_the_target_that_started_again(clock_s):
    pauses, sent, _ = _make_pauses()
    pauses.record("t", 100.0, "request")
    pauses.record("u", 100.0, "request")
    pauses.reopen("t")
    pauses.reopen("v")
    assert not pauses.is_closed("t") and pauses.is_closed("u")
    assert sent[2:] == [events.TargetOpened("t")]
    clock_s.value += 0.1
    pauses.record("t", 5.0, "request")
    assert pauses.is_closed("t")


def test_later_answer_prolongs_a_pause_and_never_shortens_it(clock_s):
    pauses, sent, counts = _make_pauses()
    pauses.record("t", 20.0, "request")
    pauses.record("t", 1.0, "request")
    pauses.record("t", None, "request")
    pauses.record("t", 0.0, "request")
    assert len(sent) == 1
    clock_s.value += 19.0
    pauses.record("t", 20.0, "copy")
    assert counts == {"target_closed": 1, "target_pause_prolonged": 1}
    clock_s.value += 19.0
    assert pauses.is_closed("t")


def test_one_stream_may_cross_each_pause():
    pauses, _, _ = _make_pauses()
    assert pauses.may_cross("t") and pauses.may_cross("t")
    pauses.record("t", 0.05, "request")
    assert pauses.may_cross("t") and not pauses.may_cross("t")
    time.sleep(0.1)
    pauses.record("t", 30.0, "request")
    assert pauses.may_cross("t") and not pauses.may_cross("t")
