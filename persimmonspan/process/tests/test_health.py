"""Tests the detection of stragglers and of hung targets.

Guards against stragglers that keep their work, a slowdown of all targets that
lowers weights, and hung targets that still get work.
"""

import random

import pytest

from persimmonspan.process import health
from persimmonspan.request import events

_TARGETS = tuple(
    events.Target(f"e{i}", "drafts", "", "lima-a") for i in range(6))


def _running_state(streams=4):
    state = health.State()
    state, _ = health.step(state, events.TargetsChanged(1, _TARGETS, (), ()),
                           0.0)
    for target in _TARGETS:
        for i in range(streams):
            request_id = f"{target.name}-{i}"
            state, _ = health.step(
                state, events.Dispatch(request_id, target.name, 0, 1), 0.0)
            state, _ = health.step(state,
                                   events.FirstToken(request_id, target.name),
                                   0.1)
    return state


def _progress_streams(state, gap_s, begin_s, end_s, streams=4):
    """Lets each stream progress every 0.25 s.

    `gap_s(target, now_s)` returns the time between tokens, or None for a silent
    target. Returns the state and the lowest weight that each target had.
    """
    rng = random.Random(3)
    tokens, lowest = {}, {target.name: 1.0 for target in _TARGETS}
    now_s = begin_s
    while now_s < end_s:
        now_s += 0.25
        for target in _TARGETS:
            gap = gap_s(target.name, now_s)
            for i in range(streams if gap else 0):
                key = f"{target.name}-{i}"
                tokens[key] = tokens.get(
                    key,
                    1 + 100 * begin_s) + 0.25 / gap * rng.uniform(0.8, 1.2)
                state, _ = health.step(
                    state, events.Progressed(key, target.name,
                                             int(tokens[key])), now_s)
        state, _ = health.step(state, events.Tick(), now_s)
        for name, low in lowest.items():
            lowest[name] = min(low, health.weight(state, name))
    return state, lowest


def test_straggler_weight_falls_with_its_ratio_and_recovers():
    slow = {"e0": 2.0, "e1": 5.0}
    state, _ = _progress_streams(_running_state(),
                                 lambda name, _: 0.03 * slow.get(name, 1.0),
                                 0.0, 10.0)
    weights = [health.weight(state, target.name) for target in _TARGETS]
    assert weights[2:] == [1.0] * 4
    assert weights[1] == health.MIN_WEIGHT < weights[0] < 0.3
    state, _ = _progress_streams(state, lambda name, _: 0.03, 10.0, 30.0)
    assert all(health.weight(state, item.name) == 1.0 for item in _TARGETS)


@pytest.mark.parametrize("factor", [3.0, 10.0])
def test_slowdown_of_all_targets_lowers_no_weight(factor):
    _, lowest = _progress_streams(
        _running_state(), lambda _, now_s: 0.03 *
        (factor if now_s > 5.0 else 1.0), 0.0, 20.0)
    assert set(lowest.values()) == {1.0}


def test_hung_target_gets_no_work_and_returns_after_a_probe():
    state, lowest = _progress_streams(
        _running_state(), lambda name, now_s: None
        if name == "e0" and now_s > 3.0 else 0.03, 0.0, 6.0)
    assert health.is_hung(state, "e0") and lowest["e0"] == 0.0
    assert lowest["e1"] == 1.0
    assert not health.is_probe_due(state, "e0", 7.0)
    assert health.is_probe_due(state, "e0", 9.0)
    state, _ = health.step(state, events.Dispatch("probe", "e0", 0, 1), 9.0)
    assert not health.is_probe_due(state, "e0", 9.1)
    state, commands = health.step(state, events.FirstToken("probe", "e0"), 9.2)
    assert commands == [events.Count("health_hung_recovered")]
    state, _ = health.step(state, events.Tick(), 9.3)
    assert health.weight(state,
                         "e0") == pytest.approx(health.RISE_PER_EVALUATION)


def test_silence_of_all_targets_is_no_hang():
    _, lowest = _progress_streams(
        _running_state(), lambda _, now_s: 0.03
        if now_s < 3.0 else None, 0.0, 14.0)
    assert set(lowest.values()) == {1.0}


def test_first_token_after_a_common_stall_lowers_no_weight():
    state, _ = _progress_streams(_running_state(), lambda _, now_s: 0.03, 0.0,
                                 5.0)
    state, _ = health.step(state, events.Progressed("e0-0", "e0", 900), 9.0)
    state, _ = health.step(state, events.Tick(), 9.1)
    assert all(health.weight(state, item.name) == 1.0 for item in _TARGETS)
