"""Tests daemons on a store that returns from an older copy."""

import contextlib
import threading
import time

import pytest

from persimmonspan import errors
from persimmonspan.process import ledger_rows
from persimmonspan.process import store_actor
from persimmonspan.request import at_most_once
from persimmonspan.request import ledger_events
from persimmonspan.request import store_return
from testbed import platform
from testbed import processes

_ANSWER = ledger_events.Response(200, "application/json", b"{}")


class _Clock:
    """A clock that tests move on."""

    def __init__(self):
        self.offset_s = 0.0

    def monotonic(self):
        """Returns the time with the offset."""
        return time.monotonic() + self.offset_s


class _Daemon:
    """The ledger of one daemon with its own client."""

    def __init__(self, address, name, clock):
        self.address = address
        self.client = store_actor.start(address, name, 1)
        self.counts = []
        self.context = at_most_once.Context(
            ledger_rows.LedgerRows(self.client),
            ledger_events.Holder(name, "i1"),
            count=self.counts.append,
            clock=at_most_once.Clock(monotonic=clock.monotonic),
            era=self.client.era)

    def call(self, target, key="fee"):
        """Runs a call."""
        return at_most_once.run(
            self.context,
            at_most_once.Request("lima", key, "d1",
                                 self.context.clock.monotonic() + 30.0), target)


class _Target:
    """Records the attempts that run."""

    def __init__(self):
        self.runs = []

    def __call__(self, attempt):
        self.runs.append(attempt)
        return _ANSWER


@contextlib.contextmanager
def _daemons(count=2):
    port = processes.free_port()
    address = f"127.0.0.1:{port}"
    state = platform.Platform({}, 0.0, 1 << 20, 1e9, 7)
    server = platform.make_server(("127.0.0.1", port), state)
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    clock = _Clock()
    daemons = [_Daemon(address, f"daemon-{i}", clock) for i in range(count)]
    for daemon in daemons:
        daemon.client.read(["first"]).get(timeout=5)
    try:
        yield state, clock, daemons
    finally:
        for daemon in daemons:
            daemon.client.stop()
        server.stop()
        thread.join()


def _return_store(state):
    state.set_fault({"restored_s": 30.0})


def test_repeat_of_a_lost_answer_does_not_run_again():
    target = _Target()
    with _daemons() as (state, clock, (first, second)):
        first.call(target)
        _return_store(state)
        with pytest.raises(errors.PersimmonspanError) as caught:
            second.call(target)
        assert caught.value.run_state == errors.RunState.NOT_RUN
        first.client.read(["any"]).get(timeout=5)
        assert first.call(target) == _ANSWER  # From memory.
        first.context.record_kept_rows()
        assert not first.context.record_kept_rows()
        assert second.call(target) == _ANSWER
        clock.offset_s += store_return.SETTLING_S
        assert second.call(target) == _ANSWER
    assert len(target.runs) == 1
    assert "ledger_restored" in first.counts
    assert "ledger_store_returned" in second.counts


def test_repeat_that_notices_the_return_does_not_replace_the_answer():
    target = _Target()
    with _daemons() as (state, clock, (first, second)):
        first.call(target)
        _return_store(state)
        with pytest.raises(errors.PersimmonspanError) as caught:
            first.call(target)
        assert caught.value.run_state == errors.RunState.NOT_RUN
        assert first.call(target) == _ANSWER
        for _ in range(3):
            first.context.record_kept_rows()
        clock.offset_s += store_return.SETTLING_S
        second.client.read(["any"]).get(timeout=5)
        assert second.call(target) == _ANSWER
    assert len(target.runs) == 1


def test_release_in_doubt_does_not_replace_the_answer():
    target = _Target()
    with _daemons() as (state, clock, (first, second)):
        first.call(target)
        held = first.context.rows.read("ledger/lima/k-fee").document
        first.context.keep_row(
            ledger_events.KeepRow("ledger/lima/k-fee", {
                **held, "attempt": "a2",
                "state": "released",
                "answer": None
            }))
        _return_store(state)
        first.client.read(["any"]).get(timeout=5)
        for _ in range(3):
            first.context.record_kept_rows()
        clock.offset_s += store_return.SETTLING_S
        second.client.read(["any"]).get(timeout=5)
        assert second.call(target) == _ANSWER
    assert len(target.runs) == 1


def test_answer_is_restored_after_a_claim_under_way_is_released():
    target = _Target()
    with _daemons() as (state, clock, (first, second)):
        first.call(target)
        held = first.context.rows.read("ledger/lima/k-fee").document
        _return_store(state)
        claim = second.context.rows.write(
            ledger_events.WriteRow("ledger/lima/k-fee", 0, {
                **held, "attempt": "a2",
                "state": "claimed"
            }))
        first.client.read(["any"]).get(timeout=5)
        assert first.context.record_kept_rows() == 1
        assert "ledger_second_attempt" not in first.counts
        second.context.rows.write(
            ledger_events.WriteRow("ledger/lima/k-fee", claim.version, {
                **held, "attempt": "a2",
                "state": "released"
            }))
        for _ in range(2):
            first.context.record_kept_rows()
        clock.offset_s += store_return.SETTLING_S
        assert second.call(target) == _ANSWER
    assert len(target.runs) == 1


def test_second_attempt_on_a_lost_call_is_reported():
    target = _Target()
    with _daemons() as (state, _, (first, second)):
        first.call(target)
        held = first.context.rows.read("ledger/lima/k-fee").document
        _return_store(state)
        second.context.rows.write(
            ledger_events.WriteRow("ledger/lima/k-fee", 0, {
                **held, "attempt": "a2"
            }))
        first.client.read(["any"]).get(timeout=5)
        first.context.record_kept_rows()
        assert "ledger_second_attempt" in first.counts


def test_repeat_of_a_lost_claim_does_not_run_while_the_first_runs():
    target = _Target()
    with _daemons() as (state, clock, (first, second)):

        def run_across_the_return(attempt):
            _return_store(state)
            first.client.read(["any"]).get(timeout=5)
            for _ in range(2):
                first.context.record_kept_rows()
            clock.offset_s += store_return.SETTLING_S
            with pytest.raises(errors.PersimmonspanError) as caught:
                second.call(target)
            assert caught.value.code == errors.Code.IN_PROGRESS
            return target(attempt)

        assert first.call(run_across_the_return) == _ANSWER
        assert second.call(target) == _ANSWER
    assert len(target.runs) == 1


def test_outcome_is_recorded_when_the_claim_got_lost():
    target = _Target()
    with _daemons() as (state, clock, (first, second)):

        def run_across_the_return(attempt):
            _return_store(state)
            return target(attempt)

        assert first.call(run_across_the_return) == _ANSWER
        clock.offset_s += store_return.SETTLING_S
        row = first.context.rows.read("ledger/lima/k-fee")
        assert row.document["state"] == "recorded"
        second.client.read(["any"]).get(timeout=5)
        assert second.call(target) == _ANSWER
    assert len(target.runs) == 1


def test_outcome_is_recorded_when_the_claim_was_in_the_copy():
    target = _Target()
    with _daemons() as (state, _, (first, second)):

        def run_across_the_return(attempt):
            state.set_fault({"restored_s": 0.0})
            first.client.read(["any"]).get(timeout=5)
            return target(attempt)

        assert first.call(run_across_the_return) == _ANSWER
        assert second.call(target) == _ANSWER
    assert len(target.runs) == 1
    assert "ledger_record_superseded" not in first.counts


def test_released_row_of_the_copy_hides_no_later_claim():
    target = _Target()

    def refuse(attempt):
        raise errors.TargetError(errors.Code.OVERLOADED, attempt,
                                 errors.RunState.NOT_RUN)

    with _daemons() as (state, clock, (first, second)):
        with pytest.raises(errors.PersimmonspanError):
            second.call(refuse)
        time.sleep(0.3)
        first.call(target)
        state.set_fault({"restored_s": 0.2})
        assert second.context.rows.read(
            "ledger/lima/k-fee").document["state"] == "released"
        with pytest.raises(errors.PersimmonspanError):
            second.call(target)
        first.client.read(["any"]).get(timeout=5)
        first.context.record_kept_rows()
        second.context.record_kept_rows()
        clock.offset_s += store_return.SETTLING_S
        assert second.call(target) == _ANSWER
    assert len(target.runs) == 1


def test_calls_without_a_key_run_after_a_return():
    target = _Target()
    with _daemons() as (state, _, (first, _)):
        _return_store(state)
        assert first.call(target, None) == _ANSWER
        assert first.call(target, None) == _ANSWER
    assert len(target.runs) == 2


def test_daemon_that_starts_after_a_return_waits_with_claims():
    target = _Target()
    with _daemons(1) as (state, clock, (first,)):
        first.call(target)
        _return_store(state)
        started = _Daemon(first.address, "daemon-9", clock)
        try:
            with pytest.raises(errors.PersimmonspanError) as caught:
                started.call(target)
            assert caught.value.run_state == errors.RunState.NOT_RUN
            clock.offset_s += store_return.SETTLING_S
            assert started.call(target, "other") == _ANSWER
        finally:
            started.client.stop()
    assert len(target.runs) == 2
