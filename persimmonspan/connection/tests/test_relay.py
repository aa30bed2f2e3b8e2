"""Tests the threads that all streams share."""

import queue
import socket
import threading
import time
from unittest import mock

import pytest

from persimmonspan.connection import relay

_GAP_TIMEOUT_S = 0.3
_NOTICE_TIMEOUT_S = 10


def test_failed_deferred_call_does_not_stop_later_calls():
    # Guards against a failed call that ends the thread, so calls accumulate.
    done = threading.Event()
    stream_relay = relay.Relay(lambda gap_s, count: None)
    stream_relay.start()
    try:
        stream_relay.call_soon(int, "not a number")
        stream_relay.call_soon(done.set)
        assert done.wait(10)
    finally:
        stream_relay.stop()


class _PausedEpoll:
    """An epoll object; the process is paused after its first poll."""

    def __init__(self, epoll, pause):
        self._epoll = epoll
        self._pause = pause

    def __getattr__(self, name):
        return getattr(self._epoll, name)

    def poll(self, *arguments):
        """Returns no event at first, then polls."""
        if self._pause is None:
            return self._epoll.poll(*arguments)
        pause, self._pause = self._pause, None
        pause()
        return []


def _first_notice(send, is_done):
    """Returns the first notice on a stream whose relay was paused."""
    notices = queue.SimpleQueue()
    stream_relay = relay.Relay(lambda gap_s, count: None)
    caller, far_caller = socket.socketpair()
    engine, far_engine = socket.socketpair()

    def pause():
        send(far_engine)
        time.sleep(2 * _GAP_TIMEOUT_S)

    stream_relay._epoll = _PausedEpoll(  # pylint: disable=protected-access
        stream_relay._epoll, pause)  # pylint: disable=protected-access

    def consume(data, now_s):
        del now_s
        return data, int(is_done), is_done

    try:
        with caller, far_caller, engine, far_engine, stream_relay.watch_caller(
                caller, notices.put, 5.0) as transfer:
            stream_relay.attach_engine(transfer, engine, consume,
                                       _GAP_TIMEOUT_S, _GAP_TIMEOUT_S)
            stream_relay.start()
            return notices.get(timeout=_NOTICE_TIMEOUT_S).signal
    finally:
        stream_relay.stop()


def test_pause_of_the_daemon_is_no_silence_of_a_target_that_sent():
    assert _first_notice(lambda engine: engine.sendall(b"event"),
                         True) is relay.Signal.DONE


def test_bytes_without_a_token_do_not_end_a_silence():
    assert _first_notice(lambda engine: engine.sendall(b":"),
                         False) is relay.Signal.SILENT


def test_silence_through_a_pause_of_the_daemon_is_noticed():
    assert _first_notice(lambda engine: None, True) is relay.Signal.SILENT


_CALLER_TIMEOUT_S = 0.3


@pytest.mark.parametrize("has_read", [True, False])
def test_caller_that_read_while_the_daemon_was_paused_is_not_slow(has_read):
    notices = queue.SimpleQueue()
    stream_relay = relay.Relay(lambda gap_s, count: None)
    caller, far_caller = socket.socketpair()
    engine, far_engine = socket.socketpair()
    far_caller.settimeout(_NOTICE_TIMEOUT_S)
    poll = stream_relay._epoll.poll  # pylint: disable=protected-access
    is_blocked, is_resumed = threading.Event(), threading.Event()

    class _Epoll(_PausedEpoll):

        def poll(self, *arguments):
            """Pauses once the caller's socket is full."""
            if transfer.pending and not is_blocked.is_set():
                is_blocked.set()
                assert is_resumed.wait(_NOTICE_TIMEOUT_S)
                return []
            return poll(*arguments)

    stream_relay._epoll = _Epoll(  # pylint: disable=protected-access
        stream_relay._epoll, None)  # pylint: disable=protected-access

    def consume(data, now_s):
        del data, now_s
        return b"x" * 1_000_000, 1, False

    try:
        with caller, far_caller, engine, far_engine, stream_relay.watch_caller(
                caller, notices.put, _CALLER_TIMEOUT_S) as transfer:
            stream_relay.attach_engine(transfer, engine, consume, 5.0, 5.0)
            stream_relay.start()
            far_engine.sendall(b"event")
            assert is_blocked.wait(_NOTICE_TIMEOUT_S)
            received = len(far_caller.recv(500_000)) if has_read else 0
            time.sleep(2 * _CALLER_TIMEOUT_S)
            is_resumed.set()
            if has_read:
                while received < 1_000_000:
                    received += len(far_caller.recv(500_000))
                assert notices.empty()
            else:
                assert notices.get(timeout=_NOTICE_TIMEOUT_S
                                  ).signal is relay.Signal.CALLER_SLOW
    finally:
        stream_relay.stop()


def test_stream_goes_on_to_a_caller_that_read_while_the_daemon_was_paused():
    notices = queue.SimpleQueue()
    stream_relay = relay.Relay(lambda gap_s, count: None)
    caller, far_caller = socket.socketpair()
    engine, far_engine = socket.socketpair()
    for sock in (far_caller, far_engine):
        sock.settimeout(3.0)
    is_paused = threading.Event()
    events = b"x" * 400_000  # More than the buffers of the sockets.
    received = bytearray()

    def read_all():
        while len(received) < len(events):
            received.extend(far_caller.recv(65536))

    reading = threading.Thread(target=read_all)

    def consume(data, now_s):
        del now_s
        return data, 1, False

    with caller, far_caller, engine, far_engine, stream_relay.watch_caller(
            caller, notices.put, _GAP_TIMEOUT_S) as transfer:
        epoll = stream_relay._epoll  # pylint: disable=protected-access

        def pause_once_blocked(*arguments):
            if transfer.blocked_at_s is None or is_paused.is_set():
                return epoll.poll(*arguments)
            reading.start()
            is_paused.set()
            time.sleep(2 * _GAP_TIMEOUT_S)
            return []

        paused_epoll = mock.Mock(wraps=epoll, poll=pause_once_blocked)
        stream_relay._epoll = paused_epoll  # pylint: disable=protected-access
        stream_relay.attach_engine(transfer, engine, consume, 5.0, 5.0)
        stream_relay.start()
        far_engine.sendall(events)
        assert is_paused.wait(_NOTICE_TIMEOUT_S)
        reading.join()
    stream_relay.stop()
    assert bytes(received) == events and notices.empty()
