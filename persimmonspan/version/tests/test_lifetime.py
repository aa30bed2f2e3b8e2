"""Tests that a revision is freed exactly when no request uses it."""

import random

from persimmonspan.version import lifetime


def test_revisions_are_freed_once_and_only_when_unused():
    # Oracle: the revisions of the running requests.
    rng = random.Random(5)
    state, running, freed = lifetime.State(), [], set()
    state, _ = lifetime.step(state, lifetime.RevisionAdopted(1))
    for _ in range(3000):
        choice = rng.random()
        if choice < 0.1:
            event = lifetime.RevisionAdopted(state.current + rng.randint(-2, 3))
        elif choice < 0.5 or not running:
            event = lifetime.RequestStarted()
            running.append(state.current)
        else:
            event = lifetime.RequestEnded(
                running.pop(rng.randrange(len(running))))
        previous_revision = state.current
        state, commands = lifetime.step(state, event)
        assert state.current >= previous_revision
        for command in commands:
            assert command.revision not in freed
            freed.add(command.revision)
        assert not freed & ({state.current} | set(running))
        in_use = {state.current} | set(running)
        assert set(state.running) <= in_use
    assert len(freed) > 50
