"""Tests roll-outs: token order, minimum capacity, uninterrupted streams."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import immutables
import pytest

from persimmonspan.process import orders

_STEP_S = 0.5
_MIN_ENGINES = 2
_TARGETS = ("t-0", "t-1", "t-2", "t-3")
# Time for which a drained engine still receives work, as peers learn of the
# draining late.
_DRAIN_LAG_S = 3.0
_MARGIN_STEPS = 5
_LATE_STEPS = 4
_MODES = ("up", "down", "lost", "late")


class World:
    """Engines with streams, one lease holder at a time, and the oracle."""

    def __init__(self, options=orders.Options(), margin_steps=_MARGIN_STEPS):
        self.rng = random.Random(1)
        self.now_s = 0.0
        self.step = 0
        self.margin_steps = margin_steps
        self.options = options
        self.models = {name: {"a": "warm"} for name in _TARGETS}
        self.active = dict.fromkeys(_TARGETS, "a")
        self.incarnations = dict.fromkeys(_TARGETS, 0)
        self.fences = dict.fromkeys(_TARGETS, 0)
        self.last_order = dict.fromkeys(_TARGETS, "")
        self.streams = dict.fromkeys(_TARGETS, 0)
        self.drained_s = {}
        self.broken = set()
        self.mode = "up"
        self.late = []
        self.has_traffic = True
        self.wanted = "a"
        self.fence = 0
        self.state = None
        self.take_over()

    def take_over(self):
        self.state = None
        for _ in range(self.margin_steps):
            self.advance()
        self.fence += 1
        self.state = orders.State(self.options, _MIN_ENGINES)
        self.want("a")
        self.want(self.wanted)
        self.apply(orders.FenceChanged(self.fence))

    def want(self, model):
        self.wanted = model
        if self.state is not None:
            self.apply(
                orders.DesiredStatesChanged(
                    immutables.Map({
                        name: orders.DesiredState(model) for name in _TARGETS
                    })))

    def apply(self, event):
        self.state, commands = orders.step(self.state, event, self.now_s,
                                           self.rng)
        for command in commands:
            self.carry_out(command)

    def carry_out(self, command):
        if isinstance(command, orders.SetDraining):
            if command.is_draining:
                self.drained_s[command.target] = self.now_s
            else:
                self.drained_s.pop(command.target, None)
            assert len(_TARGETS) - len(self.drained_s) >= _MIN_ENGINES, (
                "fewer engines serve than the minimum")
        elif isinstance(command, orders.ReadState):
            name = command.target
            self.apply(
                orders.StateRead(
                    name,
                    orders.ReportedState(str(self.incarnations[name]),
                                         self.active[name], "mixed",
                                         immutables.Map(self.models[name]),
                                         self.last_order[name]), self.now_s))
        elif isinstance(command, orders.SendOrder):
            if self.mode == "late":
                self.late.append((self.step + _LATE_STEPS, command))
            outcome = "unknown"
            if self.mode in ("up", "lost"):
                is_done = self.execute(command)
                if self.mode == "up":
                    outcome = "accepted" if is_done else "failed"
            self.apply(
                orders.OrderEnded(command.target, command.order.order_id,
                                  outcome))

    def execute(self, command):
        name, order = command.target, command.order
        if order.incarnation != str(self.incarnations[name]):
            return False  # The adapter sends nothing to another incarnation.
        assert order.fence >= self.fences[name], "an older token after a newer"
        self.fences[name] = order.fence
        models = self.models[name]
        if self.last_order[name] == order.order_id:
            return True
        self.last_order[name] = order.order_id
        if order.kind == "load":
            models[order.argument] = ("failed" if order.argument in self.broken
                                      else "loading")
        elif order.kind == "warm_up":
            if models.get(order.argument) not in ("ready", "warm"):
                return False  # The engine restarted.
            models[order.argument] = "warm"
        elif order.kind == "activate":
            if models.get(order.argument) != "warm":
                return False
            assert self.streams[name] == 0, "stream interrupted"
            self.active[name] = order.argument
        elif order.kind == "unload":
            assert self.active[name] != order.argument, "stream interrupted"
            models.pop(order.argument, None)
        return True

    def advance(self):
        self.now_s += _STEP_S
        self.step += 1
        due = [item for item in self.late if item[0] <= self.step]
        self.late = [item for item in self.late if item[0] > self.step]
        for _, command in due:
            self.execute(command)
        for name in _TARGETS:
            for model, phase in self.models[name].items():
                if phase == "loading" and self.rng.random() < 0.5:
                    self.models[name][model] = "ready"
            is_open = (self.now_s - self.drained_s.get(name, self.now_s)
                       < _DRAIN_LAG_S)
            if is_open and self.has_traffic and self.rng.random() < 0.7:
                self.streams[name] += 1
            elif self.streams[name] and self.rng.random() < 0.6:
                self.streams[name] -= 1

    def run(self, steps):
        for _ in range(steps):
            self.advance()
            for name in _TARGETS:
                self.apply(orders.InFlight(name, self.streams[name]))
            self.apply(orders.Tick())


class OrderMachine(stateful.RuleBasedStateMachine):
    """Combines roll-outs with lost or late orders, restarts, new holders."""

    def __init__(self):
        super().__init__()
        self.world = self.make_world()

    def make_world(self):
        return World()

    @stateful.rule(steps=strategies.integers(1, 40))
    def run(self, steps):
        self.world.run(steps)

    @stateful.rule(model=strategies.sampled_from("abc"),
                   mode=strategies.sampled_from(_MODES),
                   steps=strategies.integers(10, 60))
    def roll_out(self, model, mode, steps):
        self.world.want(model)
        self.world.run(5)
        self.world.mode = mode
        self.world.run(steps)

    @stateful.rule(model=strategies.sampled_from("abc"))
    def want(self, model):
        self.world.want(model)

    @stateful.rule(mode=strategies.sampled_from(_MODES))
    def set_mode(self, mode):
        self.world.mode = mode

    @stateful.rule(steps=strategies.integers(0, 20))
    def change_holder(self, steps):
        self.world.take_over()
        self.world.run(steps)

    @stateful.rule(name=strategies.sampled_from(_TARGETS))
    def restart(self, name):
        self.world.incarnations[name] += 1
        self.world.models[name] = {"a": "warm"}
        self.world.active[name] = "a"
        self.world.streams[name] = 0
        self.world.last_order[name] = ""


_SETTINGS = hypothesis.settings(max_examples=60,
                                stateful_step_count=25,
                                deadline=None,
                                derandomize=True,
                                report_multiple_bugs=False,
                                suppress_health_check=list(
                                    hypothesis.HealthCheck))


def test_orders_interrupt_no_stream_and_keep_min_capacity():
    """Guards against interrupted streams, old tokens and missing capacity."""
    stateful.run_state_machine_as_test(OrderMachine, settings=_SETTINGS)


@pytest.mark.parametrize("faulty", [
    lambda: World(margin_steps=0),
    lambda: World(orders.Options(drain_settle_s=0.0)),
],
                         ids=["ignores-the-margin", "does-not-wait"])
def test_oracle_finds_faulty_holders(faulty):
    """Guards against an oracle that accepts faulty holders."""

    class _Faulty(OrderMachine):

        def make_world(self):
            return faulty()

    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            _Faulty,
            settings=hypothesis.settings(_SETTINGS,
                                         max_examples=500,
                                         phases=[hypothesis.Phase.generate]))


def test_roll_out_completes_and_failed_model_is_rolled_back():
    """Guards against a roll-out that stalls or keeps a broken model."""
    world = World()
    world.want("b")
    world.run(300)
    assert set(world.active.values()) == {"b"}
    assert all(models == {"b": "warm"} for models in world.models.values())
    world.broken.add("c")
    world.want("c")
    world.run(100)
    assert set(world.active.values()) == {"b"}
    assert world.state.failures["c"] == world.options.max_failures
    assert not world.drained_s


def test_engine_that_does_not_drain_keeps_its_model():
    """Guards against a model change that interrupts a long stream."""
    world = World()
    world.streams["t-0"] = 1_000_000
    world.want("b")
    world.run(300)
    assert world.active["t-0"] == "a"
    assert [world.active[name] for name in _TARGETS[1:]] == ["b"] * 3


def test_late_unload_does_not_reach_a_restarted_engine():
    """Guards against a late unload that interrupts a stream (fuzzer find)."""
    machine = OrderMachine()
    machine.restart(name="t-0")
    machine.roll_out(mode="late", model="b", steps=23)
    machine.restart(name="t-0")
    machine.change_holder(steps=0)
    machine.teardown()
    assert machine.world.models["t-0"] == {
        "a": "warm"
    } or (machine.world.active["t-0"] in machine.world.models["t-0"])
