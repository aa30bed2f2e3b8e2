"""Guards that a version lives exactly as long as a request needs it."""

import random

from persimmonspan.version import lifetime


def test_versions_are_freed_once_and_only_when_unused():
    # Oracle: the set of revisions of the requests that run.
    rng = random.Random(5)
    state, running, freed = lifetime.State(), [], set()
    state, _ = lifetime.step(state, lifetime.Adopted(1))
    for _ in range(3000):
        choice = rng.random()
        if choice < 0.1:
            event = lifetime.Adopted(state.current + rng.randint(-2, 3))
        elif choice < 0.5 or not running:
            event = lifetime.Started()
            running.append(state.current)
        else:
            event = lifetime.Ended(running.pop(rng.randrange(len(running))))
        adopted = state.current
        state, commands = lifetime.step(state, event)
        assert state.current >= adopted
        for command in commands:
            assert command.revision not in freed
            freed.add(command.revision)
        assert not freed & ({state.current} | set(running))
        used = {state.current} | set(running)
        assert set(state.running) <= used
    assert len(freed) > 50
