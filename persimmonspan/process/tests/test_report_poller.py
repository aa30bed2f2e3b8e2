"""Tests that each death of a target is reported once.

A target that has never responded is not reported as dead.
"""

from persimmonspan import errors
from persimmonspan.connection import engine
from persimmonspan.process import report_poller
from persimmonspan.request import events

_TARGET = events.Target("t", "s", "127.0.0.1:1", "a")


def _report(incarnation):
    return {
        "kv_used_tokens": 1,
        "kv_capacity_tokens": 10,
        "running": 1,
        "waiting": 0,
        "preemptions": 0,
        "measured_age_s": 0.2,
        "incarnation": incarnation
    }


def _event_names(answers):
    pending = list(answers)

    def read_load(address, timeout_s):
        del address, timeout_s
        answer = pending.pop(0)
        if answer is None:
            raise engine.NotSentError(errors.Code.TARGET_FAILED, "refused")
        if answer == "silent":
            raise errors.TargetError(errors.Code.TARGET_FAILED, "no answer")
        return _report(answer)

    target_poller = _make_poller(read_load)
    return [[type(event).__name__
             for event in target_poller.poll(_TARGET)]
            for _ in answers]


class _Pauses:
    """The times that targets named with a refusal."""

    def __init__(self):
        self.named_s = {}

    def is_closed(self, target):
        """Returns whether a target named a time."""
        return target in self.named_s

    def record(self, target, retry_after_s, source):
        """Records the time that a target named."""
        assert source == "report"
        self.named_s[target] = retry_after_s


def _make_poller(read_load, pauses=None):
    return report_poller.TargetPoller(read_load,
                                      lambda target, incarnation: None,
                                      lambda target, incarnation: None,
                                      pauses or _Pauses())


def test_target_that_turns_a_poll_away_is_not_polled_and_not_dead():
    calls, pauses = [], _Pauses()

    def turn_away(address, timeout_s):
        del timeout_s
        calls.append(address)
        raise engine.ReportRefusedError(errors.Code.OVERLOADED,
                                        "busy",
                                        retry_after_s=7.0)

    target_poller = _make_poller(turn_away, pauses)
    target_poller.record_use(_TARGET)
    assert [target_poller.poll(_TARGET) for _ in range(4)] == [[]] * 4
    assert len(calls) == 1 and pauses.named_s == {"t": 7.0}


def test_unreachable_target_dies_once():
    assert _event_names(["a", None, None, "b"]) == [["LoadReported"],
                                                    ["TargetDied"], [],
                                                    ["LoadReported"]]


def test_slow_target_is_not_dead_until_it_stays_silent():
    assert _event_names(
        ["a", "silent", "silent", "a", "silent", "silent",
         "silent"]) == [["LoadReported"], [], [], ["LoadReported"], [], [],
                        ["TargetDied"]]


def test_new_incarnation_reports_the_death_of_the_old_one():
    assert _event_names(["a", "b"]) == [["LoadReported"],
                                        ["TargetDied", "LoadReported"]]


def test_target_that_never_answered_does_not_die():
    assert _event_names([None, None, "a"]) == [[], [], ["LoadReported"]]


def test_target_that_was_used_before_its_first_poll_dies():

    def refuse(address, timeout_s):
        raise engine.NotSentError(errors.Code.TARGET_FAILED, "refused")

    target_poller = _make_poller(refuse)
    target_poller.record_use(_TARGET)
    assert target_poller.poll(_TARGET) == [events.TargetDied("t")]
    assert not target_poller.poll(_TARGET)


def test_number_of_polls_does_not_grow_with_the_targets():
    for targets in (1, 5, 9, 48, 500):
        polls_per_s = targets / report_poller.interval_s(targets)
        assert polls_per_s <= report_poller.POLLS_PER_S
