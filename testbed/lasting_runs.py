"""Engines whose runs go on after their connection has ended.

Like the platform's replicas, they refuse to stop a run if the call names no
other replica to which its memory goes.
"""

import json
import socket
import threading
import time

from testbed import edge_world
from testbed import replica

EVENT_S = 0.02
EVENTS = 80
CUT_AFTER = 6  # Event after which the first connection breaks.
_USAGE = {"X_Token_Usage": "100,500", "X_Deadline_Ms": "20000"}


class Run:
    """A run that goes on until its last event or until it is stopped."""

    def __init__(self, engine, request):
        self.engine = engine
        self.request = request
        self.first = int(request.headers.get("last-event-id", 0)) + 1
        self.began_s = time.monotonic()
        self.stopped = threading.Event()
        self.end_s = self.began_s + (EVENTS + 1 - self.first) * EVENT_S

    @property
    def is_active(self):
        """Whether the engine works on it now."""
        return not self.stopped.is_set() and time.monotonic() < self.end_s

    def stop(self):
        """Ends it, if it is active."""
        if self.is_active:
            self.end_s = time.monotonic()
            self.stopped.set()


class Engines:
    """Engines of which the first that runs a stream breaks its connection.

    Args:
        world: World in which the engines are registered.
        end: Items that the first connection ends with.
        count: Number of engines.
        answer_s: Time that an engine needs to answer a call that stops a run.
        is_cut: Whether the connection breaks at all.

    Attributes:
        runs: All runs, in order.
        stops: Time, engine and status of each call that stops a run.
        first_statuses: Statuses of the first calls, which have no effect.
        hang: Engines do not answer such calls while it is set.
        failure: Called with these engines before the last event that arrives.
        is_queueing: Whether requests wait, so that nothing knows of their runs.
    """

    def __init__(self, world, end, count=3, answer_s=0.0, is_cut=True):
        self.runs, self.stops, self.dropped = [], [], []
        self.answer_s = answer_s
        self.first_statuses = []
        self.hang = threading.Event()
        self.is_queueing = False
        self.failure = None
        self._end = end
        self._is_cut = is_cut
        self.stubs = {}
        for number in range(count):
            name = f"i-{number}"
            script = self._make_script(name)
            self.stubs[name] = world.add_replica(name,
                                                 "engines",
                                                 script,
                                                 version="v1")
            self.stubs[name].stop_script = script

    def first_stub(self):
        """Returns the engine that has the first run."""
        return self.stubs[self.runs[0].engine]

    def _make_script(self, name):

        def script(request):
            if request.path == "/kv-move":
                return self._move(name, request)
            if request.path == "/report":
                return [replica.complete_response(request, b"{}", 404)]
            if request.method == "DELETE":
                self.dropped.append(request.path)
                return [replica.complete_response(request, b"")]
            return self._generate(name, request)

        return script

    def _move(self, name, request):
        document = json.loads(request.body)
        assert document.get("latest")
        while self.hang.is_set():
            time.sleep(0.01)
        if self.first_statuses:
            status = self.first_statuses.pop(0)
            yield replica.complete_response(request, b"{}", status)
            return
        run = next((run for run in self.runs if run.engine == name and
                    run.request.id == document["id"] and run.is_active), None)
        status = 404
        if run is not None and not self.is_queueing:
            status = 200
            if document["to"] == self.stubs[name].address:
                status = 503
            else:
                run.stop()
        self.stops.append((time.monotonic(), name, status))
        time.sleep(self.answer_s)
        body = b'{"session": "h1", "created": 9}' if status == 200 else b"{}"
        yield replica.complete_response(request, body, status)

    def _generate(self, name, request):
        run = Run(name, request)
        self.runs.append(run)
        is_first = self._is_cut and len(self.runs) == 1
        if self.is_queueing:
            run.stopped.wait(EVENTS * EVENT_S)
            return
        yield replica.stream_head(request)
        for number in range(run.first, EVENTS + 1):
            if run.stopped.wait(EVENT_S):
                return
            is_last = is_first and number == CUT_AFTER
            if is_last and self.failure is not None:
                self.failure(self)
            yield replica.event_chunk(number)
            if is_last:
                yield from self._end
                return
        yield replica.STREAM_END

    def overlaps_s(self):
        """Returns for how long each earlier run went on beside a later one."""
        return [
            min(run.end_s, time.monotonic()) - later.began_s
            for index, run in enumerate(self.runs)
            for later in self.runs[index + 1:]
            if later.engine != run.engine
        ]


def configure(world, has_backups=True, **route_changes):
    """Configures a route of streams, with backups or without."""
    document = edge_world.configuration(**route_changes)
    document["services"][1]["runtime"]["snapshots"] = has_backups
    world.rows.write("op", "config", document)


def read_events(world, path="/draft/1", **headers):
    """Returns ids of the events of a stream and when they came."""
    address = edge_world.split_address(world.options.listen_address)
    ids, times_s = [], []
    with socket.create_connection(address, 10.0) as caller:
        send_request(caller, path, headers)
        with caller.makefile("rb") as lines:
            for line in lines:
                if line.startswith(b"id:"):
                    ids.append(int(line[3:]))
                    times_s.append(time.monotonic())
                if line == b"0\r\n":
                    return ids, times_s
    return ids + ["cut"], times_s


def send_request(caller, path, headers):
    """Sends a request over the connection of a caller."""
    values = {
        "Host": edge_world.HOST,
        "X-Attempt-Id": "r1",
        "X-Api-Key": "k",
        "Content-Length": "1"
    } | {
        name.replace("_", "-"): value
        for name, value in (_USAGE | headers).items()
    }
    lines = [f"{name}: {value}" for name, value in values.items()]
    caller.sendall("\r\n".join([f"POST {path} HTTP/1.1", *lines, "",
                                "x"]).encode())


def block(engines):
    """Puts the engine of the first run out of reach of new connections."""
    engines.first_stub().block()


def hang(engines):
    """Lets engines accept connections and not answer."""
    engines.hang.set()


def crash(engines):
    """Ends the process of the engine of the first run."""
    engines.first_stub().stop()


FAILURES = (block, hang, crash)
