"""Stateful fuzzing of ledger and configuration with Hypothesis.

    python -m bench.fuzz --steps 200000 --seed 1

drives `testbed.ledger_world` and `testbed.configuration_world` in interleavings
with death, pause, lost and late answers, outages, returns of the store from an
older copy, duplicated and reordered messages, jumps of the wall clock and
concurrent operators, and prints one JSON line for each machine. A broken
guarantee ends the run with the shortest sequence of steps that Hypothesis
finds. `--fault` switches on a deliberate fault, which must be found.
"""

import argparse
import collections
import json
import sys
import time

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from testbed import configuration_world
from testbed import ledger_world

_STEPS_PER_EXAMPLE = 60
_KEYS = tuple(f"ledger/lima/k-{i}" for i in range(4))
_DAEMONS = 3
_index = strategies.integers(0, 11)
_daemon = strategies.integers(0, _DAEMONS - 1)
_key = strategies.sampled_from(_KEYS)
# Most messages go through, so that calls get beyond their first steps.
_fate = strategies.sampled_from([ledger_world.Fate.DONE] * 14 +
                                list(ledger_world.Fate))

counts: collections.Counter[str] = collections.Counter()


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Calls, faults and operators on one ledger."""

    fault = ledger_world.Fault.NONE

    def __init__(self) -> None:
        super().__init__()
        self.world = ledger_world.World(_DAEMONS, self.fault)

    def teardown(self) -> None:
        """Counts what was reached."""
        counts["runs"] += sum(map(len, self.world.runs.values()))
        counts["not_run"] += len(self.world.not_run)
        counts["answered_keys"] += len(self.world.responses)
        counts["excused_keys"] += len(self.world.excused_keys)

    @stateful.rule(daemon=_daemon,
                   key=_key,
                   digest=strategies.sampled_from(["d1", "d1", "d1", "d2"]),
                   fates=strategies.lists(_fate, min_size=3, max_size=9))
    def begin(self, daemon: int, key: str, digest: str,
              fates: list[ledger_world.Fate]) -> None:
        """A caller calls, and the call takes its first steps."""
        self.world.begin_call(daemon, key, digest)
        for fate in fates:
            self.world.advance_call(-1, fate)

    @stateful.rule(index=_index,
                   fates=strategies.lists(_fate, min_size=2, max_size=9))
    def advance(self, index: int, fates: list[ledger_world.Fate]) -> None:
        """A call takes some steps."""
        for fate in fates:
            self.world.advance_call(index, fate)

    @stateful.rule(index=_index)
    def land(self, index: int) -> None:
        """A late write takes effect."""
        self.world.apply_delayed_write(index)

    @stateful.rule(index=_index, is_run=strategies.booleans())
    def arrive(self, index: int, is_run: bool) -> None:
        """A late dispatch reaches its target."""
        self.world.resolve_pending_dispatch(index, is_run)

    @stateful.rule(daemon=_daemon, is_death=strategies.booleans())
    def stop(self, daemon: int, is_death: bool) -> None:
        """A daemon dies or is paused."""
        if is_death:
            self.world.restart_daemon(daemon)
        else:
            self.world.paused.add(daemon)

    @stateful.rule(daemon=_daemon)
    def resume(self, daemon: int) -> None:
        """A paused daemon wakes."""
        self.world.paused.discard(daemon)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 5.0, 30.0]))
    def pass_time(self, seconds: float) -> None:
        """Time passes."""
        self.world.pass_time(seconds)

    @stateful.rule(writes=strategies.integers(1, 6))
    def return_store(self, writes: int) -> None:
        """The store returns from an older copy."""
        self.world.return_store(writes)

    @stateful.rule(daemon=_daemon, fate=_fate)
    def record_kept(self, daemon: int, fate: ledger_world.Fate) -> None:
        """A daemon records what it kept."""
        self.world.record_kept_documents(daemon, fate)

    @stateful.rule(key=_key)
    def settle(self, key: str) -> None:
        """An operator settles a call."""
        self.world.settle_call(key)

    @stateful.invariant()
    def check(self) -> None:
        """Checks the guarantees."""
        counts["steps"] += 1
        self.world.check_guarantees()


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Operators, daemons, store and peers."""

    fault = configuration_world.Fault.NONE

    def __init__(self) -> None:
        super().__init__()
        self.world = configuration_world.World(_DAEMONS, self.fault)
        for daemon in range(_DAEMONS):
            self.world.read_head(daemon, 0.0)
            self.world.check_majority(daemon)

    def teardown(self) -> None:
        """Counts what was reached."""
        counts["accepted"] += len(self.world.accepted_revisions)
        counts["adopted"] += sum(state.revision for state in self.world.states)
        counts.update(f"commit_{status}"
                      for status in self.world.commit_statuses.values())

    @stateful.rule(daemon=_daemon,
                   workspace=_index,
                   share=_index,
                   is_healed=strategies.booleans(),
                   fates=strategies.lists(_fate, min_size=3, max_size=12))
    def begin(self, daemon: int, workspace: int, share: int, is_healed: bool,
              fates: list[ledger_world.Fate]) -> None:
        """An operator commits, and the commit takes its first steps."""
        if is_healed:
            self.world.restore_all()
            self.synchronize(daemon)
        self.world.begin_commit(daemon, workspace, share + 1)
        for fate in fates:
            self.world.advance_commit(-1, fate)

    @stateful.rule(index=_index,
                   fates=strategies.lists(_fate, min_size=2, max_size=12))
    def advance(self, index: int, fates: list[ledger_world.Fate]) -> None:
        """A commit takes some steps."""
        for fate in fates:
            self.world.advance_commit(index, fate)

    @stateful.rule(index=_index)
    def land(self, index: int) -> None:
        """A late transaction takes effect."""
        self.world.apply_delayed_transaction(index)

    @stateful.rule(index=_index,
                   count=strategies.integers(1, 6),
                   is_kept=strategies.booleans())
    def deliver(self, index: int, count: int, is_kept: bool) -> None:
        """Messages arrive in any order, some again later."""
        for offset in range(count):
            self.world.deliver_message(index + offset, is_kept)

    @stateful.rule(daemon=_daemon)
    def synchronize(self, daemon: int) -> None:
        """A daemon reads the head and gets all its messages in order."""
        self.world.read_head(daemon, 0.0)
        self.world.deliver_all_messages(daemon)

    @stateful.rule(daemon=_daemon, delay_s=strategies.sampled_from([0.0, 5.0]))
    def poll(self, daemon: int, delay_s: float) -> None:
        """A daemon reads the head."""
        self.world.read_head(daemon, delay_s)

    @stateful.rule(daemon=_daemon,
                   is_store=strategies.booleans(),
                   is_cut=strategies.booleans())
    def cut(self, daemon: int, is_store: bool, is_cut: bool) -> None:
        """A link breaks or returns."""
        self.world.set_link_down(daemon, is_store, is_cut)

    @stateful.rule(daemon=_daemon)
    def isolate(self, daemon: int) -> None:
        """A daemon loses store and peers for longer than it may serve on."""
        self.world.set_link_down(daemon, True, True)
        self.world.set_link_down(daemon, False, True)
        self.world.pass_time(4.0)
        self.world.read_head(daemon, 0.0)

    @stateful.rule(daemon=_daemon, is_death=strategies.booleans())
    def stop(self, daemon: int, is_death: bool) -> None:
        """A daemon restarts or is paused."""
        if is_death:
            self.world.restart_daemon(daemon)
        else:
            self.world.paused.add(daemon)

    @stateful.rule(daemon=_daemon)
    def resume(self, daemon: int) -> None:
        """A paused daemon wakes and hears its peers."""
        self.world.paused.discard(daemon)
        self.world.check_majority(daemon)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 4.0]))
    def pass_time(self, seconds: float) -> None:
        """Time passes and digests arrive."""
        self.world.pass_time(seconds)
        for daemon in range(_DAEMONS):
            self.world.check_majority(daemon)

    @stateful.invariant()
    def check(self) -> None:
        """Checks the guarantees."""
        counts["steps"] += 1
        self.world.check_guarantees()


def machine(fault: ledger_world.Fault | configuration_world.Fault,
            base: type | None = None) -> type[stateful.RuleBasedStateMachine]:
    """Returns the machine that a fault belongs to, with the fault."""
    if base is None:
        base = (LedgerMachine if isinstance(fault, ledger_world.Fault) else
                ConfigurationMachine)
    return type(base.__name__, (base,), {"fault": fault})


def run(machine_type: type[stateful.RuleBasedStateMachine],
        steps: int,
        seed: int,
        is_shrunk: bool = True) -> dict[str, float]:
    """Runs a machine for about the number of steps; returns counts.

    Args:
        machine_type: Machine to run.
        steps: Number of steps.
        seed: Seed of the first series of examples.
        is_shrunk: Whether to look for the shortest failing sequence.

    Raises:
        AssertionError: A guarantee is broken.
    """
    phases = [hypothesis.Phase.generate]
    if is_shrunk:
        phases.append(hypothesis.Phase.shrink)
    counts.clear()
    started_s = time.monotonic()
    while counts["steps"] < steps:
        left = steps - counts["steps"]
        settings = hypothesis.settings(
            max_examples=max(1, left // _STEPS_PER_EXAMPLE + 1),
            stateful_step_count=_STEPS_PER_EXAMPLE,
            deadline=None,
            database=None,
            phases=phases,
            suppress_health_check=list(hypothesis.HealthCheck))
        stateful.run_state_machine_as_test(hypothesis.seed(seed)(machine_type),
                                           settings=settings)
        seed += 1
    return dict(counts) | {"seconds": round(time.monotonic() - started_s, 1)}


def main() -> int:
    """Runs both machines; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=200_000)
    parser.add_argument("--seed", type=int, default=1)
    faults = {
        fault.value: fault
        for fault in (*ledger_world.Fault, *configuration_world.Fault)
        if fault.value != "none"
    }
    parser.add_argument("--fault", choices=sorted(faults))
    options = parser.parse_args()
    machines = ([machine(faults[options.fault])]
                if options.fault else [LedgerMachine, ConfigurationMachine])
    for machine_type in machines:
        result = run(machine_type, options.steps, options.seed, options.fault
                     is None)
        print(
            json.dumps({
                "machine": machine_type.__name__,
                "seed": options.seed
            } | result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
