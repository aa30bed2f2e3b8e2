"""Tests of sending to callers that read slowly, over loopback."""

import contextlib
import select
import socket
import threading
import time

import pytest

from persimmonspan.connection import caller_output
from persimmonspan.connection import exchange

_IDLE_TIMEOUT_S = 0.4
_DATA = b"x" * 400_000


@contextlib.contextmanager
def _connection(buffer_bytes=8192):
    """Yields two connected sockets; the second one has a small buffer."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        with socket.create_connection(listener.getsockname()) as sender:
            receiver, _ = listener.accept()
            with receiver:
                yield sender, receiver


def _read_steadily(sock, received, bytes_per_step, step_s=0.02):
    with contextlib.suppress(ConnectionResetError):
        while data := sock.recv(bytes_per_step):
            received.append(data)
            time.sleep(step_s)


def _send_to_slow_reader(send):
    received = []
    with _connection() as (sender, receiver):
        reader = threading.Thread(target=_read_steadily,
                                  args=(receiver, received, 4000))
        reader.start()
        began_s = time.monotonic()
        send(sender)
        took_s = time.monotonic() - began_s
        sender.shutdown(socket.SHUT_WR)
        reader.join()
    return b"".join(received), took_s


def test_caller_that_reads_slowly_gets_all():
    # Failure: the whole transfer, and not a pause in it, was limited.
    data, _ = _send_to_slow_reader(
        lambda sock: caller_output.send(sock, _DATA, _IDLE_TIMEOUT_S))
    assert data == _DATA


def test_target_that_reads_slowly_gets_all():
    # Failure: a request was given up for the time that its body took.
    data, _ = _send_to_slow_reader(
        lambda sock: exchange.send(sock, b"", _IDLE_TIMEOUT_S, _DATA,
                                   time.monotonic() + 30.0))
    assert data == _DATA


def test_progress_is_noticed_while_the_socket_accepts_nothing():
    # Failure: a full send buffer took longer to drain than the idle timeout.
    with _connection(buffer_bytes=65536) as (sender, receiver):
        sender.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while True:
                sender.send(_DATA)
        time.sleep(0.2)  # The receiver's buffer fills.
        progress = caller_output.Progress(sender)
        assert not progress.has_advanced()
        for _ in range(8):
            receiver.recv(65536)
        time.sleep(0.1)
        poll = select.poll()
        poll.register(sender, select.POLLOUT)
        assert not poll.poll(0)
        assert progress.has_advanced()


def test_caller_that_reads_nothing_is_given_up():
    with _connection() as (sender, _):
        began_s = time.monotonic()
        with pytest.raises(TimeoutError):
            caller_output.send(sender, _DATA * 20, _IDLE_TIMEOUT_S)
        assert time.monotonic() - began_s >= _IDLE_TIMEOUT_S


def test_caller_whose_time_is_over_is_given_up():
    with _connection() as (sender, receiver):
        reader = threading.Thread(target=_read_steadily,
                                  args=(receiver, [], 2000, 0.1))
        reader.start()
        with pytest.raises(TimeoutError, match="over"):
            caller_output.send(sender,
                               _DATA * 20,
                               _IDLE_TIMEOUT_S,
                               end_s=time.monotonic() + 0.6)
        receiver.shutdown(socket.SHUT_RDWR)
        reader.join()
