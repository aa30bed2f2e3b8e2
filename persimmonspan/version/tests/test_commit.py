"""Guards a commit against lost answers and against other operators."""

import random

import pytest

from persimmonspan.version import commit
from persimmonspan.version import difference


def _document(**shares):
    return {
        "inventory": {
            "places": [],
            "services": [],
            "request_kinds": [],
            "workspaces": [{
                "name": name,
                "share": share,
                "key_sha256": []
            } for name, share in shares.items()]
        },
        "rules": {}
    }


_BASE = _document(a=1, b=1)
_CHANGE = commit.Change("mine", 1, _document(a=2, b=1), "ana", "test")
_HEAD = commit.HeadRead(commit.Head(7, 1, "config/1-x"))
_LOST = commit.TransactEnded(None)


def _play(*events, change=_CHANGE):
    state, commands = commit.State(change), []
    rng = random.Random(1)
    for event in (commit.Begin(True), *events):
        state, commands = commit.step(state, event, 0.0, rng)
    return state, commands[0]


_TO_TRANSACT = (_HEAD, commit.Fetched(1, _BASE), commit.Stored(True))


def test_transaction_names_head_version_and_next_revision():
    _, command = _play(*_TO_TRANSACT)
    assert (command.head_version, command.head["revision"]) == (7, 2)
    assert command.audit["operator"] == "ana"
    assert difference.apply(_BASE, command.change["edits"]) == _CHANGE.document


def test_lost_answer_with_our_id_in_the_change_row_is_accepted():
    _, done = _play(*_TO_TRANSACT, _LOST,
                    commit.TransactEnded(False, True, "mine"))
    assert (done.status, done.revision) == ("accepted", 2)


def test_lost_answer_with_another_winner_is_merged_again():
    _, command = _play(*_TO_TRANSACT, _LOST,
                       commit.TransactEnded(False, True, "other"))
    assert command == commit.ReadHead()


def test_doubt_ends_as_unknown_and_never_as_refused():
    _, done = _play(*_TO_TRANSACT, _LOST, commit.TransactEnded(False), _LOST,
                    commit.TransactEnded(False), commit.TransactEnded(False))
    assert done.status == "unknown"


def test_store_down_before_the_send_is_refused():
    _, done = _play(*_TO_TRANSACT, commit.TransactEnded(False))
    assert done.status == "refused"


def test_majority_lost_before_the_transaction_is_refused():
    _, done = _play(*_TO_TRANSACT[:-1], commit.Stored(False))
    assert done.status == "refused"


@pytest.mark.parametrize("accepted, status", [
    (_document(a=1, b=5), None),
    (_document(a=3, b=1), "conflict"),
    (_document(a=2, b=1), "unchanged"),
])
def test_change_accepted_meanwhile(accepted, status):
    head = commit.HeadRead(commit.Head(9, 2, "config/2-x"))
    _, command = _play(head, commit.Fetched(1, _BASE),
                       commit.Fetched(2, accepted))
    if status is None:
        assert command.document == _document(a=2, b=5)
    else:
        assert command.status == status


def test_faster_operators_end_the_attempts():
    beaten = commit.TransactEnded(False, True, "other")
    again = (_HEAD, commit.Stored(True), beaten)
    _, command = _play(*_TO_TRANSACT, beaten, *again * 6)
    assert command == commit.ReadHead()
    _, done = _play(*_TO_TRANSACT, beaten, *again * 7)
    assert done.status == "conflict"
