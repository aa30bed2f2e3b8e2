"""Tests that engines and plain services get nothing while they are closed.

The daemon is a process with two engines and two desks in this process; one of
each turns its first request away and names a time.
"""

import collections
import json
import pathlib
import time

import pytest
import urllib3

from persimmonspan.connection import engine
from testbed import processes
from testbed import replica

_SAMPLES = pathlib.Path(__file__).parents[3] / "samples"
_PAUSE_S = 2.0
_GRACE_S = 0.5
_MAX_LATE_REQUESTS = 2
_REQUEST_INTERVAL_S = 0.04
_LOAD = {
    "kv_used_tokens": 0,
    "kv_capacity_tokens": 65536,
    "running": 0,
    "waiting": 0,
    "preemptions": 0,
    "measured_age_s": 0.0,
    "incarnation": "1"
}


class _Closing:
    """A target that turns one request away and then counts what comes."""

    def __init__(self, respond, is_closing):
        self.turned_away_s = None
        self.calls = collections.defaultdict(list)  # Times by path.
        self._respond = respond
        self._is_closing = is_closing

    def __call__(self, request):
        if self._is_closing and not self.turned_away_s and (request.method
                                                            == "POST"):
            self.turned_away_s = time.monotonic()
            return _turn_away(request)
        if self.turned_away_s:
            self.calls[request.path].append(time.monotonic() -
                                            self.turned_away_s)
        return self._respond(request)

    def count_late(self):
        """Returns how many calls came in the pause, after the grace."""
        return sum(_GRACE_S <= at_s < _PAUSE_S
                   for times_s in self.calls.values()
                   for at_s in times_s)


def _answer(request, status, body, *lines):
    fields = [
        f"HTTP/1.1 {status} Status",
        f"X-Request-Id: {request.headers.get('x-request-id', '')}",
        f"Content-Length: {len(body)}", *lines
    ]
    return ["\r\n".join(fields).encode() + b"\r\n\r\n" + body]


def _turn_away(request):
    return _answer(request, 503, b'{"run_state":"not_run"}',
                   "X-Run-State: not_run", f"Retry-After: {_PAUSE_S}")


def _generate(request):
    if request.path == "/v1/load":
        return _answer(request, 200, json.dumps(_LOAD).encode())
    document = json.loads(request.body)
    token = engine.encode_token({
        "r": document["request_id"],
        "g": document["generation_id"],
        "i": 0,
        "t": "t0 ",
        "f": "stop"
    })
    return [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" %
        (len(token), token) + replica.STREAM_END
    ]


def _look_up(request):
    return _answer(request, 200, b"{}")


@pytest.fixture(name="daemon")
def _daemon(tmp_path):
    """A daemon's port and its closing engine and desk."""
    scripts = [
        _Closing(respond, is_closing)
        for respond in (_generate, _look_up)
        for is_closing in (True, False)
    ]
    servers = [replica.Replica(script) for script in scripts]
    inventory = json.loads(
        (_SAMPLES / "plaza-verde-inventory.json").read_text())
    for number, service in enumerate(inventory["services"]):
        service["replicas"] = service["replicas"][:2]
        for entry, server in zip(service["replicas"], servers[2 * number:]):
            entry["address"] = server.address
    (tmp_path / "inventory").write_text(json.dumps(inventory))
    port = processes.free_port()
    with servers[0].running(), servers[1].running(), servers[2].running(
    ), servers[3].running(), processes.running("persimmonspan",
                                               "serve",
                                               "--listen-address",
                                               f"127.0.0.1:{port}",
                                               "--inventory",
                                               str(tmp_path / "inventory"),
                                               port=port):
        yield port, scripts[0], scripts[2]


def _send_during_pause(port, closing, path, kind, body):
    """Sends requests until the pause of a target has passed."""
    statuses = collections.Counter()
    end_s = time.monotonic() + 2 * _PAUSE_S
    with urllib3.PoolManager() as pool:
        while time.monotonic() < end_s:
            if (closing.turned_away_s and
                    time.monotonic() >= closing.turned_away_s + _PAUSE_S):
                break
            response = pool.request(
                "POST",
                f"http://127.0.0.1:{port}{path}",
                headers={
                    "Authorization": "Bearer demo-miraflores",
                    "X-Request-Kind": kind
                },
                json=body(sum(statuses.values())),
                retries=False)
            statuses[response.status] += 1
            time.sleep(_REQUEST_INTERVAL_S)
    return statuses


def test_engine_that_turns_a_generation_away_gets_no_call(daemon):
    port, closing, _ = daemon
    statuses = _send_during_pause(
        port, closing, "/v1/completions", "amendment-check", lambda number: {
            "prompt": f"p{number}",
            "stream": True
        })
    assert closing.turned_away_s and set(statuses) == {200}
    # Load reports are calls, too.
    assert closing.count_late() <= _MAX_LATE_REQUESTS


def test_plain_service_that_turns_a_call_away_gets_no_call(daemon):
    port, _, closing = daemon
    statuses = _send_during_pause(port, closing, "/desk/lookup",
                                  "status-lookup", lambda number: {"n": number})
    assert closing.turned_away_s and set(statuses) == {200}
    assert closing.count_late() <= _MAX_LATE_REQUESTS
