"""Tests that what crashes targets is quarantined and nothing beside it."""

import pytest

from persimmonspan.request import crash_evidence
from persimmonspan.request import events
from persimmonspan.request import quarantine

_BAD = "part:bad"
_SHARED = "part:shared"


class _Fleet:
    """One quarantine state, with requests on targets that die."""

    def __init__(self):
        self.state = quarantine.State()
        self.shared = []

    def send(self, request, target, now_s, parts=()):
        """Sends a request whose id is its fingerprint."""
        self.state = quarantine.record_dispatch(
            self.state, request, crash_evidence.Fingerprints(request, parts),
            target, now_s)

    def step(self, event, now_s):
        """Applies an event and keeps what it shares."""
        self.state, commands = quarantine.step(self.state, event, now_s)
        self.shared += [
            item for item in commands
            if isinstance(item, events.ShareQuarantine)
        ]

    def die(self, target, now_s):
        """Reports the death of a target."""
        self.step(events.TargetDied(target), now_s)

    def end(self, request, target, now_s, outcome=events.Outcome.COMPLETED):
        """Reports the end of an attempt."""
        self.step(events.AttemptEnded(request, target, outcome), now_s)

    def refused(self, request, now_s, parts=()):
        """Returns the fingerprint for which a request is refused."""
        return quarantine.find_refused(
            self.state, crash_evidence.Fingerprints(request, parts), now_s)


@pytest.fixture(name="fleet")
def _fleet():
    return _Fleet()


def test_request_beside_others_is_refused_after_three_deaths(fleet):
    for number in range(3):
        assert not fleet.refused("bad", number)
        fleet.send("bad", f"e{number}", number)
        for other in range(3):
            fleet.send(f"i{number}{other}", f"e{number}", number)
        fleet.die(f"e{number}", number + 0.6)
    assert fleet.refused("bad", 3.0) == "bad"
    assert fleet.shared[-1] == events.ShareQuarantine("bad", 3,
                                                      quarantine.REFUSAL_TTL_S,
                                                      0, ("bad",) * 3, True)
    assert not any(
        fleet.refused(f"i{number}{other}", 3.0)
        for number in range(3)
        for other in range(3))


def test_request_alone_on_its_targets_is_refused_after_two_deaths(fleet):
    for number in range(2):
        fleet.send("bad", f"e{number}", number)
        fleet.die(f"e{number}", number + 0.6)
    assert fleet.refused("bad", 2.0) == "bad"


def test_peer_work_on_the_target_makes_a_death_less_certain(fleet):
    fleet.step(
        events.PeerLoad(
            "d2",
            (events.TargetLoad("e0", 1, 9), events.TargetLoad("e1", 1, 9))),
        0.0)
    for number in range(2):
        fleet.send("bad", f"e{number}", number)
        fleet.die(f"e{number}", number + 0.6)
    assert not fleet.refused("bad", 2.0)


def test_part_that_crashes_targets_is_refused_and_parts_beside_it_are_not(
        fleet):
    for number in range(3):
        fleet.send(f"r{number}", f"e{number}", number, (_SHARED, _BAD))
        fleet.send(f"i{number}", f"e{number}", number, (_SHARED, "part:other"))
        fleet.end(f"i{number}", f"e{number}", number + 0.3)
        fleet.die(f"e{number}", number + 0.6)
    assert fleet.refused("r9", 3.0, (_SHARED, _BAD)) == _BAD
    assert not fleet.refused("i9", 3.0, (_SHARED, "part:other"))


def test_most_suspected_part_takes_the_blame_alone(fleet):
    # The shared part is answered nowhere between the crashes.
    for number, first in enumerate(("part:a", "part:b", "part:a", "part:a")):
        fleet.send(f"r{number}", f"e{number}", number, (first, _BAD))
        fleet.die(f"e{number}", number + 0.6)
    assert fleet.refused("r9", 5.0, ("part:b", _BAD)) == _BAD
    assert not fleet.refused("r9", 5.0, ("part:a",))


def test_last_of_parts_that_always_come_together_is_refused(fleet):
    for number in range(3):
        fleet.send(f"r{number}", f"e{number}", number, (_SHARED, _BAD))
        fleet.send(f"i{number}", f"e{number}", number,
                   (_SHARED, f"part:{number}"))
        fleet.die(f"e{number}", number + 0.6)
    assert fleet.refused("r9", 3.0, (_SHARED, _BAD)) == _BAD
    assert not fleet.refused("i9", 3.0, (_SHARED, "part:0"))


def test_next_crash_shows_that_the_first_of_two_parts_is_the_cause(fleet):
    for number in range(3):
        fleet.send(f"r{number}", f"e{number}", number, (_BAD, _SHARED))
        fleet.die(f"e{number}", number + 0.6)
    assert fleet.refused("r9", 3.0, (_SHARED,))
    fleet.send("r3", "e3", 3.0, (_BAD, "part:other"))
    fleet.die("e3", 3.6)
    assert fleet.refused("r9", 4.0, (_BAD, "part:other")) == _BAD
    assert not fleet.refused("r9", 4.0, (_SHARED,))


def test_part_is_refused_after_one_request_crashed_two_targets(fleet):
    for number, request in enumerate(("r0", "r0", "r1")):
        fleet.send(request, f"e{number}", number, (_BAD,))
        fleet.send("i0", f"e{number}", number)
        fleet.die(f"e{number}", number + 0.6)
    assert fleet.refused("r9", 3.0, (_BAD,)) == _BAD


def test_repeats_of_one_request_do_not_condemn_the_parts_of_its_prompt(fleet):
    for number in range(4):
        fleet.send("bad", f"e{number}", number, (_SHARED,))
        fleet.send(f"i{number}", f"e{number}", number)
        fleet.die(f"e{number}", number + 0.6)
    assert fleet.refused("bad", 5.0) == "bad"
    assert not fleet.refused("i9", 5.0, (_SHARED,))


def test_targets_that_die_together_count_once(fleet):
    for number in range(5):
        fleet.send(f"r{number}", f"e{number}", 0.0, (_SHARED,))
    for number in range(5):
        fleet.die(f"e{number}", 1.0 + 0.05 * number)
    assert not fleet.refused("r9", 2.0, (_SHARED,))
    assert fleet.state.records[_SHARED].crashes == 1


@pytest.mark.parametrize("answer", [
    events.AttemptEnded("sound", "e9", events.Outcome.COMPLETED),
    events.Progressed("sound", "e9", 40)
])
def test_answer_clears_the_parts_of_its_prompt_everywhere(fleet, answer):
    fleet.send("sound", "e9", 0.0, (_SHARED,))
    for number in range(2):
        fleet.send(f"r{number}", f"e{number}", number, (_SHARED,))
        fleet.die(f"e{number}", number + 0.6)
    fleet.step(answer, 2.0)
    assert events.ShareQuarantine(_SHARED, 0, 0.0) in fleet.shared
    fleet.send("r2", "e2", 2.1, (_SHARED,))
    fleet.die("e2", 3.0)
    assert not fleet.refused("r9", 3.0, (_SHARED,))


def test_answer_that_has_gone_on_for_a_while_is_not_blamed(fleet):
    for number in range(3):
        fleet.send(f"i{number}", f"e{number}", number, (_SHARED,))
        fleet.step(events.Progressed(f"i{number}", f"e{number}", 40),
                   number + 0.3)
        fleet.send(f"r{number}", f"e{number}", number, (_BAD,))
        fleet.die(f"e{number}", number + 0.6)
    assert fleet.refused("r9", 3.0, (_BAD,))
    assert _SHARED not in fleet.state.records
    assert "i0" not in fleet.state.records


def test_late_crash_of_an_answered_request_counts_if_no_other_waited(fleet):
    for number in range(2):
        fleet.send("bad", f"e{number}", 9.0 * number)
        fleet.step(events.Progressed("bad", f"e{number}", 40), 9.0 * number + 1)
        fleet.die(f"e{number}", 9.0 * number + 8.0)
    assert fleet.refused("bad", 20.0)


def test_moved_stream_is_not_blamed_for_the_death_of_its_first_target(fleet):
    fleet.send("moved", "e0", 0.0)
    fleet.step(events.RequestMoved("moved", "e1"), 1.0)
    fleet.die("e0", 1.0 + quarantine.DEATH_GRACE_S)
    assert "moved" not in fleet.state.records
    fleet.die("e1", 9.0)
    assert fleet.state.records["moved"].crashes == 1


def _move_after_deaths(fleet, request, count):
    """Has a stream outlive targets, beside new requests on each of them."""
    for number in range(count):
        fleet.send(f"new-{number}", f"e{number}", number)
        fleet.step(events.RequestMoved(request, f"e{number + 1}"), number + 0.8)
        fleet.die(f"e{number}", number + 0.9)


def test_stream_whose_targets_die_one_after_the_other_is_refused(fleet):
    # Failure: new requests beside it took the blame each time (review case 7).
    fleet.send("stream", "e0", 0.0)
    fleet.step(events.Progressed("stream", "e0", 50), 0.5)
    _move_after_deaths(fleet, "stream", 2)
    assert not fleet.refused("stream", 3.0)
    _move_after_deaths(fleet, "stream", 3)
    assert fleet.refused("stream", 3.0) == "stream"


def test_broken_attempt_counts_once_its_death_is_known_and_is_then_forgotten(
        fleet):
    fleet.send("r", "e1", 0.0)
    fleet.end("r", "e1", 1.0, events.Outcome.INTERRUPTED)
    late = _Fleet()
    late.state = fleet.state
    late.die("e1", 3.0)
    assert late.state.records["r"].crashes == 1
    fleet.step(events.Tick(), 7.0)
    assert not fleet.state.runs


def test_attempts_one_after_the_other_count_though_deaths_are_known_late(fleet):
    fleet.send("bad", "e0", 0.0)
    fleet.end("bad", "e0", 0.1, events.Outcome.INTERRUPTED)
    fleet.send("bad", "e1", 0.15)
    fleet.end("bad", "e1", 0.25, events.Outcome.INTERRUPTED)
    fleet.die("e0", 1.0)
    fleet.die("e1", 1.1)
    assert fleet.refused("bad", 1.1) == "bad"


def test_request_waits_while_deaths_of_two_targets_are_undetermined(fleet):
    for number in range(2):
        assert not quarantine.must_wait(fleet.state, "bad", "bad", number)
        fleet.send("bad", f"e{number}", number)
        fleet.end("bad", f"e{number}", number + 0.1, events.Outcome.INTERRUPTED)
    assert quarantine.must_wait(fleet.state, "bad", "bad", 1.2)
    alive = _Fleet()
    alive.state = fleet.state
    alive.step(events.TargetAlive("e1"), 1.3)
    assert not quarantine.must_wait(alive.state, "bad", "bad", 1.3)
    alive.die("e1", 1.4)
    assert "bad" not in alive.state.records
    late_s = 1.2 + quarantine.DEATH_GRACE_S
    assert not quarantine.must_wait(fleet.state, "bad", "bad", late_s)


def test_crashes_that_peers_counted_add_up_with_own_ones(fleet):
    fleet.step(
        events.QuarantineShared(_BAD, 2, crash_evidence.SUSPECT_TTL_S, 0,
                                ("r1", "r1")), 1.0)
    fleet.send("r1", "e1", 1.1, (_BAD,))  # A repeat of a counted request.
    fleet.die("e1", 2.0)
    assert not fleet.refused("r9", 2.0, (_BAD,))
    fleet.send("r2", "e2", 2.1, (_BAD,))
    fleet.die("e2", 3.0)
    assert fleet.refused("r9", 3.0, (_BAD,)) == _BAD


def test_refusals_in_force_are_told_to_a_daemon_that_starts(fleet):
    for number in range(3):
        fleet.send(f"r{number}", f"e{number}", number, (_BAD,))
        fleet.die(f"e{number}", number + 0.6)
    started = _Fleet()
    for refusal in quarantine.list_refusals(fleet.state, 10.0):
        started.step(refusal, 10.0)
    assert started.refused("r9", 11.0, (_BAD,)) == _BAD
    assert not started.refused("r9", 3.0 + quarantine.REFUSAL_TTL_S, (_BAD,))


@pytest.mark.parametrize("lift", [
    events.QuarantineLifted("p"),
    events.QuarantineShared("p", 0, 0.0),
])
def test_lift_overrides_earlier_reports_and_not_later_ones(fleet, lift):

    def report(age_s):
        return events.QuarantineShared("p", 3, quarantine.REFUSAL_TTL_S - age_s,
                                       0, ("p",), True)

    fleet.step(report(0.0), 0.0)
    assert fleet.refused("p", 1.0)
    fleet.step(lift, 1.0)
    fleet.step(report(2.0), 2.0)
    assert not fleet.refused("p", 3.0)
    fleet.step(report(0.0), 3.0)
    assert fleet.refused("p", 3.0)


def test_refused_fingerprint_is_tried_again_and_refused_after_one_crash(fleet):
    for number in range(3):
        fleet.send(f"r{number}", f"e{number}", number, (_BAD,))
        fleet.die(f"e{number}", number + 0.6)
    later_s = 3.0 + quarantine.REFUSAL_TTL_S
    fleet.step(events.Tick(), later_s)
    assert not fleet.refused("r9", later_s, (_BAD,))
    fleet.send("r9", "e9", later_s, (_BAD,))
    fleet.die("e9", later_s + 0.6)
    assert fleet.refused("r10", later_s + 1.0, (_BAD,)) == _BAD


def test_target_that_was_lost_without_a_reset_counts(fleet):
    # Failure: a request whose targets went silent was never refused.
    for number, target in enumerate(("e1", "e2")):
        fleet.send("r1", target, 10.0 * number)
        fleet.step(events.TargetLost(target), 10.0 * number + 4.0)
    assert fleet.refused("r1", 20.0) == "r1"


def test_targets_lost_together_count_once(fleet):
    # Failure: a failure domain that is cut off would condemn what runs there.
    fleet.send("r1", "e1", 0.0)
    fleet.send("r1", "e2", 2.0)
    fleet.step(events.TargetLost("e1"), 4.0)
    fleet.step(events.TargetLost("e2"), 5.2)
    assert fleet.refused("r1", 6.0) is None
