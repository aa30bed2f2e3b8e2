"""Tests what a reader learns of targets that left before it started."""

import random

from persimmonspan.process import directory
from persimmonspan.process import stale_entries

_READY = directory.Registration("i-1",
                                "s",
                                "10.0.0.1:80",
                                "a",
                                4,
                                incarnation=5)
_LEAVING = _READY._replace(is_leaving=True)
_NEWER = _READY._replace(incarnation=9, address="10.0.0.9:80")


def _tell(*read, copy=(_READY,)):
    """Returns what a daemon tells after reads and a snapshot of a copy."""
    state = directory.State()
    for now_s, rows in enumerate(read):
        state, _ = directory.apply_rows(state, rows, now_s, 1)
    state, _ = directory.apply_snapshot(state, copy, 5.0, 2)
    selection = stale_entries.select(state, random.Random(1))
    return stale_entries.encode(selection, 5.5)


def _start(*rows):
    """Returns the state of a daemon that started after the return."""
    return directory.apply_rows(directory.State(), rows, 5.4, 2)[0]


def test_leaving_target_of_the_copy_gets_no_new_work():
    told = _tell([_READY], [_LEAVING])
    assert told == stale_entries.StaleEntries(2, 0.5, (_LEAVING,))
    state, change = stale_entries.apply(_start(_READY), told, 5.6)
    assert change.leaving == (_LEAVING,)
    assert not directory.usable_targets(state)
    assert stale_entries.apply(state, told, 5.7)[1].is_empty


def test_removed_target_of_the_copy_waits_for_its_renewal():
    state, change = stale_entries.apply(_start(_READY), _tell([_READY], []),
                                        5.6)
    assert change.gone == (_READY,) and not directory.all_targets(state)
    state, change = directory.apply_rows(state, [_READY], 10.9, 2)
    assert change.is_empty and not directory.all_targets(state)
    state, change = directory.apply_rows(state, [_READY], 11.2, 2)
    assert change.joined == (_READY,)


def test_older_incarnation_of_the_copy_is_not_used():
    told = _tell([_READY], [_NEWER])
    state, change = stale_entries.apply(_start(_READY), told, 5.6)
    assert change.gone == (_READY,) and not directory.all_targets(state)
    state, change = directory.apply_rows(state, [_NEWER], 5.8, 2)
    assert change.joined == (_NEWER,)


def test_target_that_has_registered_again_is_not_taken_away():
    told = _tell([_READY], [])
    state, change = stale_entries.apply(_start(_NEWER), told, 5.6)
    assert change.is_empty and directory.usable_targets(state) == (_NEWER,)


def test_entries_that_are_no_longer_remembered_are_not_told():
    state, _ = directory.apply_rows(directory.State(), [_READY], 0.0, 1)
    state, _ = directory.apply_rows(state, [_NEWER], 1.0, 1)
    state, _ = directory.apply_rows(state, [], 2.0, 1)
    state, _ = directory.apply_snapshot(state, [_READY], 62.1, 2)
    assert state.doubted and not stale_entries.select(state, random.Random(1))


def test_peer_takes_away_no_target_that_was_known_before_the_return():
    state, _ = directory.apply_rows(directory.State(), [_READY], 0.0, 1)
    state, _ = directory.apply_rows(state, [_READY], 5.4, 2)
    state, change = stale_entries.apply(state, _tell([_READY], []), 5.6)
    assert change.is_empty and directory.usable_targets(state) == (_READY,)


def test_what_holds_in_another_era_changes_nothing():
    told = stale_entries.StaleEntries(3, 0.5, (_LEAVING,))
    state = _start(_READY)
    assert stale_entries.apply(state, told, 5.6) == (state, directory.Change())


def test_nothing_is_told_once_lost_entries_are_removed():
    state, _ = directory.apply_rows(directory.State(), [_LEAVING], 0.0, 1)
    state, _ = directory.apply_snapshot(state, [_READY], 5.0, 2)
    selection = stale_entries.select(state, random.Random(1))
    assert stale_entries.encode(selection, 10.9) is not None
    assert stale_entries.encode(selection, 11.0) is None


def test_all_departures_are_told_while_the_reader_believes_them():
    rows = [_READY._replace(name=f"i-{number}") for number in range(100)]
    knowing, _ = directory.apply_rows(directory.State(), rows, 0.0, 1)
    knowing, _ = directory.apply_rows(knowing, [], 1.0, 1)
    reader = _start(*rows)
    generator = random.Random(1)
    for step in range(8):
        now_s = 5.4 + step / 10
        reader, _ = directory.apply_rows(reader, rows, now_s, 2)
        knowing, _ = directory.apply_snapshot(knowing,
                                              directory.all_targets(reader),
                                              now_s, 2)
        selection = stale_entries.select(knowing, generator)
        if selection is not None:
            assert len(selection.entries) <= 16
            reader, _ = stale_entries.apply(
                reader, stale_entries.encode(selection, now_s), now_s)
    assert not directory.all_targets(reader)
