"""Guards which revision a daemon adopts and when it may serve."""

from persimmonspan.version import adoption
from persimmonspan.version import difference

_EDIT = difference.Edit("set", ("rules",), 2)


def _play(*timed):
    state, commands = adoption.State(), []
    for now_s, event in timed:
        state, commands = adoption.step(state, event, now_s)
    return state, commands


_WHOLE = adoption.DocumentReceived(4, {"rules": 1})
_HEAD = adoption.HeadRead(4, "config/4-c", 1.0)


def test_start_reads_the_head_fetches_and_serves():
    _, commands = _play((1.0, _HEAD))
    assert commands == [
        adoption.FetchFromStore(4, "config/4-c"),
        adoption.RequestFromPeers(4)
    ]
    state, commands = _play((1.0, _HEAD), (1.1, _WHOLE))
    assert commands[-1] == adoption.Rejoin(4) and state.is_serving


def test_lower_and_repeated_revisions_are_ignored():
    state, commands = _play((1.0, _HEAD), (1.1, _WHOLE),
                            (1.2, adoption.DocumentReceived(3, {})),
                            (1.3, adoption.DocumentReceived(4, {})))
    assert state.document == {"rules": 1} and not commands


def test_change_on_the_current_revision_is_adopted():
    change = adoption.ChangeReceived(5, 4, (_EDIT,))
    state, commands = _play((1.0, _HEAD), (1.1, _WHOLE), (1.2, change))
    assert commands == [adoption.Adopt(5, {"rules": 2}, change)]
    assert state.is_serving


def test_gap_asks_for_the_whole():
    state, commands = _play((1.0, _HEAD), (1.1, _WHOLE),
                            (1.2, adoption.ChangeReceived(7, 6, (_EDIT,))))
    assert commands == [adoption.RequestFromPeers(7)] and state.revision == 4


def test_change_that_does_not_apply_asks_for_the_whole():
    edit = difference.Edit("remove", ("missing",))
    state, commands = _play((1.0, _HEAD), (1.1, _WHOLE),
                            (1.2, adoption.ChangeReceived(5, 4, (edit,))))
    assert commands == [adoption.RequestFromPeers(5)] and state.revision == 4


def test_isolated_daemon_withdraws_after_the_freshness():
    state, commands = _play((1.0, _HEAD), (1.1, _WHOLE), (4.0, adoption.Tick()))
    assert state.is_serving and not commands
    state, commands = adoption.step(state, adoption.Tick(), 4.1)
    assert commands == [adoption.Withdraw()] and not state.is_serving


def test_outage_seen_by_a_majority_leaves_the_daemon_serving():
    state, _ = _play((1.0, _HEAD), (1.1, _WHOLE),
                     (2.0, adoption.MajorityChecked(True, 4)),
                     (60.0, adoption.HeadUnavailable()))
    assert state.is_serving
    _, commands = adoption.step(state, adoption.MajorityChecked(False), 60.1)
    assert commands == [adoption.Withdraw()]


def test_start_in_an_outage_learns_the_highest_from_peers():
    state, commands = _play((1.0, adoption.DocumentReceived(3, {})),
                            (1.1, adoption.MajorityChecked(True, 4)))
    assert commands == [adoption.RequestFromPeers(4)] and not state.is_serving
    state, commands = adoption.step(state, _WHOLE, 1.2)
    assert commands[-1] == adoption.Rejoin(4)


def test_serving_ends_if_a_known_revision_is_not_obtained():
    state, _ = _play((1.0, _HEAD), (1.1, _WHOLE),
                     (2.0, adoption.MajorityChecked(True, 5)),
                     (5.0, adoption.Tick()))
    assert state.is_serving
    _, commands = adoption.step(state, adoption.Tick(), 5.1)
    assert adoption.Withdraw() in commands


def test_slow_answer_of_the_head_counts_from_the_question():
    _, commands = _play((1.0, _WHOLE), (9.0, _HEAD))
    assert not commands
