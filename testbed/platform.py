"""Stand-in for the platform: table service, object store, VM list, weights.

All state is in the memory of one process. Faults are set by flags and by
`POST /fault` with a `FaultDocument`; each field that is present replaces the
current value. `GET /stats` returns the number of reads and writes per client;
the header `X-Client` names the client.
"""

import argparse
import bisect
import collections
import collections.abc
import functools
import http
import random
import threading
import time
import typing

import msgspec
from cheroot import server

from persimmonspan.connection import store_era
from persimmonspan.connection import table_service
from persimmonspan.connection import vm_list

_THREADS = 48
_MS_PER_S = 1000.0
_WEIGHT_CHUNK_BYTES = 64 * 1024
_UNTHROTTLED_RATE_PER_S = 1e9
_MAX_RESTORED_S = 60.0


class FaultDocument(typing.TypedDict, total=False):
    """Faults of the stand-in.

    The stand-in refuses all requests for `down_s` and delays each response by
    `delay_ms`. `lost_answers` is the share of writes that take effect without a
    response. `late_writes` is the share of writes that take effect only after
    `late_ms` and get no response, as if the client had timed out. `restored_s`
    returns table and objects to their content of that many seconds ago, at most
    60, and starts a new era.
    """

    down_s: float
    delay_ms: float
    lost_answers: float
    late_writes: float
    late_ms: float
    writes_per_s: float
    reads_per_s: float
    restored_s: float


class Throttle:
    """Token bucket that holds the tokens of one second."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._last_s = time.monotonic()

    def try_acquire(self) -> bool:
        """Takes a token; returns whether one was available."""
        now_s = time.monotonic()
        self._tokens = min(
            self._rate_per_s,
            self._tokens + (now_s - self._last_s) * self._rate_per_s)
        self._last_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class History:
    """How to undo the writes of the last `_MAX_RESTORED_S`."""

    def __init__(self) -> None:
        self._undo: collections.deque[tuple[float, collections.abc.Callable[
            [], None]]] = collections.deque()

    def record(self, undo: collections.abc.Callable[[], None]) -> None:
        """Records how to undo a write of this moment."""
        now_s = time.monotonic()
        while self._undo and self._undo[0][0] < now_s - _MAX_RESTORED_S:
            self._undo.popleft()
        self._undo.append((now_s, undo))

    def restore(self, age_s: float) -> None:
        """Undoes the writes of the last `age_s`, the newest first."""
        since_s = time.monotonic() - age_s
        while self._undo and self._undo[-1][0] >= since_s:
            self._undo.pop()[1]()


class Table:
    """Rows with versions; no two transactions of an era have the same one."""

    def __init__(self, history: History | None = None) -> None:
        self._history = history or History()
        self._rows: dict[str, table_service.RowDocument] = {}
        self._keys: list[str] = []
        self._version = 0

    def transact(
        self, body: table_service.TransactDocument
    ) -> tuple[int, list[table_service.RowDocument]]:
        """Applies a transaction if each checked row has the expected version.

        Returns:
            The new version, or 0 and the rows that conflict.
        """
        conflicts = [
            row for check, row in zip(
                body["checks"],
                self.read([check["key"] for check in body["checks"]]))
            if row["version"] != check["version"]
        ]
        if conflicts:
            return 0, conflicts
        changed = {item["key"] for item in body["puts"]} | set(body["deletes"])
        self._history.record(
            functools.partial(self._revert, self._version,
                              {key: self._rows.get(key) for key in changed}))
        self._version += 1
        for put in body["puts"]:
            if put["key"] not in self._rows:
                bisect.insort(self._keys, put["key"])
            self._rows[put["key"]] = table_service.RowDocument(
                key=put["key"],
                value=put["value"],
                version=self._version,
                write_id=body["write_id"])
        for key in body["deletes"]:
            if self._rows.pop(key, None) is not None:
                self._keys.pop(bisect.bisect_left(self._keys, key))
        return self._version, []

    def _revert(self, version: int,
                rows: dict[str, table_service.RowDocument | None]) -> None:
        self._version = version
        for key, row in rows.items():
            self._rows.pop(key, None)
            if row is not None:
                self._rows[key] = row
        self._keys = sorted(self._rows)

    def read(self, keys: list[str]) -> list[table_service.RowDocument]:
        """Returns one row per key; absent rows have version 0."""
        return [
            self._rows.get(key) or
            table_service.RowDocument(key=key, value="", version=0, write_id="")
            for key in keys
        ]

    def scan(
            self, body: table_service.ScanDocument
    ) -> list[table_service.RowDocument]:
        """Returns the rows with the prefix among `limit` keys after `after`."""
        start = max(bisect.bisect_left(self._keys, body["prefix"]),
                    bisect.bisect_right(self._keys, body["after"]))
        keys = self._keys[start:start + body["limit"]]
        return [
            self._rows[key] for key in keys if key.startswith(body["prefix"])
        ]


class Platform:
    """State and faults of the stand-in."""

    def __init__(self, fault: FaultDocument, vm_lag_s: float, weight_bytes: int,
                 weight_bytes_per_s: float, seed: int) -> None:
        self.lock = threading.Lock()
        self.weight_lock = threading.Lock()
        self.era = 0
        self._history = History()
        self.table = Table(self._history)
        self.objects: dict[str, bytes] = {}
        self.weight_bytes = weight_bytes
        self.weight_bytes_per_s = weight_bytes_per_s
        self.fault: FaultDocument = {}
        self._stats: dict[str, dict[str, int]] = {}
        self._vms: list[tuple[float, list[vm_list.VmDocument]]] = [(0.0, [])]
        self._vm_lag_s = vm_lag_s
        self._down_until_s = 0.0
        self._rng = random.Random(seed)
        self._throttles = {
            "reads": Throttle(_UNTHROTTLED_RATE_PER_S),
            "writes": Throttle(_UNTHROTTLED_RATE_PER_S)
        }
        self.set_fault(fault)

    def set_fault(self, fault: FaultDocument) -> None:
        """Replaces the faults that the document contains."""
        with self.lock:
            self.fault |= fault
            if "restored_s" in fault:
                self._history.restore(fault["restored_s"])
                self.era += 1
            if "down_s" in fault:
                self._down_until_s = time.monotonic() + fault["down_s"]
            for name in ("reads", "writes"):
                if f"{name}_per_s" in fault:
                    self._throttles[name] = Throttle(fault[f"{name}_per_s"])

    def put_object(self, name: str, data: bytes) -> None:
        """Stores an object."""
        with self.lock:
            if name in self.objects:
                undo = functools.partial(self.objects.__setitem__, name,
                                         self.objects[name])
            else:
                undo = functools.partial(self.objects.pop, name, None)
            self._history.record(undo)
            self.objects[name] = data

    def is_down(self) -> bool:
        """Returns whether the stand-in refuses requests now."""
        return time.monotonic() < self._down_until_s

    def admit(self, client: str, operation: str) -> bool:
        """Counts an operation; returns whether the throttle admits it."""
        with self.lock:
            counts = self._stats.setdefault(client, {})
            counts[operation] = counts.get(operation, 0) + 1
            is_admitted = self._throttles[operation].try_acquire()
            if not is_admitted:
                name = f"{operation}_throttled"
                counts[name] = counts.get(name, 0) + 1
            return is_admitted

    def draw_fault(self, name: str) -> bool:
        """Draws at random whether a fault occurs, by its configured share."""
        with self.lock:
            return self._rng.random() < self.fault.get(name, 0.0)

    def stats(self) -> dict[str, dict[str, int]]:
        """Returns the number of operations per client."""
        with self.lock:
            return {client: dict(item) for client, item in self._stats.items()}

    def set_vms(self, vms: list[vm_list.VmDocument]) -> None:
        """Sets the VM list that readers see after the lag."""
        with self.lock:
            self._vms.append((time.monotonic() + self._vm_lag_s, vms))

    def vms(self) -> list[vm_list.VmDocument]:
        """Returns the VM list that readers see now."""
        with self.lock:
            now_s = time.monotonic()
            return [
                vms for visible_from_s, vms in self._vms
                if visible_from_s <= now_s
            ][-1]


class _Request:
    """One HTTP request to the stand-in."""

    def __init__(self, request: server.HTTPRequest, state: Platform) -> None:
        self._request = request
        self._state = state
        self._path = request.path.decode()
        self._era = state.era
        self._client = request.inheaders.get(
            table_service.CLIENT_HEADER.encode(), b"-").decode()

    def respond(self) -> None:
        """Serves the request."""
        body = self._request.rfile.read()
        if self._path in ("/fault", "/stats", "/vms"):
            self._respond_to_control(body)
            return
        time.sleep(self._state.fault.get("delay_ms", 0.0) / _MS_PER_S)
        if self._state.is_down():
            self._send_json(http.HTTPStatus.SERVICE_UNAVAILABLE, {})
        elif self._path.startswith("/objects/"):
            self._respond_to_object(body)
        elif self._path == "/v1/vms":
            self._send_json(http.HTTPStatus.OK, {"vms": self._state.vms()})
        elif self._path.startswith("/v1/weights/"):
            self._stream_weights()
        elif self._path == "/v1/transact":
            self._respond_to_transact(body)
        elif self._path in ("/v1/read", "/v1/scan"):
            self._respond_to_read_or_scan(body)
        else:
            self._send_json(http.HTTPStatus.NOT_FOUND, {})

    def _respond_to_control(self, body: bytes) -> None:
        if self._path == "/fault":
            self._state.set_fault(msgspec.json.decode(body, type=FaultDocument))
        elif self._path == "/vms":
            self._state.set_vms(
                msgspec.json.decode(body, type=vm_list.VmListDocument)["vms"])
        self._send_json(http.HTTPStatus.OK, self._state.stats())

    def _respond_to_transact(self, body: bytes) -> None:
        document = msgspec.json.decode(body,
                                       type=table_service.TransactDocument)
        if not self._state.admit(self._client, "writes"):
            self._send_json(http.HTTPStatus.TOO_MANY_REQUESTS, {})
            return
        is_late = self._state.draw_fault("late_writes")
        if is_late:
            time.sleep(self._state.fault.get("late_ms", 0.0) / _MS_PER_S)
        with self._state.lock:
            self._era = self._state.era
            version, conflicts = self._state.table.transact(document)
        if is_late or self._state.draw_fault("lost_answers"):
            self._close_without_response()
        elif conflicts:
            self._send_json(http.HTTPStatus.CONFLICT, {"rows": conflicts})
        else:
            self._send_json(http.HTTPStatus.OK, {"version": version})

    def _respond_to_read_or_scan(self, body: bytes) -> None:
        if not self._state.admit(self._client, "reads"):
            self._send_json(http.HTTPStatus.TOO_MANY_REQUESTS, {})
            return
        with self._state.lock:
            self._era = self._state.era
            if self._path == "/v1/read":
                rows = self._state.table.read(
                    msgspec.json.decode(
                        body, type=table_service.ReadDocument)["keys"])
            else:
                rows = self._state.table.scan(
                    msgspec.json.decode(body, type=table_service.ScanDocument))
        self._send_json(http.HTTPStatus.OK, {"rows": rows})

    def _respond_to_object(self, body: bytes) -> None:
        name = self._path.removeprefix("/objects/")
        if self._request.method == b"PUT":
            self._state.put_object(name, body)
            self._send_json(http.HTTPStatus.OK, {})
        elif name in self._state.objects:
            self._send_bytes(http.HTTPStatus.OK, self._state.objects[name])
        else:
            self._send_json(http.HTTPStatus.NOT_FOUND, {})

    def _stream_weights(self) -> None:
        size = self._state.weight_bytes
        self._send_headers(http.HTTPStatus.OK, size)
        for start in range(0, size, _WEIGHT_CHUNK_BYTES):
            count = min(_WEIGHT_CHUNK_BYTES, size - start)
            with self._state.weight_lock:  # All readers share one network link.
                time.sleep(count / self._state.weight_bytes_per_s)
            self._request.write(bytes(count))

    def _close_without_response(self) -> None:
        """Closes the connection without a response."""
        self._request.sent_headers = True
        self._request.close_connection = True

    def _send_headers(self, status: http.HTTPStatus, size: int) -> None:
        self._request.status = f"{status.value} {status.phrase}".encode()
        self._request.outheaders = [(b"Content-Length", b"%d" % size),
                                    (store_era.HEADER.encode(),
                                     b"%d" % self._era)]
        self._request.ensure_headers_sent()

    def _send_json(self, status: http.HTTPStatus, body: object) -> None:
        self._send_bytes(status, msgspec.json.encode(body))

    def _send_bytes(self, status: http.HTTPStatus, data: bytes) -> None:
        self._send_headers(status, len(data))
        self._request.write(data)


def make_server(address: tuple[str, int], state: Platform) -> server.HTTPServer:
    """Returns a server for the stand-in."""

    class _Gateway(server.Gateway):

        def respond(self) -> None:
            """Serves one request."""
            _Request(self.req, state).respond()

    return server.HTTPServer(address, _Gateway, _THREADS, _THREADS)


def main() -> None:
    """Runs the platform stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    for name in ("down-s", "delay-ms", "lost-answers", "late-writes",
                 "late-ms"):
        parser.add_argument("--" + name, type=float, default=0.0)
    for name in ("writes-per-s", "reads-per-s"):
        parser.add_argument("--" + name,
                            type=float,
                            default=_UNTHROTTLED_RATE_PER_S)
    parser.add_argument("--vm-lag-s", type=float, default=2.0)
    parser.add_argument("--weight-bytes", type=int, default=1 << 20)
    parser.add_argument("--weight-bytes-per-s", type=float, default=1e8)
    parser.add_argument("--seed", type=int, default=0)
    options = vars(parser.parse_args())
    port = options.pop("port")
    fault = typing.cast(
        FaultDocument, {
            name: value
            for name, value in options.items()
            if name in FaultDocument.__annotations__
        })
    state = Platform(fault, options["vm_lag_s"], options["weight_bytes"],
                     options["weight_bytes_per_s"], options["seed"])
    make_server(("127.0.0.1", port), state).safe_start()


if __name__ == "__main__":
    main()
