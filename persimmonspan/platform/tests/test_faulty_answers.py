"""Tests of answers that are repeated, cut off or not a continuation.

`docs/design/reported-faults.md` lists the reports. Callers, replicas and the
daemon communicate over loopback.
"""

import socket
import time

import pytest

from testbed import edge_world
from testbed import replica

_EVENTS = 6
_EVENTS_BEFORE_CUT = 3
_EVENT_STREAM = "Content-Type: text/event-stream"
_PAUSE_S = 0.05  # So that parts arrive separately.


def _world(**route_changes):
    world = edge_world.EdgeEnvironment()
    world.rows.write("op", "config", edge_world.configuration(**route_changes))
    return world


@pytest.fixture(name="world")
def _default_world():
    return _world()


def _exchange(world, path, method="POST", version="1.1", extra=""):
    """Returns all bytes of the response, and whether the end was a reset."""
    data = b""
    with socket.create_connection(
            edge_world.split_address(world.options.listen_address),
            edge_world.TIMEOUT_S) as sock:
        sock.sendall((f"{method} {path} HTTP/{version}\r\n"
                      f"Host: {edge_world.HOST}\r\nX-Attempt-Id: r1\r\n"
                      "X-Api-Key: k\r\nX-Deadline-Ms: 4000\r\n"
                      "X-Token-Usage: 100,50\r\nContent-Length: 1\r\n"
                      f"Connection: close\r\n{extra}\r\nx").encode())
        try:
            while part := sock.recv(65536):
                data += part
        except ConnectionResetError:
            return data, True
    return data, False


def _is_complete(data, is_reset):
    """Returns whether a response looks complete to its caller."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator or is_reset:
        return False
    head = head.lower()
    if b"transfer-encoding: chunked" in head:
        return body.endswith(replica.STREAM_END)
    _, found, length = head.partition(b"content-length: ")
    return not found or len(body) == int(length.split(b"\r\n")[0])


def _chunks(data):
    """Returns the content of the chunks, and the bytes behind the last one."""
    content, rest = b"", data
    while rest and not rest.startswith(replica.STREAM_END):
        size, _, rest = rest.partition(b"\r\n")
        part = rest[:int(size, 16)]
        assert rest.startswith(part + b"\r\n")
        content, rest = content + part, rest[len(part) + 2:]
    return content, rest


def _events_until(last):
    return b"".join(map(_event, range(1, last + 1)))


def _event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def _stream(request, stop_after=None):
    first = int(request.headers.get("last-event-id", 0)) + 1
    yield replica.stream_head(request)
    for number in range(first, _EVENTS + 1):
        yield replica.event_chunk(number)
        if number == stop_after:
            time.sleep(_PAUSE_S)
            return
    yield replica.STREAM_END


def _whole(status, *lines, body=b"an error"):

    def script(request):
        yield replica.complete_response(request, body, status, lines)

    return script


def _unframed(status, body=b"an error"):

    def script(request):
        yield replica.response_head(request, status) + body

    return script


def _chunked(status, *lines, body=b"an error"):

    def script(request):
        yield replica.response_head(request, status,
                                    "Transfer-Encoding: chunked", *lines)
        if body:
            yield b"%x\r\n%b\r\n" % (len(body), body)
        yield replica.STREAM_END

    return script


def _no_body(status):

    def script(request):
        yield replica.response_head(request, status)

    return script


def _after_interim(status):

    def script(request):
        yield b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"
        yield replica.complete_response(request, b"an error", status)

    return script


def _unsigned_stream(request):
    del request
    yield (b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
           b"Transfer-Encoding: chunked\r\n\r\n" + replica.event_chunk(4) +
           replica.STREAM_END)


def _head_before_event(request):
    yield replica.response_head(request, 200, _EVENT_STREAM)
    # The target answers once more where the next event is due.
    yield replica.response_head(request, 200, _EVENT_STREAM) + _event(4)


def _other_request(request):
    return _stream(
        request._replace(headers=request.headers | {"x-attempt-id": "r0"}))


_NO_CONTINUATION = {
    "204":
        _no_body(204),
    "301":
        _whole(301, "Location: /elsewhere"),
    "304":
        _no_body(304),
    "400":
        _whole(400),
    "404":
        _whole(404),
    "404_empty":
        _whole(404, body=b""),
    "404_unframed":
        _unframed(404),
    "404_chunked":
        _chunked(404),
    "404_events":
        _chunked(404, body=_event(4)),
    "404_after_interim":
        _after_interim(404),
    "408":
        _whole(408),
    "421":
        _whole(421, "X-Instance-Id: o"),
    "429":
        _whole(429),
    "429_not_run":
        _whole(429, "X-Not-Executed: 1"),
    "500":
        _whole(500),
    "500_unframed":
        _unframed(500),
    "500_chunked":
        _chunked(500),
    "503":
        _whole(503),
    "503_not_run":
        _whole(503, "X-Not-Executed: 1", body=b""),
    "200_html":
        _whole(200, "Content-Type: text/html"),
    "200_html_empty":
        _whole(200, "Content-Type: text/html", body=b""),
    "200_html_events":
        _whole(200, "Content-Type: text/html", body=_event(4)),
    "200_json_chunked":
        _chunked(200, "Content-Type: application/json"),
    "200_json_chunked_empty":
        _chunked(200, "Content-Type: application/json", body=b""),
    "200_unframed_empty":
        _unframed(200, b""),
    "200_events_empty":
        _whole(200, _EVENT_STREAM, body=b""),
    "200_events_chunked_empty":
        _chunked(200, _EVENT_STREAM, body=b""),
    "200_events_that_the_caller_has":
        _chunked(200, _EVENT_STREAM, body=_events_until(_EVENTS_BEFORE_CUT)),
    "200_not_run":
        _chunked(200,
                 "X-Not-Executed: 1",
                 "Content-Type: text/event-stream",
                 body=_event(4)),
    "201":
        _whole(201),
    "206":
        _whole(206, "Content-Range: bytes 0-7/8"),
    "head_before_event":
        _head_before_event,
    "unsigned":
        _unsigned_stream,
    "other_request":
        _other_request,
}
_each_no_continuation = pytest.mark.parametrize("answer",
                                                _NO_CONTINUATION.values(),
                                                ids=_NO_CONTINUATION.keys())


def _add_engines(world, *scripts):
    """Adds an engine per script; the n-th request gets the n-th script."""
    requests = []

    def script(request):
        if request.method == "DELETE" or request.path == "/kv-move":
            return [replica.complete_response(request, b"{}", 404)]
        requests.append(request)
        return scripts[min(len(requests), len(scripts)) - 1](request)

    for number in range(8):
        world.add_replica(f"i-{number}", "engines", script)
    return requests


def _cut_stream(request):
    return _stream(request, _EVENTS_BEFORE_CUT)


def _check_cut_after_the_events(data, is_reset):
    assert not _is_complete(data, is_reset)
    assert data.count(b"HTTP/1.") == 1 and data.startswith(b"HTTP/1.1 200")
    body = data.partition(b"\r\n\r\n")[2]
    assert _chunks(body) == (_events_until(_EVENTS_BEFORE_CUT), b"")


@_each_no_continuation
def test_begun_stream_whose_copy_gives_no_continuation_is_cut(world, answer):
    requests = _add_engines(world, _cut_stream, answer)
    with world.running():
        _check_cut_after_the_events(*_exchange(world, "/draft/1"))
    assert len(requests) == 2 and "kv-from" in requests[1].headers


@_each_no_continuation
def test_begun_resumable_stream_without_attempts_left_is_cut(answer):
    world = _world(resumable=True, maxAttempts=2)
    requests = _add_engines(world, _cut_stream, answer, answer)
    with world.running():
        _check_cut_after_the_events(*_exchange(world, "/draft/1"))
    assert len(requests) >= 2


# Answers that count as an interruption are left out: after two interruptions
# the scheduler holds a request back, as it may crash its targets.
@pytest.mark.parametrize("name", [
    name for name in _NO_CONTINUATION
    if name[0] != "2" or name in ("201", "204", "206")
    if name not in ("head_before_event", "unsigned", "other_request")
])
def test_begun_resumable_stream_goes_on_after_an_unusable_answer(name):
    answer = _NO_CONTINUATION[name]
    world = _world(resumable=True, maxAttempts=4)
    _add_engines(world, _cut_stream, answer, _stream)
    with world.running():
        data, is_reset = _exchange(world, "/draft/1")
    assert _is_complete(data, is_reset)
    assert _chunks(data.partition(b"\r\n\r\n")[2]) == (_events_until(_EVENTS),
                                                       replica.STREAM_END)


@pytest.mark.parametrize("answer", [
    _whole(404),
    _whole(500),
    _whole(503, "X-Not-Executed: 1"),
])
def test_cut_stream_to_a_caller_of_http_1_0_ends_with_a_reset(world, answer):
    # The end of the connection is the end of the body there.
    _add_engines(world, _cut_stream, answer)
    with world.running():
        data, is_reset = _exchange(world, "/draft/1", version="1.0")
    assert is_reset and data.count(b"HTTP/1.") == 1


def test_second_answer_within_an_unframed_stream_is_no_event(world):

    def script(request):
        yield replica.response_head(request, 200, _EVENT_STREAM) + _event(1)
        time.sleep(_PAUSE_S)
        yield replica.response_head(request, 200, _EVENT_STREAM) + _event(2)

    _add_engines(world, script)
    with world.running():
        data, is_reset = _exchange(world, "/draft/1")
    assert not _is_complete(data, is_reset)
    assert _chunks(data.partition(b"\r\n\r\n")[2]) == (_event(1), b"")
