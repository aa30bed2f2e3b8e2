"""Runs a scenario of overloaded engines with the scheduler and with baselines.

    python -m testbed.experiment testbed/scenarios/wave.toml --seeds 3

prints the outcome of each kind of request for each strategy of choosing a
target.
"""

import argparse
import collections.abc
import pathlib
import random
import sys
import typing
from unittest import mock

import msgspec

from persimmonspan.request import choice
from testbed import crowd
from testbed import crowd_engines

_USE_NOISE = 0.04
Strategy = collections.abc.Callable[
    [typing.Sequence[tuple[float, str]], float, random.Random], list[str]]


def _order_by_use(ranked: typing.Sequence[tuple[float, str]], demand: float,
                  rng: random.Random) -> list[str]:
    """Orders targets by their use, regardless of its age."""
    del demand
    return [
        name for _, name in sorted((use + _USE_NOISE * rng.random(), name)
                                   for use, name in ranked)
    ]


def _order_by_two_choices(ranked: typing.Sequence[tuple[float, str]],
                          demand: float, rng: random.Random) -> list[str]:
    """Puts two random targets first, the less used before the other."""
    first_indexes = sorted(rng.sample(range(len(ranked)), min(2, len(ranked))))
    by_use = _order_by_use(ranked, demand, rng)
    chosen = [ranked[index][1] for index in first_indexes]
    return chosen + [name for name in by_use if name not in chosen]


def _order_at_random(ranked: typing.Sequence[tuple[float, str]], demand: float,
                     rng: random.Random) -> list[str]:
    """Orders the targets that admit the request at random."""
    del demand
    return [name for _, name in rng.sample(ranked, len(ranked))]


STRATEGIES: dict[str, Strategy] = {
    "current": choice.spread,
    "least-used": _order_by_use,
    "two-choices": _order_by_two_choices,
    "random": _order_at_random
}


def read_scenario(path: pathlib.Path) -> crowd.Scenario:
    """Reads a scenario file.

    Raises:
        msgspec.ValidationError: A field is missing, unknown or of another type.
    """
    document = msgspec.toml.decode(path.read_bytes())
    kinds = tuple(
        msgspec.convert(list(_field_values(crowd_engines.Kind, kind)),
                        crowd_engines.Kind)
        for kind in document.pop("kinds", ()))
    unknown = set(document) - set(crowd.Scenario._fields)
    if unknown or not kinds:
        raise msgspec.ValidationError(
            f"{path}: unknown fields {sorted(unknown)}, or no kind given")
    return crowd.Scenario(kinds, **document)


def _field_values(
        tuple_type: type[typing.Any],
        document: dict[str, object]) -> collections.abc.Iterator[object]:
    if set(document) != set(tuple_type._fields):
        raise msgspec.ValidationError(
            f"a kind must have the fields {', '.join(tuple_type._fields)}")
    return (document[name] for name in tuple_type._fields)


def run_scenario(scenario: crowd.Scenario, strategy: str,
                 seed: int) -> dict[str, crowd.Outcome]:
    """Runs a scenario with one strategy of choosing targets."""
    with mock.patch.object(choice, "spread", STRATEGIES[strategy]):
        return crowd.Emulator(scenario, seed).run()


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Runs the command line; returns the exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m testbed.experiment",
        description="Runs a scenario with the current scheduler and baselines")
    parser.add_argument("scenario", type=pathlib.Path, help="a TOML file")
    parser.add_argument("--seeds", type=int, default=3, help="seeds to run")
    parser.add_argument("--ways",
                        nargs="+",
                        choices=sorted(STRATEGIES),
                        default=list(STRATEGIES),
                        help="strategies of choosing a target")
    options = parser.parse_args(arguments)
    try:
        scenario = read_scenario(options.scenario)
    except (OSError, msgspec.MsgspecError, TypeError) as error:
        print(f"{options.scenario}: {error}", file=sys.stderr)
        return 2
    print(f"{'way':12} {'kind':12} {'asked':>6} {'in aim':>7} {'cut':>5} "
          f"{'refused':>8} {'first token: half':>18} {'95%':>6} {'99%':>6}")
    for strategy in options.ways:
        outcomes = [
            run_scenario(scenario, strategy, seed)
            for seed in range(options.seeds)
        ]
        for kind in scenario.kinds:
            print_row(strategy, kind.name,
                      [outcome[kind.name] for outcome in outcomes])
    return 0


def print_row(strategy: str, kind: str, outcomes: list[crowd.Outcome]) -> None:
    """Prints the outcome of one kind, summed over runs."""
    asked = sum(outcome.asked for outcome in outcomes)
    times_s = [
        sum(outcome.first_token_quantile_s(share)
            for outcome in outcomes) / len(outcomes)
        for share in (0.5, 0.95, 0.99)
    ]
    print(f"{strategy:12} {kind:12} {asked:6} "
          f"{sum(outcome.in_aim for outcome in outcomes) / max(1, asked):7.3f} "
          f"{sum(outcome.cut for outcome in outcomes):5} "
          f"{sum(outcome.refused for outcome in outcomes):8} "
          f"{times_s[0]:17.2f}s {times_s[1]:5.2f}s {times_s[2]:5.2f}s")


if __name__ == "__main__":
    sys.exit(main())
