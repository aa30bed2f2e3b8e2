"""Emulates overloaded engines behind many daemons, in virtual time.

Each daemon is a state of the real scheduler (`persimmonspan.request.scheduler`)
and receives the loads of the others with the delay of digests. Prompts wait for
each other at an engine and delay all its tokens. A request holds memory for its
prompt and its tokens; when memory runs out, the newest is preempted and
prefilled again.

Engines leave with a notice and are replaced, as on the users' platform.

See Also:
    `testbed.crowd_engines`: the steps of an engine.
"""

import heapq
import itertools
import math
import random
import typing

from persimmonspan.process import edge_peers
from persimmonspan.process import load_totals
from persimmonspan.process import target_speeds
from persimmonspan.request import events
from persimmonspan.request import scheduler
from testbed import crowd_engines

_SERVICE = "engines"
_COPY_TOKENS_PER_S = 14e9 / 8 / 96_256
_TOKENS_PER_EVENT = 4
_TICK_S = 0.05
_LINK_DELAY_S = 0.02
_STORE_DELAY_S = 0.3


class Scenario(typing.NamedTuple):
    """Load of a deployment and departures of its engines.

    `crest` is the relative amplitude of the request rate around its mean.
    """

    kinds: tuple[crowd_engines.Kind, ...]
    daemons: int = 64
    engines: int = 20
    capacity_tokens: int = 27_000
    slots: int = 24
    duration_s: float = 30.0
    digest_interval_s: float = 0.2
    crest: float = 0.55
    period_s: float = 13.0
    leave_every_s: float = 3.3  # Between two departures; 0 for none.
    leave_together: int = 3
    notice_s: float = 1.8
    # Time after which a daemon tells the others of a start by itself; zero if
    # it does not.
    start_notice_s: float = 0.0
    # Share of the engines that are fast, and the factors of their steps and of
    # those of the others.
    fast_share: float = 0.0
    fast_factor: float = 1.0
    slow_factor: float = 1.0
    slowdown_factor: float = 1.0  # By neighbours on the machine.
    slowdown_share: float = 0.0  # Of the time.
    slowdown_s: float = 0.6
    # Time between two reports of progress; 0 for one after each 32 tokens.
    progress_s: float = 0.0


class Outcome(typing.NamedTuple):
    """Counts and latencies of the responses to the callers of a kind."""

    asked: int
    in_aim: int
    answered: int
    cut: int
    refused: int
    first_s: tuple[float, ...]  # Sorted times to the first token.

    def first_token_quantile_s(self, share: float) -> float:
        """Returns a quantile of the time to the first token."""
        if not self.first_s:
            return math.inf
        return self.first_s[min(
            len(self.first_s) - 1, int(share * len(self.first_s)))]


class _RequestResult(typing.NamedTuple):
    """Outcome of a request for its caller."""

    end: str
    first_s: float | None
    max_pause_s: float  # Between two events.


class Emulator:
    """Runs one scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        # Traffic and departures do not depend on the decisions.
        self._traffic_rng = random.Random(seed)
        self._rng = random.Random(seed + 1)
        self._machine_rng = random.Random(seed + 2)
        self._engine_count = 0
        self._now_s = 0.0
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._engines: dict[str, crowd_engines.Engine] = {}
        self._leaving: set[str] = set()
        self._requests: dict[str, crowd_engines.Request] = {}
        self._results: dict[str, list[_RequestResult]] = {
            kind.name: [] for kind in scenario.kinds
        }
        self._states = [scheduler.State() for _ in range(scenario.daemons)]

    def run(self) -> dict[str, Outcome]:
        """Runs the scenario; returns the outcome of each kind."""
        scenario = self._scenario
        for _ in range(scenario.engines):
            self._add_engine()
        self._send_targets()
        for kind in scenario.kinds:
            self._after(self._arrival_gap_s(kind),
                        lambda kind=kind: self._add_request(kind))
        self._after(scenario.digest_interval_s, self._send_digests)
        self._after(_TICK_S, self._tick_schedulers)
        if scenario.leave_every_s:
            self._after(scenario.leave_every_s / 2, self._announce_departures)
        last_s = max(kind.deadline_s for kind in scenario.kinds)
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            if self._now_s > scenario.duration_s + last_s:
                break
            action()
        return {kind.name: self._summarize(kind) for kind in scenario.kinds}

    def _summarize(self, kind: crowd_engines.Kind) -> Outcome:
        results = self._results[kind.name]
        ends = [result.end for result in results]
        times_s = sorted(
            result.first_s for result in results if result.first_s is not None)
        in_aim = sum(
            result.end == "answered" and result.first_s <= kind.aim_s and
            result.max_pause_s <= kind.pause_s for result in results)
        return Outcome(len(results), in_aim, ends.count("answered"),
                       ends.count("cut"), ends.count("refused"), tuple(times_s))

    def _after(self, delay_s: float, action: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events,
                       (self._now_s + delay_s, next(self._sequence), action))

    def _arrival_gap_s(self, kind: crowd_engines.Kind) -> float:
        scenario = self._scenario
        wave = math.sin(2 * math.pi * self._now_s / scenario.period_s)
        return self._traffic_rng.expovariate(kind.rate_per_s *
                                             (1 + scenario.crest * wave))

    def _add_request(self, kind: crowd_engines.Kind) -> None:
        if self._now_s > self._scenario.duration_s:
            return
        self._after(self._arrival_gap_s(kind), lambda: self._add_request(kind))
        daemon = self._traffic_rng.randrange(self._scenario.daemons)
        name = f"r{next(self._sequence)}"
        item = crowd_engines.Request(name, kind, daemon, self._now_s,
                                     self._traffic_rng)
        self._requests[name] = item
        self._send(
            daemon,
            events.Arrived(name,
                           "w",
                           kind.name,
                           _SERVICE,
                           item.prompt,
                           kind.most_output_tokens,
                           self._now_s + kind.deadline_s,
                           name,
                           is_idempotent=False,
                           idempotency_key=name,
                           max_attempts=2 if kind.is_resumable else 1,
                           is_resumable=kind.is_resumable,
                           wants_backup=not kind.is_resumable,
                           latency_objective_s=kind.aim_s))
        self._after(kind.deadline_s, lambda: self._abandon_request(item))

    def _abandon_request(self, item: crowd_engines.Request) -> None:
        if not item.is_finished:
            self._finish(item, "late")
            self._send(item.daemon, events.RequestAbandoned(item.name))

    def _finish(self, item: crowd_engines.Request, end: str) -> None:
        item.is_finished = True
        del self._requests[item.name]
        first_s = (None if item.first_s is None else item.first_s -
                   item.arrived_s)
        self._results[item.kind.name].append(
            _RequestResult(end, first_s, item.max_pause_s))
        for engine in self._engines.values():
            for queue in (engine.queue, engine.running):
                if item in queue:
                    queue.remove(item)

    def _send(self, daemon: int, event: events.Event) -> None:
        state, commands = scheduler.step(self._states[daemon], event,
                                         self._now_s, self._rng)
        self._states[daemon] = state
        for command in commands:
            if isinstance(command, events.Dispatch):
                self._queue_dispatched(command)
                if self._scenario.start_notice_s:
                    self._after(
                        self._scenario.start_notice_s,
                        lambda item=command: self._tell_start(daemon, item))
            elif isinstance(command, events.Evacuate):
                self._evacuate_request(daemon, command)
            elif (isinstance(command, events.Refuse) and
                  command.request_id in self._requests):
                self._finish(self._requests[command.request_id], "refused")

    def _tell_start(self, daemon: int, command: events.Dispatch) -> None:
        item = self._requests.get(command.request_id)
        if item is None:
            return
        event = events.PeerStarted(command.target, item.prompt)
        for other in range(self._scenario.daemons):
            if other != daemon:
                self._send(other, event)

    def _tick_schedulers(self) -> None:
        self._after(_TICK_S, self._tick_schedulers)
        for daemon, state in enumerate(self._states):
            if state.queue.requests:
                self._send(daemon, events.Tick())

    def _send_digests(self) -> None:
        """Sends each daemon the summed loads and demands of the others."""
        self._after(self._scenario.digest_interval_s, self._send_digests)
        now_s = self._now_s
        peers = edge_peers.State()
        for daemon, state in enumerate(self._states):
            digest = edge_peers.Digest(
                f"d{daemon}",
                "",
                True,
                scheduler.own_loads(state),
                demands=scheduler.own_demands(state, now_s),
                speeds=target_speeds.own_speeds(state.speeds, now_s))
            peers, _ = edge_peers.merge_digest(peers, digest, now_s, now_s)
        sums = edge_peers.sum_loads(peers, (), (), now_s)
        for daemon in range(self._scenario.daemons):
            peer = peers.peers[f"d{daemon}"]
            loads, demands = load_totals.without_part(sums, peer.loads,
                                                      peer.demands)
            event = events.PeerLoad(edge_peers.OTHERS, loads, demands, True,
                                    sums.speeds)
            self._after(
                _LINK_DELAY_S,
                lambda daemon=daemon, event=event: self._send(daemon, event))

    def _send_targets(self) -> None:
        kinds = tuple(
            events.KindPolicy(kind.name, _SERVICE, 1.0, not kind.is_long, False,
                              kind.deadline_s) for kind in self._scenario.kinds)
        targets = tuple(engine.target
                        for name, engine in self._engines.items()
                        if name not in self._leaving)
        for daemon in range(self._scenario.daemons):
            self._send(
                daemon,
                events.TargetsChanged(1, targets, kinds, (), f"d{daemon}",
                                      self._scenario.digest_interval_s))

    def _add_engine(self) -> None:
        name = f"e{next(self._sequence)}"
        scenario = self._scenario
        count, self._engine_count = self._engine_count, self._engine_count + 1
        is_fast = (math.floor((count + 1) * scenario.fast_share)
                   > math.floor(count * scenario.fast_share))
        machine = crowd_engines.Machine(
            scenario.fast_factor if is_fast else scenario.slow_factor,
            crowd_engines.Slowdown(scenario.slowdown_factor,
                                   scenario.slowdown_share,
                                   scenario.slowdown_s),
            random.Random(self._machine_rng.random()))
        target = events.Target(name, _SERVICE, name, "a",
                               scenario.capacity_tokens, scenario.slots)
        self._engines[name] = crowd_engines.Engine(target, machine)

    def _announce_departures(self) -> None:
        scenario = self._scenario
        self._after(scenario.leave_every_s, self._announce_departures)
        names = self._traffic_rng.sample(
            [name for name in self._engines if name not in self._leaving],
            scenario.leave_together)
        self._leaving.update(names)
        for _ in names:
            self._add_engine()

        def send_notice() -> None:
            for daemon in range(scenario.daemons):
                for name in names:
                    self._send(daemon, events.TargetLeaving(name))
            self._send_targets()

        self._after(_STORE_DELAY_S, send_notice)
        for name in names:
            self._after(scenario.notice_s, lambda name=name: self._remove(name))

    def _remove(self, name: str) -> None:
        engine = self._engines.pop(name)
        self._leaving.discard(name)
        for item in (*engine.running, *engine.queue):
            copy = self._engines.get(item.copy_on or "")
            if copy is not None and item.first_s is not None:
                item.copy_on = None
                item.unread = 0
                copy.queue.insert(0, item)
                self._start_engine(copy)
                self._send(item.daemon,
                           events.RequestMoved(item.name, copy.target.name))
            elif item.kind.is_resumable or item.first_s is None:
                self._send(
                    item.daemon,
                    events.AttemptEnded(item.name, name,
                                        events.Outcome.CONNECT_FAILED))
            else:
                self._finish(item, "cut")
                self._send(
                    item.daemon,
                    events.AttemptEnded(item.name, name,
                                        events.Outcome.FAILED_AFTER_FIRST_TOKEN,
                                        item.tokens))

    def _queue_dispatched(self, command: events.Dispatch) -> None:
        item = self._requests.get(command.request_id)
        engine = self._engines.get(command.target)
        if item is None:
            return
        if engine is None:
            self._after(
                _LINK_DELAY_S, lambda: self._send(
                    item.daemon,
                    events.AttemptEnded(command.request_id, command.target,
                                        events.Outcome.CONNECT_FAILED)))
            return
        item.unread = item.prompt + item.tokens
        item.copy_on = command.backup
        engine.queue.append(item)
        self._start_engine(engine)

    def _evacuate_request(self, daemon: int, command: events.Evacuate) -> None:
        item = self._requests.get(command.request_id)
        engine = self._engines.get(command.target)
        if item is None:
            return
        held = sum(
            other.held_tokens for other in engine.running) if engine else 0
        capacity = self._scenario.capacity_tokens
        if engine is None or held + item.held_tokens > capacity:
            self._after(
                _LINK_DELAY_S, lambda: self._send(
                    daemon, events.MoveFailed(item.name, command.target)))
            return
        self._after(item.held_tokens / _COPY_TOKENS_PER_S,
                    lambda: setattr(item, "copy_on", command.target))

    def _start_engine(self, engine: crowd_engines.Engine) -> None:
        if not engine.is_stepping:
            engine.is_stepping = True
            self._run_step(engine)

    def _run_step(self, engine: crowd_engines.Engine) -> None:
        is_gone = engine.target.name not in self._engines
        if is_gone or not (engine.running or engine.queue):
            engine.is_stepping = False
            return
        duration_s, ready = engine.run_step(self._now_s)

        def done() -> None:
            for item in ready:
                if not item.is_finished:
                    self._emit_token(engine, item)
            self._run_step(engine)

        self._after(duration_s, done)

    def _emit_token(self, engine: crowd_engines.Engine,
                    item: crowd_engines.Request) -> None:
        item.tokens += 1
        if item.tokens % _TOKENS_PER_EVENT == 0 or item.first_s is None:
            item.max_pause_s = max(item.max_pause_s,
                                   self._now_s - item.last_event_s)
            item.last_event_s = self._now_s
        name = engine.target.name
        if item.first_s is None:
            item.first_s = self._now_s
            self._send(item.daemon, events.FirstToken(item.name, name))
            item.progressed_s = self._now_s
        elif self._is_progress_due(item):
            item.progressed_s = self._now_s
            self._send(item.daemon,
                       events.Progressed(item.name, name, item.tokens))
        if item.tokens >= item.output_tokens:
            self._finish(item, "answered")
            self._send(
                item.daemon,
                events.AttemptEnded(item.name, name, events.Outcome.COMPLETED,
                                    item.tokens))

    def _is_progress_due(self, item: crowd_engines.Request) -> bool:
        progress_s = self._scenario.progress_s
        if not progress_s:
            return item.tokens % 32 == 0
        return (item.tokens % _TOKENS_PER_EVENT == 0 and
                self._now_s - item.progressed_s >= progress_s)
