"""Guards the engine model, on which all figures of the policy rest."""

import random

from bench import engine_model


def _drive(engine, now_s=0.0):
    finished = []
    while (duration_s := engine.begin_step(now_s)) is not None:
        now_s += duration_s
        finished += engine.end_step(now_s, duration_s).finished
        assert engine.used_blocks <= engine.capacity_blocks
    return finished, now_s


def test_each_sequence_ends_with_all_its_tokens_in_spite_of_preemption():
    # Failure: preemption loses or repeats tokens, or leaks memory.
    rng = random.Random(1)
    engine = engine_model.Engine(
        engine_model.Options(kv_capacity_tokens=8192, max_running=32))
    wanted = {}
    for i in range(60):
        wanted[str(i)] = rng.randint(1, 600)
        engine.submit(
            engine_model.Sequence(str(i), rng.randint(1, 500), wanted[str(i)],
                                  i % 2, (i % 3, 100)))
    finished, _ = _drive(engine)
    assert {item.request_id: item.tokens for item in finished} == wanted
    assert engine.preemptions > 0
    assert engine.used_blocks == 0


def test_urgent_sequence_starts_before_earlier_ones():
    # Failure: the priority of a dispatch has no effect in the model.
    engine = engine_model.Engine(engine_model.Options(max_running=1))
    for name, priority in (("a", 1), ("b", 1), ("c", 0)):
        engine.submit(engine_model.Sequence(name, 10, 5, priority, (0, 0)))
    finished, _ = _drive(engine)
    assert [item.request_id for item in finished] == ["c", "a", "b"]


def test_crash_returns_all_and_leaves_an_empty_engine():
    # Failure: requests of a crashed engine never end.
    engine = engine_model.Engine(engine_model.Options())
    for i in range(3):
        engine.submit(engine_model.Sequence(str(i), 10, 50, 0, (0, 0)))
    engine.begin_step(0.0)
    assert len(engine.crash()) == 3
    assert engine.begin_step(1.0) is None
