"""Benchmark of the scheduling policy in virtual time.

    python -m bench.policy [--seeds N] [--daemons N] [--engines N] [--only NAME]

Runs the scheduler and the baselines on the same requests, with both sample
deployments, several loads and faults. Writes JSON and a plot to `out/` and a
table to `docs/design/policy-results.md`.
"""

import argparse
import concurrent.futures
import json
import pathlib
import random
import typing

from bench import engine_model
from bench import policy_baselines
from bench import policy_load
from bench import policy_measures
from bench import policy_report
from bench import policy_sim
from persimmonspan.request import events
from persimmonspan.request import scheduler

OURS = "persimmonspan"
BASELINES = ("round_robin", "least_outstanding", "two_choices")
OFFLINE = ("offline1.0", "offline0.7")
_DEPLOYMENTS = ("plaza-verde", "elo-nordeste")
_DURATION_S = 120.0
_PLAIN_RATE = 3 * policy_load.PLAIN_LIMIT / policy_load.PLAIN_MEAN_S
_FAULTS = {
    "none":
        policy_sim.Faults(),
    "stragglers":
        policy_sim.Faults(slow=tuple(
            (start_s, start_s + 8.0, i, 4.0)
            for start_s, i in ((15, 0), (30, 3), (45, 1), (60, 4), (75, 2),
                               (90, 5), (105, 0)))),
    "deaths":
        policy_sim.Faults(deaths=((30.0, 38.0, 1), (80.0, 95.0, 4))),
}


class Case(typing.NamedTuple):
    """One run."""

    policy: str
    deployment: str
    load: float
    faults: str
    daemons: int
    engines: int
    seed: int


class Scheduler:
    """The scheduler of one daemon."""

    def __init__(self, seed: int) -> None:
        self._state = scheduler.State()
        self._rng = random.Random(seed)

    def decide(self, event: events.Event, now_s: float) -> list[events.Command]:
        """Returns the commands that an event leads to."""
        self._state, commands = scheduler.step(self._state, event, now_s,
                                               self._rng)
        return commands

    def loads(self, now_s: float) -> tuple[events.TargetLoad, ...]:
        """Returns what the daemon tells its peers."""
        del now_s
        return scheduler.own_loads(self._state)


def run_case(case: Case) -> policy_measures.Measures:
    """Runs one case."""
    place = policy_load.deployment(case.deployment, case.engines)
    options = engine_model.Options()
    rate = policy_load.capacity_rate(place, options)
    jobs = policy_load.jobs(place, case.load * rate, case.load * _PLAIN_RATE,
                            _DURATION_S, case.daemons, case.seed)
    if case.policy == OURS:
        policies: list[policy_sim.Policy] = [
            Scheduler(case.seed + i) for i in range(case.daemons)
        ]
    else:
        policies = policy_baselines.policies(case.policy, place, jobs, options,
                                             case.daemons, case.seed)
    if len(policies) == 1:
        jobs = [item._replace(daemon=0) for item in jobs]
    run = policy_sim.Run(place, jobs, policies, options, _FAULTS[case.faults],
                         case.seed)
    for policy in policies:
        if isinstance(policy, policy_baselines.OfflineOrder):
            policy.run = run
    run.run()
    return policy_measures.measure(run, place)


def cases(seeds: int, daemons: int, engines: int, only: str | None,
          quick: bool) -> list[Case]:
    """Returns the cases of the benchmark."""
    names = (only,) if only else (OURS,) + BASELINES
    result = []
    for place in _DEPLOYMENTS:
        for seed in range(1, seeds + 1):
            for load in (0.7, 1.0, 2.0, 4.0):
                for name in names + (OFFLINE if not only else ()):
                    result.append(
                        Case(name, place, load, "none", daemons, engines, seed))
            for name in () if quick else names:
                for load in (0.7, 1.0):
                    for faults in ("stragglers", "deaths"):
                        result.append(
                            Case(name, place, load, faults, daemons, engines,
                                 seed))
                for other in (1, 8):
                    result.append(
                        Case(name, place, 1.0, "none", other, engines, seed))
    return result


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--only", help="run one policy, print, write nothing")
    parser.add_argument("--quick", action="store_true", help="no faults")
    parser.add_argument("--workers", type=int, default=3)
    parsed = parser.parse_args()
    todo = cases(parsed.seeds, parsed.daemons, parsed.engines, parsed.only,
                 parsed.quick)
    with concurrent.futures.ProcessPoolExecutor(parsed.workers) as pool:
        results = list(pool.map(run_case, todo))
    rows = [{
        "case": case._asdict(),
        "measures": result
    } for case, result in zip(todo, results)]
    table = policy_report.table(rows, parsed.daemons)
    print(table)
    if parsed.only:
        return
    out = pathlib.Path("out")
    out.mkdir(exist_ok=True)
    (out / "policy.json").write_text(json.dumps(rows, indent=1))
    pathlib.Path("docs/design/policy-results.md").write_text(table, "utf-8")
    policy_report.plot(rows, parsed.daemons, out / "policy.png")


if __name__ == "__main__":
    main()
