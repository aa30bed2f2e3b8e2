"""Tests of a configuration and targets that change at the same moment."""

import threading
import time

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
