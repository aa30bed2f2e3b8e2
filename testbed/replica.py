"""Stand-in for a replica that speaks the platform's protocol.

A script responds to each request: a function of the parsed request that yields
the bytes for the connection. Tests use scripts to end a response early, to
reset the connection or to respond twice, for example.
"""

import collections.abc
import contextlib
import socket
import struct
import threading
import typing

_READ_BYTES = 65536
# Connections that fill the queue of a listener, and the time that each one may
# take if there is room.
_MAX_FILLERS = 8
_FILLER_TIMEOUT_S = 0.03
_LINGER_RESET = struct.pack("ii", 1, 0)


class Request(typing.NamedTuple):
    """A received request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Id of the caller's attempt."""
        return self.headers.get("x-attempt-id", "")


class ConnectionReset:
    """Script item that resets the connection."""


Script = collections.abc.Callable[[Request],
                                  collections.abc.Iterable[bytes |
                                                           ConnectionReset]]


def response_head(request: Request, status: int, *lines: str) -> bytes:
    """Returns the head of a signed response, with the empty line at its end."""
    fields = [
        f"HTTP/1.1 {status} Status", f"X-Attempt-Id: {request.id}",
        "X-Response-Signature: signed", *lines
    ]
    return "\r\n".join(fields).encode() + b"\r\n\r\n"


def complete_response(request: Request,
                      body: bytes,
                      status: int = 200,
                      lines: tuple[str, ...] = ()) -> bytes:
    """Returns a complete signed response."""
    return response_head(request, status, f"Content-Length: {len(body)}", *
                         lines) + body


def not_run(request: Request) -> bytes:
    """Returns the response of a replica that is full."""
    return complete_response(request, b"", 503, ("X-Not-Executed: 1",))


def turn_away(request: Request, retry_after: str) -> bytes:
    """Returns the response of a replica that wants nothing for a time."""
    return complete_response(
        request, b"", 503, ("X-Not-Executed: 1", f"Retry-After: {retry_after}"))


def event_chunk(number: int) -> bytes:
    """Returns an event as a chunk of a streamed body."""
    data = f"id: {number}\ndata: t{number}\n\n".encode()
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream_head(request: Request) -> bytes:
    """Returns the head of a streamed response."""
    return response_head(request, 200, "Transfer-Encoding: chunked",
                         "Content-Type: text/event-stream")


STREAM_END = b"0\r\n\r\n"
LEAVING = "Server-Leaving"
_LEAVING_LINE = f"\r\n{LEAVING}: 1\r\n".encode()


class Replica:
    """A listening replica and the requests that it received.

    Like most replicas it drops a run when its connection closes: it answers
    calls that stop one with 404, unless `stop_script` responds to them.
    """

    def __init__(self, script: Script) -> None:
        self.requests: list[Request] = []  # Without calls that stop a run.
        self.script = script
        self.stop_script: Script | None = None
        self.is_stopped = False
        self.is_leaving = False  # Said in all answers.
        self.greeting = b""  # Sent before the first request is read.
        self._reachable = threading.Event()
        self._reachable.set()
        self._fillers: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator["Replica"]:
        """Serves until the block ends."""
        thread = threading.Thread(target=self._accept, daemon=True)
        thread.start()
        try:
            yield self
        finally:
            self.stop()
            thread.join()

    def stop(self) -> None:
        """Stops accepting connections."""
        self.unblock()
        self.is_stopped = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def block(self) -> None:
        """Lets new connections wait, like those to a host out of reach."""
        self._reachable.clear()
        self._listener.listen(0)
        for _ in range(_MAX_FILLERS):
            filler = socket.socket()
            self._fillers.append(filler)
            filler.settimeout(_FILLER_TIMEOUT_S)
            try:
                filler.connect(self._listener.getsockname())
            except TimeoutError:
                return

    def unblock(self) -> None:
        """Ends the effect of `block`."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if not self._reachable.is_set():
            self._listener.listen()
            self._reachable.set()

    def _respond(
            self, request: Request
    ) -> collections.abc.Iterable[bytes | ConnectionReset]:
        if _stops_run(request):
            return (self.stop_script or _no_run)(request)
        self.requests.append(request)
        return self.script(request)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._reachable.wait()
            threading.Thread(target=self._serve,
                             args=(connection,),
                             daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.sendall(self.greeting)
            request = _read_request(connection)
            for part in self._respond(request):
                if isinstance(part, ConnectionReset):
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                          _LINGER_RESET)
                    return
                if self.is_leaving and part.startswith(b"HTTP/"):
                    part = part.replace(b"\r\n", _LEAVING_LINE, 1)
                connection.sendall(part)


def _stops_run(request: Request) -> bool:
    return (request.path == "/kv-move" and
            b'"latest"' in bytes(request.body).replace(b" ", b""))


def _no_run(request: Request) -> list[bytes]:
    return [complete_response(request, b"{}", 404)]


def _read_request(connection: socket.socket) -> Request:
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(_READ_BYTES)
        if not part:
            raise ConnectionError(
                "connection closed before the end of the headers")
        data += part
    head_lines, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head_lines.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    while len(body) < int(headers.get("content-length", 0)):
        body += connection.recv(_READ_BYTES)
    method, path, _ = first.split(" ")
    return Request(method, path, headers, body)
