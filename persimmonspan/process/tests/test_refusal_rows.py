"""Tests of the rows that keep refusals through a loss of all daemons."""

import contextlib
import time

import msgspec
import pytest

from persimmonspan.process import refusal_rows
from persimmonspan.process import refusal_store
from persimmonspan.process import row_store
from persimmonspan.request import events
from testbed import edge_world

_REPORT = events.QuarantineShared("part:a", 3, 600.0, 1, ("r1", "r2"), True)
_CLEARED = events.QuarantineShared("part:a", 0, 0.0)
_DAEMONS = tuple(f"d{number}" for number in range(8))
_WALL_S = 1e9


def _written(report=_REPORT, wall_s=_WALL_S):
    """Returns the row of a refusal."""
    state = refusal_rows.record_own(refusal_rows.State(), report, 0.0)
    values, _ = refusal_rows.select(state, 10, 0.0, wall_s)
    return row_store.Row("part:a", values["part:a"], 1)


def _read(row, wall_s, now_s=50.0):
    return refusal_rows.record_rows(refusal_rows.State(), [row], now_s, wall_s)


def test_row_tells_a_refusal_with_its_remaining_lifetime():
    _, read = _read(_written(), _WALL_S + 100.0)
    assert read.evidence == (_REPORT._replace(ttl_s=500.0),)


def test_clock_that_was_set_back_prolongs_no_refusal():
    _, read = _read(_written(), _WALL_S - 1e6)
    assert read.evidence[0].ttl_s == 600.0


def test_row_that_seems_over_is_not_removed_before_it_must_be():
    # Another clock may be right, and all daemons may be lost again.
    state, read = _read(_written(), _WALL_S + 1e6)
    assert not read.evidence
    assert not refusal_rows.expire(state, "d0", (), 649.0).removals
    assert refusal_rows.expire(state, "d0", (), 680.0).removals == {"part:a"}


@pytest.mark.parametrize("value", [b"\xc1", b"\x91\x01", b"[]"])
def test_row_that_is_not_understood_is_skipped(value):
    rows = [row_store.Row("part:b", value, 1), _written()]
    _, read = refusal_rows.record_rows(refusal_rows.State(), rows, 0.0, _WALL_S)
    assert len(read.evidence) == 1 and set(read.faulty) == {"part:b"}


def test_first_crash_is_not_written_and_the_second_is():
    # Failure: daemons that were lost after two crashes knew of none.
    state = refusal_rows.State()
    first = _REPORT._replace(crashes=1, is_refused=False, ttl_s=300.0)
    assert not refusal_rows.record_own(state, first, 0.0).writes
    second = first._replace(crashes=2)
    _, read = _read(_written(second), _WALL_S + 100.0)
    assert read.evidence == (second._replace(ttl_s=200.0),)
    assert _read(_written(second), _WALL_S - 1e6)[1].evidence[0].ttl_s == 300.0


def test_row_of_an_earlier_release_is_a_refusal():
    value = msgspec.msgpack.encode([_WALL_S + 600.0, 3, 1, ["r1", "r2"]])
    _, read = _read(row_store.Row("part:a", value, 1), _WALL_S)
    assert read.evidence == (_REPORT,)


def test_refusal_replaces_the_suspicion_of_its_row():
    suspicion = _REPORT._replace(crashes=2, is_refused=False, ttl_s=300.0)
    state = refusal_rows.record_own(refusal_rows.State(), suspicion, 0.0)
    state = refusal_rows.record_own(state, _REPORT, 1.0)
    assert state.writes["part:a"].report == _REPORT
    state = refusal_rows.record_peer(state, suspicion, 1.1)
    assert state.known["part:a"].is_refused


def test_two_other_daemons_write_what_one_has_told():
    # Failure: the daemon that wrote was lost, or turned away by the store.
    writing = []
    for name in _DAEMONS:
        state = refusal_rows.record_peer(refusal_rows.State(), _REPORT, 0.0)
        assert not refusal_rows.expire(state, name, _DAEMONS, 0.9).writes
        assert refusal_rows.next_expiry_s(state) == refusal_rows.TAKE_OVER_S
        state = refusal_rows.expire(state, name, _DAEMONS, 1.0)
        writing += state.writes
        assert refusal_rows.next_expiry_s(state) >= 600.0
    assert writing == ["part:a"] * 2


def test_cleared_evidence_is_not_written_for_a_peer():
    state = refusal_rows.record_peer(refusal_rows.State(), _REPORT, 0.0)
    state = refusal_rows.record_peer(state, _CLEARED, 0.5)
    assert not refusal_rows.expire(state, "d0", (), 1.0).writes


def test_refusal_that_is_condemned_again_after_its_end_is_written_again():
    state = refusal_rows.record_peer(refusal_rows.State(), _REPORT, 0.0)
    assert not refusal_rows.record_own(state, _REPORT, 599.0).writes
    assert refusal_rows.record_own(state, _REPORT, 601.0).writes


def test_one_daemon_removes_the_row_of_a_refusal_that_is_over():
    removing = []
    for name in _DAEMONS:
        record = (refusal_rows.record_own
                  if name == "d3" else refusal_rows.record_peer)
        state = record(refusal_rows.State(), _REPORT, 0.0)
        state = refusal_rows.expire(state, name, _DAEMONS,
                                    refusal_rows.TAKE_OVER_S)
        assert refusal_rows.next_expiry_s(state) >= 600.0
        removing += refusal_rows.expire(state, name, _DAEMONS, 631.0).removals
    assert removing == ["part:a"]


def test_cleared_refusal_is_removed_by_the_daemon_that_cleared_it():
    known = refusal_rows.record_peer(refusal_rows.State(), _REPORT, 0.0)
    assert refusal_rows.record_own(known, _CLEARED, 1.0).removals == {"part:a"}
    peer = refusal_rows.record_peer(known, _CLEARED, 1.0)
    assert not peer.removals and not peer.known
    # A suspect that an answer clears has no row.
    state = refusal_rows.record_own(refusal_rows.State(), _CLEARED, 1.0)
    assert not state.removals


def test_change_that_comes_during_a_call_is_made_afterwards():
    state = refusal_rows.record_own(refusal_rows.State(), _REPORT, 0.0)
    sent = dict(state.writes)
    state = refusal_rows.record_own(state, _CLEARED, 1.0)
    state = refusal_rows.record_done(state, sent, ())
    assert state.removals == {"part:a"} and not state.writes


class _Rows(edge_world.InMemoryRowStore):
    """Rows whose calls are counted."""

    def __init__(self):
        super().__init__()
        self.reads = 0
        self.writes = 0

    def read(self, table):
        """Returns all rows of a table."""
        self.reads += 1
        return super().read(table)

    def change(self, table, values, removed=()):
        """Writes and removes rows."""
        self.writes += 1
        super().change(table, values, removed)


@contextlib.contextmanager
def _running(rows, name="d0"):
    applied = []
    store = refusal_store.RefusalStore(lambda address: rows, "", name,
                                       lambda: _DAEMONS, applied.append,
                                       lambda reason: None)
    with store.running():
        yield store, applied


def test_refusal_is_written_once_and_known_after_a_restart():
    rows = _Rows()
    with _running(rows) as (store, _), _running(rows, "d1") as (peer, _):
        for _ in range(3):
            store.record_own(_REPORT)
            peer.record_peer(_REPORT)
            peer.record_own(_REPORT)
        edge_world.wait_until(lambda: rows.writes)
        time.sleep(0.1)
    assert (rows.reads, rows.writes) == (2, 1)
    with _running(rows) as (store, applied):
        store.await_first_read()
        edge_world.wait_until(lambda: applied)
    assert applied[0].fingerprint == "part:a" and applied[0].is_refused
    assert (rows.reads, rows.writes) == (3, 1)


def test_peer_writes_for_a_daemon_that_the_store_turns_away(monkeypatch):
    # Failure: the store held nothing when the last daemon ended.
    monkeypatch.setattr(refusal_rows, "TAKE_OVER_S", 0.2)
    rows, away = _Rows(), _Rows()
    away.is_unreachable = True
    with contextlib.ExitStack() as stack:
        writer, _ = stack.enter_context(_running(away))
        writer.record_own(_REPORT)
        for name in _DAEMONS[1:]:
            peer, _ = stack.enter_context(_running(rows, name))
            peer.record_peer(_REPORT)
        edge_world.wait_until(lambda: rows.writes)
    assert 1 <= rows.writes <= 2
    assert rows.read(refusal_store.TABLE).rows[0].key == "part:a"


def test_stop_writes_what_is_left():
    rows = _Rows()
    with _running(rows) as (store, _):
        store.await_first_read()
        store.record_own(_REPORT)
    edge_world.wait_until(lambda: rows.writes)


def test_start_and_end_do_not_wait_for_a_silent_store(monkeypatch):
    monkeypatch.setattr(refusal_store, "_MIN_PAUSE_S", 0.1)
    rows = _Rows()
    rows.is_unreachable = True
    began_s = time.monotonic()
    with _running(rows) as (store, applied):
        store.await_first_read()
        store.record_own(_REPORT)
        time.sleep(0.5)
        # Pauses of 0.05 to 0.1 s, then twice as long each.
        assert 2 <= rows.reads <= 5 and not applied
        rows.is_unreachable = False
        edge_world.wait_until(lambda: rows.writes)
        rows.is_unreachable = True
        store.record_own(_CLEARED)
    assert time.monotonic() - began_s < 2.5
