"""Tests of engines whose answers are repeated, cut off or not a continuation.

`docs/design/reported-faults.md` lists the reports. The engines are in this
process; callers, engines and the daemon communicate over loopback.
"""

import collections
import json
import pathlib

import pytest
import urllib3

from persimmonspan.connection import engine
from testbed import processes
from testbed import replica

_SAMPLES = pathlib.Path(__file__).parents[3] / "samples"
_TOKENS = 5
_TOKENS_BEFORE_CUT = 3
_NOT_RUN = b'{"run_state":"not_run"}'
_LOAD = {
    "kv_used_tokens": 0,
    "kv_capacity_tokens": 65536,
    "running": 0,
    "waiting": 0,
    "preemptions": 0,
    "measured_age_s": 0.0,
    "incarnation": "1"
}


def _answer(status, *lines, body=b"", is_framed=True):
    """Returns an answer; "{id}" in a line stands for the request id."""

    def build(document):
        fields = [f"HTTP/1.1 {status} Status", *lines]
        if is_framed:
            fields.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(fields).replace("{id}", document["request_id"])
        return [head.encode() + b"\r\n\r\n" + body]

    return build


def _chunked(status, *lines, body=b"", end=replica.STREAM_END):

    def build(document):
        del document
        fields = [f"HTTP/1.1 {status} Status", *lines]
        return [
            "\r\n".join([*fields, "Transfer-Encoding: chunked"]).encode() +
            b"\r\n\r\n%x\r\n%b\r\n%b" % (len(body), body, end)
        ]

    return build


def _join(*answers):
    return lambda document: [
        b"".join(part for answer in answers for part in answer(document))
    ]


def _stream(first=0, last=_TOKENS, is_chunked=True, **changes):
    """Returns a stream of tokens that ends with its connection."""

    def build(document):
        yield (b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
               (b"Transfer-Encoding: chunked\r\n" if is_chunked else b"") +
               b"\r\n")
        for index in range(first, last):
            event = engine.encode_token({
                "r": document["request_id"],
                "g": document["generation_id"],
                "i": index,
                "t": f"t{index} ",
                "f": "stop" if index == _TOKENS - 1 else None
            } | changes)
            yield (b"%x\r\n%b\r\n" %
                   (len(event), event) if is_chunked else event)

    return build


class _Engines:
    """Two engines; the answers to the n-th request of a prompt are set."""

    def __init__(self):
        self.answers = {}
        self.generated = collections.Counter()
        self._calls = collections.Counter()
        self._prompts = {}

    def respond(self, request):
        """Responds to one request of the daemon."""
        if request.path not in ("/v1/generate", "/v1/resume"):
            body = json.dumps(_LOAD).encode()
            return _answer(200, body=body)({"request_id": ""})
        document = json.loads(request.body)
        generation_id = document["generation_id"]
        if request.path == "/v1/generate":
            prompt = document["prompt"].split()[-1]
            self._prompts[generation_id] = prompt
            self.generated[prompt] += 1
        prompt = self._prompts[generation_id]
        answers = self.answers[prompt]
        self._calls[prompt] += 1
        return answers[min(self._calls[prompt], len(answers)) - 1](document)


class _World:
    """A daemon with two engines."""

    def __init__(self, port, engines, pool):
        self.engines = engines
        self._port = port
        self._pool = pool

    def generate(self, prompt, *answers, is_idempotent=False, is_streamed=True):
        """Returns the response to a request with these answers of engines."""
        self.engines.answers[prompt] = answers
        kind = "permit-draft" if is_idempotent else "contract-draft"
        return self._pool.request(
            "POST",
            f"http://127.0.0.1:{self._port}/v1/completions",
            headers={
                "Authorization": "Bearer demo-miraflores",
                "X-Request-Kind": kind
            },
            json={
                "prompt": prompt,
                "stream": is_streamed
            },
            retries=False)


@pytest.fixture(name="world", scope="module")
def _world(tmp_path_factory):
    folder = tmp_path_factory.mktemp("engines")
    engines = _Engines()
    servers = [replica.Replica(engines.respond) for _ in range(2)]
    inventory = json.loads(
        (_SAMPLES / "plaza-verde-inventory.json").read_text())
    service = inventory["services"][0]
    service["replicas"] = service["replicas"][:2]
    for entry, server in zip(service["replicas"], servers):
        entry["address"] = server.address
    kinds = inventory["request_kinds"]
    draft = next(kind for kind in kinds if kind["name"] == "permit-draft")
    kinds.append(draft | {"name": "contract-draft", "idempotent": False})
    (folder / "inventory").write_text(json.dumps(inventory))
    (folder / "rules").write_text(
        json.dumps({
            "timeouts": {
                "connect_ms": 500,
                "first_token_ms": 5000,
                "between_tokens_ms": 5000,
                "request_ms": 20000
            },
            "default_limits": {
                "prompt_tokens": 10000,
                "output_tokens": 5000
            }
        }))
    port = processes.free_port()
    with servers[0].running(), servers[1].running(), processes.running(
            "persimmonspan",
            "serve",
            "--listen-address",
            f"127.0.0.1:{port}",
            "--inventory",
            str(folder / "inventory"),
            "--rules",
            str(folder / "rules"),
            port=port), urllib3.PoolManager() as pool:
        yield _World(port, engines, pool)


def _texts(data):
    return [
        json.loads(event.removeprefix("data: "))["choices"][0]["text"]
        for event in data.decode().split("\n\n")
        if event.startswith("data: {")
    ]


_JSON = "Content-Type: application/json"
_UNKNOWN = _answer(404, _JSON, body=b"{}")
_NO_PROMISE = {
    "of_another_request":
        _answer(503, _JSON, "X-Request-Id: r0", body=_NOT_RUN),
    "with_two_ids":
        _answer(503, "X-Request-Id: {id}", "X-Request-Id: r0", body=_NOT_RUN),
    "chunked_of_another_request":
        _chunked(503, "X-Request-Id: r0", body=_NOT_RUN),
    "unframed_of_another_request":
        _answer(503, "X-Request-Id: r0", body=_NOT_RUN, is_framed=False),
    "short_body":
        lambda document:
        [b"HTTP/1.1 503 Busy\r\nContent-Length: 99\r\n\r\n" + _NOT_RUN],
    "without_last_chunk":
        _chunked(503, body=_NOT_RUN, end=b""),
    "reset":
        lambda document: [
            b"HTTP/1.1 503 Busy\r\nContent-Length: 99\r\n\r\n" + _NOT_RUN,
            replica.ConnectionReset()
        ],
    "before_a_stream":
        _join(_answer(503, body=_NOT_RUN), _stream()),
    "twice":
        _join(*2 * [_answer(503, body=_NOT_RUN)]),
    "chunked_twice":
        _join(*2 * [_chunked(503, body=_NOT_RUN)]),
    "before_garbage":
        _join(_chunked(503, body=_NOT_RUN), lambda document: [b"\x00"]),
    "about_something_else":
        _answer(503, body=b'{"run_state":"ran","earlier":"not_run"}'),
    "html":
        _answer(503, body=b'<p class="not_run">'),
    "empty":
        _answer(503),
    "too_many":
        _answer(429, body=_NOT_RUN),
    "success":
        _answer(200, body=_NOT_RUN),
    "error":
        _answer(500, body=_NOT_RUN),
}


@pytest.mark.parametrize("name", _NO_PROMISE)
def test_refusal_that_may_be_of_another_request_is_no_promise(world, name):
    response = world.generate(name, _NO_PROMISE[name], _UNKNOWN)
    assert response.status == 502
    assert response.json()["error"]["run_state"] == "unknown"
    assert world.engines.generated[name] == 1


_REFUSALS = {
    "with_id":
        _answer(503, "X-Request-Id: {id}", body=_NOT_RUN),
    "without_id":
        _answer(503, body=_NOT_RUN),
    "chunked":
        _chunked(503, body=_NOT_RUN),
    "unframed":
        _answer(503, body=_NOT_RUN, is_framed=False),
    "after_interim":
        _join(lambda document: [b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"],
              _answer(503, body=_NOT_RUN)),
}


@pytest.mark.parametrize("name", _REFUSALS)
def test_refusal_of_the_request_is_believed(world, name):
    prompt = f"refused_{name}"
    response = world.generate(prompt, _REFUSALS[name], _stream())
    assert response.status == 200 and response.data.endswith(
        b"data: [DONE]\n\n")
    assert world.engines.generated[prompt] == 2


def test_stream_after_an_interim_response_is_relayed(world):
    response = world.generate(
        "interim",
        _join(lambda document: [b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"],
              _stream()))
    assert response.status == 200 and len(_texts(response.data)) == _TOKENS


_NO_CONTINUATION = {
    f"{status}_{name}": build for status in (404, 500, 503) for name, build in {
        "empty": _answer(status),
        "unframed": _answer(status, body=b"an error", is_framed=False),
        "chunked": _chunked(status, body=b"an error"),
        "not_run": _answer(status, body=_NOT_RUN),
        "tokens": _join(_answer(status, is_framed=False), _stream(3)),
    }.items()
} | {
    str(status): _answer(status, body=b"an error")
    for status in (204, 301, 304, 400, 404, 408, 421, 429, 500, 502, 503)
} | {
    "html": _answer(200, "Content-Type: text/html", body=b"<p>an error\n\n"),
    "json": _chunked(200, _JSON, body=b'{"an": "error"}\n\n'),
    "empty": _answer(200),
    "empty_unframed": _answer(200, is_framed=False),
    "head_in_body": _join(_answer(200, is_framed=False), _answer(500)),
    "other_request": _stream(3, r="r0"),
    "other_generation": _stream(3, g="g0"),
    "later_token": _stream(4),
    "cut_head": lambda document: [b"HTTP/1.1 200 OK\r\nContent-Le"],
}


@pytest.mark.parametrize("name, is_chunked", [
    *((name, True) for name in _NO_CONTINUATION),
    *((name, False) for name in _NO_CONTINUATION if not name[:1].isdigit()),
    *((name, False) for name in _NO_CONTINUATION if name.startswith("500")),
])
def test_begun_stream_without_a_continuation_ends_with_an_error(
        world, name, is_chunked):
    response = world.generate(
        f"begun_{name}_{is_chunked}",
        _stream(last=_TOKENS_BEFORE_CUT, is_chunked=is_chunked),
        _NO_CONTINUATION[name])
    tokens, _, error = response.data.partition(b"event: error\ndata: ")
    assert _texts(tokens) == [f"t{i} " for i in range(_TOKENS_BEFORE_CUT)]
    assert json.loads(error)["error"]["run_state"] == "ran"
    for part in (b"an error", b"[DONE]", b"HTTP/1."):
        assert part not in response.data


@pytest.mark.parametrize("name", ["500", "html", "other_request"])
def test_begun_generation_that_is_not_streamed_is_no_success(world, name):
    response = world.generate(f"held_{name}",
                              _stream(last=_TOKENS_BEFORE_CUT),
                              _NO_CONTINUATION[name],
                              is_streamed=False)
    assert response.status == 502
    assert response.json()["error"]["code"] == "stream_cut"


@pytest.mark.parametrize("name", ["500", "html", "other_request"])
def test_begun_stream_goes_on_after_an_unusable_answer(world, name):
    response = world.generate(f"on_{name}", _stream(last=_TOKENS_BEFORE_CUT),
                              _NO_CONTINUATION[name], _stream(3))
    assert _texts(response.data) == [f"t{i} " for i in range(_TOKENS)]
    assert response.data.endswith(b"data: [DONE]\n\n")


@pytest.mark.parametrize("is_chunked", [True, False])
def test_stream_that_is_cut_after_any_byte_is_not_complete(world, is_chunked):
    document = {"request_id": "r" * 40, "generation_id": "g" * 32}
    length = len(b"".join(
        _stream(_TOKENS - 1, is_chunked=is_chunked)(document)))
    whole = _stream(0, 1, is_chunked)

    def cut(size):
        return lambda document: [
            b"".join(whole(document))[:size],
        ]

    for size in range(0, length, 3):
        response = world.generate(f"size_{is_chunked}_{size}", cut(size),
                                  _UNKNOWN)
        assert b"[DONE]" not in response.data, size
        assert response.status == 502 or b"event: error" in response.data
