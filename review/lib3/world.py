"""Stand-ins of the platform's store, of replicas and of clients, for scripts.

All of them run in the process of the script, on loopback addresses. The
daemons are separate processes, started with the command of the deploy file.
The stand-ins speak what PROTOCOL.md says.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
ZONES = ("recife", "suape", "caruaru")
PREFILL_PER_S = 14_000  # Tokens of a prompt.
LINGER_RESET = struct.pack("ii", 1, 0)
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stabilityMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "downgradeSlackMs": 250, "outerMs": 5000,
    "strictRevocation": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "retryWindowS": 10, "retryBurst": 56, "recoveryS": 12, "iterationMs": 120,
    "reuseWindowS": 6.8
}


class Record:
    """The record of a run: one JSON object a line, with seconds since start."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w",
                          encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self):
        return round(time.monotonic() - self._began_s, 3)

    def write(self, what, **fields):
        line = json.dumps({"at_s": self.now_s(), "what": what} | fields)
        self._file.write(line + "\n")
        self._file.flush()


class Request:
    """A request that was read from a connection."""

    def __init__(self, method, path, headers, body):
        self.method, self.path = method, path
        self.headers, self.body = headers, body

    @property
    def id(self):
        return self.headers.get("x-attempt-id", "")


async def read_head(reader):
    """Returns the first line and the headers, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, path, _ = head[0].split(" ")
    length = int(head[1].get("content-length", 0))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, path, head[1], body)


def answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: rows with versions from a single counter."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # By table and key: data and version; None is dropped.
        self.version = 1
        self.changed = asyncio.Condition()
        self.began_s = time.monotonic()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def write(self, table, key, document, quiet=False):
        """Writes a row as the operator or a replica does; None drops it."""
        data = None if document is None else json.dumps(document).encode()
        await self._apply([(table, key, data)])
        if not quiet:
            self.record.write("store acknowledged", row=f"{table}/{key}",
                              data=document)

    async def _apply(self, rows):
        async with self.changed:
            self.version += 1
            for table, key, data in rows:
                self.rows[table, key] = data, self.version
            self.changed.notify_all()

    def _select(self, table, since, with_dropped):
        return [(key, data, version)
                for (name, key), (data, version) in sorted(self.rows.items())
                if name == table and version > since and
                (with_dropped or data is not None)]

    def _encode(self, table, rows):
        encoded = []
        for key, data, version in rows:
            row = {"tableName": table, "part": "", "key": key,
                   "schemaVersion": version}
            if data is None:
                row["deleted"] = True
            else:
                row["data"] = base64.b64encode(data).decode()
            encoded.append(row)
        return encoded

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(0.004)
                status, document = await self._answer(request)
                document |= {
                    "schemaVersion": self.version,
                    "serverTimeMs":
                        int((time.monotonic() - self.began_s) * 1000)
                }
                writer.write(answer(status, json.dumps(document).encode(),
                                    [("Content-Type", "application/json")]))
                await writer.drain()
        writer.close()

    async def _answer(self, request):
        path, _, text = request.path.partition("?")
        query = dict(part.partition("=")[::2] for part in text.split("&"))
        if path == "/rows-tx":
            return await self._change(json.loads(request.body))
        table = query.get("tableName", "")
        if path == "/rows-get":
            rows = self._select(table, 0, False)
            first, end = query.get("startKey", ""), query.get("to", "")
            rows = [row for row in rows
                    if row[0] >= first and (not end or row[0] < end)]
            return 200, {"rows": self._encode(table, rows), "hasMore": False}
        if path == "/rows-feed":
            since = int(query["sinceRevision"])
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(
                        self.changed.wait_for(
                            lambda: self._select(table, since, True)),
                        int(query["waitMs"]) / 1000)
            rows = sorted(self._select(table, since, True),
                          key=lambda row: row[2])
            return 200, {"rows": self._encode(table, rows)}
        return 404, {}

    async def _change(self, document):
        wanted = [(row["tableName"], row["key"], row["schemaVersion"])
                  for row in document["expectedRevision"]]
        for table, key, version in wanted:
            data, current = self.rows.get((table, key), (None, 0))
            if (0 if data is None else current) != version:
                return 412, {"rows": []}
        rows = [(row["tableName"], row["key"], base64.b64decode(row["data"]))
                for row in document["write"]]
        rows += [(row["tableName"], row["key"], None)
                 for row in document["remove"]]
        if any(table in ("op", "servers") for table, _, _ in rows):
            return 403, {}
        await self._apply(rows)
        return 200, {}


class Replica:
    """Base of the stand-ins of replicas: listens, registers, keeps a log."""

    def __init__(self, world, name, service, slots):
        self.world, self.record = world, world.record
        self.name, self.service, self.slots = name, service, slots
        self.state = "ready"
        self.zone = ZONES[0]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = {}
        self.writers = set()
        self.is_silent_beat = False

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0,
                                                 backlog=512)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        await self.register()
        self._beat = asyncio.create_task(self._keep_registered())

    async def _keep_registered(self):
        while True:
            await asyncio.sleep(1.2)
            if not self.is_silent_beat:
                await self.register(quiet=True)

    async def register(self, quiet=False):
        self.sequence += 1
        await self.world.store.write(
            "servers", self.name, {
                "service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "coldRemainingMs": 0, "phase": "mixed",
                "modelList": [{"name": "m", "version": 1, "loras": []}],
                "born": self.born, "sequence": self.sequence
            }, quiet)

    async def drain(self):
        """Reports `draining`; returns when the store has accepted it."""
        self.state = "draining"
        await self.register()

    async def leave(self):
        """Ends: the entry goes, and all connections are reset."""
        self._beat.cancel()
        await self.world.store.write("servers", self.name, None)
        await self.crash()

    async def crash(self):
        """Ends at once and sends nothing; its entry lapses later."""
        self._beat.cancel()
        self._lapse = asyncio.create_task(self._drop_entry())
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.running.clear()
        self.record.write("replica ended", replica=self.name)

    async def _drop_entry(self):
        await asyncio.sleep(3 * 1.2)
        await self.world.store.write("servers", self.name, None)

    def load(self):
        return f"{min(len(self.running), self.slots)},0,{self.slots}"

    def head(self, request, status, *headers):
        lines = [f"HTTP/1.1 {status} Status", f"X-Attempt-Id: {request.id}",
                 f"X-Response-Signature: {self.name}.{request.id}",
                 f"X-Instance-Load: {self.load()}", *headers]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def refuse(self, request, status=503):
        self.record.write("refused by replica", replica=self.name,
                          id=request.id, status=status)
        return self.head(request, status, "X-Not-Executed: 1",
                         "Content-Length: 0")

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._respond(request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _respond(self, request, reader, writer):
        if request.path == "/healthz":
            writer.write(answer(200 if self.state == "ready" else 503, b"",
                                [("X-Instance-Id", self.name),
                                 ("X-Instance-Load", self.load())]))
            return True
        if request.headers.get("x-expected-instance",
                               self.name) != self.name:
            writer.write(self.refuse(request, 421))
            return True
        return await self.respond(request, reader, writer)

    async def respond(self, request, reader, writer):
        raise NotImplementedError


def reset(writer):
    """Resets a connection."""
    with contextlib.suppress(OSError):
        writer.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


class Desk(Replica):
    """A plain service: works for a while and answers."""

    work_s = 0.03

    async def respond(self, request, reader, writer):
        if len(self.running) >= self.slots + 24:
            writer.write(self.refuse(request))
            return True
        self.running[request.id] = 0
        self.record.write("ran", replica=self.name, id=request.id,
                          path=request.path)
        await asyncio.sleep(self.work_s)
        self.running.pop(request.id, None)
        body = f"{self.name} {request.path}".encode()
        writer.write(
            self.head(request, 200, f"Content-Length: {len(body)}") + body)
        return True


class Engine(Replica):
    """A model replica. The path of a request ends with its number of events.

    `event_s` is the time between two events. Copies are kept by the attempt id
    (backups) or by a handle (moves); each holds the number of events in it.
    """

    event_s = 0.1
    first_s = 0.2
    kv_limit = 34371
    # Most replicas drop a request when its connection closes.
    drops_on_close = True

    def __init__(self, world, name, service, slots):
        super().__init__(world, name, service, slots)
        self.copies = {}
        self.handles = {}
        self.cut_at = {}  # Attempt id: event after which it is cut.
        self.seen = set()  # Attempt ids that began to run here.
        self.prompts = {}  # Their tokens, by attempt id.
        self.preempted = set()

    def tokens(self, name):
        return self.prompts[name] + 4 * self.running[name]

    def kv_in_use(self):
        return sum(
            self.tokens(name) for name in self.running
            if name not in self.preempted)

    async def await_memory(self, name):
        """Waits until a run has memory for its next event.

        When memory runs out, the newest run is preempted. It is read in again
        once there is room. All runs of the scripts are equally urgent.
        """
        while name in self.running:
            if name in self.preempted:
                if self.kv_in_use() + self.tokens(name) <= self.kv_limit:
                    self.preempted.discard(name)
                    await asyncio.sleep(self.tokens(name) / PREFILL_PER_S)
                    return
                await asyncio.sleep(0.02)
            elif self.kv_in_use() + 4 > self.kv_limit:
                newest = [other for other in self.running
                          if other not in self.preempted][-1]
                self.preempted.add(newest)
                self.record.write("preempted", replica=self.name, id=newest)
            else:
                return
        self.preempted.discard(name)

    async def respond(self, request, reader, writer):
        if request.path == "/report":
            writer.write(answer(200, json.dumps(self.report()).encode(),
                                [("Content-Type", "application/json")]))
            return True
        if request.path == "/kv-move":
            status, document = await self.move(json.loads(request.body))
            writer.write(answer(status, json.dumps(document).encode()))
            return True
        if request.path.startswith("/kv-handle/"):
            handle = request.path.rpartition("/")[2]
            for engine in self.world.engines:
                engine.copies.pop(f"{self.address}/{handle}", None)
            writer.write(answer(200))
            return True
        return await self.generate(request, reader, writer)

    def report(self):
        runs = [[name, self.tokens(name), made, 5]
                for name, made in self.running.items()
                if name not in self.preempted]
        document = {
            "phase": "mixed",
            "modelList": [{"name": "m", "version": 1, "loras": []}],
            "busy": False, "sequence": 0, "waiting": len(self.preempted),
            "running": len(runs), "kvInUse": self.kv_in_use(),
            "kvLimit": self.kv_limit,
            "sessions": len(self.copies), "state": self.state,
            "born": self.born, "executions": runs
        }
        if self.state == "draining":
            document["leaves_ms"] = 5000
        return document

    async def move(self, order):
        made = self.running.get(order["id"])
        if made is None:
            return 404, {}
        to = self.world.engine_at(order["to"])
        handle = f"h{len(self.handles) + 1}"
        self.handles[handle] = order["id"]
        if order.get("latest"):
            self.stop(order["id"])
            # The memory of a stopped run stays here too.
            self.copies[f"{self.address}/{handle}"] = order["id"]
        await asyncio.sleep(0.2)
        if to is None:
            return 503, {"session": handle, "created": made}
        to.copies[f"{self.address}/{handle}"] = order["id"]
        self.record.write("copied", source=self.name, to=to.name,
                          id=order["id"], latest=bool(order.get("latest")))
        return 200, {"session": handle, "created": made}

    def stop(self, request_id):
        self.running.pop(request_id, None)
        self.record.write("stopped", replica=self.name, id=request_id)

    async def generate(self, request, reader, writer):
        source = request.headers.get("kv-from")
        begin = int(request.headers.get("last-event-id") or 0)
        if source is not None and self.copies.pop(source, None) != request.id:
            writer.write(self.refuse(request))
            return True
        prompt = int(request.headers.get("x-token-usage", "0,0").split(",")[0])
        if (len(self.running) >= self.slots or self.preempted or
                self.kv_in_use() + prompt > self.kv_limit):
            writer.write(self.refuse(request))
            return True
        self.prompts[request.id] = prompt
        self.record.write(
            "begins", replica=self.name, id=request.id, path=request.path,
            after_event=begin, kv_from=source,
            backup=request.headers.get("x-kv-backup"),
            state=self.state)
        self.running[request.id] = begin
        self.seen.add(request.id)
        closed = asyncio.create_task(reader.read(1))
        backup = self.world.engine_at(request.headers.get("x-kv-backup"))
        try:
            await self._generate(request, writer, closed, begin, backup)
        finally:
            closed.cancel()
        return False

    async def _generate(self, request, writer, closed, begin, backup):
        total = int(request.path.rpartition("/")[2])
        is_connected = True
        location = f"{backup.address}/{request.id}" if backup else ""
        await asyncio.sleep(self.first_s)
        for number in range(begin + 1, total + 1):
            await self.await_memory(request.id)
            if request.id not in self.running:
                writer.transport.abort()
                return
            if closed.done() and is_connected:
                is_connected = False
                self.record.write("connection closed", replica=self.name,
                                  id=request.id, events=number - 1)
                if self.drops_on_close:
                    self.running.pop(request.id, None)
                    self.record.write("dropped", replica=self.name,
                                      id=request.id)
                    return
            self.running[request.id] = number
            if is_connected:
                data = f"id: {number}\ndata: {request.id}.{number}\n\n"
                if number == begin + 1:
                    writer.write(self.head(request, 200,
                                           "Content-Type: text/event-stream",
                                           "Transfer-Encoding: chunked"))
                writer.write(f"{len(data):x}\r\n{data}\r\n".encode())
            if backup is not None:
                backup.copies[location] = request.id
            if self.cut_at.get(request.id) == number and is_connected:
                is_connected = False
                self.record.write("replica resets", replica=self.name,
                                  id=request.id, events=number)
                reset(writer)
                if self.drops_on_close:
                    self.running.pop(request.id, None)
                    return
            await asyncio.sleep(self.event_s)
        self.running.pop(request.id, None)
        self.record.write("ends", replica=self.name, id=request.id,
                          events=total)
        if backup is not None:
            backup.copies.pop(location, None)
        if is_connected:
            writer.write(b"0\r\n\r\n")
            await writer.drain()


class Daemon:
    """A daemon: a process started with the command of the deploy file."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.name = f"edge-{ZONES[number % 3]}-{number}"
        # Each daemon has an address of its own, with the same ports.
        self.ip = f"127.0.0.{10 + number}"
        self.process = None
        self.settings = {
            "nodeName": self.name, "role": "edge", "machineClass": "edge",
            "serves": ["edge"], "ip": self.ip, "zone": ZONES[number % 3],
            "region": "nordeste",
            "zones": {zone: "nordeste" for zone in ZONES},
            "listenersMap": {
                "frontend": f"{self.ip}:{world.port}",
                "readiness": f"{self.ip}:{world.port + 1}"
            },
            "portRange": [world.port + 2, world.port + 9],
            "seedNodes": [], "bootstrap": True, "faultCounted": False,
            "limits": {
                "cpuFraction": 0.537, "cpuCores": 2, "memoryMb": 300,
                "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0
            },
            "dataDir": None, "discovery": "platform",
            "entryPoint": "virtual_ip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "engine", "stream", "tenants",
                          "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": world.store.address, "form": "table",
                "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0,
                "partitionWritesS": 200, "rowBytes": 65536,
                "crossShard": False, "retentionS": 20, "blobBytes": 8388608,
                "blobMs": 25.0, "blobBwS": 80.0
            }
        }

    def start(self):
        path = pathlib.Path(self.world.folder) / f"{self.name}.json"
        path.write_text(json.dumps(self.settings), "utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PERSIMMONSPAN_CONFIG": str(path)
        }
        log = open(pathlib.Path(self.world.folder) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            ["python3", "-m", "persimmonspan.platform"], cwd=ROOT,
            env=environment, stdout=log, stderr=log)
        self.world.record.write("daemon started", daemon=self.name)

    def kill(self, number):
        self.world.record.write("signal", daemon=self.name,
                                signal=signal.Signals(number).name)
        os.kill(self.process.pid, number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.world.port + 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        except OSError:
            return False

    async def wait_ready(self, limit_s=20):
        end_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end_s or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Answer:
    """What a client saw of its request."""

    def __init__(self, request_id):
        self.id = request_id
        self.status = None
        self.body = b""
        self.is_complete = False
        self.end = ""  # How it ended.
        self.events = []

    def fields(self):
        return {"id": self.id, "status": self.status, "end": self.end,
                "is_complete": self.is_complete, "events": len(self.events)}


class World:
    """All stand-ins of one run, and the daemons."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.engines, self.desks, self.daemons = [], [], []
        self.attempts = 0
        self.port = free_ports()

    def engine_at(self, address):
        for engine in self.engines:
            if engine.address == address:
                return engine
        return None

    async def start(self, configuration, engines=(), desks=(), daemons=3):
        await self.store.start()
        await self.store.write("op", "config", configuration)
        for number, replica in enumerate((*engines, *desks)):
            replica.zone = ZONES[number % 3]
            await replica.start()
        self.engines, self.desks = list(engines), list(desks)
        self.daemons = [Daemon(self, number) for number in range(daemons)]
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()
        # All daemons have found each other, and none is disturbed.
        await asyncio.sleep(BOUNDS["stabilityMs"] / 1000 + 1)

    def end(self):
        for daemon in self.daemons:
            daemon.end()

    def new_id(self):
        self.attempts += 1
        return f"{self.attempts:016x}"

    async def ask(self, daemon, path, method="POST", body=b"x" * 200,
                  headers=(), deadline_ms=39000, patience_s=None,
                  leave=None):
        """Sends one request on a connection of its own; returns its answer.

        `patience_s` is the longest gap that the client bears in a stream.
        """
        result = Answer(self.new_id())
        reader, writer = await asyncio.open_connection(daemon.ip, self.port,
                                                       limit=1 << 20)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                 f"X-Attempt-Id: {result.id}", f"X-Api-Key: {KEY}",
                 f"X-Deadline-Ms: {deadline_ms}",
                 *(f"{name}: {value}" for name, value in headers)]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.record.write("sent", id=result.id, daemon=daemon.name, path=path)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" +
                     (body if method != "GET" else b""))
        try:
            await asyncio.wait_for(
                self._receive(reader, result, patience_s),
                deadline_ms / 1000 + 1)
        except asyncio.TimeoutError:
            result.end = "client left: no answer in its time"
        except ConnectionResetError:
            result.end = "reset"
        except (asyncio.IncompleteReadError, EOFError):
            result.end = "closed"
        finally:
            writer.close()
        self.record.write("answered", **result.fields())
        return result

    async def _receive(self, reader, result, patience_s):

        async def bear(wait):
            return await asyncio.wait_for(wait, patience_s)

        line = await bear(reader.readuntil(b"\r\n\r\n"))
        first, *lines = line[:-4].decode("latin-1").split("\r\n")
        headers = {}
        for item in lines:
            name, _, value = item.partition(":")
            headers[name.strip().lower()] = value.strip()
        result.status = int(first.split(" ")[1])
        if headers.get("transfer-encoding") == "chunked":
            while True:
                line = await bear(reader.readline())
                if not line.endswith(b"\n"):
                    raise EOFError
                size = int(line, 16)
                data = await bear(reader.readexactly(size + 2))
                if not size:
                    break
                result.body += data[:-2]
                result.events = [
                    int(part.split(b"\n")[0][3:])
                    for part in result.body.split(b"\n\n") if part
                ]
        else:
            length = int(headers.get("content-length", 0))
            result.body = await bear(reader.readexactly(length))
        result.is_complete, result.end = True, "complete"


def free_ports():
    """Returns the first of ten ports that are free on the daemons' addresses.

    They lie below the range from which the kernel takes ports.
    """
    for first in range(15000 + os.getpid() % 1000 * 10, 32000, 10):
        with contextlib.ExitStack() as stack:
            try:
                for number in range(5):
                    for port in range(first, first + 10):
                        stack.enter_context(
                            socket.create_server(
                                (f"127.0.0.{10 + number}", port)))
            except OSError:
                continue
            return first
    raise RuntimeError("no free ports")


def configuration(version=1, engine_slots=24, long_aim_ms=1800,
                  resumable_short=True):
    """Returns a configuration with the routes of the sheets."""

    def route(name, prefix, kind, service, timeout_ms, aim_ms, attempts,
              priority, **fields):
        return {
            "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms,
            "priority": priority, "service": service, "maxAttempts": attempts,
            "anonymous": False, "sticky": kind == "streaming"
        } | fields

    return {
        "version": version,
        "routes": [
            route("r-long", "/long/", "streaming", "redatores", 39000,
                  long_aim_ms, 1, 1, resumable=False, interTokenMs=180),
            route("r-short", "/short/", "streaming", "redatores", 6000, 1500,
                  2, 0, resumable=resumable_short, interTokenMs=180),
            route("r-order", "/order/", "non_idempotent", "balcao", 1200, 150,
                  1, 2),
            route("r-stock", "/stock/", "idempotent", "balcao", 1200, 150, 2,
                  2),
        ],
        "services": [{
            "name": "redatores", "healthPath": "/healthz",
            "maxConnections": 252, "protocol": "h1", "tls": False,
            "runtime": {
                "slots": engine_slots, "kvCapacity": 34371,
                "kvTokenBytes": 96256, "linkMbps": 14000.0,
                "migrations": True, "snapshots": True, "interval": 4,
                "most": 12, "pinMs": 4000.0, "lockMs": 2000.0,
                "sessionTtlS": 5.0, "modelList": [{"name": "m"}]
            }
        }, {
            "name": "balcao", "healthPath": "/healthz", "maxConnections": 110,
            "protocol": "h1", "tls": False
        }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]
    }


def run(case, folder):
    """Runs a case; exits with 1 if it returns True, 0 if not, 2 if it fails.

    A case is a coroutine function of the world and of whether there is trouble.
    """

    async def main():
        world = World(folder)
        code = 2
        try:
            broken = await asyncio.wait_for(
                case(world, os.environ.get("TROUBLE", "1") != "0"), 110)
            world.record.write("result", broken=broken)
            code = 1 if broken else 0
        except Exception:  # The case could not run.
            traceback.print_exc()
        finally:
            world.end()
            if not os.environ.get("KEEP_LOGS"):
                shutil.rmtree(world.folder, ignore_errors=True)
        print({0: "held", 1: "broken", 2: "not run"}[code], flush=True)
        # The tasks of the stand-ins still wait for connections.
        os._exit(code)

    asyncio.run(main())
