"""Tests that no answer of a server holds a call or its memory without end."""

import contextlib
import itertools
import socket
import threading
import time
import tracemalloc

import pytest

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.connection import kept_connection

_MAX_BODY_BYTES = 100_000
_MAX_CALL_S = 0.5
_IDLE_TIMEOUT_S = 0.3
_REQUEST = exchange.Request("GET", "/a", ((b"Host", b"h"),))
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_WHOLE = _OK + b"Content-Length: 2\r\n\r\nok"


class _Server:
    """Answers each request with the parts of a script."""

    def __init__(self, script):
        self.connections = 0
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    @contextlib.contextmanager
    def running(self):
        """Serves until the block ends."""
        threading.Thread(target=self._accept, daemon=True).start()
        try:
            yield self
        finally:
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(sock,),
                                 daemon=True).start()

    def _serve(self, sock):
        with sock, contextlib.suppress(OSError):
            while sock.recv(65536):
                for part in self._script():
                    sock.sendall(part)


def _repeat(part, *first):
    return lambda: itertools.chain(first, itertools.repeat(part))


def _drip(part, *first):

    def script():
        yield from first
        while True:
            time.sleep(0.02)
            yield part

    return script


def _call(address, times=1):
    connection = kept_connection.KeptConnection(address, 1.0, _MAX_BODY_BYTES,
                                                _MAX_CALL_S)
    with contextlib.closing(connection):
        for _ in range(times):
            head, body = connection.call(_REQUEST, _IDLE_TIMEOUT_S)
    return head, body


_WITHOUT_END = pytest.mark.parametrize("script", [
    _repeat(b"x" * 65536),
    _repeat(b"X-Filler: 1\r\n" * 1000, _OK),
    _repeat(b"HTTP/1.1 100 Continue\r\n\r\n"),
    _repeat(b"x" * 65536, _OK + b"\r\n"),
    _repeat(b"x" * 65536, _OK + b"Content-Length: 999999999\r\n\r\n"),
    _repeat(b"1000\r\n" + b"x" * 4096 + b"\r\n", _CHUNKED),
    _repeat(b"1" * 65536, _CHUNKED),
    _repeat(b"X-Trailer: 1\r\n" * 1000, _CHUNKED + b"0\r\n"),
    _drip(b"x", _OK + b"Content-Length: 90000\r\n\r\n"),
    _drip(b"X-Filler: 1\r\n", _OK),
],
                                       ids=[
                                           "garbage", "head", "interim",
                                           "unframed", "length", "chunks",
                                           "chunk_line", "trailers",
                                           "slow_body", "slow_head"
                                       ])


def _check_given_up(script, call):
    with _Server(script).running() as server:
        tracemalloc.start()
        began_s = time.monotonic()
        try:
            with pytest.raises(errors.TargetError):
                call(server.address)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert time.monotonic() - began_s < 2 * (_MAX_CALL_S + _IDLE_TIMEOUT_S)
    assert peak_bytes < 10 * _MAX_BODY_BYTES


@_WITHOUT_END
def test_answer_without_end_is_given_up(script):
    # Failure: such an answer was read to its end, whatever that took.
    _check_given_up(script, _call)


@_WITHOUT_END
def test_answer_of_a_target_to_a_call_without_end_is_given_up(script):
    # Guards the calls for moves, copies, stops and reports of targets.
    _check_given_up(
        script, lambda address: exchange.call(address, _REQUEST, _MAX_CALL_S))


def test_connection_is_kept_for_whole_answers():
    with _Server(lambda: [_WHOLE]).running() as server:
        head, body = _call(server.address, 3)
        assert (head.status, body, server.connections) == (200, b"ok", 1)


@pytest.mark.parametrize("answer", [
    _WHOLE + b"more",
    _OK + b"Connection: close\r\nContent-Length: 2\r\n\r\nok",
])
def test_connection_is_not_kept_after_such_an_answer(answer):
    with _Server(lambda: [answer]).running() as server:
        assert _call(server.address, 3)[1] == b"ok"
        assert server.connections == 3


def test_bytes_between_two_calls_belong_to_none():
    parts = iter(([_WHOLE], [_WHOLE.replace(b"ok", b"no")]))
    with _Server(lambda: next(parts, [_WHOLE])).running() as server:
        connection = kept_connection.KeptConnection(server.address, 1.0,
                                                    _MAX_BODY_BYTES,
                                                    _MAX_CALL_S)
        with contextlib.closing(connection):
            connection.call(_REQUEST, _IDLE_TIMEOUT_S)
            connection._sock.sendall(b"GET /b HTTP/1.1\r\n\r\n")  # pylint: disable=protected-access
            time.sleep(0.1)
            assert connection.call(_REQUEST, _IDLE_TIMEOUT_S)[1] == b"ok"
