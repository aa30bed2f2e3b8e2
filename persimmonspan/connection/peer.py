"""Links between daemons: ZeroMQ ROUTER and DEALER sockets with CURVE.

A link is one connection that carries messages in both directions: the dialing
daemon has a DEALER socket, and the accepting daemon sends over its ROUTER
socket. The ROUTER accepts only keys from the public keys file and identifies
the peer by its key, not by the message. The DEALER checks the key of the daemon
that it dials. ZeroMQ queues no messages for a connection that is not
established, so that no stale message is delivered after an outage.

One thread polls all sockets every `_POLL_INTERVAL_S`, or at once after `wake`,
passes the received messages to `handle` and executes the returned commands.

See Also:
    `persimmonspan.process.gossip`: detects silent links and reopens them.

References:
    ZeroMQ RFC 26 (CurveZMQ) and RFC 27 (ZAP).
"""

import contextlib
import logging
import os
import threading
import time
import typing

import zmq
from zmq.utils import z85

from persimmonspan import errors
from persimmonspan.connection import peer_keys
from persimmonspan.connection import peer_messages
from persimmonspan.process import gossip_state

# Waking up for each message costs several times as much as handling it, because
# the caches are cold. A change passes through at most three daemons, so that
# polling delays it by at most 0.6 s.
_POLL_INTERVAL_S = 0.2
TICK_INTERVAL_S = 0.2
_ZAP_ENDPOINT = "inproc://zeromq.zap.01"
_ZAP_DOMAIN = b"persimmonspan"
_ZAP_VERSION = b"1.0"
_MAX_QUEUED_MESSAGES = 256
_MAX_MESSAGE_BYTES = 32 * 1024 * 1024
_MIN_RECONNECT_INTERVAL_MS = 100
_MAX_RECONNECT_INTERVAL_MS = 2000
_HANDSHAKE_TIMEOUT_MS = 3000
# The ROUTER drops connections whose peer does not answer heartbeats.
_HEARTBEAT_INTERVAL_MS = 15_000
_MS_PER_S = 1000.0
_CURVE_OVERHEAD_BYTES = 35  # CURVE adds this to each frame.

_logger = logging.getLogger(__name__)


class Traffic(typing.NamedTuple):
    """Messages and bytes since the start, with CURVE but not TCP overhead."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0


class Batch(typing.NamedTuple):
    """Messages received in one poll, in order, and whether a tick is due."""

    received: tuple[gossip_state.MessageReceived, ...]
    is_tick: bool


LinkCommand = gossip_state.Send | gossip_state.OpenLink | gossip_state.CloseLink
Handle = typing.Callable[[Batch], list[LinkCommand]]


class Links:
    """Sockets to all peers and the thread that polls them.

    Args:
        address: Address and port to accept links on.
        keys: Key pair of this daemon.
        public_keys: Public key of each daemon.
        handle: Called with each batch on the polling thread; returns the
            commands to execute.
        count: Called with the reason of each counted event.
        is_blocked: Returns whether messages from and to a peer are dropped;
            tests and benchmarks use it to interrupt links.
    """

    def __init__(
            self,
            address: str,
            keys: peer_keys.KeyPair,
            public_keys: dict[str, str],
            handle: Handle,
            count: typing.Callable[[str], None],
            is_blocked: typing.Callable[[str],
                                        bool] = lambda peer: False) -> None:
        self.traffic = Traffic()
        self._keys = keys
        self._handle = handle
        self._count = count
        self._is_blocked = is_blocked
        self._peers_by_key: dict[bytes, str] = {}
        self._public_keys: dict[str, str] = {}
        self.set_public_keys(public_keys)
        self._dealers_by_peer: dict[str, zmq.Socket] = {}
        self._peers_by_dealer: dict[zmq.Socket, str] = {}
        self._routes_by_peer: dict[str, bytes] = {}
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK)
        self._is_stopping = False
        self._stop_lock = threading.Lock()
        self._context = zmq.Context()
        self._context.set(zmq.MAX_SOCKETS, 4096)
        self._poller = zmq.Poller()
        self._wake_poller = zmq.Poller()
        self._wake_poller.register(self._wake_fd, zmq.POLLIN)
        self._zap = self._context.socket(zmq.REP)
        self._zap.linger = 0
        self._zap.bind(_ZAP_ENDPOINT)
        self._router = self._make_router(address)
        self._poller.register(self._zap, zmq.POLLIN)
        self._poller.register(self._router, zmq.POLLIN)
        self._thread = threading.Thread(target=self._run,
                                        name="peer-links",
                                        daemon=True)

    def start(self) -> None:
        """Starts the polling thread."""
        self._thread.start()

    def stop(self) -> None:
        """Closes all links and ends the thread."""
        with self._stop_lock:
            if self._is_stopping:
                return
            os.eventfd_write(self._wake_fd, 1)
            self._is_stopping = True
        self._thread.join()
        os.close(self._wake_fd)

    def set_public_keys(self, public_keys: dict[str, str]) -> None:
        """Replaces the accepted keys; messages of other peers are dropped."""
        self._public_keys = dict(public_keys)
        self._peers_by_key = {
            z85.decode(key): name for name, key in public_keys.items()
        }

    def wake(self) -> None:
        """Makes the polling thread call `handle` at once."""
        with self._stop_lock:
            if not self._is_stopping:
                os.eventfd_write(self._wake_fd, 1)

    def _make_router(self, address: str) -> zmq.Socket:
        router = self._context.socket(zmq.ROUTER)
        _set_common_options(router, self._keys)
        router.curve_server = True
        router.zap_domain = _ZAP_DOMAIN
        router.router_mandatory = True
        router.heartbeat_ivl = _HEARTBEAT_INTERVAL_MS
        router.heartbeat_timeout = _HEARTBEAT_INTERVAL_MS
        try:
            router.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            raise errors.ConfigurationError(
                errors.Code.BAD_REQUEST,
                f"--peer-address {address}: {error}") from error
        return router

    def _run(self) -> None:
        next_tick_s = next_poll_s = time.monotonic()
        while not self._is_stopping:
            wait_s = max(0.0, next_poll_s - time.monotonic())
            if self._wake_poller.poll(wait_s * _MS_PER_S):
                os.eventfd_read(self._wake_fd)
            next_poll_s = time.monotonic() + _POLL_INTERVAL_S
            received: list[gossip_state.MessageReceived] = []
            for socket, _ in self._poller.poll(0):
                if socket is self._zap:
                    self._authenticate()
                elif socket is self._router:
                    self._drain_router(received)
                else:
                    self._drain_dealer(socket, received)
            now_s = time.monotonic()
            is_tick = now_s >= next_tick_s
            if is_tick:
                next_tick_s = max(next_tick_s, now_s - TICK_INTERVAL_S)
                next_tick_s += TICK_INTERVAL_S
            try:
                for command in self._handle(Batch(tuple(received), is_tick)):
                    self._execute_command(command)
            except Exception:  # pylint: disable=broad-exception-caught
                # One invalid address or event must not end all links.
                self._count("peer_thread_failed")
                _logger.exception("handling a batch of peer messages failed")
        self._context.destroy(linger=0)

    def _authenticate(self) -> None:
        with contextlib.suppress(zmq.Again):
            while True:
                frames = self._zap.recv_multipart(zmq.NOBLOCK)
                name = self._peers_by_key.get(
                    frames[6]) if len(frames) > 6 else None
                status, text = (b"200", b"OK")
                if name is None:
                    status, text = (b"400", b"unknown key")
                    self._count("peer_key_refused")
                self._zap.send_multipart([
                    _ZAP_VERSION, frames[1], status, text, (name or
                                                            "").encode(), b""
                ])

    def _drain_router(self,
                      received: list[gossip_state.MessageReceived]) -> None:
        with contextlib.suppress(zmq.Again):
            while True:
                frames = self._router.recv_multipart(zmq.NOBLOCK, copy=False)
                peer = str(frames[-1].get("User-Id"))
                if peer in self._public_keys and not self._is_blocked(peer):
                    self._routes_by_peer[peer] = frames[0].bytes
                self._receive_message(peer, frames[-1].bytes, received)

    def _drain_dealer(self, socket: zmq.Socket,
                      received: list[gossip_state.MessageReceived]) -> None:
        with contextlib.suppress(zmq.Again):
            while True:
                data = socket.recv_multipart(zmq.NOBLOCK)[-1]
                self._receive_message(self._peers_by_dealer[socket], data,
                                      received)

    def _receive_message(self, peer: str, data: bytes,
                         received: list[gossip_state.MessageReceived]) -> None:
        if peer not in self._public_keys or self._is_blocked(peer):
            return
        self.traffic = self.traffic._replace(
            received_messages=self.traffic.received_messages + 1,
            received_bytes=self.traffic.received_bytes + len(data) +
            _CURVE_OVERHEAD_BYTES)
        try:
            received.append(
                gossip_state.MessageReceived(peer, peer_messages.decode(data)))
        except peer_messages.PeerMessageError as error:
            self._count("peer_message_malformed")
            _logger.warning("peer sent a malformed message",
                            extra={
                                "peer": peer,
                                "reason": str(error)
                            })

    def _execute_command(self, command: LinkCommand) -> None:
        if isinstance(command, gossip_state.Send):
            data = peer_messages.encode(command.message)
            for peer in command.peers:
                self._send_to_peer(peer, data)
        elif isinstance(command, gossip_state.OpenLink):
            self._open_link(command)
        else:
            self._close_link(command.peer)

    def _send_to_peer(self, peer: str, data: bytes) -> None:
        if self._is_blocked(peer) or peer not in self._public_keys:
            return
        if not self._send_over_dealer(
                peer, data) and not self._send_over_router(peer, data):
            self.traffic = self.traffic._replace(
                dropped_messages=self.traffic.dropped_messages + 1)
            return
        self.traffic = self.traffic._replace(
            sent_messages=self.traffic.sent_messages + 1,
            sent_bytes=self.traffic.sent_bytes + len(data) +
            _CURVE_OVERHEAD_BYTES)

    def _send_over_dealer(self, peer: str, data: bytes) -> bool:
        dealer = self._dealers_by_peer.get(peer)
        if dealer is None:
            return False
        try:
            dealer.send(data, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def _send_over_router(self, peer: str, data: bytes) -> bool:
        route = self._routes_by_peer.get(peer)
        if route is None:
            return False
        try:
            self._router.send_multipart([route, data], zmq.NOBLOCK)
        except zmq.Again:
            return False
        except zmq.ZMQError:  # The connection of the route has ended.
            del self._routes_by_peer[peer]
            return False
        return True

    def _open_link(self, command: gossip_state.OpenLink) -> None:
        self._close_link(command.peer)
        public_key = self._public_keys.get(command.peer)
        if public_key is None:
            self._count("peer_key_unknown")
            return
        dealer = self._context.socket(zmq.DEALER)
        _set_common_options(dealer, self._keys)
        dealer.curve_serverkey = public_key.encode()
        dealer.immediate = True
        dealer.reconnect_ivl = _MIN_RECONNECT_INTERVAL_MS
        dealer.reconnect_ivl_max = _MAX_RECONNECT_INTERVAL_MS
        dealer.connect(f"tcp://{command.address}")
        self._dealers_by_peer[command.peer] = dealer
        self._peers_by_dealer[dealer] = command.peer
        self._poller.register(dealer, zmq.POLLIN)

    def _close_link(self, peer: str) -> None:
        dealer = self._dealers_by_peer.pop(peer, None)
        if dealer is not None:
            del self._peers_by_dealer[dealer]
            self._poller.unregister(dealer)
            dealer.close(linger=0)


def _set_common_options(socket: zmq.Socket, keys: peer_keys.KeyPair) -> None:
    socket.linger = 0
    socket.sndhwm = _MAX_QUEUED_MESSAGES
    socket.rcvhwm = _MAX_QUEUED_MESSAGES
    socket.maxmsgsize = _MAX_MESSAGE_BYTES
    socket.handshake_ivl = _HANDSHAKE_TIMEOUT_MS
    socket.curve_publickey = keys.public_key.encode()
    socket.curve_secretkey = keys.secret_key.encode()
