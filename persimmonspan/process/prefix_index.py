"""Approximate index of the prompt prefixes that each target has cached.

An engine that has the first blocks of a prompt in its cache skips their
prefill. A prompt is hashed block by block. Each hash covers the one before it,
so that one hash identifies the whole prefix up to its block (`prefix_hashes`).

Engines publish additions and removals late and with gaps. A missed addition
only costs hits; a missed removal would predict hits on blocks that are gone.
So any sequence number but the next one drops all blocks of the target. A higher
number is a gap, and the index starts again from that event. A lower number is a
late event or a restart, which cannot be distinguished: events that were already
processed may have removed the blocks it adds, so nothing is added until a
number is higher again. `events.TargetDied`, which a new incarnation also
raises, starts the index of a restarted engine at once.

Memory is bounded by two generations per target: additions go to the young one.
When the young one holds half of the bound, it replaces the old one, which is
dropped. This evicts roughly the oldest entries without keeping an order.

Affinity is weighed against load: the saved prefill counts in full on a target
of at most average load, less above it, and not at all from `1 + LOAD_SLACK`
times the average plus one request. A hot prefix so spreads before it overloads
a target.

How to call it: call `step` with `events.CacheEvent`, `events.TargetDied` and
`events.TargetsChanged`; call `match_tokens` and `saved_tokens` for each
candidate.

>>> hashes = prefix_hashes(b"x" * 1000, salt="model-a")
>>> len(hashes), BLOCK_TOKENS
(3, 64)
>>> state, _ = step(State(), events.CacheEvent("e1", 7, hashes[:2], ()))
>>> match_tokens(state, "e1", hashes)
128
>>> saved_tokens(128, load=10.0, mean_load=10.0)
128.0
>>> saved_tokens(128, load=16.0, mean_load=10.0)
0.0
>>> state, _ = step(state, events.CacheEvent("e1", 9, (), ()))
>>> match_tokens(state, "e1", hashes)
0

See Also:
    `persimmonspan.request.choice`: uses the saved tokens to choose a target.

References:
    Mirrokni, Thorup and Zadimoghaddam, Consistent Hashing with Bounded Loads,
    2018.
"""

import functools
import hashlib
import typing

import immutables

from persimmonspan.request import events

BLOCK_BYTES = 256
BLOCK_TOKENS = 64  # At four bytes per token.
MAX_PREFIX_BLOCKS = 128  # Bounds the hashing of one prompt; 8192 tokens.
MAX_ENTRIES = 4096  # Per target; 262,144 tokens.
LOAD_SLACK = 0.5
_HASH_BYTES = 8

_Blocks = immutables.Map[int, None]
_NO_BLOCKS: _Blocks = immutables.Map()


class Index(typing.NamedTuple):
    """Cached blocks of one target, as of the event numbered `sequence`."""

    sequence: int | None = None
    young: _Blocks = _NO_BLOCKS
    old: _Blocks = _NO_BLOCKS


class State(typing.NamedTuple):
    """One index per target."""

    targets: immutables.Map[str, Index] = immutables.Map()
    max_entries: int = MAX_ENTRIES


Result = tuple[State, list[events.Command]]


def prefix_hashes(prompt: bytes, salt: str = "") -> tuple[int, ...]:
    """Returns one hash per whole block of a prompt, each over its prefix.

    Args:
        prompt: UTF-8 text of the prompt.
        salt: Identifies the cache, such as model, adapter and workspace.
    """
    chain_hash = hashlib.blake2b(salt.encode(),
                                 digest_size=_HASH_BYTES).digest()
    hashes = []
    blocks = min(len(prompt) // BLOCK_BYTES, MAX_PREFIX_BLOCKS)
    for begin in range(0, blocks * BLOCK_BYTES, BLOCK_BYTES):
        chain_hash = hashlib.blake2b(chain_hash +
                                     prompt[begin:begin + BLOCK_BYTES],
                                     digest_size=_HASH_BYTES).digest()
        hashes.append(int.from_bytes(chain_hash, "big"))
    return tuple(hashes)


def match_tokens(state: State, target: str,
                 hashes: typing.Sequence[int]) -> int:
    """Returns how many tokens of a prompt a target probably has cached.

    The count stops at the first missing block, since a cached block is usable
    only with all blocks before it.
    """
    index = state.targets.get(target)
    if index is None:
        return 0
    matched = 0
    for block in hashes:
        if block not in index.young and block not in index.old:
            break
        matched += 1
    return matched * BLOCK_TOKENS


def saved_tokens(matched_tokens: int,
                 load: float,
                 mean_load: float,
                 request_load: float = 1.0) -> float:
    """Returns the prefill tokens to count as saved when choosing a target.

    Args:
        matched_tokens: Result of `match_tokens`.
        load: Outstanding work of the target, in any unit.
        mean_load: Mean over the candidates, in the same unit.
        request_load: Load of one request; at low load, one more request does
            not count as overload.
    """
    overload = (load - mean_load) / (LOAD_SLACK * mean_load + request_load)
    return matched_tokens * min(1.0, max(0.0, 1.0 - overload))


def step(state: State,
         event: events.Event,
         now_s: float = 0.0,
         rng: object = None) -> Result:
    """Returns the next state and a count of each late event or gap."""
    del now_s, rng
    return _step(event, state)


@functools.singledispatch
def _step(event: object, state: State) -> Result:
    del event
    return state, []


@_step.register
def _(event: events.CacheEvent, state: State) -> Result:
    index = state.targets.get(event.target, Index())
    commands: list[events.Command] = []
    if index.sequence is not None and event.sequence <= index.sequence:
        return _set_index(state, event.target, Index(
            index.sequence)), [events.Count("prefix_index_late")]
    if index.sequence is not None and event.sequence != index.sequence + 1:
        index = Index()
        commands = [events.Count("prefix_index_gap")]
    index = _apply_event(index, event, max(1, state.max_entries // 2))
    return _set_index(state, event.target, index), commands


@_step.register
def _(event: events.TargetDied, state: State) -> Result:
    if event.target not in state.targets:
        return state, []
    return state._replace(targets=state.targets.delete(event.target)), []


@_step.register
def _(event: events.TargetsChanged, state: State) -> Result:
    names = {target.name for target in event.targets}
    kept = {
        name: index for name, index in state.targets.items() if name in names
    }
    return state._replace(targets=immutables.Map(kept)), []


def count_entries(state: State, target: str) -> int:
    """Returns the number of blocks recorded for a target."""
    index = state.targets.get(target, Index())
    return len(index.young) + len(index.old)


def _apply_event(index: Index, event: events.CacheEvent,
                 max_young_blocks: int) -> Index:
    old = index.old
    young = index.young.mutate()
    for block in event.removed:
        if block in old:
            old = old.delete(block)
        if block in young:
            del young[block]
    for block in event.added:
        if len(young) >= max_young_blocks:
            old, young = young.finish(), _NO_BLOCKS.mutate()
        young[block] = None
    return Index(event.sequence, young.finish(), old)


def _set_index(state: State, target: str, index: Index) -> State:
    return state._replace(targets=state.targets.set(target, index))
