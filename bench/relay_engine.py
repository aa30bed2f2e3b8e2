"""Engine for the relay benchmark: many timed streams on one thread.

It speaks the engine's wire format like `testbed.engine`, which needs a thread
per stream and would use up the processors that the relay is measured on. Each
token carries the time at which it was sent, on the monotonic clock that all
processes of a VM share.
"""

import argparse
import heapq
import itertools
import selectors
import socket
import time
import typing

import msgspec

from persimmonspan.connection import engine

_HEAD = (b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         b"Transfer-Encoding: chunked\r\n\r\n")
_NO_LOAD = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"
_READ_BYTES = 64 * 1024
_IDLE_S = 0.5


class _Stream(typing.NamedTuple):
    sock: socket.socket
    request: engine.GenerateDocument
    start_s: float
    interval_s: float


class _Engine:
    """State of the benchmark engine."""

    def __init__(self, port: int, tokens_per_s: float) -> None:
        self._interval_s = 1.0 / tokens_per_s
        self._selector = selectors.DefaultSelector()
        self._listening = socket.create_server(("127.0.0.1", port),
                                               backlog=1024)
        self._selector.register(self._listening, selectors.EVENT_READ)
        self._received: dict[socket.socket, bytes] = {}
        self._due: list[tuple[float, int, int, _Stream]] = []
        self._order = itertools.count()

    def run(self) -> None:
        """Serves until the process ends."""
        while True:
            wait_s = (max(0.0, self._due[0][0] -
                          time.monotonic()) if self._due else _IDLE_S)
            for key, _ in self._selector.select(wait_s):
                if key.fileobj is self._listening:
                    self._accept()
                else:
                    self._read(typing.cast(socket.socket, key.fileobj))
            self._send_due()

    def _accept(self) -> None:
        sock, _ = self._listening.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._received[sock] = b""
        self._selector.register(sock, selectors.EVENT_READ)

    def _read(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(_READ_BYTES)
        except OSError:
            data = b""
        if not data:
            self._close(sock)
            return
        self._received[sock] += data
        head, separator, body = self._received[sock].partition(b"\r\n\r\n")
        length = next((int(line.split(b":")[1])
                       for line in head.split(b"\r\n")
                       if line.lower().startswith(b"content-length:")), 0)
        if not separator or len(body) < length:
            return
        self._received[sock] = b""
        if b" /v1/generate " not in head:
            sock.sendall(_NO_LOAD)
            return
        request = msgspec.json.decode(body, type=engine.GenerateDocument)
        # The first token comes at once, the others at even intervals.
        stream = _Stream(sock, request, time.monotonic(), self._interval_s)
        heapq.heappush(self._due,
                       (stream.start_s, next(self._order), 0, stream))
        sock.sendall(_HEAD)

    def _send_due(self) -> None:
        now_s = time.monotonic()
        while self._due and self._due[0][0] <= now_s:
            due_s, _, index, stream = heapq.heappop(self._due)
            if stream.sock not in self._received:
                continue
            is_last = index + 1 >= stream.request["max_tokens"]
            event = engine.encode_token(
                engine.TokenDocument(r=stream.request["request_id"],
                                     g=stream.request["generation_id"],
                                     i=index,
                                     t=f"{time.monotonic():.6f}",
                                     f="length" if is_last else None))
            data = b"%x\r\n%b\r\n" % (len(event), event)
            try:
                stream.sock.sendall(data + (_LAST_CHUNK if is_last else b""))
            except OSError:
                self._close(stream.sock)
                continue
            if not is_last:
                heapq.heappush(self._due,
                               (due_s + stream.interval_s, next(
                                   self._order), index + 1, stream))
            now_s = time.monotonic()

    def _close(self, sock: socket.socket) -> None:
        if self._received.pop(sock, None) is not None:
            self._selector.unregister(sock)
        sock.close()


def main() -> None:
    """Runs the engine as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--tokens-per-s",
                        type=float,
                        required=True,
                        help="rate of each stream")
    parsed = parser.parse_args()
    _Engine(parsed.port, parsed.tokens_per_s).run()


if __name__ == "__main__":
    main()
