"""Tests commits with lost store responses and concurrent operators."""

import random

import pytest

from persimmonspan.version import commit
from persimmonspan.version import difference
from persimmonspan.version import restoration


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
_RESPONSE_LOST = commit.TransactEnded(None)


def _run_commit(*events, change=_CHANGE):
    state, commands = commit.State(change), []
    rng = random.Random(1)
    for event in (commit.Begin(True), *events):
        state, commands = commit.step(state, event, 0.0, rng)
    return state, commands[0]


_EVENTS_BEFORE_TRANSACTION = (_HEAD, commit.RevisionFetched(1, _BASE),
                              commit.ObjectStored(True))


def test_transaction_has_head_version_and_next_revision():
    _, command = _run_commit(*_EVENTS_BEFORE_TRANSACTION)
    assert (command.head_version, command.head["revision"]) == (7, 2)
    assert command.audit["operator"] == "ana"
    assert difference.apply(_BASE, command.change["edits"]) == _CHANGE.document


def test_lost_response_with_own_id_in_change_row_is_accepted():
    _, done = _run_commit(*_EVENTS_BEFORE_TRANSACTION, _RESPONSE_LOST,
                          commit.TransactEnded(False, True, "mine"))
    assert (done.status, done.revision) == ("accepted", 2)


def test_lost_response_with_another_winner_rereads_the_head():
    _, command = _run_commit(*_EVENTS_BEFORE_TRANSACTION, _RESPONSE_LOST,
                             commit.TransactEnded(False, True, "other"))
    assert command == commit.ReadHead()


def test_unknown_transaction_ends_as_unknown_not_refused():
    _, done = _run_commit(*_EVENTS_BEFORE_TRANSACTION, _RESPONSE_LOST,
                          commit.TransactEnded(False), _RESPONSE_LOST,
                          commit.TransactEnded(False),
                          commit.TransactEnded(False))
    assert done.status == "unknown"


def test_transaction_that_was_not_applied_is_refused():
    _, done = _run_commit(*_EVENTS_BEFORE_TRANSACTION,
                          commit.TransactEnded(False))
    assert done.status == "refused"


def test_majority_lost_before_the_transaction_is_refused():
    _, done = _run_commit(*_EVENTS_BEFORE_TRANSACTION[:-1],
                          commit.ObjectStored(False))
    assert done.status == "refused"


@pytest.mark.parametrize("accepted, status", [
    (_document(a=1, b=5), None),
    (_document(a=3, b=1), "conflict"),
    (_document(a=2, b=1), "unchanged"),
])
def test_concurrently_accepted_change(accepted, status):
    head = commit.HeadRead(commit.Head(9, 2, "config/2-x"))
    _, command = _run_commit(head, commit.RevisionFetched(1, _BASE),
                             commit.RevisionFetched(2, accepted))
    if status is None:
        assert command.document == _document(a=2, b=5)
    else:
        assert command.status == status


def test_repeated_conflicts_end_the_commit():
    conflict = commit.TransactEnded(False, True, "other")
    retry = (_HEAD, commit.ObjectStored(True), conflict)
    _, command = _run_commit(*_EVENTS_BEFORE_TRANSACTION, conflict, *retry * 6)
    assert command == commit.ReadHead()
    _, done = _run_commit(*_EVENTS_BEFORE_TRANSACTION, conflict, *retry * 7)
    assert done.status == "conflict"


def test_commit_on_a_head_that_lost_a_known_revision_is_refused():
    _, done = _run_commit(_HEAD._replace(known_revision=2))
    assert done.status == "refused"


def test_first_revision_of_an_era_skips_numbers_that_may_be_lost():

    def next_revision(head_era, era):
        head = commit.HeadRead(commit.Head(7, 1, "config/1-x", head_era), 1,
                               era)
        _, command = _run_commit(head, *_EVENTS_BEFORE_TRANSACTION[1:])
        assert command.head["era"] == era
        return command.head["revision"]

    assert next_revision(3, 3) == 2
    assert next_revision(2, 3) > 100


def test_restored_revision_keeps_its_number_and_ends_the_gap():
    transact = restoration.plan(commit.Head(7, 1, "config/1-x", 2), 5,
                                _document(a=2, b=1), _BASE, 3)
    assert (transact.head_version, transact.head["revision"],
            transact.head["era"]) == (7, 5, 3)
    assert transact.change["base_revision"] == 1
    assert difference.apply(_BASE, transact.change["edits"]) == _document(a=2,
                                                                          b=1)
    again = restoration.plan(commit.Head(9, 0), 5, _document(a=2, b=1), {}, 4)
    assert again.head["commit_id"] == transact.head["commit_id"]
