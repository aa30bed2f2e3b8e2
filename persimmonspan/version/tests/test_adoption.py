"""Tests which revision a daemon adopts and when it may serve."""

from persimmonspan.version import adoption
from persimmonspan.version import difference

_EDIT = difference.Edit("set", ("rules",), 2)


def _run_events(*timed_events):
    state, commands = adoption.State(), []
    for now_s, event in timed_events:
        state, commands = adoption.step(state, event, now_s)
    return state, commands


_WHOLE = adoption.DocumentReceived(4, {"rules": 1})
_HEAD = adoption.HeadRead(4, "config/4-c", 1.0)


def test_head_read_fetches_the_document_and_starts_serving():
    _, commands = _run_events((1.0, _HEAD))
    assert commands == [
        adoption.FetchFromStore(4, "config/4-c"),
        adoption.RequestFromPeers(4)
    ]
    state, commands = _run_events((1.0, _HEAD), (1.1, _WHOLE))
    assert commands[-1] == adoption.Rejoin(4) and state.is_serving


def test_lower_and_repeated_revisions_are_ignored():
    state, commands = _run_events((1.0, _HEAD), (1.1, _WHOLE),
                                  (1.2, adoption.DocumentReceived(3, {})),
                                  (1.3, adoption.DocumentReceived(4, {})))
    assert state.document == {"rules": 1} and not commands


def test_change_on_the_current_revision_is_adopted():
    change = adoption.ChangeReceived(5, 4, (_EDIT,))
    state, commands = _run_events((1.0, _HEAD), (1.1, _WHOLE), (1.2, change))
    assert commands == [adoption.Adopt(5, {"rules": 2}, change)]
    assert state.is_serving


def test_revision_gap_requests_the_whole_document():
    state, commands = _run_events((1.0, _HEAD), (1.1, _WHOLE),
                                  (1.2, adoption.ChangeReceived(7, 6,
                                                                (_EDIT,))))
    assert commands == [adoption.RequestFromPeers(7)] and state.revision == 4


def test_inapplicable_change_requests_the_whole_document():
    edit = difference.Edit("remove", ("missing",))
    state, commands = _run_events((1.0, _HEAD), (1.1, _WHOLE),
                                  (1.2, adoption.ChangeReceived(5, 4, (edit,))))
    assert commands == [adoption.RequestFromPeers(5)] and state.revision == 4


def test_isolated_daemon_withdraws_after_the_freshness_timeout():
    state, commands = _run_events((1.0, _HEAD), (1.1, _WHOLE),
                                  (4.0, adoption.Tick()))
    assert state.is_serving and not commands
    state, commands = adoption.step(state, adoption.Tick(), 4.1)
    assert commands == [adoption.Withdraw()] and not state.is_serving


def test_daemon_serves_through_a_store_outage_with_a_majority():
    state, _ = _run_events((1.0, _HEAD), (1.1, _WHOLE),
                           (2.0, adoption.MajorityChecked(True, 4)),
                           (60.0, adoption.HeadUnavailable()))
    assert state.is_serving
    _, commands = adoption.step(state, adoption.MajorityChecked(False), 60.1)
    assert commands == [adoption.Withdraw()]


def test_start_in_an_outage_requests_the_highest_peer_revision():
    state, commands = _run_events((1.0, adoption.DocumentReceived(3, {})),
                                  (1.1, adoption.MajorityChecked(True, 4)))
    assert commands == [adoption.RequestFromPeers(4)] and not state.is_serving
    state, commands = adoption.step(state, _WHOLE, 1.2)
    assert commands[-1] == adoption.Rejoin(4)


def test_daemon_withdraws_if_it_cannot_obtain_a_newer_revision():
    state, _ = _run_events((1.0, _HEAD), (1.1, _WHOLE),
                           (2.0, adoption.MajorityChecked(True, 5)),
                           (5.0, adoption.Tick()))
    assert state.is_serving
    _, commands = adoption.step(state, adoption.Tick(), 5.1)
    assert adoption.Withdraw() in commands


def test_head_age_counts_from_the_send_time():
    _, commands = _run_events((1.0, _WHOLE), (9.0, _HEAD))
    assert not commands


_OLDER_HEAD = adoption.HeadRead(3, "config/3-c", 2.0)


def test_revision_that_a_later_read_of_the_head_lacks_is_restored():
    state, commands = _run_events((1.0, _HEAD), (1.1, _WHOLE),
                                  (2.1, _OLDER_HEAD))
    assert commands == [adoption.Restore(4, {"rules": 1})]
    assert state.revision == 4 and state.head_read_s == 2.0
    for now_s, expected in ((3.0, []), (5.2,
                                        [adoption.Restore(4, {"rules": 1})])):
        head = _OLDER_HEAD._replace(sent_s=now_s - 0.1)
        assert adoption.step(state, head, now_s)[1] == expected


def test_read_of_the_head_that_began_before_the_adoption_restores_nothing():
    _, commands = _run_events((1.0, _HEAD), (2.1, _WHOLE), (2.2, _OLDER_HEAD))
    assert not commands
