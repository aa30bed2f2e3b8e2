"""Actor that holds leases on engine groups and sends orders to engines.

Interface for the rest of the daemon: `start(daemon, incarnation, store, count,
in_flight, set_draining, seed)` returns an actor reference that accepts these
messages:

| message | when |
|---|---|
| `Groups(groups)` | a configuration came into force |
| `leases.LiveDaemonsChanged(daemons)` | live daemons changed, own included |
| `leases.DrainStarted()` | a planned stop began |
| `StatusRequest()`, by `ask` | for the administration API; returns `Status` |

`in_flight(target)` returns the number of requests in flight on a target from
all daemons, such as `running + waiting` of a fresh load report, or None if
unknown. `set_draining(target, is_draining)` announces to all daemons whether a
target accepts no new work. Both are called on the actor's thread and must not
block. The store client is that of `process/store_actor.py`.

The actor checks the lease again directly before it sends an order. After this
check, the order takes at most its timeout to reach the engine. The timeout plus
`act_window_s` is less than `ttl_s` plus the margin of the next holder.
"""

from concurrent import futures
import random
import threading
import time
import typing

import immutables
import pykka

from persimmonspan import errors
from persimmonspan.connection import engine_control
from persimmonspan.connection import table_service
from persimmonspan.process import leases
from persimmonspan.process import orders
from persimmonspan.process import store_budget

_TICK_INTERVAL_S = 0.5
_ORDER_TIMEOUT_S = 2.0
_STATE_TIMEOUT_S = 1.0
_ENGINE_THREADS = 4
_STORE_THREADS = 2
_LEASE_PREFIX = "lease/"


class EngineTarget(typing.NamedTuple):
    """An engine with its address and desired state."""

    name: str
    address: str
    desired_state: orders.DesiredState


class Group(typing.NamedTuple):
    """Engines under one lease; at least `min_serving_engines` stay in service.

    `max_loads` comes from `weight_store.max_loads_per_group`.
    """

    name: str
    min_serving_engines: int
    engines: tuple[EngineTarget, ...]
    max_loads: int = 1


class Groups(typing.NamedTuple):
    """All groups of the configuration in force."""

    groups: tuple[Group, ...]


class StatusRequest(typing.NamedTuple):
    """Requests the status."""


class Status(typing.NamedTuple):
    """Fences of the leases of this daemon, and the engines of all groups."""

    held_leases: immutables.Map[str, int]
    engines: immutables.Map[str, orders.Engine]


class Store(typing.Protocol):
    """Methods of `store_actor.Client` that the actor uses."""

    def transact(self,
                 checks: typing.Any,
                 puts: typing.Any = ...,
                 *,
                 priority: typing.Any) -> pykka.Future[table_service.Result]:
        """Applies a conditional transaction."""

    def scan(
            self, prefix: str, *, priority: typing.Any
    ) -> pykka.Future[tuple[table_service.Row, ...]]:
        """Reads rows under a prefix."""

    def era(self) -> int | None:
        """Returns the era of the store."""


class _OrderEvent(typing.NamedTuple):
    """An event for the orders of a group."""

    group: str
    event: orders.Event


class _Tick(typing.NamedTuple):
    """Time passed."""


class ControlActor(pykka.ThreadingActor):
    """Runs `leases.step` and `orders.step` and executes their commands."""

    use_daemon_thread = True

    def __init__(self, daemon: str, incarnation: int, store: Store,
                 count: typing.Callable[[str], None],
                 in_flight: typing.Callable[[str], int | None],
                 set_draining: typing.Callable[[str, bool],
                                               None], seed: int) -> None:
        super().__init__()
        self._leases = leases.make_state(daemon, incarnation)
        self._groups: dict[str, orders.State] = {}
        self._addresses: dict[str, str] = {}
        self._store = store
        self._count = count
        self._in_flight = in_flight
        self._set_draining = set_draining
        self._rng = random.Random(seed)
        self._engine_pool = futures.ThreadPoolExecutor(_ENGINE_THREADS,
                                                       "control")
        # Unresponsive engines must not delay the renewal of a lease.
        self._store_pool = futures.ThreadPoolExecutor(_STORE_THREADS, "lease")
        self._stopped = threading.Event()

    def on_start(self) -> None:
        """Starts the thread that sends ticks."""
        threading.Thread(target=self._tick, daemon=True).start()

    def on_stop(self) -> None:
        """Stops the tick thread and both pools."""
        self._stopped.set()
        for pool in (self._engine_pool, self._store_pool):
            pool.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message: typing.Any) -> typing.Any:
        """Applies one message."""
        if isinstance(message, StatusRequest):
            return self._status()
        if isinstance(message, Groups):
            self._set_groups(message.groups)
        elif isinstance(message, _OrderEvent):
            self._step_orders(message.group, message.event)
        elif isinstance(message, _Tick):
            self._step_leases(leases.Tick())
            self._step_all_groups()
        else:
            self._step_leases(message)
        return None

    def _set_groups(self, groups: tuple[Group, ...]) -> None:
        old, self._groups = self._groups, {}
        for group in groups:
            state = old.get(
                group.name,
                orders.State(orders.Options(), group.min_serving_engines))
            self._groups[group.name] = state._replace(
                min_serving_engines=group.min_serving_engines,
                options=state.options._replace(max_loads=group.max_loads))
            self._step_orders(
                group.name,
                orders.DesiredStatesChanged(
                    immutables.Map({
                        item.name: item.desired_state for item in group.engines
                    })))
            self._addresses.update(
                {item.name: item.address for item in group.engines})
        self._step_leases(leases.NamesChanged(frozenset(self._groups)))

    def _step_all_groups(self) -> None:
        now_s = time.monotonic()
        for name in tuple(self._groups):
            self._step_orders(
                name,
                orders.FenceChanged(leases.fence(self._leases, name, now_s)))
            for target in tuple(self._groups[name].engines):
                count = self._in_flight(target)
                if count is not None:
                    self._step_orders(name, orders.InFlight(target, count))
            self._step_orders(name, orders.Tick())

    def _step_leases(self, event: leases.Event) -> None:
        self._leases, commands = leases.step(self._leases, event,
                                             time.monotonic(), self._rng)
        for command in commands:
            if isinstance(command, leases.Count):
                self._count(command.reason)
            elif isinstance(command, leases.ReadRows):
                self._read_leases(time.monotonic())
            else:
                self._write_lease(command)

    def _step_orders(self, group: str, event: orders.Event) -> None:
        if group not in self._groups:
            return
        self._groups[group], commands = orders.step(self._groups[group], event,
                                                    time.monotonic(), self._rng)
        for command in commands:
            if isinstance(command, orders.Count):
                self._count(command.reason)
            elif isinstance(command, orders.SetDraining):
                self._set_draining(command.target, command.is_draining)
            elif isinstance(command, orders.ReadState):
                self._engine_pool.submit(self._read_engine_state, group,
                                         command.target, time.monotonic())
            else:
                self._engine_pool.submit(self._send_order, group, command)

    def _read_leases(self, sent_s: float) -> None:
        future = self._store.scan(_LEASE_PREFIX,
                                  priority=store_budget.Priority.URGENT)
        names = frozenset(self._groups)
        self._store_pool.submit(self._post_lease_rows, future, names, sent_s)

    def _post_lease_rows(self, future: pykka.Future, names: frozenset[str],
                         sent_s: float) -> None:
        try:
            rows = {row.key: row for row in future.get()}
        except errors.StoreError:
            self._count("lease_read_failed")
            return
        absent = table_service.Row("", "", 0, "")
        found = {}
        for name in names:
            row = rows.get(_LEASE_PREFIX + name, absent)
            found[name] = leases.decode_row(row.version, row.value)
        self._post_message(
            leases.RowsRead(immutables.Map(found), sent_s,
                            self._store.era() or 0))

    def _write_lease(self, command: leases.WriteRow) -> None:
        key = _LEASE_PREFIX + command.name
        future = self._store.transact(
            (table_service.Check(key, command.expected_version),),
            (table_service.Put(key, command.value),),
            priority=store_budget.Priority.URGENT)
        self._store_pool.submit(self._post_lease_write, future, command)

    def _post_lease_write(self, future: pykka.Future,
                          command: leases.WriteRow) -> None:
        result = future.get()
        is_applied = {
            table_service.Outcome.APPLIED: True,
            table_service.Outcome.NOT_APPLIED: False
        }.get(result.outcome)
        self._post_message(
            leases.WriteEnded(command.name, command.write_id, is_applied,
                              result.version))

    def _read_engine_state(self, group: str, target: str,
                           sent_s: float) -> None:
        try:
            reported = engine_control.read_state(self._addresses[target],
                                                 _STATE_TIMEOUT_S)
        except errors.TargetError:
            self._count("control_state_failed")
            return
        self._post_message(
            _OrderEvent(group, orders.StateRead(target, reported, sent_s)))

    def _send_order(self, group: str, command: orders.SendOrder) -> None:
        order = command.order
        outcome: engine_control.Outcome = "unknown"
        # The lease state is immutable and only replaced, so this thread can
        # read it.
        if leases.fence(self._leases, group, time.monotonic()) == order.fence:
            outcome = engine_control.send_order(self._addresses[command.target],
                                                order, _ORDER_TIMEOUT_S)
        else:
            self._count("control_order_without_lease")
        self._post_message(
            _OrderEvent(
                group, orders.OrderEnded(command.target, order.order_id,
                                         outcome)))

    def _status(self) -> Status:
        now_s = time.monotonic()
        tokens = {
            name: leases.fence(self._leases, name, now_s)
            for name in leases.select_held_leases(self._leases, now_s)
        }
        return Status(
            immutables.Map(tokens),
            immutables.Map({
                target: engine for state in self._groups.values()
                for target, engine in state.engines.items()
            }))

    def _post_message(self, message: typing.Any) -> None:
        try:
            self.actor_ref.tell(message)
        except pykka.ActorDeadError:
            self._stopped.set()

    def _tick(self) -> None:
        while not self._stopped.wait(_TICK_INTERVAL_S):
            self._post_message(_Tick())


def start(daemon: str, incarnation: int, store: Store,
          count: typing.Callable[[str],
                                 None], in_flight: typing.Callable[[str],
                                                                   int | None],
          set_draining: typing.Callable[[str, bool], None],
          seed: int) -> pykka.ActorRef[ControlActor]:
    """Starts the actor; the module doc string describes the arguments."""
    return ControlActor.start(daemon, incarnation, store, count, in_flight,
                              set_draining, seed)
