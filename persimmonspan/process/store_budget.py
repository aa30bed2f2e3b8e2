"""Selects the store operations to start: rate budgets and circuit breaker.

The store handles several hundred writes and about 2,000 reads a second from all
daemons together. Each daemon gets an equal share of `TOTAL_WRITES_PER_S` and
`TOTAL_READS_PER_S`, each limited by a token bucket. Operations above the share
wait, urgent ones first, until their deadline.

The circuit breaker opens after `_FAILURES_TO_OPEN` consecutive failures; then
all operations are rejected at once. After a jittered, growing pause it lets one
operation through as a probe. When the probe succeeds, the breaker closes and
the budget grows from `_RAMP_START_SHARE` of the share to all of it within a
jittered ramp. So 330 daemons that find the store available at the same moment
start with a fraction of its capacity. A throttled operation restarts the ramp.

Events: `OperationRequested`, `OperationFinished`, `DaemonsCounted`, `Tick`.
Commands: `Start`, `Reject`. Each `OperationRequested` leads to one `Start` or
`Reject`, possibly at a later event. The caller must report the end of each
started operation with one `OperationFinished`.

References:
    M. Nygard, "Release It!", chapter "Stability Patterns" (circuit breaker).
"""

import enum
import functools
import random
import typing

import immutables

from persimmonspan import errors

TOTAL_WRITES_PER_S = 300.0
TOTAL_READS_PER_S = 1600.0
_BURST_S = 0.5
_MIN_BURST_TOKENS = 4.0
_MAX_WAITING_REQUESTS = 512
_MAX_RUNNING_OPERATIONS = 6
_FAILURES_TO_OPEN = 3
_MIN_BREAKER_PAUSE_S = 0.5
_MAX_BREAKER_PAUSE_S = 4.0
_JITTER_RATIO = 0.5
_RAMP_S = 5.0
_RAMP_START_SHARE = 0.1


class Operation(enum.StrEnum):
    """Kind of an operation; it consumes a token of the bucket of this kind."""

    WRITE = "write"
    READ = "read"


class Priority(enum.IntEnum):
    """Order in which waiting operations start."""

    URGENT = 0  # Leases, member rows, the configuration head.
    NORMAL = 1  # Claims and records of the ledger.
    BACKGROUND = 2  # Late records, releases, scans.


class OperationRequested(typing.NamedTuple):
    """An operation is to start before its deadline."""

    request_id: int
    operation: Operation
    priority: Priority
    deadline_s: float


class Health(enum.StrEnum):
    """State of the store, as the end of an operation shows it."""

    ANSWERED = "answered"
    THROTTLED = "throttled"
    FAILED = "failed"


class OperationFinished(typing.NamedTuple):
    """A started operation ended."""

    request_id: int
    health: Health


class DaemonsCounted(typing.NamedTuple):
    """Number of registered daemons that share the store."""

    daemons: int


class Tick(typing.NamedTuple):
    """Time passed."""


class Start(typing.NamedTuple):
    """Start the operation now."""

    request_id: int


class Reject(typing.NamedTuple):
    """Do not start the operation; nothing was sent."""

    request_id: int
    code: errors.Code


class Bucket(typing.NamedTuple):
    """Token bucket with `tokens` at the time `filled_s`."""

    tokens: float = _MIN_BURST_TOKENS
    filled_s: float = 0.0


class State(typing.NamedTuple):
    """State of the budget.

    Attributes:
        daemons: Number of daemons that share the store.
        buckets: Token buckets for writes and for reads.
        waiting: Requests that wait, in order of arrival.
        running: Ids of started operations that have not ended.
        failures: Consecutive failures.
        pause_s: Last pause before jitter; 0 while the breaker is closed.
        open_until_s: While the breaker is open, time of the next probe.
        ramp_started_s: Time at which the breaker closed or the store throttled.
        ramp_s: Duration of the ramp after that.
    """

    daemons: int = 1
    buckets: immutables.Map[Operation, Bucket] = immutables.Map({
        Operation.WRITE: Bucket(),
        Operation.READ: Bucket()
    })
    waiting: tuple[OperationRequested, ...] = ()
    running: frozenset[int] = frozenset()
    failures: int = 0
    pause_s: float = 0.0
    open_until_s: float = 0.0
    ramp_started_s: float = -_RAMP_S
    ramp_s: float = _RAMP_S

    @property
    def is_open(self) -> bool:
        """Whether the breaker rejects operations."""
        return self.pause_s > 0


Event = OperationRequested | OperationFinished | DaemonsCounted | Tick
Command = Start | Reject
Result = tuple[State, list[Command]]


def step(state: State, event: Event, now_s: float,
         rng: random.Random) -> Result:
    """Returns the next state and the operations to start or reject."""
    state = _apply_event(event, state, now_s, rng)
    return _start_or_reject_waiting(state, now_s)


@functools.singledispatch
def _apply_event(event: object, state: State, now_s: float,
                 rng: random.Random) -> State:
    del event, now_s, rng
    return state


@_apply_event.register
def _(event: OperationRequested, state: State, now_s: float,
      rng: random.Random) -> State:
    del now_s, rng
    return state._replace(waiting=state.waiting + (event,))


@_apply_event.register
def _(event: DaemonsCounted, state: State, now_s: float,
      rng: random.Random) -> State:
    del now_s, rng
    return state._replace(daemons=max(1, event.daemons))


@_apply_event.register
def _(event: OperationFinished, state: State, now_s: float,
      rng: random.Random) -> State:
    state = state._replace(running=state.running - {event.request_id})
    if event.health != Health.FAILED:
        if state.is_open or event.health == Health.THROTTLED:
            jitter = 1 + _JITTER_RATIO * rng.uniform(-1, 1)
            state = state._replace(pause_s=0.0,
                                   ramp_started_s=now_s,
                                   ramp_s=_RAMP_S * jitter,
                                   buckets=_make_ramp_buckets(state, now_s))
        return state._replace(failures=0)
    failures = state.failures + 1
    if failures < _FAILURES_TO_OPEN and not state.is_open:
        return state._replace(failures=failures)
    pause_s = min(_MAX_BREAKER_PAUSE_S,
                  max(_MIN_BREAKER_PAUSE_S, 2 * state.pause_s))
    jitter = 1 + _JITTER_RATIO * rng.uniform(-1, 1)
    return state._replace(failures=failures,
                          pause_s=pause_s,
                          open_until_s=now_s + pause_s * jitter)


def rate_per_s(state: State, operation: Operation, now_s: float) -> float:
    """Returns this daemon's current share of the rate, in operations a second.

    >>> round(rate_per_s(State(daemons=330), Operation.WRITE, 100.0), 2)
    0.91
    """
    total = (TOTAL_WRITES_PER_S
             if operation == Operation.WRITE else TOTAL_READS_PER_S)
    progress = (now_s - state.ramp_started_s) / state.ramp_s
    return total / state.daemons * min(1.0, max(_RAMP_START_SHARE, progress))


def _make_ramp_buckets(state: State,
                       now_s: float) -> immutables.Map[Operation, Bucket]:
    """Returns buckets with one token each, for the start of a ramp."""
    return immutables.Map(
        {operation: Bucket(1.0, now_s) for operation in state.buckets})


def _refill_bucket(state: State, operation: Operation, now_s: float) -> Bucket:
    rate = rate_per_s(state, operation, now_s)
    bucket = state.buckets[operation]
    tokens = bucket.tokens + max(0.0, now_s - bucket.filled_s) * rate
    return Bucket(min(max(_MIN_BURST_TOKENS, rate * _BURST_S), tokens), now_s)


def _start_or_reject_waiting(state: State, now_s: float) -> Result:
    commands: list[Command] = []
    buckets = {
        operation: _refill_bucket(state, operation, now_s)
        for operation in state.buckets
    }
    running = set(state.running)
    waiting = []
    is_probing = False
    for request in sorted(state.waiting, key=lambda item: item.priority):
        can_probe = (state.is_open and now_s >= state.open_until_s and
                     not running and not is_probing)
        bucket = buckets[request.operation]
        if state.is_open and not can_probe:
            commands.append(
                Reject(request.request_id, errors.Code.STORE_UNAVAILABLE))
        elif request.deadline_s < now_s:
            commands.append(
                Reject(request.request_id, errors.Code.STORE_THROTTLED))
        elif can_probe or (bucket.tokens >= 1 and
                           len(running) < _MAX_RUNNING_OPERATIONS):
            is_probing = is_probing or can_probe
            buckets[request.operation] = bucket._replace(
                tokens=max(0.0, bucket.tokens - 1))
            running.add(request.request_id)
            commands.append(Start(request.request_id))
        else:
            waiting.append(request)
    commands.extend(
        Reject(request.request_id, errors.Code.STORE_THROTTLED)
        for request in waiting[_MAX_WAITING_REQUESTS:])
    return state._replace(buckets=immutables.Map(buckets),
                          waiting=tuple(waiting[:_MAX_WAITING_REQUESTS]),
                          running=frozenset(running)), commands
