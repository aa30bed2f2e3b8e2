"""Tests of reads while the process is paused and their time limit passes."""

import collections
import contextlib
import multiprocessing
import os
import signal
import socket
import time

import pytest

from persimmonspan.connection import deadlines
from persimmonspan.connection import forwarding_listener
from persimmonspan.connection import listener
from persimmonspan.platform import program
from persimmonspan.process import metrics
from persimmonspan.request import forwarded
from testbed import processes

_LIMIT_S = 1.0
_CALLERS = 16
_BODY = b"x" * 100_000
_REQUEST = (b"POST /admin/v1/none HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: r1\r\n"
            b"Content-Length: %d\r\n\r\n" % len(_BODY)) + _BODY
_TIMEOUT_S = 20.0
_SETTLE_S = 0.2


class _ForwardingApplication:
    """Responds to each request with status 503 once its body was read."""

    wire = program.PLATFORM.wire

    def forward(self, call, read_body, responder):
        """Responds to a request."""
        del call, responder
        read_body(len(_BODY), _LIMIT_S)
        return forwarded.Response(503, (), b"")

    def is_stopping(self):
        """Returns that no stop has begun."""
        return False

    def count(self, reason):
        """Ignores an event."""


class _OwnApplication:
    """Responds to administration requests with status 503."""

    def __init__(self):
        self.metrics = metrics.Metrics()
        self.operations = self

    def configuration(self):
        """Returns that no configuration is in force."""
        return None


def _serve_forwarding(port):
    server = forwarding_listener.make_server(("127.0.0.1", port),
                                             _ForwardingApplication())
    server.prepare()
    server.serve()


def _serve_own(port):
    server = listener.make_server(("127.0.0.1", port), _OwnApplication(),
                                  listener.Options(_CALLERS, len(_BODY),
                                                   _LIMIT_S))
    server.prepare()
    server.serve()


def _is_serving(port):
    try:
        with socket.create_connection(("127.0.0.1", port), _TIMEOUT_S) as sock:
            sock.sendall(_REQUEST)
            return _read_status(sock) == b"503"
    except OSError:
        return False


@contextlib.contextmanager
def _running(serve):
    port = processes.free_port()
    process = multiprocessing.get_context("spawn").Process(target=serve,
                                                           args=(port,))
    process.start()
    try:
        end_s = time.monotonic() + _TIMEOUT_S
        while not _is_serving(port):
            assert time.monotonic() < end_s
            time.sleep(0.05)
        yield process.pid, ("127.0.0.1", port)
    finally:
        process.kill()
        process.join()


def _read_status(sock):
    """Returns the status of a response, or the reason why none came."""
    try:
        return sock.recv(1000)[9:12]
    except OSError as error:
        return type(error).__name__


@pytest.mark.parametrize("serve", [_serve_forwarding, _serve_own])
@pytest.mark.parametrize("sent", [10, -len(_BODY) // 2])
def test_request_that_arrives_while_the_process_is_paused_is_read(serve, sent):
    with contextlib.ExitStack() as stack:
        process_id, address = stack.enter_context(_running(serve))
        sockets = [
            stack.enter_context(socket.create_connection(address, _TIMEOUT_S))
            for _ in range(_CALLERS)
        ]
        for sock in sockets:
            sock.sendall(_REQUEST[:sent])
        time.sleep(_SETTLE_S)
        os.kill(process_id, signal.SIGSTOP)
        try:
            for sock in sockets:
                sock.sendall(_REQUEST[sent:])
            time.sleep(2 * _LIMIT_S)
        finally:
            os.kill(process_id, signal.SIGCONT)
        statuses = collections.Counter(map(_read_status, sockets))
    assert statuses == {b"503": _CALLERS}


@pytest.mark.parametrize("byte_interval_s", [0.02, 0.3])
def test_caller_that_sends_a_byte_now_and_then_is_ended(byte_interval_s):
    ours, theirs = socket.socketpair()
    with ours, theirs, deadlines.Watchdog().limit(ours, 0.5) as limit:
        end_s = time.monotonic() + 2.0
        while not limit.is_expired and time.monotonic() < end_s:
            theirs.sendall(b"x")
            ours.recv(10)
            time.sleep(byte_interval_s)
    assert limit.is_expired
