"""TCP pass-through on the loopback interface that commits link faults.

Established connections can go silent for good while new ones work, be cut with
a reset, or be delayed. One thread serves all connections.
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
_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close sends a reset.


class _Pipe(typing.NamedTuple):
    """One direction of a connection."""

    source: socket.socket
    sink: socket.socket
    link: "_Link"


class _Link:
    """One connection: both sockets and what is on its way."""

    def __init__(self, client: socket.socket, target: socket.socket) -> None:
        self.sockets = (client, target)
        self.is_silent = False
        self.delayed: collections.abc.MutableSequence[tuple[float,
                                                            socket.socket,
                                                            bytes]] = []


class Proxy:
    """A pass-through to one target port."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._listening = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._listening.setblocking(False)
        self.port: int = self._listening.getsockname()[1]
        self.delay_s = 0.0
        self._links: set[_Link] = set()
        self._lock = threading.Lock()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listening, selectors.EVENT_READ)
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run)

    def silence(self) -> int:
        """Makes established connections silent; returns how many."""
        with self._lock:
            for link in self._links:
                link.is_silent = True
            return len(self._links)

    def cut(self) -> int:
        """Resets established connections; returns how many."""
        with self._lock:
            links = list(self._links)
            for link in links:
                self._close(link, is_reset=True)
            return len(links)

    def start(self) -> None:
        """Starts to forward."""
        self._thread.start()

    def stop(self) -> None:
        """Ends all connections."""
        self._is_stopped = True
        self._thread.join()
        self.cut()
        self._selector.close()
        self._listening.close()

    def _run(self) -> None:
        while not self._is_stopped:
            ready = self._selector.select(_POLL_S)
            with self._lock:
                for key, _ in ready:
                    if key.data is None:
                        self._accept()
                    elif key.data.link in self._links:
                        self._forward(key.data)
                self._send_delayed()

    def _accept(self) -> None:
        client, _ = self._listening.accept()
        try:
            target = socket.create_connection(("127.0.0.1", self._target_port),
                                              timeout=1.0)
        except OSError:
            client.close()
            return
        link = _Link(client, target)
        for source, sink in ((client, target), (target, client)):
            self._selector.register(source, selectors.EVENT_READ,
                                    _Pipe(source, sink, link))
        self._links.add(link)

    def _forward(self, pipe: _Pipe) -> None:
        if pipe.link.is_silent:
            # A half-open connection: nothing is read, no end is passed on.
            self._selector.unregister(pipe.source)
            return
        try:
            data = pipe.source.recv(_READ_BYTES)
        except OSError:
            data = b""
        if not data:
            self._close(pipe.link)
        elif self.delay_s:
            pipe.link.delayed.append(
                (time.monotonic() + self.delay_s, pipe.sink, data))
        else:
            self._send(pipe.link, pipe.sink, data)

    def _send_delayed(self) -> None:
        now_s = time.monotonic()
        for link in list(self._links):
            while link.delayed and link.delayed[0][0] <= now_s:
                _, sink, data = link.delayed.pop(0)
                if not link.is_silent:
                    self._send(link, sink, data)

    def _send(self, link: _Link, sink: socket.socket, data: bytes) -> None:
        try:
            sink.sendall(data)
        except OSError:
            self._close(link)

    def _close(self, link: _Link, is_reset: bool = False) -> None:
        self._links.discard(link)
        for sock in link.sockets:
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(sock)
            if is_reset:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            sock.close()


@contextlib.contextmanager
def running(target_port: int) -> collections.abc.Iterator[Proxy]:
    """Runs a pass-through until the block ends."""
    proxy = Proxy(target_port)
    proxy.start()
    try:
        yield proxy
    finally:
        proxy.stop()
