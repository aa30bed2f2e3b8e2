"""Tests leases, orders and engines together, with engines over HTTP."""

import contextlib
import threading
import time

import pykka
import pytest

from persimmonspan import errors
from persimmonspan.connection import engine_control as engine_adapter
from persimmonspan.connection import table_service
from persimmonspan.process import control_actor
from persimmonspan.process import leases
from persimmonspan.process import orders
from testbed import engine_control
from testbed import processes

_WAIT_S = 60.0


class _Store:
    """An in-memory substitute for the store client."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.lock = threading.Lock()

    def era(self):
        return 0

    def scan(self, prefix, **_):
        with self.lock:
            return _make_completed_future(
                tuple(row for key, row in self.rows.items()
                      if key.startswith(prefix)))

    def transact(self, checks, puts=(), **_):
        with self.lock:
            (check,), (put,) = checks, puts
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                return _make_completed_future(
                    table_service.Result(table_service.Outcome.NOT_APPLIED,
                                         errors.Code.CONFLICT))
            self.version += 1
            self.rows[put.key] = table_service.Row(put.key, put.value,
                                                   self.version, "")
            return _make_completed_future(
                table_service.Result(table_service.Outcome.APPLIED,
                                     version=self.version))


def _make_completed_future(value):
    future = pykka.ThreadingFuture()
    future.set(value)
    return future


@contextlib.contextmanager
def _engine(options):
    control = engine_control.Control("a", options)
    port = processes.free_port()
    server = engine_control.make_server(("127.0.0.1", port), control)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{port}", control
    finally:
        server.stop()
        thread.join()


def _wait_until(condition):
    end_s = time.monotonic() + _WAIT_S
    while not condition():
        assert time.monotonic() < end_s, "the condition was not met in time"
        time.sleep(0.1)


def test_rollout_continues_after_the_lease_holder_drains():
    """Fails if two daemons or none send orders while responses are lost."""
    store, draining, counts = _Store(), set(), []

    def set_draining(target, is_draining):
        (draining.add if is_draining else draining.discard)(target)

    with contextlib.ExitStack() as stack:
        engines = [
            stack.enter_context(
                _engine(
                    engine_control.Options(checks_fencing=i == 0,
                                           lost_response_interval=2)))
            for i in range(2)
        ]
        group = control_actor.Group(
            "group", 1,
            tuple(
                control_actor.EngineTarget(f"t-{i}", address,
                                           orders.DesiredState("b"))
                for i, (address, _) in enumerate(engines)))
        actors = {}
        for name in ("north", "south"):
            actor = control_actor.start(name, 1, store, counts.append,
                                        lambda target: 0, set_draining, 1)
            stack.callback(actor.stop)
            actor.tell(leases.LiveDaemonsChanged(frozenset(("north", "south"))))
            actor.tell(control_actor.Groups((group,)))
            actors[name] = actor
        controls = [control for _, control in engines]
        _wait_until(lambda: any(control.active == "b" for control in controls))
        holder = next(name for name, actor in actors.items()
                      if actor.ask(control_actor.StatusRequest()).held_leases)
        actors[holder].tell(leases.DrainStarted())
        _wait_until(lambda: all(
            control.state()["models"] == {"b": "warm"} for control in controls))
    assert not draining
    assert "control_order_unknown" in counts
    for control in controls:
        fences = [order["fence"] for order in control.orders]
        assert fences == sorted(fences)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_stale_and_failed_orders_have_distinct_outcomes(checks_fencing):
    """Fails if a rejected order is reported as accepted."""
    with _engine(engine_control.Options(checks_fencing)) as (address, control):
        current = orders.Order("2/1/t", 2, "load", "b", control.incarnation)
        stale = orders.Order("1/1/t", 1, "load", "c", control.incarnation)
        failing = orders.Order("2/2/t", 2, "activate", "x", control.incarnation)
        assert engine_adapter.send_order(address, current, 5.0) == "accepted"
        assert engine_adapter.send_order(
            address, stale, 5.0) == ("stale" if checks_fencing else "accepted")
        assert engine_adapter.send_order(address, failing, 5.0) == "failed"
        state = engine_adapter.read_state(address, 5.0)
        assert ("c" in state.models) != checks_fencing
        assert control.active == "a"
    with pytest.raises(errors.TargetError):
        engine_adapter.read_state(address, 0.2)


def test_order_for_an_earlier_incarnation_is_not_sent():
    """Fails if an engine receives an order for its earlier incarnation."""
    with _engine(engine_control.Options()) as (address, control):
        order = orders.Order("1/1/t", 1, "unload", "a", "an earlier one")
        assert engine_adapter.send_order(address, order, 5.0) == "unknown"
        assert not control.orders
