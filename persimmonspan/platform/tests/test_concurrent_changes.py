"""Tests of a configuration and targets that change at the same moment."""

import threading
import time

import pytest

from persimmonspan.process import edge
from persimmonspan.request import events
from testbed import edge_world
from testbed import replica

_SLOW_S = 1.0


def _script(request):
    return [replica.complete_response(request, b"")]


def test_scheduler_keeps_the_newest_targets_beside_a_new_configuration(
        monkeypatch):
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    world.add_replica("i-1", "desk", _script)
    sent = []
    tell = world.edge.scheduler.tell

    def record(message):
        if isinstance(message, events.TargetsChanged):
            sent.append({target.name for target in message.targets})
        tell(message)

    monkeypatch.setattr(world.edge.scheduler, "tell", record)
    with world.running():
        edge_world.wait_until(lambda: {"i-1"} in sent)
        convert = edge._to_target  # pylint: disable=protected-access
        is_converting = threading.Event()

        def convert_slowly(entry, service):
            if not is_converting.is_set():
                is_converting.set()
                time.sleep(_SLOW_S)
            return convert(entry, service)

        monkeypatch.setattr(edge, "_to_target", convert_slowly)
        count = len(sent)
        world.rows.write("op", "config", edge_world.configuration(version=2))
        assert is_converting.wait(edge_world.TIMEOUT_S)
        world.add_replica("i-2", "desk", _script)
        edge_world.wait_until(lambda: len(sent) >= count + 2)
        assert sent[-1] == {"i-1", "i-2"}


def _without_routes():
    return edge_world.configuration(version=2) | {"routes": []}


def _without_keys():
    return edge_world.configuration(version=2) | {"tenants": []}


def _short_timeouts():
    return edge_world.configuration(version=2, timeoutMs=100)


def _other_services():
    return edge_world.configuration(version=2, service="other") | {
        "services": [{
            "name": "other"
        }]
    }


@pytest.mark.parametrize("path", ["/non_idempotent/1", "/draft/1"])
@pytest.mark.parametrize(
    "change",
    [_without_routes, _without_keys, _short_timeouts, _other_services])
def test_request_under_way_outlives_a_configuration_without_it(path, change):
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())
    is_changed = threading.Event()
    is_running = threading.Event()

    def script(request):
        is_draft = request.path.startswith("/draft/")
        if is_draft:
            yield replica.stream_head(request)
            yield replica.event_chunk(1)
        is_running.set()
        assert is_changed.wait(edge_world.TIMEOUT_S)
        if is_draft:
            yield replica.event_chunk(2)
            yield replica.STREAM_END
        else:
            yield replica.complete_response(request, b"id: 2")

    def change_everything():
        assert is_running.wait(edge_world.TIMEOUT_S)
        world.rows.write("op", "config", change())
        for name in ("i-1", "i-2"):
            world.rows.write("servers", name, None)
        edge_world.wait_until(lambda: world.edge._configuration.version == 2)  # pylint: disable=protected-access
        time.sleep(0.5)  # Several reads of the targets.
        is_changed.set()

    world.add_replica("i-1", "desk", script)
    world.add_replica("i-2", "engines", script)
    with world.running():
        thread = threading.Thread(target=change_everything)
        thread.start()
        status, _, body = world.send_request(path)
        thread.join()
    assert status == 200
    assert b"id: 2" in body
