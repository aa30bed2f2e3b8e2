"""Tests the limits of a workspace against a simple reference model."""

import random

import pytest

from persimmonspan.request import limits
from persimmonspan.version import model


def _request(state, limit, now_s, prompt=1, output=1):
    return limits.step(state, limits.Requested("w", limit, prompt, output),
                       now_s, None)


@pytest.mark.parametrize("prompt, output, reason", [(11, 1, "prompt_tokens"),
                                                    (1, 21, "output_tokens")])
def test_oversized_request_is_rejected_without_retry(prompt, output, reason):
    # Guards against a retry time for a request that no retry can admit.
    limit = model.Limits(prompt_tokens=10, output_tokens=20)
    state, (command,) = _request(limits.State(), limit, 0.0, prompt, output)
    assert command == limits.Reject(reason, None)
    assert state == limits.State()


def test_rate_and_concurrency_match_the_model():
    # Guards against drift of the running count and the bucket in a long run.
    rng = random.Random(7)
    limit = model.Limits(concurrent_requests=4, requests_per_s=5.0)
    state = limits.State()
    running, bucket, now_s = 0, 5.0, 0.0
    seen = set()
    for _ in range(3000):
        elapsed_s = rng.choice((0.0, 0.0625, 0.5))
        now_s += elapsed_s
        bucket = min(5.0, bucket + elapsed_s * 5.0)
        if running and rng.random() < 0.45:
            state, _ = limits.step(state, limits.Ended("w"), now_s, None)
            running -= 1
            continue
        state, (command,) = _request(state, limit, now_s)
        if running >= 4:
            expected = "concurrent_requests"
        elif bucket < 1.0 - 1e-9:
            expected = "request_rate"
        else:
            expected = None
            running, bucket = running + 1, bucket - 1.0
        assert getattr(command, "reason", None) == expected
        seen.add(expected)
    assert seen == {None, "concurrent_requests", "request_rate"}


def test_workspaces_do_not_share_a_limit():
    # Guards against a workspace that consumes the limit of another one.
    limit = model.Limits(concurrent_requests=1)
    state, _ = limits.step(limits.State(), limits.Requested("a", limit, 1, 1),
                           0.0, None)
    _, commands = limits.step(state, limits.Requested("b", limit, 1, 1), 0.0,
                              None)
    assert commands == (limits.Admit(),)
