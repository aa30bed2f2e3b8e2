"""Tests of the memory budget of requests, without a network."""

import socket
import threading
import time

import pytest

from persimmonspan import errors
from persimmonspan.connection import memory_budget

_RECEIVING = memory_budget.Phase.RECEIVING
_RUNNING = memory_budget.Phase.RUNNING
_SENDING = memory_budget.Phase.SENDING
_MB = 1024 * 1024
_NEWCOMER = memory_budget.Holder(9, _RECEIVING, 4000, 0.0, 0.0, 0)
_STOPPED = memory_budget.Holder(1, _RECEIVING, 4000, 3.0, 3.0, 3999)


@pytest.fixture(name="counted")
def _counted():
    return []


@pytest.fixture(name="budget")
def _budget(counted):
    # 12 MB: large requests may use 6 MB, all requests 9 MB.
    return memory_budget.Budget(0.0, counted.append, 2)


@pytest.mark.parametrize("phase, evicted", [(_RECEIVING, (1,)),
                                            (_SENDING, (1,)), (_RUNNING, None)])
def test_request_at_a_target_is_not_given_up(phase, evicted):
    # A 503 would break its guarantee.
    holder = _STOPPED._replace(phase=phase)
    assert memory_budget.choose_evicted([holder], _NEWCOMER, 100) == evicted


@pytest.mark.parametrize("change", [{
    "is_ready": True
}, {
    "idle_s": 0.1,
    "moved_bytes": 10_000_000
}])
def test_caller_is_not_blamed_for_the_pauses_of_this_process(change):
    holder = _STOPPED._replace(**change)
    assert memory_budget.choose_evicted([holder], _NEWCOMER, 100) is None


def test_response_that_is_read_is_not_given_up():
    holder = memory_budget.Holder(1, _SENDING, 4000, 0.5, 0.0, 100)
    small = _NEWCOMER._replace(held_bytes=10)
    assert memory_budget.choose_evicted([holder], small, 10) is None


def test_caller_that_sends_a_byte_now_and_then_lags():
    holder = memory_budget.Holder(1, _RECEIVING, 4000, 3.0, 0.0, 30)
    assert memory_budget.choose_evicted([holder], _NEWCOMER, 100) == (1,)


def test_no_more_are_evicted_than_needed_and_none_in_vain():
    holders = [_STOPPED._replace(name=name) for name in range(5)]
    assert len(memory_budget.choose_evicted(holders, _NEWCOMER, 8000)) == 2
    assert memory_budget.choose_evicted(holders, _NEWCOMER, 20_001) is None


def test_all_bytes_are_released_on_every_path(budget):
    with budget.account() as account:
        account.reserve(1000)
        account.begin_running()
        assert account.try_reserve(500)
        account.keep_pending(700, 0)
        account.release(500)
    assert not budget.reserved_bytes
    with pytest.raises(ZeroDivisionError), budget.account() as account:
        account.reserve(1000)
        raise ZeroDivisionError
    assert not budget.reserved_bytes


def test_rejected_request_leaves_nothing_reserved(budget, counted):
    with budget.account() as running:
        running.reserve(5 * _MB)
        running.begin_running()
        with budget.account() as account:
            with pytest.raises(errors.RefusalError) as rejected:
                account.reserve(2 * _MB)
            account.reserve(1000)  # A small one finds room.
        assert rejected.value.retry_after_s
        assert rejected.value.run_state is errors.RunState.NOT_RUN
    assert not budget.reserved_bytes and counted == ["memory_rejected"]


def test_evicted_request_does_not_run(budget):
    with budget.account() as account:
        account.evict()
        with pytest.raises(errors.RefusalError):
            account.begin_running()


def test_waits_until_an_evicted_request_has_released_its_bytes(budget, counted):
    near, far = socket.socketpair()
    with near, far, budget.account(near) as slow:
        slow.reserve(5 * _MB)
        slow._moved_s -= 10.0  # pylint: disable=protected-access

        def release():
            for _ in range(100):
                time.sleep(0.01)
                if slow.is_evicted:
                    break
            slow.release(5 * _MB)

        thread = threading.Thread(target=release)
        thread.start()
        with budget.account() as account:
            account.reserve(4 * _MB)
        thread.join()
    assert counted == ["memory_evicted"] and not budget.reserved_bytes


def test_slowest_of_the_waiting_callers_leaves_its_thread(budget, counted):
    with budget.account() as first, budget.account() as second, \
            budget.account() as third:
        first._moved_s -= 10.0  # pylint: disable=protected-access
        with first.waiting(), second.waiting(), third.waiting():
            assert (first.is_evicted, second.is_evicted,
                    third.is_evicted) == (True, False, False)
    assert counted == ["waiting_caller_evicted"]


def test_pending_bytes_of_a_stream_end_it_if_its_caller_stops(budget):
    near, far = socket.socketpair()
    near.setblocking(False)
    with near, far, budget.account(near) as stream:
        stream.begin_running()
        assert stream.keep_pending(_MB, 0)
        assert not stream.keep_pending(13 * _MB, 0)
        stream.evict()
        assert far.recv(1) == b""
