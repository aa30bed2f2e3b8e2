"""Tests of the decoder of chunked bodies."""

from hypothesis import given
from hypothesis import strategies
import pytest

from persimmonspan.connection import request_bodies


def _decode(data, max_bytes=1_000_000, step=8192):
    decoder, body = request_bodies.ChunkDecoder(max_bytes), bytearray()
    for start in range(0, len(data), step):
        decoder.feed(data[start:start + step], body)
    return body, decoder.is_complete


@given(strategies.lists(strategies.binary(min_size=1)),
       strategies.integers(1, 50))
def test_body_does_not_depend_on_how_it_arrives(chunks, step):
    data = b"".join(b"%x;e=1\r\n%b\r\n" % (len(chunk), chunk)
                    for chunk in chunks) + b"0\r\nX-Sum: 1\r\n\r\n"
    assert _decode(data, step=step) == (b"".join(chunks), True)
    assert _decode(data[:-1], step=step) == (b"".join(chunks), False)


@pytest.mark.parametrize("data", [
    b"1;" + b"e" * 2000, b"-1\r\n", b"+1\r\n", b"1_0\r\n", b"\r\n", b"g\r\n",
    b"1\r\nxy\r\n", b"0\r\n" + b"X: " + b"t" * 20_000,
    b"0\r\n" + b"X: t\r\n" * 4000, (b"1;" + b"e" * 900 + b"\r\nz\r\n") * 200
])
def test_chunks_beyond_their_limits_are_rejected(data):
    with pytest.raises(request_bodies.MalformedBodyError):
        _decode(data)


def test_chunk_is_rejected_by_its_announced_size():
    # cheroot read all of it before it looked at the limit.
    with pytest.raises(request_bodies.TooLargeError):
        _decode(b"7fffffff\r\n")


def test_chunks_of_one_byte_are_within_the_limits():
    assert _decode(b"1\r\nz\r\n" * 100_000 + b"0\r\n\r\n")[1]
