"""Tests the listener: formats, errors, limits, slow callers and TLS."""

import contextlib
import datetime
import json
import socket
import ssl
import time

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

from testbed import engine

_WAIT_S = 15.0


def _events(data):
    return [
        json.loads(event.removeprefix("data: "))
        for event in data.decode().split("\n\n")
        if event.startswith("data: {")
    ]


def _ask(port, head, body=b"", wrap=lambda sock: sock):
    """Sends raw bytes and returns all received bytes."""
    with wrap(socket.create_connection(("127.0.0.1", port), _WAIT_S)) as sock:
        sock.sendall(head + body)
        data = b""
        while part := sock.recv(65536):
            data += part
    return data


def test_completion_formats(shared):
    # Guards against responses that OpenAI clients cannot read.
    word = engine.prompt_hash("fair")
    whole = shared.post(json={"prompt": "fair", "max_tokens": 3}).json()
    assert whole["object"] == "text_completion"
    assert whole["model"] == "permit-drafter"
    assert isinstance(whole["created"], int)
    assert whole["choices"][0]["text"] == f"{word}-0 {word}-1 {word}-2 "
    assert whole["usage"]["completion_tokens"] == 3
    assert whole["usage"]["total_tokens"] == (whole["usage"]["prompt_tokens"] +
                                              3)


def test_chat_formats(shared):
    # Guards against a chat response in the format of a completion.
    body = {
        "messages": [{
            "role": "user",
            "content": [{
                "type": "text",
                "text": "fair"
            }]
        }],
        "max_tokens": 2
    }
    word = engine.prompt_hash("user: fair")
    whole = shared.post("/v1/chat/completions", json=body).json()
    assert whole["object"] == "chat.completion"
    assert whole["choices"][0]["message"] == {
        "role": "assistant",
        "content": f"{word}-0 {word}-1 "
    }
    body |= {"stream": True, "stream_options": {"include_usage": True}}
    response = shared.post("/v1/chat/completions", json=body)
    events = _events(response.data)
    assert {event["object"] for event in events} == {"chat.completion.chunk"}
    deltas = [
        event["choices"][0]["delta"] for event in events if event["choices"]
    ]
    assert deltas == [{
        "role": "assistant",
        "content": ""
    }, {
        "content": f"{word}-0 "
    }, {
        "content": f"{word}-1 "
    }]
    assert events[-1]["usage"]["completion_tokens"] == 2
    assert response.data.endswith(b"data: [DONE]\n\n")


@pytest.mark.parametrize("path, body, status, part", [
    ("/nowhere", b"{}", 404, "/nowhere"),
    ("/v1/completions", b"{", 400, "truncated"),
    ("/v1/completions", b'{"prompt": 5}', 400, "$.prompt"),
    ("/v1/completions", b"{}", 400, '"prompt" is missing'),
    ("/v1/completions", b'{"prompt": "a", "max_tokens": 0}', 400, ">= 1"),
    ("/v1/completions", b'{"prompt": "a", "n": 2}', 400, "$.n"),
    ("/v1/completions", b'{"prompt": "a", "model": "b"}', 404, '"b"'),
    ("/v1/completions", b'{"prompt": "a", "max_tokens": 6000}', 429,
     "output tokens"),
    ("/v1/completions", b'{"prompt": "%b"}' %
     (b"a" * 80000), 429, "prompt tokens"),
    ("/v1/completions", b"a" * 100001, 413, "100000 bytes"),
])
def test_bad_request_gets_a_clear_error(shared, path, body, status, part):
    # Guards against bad requests that run or are refused without a reason.
    response = shared.post(path, body=body)
    error = response.json()["error"]
    assert response.status == status, error
    assert part in error["message"]
    assert error["run_state"] == "not_run"


@pytest.mark.parametrize("headers", [{
    "X-Request-Id": "a b"
}, {
    "X-Deadline-Ms": "soon"
}, {
    "X-Request-Kind": "other"
}, {
    "Idempotency-Key": "x" * 256
}])
def test_bad_header_gets_a_clear_error(shared, headers):
    # Guards against ids that break log lines or requests to targets.
    response = shared.post(json={"prompt": "a"}, headers=headers)
    assert response.status == 400
    assert next(iter(headers)) in response.json()["error"]["message"]


def test_request_id_is_echoed_and_unique_at_the_engine(shared):
    # Guards against swapped responses when two callers send the same id.
    for _ in range(2):
        response = shared.post(json={
            "prompt": "a",
            "max_tokens": 1
        },
                               headers={"X-Request-Id": "same"})
        assert response.headers["X-Request-Id"] == "same"
    runs = [
        run for name in ("permit-model-1", "permit-model-2")
        for run in shared.read(name, "/v1/runs").items()
        if run[0].startswith("same.")
    ]
    assert sorted(count for _, count in runs) == [1, 1]


def test_caller_slow_to_send_is_disconnected(shared):
    # Guards against callers that occupy worker threads with endless requests.
    head = (b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer demo-miraflores\r\n")
    assert _ask(shared.port, head).startswith(b"HTTP/1.1 408")
    with socket.create_connection(("127.0.0.1", shared.port)) as sock:
        sock.settimeout(0.2)
        data = b""
        for part in (head[i:i + 1] for i in range(len(head))):
            sock.sendall(part)  # The gap between bytes stays short.
            with contextlib.suppress(TimeoutError):
                data = sock.recv(1000)
                break
        assert data.startswith(b"HTTP/1.1 408")
    data = _ask(shared.port, head + b"Content-Length: 100\r\n\r\n", b"{")
    assert data.startswith(b"HTTP/1.1 400")
    assert b"not whole" in data
    counters = shared.counters()
    assert counters["caller_slow_headers"] == 2
    assert counters["caller_slow_body"] == 1


def test_caller_slow_to_read_is_disconnected(deploy):
    # Guards against callers that never read and so occupy memory and engines.
    with deploy("--write-timeout-s", "1", replicas=1) as deployment:
        body = json.dumps({"prompt": "x [long@0]", "stream": True}).encode()
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
            sock.connect(("127.0.0.1", deployment.port))
            sock.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                         b"Authorization: Bearer demo-miraflores\r\n"
                         b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
            end_s = time.monotonic() + _WAIT_S
            while not deployment.read("permit-model-1", "/v1/cancelled"):
                assert time.monotonic() < end_s, "not cancelled"
                time.sleep(0.05)
        assert deployment.counters()["caller_left"] == 1


def _write_certificate(folder, name):
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    start = datetime.datetime(2020, 1, 1)
    certificate = x509.CertificateBuilder(
        subject, subject, key.public_key(), x509.random_serial_number(), start,
        start + datetime.timedelta(days=36500)).sign(key, hashes.SHA256())
    (folder / "key.pem").write_bytes(
        key.private_bytes(serialization.Encoding.PEM,
                          serialization.PrivateFormat.PKCS8,
                          serialization.NoEncryption()))
    (folder / "certificate.pem").write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM))


def test_certificate_is_reloaded_without_restart(deploy, tmp_path):
    # Guards against an outage or a restart when a certificate is replaced.
    _write_certificate(tmp_path, "first")
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    names = []

    def wrap(sock):
        wrapped = context.wrap_socket(sock)
        certificate = x509.load_der_x509_certificate(
            wrapped.getpeercert(binary_form=True))
        names.append(certificate.subject.rfc4514_string())
        return wrapped

    body = b'{"prompt": "fair", "stream": true}'
    head = (b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            b"Authorization: Bearer demo-miraflores\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body))
    with deploy("--tls-certificate",
                str(tmp_path / "certificate.pem"),
                "--tls-key",
                str(tmp_path / "key.pem"),
                replicas=1) as deployment:
        assert b"data: [DONE]" in _ask(deployment.port, head, body, wrap)
        with socket.create_connection(("127.0.0.1", deployment.port)):
            # A connection without a handshake must not block others.
            _write_certificate(tmp_path, "second")
            assert b"data: [DONE]" in _ask(deployment.port, head, body, wrap)
        (tmp_path / "key.pem").write_text("half written")
        assert b"data: [DONE]" in _ask(deployment.port, head, body, wrap)
    assert names == ["CN=first", "CN=second", "CN=second"]
