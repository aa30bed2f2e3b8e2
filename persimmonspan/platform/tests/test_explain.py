"""Tests the command that explains where a request would go.

It guards against an explanation that sends the request, changes the scheduler's
state or hides why a target is left out.
"""

from persimmonspan.process import explain_command
from persimmonspan.request import events
from testbed import edge_world
from testbed import replica


def _world(requests):
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration())

    def script(request):
        requests.append(request)
        return [replica.complete_response(request, b"done")]

    for name in ("d1", "d2"):
        world.add_replica(name, "desk", script)
    return world


def _explain(world, capsys, path, *arguments):
    code = explain_command.main([
        world.options.readiness_address, "--host", edge_world.HOST, "--path",
        path, *arguments
    ])
    captured = capsys.readouterr()
    return code, captured.out.splitlines(), captured.err


def test_request_is_explained_and_not_sent(capsys):
    requests = []
    with _world(requests).running() as world:
        code, lines, _ = _explain(world, capsys, "/idempotent/1")
    assert code == 0 and not requests
    assert ": dispatch d" in lines[0]
    assert len(lines) == 4 and all(
        "may be chosen" in line for line in lines[2:])


def test_leaving_target_is_named_with_its_obstacle(capsys):
    with _world([]).running() as world:
        world.edge.scheduler.tell(events.TargetLeaving("d1"))
        _, lines, _ = _explain(world, capsys, "/idempotent/1")
    assert "dispatch d2" in lines[0]
    assert any(
        line.startswith("d1 ") and line.endswith("leaving") for line in lines)


def test_unknown_route_is_an_error(capsys):
    with _world([]).running() as world:
        code, lines, error = _explain(world, capsys, "/none/1")
    assert code == 1 and not lines and "400" in error


def test_daemon_that_does_not_answer_is_an_error(capsys):
    code = explain_command.main(
        [edge_world.free_address(), "--host", "h", "--path", "/"])
    assert code == 1 and "no answer" in capsys.readouterr().err
