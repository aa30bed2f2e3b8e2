"""Tests that daemons do not overload the store, also after an outage."""

import random

from persimmonspan.process import store_budget

_WRITE = store_budget.Operation.WRITE


def _make_request(request_id,
                  deadline_s,
                  priority=store_budget.Priority.NORMAL):
    return store_budget.OperationRequested(request_id, _WRITE, priority,
                                           deadline_s)


def _get_started_ids(commands):
    return [
        item.request_id
        for item in commands
        if isinstance(item, store_budget.Start)
    ]


def _finish(state, ids, health, now_s, rng):
    started = []
    for request_id in ids:
        state, commands = store_budget.step(
            state, store_budget.OperationFinished(request_id, health), now_s,
            rng)
        started += _get_started_ids(commands)
    return state, started


def _offer_writes(state, seconds, rng, start_s=0.0, offered=100):
    """Offers writes to one daemon; returns the number started per second."""
    counts = []
    for second in range(seconds):
        count = 0
        for i in range(offered):
            now_s = start_s + second + i / offered
            state, commands = store_budget.step(
                state, _make_request(second * offered + i, now_s + 0.2), now_s,
                rng)
            running = _get_started_ids(commands)
            while running:
                count += len(running)
                state, running = _finish(state, running,
                                         store_budget.Health.ANSWERED, now_s,
                                         rng)
        counts.append(count)
    return state, counts


def test_330_daemons_stay_below_the_total_write_rate():
    rng = random.Random(1)
    state, _ = store_budget.step(store_budget.State(),
                                 store_budget.DaemonsCounted(330), 0.0, rng)
    _, counts = _offer_writes(state, 30, rng)
    assert sum(counts[10:]) / 20 * 330 <= store_budget.TOTAL_WRITES_PER_S * 1.05
    assert sum(counts[10:]) > 0


def test_8_daemons_get_their_full_share():
    rng = random.Random(1)
    state, _ = store_budget.step(store_budget.State(),
                                 store_budget.DaemonsCounted(8), 0.0, rng)
    _, counts = _offer_writes(state, 20, rng)
    assert sum(counts[10:]) / 10 * 8 >= store_budget.TOTAL_WRITES_PER_S * 0.9


def _make_open_state(rng, daemons):
    state, _ = store_budget.step(store_budget.State(),
                                 store_budget.DaemonsCounted(daemons), 0.0, rng)
    for request_id in range(3):
        state, commands = store_budget.step(state,
                                            _make_request(request_id,
                                                          9.0), 0.0, rng)
        state, _ = _finish(state, _get_started_ids(commands),
                           store_budget.Health.FAILED, 0.0, rng)
    return state


def test_open_breaker_rejects_at_once_and_probes_one_at_a_time():
    rng = random.Random(2)
    state = _make_open_state(rng, 8)
    assert state.is_open
    state, commands = store_budget.step(state, _make_request(10, 99.0), 0.01,
                                        rng)
    assert commands == [store_budget.Reject(10, "store_unavailable")]
    state, commands = store_budget.step(state, _make_request(11, 99.0), 5.0,
                                        rng)
    assert _get_started_ids(commands) == [11]
    state, commands = store_budget.step(state, _make_request(12, 99.0), 5.0,
                                        rng)
    assert commands == [store_budget.Reject(12, "store_unavailable")]
    state, _ = _finish(state, [11], store_budget.Health.ANSWERED, 5.1, rng)
    assert not state.is_open


def test_recovery_of_the_store_causes_no_write_burst():
    total = [0] * 12
    probes = []
    for seed in range(330):
        rng = random.Random(seed)
        state = _make_open_state(rng, 330)
        probes.append(round(state.open_until_s, 3))
        state, commands = store_budget.step(state, _make_request(10, 99.0), 5.0,
                                            rng)
        state, _ = _finish(state, _get_started_ids(commands),
                           store_budget.Health.ANSWERED, 5.0, rng)
        _, counts = _offer_writes(state, 12, rng, start_s=5.0, offered=20)
        total = [a + b for a, b in zip(total, counts)]
    # Each daemon starts with one token and a tenth of its share. With four
    # tokens or without the ramp, the daemons write more in the first second.
    assert total[0] <= 1.3 * store_budget.TOTAL_WRITES_PER_S, total
    assert sum(total[:3]) <= 3 * store_budget.TOTAL_WRITES_PER_S, total
    assert max(total[1:]) <= 1.3 * store_budget.TOTAL_WRITES_PER_S
    assert len(set(probes)) > 200


def test_urgent_operations_start_first():
    rng = random.Random(3)
    state = store_budget.State()
    waiting = []
    for request_id in range(10):
        priority = (store_budget.Priority.URGENT
                    if request_id == 9 else store_budget.Priority.BACKGROUND)
        state, commands = store_budget.step(
            state, _make_request(request_id, 9.0, priority), 0.0, rng)
        waiting += _get_started_ids(commands)
    _, started = _finish(state, [waiting[0]], store_budget.Health.ANSWERED, 1.0,
                         rng)
    assert started[0] == 9
