"""Replicas of the soak of edge daemons: they fail, crash, limit and close."""

import collections
import collections.abc
import contextlib
import itertools
import random
import threading
import time
import typing

from testbed import edge_store
from testbed import replica
from testbed import soak_leaving

EVENTS_PER_STREAM = 12
CRASHING_PART = "bad0"
RATE_PER_S = 1.0  # Of the replica that names one.
PAUSE_S = 1.5  # That a closing replica names.
GRACE_S = 0.5  # After this, a daemon may send two more in the pause.
_DESKS = 3
_ENGINES = 3
_RESTART_S = 1.0
_FAULTS = ("cut", "reset", "error", "full", "head", "repeat")


class Replicas:
    """Scripts of replicas that fail at random and count runs."""

    def __init__(self, rng: random.Random) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.crashed_s: list[float] = []
        self.limited_s: list[float] = []  # Requests to the limited replica.
        self.limited: replica.Replica | None = None
        self.on_crash: collections.abc.Callable[[replica.Replica], None]
        self.fault_share = 0.0
        self.departures = soak_leaving.Departures()
        self.closing: replica.Replica | None = None  # Turns requests away.
        # Times at which each pair of a daemon and a replica was told, and at
        # which requests came.
        self.told_s: dict[tuple[str, str],
                          list[float]] = collections.defaultdict(list)
        self.arrived_s: dict[tuple[str, str],
                             list[float]] = collections.defaultdict(list)
        self._refused = replica.Request("", "", {}, b"")  # The last one.
        self._rng = rng
        self._lock = threading.Lock()

    def add_desk(self) -> replica.Replica:
        """Returns a replica of a plain service."""
        desk = replica.Replica(
            lambda request: self._respond_plain(desk, request))
        return desk

    def add_engine(self) -> replica.Replica:
        """Returns an engine."""
        engine = replica.Replica(
            lambda request: self._run_engine(engine, request))
        return engine

    def leave_or_return(self, store: edge_store.Store, name: str,
                        entry: "Entry", sources: str) -> None:
        """Lets a replica leave, or start again if it leaves already.

        Args:
            store: The store.
            name: Name of the replica.
            entry: The replica.
            sources: What shows that it leaves: "store", "answer" or "both".
        """
        if entry.is_leaving:
            self.write_ready(store, name, entry)
            return
        if sources != "answer":
            entry.document["state"] = "draining"
            store.write("servers", name, entry.document)
        entry.server.is_leaving = sources != "store"

    def write_ready(self, store: edge_store.Store, name: str,
                    entry: "Entry") -> None:
        """Writes a replica as ready, as another incarnation if it left."""
        if entry.is_leaving:
            entry.document["born"] += 1
            entry.document["state"] = "ready"
            self.departures.restart(entry.server)
        store.write("servers", name, entry.document)

    def _respond_plain(
        self, desk: replica.Replica, request: replica.Request
    ) -> collections.abc.Iterator[bytes | replica.ConnectionReset]:
        """Responds with the request's id, or with a fault."""
        self.departures.record_arrival(desk, request.id)
        if self._is_turned_away(desk, request):
            yield replica.turn_away(request, str(PAUSE_S))
            return
        if desk is self.limited:
            self.limited_s.append(time.monotonic())
            yield from self._respond_limited(request)
            return
        fault = self._choose_fault()
        if fault == "full":
            self._refused = request
            yield replica.not_run(request)
            return
        refused = self._refused
        with self._lock:
            self.runs[request.id] += 1
        time.sleep(0.02)
        answer = replica.complete_response(request, request.id.encode())
        if fault == "cut":
            yield answer[:-3]
        elif fault == "head":
            yield self._cut_head(answer)
        elif fault == "repeat":
            yield replica.not_run(refused)
        elif fault == "reset":
            yield replica.ConnectionReset()
        elif fault == "error":
            yield replica.complete_response(request, b"", 500)
        else:
            yield answer

    def _is_turned_away(self, server: replica.Replica,
                        request: replica.Request) -> bool:
        """Records a request, and returns whether its replica is closing."""
        now_s = time.monotonic()
        with self._lock:
            # The callers of the soak put their daemon at the end of the id.
            pair = (request.id.rpartition("d")[2], server.address)
            self.arrived_s[pair].append(now_s)
            if server is not self.closing:
                return False
            self.told_s[pair].append(now_s)
            return True

    def count_late(self, from_s: float) -> int:
        """Returns the most requests of a daemon in a pause that it knew.

        Args:
            from_s: Monotonic time from which pauses count.
        """
        with self._lock:
            return max((sum(told_s + GRACE_S <= at_s < told_s + PAUSE_S
                            for at_s in self.arrived_s[pair])
                        for pair, times_s in self.told_s.items()
                        for told_s in times_s
                        if told_s >= from_s),
                       default=0)

    def _respond_limited(
            self, request: replica.Request) -> collections.abc.Iterator[bytes]:
        with self._lock:
            self.runs[request.id] += 1
        yield replica.complete_response(request,
                                        request.id.encode(),
                                        lines=(f"Server-Limit: {RATE_PER_S}",))

    def _run_engine(
        self, engine: replica.Replica, request: replica.Request
    ) -> collections.abc.Iterator[bytes | replica.ConnectionReset]:
        """Streams a draft until the engine crashes."""
        self.departures.record_arrival(engine, request.id)
        if self._is_turned_away(engine, request):
            yield replica.turn_away(request, str(PAUSE_S))
            return
        if f"{CRASHING_PART}:" in request.headers.get("x-prefix-hash", ""):
            with self._lock:
                self.runs[request.id] += 1
                self.crashed_s.append(time.monotonic())
            engine.stop()
            self.on_crash(engine)
            yield replica.stream_head(request)
            yield replica.ConnectionReset()
            return
        for part in self._stream_draft(request):
            yield replica.ConnectionReset() if engine.is_stopped else part

    def _stream_draft(
        self, request: replica.Request
    ) -> collections.abc.Iterator[bytes | replica.ConnectionReset]:
        """Streams the remaining events, or breaks the stream off."""
        fault = self._choose_fault()
        is_continuation = "kv-from" in request.headers
        if not is_continuation:
            with self._lock:
                self.runs[request.id] += 1
        if fault == "head":
            yield self._cut_head(replica.stream_head(request))
            return
        if fault == "repeat":
            yield replica.not_run(self._refused)
            return
        if fault == "error" and is_continuation:
            yield replica.complete_response(request, b"an error", 500)
            return
        yield replica.stream_head(request)
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS_PER_STREAM + 1):
            if fault in ("cut", "reset") and number == EVENTS_PER_STREAM // 2:
                yield replica.event_chunk(number)[:7]
                if fault == "reset":
                    yield replica.ConnectionReset()
                return
            yield replica.event_chunk(number)
            time.sleep(0.03)
        yield replica.STREAM_END

    def _choose_fault(self) -> str:
        with self._lock:
            if self._rng.random() >= self.fault_share:
                return ""
            return self._rng.choice(_FAULTS)

    def _cut_head(self, answer: bytes) -> bytes:
        """Returns a part of an answer that ends within its head."""
        with self._lock:
            return answer[:self._rng.randrange(answer.index(b"\r\n\r\n"))]


class Entry(typing.NamedTuple):
    """A replica and its row in the store."""

    server: replica.Replica
    document: dict[str, typing.Any]

    @property
    def is_leaving(self) -> bool:
        """Whether the replica leaves, by its answers or its row."""
        return self.server.is_leaving or self.document["state"] != "ready"


def start_replicas(stack: contextlib.ExitStack, replicas: Replicas,
                   store: edge_store.Store) -> dict[str, Entry]:
    """Starts replicas; engines that crash come back under another name."""
    entries: dict[str, Entry] = {}
    numbers = itertools.count()
    lock = threading.Lock()

    def start(server: replica.Replica, service: str) -> None:
        with lock:
            name = f"i-{next(numbers)}"
            stack.enter_context(server.running())
            entries[name] = Entry(
                server, {
                    "service": service,
                    "address": server.address,
                    "zone": "a",
                    "slots": 6,
                    "state": "ready",
                    "born": 1
                })
        store.write("servers", name, entries[name].document)

    def replace(engine: replica.Replica) -> None:
        time.sleep(_RESTART_S)
        with lock:
            gone = [
                name for name, entry in entries.items()
                if entry.server is engine
            ]
            for name in gone:
                del entries[name]
        for name in gone:
            store.write("servers", name, None)
        start(replicas.add_engine(), "engines")

    replicas.on_crash = lambda engine: threading.Thread(
        target=replace, args=(engine,), daemon=True).start()
    for _ in range(_DESKS):
        start(replicas.add_desk(), "desk")
    for _ in range(_ENGINES):
        start(replicas.add_engine(), "engines")
    return entries
