"""Model of engines at their interface, in virtual time.

A step of an engine decodes one token for each running sequence and prefills a
bounded chunk of prompts. Its duration grows with the batch and with the KV
memory in use. KV memory is counted in blocks; when it runs out, the running
sequence with the least urgent priority that was admitted last is preempted and
later recomputed. Work per step is O(1) plus the sequences that start, end or
are preempted: sequences are grouped by the phase at which they need a block.

References:
    Kwon et al., "Efficient Memory Management for Large Language Model Serving
    with PagedAttention", SOSP 2023 (blocks, preemption by recompute).
    Agrawal et al., "Taming Throughput-Latency Tradeoff in LLM Inference with
    Sarathi-Serve", OSDI 2024 (chunked prefill).
"""

import collections
import heapq
import typing

_BLOCK_TOKENS = 16
_CHUNK_TOKENS = 256
_WATERMARK_BLOCKS = 8
_CACHED_PREFIXES = 12


class Options(typing.NamedTuple):
    """Cost of a step and limits of an engine."""

    base_s: float = 0.008
    per_sequence_s: float = 0.00015
    per_kv_token_s: float = 1.0e-7
    per_prefill_token_s: float = 5.0e-5
    kv_capacity_tokens: int = 65_536
    max_running: int = 64


class Sequence:
    """One generation on an engine."""

    def __init__(self, request_id: str, prompt_tokens: int, output_tokens: int,
                 priority: int, prefix: tuple[int, int]) -> None:
        self.request_id = request_id
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.prefix = prefix
        self.tokens = 0
        self.blocks = 0
        self.prefill_left = 0
        self.order = 0
        self.started_step = -1  # Step at which decoding (re)started.
        self.tokens_at_start = 0
        self.last_token_s: float | None = None
        self.was_preempted = False


class StepResult(typing.NamedTuple):
    """What became visible at the end of a step."""

    first_tokens: list[Sequence]
    finished: list[Sequence]
    resumed_gaps_s: list[float]


class Engine:
    """An engine; `begin_step` and `end_step` alternate."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.capacity_blocks = options.kv_capacity_tokens // _BLOCK_TOKENS
        self.slow_factor = 1.0
        self.preemptions = 0
        self.recomputed_tokens = 0
        self.gaps: collections.Counter[float] = collections.Counter()
        self._reset()

    def _reset(self) -> None:
        self.sequences: dict[str, Sequence] = {}
        self.waiting: list[tuple[int, int, Sequence]] = []
        self.decoding: dict[str, Sequence] = {}
        self._prefilling: collections.deque[Sequence] = collections.deque()
        self._finish: list[tuple[int, int, Sequence]] = []
        self._phases = [0] * _BLOCK_TOKENS
        self._victims: list[tuple[int, int, int, Sequence]] = []
        self._cached: collections.OrderedDict[int, None] = (
            collections.OrderedDict())
        self.used_blocks = 0
        self.step_index = 0
        self._order = 0
        self.is_stepping = False
        self._batch = 0
        self._started: list[Sequence] = []

    @property
    def kv_used_tokens(self) -> int:
        """KV memory in use, in tokens."""
        return self.used_blocks * _BLOCK_TOKENS

    @property
    def running(self) -> int:
        """Sequences that hold memory."""
        return len(self.decoding) + len(self._prefilling)

    def submit(self, sequence: Sequence) -> None:
        """Queues a sequence."""
        self.sequences[sequence.request_id] = sequence
        self._push(sequence)

    def _push(self, sequence: Sequence) -> None:
        self._order += 1
        order = -self._order if sequence.was_preempted else self._order
        heapq.heappush(self.waiting, (sequence.priority, order, sequence))

    def cancel(self, request_id: str) -> Sequence | None:
        """Removes a sequence and returns it."""
        sequence = self.sequences.pop(request_id, None)
        if sequence is None:
            return None
        if request_id in self.decoding:
            self._stop_decoding(sequence)
        elif sequence in self._prefilling:
            self._prefilling.remove(sequence)
            self._release(sequence)
        else:
            self.waiting = [
                item for item in self.waiting if item[2] is not sequence
            ]
            heapq.heapify(self.waiting)
        return sequence

    def crash(self) -> list[Sequence]:
        """Loses all sequences and returns them."""
        lost = list(self.sequences.values())
        for sequence in lost:
            self._settle(sequence)
        self._reset()
        return lost

    def begin_step(self, now_s: float) -> float | None:
        """Starts a step and returns its duration, or None when idle."""
        self._admit()
        prefill = self._prefill()
        self._grow(now_s)
        self._batch = len(self.decoding)
        if not self._batch and not prefill:
            self.is_stepping = False
            return None
        self.is_stepping = True
        options = self.options
        return self.slow_factor * (
            options.base_s + options.per_sequence_s * self._batch +
            options.per_kv_token_s * self.kv_used_tokens +
            options.per_prefill_token_s * prefill)

    def end_step(self, now_s: float, duration_s: float) -> StepResult:
        """Ends the step that was started and returns what became visible."""
        self.step_index += 1
        firsts, finished, gaps = [], [], []
        steady = 0
        while self._finish and self._finish[0][0] <= self.step_index:
            _, order, sequence = heapq.heappop(self._finish)
            if (sequence.order == order and
                    sequence.request_id in self.decoding):
                self._stop_decoding(sequence)
                del self.sequences[sequence.request_id]
                sequence.last_token_s = now_s
                finished.append(sequence)
        for sequence in self._started:
            if sequence.last_token_s is None:
                firsts.append(sequence)
            elif sequence.was_preempted:
                gaps.append(now_s - sequence.last_token_s)
                sequence.was_preempted = False
            steady += 1
            sequence.last_token_s = now_s
        self._started = []
        if self._batch > steady:
            self.gaps[round(duration_s, 5)] += self._batch - steady
        return StepResult(firsts, finished, gaps)

    def tokens_of(self, sequence: Sequence) -> int:
        """Returns the tokens that a sequence has generated."""
        if sequence.started_step < 0:
            return sequence.tokens
        return sequence.tokens_at_start + (self.step_index -
                                           sequence.started_step)

    def _admit(self) -> None:
        while self.waiting and self.running < self.options.max_running:
            sequence = self.waiting[0][2]
            context = sequence.prompt_tokens + sequence.tokens
            blocks = -(-(context + 1) // _BLOCK_TOKENS)
            if (self.used_blocks + blocks + _WATERMARK_BLOCKS
                    > self.capacity_blocks) and self.running:
                return
            heapq.heappop(self.waiting)
            sequence.blocks = blocks
            self.used_blocks += blocks
            self._order += 1
            sequence.order = self._order
            key, length = sequence.prefix
            cached = length if key in self._cached else 0
            self._cached[key] = None
            self._cached.move_to_end(key)
            if len(self._cached) > _CACHED_PREFIXES:
                self._cached.popitem(last=False)
            sequence.prefill_left = max(1, context - cached)
            self._prefilling.append(sequence)

    def _prefill(self) -> int:
        budget = _CHUNK_TOKENS
        while self._prefilling and budget:
            sequence = self._prefilling[0]
            done = min(budget, sequence.prefill_left)
            budget -= done
            sequence.prefill_left -= done
            if sequence.prefill_left == 0:
                self._prefilling.popleft()
                self._start_decoding(sequence)
        return _CHUNK_TOKENS - budget

    def _start_decoding(self, sequence: Sequence) -> None:
        self.decoding[sequence.request_id] = sequence
        sequence.started_step = self.step_index
        sequence.tokens_at_start = sequence.tokens
        left = sequence.output_tokens - sequence.tokens
        heapq.heappush(self._finish,
                       (self.step_index + left, sequence.order, sequence))
        self._phases[self._phase(sequence)] += 1
        heapq.heappush(
            self._victims,
            (-sequence.priority, -sequence.order, id(sequence), sequence))
        self._started.append(sequence)

    def _phase(self, sequence: Sequence) -> int:
        # Step index, modulo the block size, at which it needs a new block.
        context = sequence.prompt_tokens + sequence.tokens_at_start + 1
        return (sequence.started_step - context) % _BLOCK_TOKENS

    def _settle(self, sequence: Sequence) -> None:
        sequence.tokens = self.tokens_of(sequence)
        sequence.started_step = -1

    def _stop_decoding(self, sequence: Sequence) -> None:
        del self.decoding[sequence.request_id]
        self._phases[self._phase(sequence)] -= 1
        self._settle(sequence)
        if sequence in self._started:
            self._started.remove(sequence)
        self._release(sequence, sequence.prompt_tokens + sequence.tokens + 1)

    def _release(self, sequence: Sequence, context: int = 0) -> None:
        blocks = max(sequence.blocks, -(-context // _BLOCK_TOKENS))
        self.used_blocks = max(0, self.used_blocks - blocks)
        sequence.blocks = 0
        if not self.decoding and not self._prefilling:
            self.used_blocks = 0

    def _grow(self, now_s: float) -> None:
        need = self._phases[self.step_index % _BLOCK_TOKENS]
        while (self.used_blocks + need > self.capacity_blocks and
               len(self.decoding) > 1):
            victim = self._victim()
            if victim is None:
                break
            victim.last_token_s = now_s if victim.last_token_s else None
            self._preempt(victim)
            need = self._phases[self.step_index % _BLOCK_TOKENS]
        self.used_blocks += need

    def _victim(self) -> Sequence | None:
        while self._victims:
            _, order, _, sequence = heapq.heappop(self._victims)
            if (-order == sequence.order and
                    sequence.request_id in self.decoding):
                return sequence
        return None

    def _preempt(self, sequence: Sequence) -> None:
        self.preemptions += 1
        self._stop_decoding(sequence)
        self.recomputed_tokens += sequence.prompt_tokens + sequence.tokens
        sequence.was_preempted = sequence.tokens > 0
        self._push(sequence)
