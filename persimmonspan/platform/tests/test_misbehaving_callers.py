"""Callers that ignore the limits must not end the process of a daemon.

Reported: callers that sent endless trailers, or many large bodies at once,
made a process run out of memory. Each test starts a daemon, lets a crowd of
callers misbehave, and then checks only that the process lives, that its memory
and its descriptors stayed within a bound, and that an ordinary request is
answered while the crowd is still connected. One test runs at a time.
"""

import time

import pytest

from testbed import caller_crowd
from testbed import replica

_MEMORY_MB = 112
_MAX_MEMORY_BYTES = _MEMORY_MB * 1024 * 1024
_MAX_FDS = 400
_MB = 1024 * 1024
_LARGE = 4 * _MB - 100  # Just below the limit of 4 MiB.
_STOPPED = 40  # Of the 48 callers, those that stop just before the end.
# Enough for any buffer; a limit must apply long before.
_ENDLESS = 24 * _MB
_ENDLESS_CALLERS = 8
_CHUNKED = "Transfer-Encoding: chunked"

pytestmark = [
    pytest.mark.xdist_group("misbehaving_callers"),
    # One test waits for the others.
    pytest.mark.timeout(600)
]


@pytest.fixture(autouse=True)
def _alone():
    with caller_crowd.alone():
        yield


def _answer(request):
    yield replica.complete_response(request, b"done")


def _check(world):
    """Checks the daemon while the crowd is still connected."""
    status = world.send_ordinary()
    assert world.process.poll() is None
    peak, descriptors = world.peak_memory_bytes(), world.open_descriptors()
    print(f"peak {peak / _MB:.0f} MB, {descriptors} descriptors, {status}")
    assert (status, peak <= _MAX_MEMORY_BYTES, descriptors
            <= _MAX_FDS) == (200, True, True), (
                f"peak {peak / _MB:.0f} MB, {descriptors} descriptors")


def _run(folder, parts, callers=caller_crowd.CALLERS, script=_answer):
    with caller_crowd.running(folder, script, _MEMORY_MB, _MAX_FDS) as world:
        with caller_crowd.crowd(world, parts, callers):
            _check(world)


def _one_trailer_line():
    yield caller_crowd.head(_CHUNKED) + b"1\r\nx\r\n0\r\nX-Trailer: "
    yield from caller_crowd.blocks(_ENDLESS)


def _many_trailer_lines():
    yield caller_crowd.head(_CHUNKED) + b"1\r\nx\r\n0\r\n"
    for number in range(_ENDLESS // 65536):
        yield b"X-%d: t\r\n" % number * 6000


def _trailers_of_a_kept_connection():
    for _ in range(50):
        yield caller_crowd.head(_CHUNKED) + b"1\r\nx\r\n0\r\n"
        yield b"X-Trailer: t\r\n" * 1000 + b"\r\n"
    yield from _one_trailer_line()


@pytest.mark.parametrize(
    "parts",
    [_one_trailer_line, _many_trailer_lines, _trailers_of_a_kept_connection])
def test_endless_trailers(tmp_path, parts):
    _run(tmp_path, lambda number: parts())


def test_trailers_that_stop_before_the_end(tmp_path):
    # After its response, a connection waited for the rest of the trailers on a
    # worker thread, as if they were the head of the next request.
    _run(
        tmp_path, lambda number: [
            caller_crowd.head(_CHUNKED) + b"1\r\nx\r\n0\r\nX-Trailer: " + b"t" *
            60_000
        ], 200)


def test_large_bodies_sent_whole(tmp_path):
    _run(
        tmp_path, lambda number:
        [caller_crowd.head(f"Content-Length: {_LARGE}"), b"z" * _LARGE])


def test_large_bodies_in_pieces_that_stop_before_the_end(tmp_path):

    def parts(number):
        yield caller_crowd.head(f"Content-Length: {_LARGE}")
        yield from caller_crowd.blocks(_LARGE - (number < _STOPPED))

    _run(tmp_path, parts)


def test_large_chunks_that_stop_before_the_end(tmp_path):

    def parts(number):
        yield caller_crowd.head(_CHUNKED)
        for _ in range(3):
            yield b"100000\r\n" + b"z" * _MB + b"\r\n"
        yield b"FFF00\r\n"
        yield from caller_crowd.blocks(0xFFF00)
        if number >= _STOPPED:
            yield b"\r\n0\r\n\r\n"

    _run(tmp_path, parts)


def _one_byte_chunks(payload):
    yield caller_crowd.head(_CHUNKED)
    for _ in range(payload // 8192):
        yield b"1\r\nz\r\n" * 8192


def test_one_byte_chunks_that_stop_before_the_end(tmp_path):
    _run(tmp_path, lambda number: _one_byte_chunks(_MB))


@pytest.mark.parametrize("size", [250, 4000])
def test_small_chunks_that_stop_before_the_end(tmp_path, size):
    chunk = b"%x\r\n" % size + b"z" * size + b"\r\n"

    def parts(number):
        del number
        yield caller_crowd.head(_CHUNKED)
        for _ in range(_LARGE // size // 16):
            yield chunk * 16

    _run(tmp_path, parts)


def _extended_chunks():
    yield caller_crowd.head(_CHUNKED)
    for _ in range(_ENDLESS // 65536):
        yield (b"1;" + b"e" * 8000 + b"\r\nz\r\n") * 8


def _one_chunk_line():
    yield caller_crowd.head(_CHUNKED) + b"1;"
    yield from caller_crowd.blocks(_ENDLESS)


def _one_chunk_above_all_limits():
    yield caller_crowd.head(_CHUNKED) + b"7FFFFFFF\r\n"
    yield from caller_crowd.blocks(_ENDLESS)


def _negative_length():
    yield caller_crowd.head("Content-Length: -1")
    yield from caller_crowd.blocks(_ENDLESS)


@pytest.mark.parametrize("parts", [
    _extended_chunks, _one_chunk_line, _one_chunk_above_all_limits,
    _negative_length
])
def test_body_without_end(tmp_path, parts):
    _run(tmp_path, lambda number: parts(), _ENDLESS_CALLERS)


def test_large_heads_that_stop_before_the_end(tmp_path):

    def parts(number):
        yield b"POST /idempotent/1 HTTP/1.1\r\n"
        # The limit of the listener is 64 KiB.
        yield (b"X-%d: " % number + b"h" * 4000 + b"\r\n") * 16

    _run(tmp_path, parts, 200)


def test_connections_without_a_request(tmp_path):
    _run(tmp_path, lambda number: [], 500)


def test_small_bodies_that_stop_before_the_end(tmp_path):
    # More of them than there are worker threads.
    _run(tmp_path,
         lambda number: [caller_crowd.head("Content-Length: 300") + b"z" * 299],
         250)


_LARGE_RESPONSE = 13 * _MB // 2


def _answer_large(request):
    yield replica.complete_response(
        request,
        b"done" if request.path.endswith("/1") else b"y" * _LARGE_RESPONSE)


def _stream_large(request):
    if request.path.startswith("/idempotent"):
        yield replica.complete_response(request, b"done")
        return
    yield replica.stream_head(request)
    for number in range(1, 200):
        data = b"id: %d\ndata: %b\n\n" % (number, b"t" * 16000)
        yield b"%x\r\n%b\r\n" % (len(data), data)
    yield replica.STREAM_END


@pytest.mark.parametrize("path, script", [("/idempotent/2", _answer_large),
                                          ("/draft/1", _stream_large)])
def test_responses_that_are_not_read(tmp_path, path, script):

    def parts(number):
        del number
        for _ in range(30):
            yield caller_crowd.head("Content-Length: 0", path=path)
            # A request that is rejected leaves its turn to the next one.
            time.sleep(0.1)

    with caller_crowd.running(tmp_path, script, _MEMORY_MB, _MAX_FDS) as world:
        with caller_crowd.crowd(world, parts, receive_buffer_bytes=4096):
            _check(world)


@pytest.mark.parametrize("is_chunked", [False, True])
def test_largest_body_is_served_alone(tmp_path, is_chunked):
    # The smallest machine of the operators has 88 MB for a daemon.
    with caller_crowd.running(tmp_path, _answer, 88) as world:
        assert world.send_ordinary(b"z" * 4 * _MB, is_chunked) == 200
        assert world.peak_memory_bytes() <= 88 * _MB
