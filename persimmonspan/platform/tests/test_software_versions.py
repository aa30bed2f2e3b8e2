"""Tests that a stream goes on only at the software version that began it."""

import contextlib
import http.client
import itertools
import threading
import time

import pytest

from persimmonspan import errors
from persimmonspan.connection import digest_links
from testbed import edge_world
from testbed import replica

_EVENTS = 4
_READ_S = 0.5  # In which a daemon reads the targets.


def _first_event(request):
    """Sends the first event and resets the connection."""
    yield replica.stream_head(request) + replica.event_chunk(1)
    yield replica.ConnectionReset()


def _rest(request):
    """Sends the events that the request lacks."""
    if request.path == "/kv-move":
        yield replica.complete_response(request, b'{"session": "s1"}')
        return
    yield replica.stream_head(request)
    for number in range(
            int(request.headers.get("last-event-id", 0)) + 1, _EVENTS + 1):
        yield replica.event_chunk(number)
    yield replica.STREAM_END


def _environment(rows=None, name="edge-1"):
    world = edge_world.EdgeEnvironment(name, rows)
    if rows is None:
        world.rows.write(
            "op", "config",
            edge_world.configuration(resumable=True, maxAttempts=3))
    return world


def _read_events(world, request_id, **headers):
    """Returns the status and the ids of the events until the stream ends."""
    connection = http.client.HTTPConnection(*edge_world.split_address(
        world.options.listen_address),
                                            timeout=edge_world.TIMEOUT_S)
    with contextlib.closing(connection):
        connection.request(
            "POST", "/draft/1", b"x", {
                "Host": edge_world.HOST,
                "X-Attempt-Id": request_id,
                "X-Api-Key": "k",
                "X-Deadline-Ms": "4000"
            } | headers)
        response = connection.getresponse()
        data = b""
        with contextlib.suppress(http.client.HTTPException, OSError):
            while part := response.read1():
                data += part
    return response.status, [
        int(line[4:]) for line in data.split(b"\n") if line.startswith(b"id: ")
    ]


def _take_up(world, request_id="r2"):
    return _read_events(world, request_id, **{
        "Last-Event-Id": "1",
        "Resumes": "r1"
    })


def _cut_or_rest(request):
    """Begins a stream and cuts it, but sends all that one lacks."""
    if "last-event-id" in request.headers:
        return _rest(request)
    return _first_event(request)


def test_cut_stream_does_not_go_on_at_another_version():
    world = _environment()
    engines = [
        world.add_replica(f"i-{version}",
                          "engines",
                          _cut_or_rest,
                          version=version) for version in ("v1", "v2")
    ]
    with world.running():
        for number in range(4):
            assert _read_events(world, f"r{number}")[1] == [1]
    for engine in engines:
        assert not any(
            "last-event-id" in request.headers for request in engine.requests)


def test_cut_stream_goes_on_at_its_version():
    world = _environment()
    for name, version in (("i-1", "v1"), ("i-2", "v1"), ("i-3", "v2")):
        world.add_replica(name, "engines", _cut_or_rest, version=version)
    with world.running():
        events = [_read_events(world, f"r{number}")[1] for number in range(6)]
    assert [1, 2, 3, 4] in events


@contextlib.contextmanager
def _daemon_after_power_loss(version="v1"):
    """A daemon that knows nothing of a stream that another one began."""
    before = _environment()
    began = before.add_replica("i-1", "engines", _first_event, version=version)
    with before.running():
        assert _read_events(before, "r1") == (200, [1])
        began.script = _rest
        after = _environment(before.rows, "edge-2")
        yield before.rows, after, began


@pytest.mark.parametrize("versions", [("v1", "v2"), ("v2", "v1")])
def test_take_up_after_a_power_loss_goes_on_at_the_version_that_began(versions):
    with _daemon_after_power_loss() as (_, world, _):
        others = [
            world.add_replica(f"i-{number + 2}",
                              "engines",
                              _rest,
                              version=version)
            for number, version in enumerate(versions)
        ]
        with world.running():
            for number in range(6):
                assert _take_up(world, f"t{number}") == (200, [2, 3, 4])
    assert not others[versions.index("v2")].requests


def test_take_up_is_refused_once_the_version_that_began_has_left():
    with _daemon_after_power_loss() as (rows, world, _):
        rows.write("servers", "i-1", None)
        other = world.add_replica("i-2", "engines", _rest, version="v2")
        with world.running():
            assert _take_up(world) == (503, [])
            assert _read_events(world, "r3") == (200, [1, 2, 3, 4])
    assert len(other.requests) == 1


def test_take_up_whose_version_nobody_knows_is_refused():
    # The store came back from a copy without the row, or could not be written
    # when the stream began.
    with _daemon_after_power_loss() as (rows, world, began):
        for table in set(rows.tables) - {"op", "servers", "edge_daemons"}:
            rows.tables[table].clear()
        world.add_replica("i-2", "engines", _rest, version="v2")
        with world.running():
            assert _take_up(world) == (503, [])
    assert len(began.requests) == 1


def test_take_up_without_an_answer_of_the_store_is_refused():
    with _daemon_after_power_loss() as (rows, world, began):
        world.add_replica("i-2", "engines", _rest, version="v2")
        with world.running():
            rows.is_unreachable = True
            assert _take_up(world) == (503, [])
            assert _read_events(world, "r3")[1] == [1, 2, 3, 4]
    assert all(
        "last-event-id" not in request.headers for request in began.requests)


def test_take_up_at_the_daemon_that_began_needs_no_store():
    world = _environment()
    engines = [
        world.add_replica(f"i-{version}",
                          "engines",
                          _first_event,
                          version=version) for version in ("v1", "v2")
    ]
    with world.running():
        assert _read_events(world, "r1") == (200, [1])
        began = next(engine for engine in engines if engine.requests)
        world.rows.is_unreachable = True
        for engine in engines:
            engine.script = _rest
        assert _take_up(world) == (200, [2, 3, 4])
    assert len(began.requests) == 2


def test_stream_of_which_nothing_is_known_of_versions_is_taken_up():
    with _daemon_after_power_loss(version=None) as (_, world, _):
        with world.running():
            assert _take_up(world) == (200, [2, 3, 4])


class _Gate:
    """The store as one daemon sees it: cut off, or late, if told so."""

    def __init__(self, rows):
        self._rows = rows
        self.is_cut_off = False
        self.is_open = threading.Event()
        self.is_open.set()

    def __getattr__(self, name):
        return getattr(self._rows, name)

    def _pass(self):
        self.is_open.wait(edge_world.TIMEOUT_S)
        if self.is_cut_off:
            raise errors.StoreError(errors.Code.STORE_UNAVAILABLE,
                                    "no response")

    def read(self, table):
        """Returns all rows of a table."""
        self._pass()
        return self._rows.read(table)

    def changes(self, table, since, wait_s):
        """Waits for rows that changed after a version."""
        self._pass()
        return self._rows.changes(table, since, min(wait_s, 0.2))


@contextlib.contextmanager
def _out_of_step(monkeypatch):
    """A daemon that knows one version, and one that also knows a later one."""
    monkeypatch.setattr(digest_links.Links, "_send_digests",
                        lambda links, digests: None)
    sound = _environment()
    old = sound.add_replica("i-1", "engines", _cut_or_rest, version="v1")
    gate = _Gate(sound.rows)
    late = _environment(gate, "edge-2")
    with sound.running(), late.running():
        assert _read_events(late, "first")[0] == 200
        yield sound, late, gate, old


def _begin_at_new_version(sound):
    """Lets a target of another version join, and begins a stream there."""
    new = sound.add_replica("i-2", "engines", _cut_or_rest, version="v2")
    numbers = itertools.count()

    def has_begun():
        _read_events(sound, f"new-{next(numbers)}")
        return new.requests

    edge_world.wait_until(has_begun)
    return new


def _take_up_without_name(world):
    return _read_events(world, "r2", **{"Last-Event-Id": "1"})


def test_daemon_that_is_cut_off_takes_up_no_stream_of_a_new_version(
        monkeypatch):
    # Failure: the one version that it knew was taken for the stream's.
    with _out_of_step(monkeypatch) as (sound, late, gate, old):
        gate.is_cut_off = True
        _begin_at_new_version(sound)
        before = len(old.requests)
        assert _take_up_without_name(late) == (503, [])
        assert len(old.requests) == before


def test_daemon_that_stood_still_reads_before_it_takes_up_a_stream(monkeypatch):
    # Failure: just after it woke, it knew the targets of before.
    with _out_of_step(monkeypatch) as (sound, late, gate, old):
        gate.is_open.clear()
        _begin_at_new_version(sound)
        before = len(old.requests)
        threading.Timer(0.3, gate.is_open.set).start()
        assert _take_up_without_name(late) == (503, [])
        assert len(old.requests) == before


def test_take_up_without_a_name_goes_on_at_the_only_version(monkeypatch):
    with _out_of_step(monkeypatch) as (_, late, _, _):
        assert _take_up_without_name(late) == (200, [2, 3, 4])


def test_stream_of_a_version_that_has_left_is_not_taken_up():
    # Failure: a leaving target was not asked for its version.
    world = _environment()
    world.add_replica("i-1", "engines", _rest, version="v1")
    other = world.add_replica("i-2", "engines", _rest, version="v2")
    with world.running():
        world.register_replica("i-2",
                               "engines",
                               other.address,
                               "draining",
                               version="v2")
        edge_world.wait_until(lambda: len(world.edge._registrations) == 1)  # pylint: disable=protected-access
        assert _take_up_without_name(world) == (503, [])
        world.rows.write("servers", "i-2", None)
        time.sleep(_READ_S)
        assert _take_up_without_name(world) == (503, [])
