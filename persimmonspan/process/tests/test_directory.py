"""Tests which targets may get new work while the store is lost and after."""

from persimmonspan.process import directory

_ONE = directory.Registration("i-1", "s", "10.0.0.1:80", "a", 4)
_TWO = directory.Registration("i-2", "s", "10.0.0.2:80", "a", 4)


def _read(rows, now_s=0.0, state=directory.State()):
    return directory.apply_rows(state, rows, now_s)


def test_target_that_reports_leaving_gets_no_new_work():
    state, _ = _read([_ONE, _TWO])
    state, change = _read([_ONE._replace(is_leaving=True), _TWO], 1.0, state)
    assert [entry.name for entry in change.leaving] == ["i-1"]
    assert directory.usable_targets(state) == (_TWO,)


def test_missing_entry_is_gone_at_once():
    state, _ = _read([_ONE, _TWO])
    state, change = _read([_TWO], 1.0, state)
    assert change.gone == (_ONE,) and directory.usable_targets(state) == (_TWO,)


def test_entry_that_lapsed_while_the_store_was_lost_is_usable():
    state, _ = _read([_ONE])
    state, change = _read([], 10.0, directory.failed(state))
    assert change.is_empty and directory.usable_targets(state) == (_ONE,)
    state, change = _read([_ONE], 11.0, state)
    assert change.is_empty and directory.usable_targets(state) == (_ONE,)


def test_lapsed_entry_that_does_not_register_again_is_gone():
    state, _ = _read([_ONE])
    state, _ = _read([], 10.0, directory.failed(state))
    state, change = _read([], 11.9, state)
    assert change.is_empty
    state, change = _read([], 12.1, state)
    assert change.gone == (_ONE,) and not directory.usable_targets(state)


def test_missing_entry_of_a_leaving_target_is_gone_not_lapsed():
    state, _ = _read([_ONE._replace(is_leaving=True)])
    _, change = _read([], 10.0, directory.failed(state))
    assert len(change.gone) == 1


def test_new_incarnation_under_the_same_name_is_a_restart():
    state, _ = _read([_ONE])
    again = _ONE._replace(incarnation=5, address="10.0.0.9:80")
    _, change = _read([again], 1.0, state)
    assert change.restarted == (again,)
