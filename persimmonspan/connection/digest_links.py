"""One-way links over which daemons send each other small digests.

Each daemon has one PULL socket, and a PUSH socket for each peer. A digest is
dropped if its link is not established or if the peer does not read, because it
would be out of date by the time it could be sent. ZeroMQ closes connections
whose heartbeats stop and reconnects.

One thread owns all sockets. It passes each received digest to `receive` and, at
an interval, calls `compose` and sends the digests that it returns.
"""

import collections.abc
import contextlib
import logging
import os
import threading
import time

import zmq

_MAX_QUEUED_MESSAGES = 8
# More than all peers send while this thread is blocked for some seconds.
_MAX_RECEIVED_MESSAGES = 1000
_MAX_MESSAGE_BYTES = 256 * 1024
_MIN_RECONNECT_INTERVAL_MS = 100
_MAX_RECONNECT_INTERVAL_MS = 2000
_HEARTBEAT_INTERVAL_MS = 1000
_HEARTBEAT_TIMEOUT_MS = 2000
_HEARTBEAT_TTL_MS = 4000
_MS_PER_S = 1000.0

_logger = logging.getLogger(__name__)

Receive = collections.abc.Callable[[bytes], None]
Compose = collections.abc.Callable[[], dict[str, bytes]]


class Links:
    """Sockets for digests and the thread that owns them.

    Args:
        address: Address and port on which digests are received.
        receive: Called with each digest.
        compose: Called at the interval; returns the digest to send to each
            address.
        interval_s: Returns the time between two digests, in seconds; called
            after each `compose`.
    """

    def __init__(self, address: str, receive: Receive, compose: Compose,
                 interval_s: collections.abc.Callable[[], float]) -> None:
        self._receive = receive
        self._compose = compose
        self._interval_s = interval_s
        self._context = zmq.Context()
        self._pull_socket = self._context.socket(zmq.PULL)
        self._pull_socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        self._pull_socket.linger = 0
        # Only the peers send heartbeats: ZeroMQ aborts the process if a
        # heartbeat is due on a connection that ended while a full queue had
        # stopped its input.
        self._pull_socket.set_hwm(_MAX_RECEIVED_MESSAGES)
        self._pull_socket.bind(f"tcp://{address}")
        self._push_sockets: dict[str, zmq.Socket] = {}
        self._peer_addresses: frozenset[str] = frozenset()
        self._stop_event = threading.Event()
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK)
        # Guards the descriptor, whose number may be given out again.
        self._wake_lock = threading.Lock()
        self._is_closed = False
        self._poller = zmq.Poller()
        self._poller.register(self._pull_socket, zmq.POLLIN)
        self._poller.register(self._wake_fd, zmq.POLLIN)
        self._thread = threading.Thread(target=self._run,
                                        name="digest-links",
                                        daemon=True)

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator[None]:
        """Exchanges digests until the block ends."""
        self._thread.start()
        try:
            yield
        finally:
            self._stop_event.set()
            self._thread.join()

    def set_peers(self, addresses: collections.abc.Iterable[str]) -> None:
        """Sets the addresses to send to; may be called from any thread."""
        self._peer_addresses = frozenset(addresses)

    def wake(self) -> None:
        """Makes the thread compose and send digests at once.

        May be called from any thread, also after the exchange has ended.
        """
        with self._wake_lock:
            if not self._is_closed:
                os.eventfd_write(self._wake_fd, 1)

    def _configure_push_socket(self, sock: zmq.Socket) -> None:
        sock.linger = 0
        sock.set_hwm(_MAX_QUEUED_MESSAGES)
        sock.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_INTERVAL_MS)
        sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
        # The receiver drops a connection after this time without a heartbeat.
        sock.setsockopt(zmq.HEARTBEAT_TTL, _HEARTBEAT_TTL_MS)
        sock.setsockopt(zmq.RECONNECT_IVL, _MIN_RECONNECT_INTERVAL_MS)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_INTERVAL_MS)
        sock.setsockopt(zmq.CONNECT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)

    def _run(self) -> None:
        next_digest_s = time.monotonic()
        while not self._stop_event.is_set():
            wait_s = max(0.0, next_digest_s - time.monotonic())
            try:
                ready = dict(self._poller.poll(wait_s * _MS_PER_S))
                if self._pull_socket in ready:
                    self._receive(self._pull_socket.recv(zmq.NOBLOCK))
                if self._wake_fd in ready:
                    os.eventfd_read(self._wake_fd)
                    next_digest_s = time.monotonic()
                if time.monotonic() >= next_digest_s:
                    began_s = time.monotonic()
                    digests = self._compose()
                    next_digest_s = began_s + self._interval_s()
                    self._update_push_sockets()
                    self._send_digests(digests)
            except Exception:  # pylint: disable=broad-exception-caught
                # One invalid digest must not end the exchange of all others.
                _logger.exception("receiving or sending a digest failed")
        for sock in (self._pull_socket, *self._push_sockets.values()):
            sock.close()
        self._context.term()
        with self._wake_lock:
            self._is_closed = True
            os.close(self._wake_fd)

    def _update_push_sockets(self) -> None:
        wanted = self._peer_addresses
        for address in set(self._push_sockets) - wanted:
            self._push_sockets.pop(address).close()
        for address in wanted - set(self._push_sockets):
            sock = self._context.socket(zmq.PUSH)
            self._configure_push_socket(sock)
            sock.setsockopt(zmq.IMMEDIATE, 1)
            self._push_sockets[address] = sock
            try:
                sock.connect(f"tcp://{address}")
            except zmq.ZMQError as error:
                _logger.error("address of a peer is not valid",
                              extra={
                                  "address": address,
                                  "reason": str(error)
                              })

    def _send_digests(self, digests: dict[str, bytes]) -> None:
        for address, data in digests.items():
            sock = self._push_sockets.get(address)
            if sock is not None:
                with contextlib.suppress(zmq.Again):
                    sock.send(data, zmq.NOBLOCK)
