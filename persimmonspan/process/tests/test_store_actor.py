"""Guards the store client and calls at most once over the real wire format."""

import contextlib
import threading
import time

import pytest

from persimmonspan import errors
from persimmonspan.connection import table_service
from persimmonspan.process import ledger_rows
from persimmonspan.process import store_actor
from persimmonspan.request import at_most_once
from persimmonspan.request import ledger_events
from testbed import platform
from testbed import processes

_ANSWER = ledger_events.Response(200, "application/json", b"{}")


@contextlib.contextmanager
def _running(**faults):
    port = processes.free_port()
    state = platform.Platform(faults, 0.0, 1 << 20, 1e9, 7)
    server = platform.make_server(("127.0.0.1", port), state)
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    client = store_actor.start(f"127.0.0.1:{port}", "test", 1)
    try:
        yield state, client
    finally:
        client.stop()
        server.stop()
        thread.join()


def _context(client, name="daemon-1"):
    return at_most_once.Context(ledger_rows.LedgerRows(client),
                                ledger_events.Holder(name, "i1"))


def _request(key, digest="d1"):
    return at_most_once.Request("lima", key, digest, time.monotonic() + 30.0)


class _Target:
    """Counts runs per thread-safe list."""

    def __init__(self):
        self.runs = []

    def __call__(self, attempt):
        self.runs.append(attempt)
        return _ANSWER


def test_rows_that_wait_together_share_a_transaction():
    with _running() as (state, client):
        with state.lock:  # Holds up the first groups while the rest gathers.
            futures = [client.write_row(f"k{i}", 0, str(i)) for i in range(40)]
        assert all(
            item.get(timeout=10).outcome == "applied" for item in futures)
        assert state.stats()["test"]["writes"] <= 3


def test_conflict_in_a_group_fails_only_its_own_row():
    with _running() as (state, client):
        client.write_row("k3", 0, "old").get(timeout=10)
        with state.lock:
            futures = [client.write_row(f"k{i}", 0, "new") for i in range(8)]
        results = [item.get(timeout=10) for item in futures]
        assert [item.outcome for item in results].count("applied") == 7
        assert results[3].conflicts[0].value == "old"


def test_transact_read_and_scan():
    with _running() as (_, client):
        result = client.transact(
            [table_service.Check("lease/a", 0)],
            [table_service.Put("lease/a", "1")],
            priority=store_actor.Priority.URGENT).get(timeout=5)
        assert result.outcome == "applied"
        assert client.read(["lease/a"
                           ]).get(timeout=5)[0].version == result.version
        assert [row.key for row in client.scan("lease/").get(timeout=5)
               ] == ["lease/a"]
        assert client.status().get(timeout=5).is_available


def test_stuck_operations_do_not_hold_up_the_actor():
    with _running() as (state, client):
        with state.lock:  # The store answers nothing.
            pending = [client.read(["a"]), client.write_row("b", 0, "")]
            assert client.status().get(timeout=5).is_available
        assert pending[0].get(timeout=10)[0].version == 0
        assert pending[1].get(timeout=10).outcome == "applied"


def test_outage_opens_the_breaker_and_ends():
    with _running(down_s=60.0) as (state, client):
        for _ in range(5):
            with pytest.raises(errors.StoreError):
                client.read(["a"]).get(timeout=5)
        assert not client.status().get(timeout=5).is_available
        assert state.stats() == {}
        state.set_fault({"down_s": 0.0})
        for _ in range(200):
            with contextlib.suppress(errors.StoreError):
                client.read(["a"]).get(timeout=5)
                break
            time.sleep(0.05)
        assert client.status().get(timeout=5).is_available


def test_concurrent_callers_on_two_daemons_run_once():
    with _running() as (_, client):
        target = _Target()
        contexts = [_context(client, name) for name in ("daemon-1", "daemon-2")]
        answers = []

        def call(context):
            answers.append(
                at_most_once.run(context, _request("fee"), target).status)

        threads = [
            threading.Thread(target=call, args=(contexts[i % 2],))
            for i in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert len(target.runs) == 1 and answers == [200] * 8


def test_claim_with_a_lost_answer_runs_once():
    with _running(lost_answers=1.0) as (_, client):
        target = _Target()
        context = _context(client)
        for _ in range(2):
            assert at_most_once.run(context, _request("fee"), target) == _ANSWER
        assert len(target.runs) == 1


def test_outage_between_dispatch_and_record():
    with _running() as (state, client):
        context, other = _context(client), _context(client, "daemon-2")

        def dispatch(attempt):
            del attempt
            state.set_fault({"down_s": 60.0})
            return _ANSWER

        assert at_most_once.run(context, _request("fee"), dispatch) == _ANSWER
        target = _Target()
        assert at_most_once.run(context, _request("fee"), target) == _ANSWER
        assert context.record_kept_rows() == 1
        state.set_fault({"down_s": 0.0})
        for _ in range(200):
            if not context.record_kept_rows():
                break
            time.sleep(0.05)
        assert at_most_once.run(other, _request("fee"), target) == _ANSWER
        assert not target.runs


def test_refused_dispatch_may_be_claimed_again():
    with _running() as (_, client):
        context = _context(client)

        def dispatch(attempt):
            del attempt
            raise errors.TargetError(errors.Code.OVERLOADED, "busy",
                                     errors.RunState.NOT_RUN)

        with pytest.raises(errors.PersimmonspanError) as caught:
            at_most_once.run(context, _request("fee"), dispatch)
        assert caught.value.run_state == errors.RunState.NOT_RUN
        target = _Target()
        at_most_once.run(context, _request("fee", "d2"), target)
        assert len(target.runs) == 1


@pytest.mark.parametrize("error", [
    errors.TargetError(errors.Code.TARGET_FAILED, "closed"),
    RuntimeError("bug after the send")
])
def test_unknown_outcome_is_never_repeated(error):
    with _running() as (_, client):
        context = _context(client)

        def dispatch(attempt):
            del attempt
            raise error

        target = _Target()
        for call in (dispatch, target, target):
            with pytest.raises(errors.PersimmonspanError) as caught:
                at_most_once.run(context, _request("fee"), call)
            assert caught.value.code == errors.Code.OUTCOME_UNKNOWN
        assert not target.runs


def test_calls_without_a_key_are_separate():
    with _running() as (_, client):
        target = _Target()
        for _ in range(2):
            at_most_once.run(_context(client), _request(None), target)
        assert len(set(target.runs)) == 2
