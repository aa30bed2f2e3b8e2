"""Control orders that bring engines from their reported to the desired state.

A roll-out adds before it removes: an engine loads the new model beside the old
one, warms it up, is drained, activates it, serves again, and finally unloads
the old model. A change of model or role is ordered only to an engine that was
drained for `drain_settle_s` and has no requests in flight, so that it
interrupts no stream; an engine that does not become idle keeps its old model.
Engines are drained only while more engines serve than the group's minimum.

An engine has at most one outstanding order. Its state is read under the current
fencing token before an order and again afterwards; for engines that ignore the
token this detects an order of an earlier holder that took effect late. An order
without a response is repeated under the same id, and an engine executes each id
once.

A model that fails to load or to warm up `max_failures` times is abandoned for
the whole group, and each engine returns to the model and role it had before.
"""

import functools
import math
import random
import typing

import immutables


class Options(typing.NamedTuple):
    """Durations and limits."""

    state_fresh_s: float = 2.0
    read_interval_s: float = 1.0
    in_flight_fresh_s: float = 1.0
    # A target that is announced as leaving receives no new work after 3 s.
    drain_settle_s: float = 4.0
    order_timeout_s: float = 5.0
    max_failures: int = 2
    # Engines of this group that may load from the weight store at once.
    max_loads: int = 1


class DesiredState(typing.NamedTuple):
    """Desired model, named with version and adapter, and role of an engine."""

    model: str
    role: str = "mixed"


class ReportedState(typing.NamedTuple):
    """State that an engine reported; `models` maps a model to its phase."""

    incarnation: str
    active: str
    role: str
    models: immutables.Map[str, str]  # loading, ready, warm or failed.
    last_order_id: str = ""


class Order(typing.NamedTuple):
    """An order with its fencing token, for one incarnation of an engine."""

    order_id: str
    fence: int
    kind: str  # load, warm_up, activate, set_role or unload.
    argument: str
    incarnation: str


class Engine(typing.NamedTuple):
    """Desired and recorded state of one engine."""

    desired: DesiredState
    previous_desired: DesiredState | None = None
    reported: ReportedState | None = None
    # When the read that returned `reported` was sent.
    reported_read_sent_s: float = -math.inf
    last_read_sent_s: float = -math.inf
    outstanding: Order | None = None
    order_sent_s: float = -math.inf
    in_flight: int = 0
    in_flight_s: float = -math.inf
    drain_started_s: float = math.inf  # When draining was announced.


class State(typing.NamedTuple):
    """Engines of one group, controlled under one lease."""

    options: Options
    min_serving_engines: int
    engines: immutables.Map[str, Engine] = immutables.Map()
    fence: int | None = None
    fence_s: float = -math.inf
    failures: immutables.Map[str, int] = immutables.Map()
    sequence: int = 0  # Of the orders under the present token.


class DesiredStatesChanged(typing.NamedTuple):
    """The desired states of the group's engines changed."""

    engines: immutables.Map[str, DesiredState]


class FenceChanged(typing.NamedTuple):
    """The daemon may act under this token, or may not act if None."""

    fence: int | None


class StateRead(typing.NamedTuple):
    """An engine's state was read; `read_sent_s` is when the read was sent."""

    target: str
    reported: ReportedState
    read_sent_s: float


class OrderEnded(typing.NamedTuple):
    """An order was accepted, was stale, failed, or has an unknown outcome."""

    target: str
    order_id: str
    outcome: typing.Literal["accepted", "stale", "failed", "unknown"]


class InFlight(typing.NamedTuple):
    """The number of requests in flight on an engine, over all daemons."""

    target: str
    count: int


class Tick(typing.NamedTuple):
    """Time passed."""


class SendOrder(typing.NamedTuple):
    """Send an order after checking the lease once more."""

    target: str
    order: Order


class ReadState(typing.NamedTuple):
    """Read the state of an engine."""

    target: str


class SetDraining(typing.NamedTuple):
    """Announce that a target accepts no new work, or accepts it again."""

    target: str
    is_draining: bool


class Count(typing.NamedTuple):
    """Increment the counter of an event."""

    reason: str


Event = (DesiredStatesChanged | FenceChanged | StateRead | OrderEnded |
         InFlight | Tick)
Command = SendOrder | ReadState | SetDraining | Count
Result = tuple[State, list[Command]]


def step(state: State, event: Event, now_s: float,
         rng: random.Random) -> Result:
    """Returns the next state and the commands that the event leads to."""
    del rng
    return _step(event, state, now_s)


@functools.singledispatch
def _step(event: object, state: State, now_s: float) -> Result:
    raise TypeError(f"unknown event {event!r} at {now_s} in {state!r}")


@_step.register
def _(event: DesiredStatesChanged, state: State, now_s: float) -> Result:
    del now_s
    engines = {}
    for target, desired in event.engines.items():
        engine = state.engines.get(target, Engine(desired))
        if engine.desired != desired:
            engine = engine._replace(desired=desired,
                                     previous_desired=engine.desired)
        engines[target] = engine
    return state._replace(engines=immutables.Map(engines)), []


@_step.register
def _(event: FenceChanged, state: State, now_s: float) -> Result:
    if event.fence == state.fence:
        return state, []
    # A state read under another token may predate later orders.
    engines = immutables.Map({
        target:
            engine._replace(reported_read_sent_s=-math.inf,
                            outstanding=None,
                            drain_started_s=math.inf)
        for target, engine in state.engines.items()
    })
    state = state._replace(fence=event.fence, fence_s=now_s, engines=engines)
    # An earlier holder may have left engines drained.
    return state, [
        SetDraining(target, False)
        for target in sorted(engines)
        if event.fence is not None
    ]


@_step.register
def _(event: InFlight, state: State, now_s: float) -> Result:
    engine = state.engines.get(event.target)
    if engine is None:
        return state, []
    return _put(state, event.target,
                engine._replace(in_flight=event.count, in_flight_s=now_s)), []


@_step.register
def _(event: OrderEnded, state: State, now_s: float) -> Result:
    del now_s
    engine = state.engines.get(event.target)
    if (engine is None or engine.outstanding is None or
            engine.outstanding.order_id != event.order_id):
        return state, []
    order = engine.outstanding
    commands: list[Command] = [Count(f"control_order_{event.outcome}")]
    if event.outcome == "stale":
        # A newer holder exists; the next read of the lease will show it.
        return state._replace(fence=None), commands
    if event.outcome == "failed":
        if order.kind in ("load", "warm_up"):
            state = _count_failure(state, order.argument)
        engine = engine._replace(outstanding=None)
    # An accepted or unknown order stays outstanding until the next state read.
    return _put(
        state, event.target,
        engine._replace(last_read_sent_s=-math.inf,
                        reported_read_sent_s=-math.inf)), (commands)


@_step.register
def _(event: StateRead, state: State, now_s: float) -> Result:
    del now_s
    engine = state.engines.get(event.target)
    if engine is None or event.read_sent_s < engine.order_sent_s:
        return state, []  # The read predates the last order.
    commands: list[Command] = []
    old, new = engine.reported, event.reported
    if old is not None and old.incarnation != new.incarnation:
        commands.append(Count("control_engine_restarted"))
        # The order addressed the earlier incarnation and is not repeated.
        engine = engine._replace(outstanding=None)
    order = engine.outstanding
    is_order_ended = order is not None and new.last_order_id == order.order_id
    for model, phase in new.models.items():
        is_load_result = (is_order_ended and order.kind == "load" and
                          order.argument == model)
        is_new_failure = old is None or old.models.get(model) != "failed"
        if phase == "failed" and (is_new_failure or is_load_result):
            state = _count_failure(state, model)
            commands.append(Count("control_load_failed"))
    if is_order_ended:
        engine = engine._replace(outstanding=None)
    return _put(
        state, event.target,
        engine._replace(reported=new,
                        reported_read_sent_s=event.read_sent_s)), commands


@_step.register
def _(event: Tick, state: State, now_s: float) -> Result:
    del event
    commands: list[Command] = []
    for target in sorted(state.engines):
        engine = state.engines[target]
        if state.fence is not None and (now_s - engine.last_read_sent_s
                                        >= state.options.read_interval_s):
            state = _put(state, target, engine._replace(last_read_sent_s=now_s))
            commands.append(ReadState(target))
        state, more = _advance_engine(state, target, now_s)
        commands += more
    return state, commands


def _advance_engine(state: State, target: str, now_s: float) -> Result:
    engine, options = state.engines[target], state.options
    if (state.fence is None or engine.reported is None or
            engine.reported_read_sent_s < state.fence_s or
            now_s - engine.reported_read_sent_s > options.state_fresh_s):
        return state, []
    if engine.outstanding is not None:
        if now_s - engine.order_sent_s < options.order_timeout_s:
            return state, []
        order = engine.outstanding  # Repeats the order; it is idempotent.
        return _put(state, target, engine._replace(order_sent_s=now_s)), [
            SendOrder(target, order)
        ]
    desired = select_desired_state(state, engine)
    next_order = _choose_next_order(state, engine.reported, desired)
    if next_order is None:
        return _undrain(state, target, engine)
    kind, argument = next_order
    if kind in ("activate", "set_role"):
        state, commands, is_idle = _drain(state, target, now_s)
        if not is_idle:
            return state, commands
    else:
        state, commands = _undrain(state, target,
                                   engine) if kind == "unload" else (state, [])
    engine = state.engines[target]
    state = state._replace(sequence=state.sequence + 1)
    order = Order(f"{state.fence}/{state.sequence}/{target}", state.fence, kind,
                  argument, engine.reported.incarnation)
    engine = engine._replace(outstanding=order, order_sent_s=now_s)
    return _put(state, target, engine), commands + [SendOrder(target, order)]


def select_desired_state(state: State, engine: Engine) -> DesiredState:
    """Returns the state to reach: the previous one for an abandoned model."""
    failures = state.failures.get(engine.desired.model, 0)
    if (failures >= state.options.max_failures and
            engine.previous_desired is not None):
        return engine.previous_desired
    return engine.desired


def _choose_next_order(state: State, reported: ReportedState,
                       desired: DesiredState) -> tuple[str, str] | None:
    """Returns kind and argument of the next order, or None if none is due."""
    phase = reported.models.get(desired.model)
    if phase in (None, "failed"):
        if state.failures.get(desired.model, 0) >= state.options.max_failures:
            return None
        return ("load", desired.model) if _may_load(state) else None
    if phase == "loading":
        return None
    if phase == "ready":
        return "warm_up", desired.model
    if reported.active != desired.model:
        return "activate", desired.model
    if reported.role != desired.role:
        return "set_role", desired.role
    others = sorted(model for model, other in reported.models.items()
                    if model != desired.model and other != "loading")
    return ("unload", others[0]) if others else None


def _may_load(state: State) -> bool:
    loads = 0
    for engine in state.engines.values():
        is_ordered = (engine.outstanding is not None and
                      engine.outstanding.kind == "load")
        is_loading = (engine.reported is not None and
                      "loading" in engine.reported.models.values())
        loads += is_ordered or is_loading
    return loads < state.options.max_loads


def count_serving_engines(state: State) -> int:
    """Returns how many engines reported an active model and are not drained."""
    return sum(1 for engine in state.engines.values()
               if engine.reported is not None and engine.reported.active and
               math.isinf(engine.drain_started_s))


def _drain(state: State, target: str,
           now_s: float) -> tuple[State, list[Command], bool]:
    engine, options = state.engines[target], state.options
    assert engine.reported is not None
    if math.isinf(engine.drain_started_s):
        if engine.reported.active and count_serving_engines(
                state) <= state.min_serving_engines:
            return state, [], False
        state = _put(state, target, engine._replace(drain_started_s=now_s))
        return state, [SetDraining(target, True)], False
    is_idle = (now_s - engine.drain_started_s >= options.drain_settle_s and
               engine.in_flight == 0 and
               now_s - engine.in_flight_s <= options.in_flight_fresh_s)
    return state, [], is_idle


def _undrain(state: State, target: str, engine: Engine) -> Result:
    if math.isinf(engine.drain_started_s):
        return state, []
    state = _put(state, target, engine._replace(drain_started_s=math.inf))
    return state, [SetDraining(target, False)]


def _count_failure(state: State, model: str) -> State:
    return state._replace(
        failures=state.failures.set(model,
                                    state.failures.get(model, 0) + 1))


def _put(state: State, target: str, engine: Engine) -> State:
    return state._replace(engines=state.engines.set(target, engine))
