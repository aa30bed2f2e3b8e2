"""Tests the store client and at-most-once calls over the real wire format."""

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
def _running_store(**faults):
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


def _make_context(client, name="daemon-1"):
    return at_most_once.Context(ledger_rows.LedgerRows(client),
                                ledger_events.Holder(name, "i1"))


def _make_request(key, digest="d1"):
    return at_most_once.Request("lima", key, digest, time.monotonic() + 30.0)


class _RecordingTarget:
    """Records the attempts that run; `list.append` is thread-safe."""

    def __init__(self):
        self.runs = []

    def __call__(self, attempt):
        self.runs.append(attempt)
        return _ANSWER


def test_rows_that_wait_together_share_a_transaction():
    with _running_store() as (state, client):
        with state.lock:  # Delays the first groups while other rows wait.
            futures = [client.write_row(f"k{i}", 0, str(i)) for i in range(40)]
        assert all(
            item.get(timeout=10).outcome == "applied" for item in futures)
        assert state.stats()["test"]["writes"] <= 3


def test_conflict_in_a_group_fails_only_its_own_row():
    with _running_store() as (state, client):
        client.write_row("k3", 0, "old").get(timeout=10)
        with state.lock:
            futures = [client.write_row(f"k{i}", 0, "new") for i in range(8)]
        results = [item.get(timeout=10) for item in futures]
        assert [item.outcome for item in results].count("applied") == 7
        assert results[3].conflicts[0].value == "old"


def test_transact_read_and_scan():
    with _running_store() as (_, client):
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


def test_stuck_operations_do_not_block_the_actor():
    with _running_store() as (state, client):
        with state.lock:  # The store does not respond.
            pending = [client.read(["a"]), client.write_row("b", 0, "")]
            assert client.status().get(timeout=5).is_available
        assert pending[0].get(timeout=10)[0].version == 0
        assert pending[1].get(timeout=10).outcome == "applied"


def test_breaker_opens_in_outage_and_closes_after_it():
    with _running_store(down_s=60.0) as (state, client):
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


def test_concurrent_calls_on_two_daemons_run_once():
    with _running_store() as (_, client):
        target = _RecordingTarget()
        contexts = [
            _make_context(client, name) for name in ("daemon-1", "daemon-2")
        ]
        answers = []

        def call(context):
            answers.append(
                at_most_once.run(context, _make_request("fee"), target).status)

        threads = [
            threading.Thread(target=call, args=(contexts[i % 2],))
            for i in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert len(target.runs) == 1 and answers == [200] * 8


def test_claim_with_lost_response_runs_once():
    with _running_store(lost_answers=1.0) as (_, client):
        target = _RecordingTarget()
        context = _make_context(client)
        for _ in range(2):
            assert at_most_once.run(context, _make_request("fee"),
                                    target) == _ANSWER
        assert len(target.runs) == 1


def test_outage_between_dispatch_and_record_causes_no_second_run():
    with _running_store() as (state, client):
        context, other = _make_context(client), _make_context(
            client, "daemon-2")

        def dispatch(attempt):
            del attempt
            state.set_fault({"down_s": 60.0})
            return _ANSWER

        assert at_most_once.run(context, _make_request("fee"),
                                dispatch) == _ANSWER
        target = _RecordingTarget()
        assert at_most_once.run(context, _make_request("fee"),
                                target) == _ANSWER
        assert context.record_kept_rows() == 1
        state.set_fault({"down_s": 0.0})
        for _ in range(200):
            if not context.record_kept_rows():
                break
            time.sleep(0.05)
        assert at_most_once.run(other, _make_request("fee"), target) == _ANSWER
        assert not target.runs


def test_refused_dispatch_may_be_claimed_again():
    with _running_store() as (_, client):
        context = _make_context(client)

        def dispatch(attempt):
            del attempt
            raise errors.TargetError(errors.Code.OVERLOADED, "busy",
                                     errors.RunState.NOT_RUN)

        with pytest.raises(errors.PersimmonspanError) as caught:
            at_most_once.run(context, _make_request("fee"), dispatch)
        assert caught.value.run_state == errors.RunState.NOT_RUN
        target = _RecordingTarget()
        at_most_once.run(context, _make_request("fee", "d2"), target)
        assert len(target.runs) == 1


@pytest.mark.parametrize("error", [
    errors.TargetError(errors.Code.TARGET_FAILED, "closed"),
    RuntimeError("bug after the send")
])
def test_unknown_outcome_is_never_repeated(error):
    with _running_store() as (_, client):
        context = _make_context(client)

        def dispatch(attempt):
            del attempt
            raise error

        target = _RecordingTarget()
        for call in (dispatch, target, target):
            with pytest.raises(errors.PersimmonspanError) as caught:
                at_most_once.run(context, _make_request("fee"), call)
            assert caught.value.code == errors.Code.OUTCOME_UNKNOWN
        assert not target.runs


def test_calls_without_a_key_run_separately():
    with _running_store() as (_, client):
        target = _RecordingTarget()
        for _ in range(2):
            at_most_once.run(_make_context(client), _make_request(None), target)
        assert len(set(target.runs)) == 2
