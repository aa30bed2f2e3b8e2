"""Baselines and the offline order of the policy benchmark.

A baseline is a simple proxy: it sends a request to a target chosen by its rule
as long as it has fewer requests there than its part of `max_running`, and
otherwise queues first in, first out. A queued request is refused when its
deadline passes. A failed attempt is repeated on another target.

The offline order knows all lengths and the exact state of the engines. It
starts the requests with the most worth per memory and time among those that
still can end within their deadline, and never overfills memory.
"""

import collections
import random
import typing

from bench import engine_model
from bench import policy_load
from bench import policy_sim
from persimmonspan import errors
from persimmonspan.request import events

_MAX_ATTEMPTS = 3
_RETRY_AFTER_S = 1.0


class Proxy:
    """A simple proxy with a rule for choosing a target."""

    def __init__(self, rule: str, daemons: int, seed: int) -> None:
        self._rule = rule
        self._daemons = daemons
        self._rng = random.Random(seed)
        self._targets: dict[str, list[events.Target]] = {}
        self._outstanding: collections.Counter[str] = collections.Counter()
        self._reported: collections.Counter[str] = collections.Counter()
        self._next: collections.Counter[str] = collections.Counter()
        self._queues: dict[str, collections.deque[events.Arrived]] = {}
        self._running: dict[str, tuple[events.Arrived, str, int]] = {}
        self._gone: set[str] = set()

    def decide(self, event: events.Event, now_s: float) -> list[events.Command]:
        """Returns the commands that an event leads to."""
        if isinstance(event, events.TargetsChanged):
            for target in event.targets:
                self._targets.setdefault(target.service, []).append(target)
        elif isinstance(event, events.Arrived):
            self._queues.setdefault(event.service,
                                    collections.deque()).append(event)
            return self._drain(event.service, now_s)
        elif isinstance(event, events.LoadReported):
            self._reported[event.target] = event.running + event.waiting
        elif isinstance(event, events.AttemptEnded):
            return self._ended(event, now_s)
        elif isinstance(event, events.RequestAbandoned):
            return self._abandoned(event)
        elif isinstance(event, events.Tick):
            return [
                command for service in self._queues
                for command in self._drain(service, now_s)
            ]
        return []

    def loads(self, now_s: float) -> tuple[events.TargetLoad, ...]:
        """A simple proxy tells its peers nothing."""
        del now_s
        return ()

    def _ended(self, event: events.AttemptEnded,
               now_s: float) -> list[events.Command]:
        if event.request_id not in self._running:
            return []
        arrived, target, attempts = self._running.pop(event.request_id)
        self._outstanding[target] -= 1
        if (event.outcome in (events.Outcome.CONNECT_FAILED,
                              events.Outcome.FAILED_BEFORE_FIRST_TOKEN) and
                attempts < _MAX_ATTEMPTS):
            choice = self._choose(arrived.service, {target})
            if choice is not None:
                return [self._send(arrived, choice, attempts + 1)]
        commands: list[events.Command] = []
        if event.outcome in (events.Outcome.CONNECT_FAILED,
                             events.Outcome.FAILED_BEFORE_FIRST_TOKEN):
            commands.append(
                events.Refuse(event.request_id, errors.Code.NO_TARGET, None,
                              errors.RunState.UNKNOWN))
        return commands + self._drain(arrived.service, now_s)

    def _abandoned(self,
                   event: events.RequestAbandoned) -> list[events.Command]:
        if event.request_id not in self._running:
            self._gone.add(event.request_id)
            return []
        _, target, _ = self._running.pop(event.request_id)
        self._outstanding[target] -= 1
        return [events.CancelAttempt(event.request_id, target)]

    def _drain(self, service: str, now_s: float) -> list[events.Command]:
        queue = self._queues.get(service, collections.deque())
        commands: list[events.Command] = []
        while queue:
            arrived = queue[0]
            if arrived.request_id in self._gone:
                queue.popleft()
                continue
            if now_s > arrived.deadline_s:
                queue.popleft()
                commands.append(
                    events.Refuse(arrived.request_id,
                                  errors.Code.DEADLINE_EXCEEDED, _RETRY_AFTER_S,
                                  errors.RunState.NOT_RUN))
                continue
            choice = self._choose(service, set())
            if choice is None:
                break
            queue.popleft()
            commands.append(self._send(arrived, choice, 1))
        return commands

    def _send(self, arrived: events.Arrived, target: str,
              attempt: int) -> events.Dispatch:
        self._outstanding[target] += 1
        self._reported[target] += 1
        self._running[arrived.request_id] = (arrived, target, attempt)
        return events.Dispatch(arrived.request_id, target, 0, attempt)

    def _choose(self, service: str, excluded: set[str]) -> str | None:
        names = [
            item.name
            for item in self._targets[service]
            if item.name not in excluded and self._outstanding[item.name] < max(
                1, item.max_running // self._daemons)
        ]
        if not names:
            return None
        if self._rule == "round_robin":
            self._next[service] += 1
            return names[self._next[service] % len(names)]
        if self._rule == "least_outstanding":
            return min(names,
                       key=lambda name:
                       (self._outstanding[name], self._rng.random()))
        pair = [self._rng.choice(names), self._rng.choice(names)]
        return min(pair, key=lambda name: self._reported[name])


class OfflineOrder:
    """Knows all lengths; reads the exact state of the engines."""

    def __init__(self, place: policy_load.Deployment,
                 jobs: list[policy_load.Job], options: engine_model.Options,
                 exponent: float) -> None:
        self._place = place
        self._jobs = {item.event.request_id: item for item in jobs}
        self._options = options
        self._exponent = exponent
        self._worth = {item.name: item.worth for item in place.kinds}
        self._waiting: dict[str, list[tuple[float, str]]] = {}
        self._targets: dict[str, list[events.Target]] = {}
        for target in place.targets:
            self._targets.setdefault(target.service, []).append(target)
        self._running: dict[str, dict[str, float]] = {
            item.name: {} for item in place.targets
        }
        self._where: dict[str, str] = {}
        self.run: policy_sim.Run | None = None

    def loads(self, now_s: float) -> tuple[events.TargetLoad, ...]:
        """There is one daemon."""
        del now_s
        return ()

    def decide(self, event: events.Event, now_s: float) -> list[events.Command]:
        """Returns the commands that an event leads to."""
        if isinstance(event, events.Arrived):
            job = self._jobs[event.request_id]
            queue = self._waiting.setdefault(event.service, [])
            queue.append((-self._density(job), event.request_id))
            queue.sort()
            return self._drain(event.service, now_s)
        if isinstance(event, (events.AttemptEnded, events.RequestAbandoned)):
            target = self._where.pop(event.request_id, None)
            if target is None:
                return []
            del self._running[target][event.request_id]
            service = self._jobs[event.request_id].event.service
            return self._drain(service, now_s)
        return []

    def _density(self, job: policy_load.Job) -> float:
        tokens, prompt = job.output_tokens, job.event.prompt_tokens
        area = (prompt + tokens / 2) * tokens + job.service_s + prompt
        return self._worth[job.event.kind] / area**self._exponent

    def _drain(self, service: str, now_s: float) -> list[events.Command]:
        commands: list[events.Command] = []
        kept = []
        queue = self._waiting.get(service, [])
        for i, (density, request_id) in enumerate(queue):
            job = self._jobs[request_id]
            if now_s + self._duration_s(job) > job.event.deadline_s:
                commands.append(
                    events.Refuse(request_id, errors.Code.OVERLOADED,
                                  _RETRY_AFTER_S, errors.RunState.NOT_RUN))
                continue
            target = self._place_for(job)
            if target is None:
                kept.append((density, request_id))
                if len(kept) > _OFFLINE_LOOKAHEAD:
                    kept += queue[i + 1:]
                    break
                continue
            self._where[request_id] = target
            self._running[target][request_id] = now_s
            commands.append(events.Dispatch(request_id, target, 0, 1))
        self._waiting[service] = kept
        return commands

    def _duration_s(self, job: policy_load.Job) -> float:
        """Returns the time that a request takes at the present fill."""
        assert self.run is not None
        if job.service_s:
            return job.service_s
        options, engines = self._options, self.run.engines.values()
        prefill_s = job.event.prompt_tokens * options.per_prefill_token_s
        running = sum(item.running for item in engines) / len(engines)
        used = sum(item.kv_used_tokens for item in engines) / len(engines)
        step_s = (options.base_s + options.per_sequence_s * running +
                  options.per_kv_token_s * used)
        return prefill_s + _OFFLINE_MARGIN * step_s * job.output_tokens

    def _place_for(self, job: policy_load.Job) -> str | None:
        assert self.run is not None
        best = None
        for target in self._targets[job.event.service]:
            running = self._running[target.name]
            if len(running) >= target.max_running:
                continue
            if target.kv_capacity_tokens:
                peak = self._peak(self.run.engines[target.name], running, job)
                if peak > _OFFLINE_FILL * target.kv_capacity_tokens:
                    continue
            else:
                peak = len(running)
            if best is None or peak < best[0]:
                best = (peak, target.name)
        return best[1] if best else None

    def _peak(self, engine: engine_model.Engine, running: typing.Iterable[str],
              job: policy_load.Job) -> float:
        """Returns the largest KV memory that the sequences will need."""
        left = [(job.output_tokens, job.event.prompt_tokens)]
        for request_id in running:
            other = self._jobs[request_id]
            sequence = engine.sequences.get(request_id)
            done = engine.tokens_of(sequence) if sequence else 0
            left.append(
                (other.output_tokens - done, other.event.prompt_tokens + done))
        left.sort(reverse=True)
        held = peak = 0
        for i, (steps, context) in enumerate(left):
            held += context + _BLOCK_SLACK
            peak = max(peak, held + (i + 1) * steps)
        return peak


_OFFLINE_LOOKAHEAD = 8
_OFFLINE_MARGIN = 1.1  # Steps get longer by prefills of others.
_OFFLINE_FILL = 0.985
_BLOCK_SLACK = 16


def policies(name: str, place: policy_load.Deployment,
             jobs: list[policy_load.Job], options: engine_model.Options,
             daemons: int, seed: int) -> list[policy_sim.Policy]:
    """Returns the daemons of a baseline or of the offline order."""
    if name.startswith("offline"):
        exponent = float(name.removeprefix("offline"))
        return [OfflineOrder(place, jobs, options, exponent)]
    return [Proxy(name, daemons, seed + i) for i in range(daemons)]
