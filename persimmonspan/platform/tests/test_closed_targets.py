"""Tests that targets get nothing while they turn requests away for a time.

Guards against: a crowd that goes on sending to a target that named a time with
its refusal.
"""

import contextlib
import http.client
import itertools
import logging
import threading
import time

import pytest

from testbed import edge_world
from testbed import replica

_PAUSE_S = 1.2
_GRACE_S = 0.5  # Requests that crossed the first refusal.
_MAX_LATE_REQUESTS = 2
_REQUEST_INTERVAL_S = 0.03
_LONG_PAUSE_S = 2.5
_STREAMS = 12
_EVENT_INTERVAL_S = 0.02
_BACKUP_READY_S = 0.5
_DRAFT = {
    "X_Token_Usage": "100,10",
    "X_Prefix_Hash": "a0:20",
    "X_Deadline_Ms": "20000"
}


class _Desk:
    """A replica that turns requests away until the end of a pause."""

    def __init__(self, world, name, service="desk", script=None):
        self.name = name
        self.arrived_s = []
        self.turned_away_s = None
        self.paths = []
        self.retry_after = str(_PAUSE_S)
        self._script = script or self._answer
        self.stub = world.add_replica(name, service, self._respond)
        self.stub.stop_script = self._respond
        self.is_closing = False

    def _respond(self, request):
        self.arrived_s.append(time.monotonic())
        self.paths.append(request.path)
        if self.is_closing:
            self.turned_away_s = self.turned_away_s or time.monotonic()
            return [replica.turn_away(request, self.retry_after)]
        return self._script(request)

    def _answer(self, request):
        return [replica.complete_response(request, b"ok")]

    def count_late(self):
        """Returns how many requests came in the pause, after the grace."""
        return sum(self.turned_away_s + _GRACE_S <= at_s < self.turned_away_s +
                   _PAUSE_S for at_s in self.arrived_s)


def _stream(request):
    return [
        replica.stream_head(request),
        replica.event_chunk(1) + replica.STREAM_END
    ]


@pytest.fixture(name="world")
def _world(caplog):
    caplog.set_level(logging.INFO)
    environment = edge_world.EdgeEnvironment()
    environment.rows.write("op", "config", edge_world.configuration())
    with environment.running():
        yield environment


def _send_during_pause(world, path, **headers):
    """Sends requests one after the other for a pause; returns the statuses."""
    end_s = time.monotonic() + _PAUSE_S
    statuses = []
    numbers = itertools.count()
    while time.monotonic() < end_s:
        number = next(numbers)
        statuses.append(
            world.send_request(path, X_Attempt_Id=f"r{number}", **headers)[0])
        time.sleep(_REQUEST_INTERVAL_S)
    return statuses


def _wait_for_targets(caplog, *names):
    edge_world.wait_until(lambda: all(
        any(
            getattr(record, "target", "") == name and record.getMessage() ==
            "target joined" for record in caplog.records) for name in names))


def _counts(world):
    return world.edge.metrics.counts()


def _has_line(caplog, message, **fields):
    return any(record.getMessage() == message and all(
        getattr(record, key, None) == value
        for key, value in fields.items())
               for record in caplog.records)


def test_target_that_turns_a_first_attempt_away_gets_nothing_more(
        world, caplog):
    closed, other = (_Desk(world, name) for name in ("i-1", "i-2"))
    closed.is_closing = True
    _wait_for_targets(caplog, "i-1", "i-2")
    statuses = _send_during_pause(world, "/idempotent/1")
    assert set(statuses) == {200} and other.arrived_s
    assert closed.count_late() <= _MAX_LATE_REQUESTS
    assert _has_line(caplog,
                     "target closed",
                     target="i-1",
                     source="request",
                     retry_after_s=_PAUSE_S)
    closed.is_closing = False
    edge_world.wait_until(
        lambda: _has_line(caplog, "target open again", target="i-1"))
    edge_world.wait_until(
        lambda: _send_during_pause(world, "/idempotent/1") and closed.arrived_s[
            -1] > closed.turned_away_s + _PAUSE_S)
    counts = _counts(world)
    assert counts["target_closed"] == counts["target_opened"] == 1


def test_target_that_turns_a_retry_away_gets_nothing_more(world, caplog):
    # Each first attempt fails at one of these, and the retry comes to another.
    broken = [
        _Desk(world,
              f"i-{number}",
              script=lambda request:
              [replica.complete_response(request, b"", 500)])
        for number in (1, 2)
    ]
    closed = _Desk(world, "i-3")
    closed.is_closing = True
    _wait_for_targets(caplog, "i-1", "i-2", "i-3")
    _send_during_pause(world, "/idempotent/1")
    assert closed.count_late() <= _MAX_LATE_REQUESTS
    assert all(desk.arrived_s for desk in broken)


def test_target_that_turns_a_stream_away_before_its_first_event(world, caplog):
    closed, other = (
        _Desk(world, name, "engines", _stream) for name in ("e-1", "e-2"))
    closed.is_closing = True
    _wait_for_targets(caplog, "e-1", "e-2")
    _send_during_pause(world, "/draft/1", **_DRAFT)
    assert closed.turned_away_s is not None and other.arrived_s
    assert closed.count_late() <= _MAX_LATE_REQUESTS


def test_request_is_refused_at_once_if_all_targets_open_too_late(world, caplog):
    desks = [_Desk(world, name) for name in ("i-1", "i-2")]
    _wait_for_targets(caplog, "i-1", "i-2")
    for desk, retry_after in zip(desks, ("5", "20")):
        desk.is_closing, desk.retry_after = True, retry_after
    for number in range(8):
        world.send_request("/idempotent/1", X_Attempt_Id=f"c{number}")
        if _counts(world).get("target_closed", 0) == 2:
            break
    arrived = sum(len(desk.arrived_s) for desk in desks)
    began_s = time.monotonic()
    status, headers, _ = world.send_request("/idempotent/1", X_Attempt_Id="r")
    assert time.monotonic() - began_s < 0.5
    assert status == 503
    assert 3.0 < float(headers["Retry-After"]) <= 8.0
    assert sum(len(desk.arrived_s) for desk in desks) == arrived
    assert _counts(world)["all_targets_closed"]


def test_request_waits_if_a_closed_target_opens_in_time(world, caplog):
    desk = _Desk(world, "i-1")
    desk.is_closing, desk.retry_after = True, "0.6"
    _wait_for_targets(caplog, "i-1")
    assert world.send_request("/idempotent/1", X_Attempt_Id="c")[0] == 503
    desk.is_closing = False
    statuses = []
    callers = [
        threading.Thread(target=lambda number=number: statuses.append(
            world.send_request("/idempotent/1", X_Attempt_Id=f"r{number}")[0]))
        for number in range(4)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert statuses == [200] * 4
    assert min(desk.arrived_s[1:]) >= desk.turned_away_s + 0.6


def test_restarted_target_is_open_at_once(world, caplog):
    closed = _Desk(world, "i-1")
    closed.is_closing, closed.retry_after = True, "60"
    _wait_for_targets(caplog, "i-1")
    world.send_request("/idempotent/1", X_Attempt_Id="c")
    assert world.send_request("/idempotent/1", X_Attempt_Id="d")[0] == 503
    closed.is_closing = False
    world.rows.write(
        "servers", "i-1", {
            "service": "desk",
            "address": closed.stub.address,
            "zone": "a",
            "slots": 6,
            "state": "ready",
            "born": 2
        })
    edge_world.wait_until(lambda: _has_line(
        caplog, "target open again", target="i-1", source="restart"))
    assert world.send_request("/idempotent/1", X_Attempt_Id="e")[0] == 200


def _answer_for_another_request(request):
    return [
        replica.turn_away(request._replace(headers={"x-attempt-id": "other"}),
                          "9")
    ]


def _break_off_in_body(request):
    return [
        replica.response_head(request, 503, "X-Not-Executed: 1",
                              "Retry-After: 9", "Content-Length: 10") + b"x"
    ]


def _break_off_in_head(request):
    return [replica.turn_away(request, "9")[:-3]]


@pytest.mark.parametrize(
    "script, is_closed", [(_answer_for_another_request, False),
                          (_break_off_in_head, False),
                          (_break_off_in_body, True)] +
    [(lambda request, status=status:
      [replica.complete_response(request, b"", status,
                                 ("Retry-After: 9",))], False)
     for status in (200, 404, 429, 500)] +
    [(lambda request:
      [replica.complete_response(request, b"", 503,
                                 ("Retry-After: 9",))], True)])
def test_answer_closes_its_target_only_if_it_turns_this_request_away(
        world, caplog, script, is_closed):
    _Desk(world, "i-1", script=script)
    _wait_for_targets(caplog, "i-1")
    world.send_request("/non_idempotent/1")
    edge_world.wait_until(lambda: _has_line(caplog, "attempt ended") or
                          _has_line(caplog, "answered"))
    time.sleep(0.1)
    assert _has_line(caplog, "target closed") == is_closed


class _Engines:
    """Engines, of which one turns the first copy or move away.

    Args:
        world: World in which they are registered.
        closing: Name of this engine.
    """

    def __init__(self, world, closing):
        # Calls about copies and moves at the closing engine after that.
        self.calls_s = []
        self.is_finishing = False  # Whether streams end instead.
        self.turned_away_s = None
        self.is_closing = False
        self.streams = {"e-0": [], "e-1": []}  # Events that interrupt them.
        self._world = world
        self._closing = closing
        self._replicas = {}
        for name in self.streams:
            self.add(name)

    def add(self, name):
        """Starts an engine and registers it."""
        stub = self._world.add_replica(
            name, "engines", lambda request: self._respond(name, request))
        stub.stop_script = stub.script
        self._replicas[name] = stub

    def start_streams(self):
        """Starts streams; returns the threads of their callers."""
        callers = [
            threading.Thread(target=_read_stream,
                             args=(self._world, f"r{number}"))
            for number in range(_STREAMS)
        ]
        for caller in callers:
            caller.start()
        edge_world.wait_until(
            lambda: sum(map(len, self.streams.values())) == _STREAMS)
        time.sleep(_BACKUP_READY_S)
        assert len(self.streams["e-0"]) > _MAX_LATE_REQUESTS + 1
        return callers

    def stop_streams(self, callers):
        """Ends all streams and waits for their callers."""
        self.is_closing = False
        self.is_finishing = True
        for interrupted in itertools.chain(*self.streams.values()):
            interrupted.set()
        for caller in callers:
            caller.join()

    def leave(self, name):
        """Announces that an engine leaves."""
        self._world.register_replica(name, "engines",
                                     self._replicas[name].address, "draining")

    def _respond(self, name, request):
        is_move = "kv-from" in request.headers
        if name == self._closing and (is_move or
                                      request.path.startswith("/kv-")):
            if self.is_closing and not self.turned_away_s:
                self.turned_away_s = time.monotonic()
                return [replica.turn_away(request, str(_LONG_PAUSE_S))]
            self.calls_s.append(time.monotonic())
        if request.path == "/kv-move":
            return [replica.complete_response(request, b'{"session": "h"}')]
        if request.path.startswith("/kv-handle"):
            return [replica.complete_response(request, b"")]
        if is_move:
            return [replica.stream_head(request) + replica.STREAM_END]
        return self._run(request)

    def _run(self, request):
        interrupted = threading.Event()
        self.streams[request.headers["x-expected-instance"]].append(interrupted)
        yield replica.stream_head(request)
        for number in itertools.count(1):
            yield replica.event_chunk(number)
            if interrupted.wait(_EVENT_INTERVAL_S):
                yield (replica.STREAM_END
                       if self.is_finishing else replica.ConnectionReset())
                return

    def count_late(self):
        """Returns how many calls came in the pause, after the grace."""
        return sum(self.turned_away_s + _GRACE_S <= at_s < self.turned_away_s +
                   _LONG_PAUSE_S for at_s in self.calls_s)


def _read_stream(world, request_id):
    with contextlib.suppress(OSError, http.client.HTTPException):
        world.send_request("/draft/1", X_Attempt_Id=request_id, **_DRAFT)


def test_target_that_turns_a_copy_away_gets_no_other_call(world, caplog):
    engines = _Engines(world, "e-0")
    _wait_for_targets(caplog, "e-0", "e-1")
    callers = engines.start_streams()
    engines.is_closing = True
    # The backups at the other engine cannot be used once it leaves too.
    engines.add("e-2")
    _wait_for_targets(caplog, "e-2")
    engines.leave("e-1")
    engines.leave("e-0")
    edge_world.wait_until(lambda: engines.turned_away_s)
    time.sleep(_GRACE_S)
    # Copies that the streams did not need would be freed now.
    engines.stop_streams(callers)
    late = engines.count_late()
    assert late <= _MAX_LATE_REQUESTS
    assert _has_line(caplog, "target closed", target="e-0", source="copy")


def test_target_that_turns_a_move_away_gets_no_other(world, caplog):
    engines = _Engines(world, "e-1")
    _wait_for_targets(caplog, "e-0", "e-1")
    callers = engines.start_streams()
    engines.is_closing = True
    engines.streams["e-0"][0].set()
    edge_world.wait_until(lambda: engines.turned_away_s)
    time.sleep(_GRACE_S)
    for interrupted in engines.streams["e-0"][1:]:
        interrupted.set()
    time.sleep(_GRACE_S)
    late = engines.count_late()
    engines.stop_streams(callers)
    assert late <= 1
    assert _has_line(caplog, "target closed", target="e-1", source="request")
    assert _has_line(caplog, "stream cannot use a closed target", target="e-1")
