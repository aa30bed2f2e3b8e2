"""Tests that prompts which crash engines are refused on the own interface."""

import contextlib
import json
import pathlib
import time

import pytest
import urllib3

from testbed import processes

_SAMPLES = pathlib.Path(__file__).parents[3] / "samples"
_KEY = {"Authorization": "Bearer demo-miraflores"}
_ENGINES = 6
_CRASH = "Context of the clerk. [die@0]"
_MAX_CRASHES = 3
_WAIT_S = 30.0
_PAUSE_S = 0.5


@pytest.fixture(name="deployment")
def _deployment(tmp_path):
    inventory = json.loads(
        (_SAMPLES / "plaza-verde-inventory.json").read_text())
    engines = []
    with contextlib.ExitStack() as stack:
        for service in inventory["services"]:
            service["replicas"] = service["replicas"][:_ENGINES]
            for replica in service["replicas"]:
                port = processes.free_port()
                replica["address"] = f"127.0.0.1:{port}"
                if service["kind"] == "model":
                    engines.append(
                        stack.enter_context(
                            processes.running("testbed.engine",
                                              "--port",
                                              str(port),
                                              port=port)))
        path = tmp_path / "inventory.json"
        path.write_text(json.dumps(inventory))
        port = processes.free_port()
        stack.enter_context(
            processes.running("persimmonspan",
                              "serve",
                              "--listen-address",
                              f"127.0.0.1:{port}",
                              "--inventory",
                              str(path),
                              port=port))
        yield f"http://127.0.0.1:{port}/v1/chat/completions", engines


def _send(url, first, question):
    return urllib3.request("POST",
                           url,
                           json={
                               "messages": [{
                                   "role": "system",
                                   "content": first
                               }, {
                                   "role": "user",
                                   "content": question
                               }],
                               "max_tokens": 20
                           },
                           headers=_KEY,
                           retries=False,
                           timeout=_WAIT_S)


def _ask(url, first, question):
    return _send(url, first, question).status


def _is_refused(url, first, question):
    """Returns whether a question is refused without being run."""
    response = _send(url, first, question)
    return (response.status == 422 and
            response.json()["error"]["run_state"] == "not_run")


def _ask_until_run(url, first, question):
    """Repeats a question as long as it is said not to have run.

    The engines that crashed stay in the inventory, so that a request may find
    only these.
    """
    end_s = time.monotonic() + _WAIT_S
    while (status := _ask(url, first, question)) == 503:
        assert time.monotonic() < end_s
        time.sleep(_PAUSE_S)
    return status


def _wait_until_refused(url, is_refused):
    end_s = time.monotonic() + _WAIT_S
    number = 0
    while not is_refused(number):
        assert time.monotonic() < end_s
        assert _ask_until_run(url, "Context of the clerk.",
                              f"Question {number}") == 200
        number += 1
        time.sleep(_PAUSE_S)


def _count_crashed(engines):
    return sum(engine.poll() is not None for engine in engines)


def test_message_that_crashes_engines_is_refused_with_any_question(deployment):
    url, engines = deployment
    _wait_until_refused(
        url, lambda number: _is_refused(url, _CRASH, f"Question {number}"))
    crashed = _count_crashed(engines)
    for number in range(5):
        assert _is_refused(url, _CRASH, f"Another question {number}")
        assert _ask_until_run(url, "Context of the clerk.",
                              f"Another {number}") == 200
    assert _count_crashed(engines) == crashed
    assert crashed < _ENGINES


def test_question_that_crashes_engines_is_refused_and_its_context_is_not(
        deployment):
    url, engines = deployment
    context = "Context of the clerk."
    _wait_until_refused(
        url, lambda number: _is_refused(url, context, "Why? [die@0]"))
    assert _count_crashed(engines) <= _MAX_CRASHES
    assert _ask_until_run(url, context, "Why?") == 200
