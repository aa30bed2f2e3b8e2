"""Virtual-time run of daemons in front of modelled engines and plain services.

Each daemon is a `Policy` that turns events into commands. The run delivers the
events of the real interface: load reports lag and get lost, peer loads arrive
late, progress is reported every half second, callers leave when their patience
ends.
"""

import collections
import heapq
import itertools
import random
import typing

from bench import engine_model
from bench import policy_load
from persimmonspan.request import events

_REPORT_INTERVAL_S = 1.0
_REPORT_LAG_S = 0.5
_REPORT_LOSS = 0.1
_GOSSIP_INTERVAL_S = 1.0
_GOSSIP_DELAY_S = 0.2
_PROGRESS_INTERVAL_S = 0.5
_TICK_INTERVAL_S = 0.1
_CONNECT_S = 0.002
_PATIENCE = 1.5  # Callers leave after this many times the deadline.


class Policy(typing.Protocol):
    """One daemon's decisions."""

    def decide(self, event: events.Event, now_s: float) -> list[events.Command]:
        """Returns the commands that an event leads to."""

    def loads(self, now_s: float) -> tuple[events.TargetLoad, ...]:
        """Returns what the daemon tells its peers."""


class Faults(typing.NamedTuple):
    """Faults of a run: (start, end, engine index, factor) and deaths."""

    slow: tuple[tuple[float, float, int, float], ...] = ()
    deaths: tuple[tuple[float, float, int], ...] = ()


class Record:
    """What happened to one request."""

    def __init__(self, job: policy_load.Job) -> None:
        self.job = job
        self.dispatched_s: float | None = None
        self.first_s: float | None = None
        self.ended_s: float | None = None
        self.status = "open"
        self.reason = ""
        self.retry_after_s: float | None = None
        self.target: str | None = None
        self.sequence: engine_model.Sequence | None = None
        self.tokens = 0
        self.lost_tokens = 0
        self.attempts = 0


class Run:
    """State of one run."""

    def __init__(self, place: policy_load.Deployment,
                 jobs: list[policy_load.Job], policies: list[Policy],
                 options: engine_model.Options, faults: Faults,
                 seed: int) -> None:
        self.now_s = 0.0
        self.place = place
        self.policies = policies
        self.records = {item.event.request_id: Record(item) for item in jobs}
        self.engines = {
            item.name: engine_model.Engine(options)
            for item in place.targets
            if item.kv_capacity_tokens
        }
        self.plain = {
            item.name: _Plain(item.max_running)
            for item in place.targets
            if not item.kv_capacity_tokens
        }
        self.resumed_gaps_s: list[float] = []
        self.kv_use: list[float] = []
        self._down: set[str] = set()
        self._epochs: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(seed)
        self._heap: list[tuple[float, int, typing.Callable[..., None],
                               tuple[typing.Any, ...]]] = []
        self._ids = itertools.count()
        self._open = len(jobs)
        self._schedule(jobs, faults)

    def _schedule(self, jobs: list[policy_load.Job], faults: Faults) -> None:
        for i in range(len(self.policies)):
            self._tell(i, self.place.changed)
            self.at(self._rng.random() * _TICK_INTERVAL_S, self._tick, i)
            self.at(self._rng.random() * _GOSSIP_INTERVAL_S, self._gossip, i)
        for i, name in enumerate(self.engines):
            self.at(self._rng.random() * _REPORT_INTERVAL_S, self._report, name)
            self.at(self._rng.random() * _PROGRESS_INTERVAL_S, self._progress,
                    name)
        for item in jobs:
            self.at(item.arrived_s, self._tell, item.daemon, item.event)
            patience = _PATIENCE * (item.event.deadline_s - item.arrived_s)
            self.at(item.arrived_s + patience, self._leave,
                    item.event.request_id)
        names = list(self.engines)
        for start_s, end_s, i, factor in faults.slow:
            self.at(start_s, self._slow, names[i], factor)
            self.at(end_s, self._slow, names[i], 1.0)
        for start_s, end_s, i in faults.deaths:
            self.at(start_s, self._die, names[i])
            self.at(end_s, self._down.discard, names[i])

    def at(self, when_s: float, action: typing.Callable[..., None], *arguments:
           typing.Any) -> None:
        """Schedules an action."""
        heapq.heappush(self._heap, (when_s, next(self._ids), action, arguments))

    def run(self) -> None:
        """Runs until each request has ended."""
        while self._heap and self._open:
            self.now_s, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)

    def _tell(self, daemon: int, event: events.Event) -> None:
        for command in self.policies[daemon].decide(event, self.now_s):
            self._carry_out(daemon, command)

    def _carry_out(self, daemon: int, command: events.Command) -> None:
        if isinstance(command, events.Dispatch):
            self._dispatch(daemon, command)
        elif isinstance(command, events.Refuse):
            record = self.records[command.request_id]
            record.reason = command.reason
            record.retry_after_s = command.retry_after_s
            self._end(record, "refused")
        elif isinstance(command, events.CancelAttempt):
            self._remove(self.records[command.request_id])

    def _dispatch(self, daemon: int, command: events.Dispatch) -> None:
        record = self.records[command.request_id]
        if record.target is not None or record.status != "open":
            raise AssertionError(f"second live attempt: {command}")
        record.target = command.target
        record.attempts += 1
        if record.dispatched_s is None:
            record.dispatched_s = self.now_s
        if command.target in self._down:
            self.at(self.now_s + _CONNECT_S, self._attempt_ended, record,
                    events.Outcome.CONNECT_FAILED)
        elif command.target in self.plain:
            self._start_plain(daemon, record)
        else:
            job = record.job
            record.sequence = engine_model.Sequence(command.request_id,
                                                    job.event.prompt_tokens,
                                                    job.output_tokens,
                                                    command.priority,
                                                    job.prefix)
            self.engines[command.target].submit(record.sequence)
            self._wake(command.target)

    def _attempt_ended(self, record: Record, outcome: events.Outcome) -> None:
        if record.target is None:
            return
        target, tokens = record.target, self._tokens(record)
        record.target = record.sequence = None
        if outcome is events.Outcome.COMPLETED:
            record.tokens = tokens
            self._end(record, "completed")
        elif outcome is events.Outcome.FAILED_AFTER_FIRST_TOKEN:
            record.lost_tokens += tokens
            self._end(record, "failed")
        self._tell(
            record.job.daemon,
            events.AttemptEnded(record.job.event.request_id, target, outcome,
                                tokens))

    def _tokens(self, record: Record) -> int:
        if record.sequence is None or record.target not in self.engines:
            return 0
        return self.engines[record.target].tokens_of(record.sequence)

    def _end(self, record: Record, status: str) -> None:
        if record.status == "open":
            record.status = status
            record.ended_s = self.now_s
            self._open -= 1

    def _leave(self, request_id: str) -> None:
        record = self.records[request_id]
        if record.status != "open":
            return
        self._end(record, "left")
        self._tell(record.job.daemon, events.RequestAbandoned(request_id))

    def _remove(self, record: Record) -> None:
        target = record.target
        if target is None:
            return
        record.lost_tokens += self._tokens(record)
        if target in self.engines:
            self.engines[target].cancel(record.job.event.request_id)
        record.target = record.sequence = None

    def _wake(self, name: str) -> None:
        engine = self.engines[name]
        if engine.is_stepping:
            return
        duration_s = engine.begin_step(self.now_s)
        if duration_s is not None:
            self.at(self.now_s + duration_s, self._step, name, duration_s,
                    self._epochs[name])

    def _step(self, name: str, duration_s: float, epoch: int) -> None:
        if epoch != self._epochs[name]:
            return
        engine = self.engines[name]
        result = engine.end_step(self.now_s, duration_s)
        engine.is_stepping = False
        self._wake(name)
        self.resumed_gaps_s += result.resumed_gaps_s
        for sequence in result.first_tokens:
            record = self.records[sequence.request_id]
            record.first_s = self.now_s
            self._tell(record.job.daemon,
                       events.FirstToken(sequence.request_id, name))
        for sequence in result.finished:
            self._attempt_ended(self.records[sequence.request_id],
                                events.Outcome.COMPLETED)

    def _start_plain(self, daemon: int, record: Record) -> None:
        del daemon
        replica = self.plain[record.target or ""]
        replica.waiting.append(record)
        self._next_plain(replica)

    def _next_plain(self, replica: "_Plain") -> None:
        while replica.waiting and replica.running < replica.limit:
            record = replica.waiting.popleft()
            replica.running += 1
            record.first_s = self.now_s
            self.at(self.now_s + record.job.service_s, self._end_plain, replica,
                    record)

    def _end_plain(self, replica: "_Plain", record: Record) -> None:
        replica.running -= 1
        self._next_plain(replica)
        self._attempt_ended(record, events.Outcome.COMPLETED)

    def _tick(self, daemon: int) -> None:
        self._tell(daemon, events.Tick())
        self.at(self.now_s + _TICK_INTERVAL_S, self._tick, daemon)

    def _gossip(self, daemon: int) -> None:
        event = events.PeerLoad(f"daemon-{daemon}",
                                self.policies[daemon].loads(self.now_s))
        for peer in range(len(self.policies)):
            if peer != daemon:
                self.at(self.now_s + _GOSSIP_DELAY_S, self._tell, peer, event)
        self.at(self.now_s + _GOSSIP_INTERVAL_S, self._gossip, daemon)

    def _report(self, name: str) -> None:
        engine = self.engines[name]
        if name not in self._down:
            self.kv_use.append(engine.used_blocks / engine.capacity_blocks)
            event = events.LoadReported(name, _REPORT_LAG_S,
                                        engine.kv_used_tokens,
                                        engine.options.kv_capacity_tokens,
                                        engine.running, len(engine.waiting),
                                        engine.preemptions)
            for daemon in range(len(self.policies)):
                if self._rng.random() >= _REPORT_LOSS:
                    self.at(self.now_s + _REPORT_LAG_S, self._tell, daemon,
                            event)
        self.at(self.now_s + _REPORT_INTERVAL_S, self._report, name)

    def _progress(self, name: str) -> None:
        engine = self.engines[name]
        for request_id, sequence in list(engine.decoding.items()):
            tokens = engine.tokens_of(sequence)
            if tokens > 0:
                self._tell(self.records[request_id].job.daemon,
                           events.Progressed(request_id, name, tokens))
        self.at(self.now_s + _PROGRESS_INTERVAL_S, self._progress, name)

    def _slow(self, name: str, factor: float) -> None:
        self.engines[name].slow_factor = factor

    def _die(self, name: str) -> None:
        self._down.add(name)
        self._epochs[name] += 1
        lost = self.engines[name].crash()
        for daemon in range(len(self.policies)):
            self.at(self.now_s + _GOSSIP_DELAY_S, self._tell, daemon,
                    events.TargetDied(name))
        for sequence in lost:
            record = self.records[sequence.request_id]
            self._attempt_ended(
                record, events.Outcome.FAILED_AFTER_FIRST_TOKEN if
                sequence.tokens else events.Outcome.FAILED_BEFORE_FIRST_TOKEN)


class _Plain:
    """A plain service that runs a bounded number of calls at a time."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.running = 0
        self.waiting: collections.deque[Record] = collections.deque()
