"""TCP proxy on the loopback interface that simulates network faults.

It can silence established connections for good while new ones work, reset
connections, or delay their data. One thread serves all connections.
"""

import collections.abc
import contextlib
import selectors
import socket
import struct
import threading
import time
import typing

_POLL_S = 0.02
_READ_BYTES = 64 * 1024
_LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close sends a reset.


class _Direction(typing.NamedTuple):
    """One direction of a connection."""

    source: socket.socket
    sink: socket.socket
    connection: "_Connection"


class _Connection:
    """One connection: both sockets and the delayed data."""

    def __init__(self, client: socket.socket, target: socket.socket) -> None:
        self.sockets = (client, target)
        self.is_silent = False
        self.delayed_chunks: collections.abc.MutableSequence[tuple[
            float, socket.socket, bytes]] = []


class Proxy:
    """A TCP proxy to one target port."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._listener.setblocking(False)
        self.port: int = self._listener.getsockname()[1]
        self.delay_s = 0.0
        self._connections: set[_Connection] = set()
        self._lock = threading.Lock()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._is_stopped = False
        self._thread = threading.Thread(target=self._forward_until_stopped)

    def silence_connections(self) -> int:
        """Silences the established connections; returns their number."""
        with self._lock:
            for connection in self._connections:
                connection.is_silent = True
            return len(self._connections)

    def reset_connections(self) -> int:
        """Resets the established connections; returns their number."""
        with self._lock:
            connections = list(self._connections)
            for connection in connections:
                self._close(connection, is_reset=True)
            return len(connections)

    def start(self) -> None:
        """Starts forwarding."""
        self._thread.start()

    def stop(self) -> None:
        """Stops forwarding and resets all connections."""
        self._is_stopped = True
        self._thread.join()
        self.reset_connections()
        self._selector.close()
        self._listener.close()

    def _forward_until_stopped(self) -> None:
        while not self._is_stopped:
            ready = self._selector.select(_POLL_S)
            with self._lock:
                for key, _ in ready:
                    if key.data is None:
                        self._accept()
                    elif key.data.connection in self._connections:
                        self._forward(key.data)
                self._send_delayed()

    def _accept(self) -> None:
        client, _ = self._listener.accept()
        try:
            target = socket.create_connection(("127.0.0.1", self._target_port),
                                              timeout=1.0)
        except OSError:
            client.close()
            return
        connection = _Connection(client, target)
        for source, sink in ((client, target), (target, client)):
            self._selector.register(source, selectors.EVENT_READ,
                                    _Direction(source, sink, connection))
        self._connections.add(connection)

    def _forward(self, direction: _Direction) -> None:
        if direction.connection.is_silent:
            # A half-open connection: nothing is read and no close is forwarded.
            self._selector.unregister(direction.source)
            return
        try:
            data = direction.source.recv(_READ_BYTES)
        except OSError:
            data = b""
        if not data:
            self._close(direction.connection)
        elif self.delay_s:
            direction.connection.delayed_chunks.append(
                (time.monotonic() + self.delay_s, direction.sink, data))
        else:
            self._send(direction.connection, direction.sink, data)

    def _send_delayed(self) -> None:
        now_s = time.monotonic()
        for connection in list(self._connections):
            while connection.delayed_chunks and connection.delayed_chunks[0][
                    0] <= now_s:
                _, sink, data = connection.delayed_chunks.pop(0)
                if not connection.is_silent:
                    self._send(connection, sink, data)

    def _send(self, connection: _Connection, sink: socket.socket,
              data: bytes) -> None:
        try:
            sink.sendall(data)
        except OSError:
            self._close(connection)

    def _close(self, connection: _Connection, is_reset: bool = False) -> None:
        self._connections.discard(connection)
        for sock in connection.sockets:
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(sock)
            if is_reset:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                    _LINGER_RESET)
            sock.close()


@contextlib.contextmanager
def running(target_port: int) -> collections.abc.Iterator[Proxy]:
    """Runs a proxy until the block ends."""
    proxy = Proxy(target_port)
    proxy.start()
    try:
        yield proxy
    finally:
        proxy.stop()
