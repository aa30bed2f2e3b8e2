"""Tests the prefix index with random deliveries of events.

Guards against matches of blocks that the engine no longer has. The oracle is
the engine's own cache as it was after the last delivered event.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from persimmonspan.process import prefix_index
from persimmonspan.request import events

_SETTINGS = hypothesis.settings(max_examples=80,
                                stateful_step_count=40,
                                derandomize=True,
                                database=None,
                                deadline=None,
                                report_multiple_bugs=False)
# One failing example is enough, so it is not shrunk, which takes long. The
# examples drawn depend on the loaded modules, which differ between the workers
# of a test run; the search is long enough for any of them.
_FAULTY_SETTINGS = hypothesis.settings(_SETTINGS,
                                       max_examples=2000,
                                       phases=[hypothesis.Phase.generate])
_BLOCKS = strategies.frozensets(strategies.integers(0, 12), max_size=4)


class IndexMachine(stateful.RuleBasedStateMachine):
    """Delivers an engine's events in order, late, twice or not at all."""

    hides_gaps = False

    def __init__(self):
        super().__init__()
        self.state = prefix_index.State(max_entries=8)
        self._restart()

    def _restart(self):
        self.cache = frozenset()
        self.sent = []  # (event, cache after it)
        self.last = None

    @stateful.rule(added=_BLOCKS, removed=_BLOCKS)
    def change(self, added, removed):
        removed &= self.cache
        self.cache = (self.cache - removed) | added
        event = events.CacheEvent("e", len(self.sent), tuple(added),
                                  tuple(removed))
        self.sent.append((event, self.cache))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(back=strategies.integers(0, 5))
    def deliver(self, back):
        event, _ = self.sent[max(0, len(self.sent) - 1 - back)]
        self.last = max(event.sequence, -1 if self.last is None else self.last)
        if self.hides_gaps:
            known = self.state.targets.get("e", prefix_index.Index(-1))
            event = event._replace(sequence=known.sequence + 1)
        self.state, _ = prefix_index.step(self.state, event)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule()
    def deliver_next(self):
        following = 0 if self.last is None else self.last + 1
        if following < len(self.sent):
            self.deliver(len(self.sent) - 1 - following)

    @stateful.rule()
    def restart(self):
        self._restart()
        self.state, _ = prefix_index.step(self.state, events.TargetDied("e"))

    @stateful.invariant()
    def claims_only_what_was_cached(self):
        cached = frozenset() if self.last is None else self.sent[self.last][1]
        for block in range(13):
            if prefix_index.match_tokens(self.state, "e", (block,)):
                assert block in cached
        assert prefix_index.count_entries(self.state, "e") <= 8


class HidingMachine(IndexMachine):
    """Hides gaps: numbers the delivered events without any."""

    hides_gaps = True


TestIndex = IndexMachine.TestCase
TestIndex.settings = _SETTINGS


def test_oracle_sees_an_index_that_ignores_gaps():
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(HidingMachine,
                                           settings=_FAULTY_SETTINGS)
