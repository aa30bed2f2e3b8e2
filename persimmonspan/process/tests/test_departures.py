"""Tests which targets leave, and what digests tell about them."""

import math

import msgspec
import pytest

from persimmonspan.process import departures
from persimmonspan.process import directory
from persimmonspan.process import edge_peers
from persimmonspan.request import events

_ENTRY = directory.Registration("i-1", "s", "a:1", "d", 1, incarnation=5)
_UNNUMBERED = _ENTRY._replace(incarnation=0)
_REPORT = departures.Report("i-1", 5, "a:1", departures.Source.ANSWER)


def _registered(*entries):
    return departures.apply_entries(departures.State(), entries, 0.0)[0]


@pytest.mark.parametrize("entry, report, is_leaving", [
    (_ENTRY, _REPORT, True),
    (_ENTRY, _REPORT._replace(source=departures.Source.PEER), True),
    (_ENTRY, _REPORT._replace(incarnation=4), False),
    (_ENTRY, _REPORT._replace(incarnation=6), True),
    (_ENTRY, _REPORT._replace(incarnation=0), True),
    (_ENTRY, _REPORT._replace(incarnation=0, address="b:1"), False),
    (_ENTRY, _REPORT._replace(incarnation=-1), False),
    (_ENTRY, _REPORT._replace(target="i-2"), False),
    (_ENTRY, _REPORT._replace(age_s=math.nan), False),
    (_ENTRY, _REPORT._replace(age_s=math.inf), False),
    (_ENTRY, _REPORT._replace(age_s=-3.0), True),
    (_ENTRY, _REPORT._replace(age_s=9.0), True),
    (_UNNUMBERED, _REPORT, True),
    (_UNNUMBERED, _REPORT._replace(address="b:1"), False),
])
def test_report_marks_the_incarnation_that_it_is_about(entry, report,
                                                       is_leaving):
    state, changes = departures.record(_registered(entry), report, 1.0)
    assert departures.is_leaving(state, entry) is is_leaving
    begun = [change for change in changes if change.target == entry.name]
    assert bool(begun) is is_leaving
    assert all(change.age_s >= 0.0 for change in begun)


@pytest.mark.parametrize("entries, is_leaving", [
    ((_ENTRY,), True),
    ((), True),
    ((_ENTRY._replace(incarnation=4),), True),
    ((_ENTRY._replace(incarnation=6),), False),
    ((_ENTRY._replace(address="b:1"),), True),
    ((_UNNUMBERED,), True),
    ((_UNNUMBERED._replace(address="b:1"),), False),
])
def test_only_another_incarnation_ends_leaving(entries, is_leaving):
    state, _ = departures.record(_registered(_ENTRY), _REPORT, 1.0)
    state, changes = departures.apply_entries(state, entries, 2.0)
    assert departures.is_known(state, _REPORT) is is_leaving
    assert all(
        departures.is_leaving(state, entry) is is_leaving for entry in entries)
    assert bool(changes) is not is_leaving


def test_target_without_an_incarnation_that_left_is_used_after_it_was_gone():
    state, _ = departures.record(_registered(_UNNUMBERED),
                                 _REPORT._replace(incarnation=0), 1.0)
    state, _ = departures.apply_entries(state, [_UNNUMBERED], 2.0)
    assert departures.is_leaving(state, _UNNUMBERED)
    state, _ = departures.apply_entries(state, (), 3.0)
    state, _ = departures.apply_entries(state, [_UNNUMBERED], 4.0)
    assert not departures.is_leaving(state, _UNNUMBERED)


def test_entry_without_an_incarnation_that_is_ready_again_is_used():
    # The directory believes such entries as they are.
    state = _registered(_UNNUMBERED._replace(is_leaving=True))
    state, _ = departures.apply_entries(state, [_UNNUMBERED], 1.0)
    assert not departures.is_leaving(state, _UNNUMBERED)


def test_targets_of_a_leaving_failure_domain_are_all_told_and_then_forgotten():
    names = [f"i-{number}" for number in range(2300)]
    state = _registered(*(_ENTRY._replace(name=name) for name in names))
    for name in names:
        state, _ = departures.record(state, _REPORT._replace(target=name), 1.0)
    told = [departures.select(state, 2.0, turn) for turn in range(1, 20)]
    assert {item.target for items in told for item in items} == set(names)
    assert max(map(len, told)) <= departures.MAX_TOLD
    assert not departures.select(state, 100.0, 1)
    state, _ = departures.apply_entries(state, (), 200.0)
    state, _ = departures.apply_entries(state, (), 600.0)
    assert not state.marks


def test_reports_about_targets_without_entries_are_bounded():
    state = departures.State()
    for number in range(5000):
        state, _ = departures.record(state,
                                     _REPORT._replace(target=f"i-{number}"),
                                     float(number) / 100)
    assert len(state.marks) <= 4096 and "i-4999" in state.marks


def test_target_that_left_and_whose_entry_is_gone_still_leaves():
    # Its streams that begin later are copied.
    state, _ = departures.record(_registered(_ENTRY), _REPORT, 1.0)
    state, _ = departures.apply_entries(state, (), 2.0)
    assert departures.leaving_targets(state) == {"i-1"}


def test_entries_that_leave_are_not_told_in_digests():
    state = _registered(_ENTRY._replace(is_leaving=True))
    assert departures.leaving_targets(state) == {"i-1"}
    assert not departures.select(state, 1.0, 1)


class _FormerDigest(msgspec.Struct, array_like=True):
    """The first fields, which daemons of all versions know."""

    name: str
    address: str
    can_read: bool
    loads: tuple[events.TargetLoad, ...]


def test_digests_are_understood_by_daemons_without_departures():
    departure = departures.Departure("i-1", 5, "a:1", 0.5)
    digest = edge_peers.Digest("d", "a:2", True, (), leaving=(departure,))
    data = edge_peers.encode(digest)
    assert edge_peers.decode(data).leaving == (departure,)
    former = msgspec.msgpack.decode(data, type=_FormerDigest)
    assert former.name == "d"
    assert edge_peers.decode(msgspec.msgpack.encode(former)).leaving == ()
