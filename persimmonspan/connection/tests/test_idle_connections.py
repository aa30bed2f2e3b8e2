"""Tests of when listeners close idle connections."""

import contextlib
import http.client
import logging
import queue
import socket
import threading
import time

import pytest

from persimmonspan.connection import forwarding_listener
from persimmonspan.connection import listener
from persimmonspan.platform import program
from persimmonspan.process import metrics
from persimmonspan.process import threads
from persimmonspan.request import forwarded
from testbed import edge_world

_HIGH_LIMIT_S = 20.0
_LOW_LIMIT_S = 0.3
_SLACK_S = 0.2
_REQUEST = (b"POST /idempotent/1 HTTP/1.1\r\nHost: a\r\n%s: %s\r\n"
            b"Content-Length: 1\r\n\r\nx" %
            program.PLATFORM.wire.encode_request_id("r1"))
_RESPONSE_TIMEOUT_S = 5.0
# The listener checks for expired connections twice a second.
_EXPIRED_AFTER_S = _LOW_LIMIT_S + _SLACK_S + 1.5


class _Application:
    """Responds to each request with status 200."""

    def __init__(self):
        self.wire = program.PLATFORM.wire
        self.counted = []
        self.forwarded = 0

    def forward(self, call, read_body, responder):
        """Responds to a request."""
        del call, responder
        self.forwarded += 1
        read_body(1000, 1.0)
        return forwarded.Response(200, (), b"done")

    def is_ready(self):
        """Returns that new callers may come."""
        return True

    def is_stopping(self):
        """Returns that no stop has begun."""
        return False

    def exposition(self):
        """Returns no metrics."""
        return b""

    def count(self, reason):
        """Records the reason of an event."""
        self.counted.append(reason)


@pytest.fixture(name="application")
def _application():
    return _Application()


@pytest.fixture(name="server")
def _server(monkeypatch, application):
    monkeypatch.setattr(forwarding_listener, "_IDLE_SLACK_S", _SLACK_S)
    address = edge_world.split_address(edge_world.free_address())
    server = forwarding_listener.make_server(address, application)
    server.prepare()
    with threads.running(server.serve, server.stop):
        yield server


@contextlib.contextmanager
def _kept_connections(server, count):
    """Yields connections that have had one response and are idle."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(
                socket.create_connection(server.bind_addr, _RESPONSE_TIMEOUT_S))
            for _ in range(count)
        ]
        for sock in sockets:
            assert _exchange(sock) == 200
        yield sockets


def _exchange(sock):
    """Sends a request; returns its status, or the reason why none came."""
    try:
        sock.sendall(_REQUEST)
    except OSError as error:
        return type(error).__name__
    return _read_status(sock)


def _read_status(sock):
    """Returns the status of a response, or the reason why none came."""
    response = http.client.HTTPResponse(sock)
    try:
        response.begin()
        response.read()
    except (http.client.HTTPException, OSError) as error:
        return type(error).__name__
    return response.status


def _is_closed(sock):
    """Returns whether the listener closed an idle connection."""
    sock.settimeout(0.0)
    try:
        return sock.recv(1) == b""
    except BlockingIOError:
        return False
    finally:
        sock.settimeout(_RESPONSE_TIMEOUT_S)


def test_lowered_limit_spares_connections_that_are_idle(server):
    forwarding_listener.set_idle_timeout(server, _HIGH_LIMIT_S)
    with _kept_connections(server, 5) as sockets:
        time.sleep(_LOW_LIMIT_S + _SLACK_S + 0.5)

        forwarding_listener.set_idle_timeout(server, _LOW_LIMIT_S)

        time.sleep(1.5)
        statuses = [_exchange(sock) for sock in sockets]
    assert statuses == [200] * 5


def test_lowered_limit_holds_from_the_next_response_on(server, application,
                                                       caplog):
    caplog.set_level(logging.INFO)
    forwarding_listener.set_idle_timeout(server, _HIGH_LIMIT_S)
    with _kept_connections(server, 1) as (sock,):
        forwarding_listener.set_idle_timeout(server, _LOW_LIMIT_S)
        assert _exchange(sock) == 200

        time.sleep(_EXPIRED_AFTER_S)

        assert _is_closed(sock)
    assert application.counted == ["idle_connection_closed"]
    (record,) = (record for record in caplog.records
                 if record.message == "idle connections closed")
    assert (record.connections, record.with_request) == (1, 0)
    assert record.limit_s == _LOW_LIMIT_S + _SLACK_S


def test_raised_limit_holds_for_connections_that_are_idle(server):
    forwarding_listener.set_idle_timeout(server, _LOW_LIMIT_S)
    with _kept_connections(server, 5) as sockets:
        forwarding_listener.set_idle_timeout(server, _HIGH_LIMIT_S)

        time.sleep(_EXPIRED_AFTER_S)

        assert [_exchange(sock) for sock in sockets] == [200] * 5


def test_callers_are_told_less_than_the_time_after_which_connections_close(
        server, application):
    # Guards against callers of HTTP/1.0 whose request crosses the close.
    forwarding_listener.set_idle_timeout(server, 1.9)
    with socket.create_connection(server.bind_addr,
                                  _RESPONSE_TIMEOUT_S) as sock:
        sock.sendall(
            _REQUEST.replace(b"HTTP/1.1",
                             b"HTTP/1.0\r\nConnection: Keep-Alive"))
        response = http.client.HTTPResponse(sock)
        response.begin()
        assert response.read() == b"done"
        assert response.headers["Keep-Alive"] == "timeout=1"
        time.sleep(1.0)
        assert not _is_closed(sock)
    assert not application.counted


def test_idle_limit_below_a_second_does_not_limit_the_reading(server):
    forwarding_listener.set_idle_timeout(server, _LOW_LIMIT_S)
    with socket.create_connection(server.bind_addr,
                                  _RESPONSE_TIMEOUT_S) as sock:
        sock.sendall(_REQUEST[:10])
        time.sleep(0.2)
        sock.sendall(_REQUEST[10:])
        assert _read_status(sock) == 200


@pytest.mark.parametrize("is_kept", [True, False])
def test_lowered_idle_limit_ends_no_head_within_its_own_limit(server, is_kept):
    with _kept_connections(server, int(is_kept)) as sockets:
        forwarding_listener.set_idle_timeout(server, _LOW_LIMIT_S, 3.0)
        with contextlib.ExitStack() as stack:
            sock = sockets[0] if is_kept else stack.enter_context(
                socket.create_connection(server.bind_addr, _RESPONSE_TIMEOUT_S))
            sock.sendall(_REQUEST[:20])
            time.sleep(_EXPIRED_AFTER_S)
            sock.sendall(_REQUEST[20:])
            assert _read_status(sock) == 200


def test_request_that_waits_at_an_expired_connection_is_served(
        server, monkeypatch):
    # Starting threads for other connections occupies the thread that waits for
    # requests.
    forwarding_listener.set_idle_timeout(server, _LOW_LIMIT_S)
    with _kept_connections(server, 1) as (sock,):
        is_growing = threading.Event()
        process = server.process_conn

        def process_slowly(conn):
            if not is_growing.is_set():
                is_growing.set()
                time.sleep(_EXPIRED_AFTER_S)
            process(conn)

        monkeypatch.setattr(server, "process_conn", process_slowly)
        with socket.create_connection(server.bind_addr):
            assert is_growing.wait(_RESPONSE_TIMEOUT_S)
            sock.sendall(_REQUEST)

            assert _read_status(sock) == 200


@pytest.mark.parametrize("step_s", [3600.0, -3600.0])
def test_step_of_the_time_of_day_closes_and_keeps_no_connection(
        server, monkeypatch, step_s):
    forwarding_listener.set_idle_timeout(server, _HIGH_LIMIT_S)
    with _kept_connections(server, 5) as sockets:
        time_of_day = time.time
        monkeypatch.setattr(time, "time", lambda: time_of_day() + step_s)

        time.sleep(1.2)

        statuses = [_exchange(sock) for sock in sockets]
        forwarding_listener.set_idle_timeout(server, _LOW_LIMIT_S)
        assert _exchange(sockets[0]) == 200
        time.sleep(_EXPIRED_AFTER_S)
        assert _is_closed(sockets[0])
    assert statuses == [200] * 5


@pytest.mark.parametrize("is_kept", [True, False])
def test_request_that_arrives_as_the_server_stops_is_served(
        server, monkeypatch, is_kept):
    with contextlib.ExitStack() as stack:
        (kept,) = stack.enter_context(_kept_connections(server, 1))
        is_growing = threading.Event()
        process = server.process_conn

        def process_slowly(conn):
            if not is_growing.is_set():
                is_growing.set()
                time.sleep(0.8)
            process(conn)

        monkeypatch.setattr(server, "process_conn", process_slowly)
        stack.enter_context(socket.create_connection(server.bind_addr))
        assert is_growing.wait(_RESPONSE_TIMEOUT_S)
        stopping = threading.Thread(target=server.stop)
        stopping.start()
        stack.callback(stopping.join)
        time.sleep(0.1)
        sock = kept if is_kept else stack.enter_context(
            socket.create_connection(server.bind_addr, _RESPONSE_TIMEOUT_S))

        assert _exchange(sock) == 200
        assert sock.recv(1) == b""


def test_step_of_the_time_of_day_does_not_end_the_wait_of_a_stop(
        server, application, monkeypatch):
    under_way = queue.SimpleQueue()

    def forward(call, read_body, responder):
        del responder
        under_way.put(call)
        return forwarded.Response(200, (), read_body(1000, 4.0))

    monkeypatch.setattr(application, "forward", forward)
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(
                socket.create_connection(server.bind_addr, _RESPONSE_TIMEOUT_S))
            for _ in range(3)
        ]
        for sock in sockets:
            sock.sendall(_REQUEST[:-1])
            under_way.get(timeout=_RESPONSE_TIMEOUT_S)
        stopping = threading.Thread(target=server.stop)
        stopping.start()
        stack.callback(stopping.join)
        time.sleep(1.0)
        time_of_day = time.time
        monkeypatch.setattr(time, "time", lambda: time_of_day() + 3600.0)
        statuses = []
        for sock in sockets:
            time.sleep(0.4)
            sock.sendall(_REQUEST[-1:])
            statuses.append(_read_status(sock))
    assert statuses == [200] * 3


class _OwnApplication:
    """Responds to health checks only."""

    def __init__(self):
        self.metrics = metrics.Metrics()


@pytest.fixture(name="own_server")
def _own_server():
    address = edge_world.split_address(edge_world.free_address())
    server = listener.make_server(address, _OwnApplication(),
                                  listener.Options(2, 1000, _LOW_LIMIT_S))
    server.prepare()
    with threads.running(server.serve, server.stop):
        yield server


def test_own_interface_serves_a_request_that_waits(own_server, monkeypatch):
    health_check = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
    with socket.create_connection(own_server.bind_addr,
                                  _RESPONSE_TIMEOUT_S) as sock:
        sock.sendall(health_check)
        assert _read_status(sock) == 200
        is_busy = threading.Event()
        process = own_server.process_conn

        def process_slowly(conn):
            if not is_busy.is_set():
                is_busy.set()
                time.sleep(_EXPIRED_AFTER_S)
            process(conn)

        monkeypatch.setattr(own_server, "process_conn", process_slowly)
        with socket.create_connection(own_server.bind_addr):
            assert is_busy.wait(_RESPONSE_TIMEOUT_S)
            sock.sendall(health_check)

            assert _read_status(sock) == 200


def test_own_interface_ignores_the_time_of_day(own_server, monkeypatch):
    with socket.create_connection(own_server.bind_addr,
                                  _RESPONSE_TIMEOUT_S) as sock:
        sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
        assert _read_status(sock) == 200
        time_of_day = time.time
        monkeypatch.setattr(time, "time", lambda: time_of_day() - 3600.0)

        time.sleep(_EXPIRED_AFTER_S)

        assert _is_closed(sock)
