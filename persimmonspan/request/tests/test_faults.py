"""Tests the guarantees to callers while engines, links and callers fail.

Each fault is a real one, caused over a socket or by ending a process.
"""

import json
import socket
import struct
import time

import pytest

from testbed import engine

_TOKENS = 40
_WAIT_S = 15.0


def _token_texts(data, *, is_chat=False):
    events = data.decode().split("\n\n")
    choices = [
        json.loads(event.removeprefix("data: "))["choices"][0]
        for event in events
        if event.startswith("data: {")
    ]
    if is_chat:
        return [choice["delta"]["content"] for choice in choices][1:]
    return [choice["text"] for choice in choices]


def _expected_texts(prompt, count=_TOKENS):
    return [f"{engine.prompt_hash(prompt)}-{i} " for i in range(count)]


def _wait_until(condition):
    end_s = time.monotonic() + _WAIT_S
    while not condition():
        assert time.monotonic() < end_s, "condition did not come true"
        time.sleep(0.02)


def _open_stream(shared, prompt, path="/v1/completions", **fields):
    body = json.dumps({"prompt": prompt, "stream": True, **fields}).encode()
    sock = socket.create_connection(("127.0.0.1", shared.port), _WAIT_S)
    sock.sendall(
        b"POST %b HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-miraflores"
        b"\r\nContent-Length: %d\r\n\r\n%b" % (path.encode(), len(body), body))
    return sock


_FAULTS = [("crossed", "stream_crossed"),
           ("wrong_generation", "stream_wrong_generation"),
           ("wrong_index", "stream_wrong_index"), ("garbage", "stream_garbage"),
           ("truncate", "stream_truncated"), ("stop", "stream_truncated"),
           ("hang", "stream_silent"), ("repeat", "stream_token_repeated")]


@pytest.mark.parametrize("is_streamed", [True, False])
@pytest.mark.parametrize("fault, counter", _FAULTS)
def test_faulty_connection_is_resumed(shared, fault, counter, is_streamed):
    # Guards against a lost, repeated or foreign token after a link fault.
    prompt = f"{is_streamed} [{fault}@7]"
    before = shared.counters().get(counter, 0)
    response = shared.post(json={"prompt": prompt, "stream": is_streamed})
    assert response.status == 200
    if is_streamed:
        assert _token_texts(response.data) == _expected_texts(prompt)
        assert response.data.endswith(b"data: [DONE]\n\n")
    else:
        assert response.json()["choices"][0]["text"] == "".join(
            _expected_texts(prompt))
    assert shared.counters()[counter] == before + 1


@pytest.mark.parametrize("fault", ["crossed", "truncate", "hang", "garbage"])
def test_fault_before_the_first_token_is_resumed(shared, fault):
    # Guards against a second generation where a resume is possible.
    prompt = f"first [{fault}@0]"
    response = shared.post(json={
        "prompt": prompt,
        "stream": True
    },
                           headers={"X-Request-Id": f"first-{fault}"})
    assert _token_texts(response.data) == _expected_texts(prompt)
    runs = [
        count for name in ("permit-model-1", "permit-model-2")
        for request_id, count in shared.read(name, "/v1/runs").items()
        if request_id.startswith(f"first-{fault}.")
    ]
    assert runs == [1]


def test_half_open_link_is_replaced(deploy):
    # Guards against a stream that waits forever on a silent connection.
    with deploy(replicas=1) as deployment:
        proxy = deployment.proxies["permit-model-1"]
        with _open_stream(deployment, "half open") as sock:
            data = sock.recv(1000)
            assert proxy.silence_connections() > 0
            while not data.endswith(b"0\r\n\r\n"):
                data += sock.recv(65536)
        assert b"data: [DONE]" in data
        for text in _expected_texts("half open"):
            assert data.count(f'"{text}"'.encode()) == 1
        assert deployment.counters()["stream_silent"] == 1


def test_reset_link_is_replaced(deploy):
    # Guards against an error to the caller after an interrupted connection.
    with deploy(replicas=1) as deployment:
        proxy = deployment.proxies["permit-model-1"]
        proxy.delay_s = 0.01
        with _open_stream(deployment, "cut") as sock:
            data = sock.recv(1000)
            assert proxy.reset_connections() > 0
            while not data.endswith(b"0\r\n\r\n"):
                data += sock.recv(65536)
        assert [
            data.count(f'"{text}"'.encode()) for text in _expected_texts("cut")
        ] == [1] * _TOKENS


@pytest.mark.parametrize("is_streamed", [True, False])
def test_engine_dies_after_tokens(deploy, is_streamed):
    # Guards against tokens of a second generation, and a false [DONE].
    with deploy() as deployment:
        prompt = "dies [die@5]"
        response = deployment.post(json={
            "prompt": prompt,
            "stream": is_streamed
        })
        if is_streamed:
            assert _token_texts(response.data) == _expected_texts(prompt, 5)
            assert b"[DONE]" not in response.data
            _, _, error = response.data.partition(b"event: error\ndata: ")
            error = json.loads(error)["error"]
        else:
            assert response.status == 502
            error = response.json()["error"]
        assert error["code"] == "stream_cut"
        assert error["run_state"] == "ran"


def test_engine_dies_before_the_first_token(deploy):
    # Guards against an error where another target can run the request.
    with deploy() as deployment:
        prompt = "dies early [die@0]"
        response = deployment.post(json={"prompt": prompt})
        # The directive ends the second engine too, so no target is left.
        assert response.status == 503
        assert response.json()["error"]["run_state"] == "unknown"
        codes = [deployment.targets[f"permit-model-{i}"][0].wait(_WAIT_S)
                 for i in (1, 2)]  # yapf: disable
        assert codes == [1, 1]


def test_killed_engine_is_replaced(deploy):
    # Guards against refusing a request while a live target remains.
    with deploy() as deployment:
        deployment.targets["permit-model-1"][0].kill()
        for i in range(4):
            response = deployment.post(json={"prompt": f"after {i}"})
            assert response.status == 200, response.data


def test_engine_cancels_when_the_caller_leaves(shared):
    # Guards against engines that decode for a caller that left.
    for name, prompt in (("after", "long"), ("before", "wait [hang@0]")):
        with _open_stream(shared, prompt) as sock:
            if name == "after":
                sock.recv(1000)
            else:
                _wait_until(
                    lambda: shared.read("permit-model-1", "/v1/load")["running"]
                    + shared.read("permit-model-2", "/v1/load")["running"] > 0)
            cancelled = len(_cancelled_requests(shared))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        _wait_until(lambda: len(_cancelled_requests(shared)) == cancelled + 1)  # pylint: disable=cell-var-from-loop


def _cancelled_requests(shared):
    return (shared.read("permit-model-1", "/v1/cancelled") +
            shared.read("permit-model-2", "/v1/cancelled"))


def test_deadline_ends_a_stream(shared):
    # Guards against a stream that continues after its deadline.
    with _open_stream(shared, "deadline", "/v1/completions") as sock:
        sock.recv(100)
    response = shared.post(json={
        "prompt": "deadline",
        "stream": True
    },
                           headers={"X-Deadline-Ms": "100"})
    assert 0 < len(_token_texts(response.data)) < _TOKENS
    assert b"[DONE]" not in response.data
    error = json.loads(response.data.partition(b"event: error\ndata: ")[2])
    assert error["error"]["code"] == "deadline_exceeded"
    assert error["error"]["run_state"] == "ran"


@pytest.mark.parametrize("fault, kind, status, run_state",
                         [("crossed", "fee-payment", 409, "unknown"),
                          ("slow", "fee-payment", 409, "unknown"),
                          ("close", "fee-payment", 409, "unknown"),
                          ("refuse", "fee-payment", 503, "not_run"),
                          ("slow", "status-lookup", 503, "unknown"),
                          ("crossed", "status-lookup", 503, "unknown")])
def test_plain_service_fault(shared, fault, kind, status, run_state):
    # Guards against a second run of a payment, and a false not_run.
    body = f"{kind} {fault}"
    response = shared.post(f"/desk/fees?fault={fault}",
                           headers={"X-Request-Kind": kind},
                           body=body)
    assert response.status == status
    assert response.json()["error"]["run_state"] == run_state
    runs = [
        shared.read(name, "/v1/runs").get(body, 0)
        for name in ("permit-desk-1", "permit-desk-2")
    ]
    if kind == "status-lookup":
        assert runs == [1, 1]  # Retried once at the other target.
    else:
        assert sum(runs) == (run_state == "unknown")
