"""Tests a daemon and engines, started as processes from an inventory."""

from concurrent import futures
import contextlib
import json
import pathlib
import signal
import time

import pytest
import urllib3

from testbed import engine
from testbed import processes

_SAMPLES = pathlib.Path(__file__).parents[3] / "samples"
# All loads are read in this time.
_POLLED_S = 4.0
_KEY = {"Authorization": "Bearer demo-miraflores"}


@pytest.fixture(name="deployment")
def _deployment(tmp_path):
    inventory = json.loads(
        (_SAMPLES / "plaza-verde-inventory.json").read_text())
    with contextlib.ExitStack() as stack:
        for service in inventory["services"]:
            service["replicas"] = service["replicas"][:2]
            module = ("testbed.engine" if service["kind"] == "model" else
                      "testbed.plain_service")
            for replica in service["replicas"]:
                port = processes.free_port()
                replica["address"] = f"127.0.0.1:{port}"
                stack.enter_context(
                    processes.running(module, "--port", str(port), port=port))
        path = tmp_path / "inventory.json"
        path.write_text(json.dumps(inventory))
        port = processes.free_port()
        daemon = stack.enter_context(
            processes.running("persimmonspan",
                              "serve",
                              "--listen-address",
                              f"127.0.0.1:{port}",
                              "--inventory",
                              str(path),
                              "--max-streams",
                              "16",
                              port=port))
        yield f"http://127.0.0.1:{port}", daemon


def test_stream_is_complete_and_in_order(deployment):
    url, _ = deployment
    body = {"prompt": "village fair", "max_tokens": 200, "stream": True}
    response = urllib3.request("POST",
                               url + "/v1/completions",
                               json=body,
                               headers=_KEY)
    parts = response.data.decode().split("\n\n")
    assert parts[-2:] == ["data: [DONE]", ""]
    texts = [
        json.loads(part.removeprefix("data: "))["choices"][0]["text"]
        for part in parts[:-2]
    ]
    word = engine.prompt_hash("village fair")
    assert texts == [f"{word}-{i} " for i in range(len(texts))]


def test_planned_stop_finishes_streams_and_exits_zero(deployment):
    url, daemon = deployment
    with urllib3.PoolManager() as pool:
        response = pool.request("POST",
                                url + "/v1/completions",
                                json={
                                    "prompt": "fair",
                                    "max_tokens": 200,
                                    "stream": True
                                },
                                headers=_KEY,
                                preload_content=False)
        daemon.send_signal(signal.SIGTERM)
        data = response.read()
    assert data.endswith(b"data: [DONE]\n\n")
    assert daemon.wait(20) == 0


def test_unknown_key_is_rejected_as_not_run(deployment):
    url, _ = deployment
    response = urllib3.request("POST", url + "/desk/fees", json={})
    assert response.status == 401
    assert response.json()["error"]["run_state"] == "not_run"


def _count_runs(address):
    return len(urllib3.request("GET", f"http://{address}/v1/runs").json())


def test_engine_that_says_in_its_answers_that_it_leaves_gets_no_requests(
        deployment, tmp_path):
    url, _ = deployment
    inventory = json.loads((tmp_path / "inventory.json").read_text())
    addresses = [
        replica["address"] for service in inventory["services"]
        if service["kind"] == "model" for replica in service["replicas"]
    ]

    def send(number):
        return urllib3.request("POST",
                               url + "/v1/completions",
                               json={
                                   "prompt": f"fair {number}",
                                   "max_tokens": 20
                               },
                               headers=_KEY).status

    def send_many():
        with futures.ThreadPoolExecutor(8) as pool:
            return set(pool.map(send, range(32)))

    def busiest():
        return max(addresses, key=_count_runs)

    send_many()
    left = busiest()
    time.sleep(_POLLED_S)
    urllib3.request("POST", f"http://{left}/v1/leave")
    send_many()
    runs = _count_runs(left)
    assert send_many() == {200}
    assert runs and _count_runs(left) == runs
