"""A daemon process with low limits, and callers that misbehave towards it.

The store and the targets are stand-ins in this process. The number of callers
and of bytes is bounded, and each socket has a timeout.
"""

import collections.abc
import concurrent.futures
import contextlib
import http.client
import json
import os
import pathlib
import socket
import subprocess
import time
import typing
import unittest.mock

from testbed import edge_store
from testbed import edge_world
from testbed import processes
from testbed import replica

CALLERS = 48
_TIMEOUT_S = 4.0
# All senders together; each waits most of the time.
_SENDERS = 48
_BLOCK = b"z" * 65536
_LOCK_TIMEOUT_S = 400.0
_LOCK_INTERVAL_S = 0.2
_BYTES_PER_KB = 1024
# An ordinary caller repeats a request that was not run for so long.
_ORDINARY_TIMEOUT_S = 20.0
_ORDINARY_PAUSE_S = 0.2
_START_TIMEOUT_S = 20.0


class World(typing.NamedTuple):
    """A running daemon."""

    address: tuple[str, int]
    process: subprocess.Popen[bytes]

    def peak_memory_bytes(self) -> int:
        """Returns the peak of the resident memory of the daemon."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(
            "utf-8")
        line = next(
            line for line in text.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * _BYTES_PER_KB

    def open_descriptors(self) -> int:
        """Returns the number of open descriptors of the daemon."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def send_ordinary(self,
                      body: bytes = b"ordinary",
                      is_chunked: bool = False) -> int:
        """Sends a request until it is run; returns its last status, or 0."""
        end_s = time.monotonic() + _ORDINARY_TIMEOUT_S
        status = 0
        while status != 200 and time.monotonic() < end_s:
            connection = http.client.HTTPConnection(*self.address,
                                                    timeout=_TIMEOUT_S)
            with contextlib.closing(connection):
                try:
                    connection.request("POST",
                                       "/idempotent/1",
                                       _in_parts(body) if is_chunked else body,
                                       _HEADERS,
                                       encode_chunked=is_chunked)
                    response = connection.getresponse()
                    response.read()
                    status = response.status
                except (OSError, http.client.HTTPException):
                    status = 0
            if status != 200:
                time.sleep(_ORDINARY_PAUSE_S)
        return status


_HEADERS = {
    "Host": edge_world.HOST,
    "X-Attempt-Id": "r1",
    "X-Api-Key": "k",
    "X-Deadline-Ms": "4000"
}


def _in_parts(body: bytes) -> collections.abc.Iterator[bytes]:
    for start in range(0, len(body), len(_BLOCK)):
        yield body[start:start + len(_BLOCK)]


def head(*lines: str,
         path: str = "/idempotent/1",
         method: str = "POST") -> bytes:
    """Returns the head of a request with further header lines."""
    fields = [f"{name}: {value}" for name, value in _HEADERS.items()]
    return "\r\n".join([f"{method} {path} HTTP/1.1", *fields, *lines
                       ]).encode() + b"\r\n\r\n"


def blocks(size: int) -> collections.abc.Iterator[bytes]:
    """Yields so many bytes in blocks."""
    for start in range(0, size, len(_BLOCK)):
        yield _BLOCK[:min(len(_BLOCK), size - start)]


@contextlib.contextmanager
def crowd(
        world: World,
        parts: collections.abc.Callable[[int], collections.abc.Iterable[bytes]],
        callers: int = CALLERS,
        receive_buffer_bytes: int | None = None
) -> collections.abc.Iterator[None]:
    """Sends the parts of each caller, and keeps all connections open.

    A caller stops at a timeout or if its connection is closed, without reading
    any response. The block runs when all have stopped.

    Args:
        world: The daemon.
        parts: Returns what a caller sends, by its number.
        callers: Number of callers.
        receive_buffer_bytes: Size of their receive buffers, or None.
    """
    with contextlib.ExitStack() as stack:
        sockets = []
        for _ in range(callers):
            sock = stack.enter_context(socket.socket())
            if receive_buffer_bytes is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                receive_buffer_bytes)
            sock.settimeout(_TIMEOUT_S)
            sockets.append(sock)

        def send(number: int) -> None:
            with contextlib.suppress(OSError):
                sockets[number].connect(world.address)
                for part in parts(number):
                    sockets[number].sendall(part)

        with concurrent.futures.ThreadPoolExecutor(_SENDERS) as senders:
            for _ in senders.map(send, range(callers)):
                pass
        yield


@contextlib.contextmanager
def alone() -> collections.abc.Iterator[None]:
    """Runs the block while no other test holds this lock.

    Raises:
        TimeoutError: Another test held it for too long.
    """
    end_s = time.monotonic() + _LOCK_TIMEOUT_S
    with socket.socket(socket.AF_UNIX) as lock:
        while True:
            with contextlib.suppress(OSError):
                # The kernel frees the name even if this process is killed.
                lock.bind("\0persimmonspan-misbehaving-callers")
                break
            if time.monotonic() > end_s:
                raise TimeoutError("another test runs for too long")
            time.sleep(_LOCK_INTERVAL_S)
        yield


@contextlib.contextmanager
def running(folder: pathlib.Path,
            script: replica.Script,
            memory_mb: int,
            max_fds: int = 1024) -> collections.abc.Iterator[World]:
    """Runs a daemon and one target of each service until the block ends."""
    store = edge_store.Store()
    store.write("op", "config", edge_world.configuration())
    address = edge_world.free_address()
    readiness = edge_world.free_address()
    port = processes.free_port()
    settings = folder / "edge.json"
    settings.write_text(
        json.dumps({
            "nodeName": "edge-1",
            "ip": "127.0.0.1",
            "zone": "a",
            "listenersMap": {
                "frontend": address,
                "readiness": readiness
            },
            "platform": {
                "address": store.address
            },
            "portRange": [port, port],
            "limits": {
                "memoryMb": memory_mb,
                "maxFds": max_fds
            }
        }))
    with contextlib.ExitStack() as stack:
        for name, service in (("i-1", "desk"), ("i-2", "engines")):
            target = stack.enter_context(replica.Replica(script).running())
            store.write(
                "servers", name, {
                    "service": service,
                    "address": target.address,
                    "zone": "a",
                    "slots": 64,
                    "state": "ready",
                    "born": 1
                })
        stack.enter_context(store.running())
        stack.enter_context(
            unittest.mock.patch.dict(os.environ,
                                     {"PERSIMMONSPAN_CONFIG": str(settings)}))
        process = stack.enter_context(
            processes.running("persimmonspan.platform",
                              port=edge_world.split_address(readiness)[1]))
        world = World(edge_world.split_address(address), process)
        end_s = time.monotonic() + _START_TIMEOUT_S
        while world.send_ordinary() != 200:
            if time.monotonic() > end_s:
                raise TimeoutError("the daemon serves no request")
        yield world
