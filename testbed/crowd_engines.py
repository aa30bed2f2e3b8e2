"""Engines and requests of the emulator of crowded engines.

An engine runs one step after the other: a step generates a token for each
running request and prefills a chunk of the first prompt that is not prefilled.
Engines may have two speeds, and neighbours on their machines may slow them down
for short times, whatever load the engines have.

Source of the figures: pages of the platform (7 ms for a step and 0.12 ms for
each running request, prefill of 14 tokens in a ms, chunks of 112 tokens).
"""

import math
import random
import typing

from persimmonspan.request import events

_STEP_S = 0.007
_STEP_PER_RUNNING_S = 0.00012
_PREFILL_TOKENS_PER_S = 14_000.0
_PREFILL_CHUNK_TOKENS = 112


class Kind(typing.NamedTuple):
    """Kind of requests: normal prompt lengths, log-normal output lengths."""

    name: str
    rate_per_s: float
    prompt_tokens: float
    output_tokens: float
    output_spread: float
    most_output_tokens: int
    aim_s: float
    pause_s: float  # Max pause between two events of a response in time.
    deadline_s: float
    is_long: bool
    is_resumable: bool


class Machine:
    """Speed of the machine of an engine at each time.

    Args:
        step_factor: Factor of the duration of steps.
        slowdown: How neighbours slow it down.
        rng: Source of the times of slowdowns.
    """

    def __init__(self, step_factor: float, slowdown: "Slowdown",
                 rng: random.Random) -> None:
        self._step_factor = step_factor
        self._slowdown = slowdown
        self._rng = rng
        self._next_s = self._draw_pause_s()
        self._is_slowed = False

    def _draw_pause_s(self) -> float:
        slowdown = self._slowdown
        if not slowdown.share:
            return math.inf
        mean_s = slowdown.duration_s * (1 - slowdown.share) / slowdown.share
        return self._rng.expovariate(1 / mean_s)

    def factor(self, now_s: float) -> float:
        """Returns the factor of a step that begins now; times must not fall."""
        while now_s >= self._next_s:
            self._is_slowed = not self._is_slowed
            self._next_s += (self._slowdown.duration_s
                             if self._is_slowed else self._draw_pause_s())
        return self._step_factor * (self._slowdown.factor
                                    if self._is_slowed else 1.0)


class Slowdown(typing.NamedTuple):
    """Neighbours slow a machine for a share of the time."""

    factor: float = 1.0  # Of the duration of steps.
    share: float = 0.0
    duration_s: float = 0.6  # Of each slowdown.


class Request:
    """A caller's request and its progress."""

    def __init__(self, name: str, kind: Kind, daemon: int, arrived_s: float,
                 rng: random.Random) -> None:
        self.name = name
        self.kind = kind
        self.daemon = daemon
        self.arrived_s = arrived_s
        self.prompt = max(200, int(rng.gauss(1.0, 0.3) * kind.prompt_tokens))
        spread = kind.output_spread
        mean = math.log(kind.output_tokens) - spread * spread / 2
        self.output_tokens = max(
            1,
            min(kind.most_output_tokens, int(rng.lognormvariate(mean, spread))))
        self.tokens = 0
        self.unread = self.prompt
        self.first_s: float | None = None
        self.last_event_s = math.inf  # Time of its last event.
        self.progressed_s = 0.0  # Time of its last report of progress.
        self.max_pause_s = 0.0
        self.copy_on: str | None = None
        self.is_finished = False

    @property
    def held_tokens(self) -> int:
        """Tokens that the request holds in the memory of its engine."""
        return self.prompt - self.unread + self.tokens


class Engine:
    """Queued and running requests of one engine."""

    def __init__(self, target: events.Target, machine: Machine) -> None:
        self.target = target
        self._machine = machine
        self.queue: list[Request] = []
        self.running: list[Request] = []
        self.is_stepping = False

    def admit_queued(self) -> None:
        """Starts queued requests while memory and a slot are free."""
        held = sum(item.prompt + item.tokens for item in self.running)
        while self.queue and len(self.running) < self.target.max_running:
            needed = self.queue[0].prompt + self.queue[0].tokens
            if self.running and held + needed > self.target.kv_capacity_tokens:
                return
            held += needed
            self.running.append(self.queue.pop(0))

    def preempt_newest(self) -> None:
        """Puts the newest requests back into the queue if memory runs out."""
        while (len(self.running) > 1 and
               sum(item.held_tokens for item in self.running)
               > self.target.kv_capacity_tokens):
            item = self.running.pop()
            item.unread = item.prompt + item.tokens
            self.queue.insert(0, item)

    def run_step(self, now_s: float) -> tuple[float, list[Request]]:
        """Runs a step; returns its duration and the requests with a token."""
        self.admit_queued()
        self.preempt_newest()
        duration_s = _STEP_S + _STEP_PER_RUNNING_S * len(self.running)
        ready = [item for item in self.running if item.unread <= 0]
        reading = next((item for item in self.running if item.unread > 0), None)
        if reading is not None:
            chunk = min(_PREFILL_CHUNK_TOKENS, reading.unread)
            reading.unread -= chunk
            duration_s += chunk / _PREFILL_TOKENS_PER_S
            if reading.unread == 0:
                ready.append(reading)
        return duration_s * self._machine.factor(now_s), ready
