"""Tests of refusals that may belong to another request, and of cut heads.

`docs/design/reported-faults.md` lists the reports. Callers, replicas and the
daemon communicate over loopback.
"""

import collections
import contextlib
import http.client

import pytest

from testbed import edge_world
from testbed import replica

_NOT_RUN = "X-Not-Executed: 1"
_EMPTY = "Content-Length: 0"
_REFUSAL_STATUSES = (400, 408, 421, 429, 503)
_PROMISES = {408, 421, 429, 503}


def _answer(status, *lines, ids=(), body=b""):
    """Returns an answer with these ids; "own" is that of the request."""

    def build(request):
        fields = [f"HTTP/1.1 {status} Status", "X-Response-Signature: signed"]
        fields += [
            f"X-Attempt-Id: {request.id if name == 'own' else name}"
            for name in ids
        ]
        return "\r\n".join([*fields, *lines]).encode() + b"\r\n\r\n" + body

    return build


def _join(*answers):
    return lambda request: b"".join(answer(request) for answer in answers)


def _cut(answer, size):
    return lambda request: answer(request)[:size]


_refused = _answer(503, _NOT_RUN, _EMPTY, ids=["own"])
_served = _answer(200, "Content-Length: 2", ids=["own"], body=b"ok")
_NO_PROMISE = {
    f"{status}_{name}": answer for status in _REFUSAL_STATUSES
    for name, answer in {
        "of_another_request":
            _answer(status, _NOT_RUN, _EMPTY, ids=["r0"]),
        "without_id":
            _answer(status, _NOT_RUN, _EMPTY),
        "with_two_ids":
            _answer(status, _NOT_RUN, _EMPTY, ids=["own", "r0"]),
        "with_two_ids_reversed":
            _answer(status, _NOT_RUN, _EMPTY, ids=["r0", "own"]),
        "folded_id":
            _answer(status, _NOT_RUN, _EMPTY, " r0", ids=["own"]),
        "chunked_without_id":
            _answer(status,
                    _NOT_RUN,
                    "Transfer-Encoding: chunked",
                    body=replica.STREAM_END),
        "without_length_and_id":
            _answer(status, _NOT_RUN),
        "before_another_answer":
            _join(_answer(status, _NOT_RUN, _EMPTY, ids=["own"]), _served),
        "twice":
            _join(*2 * [_answer(status, _NOT_RUN, _EMPTY, ids=["own"])]),
        "before_garbage":
            _join(_answer(status, _NOT_RUN, _EMPTY, ids=["own"]),
                  lambda request: b"\x00"),
        "after_interim_without_id":
            _join(lambda request: b"HTTP/1.1 103 Early Hints\r\n\r\n",
                  _answer(status, _NOT_RUN, _EMPTY)),
        "short_body":
            _answer(status, _NOT_RUN, "Content-Length: 5", ids=["own"]),
    }.items()
} | {
    f"{status}_without_statement": _answer(status, _EMPTY, ids=["own"])
    for status in (408, 429, 503)
} | {
    "success_that_was_not_run":
        _answer(200, _NOT_RUN, "Content-Length: 2", ids=["own"], body=b"ok")
}


def _world(**route_changes):
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration(**route_changes))
    return world


def _add_replicas(world, service, build):
    """Adds replicas that run each request and answer it the same way."""
    runs = collections.Counter()

    def script(request):
        runs[request.id] += 1
        yield build(request)

    for number in range(3):
        world.add_replica(f"i-{number}", service, script)
    return runs


def _check_no_promise(path, service, answer):
    world = _world(maxAttempts=3)
    runs = _add_replicas(world, service, answer)
    with world.running():
        status, _, body = world.send_request(path, X_Token_Usage="100,10")
    assert runs == {"r1": 1}
    assert status not in _PROMISES and not body


@pytest.mark.parametrize("name", _NO_PROMISE)
def test_refusal_that_may_be_of_another_request_is_no_promise(name):
    _check_no_promise("/non_idempotent/1", "desk", _NO_PROMISE[name])


@pytest.mark.parametrize(
    "name",
    [name for name in _NO_PROMISE if name.startswith(("2", "503", "s"))])
def test_refusal_of_a_stream_that_may_run_is_no_promise(name):
    _check_no_promise("/draft/1", "engines", _NO_PROMISE[name])


@pytest.mark.parametrize("status", _REFUSAL_STATUSES)
def test_refusal_of_the_request_is_believed(status):
    world = _world(maxAttempts=3)
    answers = [_answer(status, _NOT_RUN, _EMPTY, ids=["own"]), _served]
    requests = []

    def script(request):
        requests.append(request)
        yield answers[min(len(requests), len(answers)) - 1](request)

    for number in range(3):
        world.add_replica(f"i-{number}", "desk", script)
    with world.running():
        assert world.send_request("/non_idempotent/1")[::2] == (200, b"ok")
    assert len(requests) == 2


def test_refusal_that_names_the_request_twice_is_believed():
    world = _world()
    _add_replicas(world, "desk",
                  _answer(503, _NOT_RUN, _EMPTY, ids=["own", "own"]))
    with world.running():
        assert world.send_request("/non_idempotent/1")[0] == 503


@pytest.mark.parametrize("extra",
                         [b"\x00garbage", b"HTTP/1.1 503 Busy\r\n\r\n"])
def test_bytes_after_a_whole_answer_belong_to_no_request(extra):
    world = _world()
    runs = _add_replicas(world, "desk", _join(_served, lambda request: extra))
    with world.running():
        for _ in range(3):
            assert world.send_request("/non_idempotent/1")[::2] == (200, b"ok")
    assert runs["r1"] == 3


@pytest.mark.parametrize("refusal", [
    _answer(503, _NOT_RUN, _EMPTY, ids=["r0"]),
    _answer(503, _NOT_RUN, _EMPTY),
])
def test_refusal_before_the_request_is_no_promise(refusal):
    world = _world(maxAttempts=3)
    runs = collections.Counter()

    def script(request):
        runs[request.id] += 1
        yield _served(request)

    for number in range(3):
        added = world.add_replica(f"i-{number}", "desk", script)
        added.greeting = refusal(None)
    with world.running():
        status = world.send_request("/non_idempotent/1")[0]
    assert status not in _PROMISES
    assert runs["r1"] <= 1


def test_rejected_refusal_is_counted():
    world = _world()
    _add_replicas(world, "desk", _answer(503, _NOT_RUN, _EMPTY))
    with world.running():
        world.send_request("/non_idempotent/1")
        connection = http.client.HTTPConnection(
            *edge_world.split_address(world.options.readiness_address))
        connection.request("GET", "/metrics")
        data = connection.getresponse().read()
        connection.close()
    assert b'reason="response_refusal_without_id"} 1.0' in data


_CUT = {
    "length":
        _served,
    "chunks":
        _answer(200,
                "Transfer-Encoding: chunked",
                ids=["own"],
                body=b"2\r\nok\r\n" + replica.STREAM_END),
    "interim":
        _join(lambda request: b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n",
              _served),
    "refusal":
        _refused,
    "bare_line_feeds":
        lambda request: _served(request).replace(b"\r\n", b"\n"),
    "folded":
        _answer(200, "Content-Length:", " 2", ids=["own"], body=b"ok"),
}
_stream = _answer(200,
                  "Content-Type: text/event-stream",
                  "Transfer-Encoding: chunked",
                  ids=["own"],
                  body=replica.event_chunk(1) + replica.STREAM_END)


def _lengths(answer):
    """Returns the number of bytes of an answer, and each shorter one."""
    return range(
        len(answer(replica.Request("", "", {"x-attempt-id": "r00"}, b""))))


@pytest.mark.parametrize("path, service, answer", [
    *(pytest.param("/non_idempotent/1", "desk", answer, id=name)
      for name, answer in _CUT.items()),
    pytest.param("/draft/1", "engines", _stream, id="stream"),
])
def test_answer_that_is_cut_is_not_complete(path, service, answer):
    world = _world()

    def script(request):
        yield answer(request)[:int(request.id[1:])]

    for number in range(3):
        world.add_replica(f"i-{number}", service, script)
    with world.running():
        for size in _lengths(answer):
            with contextlib.suppress(http.client.IncompleteRead):
                status, _, _ = world.send_request(path,
                                                  X_Attempt_Id=f"r{size:02}",
                                                  X_Token_Usage="100,10")
                assert status == 502, size
