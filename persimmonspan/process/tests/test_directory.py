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
    state, change = _read([], 10.0, directory.failed(state, 0.0))
    assert change.is_empty and directory.usable_targets(state) == (_ONE,)
    state, change = _read([_ONE], 11.0, state)
    assert change.is_empty and directory.usable_targets(state) == (_ONE,)


def test_lapsed_entry_that_does_not_register_again_is_gone():
    state, _ = _read([_ONE])
    state, _ = _read([], 10.0, directory.failed(state, 0.0))
    state, change = _read([], 11.9, state)
    assert change.is_empty
    state, change = _read([], 12.1, state)
    assert change.gone == (_ONE,) and not directory.usable_targets(state)


def test_missing_entry_of_a_leaving_target_is_gone_not_lapsed():
    state, _ = _read([_ONE._replace(is_leaving=True)])
    _, change = _read([], 10.0, directory.failed(state, 0.0))
    assert len(change.gone) == 1


def test_new_incarnation_under_the_same_name_is_a_restart():
    state, _ = _read([_ONE])
    again = _ONE._replace(incarnation=5, address="10.0.0.9:80")
    _, change = _read([again], 1.0, state)
    assert change.restarted == (again,)


_BORN = _ONE._replace(incarnation=5)
_LEAVING = _BORN._replace(is_leaving=True)


def _read_in(era, rows, now_s=0.0, state=directory.State()):
    return directory.apply_rows(state, rows, now_s, era)


def test_leaving_target_that_an_older_copy_shows_as_ready_gets_no_new_work():
    state, _ = _read_in(1, [_BORN])
    state, _ = _read_in(1, [_LEAVING], 1.0, state)
    for now_s in (2.0, 3.0, 30.0):
        state, change = _read_in(2, [_BORN], now_s, state)
        assert change.is_empty and not directory.usable_targets(state)
        assert change.doubted == ((_BORN,) if now_s == 2.0 else ())


def test_removed_target_that_an_older_copy_shows_waits_for_its_renewal():
    state, _ = _read_in(1, [_BORN])
    state, _ = _read_in(1, [], 1.0, state)
    state, change = _read_in(2, [_BORN], 2.0, state)
    assert change.is_empty and change.doubted == (_BORN,)
    state, change = _read_in(2, [_BORN], 7.9, state)
    assert not any(change)
    state, change = _read_in(2, [_BORN], 8.1, state)
    assert change.joined == (_BORN,)


def test_leaving_target_that_was_removed_stays_leaving_in_an_older_copy():
    state, _ = _read_in(1, [_LEAVING])
    state, _ = _read_in(1, [], 1.0, state)
    state, _ = _read_in(2, [_BORN], 2.0, state)
    state, _ = _read_in(2, [_BORN], 12.0, state)
    assert not directory.usable_targets(state)


def test_older_incarnation_in_a_copy_does_not_replace_the_newer_one():
    newer = _BORN._replace(incarnation=9, address="10.0.0.9:80")
    state, _ = _read_in(1, [_BORN])
    state, _ = _read_in(1, [newer], 1.0, state)
    state, change = _read_in(2, [_BORN], 2.0, state)
    assert change.is_empty and directory.usable_targets(state) == (newer,)
    state, change = _read_in(2, [newer], 3.0, state)
    assert not any(change) and directory.usable_targets(state) == (newer,)


def test_target_that_starts_again_after_its_clock_was_set_back_is_usable():
    earlier = _BORN._replace(incarnation=3, address="10.0.0.9:80")
    state, _ = _read_in(1, [_BORN])
    state, change = _read_in(1, [earlier], 1.0, state)
    assert change.restarted == (earlier,)
    assert directory.usable_targets(state) == (earlier,)


def test_target_that_is_back_after_its_clock_was_set_back_is_usable():
    earlier = _BORN._replace(incarnation=3, address="10.0.0.9:80")
    state, _ = _read_in(1, [_BORN])
    state, _ = _read_in(1, [], 1.0, state)
    state, change = _read_in(1, [earlier], 2.0, state)
    assert change.joined == (earlier,)


def test_older_incarnation_in_a_copy_is_not_used_once_the_newer_one_is_gone():
    newer = _BORN._replace(incarnation=9, address="10.0.0.9:80")
    state, _ = _read_in(1, [newer])
    state, _ = _read_in(2, [_BORN], 1.0, state)
    for now_s in (3.1, 9.0, 30.0):
        state, _ = _read_in(2, [_BORN], now_s, state)
        assert not directory.usable_targets(state)


def test_target_that_registered_after_the_copy_is_usable_until_it_does_again():
    state, _ = _read_in(1, [_BORN])
    state, change = _read_in(2, [], 1.0, state)
    assert change.is_empty and directory.usable_targets(state) == (_BORN,)
    state, change = _read_in(2, [], 3.1, state)
    assert change.gone == (_BORN,)


def test_target_whose_entry_was_removed_may_register_again_in_the_same_era():
    # An entry that another writer made unreadable for a moment is missing.
    state, _ = _read_in(1, [_BORN])
    state, _ = _read_in(1, [], 1.0, state)
    state, change = _read_in(1, [_BORN], 2.0, state)
    assert change.joined == (_BORN,)


def test_entries_that_are_gone_are_not_remembered_without_bound():
    state = directory.State()
    for number in range(10):
        rows = [
            _BORN._replace(name=f"i-{number}-{index}") for index in range(1000)
        ]
        state, _ = _read_in(1, rows, float(number), state)
    assert len(state.gone) == 4096
    state, _ = _read_in(1, [], 100.0, state)
    state, _ = _read_in(1, [], 161.0, state)
    assert not state.gone


def _read_by_peer(rows, now_s, known_since_s, state):
    return directory.apply_snapshot(state, rows, now_s, 1, known_since_s)


def test_peer_that_started_in_an_outage_takes_away_no_lapsed_entry():
    state, _ = _read_in(1, [_BORN, _TWO])
    state = directory.failed(state, 0.0)
    state, change = _read_by_peer([_TWO], 10.0, 9.9, state)
    assert change.is_empty and len(directory.usable_targets(state)) == 2
    state, change = _read_by_peer([_TWO], 11.9, 9.9, state)
    assert change.is_empty
    state, change = _read_by_peer([_TWO], 12.1, 9.9, state)
    assert change.gone == (_BORN,)


def test_such_a_peer_takes_away_no_entry_after_another_read_either():
    state, _ = _read_in(1, [_BORN])
    state = directory.failed(state, 0.0)
    state, _ = _read_by_peer([_BORN], 10.0, -5.0, state)
    state, change = _read_by_peer([], 10.3, 9.9, state)
    assert change.is_empty and directory.usable_targets(state) == (_BORN,)


def test_peer_that_read_through_an_outage_of_this_daemon_is_believed_at_once():
    # A daemon that the store turns away would use targets that are gone.
    state, _ = _read_in(1, [_BORN])
    state = directory.failed(state, 0.0)
    state, change = _read_by_peer([], 10.0, -5.0, state)
    assert change.gone == (_BORN,)


def test_peer_that_starts_after_the_loss_has_ended_is_believed_at_once():
    state, _ = _read_in(1, [_BORN])
    state = directory.failed(state, 0.0)
    # A peer confirmed the rows by their id.
    state, change = directory.apply_time(state, 1.0, 0.9)
    assert not any(change)
    state, change = _read_by_peer([], 10.0, 9.9, state)
    assert change.gone == (_BORN,)


def _read_by_returned_peer(rows, expired, now_s, confirmed_since_s, state):
    """Applies what a peer reads that took its loss of the store for an outage.
    """
    return directory.apply_snapshot(state, rows, now_s, 1, 0.0, expired,
                                    confirmed_since_s)


def test_expired_entry_restores_no_target_that_is_known_to_be_gone():
    state, _ = _read_in(1, [_BORN, _TWO])
    state, _ = _read_in(1, [_TWO], 5.0, state)
    for confirmed_since_s in (0.0, 5.9):
        after, change = _read_by_returned_peer([_BORN, _TWO], ["i-1"], 6.0,
                                               confirmed_since_s, state)
        assert change.is_empty and directory.usable_targets(after) == (_TWO,)
    _, change = _read_by_returned_peer([_BORN, _TWO], [], 6.0, 0.0, state)
    assert change.joined == (_BORN,)


def test_present_target_that_expired_for_a_returned_peer_only_is_gone():
    state, _ = _read_in(1, [_BORN, _TWO])
    state, change = _read_by_returned_peer([_BORN, _TWO], ["i-1"], 6.0, 0.0,
                                           state)
    assert change.gone == (_BORN,) and directory.usable_targets(state) == (
        _TWO,)


def test_daemon_without_a_read_uses_expired_entries_for_a_time():
    # It started in an outage of the store; the reader dies after its digest.
    state, change = _read_by_returned_peer([_BORN, _TWO], ["i-1"], 6.0, 5.8,
                                           directory.State())
    assert len(change.joined) == 2
    state, change = directory.apply_time(state, 7.7, 7.7)
    assert change.is_empty and len(directory.usable_targets(state)) == 2
    state, change = directory.apply_time(state, 7.8, 7.7)
    assert change.gone == (_BORN,) and directory.usable_targets(state) == (
        _TWO,)


def test_entry_that_lapsed_for_this_daemon_only_is_gone():
    state, _ = _read_in(1, [_BORN, _TWO])
    state, change = _read_in(1, [_TWO], 10.0, directory.failed(state, 0.0))
    assert change.is_empty
    state, change = _read_in(1, [_TWO], 10.2, directory.disprove_loss(state))
    assert change.gone == (_BORN,)
