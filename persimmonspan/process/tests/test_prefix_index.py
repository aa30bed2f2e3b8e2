"""Tests the prefix index.

Guards against matches of blocks that the target no longer has, and against
unbounded growth.
"""

import pytest

from persimmonspan.process import prefix_index
from persimmonspan.request import events

_HASHES = prefix_index.prefix_hashes(bytes(range(256)) * 4)


def _matched_blocks(*cache_events, target="e1"):
    state = prefix_index.State()
    for event in cache_events:
        state, _ = prefix_index.step(state, event)
    tokens = prefix_index.match_tokens(state, target, _HASHES)
    return tokens // prefix_index.BLOCK_TOKENS


def _event(sequence, added=(), removed=()):
    return events.CacheEvent("e1", sequence, added, removed)


@pytest.mark.parametrize("sequence, blocks", [(2, 4), (3, 0), (1, 0), (0, 0)])
def test_only_the_next_sequence_number_keeps_the_blocks(sequence, blocks):
    assert _matched_blocks(_event(1, _HASHES), _event(sequence)) == blocks


def test_late_events_add_no_blocks():
    late = (_event(3, _HASHES[:1]), _event(6, (), _HASHES), _event(4, _HASHES),
            _event(5, _HASHES))
    assert _matched_blocks(*late) == 0
    assert _matched_blocks(*late, _event(7, _HASHES[:2])) == 2


def test_target_died_resets_the_sequence_number():
    assert _matched_blocks(_event(9, _HASHES), events.TargetDied("e1"),
                           _event(1, _HASHES[:3])) == 3


def test_match_stops_at_the_first_missing_block():
    assert _matched_blocks(_event(1, _HASHES), _event(2, (), _HASHES[1:2])) == 1
    assert _matched_blocks(_event(1, _HASHES), events.TargetDied("e1")) == 0


def test_hashes_depend_on_the_salt_and_share_a_common_prefix():
    one = prefix_index.prefix_hashes(b"a" * 512 + b"b" * 256, "m")
    two = prefix_index.prefix_hashes(b"a" * 512 + b"c" * 256, "m")
    assert one[:2] == two[:2] and one[2] != two[2]
    assert not set(one) & set(prefix_index.prefix_hashes(b"a" * 512, "n"))


def test_memory_is_bounded_and_recent_blocks_are_kept():
    state = prefix_index.State(max_entries=100)
    for i in range(1000):
        state, _ = prefix_index.step(state, _event(i, (3 * i, 3 * i + 1)))
        assert prefix_index.count_entries(state, "e1") <= 100
    assert prefix_index.match_tokens(state, "e1", [3 * 990])


def test_hot_prefix_spreads_before_its_target_is_overloaded():
    """Sends each request to the target of lowest cost minus saved tokens."""
    loads = [0.0] * 6
    for _ in range(600):
        mean = sum(loads) / 6
        costs = [
            load * 100.0 -
            prefix_index.saved_tokens(4096 if i == 0 else 0, load, mean)
            for i, load in enumerate(loads)
        ]
        loads[costs.index(min(costs))] += 1.0
    assert loads[0] <= (1 + prefix_index.LOAD_SLACK) * 100 + 2
    assert loads[0] > 110
