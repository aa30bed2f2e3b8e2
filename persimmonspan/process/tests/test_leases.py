"""Tests that one lease holder acts at a time under pauses and lost messages."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import immutables
import pytest

from persimmonspan.connection import store_era
from persimmonspan.process import leases

_STEP_S = 0.5
# Time for which a sent order may still take effect.
_ORDER_EFFECT_S = 3.0
_NAMES = frozenset(("group-0", "group-1"))
_MODES = ("up", "down", "applied_lost", "refused_lost", "late")


class World:
    """Daemons with separate clocks, a table, and the oracle.

    At each step every running daemon that may act sends an order under its
    lease. The oracle requires that the fencing token is at least as high as all
    earlier ones, and that no order of another holder may still take effect.
    """

    def __init__(self, options=leases.Options()):
        self.rng = random.Random(1)
        self.now_s = 0.0
        self.rows = {}
        self.version = 0
        self.era = 0
        self.copies = []
        self.incarnation = 1
        self.mode = "up"
        self.late = []
        self.offsets = {"north": 0.0, "south": 5000.0, "west": -700.0}
        self.states = {}
        self.paused = set()
        self.last_orders = {}
        self.options = options
        for name in self.offsets:
            self.start(name, 1)

    def start(self, name, incarnation):
        self.states[name] = leases.make_state(name, incarnation, self.options)
        self.apply(name, leases.NamesChanged(_NAMES))
        self.apply(name, leases.LiveDaemonsChanged(frozenset(self.offsets)))

    def apply(self, name, event):
        now_s = self.now_s + self.offsets[name]
        self.states[name], commands = leases.step(self.states[name], event,
                                                  now_s, self.rng)
        for command in commands:
            self.carry_out(name, command, now_s)

    def carry_out(self, name, command, now_s):
        if isinstance(command, leases.ReadRows) and self.mode != "down":
            self.apply(
                name,
                leases.RowsRead(
                    immutables.Map({
                        key: self.rows.get(key, leases.Row()) for key in _NAMES
                    }), now_s, self.era))
        elif isinstance(command, leases.WriteRow):
            if self.mode == "late":
                self.late.append(command)
            is_applied = (self.mode in ("up", "applied_lost") and
                          self.write(command))
            answer = None if self.mode.endswith(
                "lost") or self.mode == "late" else is_applied
            version = self.rows[command.name].version if is_applied else 0
            self.apply(
                name,
                leases.WriteEnded(command.name, command.write_id, answer,
                                  version))

    def write(self, command):
        row = self.rows.get(command.name, leases.Row())
        if row.version != command.expected_version:
            return False
        self.version += 1
        self.rows[command.name] = leases.decode_row(
            store_era.qualify_version(self.era, self.version), command.value)
        return True

    def return_store(self, steps):
        """Returns to the rows of some steps ago, in a new era."""
        rows, self.version = self.copies[-min(steps, len(self.copies))]
        self.era += 1
        self.rows = {
            name:
                row._replace(version=store_era.qualify_version(
                    self.era,
                    store_era.split_version(row.version)[1]))
            for name, row in rows.items()
        }

    def run(self, steps):
        for _ in range(steps):
            self.now_s += _STEP_S
            self.copies.append((dict(self.rows), self.version))
            for name in sorted(set(self.states) - self.paused):
                self.send_orders(name)
                self.apply(name, leases.Tick())

    def send_orders(self, name):
        for lease in sorted(_NAMES):
            fence = leases.fence(self.states[name], lease,
                                 self.now_s + self.offsets[name])
            if fence is None:
                continue
            last_fence, holder, sent_s = self.last_orders.get(
                lease, (0, name, -_ORDER_EFFECT_S))
            assert fence >= last_fence, "an older token after a newer"
            assert holder == name or fence > last_fence, "a token issued twice"
            assert holder == name or self.now_s - sent_s >= _ORDER_EFFECT_S, (
                "two holders act at the same time")
            self.last_orders[lease] = (fence, name, self.now_s)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Combines pauses, restarts, outages and lost responses in any order."""

    names = strategies.sampled_from(("north", "south", "west"))

    def __init__(self):
        super().__init__()
        self.world = World(self.options())
        self.world.run(12)

    def options(self):
        return leases.Options(rank_delay_s=0.0)

    @stateful.rule(steps=strategies.integers(1, 20))
    def run(self, steps):
        self.world.run(steps)

    @stateful.rule(name=names, steps=strategies.integers(8, 30))
    def pause_for(self, name, steps):
        self.world.paused |= {name}
        self.world.run(steps)
        self.world.paused -= {name}
        self.world.run(1)

    @stateful.rule(mode=strategies.sampled_from(_MODES))
    def set_mode(self, mode):
        self.world.mode = mode

    @stateful.rule(name=names)
    def pause_or_resume(self, name):
        self.world.paused ^= {name}

    @stateful.rule(name=names)
    def restart(self, name):
        if name not in self.world.paused:
            self.world.incarnation += 1
            self.world.start(name, self.world.incarnation)

    @stateful.rule(name=names)
    def drain(self, name):
        if name not in self.world.paused:
            self.world.apply(name, leases.DrainStarted())

    @stateful.rule(steps=strategies.integers(1, 60))
    def return_store(self, steps):
        self.world.return_store(steps)

    @stateful.rule()
    def land_late_writes(self):
        for command in self.world.late:
            self.world.write(command)
        self.world.late.clear()


_SETTINGS = hypothesis.settings(max_examples=200,
                                stateful_step_count=30,
                                deadline=None,
                                derandomize=True,
                                report_multiple_bugs=False,
                                suppress_health_check=list(
                                    hypothesis.HealthCheck))


def test_one_holder_acts_at_a_time():
    """Guards against two holders under pauses, outages and lost responses."""
    stateful.run_state_machine_as_test(LeaseMachine, settings=_SETTINGS)


@pytest.mark.parametrize(
    "options",
    [
        leases.Options(rank_delay_s=0.0,
                       act_window_s=60.0),  # Acts after expiry.
        leases.Options(rank_delay_s=0.0, ttl_s=6.0,
                       takeover_margin_s=0.0),  # Ignores the margin.
    ])
def test_oracle_finds_faulty_durations(options):
    """Guards against an oracle that accepts faulty durations."""

    class _Faulty(LeaseMachine):

        def options(self):
            return options

    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            _Faulty,
            settings=hypothesis.settings(_SETTINGS,
                                         phases=[hypothesis.Phase.generate]))


def test_lease_is_taken_over_when_its_holder_stops():
    """Guards against a lease that stays without a holder."""
    world = World()
    world.run(30)
    assert set(world.last_orders) == _NAMES
    holder = world.last_orders["group-0"][1]
    world.paused.add(holder)
    world.run(60)
    assert world.last_orders["group-0"][1] != holder
    assert world.last_orders["group-0"][0] == 2
    world.paused.clear()
    world.mode = "applied_lost"
    world.run(60)
    assert world.now_s - world.last_orders["group-0"][2] <= 2.0


def test_lease_that_the_store_lost_gets_a_holder_and_a_new_token():
    """Guards against a token that is issued again after a return."""
    world = World()
    world.run(30)
    first = dict(world.last_orders)
    world.return_store(30)
    assert not world.rows
    world.run(60)
    assert set(world.rows) == _NAMES
    for name in _NAMES:
        assert world.now_s - world.last_orders[name][2] <= 2.0
        assert world.last_orders[name][0] > first[name][0] + 100
