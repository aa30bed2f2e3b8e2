"""Tests the decoding of engine responses."""

import json

import hypothesis
from hypothesis import strategies

from persimmonspan.connection import engine

_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _reader():
    reader = engine.ResponseReader("127.0.0.1:1", "r1", "g1")
    assert reader.feed(_HEAD + b"5\r\n: a\n\n\r\n") == []
    return reader


def _chunk(index, text, finish=None):
    event = engine.encode_token({
        "r": "r1",
        "g": "g1",
        "i": index,
        "t": text,
        "f": finish
    })
    return b"%x\r\n%b\r\n" % (len(event), event)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
@hypothesis.given(index=strategies.integers(0, 120),
                  text=strategies.text(max_size=8),
                  position=strategies.integers(0, 90),
                  change=strategies.binary(max_size=3),
                  removed=strategies.integers(0, 3))
def test_matched_bytes_decode_to_the_expected_token(index, text, position,
                                                    change, removed):
    # Guards against bytes that pass the comparison but do not decode or decode
    # to another token.
    data = _chunk(index, text)
    assert json.loads(_reader().match_expected_token(data, index)) == text
    data = data[:position] + change + data[position + removed:]
    compared = _reader().match_expected_token(data, index)
    if compared is None:
        return
    assert b"\n" not in compared and b"\r" not in compared
    reader = _reader()
    token, = reader.feed(data)
    assert reader.failure is None
    assert token == {
        "r": "r1",
        "g": "g1",
        "i": index,
        "t": json.loads(compared),
        "f": None
    }


def test_match_rejects_other_tokens():
    # Guards against matching a last, repeated, truncated or wrong token.
    assert _reader().match_expected_token(_chunk(3, "a"), 4) is None
    assert _reader().match_expected_token(_chunk(3, "a", "stop"), 3) is None
    assert _reader().match_expected_token(_chunk(3, "a") * 2, 3) is None
    assert _reader().match_expected_token(
        _chunk(3, "a").replace(b'"r1"', b'"r2"'), 3) is None
    assert _reader().match_expected_token(_chunk(3, "a")[:-1], 3) is None


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(cuts=strategies.lists(strategies.integers(0, 400)))
def test_response_may_be_split_anywhere(cuts):
    # Guards against tokens that are lost or changed at the end of a read.
    data = _HEAD + b"".join(_chunk(i, f"é{i}") for i in range(5)) + b"0\r\n\r\n"
    reader = engine.ResponseReader("127.0.0.1:1", "r1", "g1")
    tokens = []
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for start, end in zip(edges, edges[1:]):
        tokens += reader.feed(data[start:end])
    assert [token["t"] for token in tokens] == [f"é{i}" for i in range(5)]
    assert isinstance(reader.failure, engine.TruncatedError)
