"""Plays a scenario of crowded engines with the current decisions and baselines.

    python -m testbed.experiment testbed/scenarios/wave.toml --seeds 3

prints, for each way of choosing a target, what the callers of each kind got.
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

_NOISE = 0.04
Spread = collections.abc.Callable[
    [typing.Sequence[tuple[float, str]], float, random.Random], list[str]]


def _least_used(ranked: typing.Sequence[tuple[float, str]], demand: float,
                rng: random.Random) -> list[str]:
    """Orders targets by their use, whatever its age."""
    del demand
    return [
        name for _, name in sorted((use + _NOISE * rng.random(), name)
                                   for use, name in ranked)
    ]


def _two_choices(ranked: typing.Sequence[tuple[float, str]], demand: float,
                 rng: random.Random) -> list[str]:
    """Takes the less used of two random targets first."""
    first = sorted(rng.sample(range(len(ranked)), min(2, len(ranked))))
    names = _least_used(ranked, demand, rng)
    chosen = [ranked[index][1] for index in first]
    return chosen + [name for name in names if name not in chosen]


def _at_random(ranked: typing.Sequence[tuple[float, str]], demand: float,
               rng: random.Random) -> list[str]:
    """Takes any target that admits the request."""
    del demand
    return [name for _, name in rng.sample(ranked, len(ranked))]


WAYS: dict[str, Spread] = {
    "current": choice.spread,
    "least-used": _least_used,
    "two-choices": _two_choices,
    "random": _at_random
}


def read(path: pathlib.Path) -> crowd.Scenario:
    """Reads a scenario file.

    Raises:
        msgspec.ValidationError: A field is missing, unknown or of another type.
    """
    document = msgspec.toml.decode(path.read_bytes())
    kinds = tuple(
        msgspec.convert(list(_ordered(crowd.Kind, kind)), crowd.Kind)
        for kind in document.pop("kinds", ()))
    unknown = set(document) - set(crowd.Scenario._fields)
    if unknown or not kinds:
        raise msgspec.ValidationError(
            f"{path}: unknown fields {sorted(unknown)}, or no kinds")
    return crowd.Scenario(kinds, **document)


def _ordered(form: type[typing.Any],
             document: dict[str, object]) -> collections.abc.Iterator[object]:
    if set(document) != set(form._fields):
        raise msgspec.ValidationError(
            f"a kind has the fields {', '.join(form._fields)}")
    return (document[name] for name in form._fields)


def play(scenario: crowd.Scenario, way: str,
         seed: int) -> dict[str, crowd.Outcome]:
    """Plays a scenario with one way of choosing targets."""
    with mock.patch.object(choice, "spread", WAYS[way]):
        return crowd.Crowd(scenario, seed).play()


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Runs the command line; returns the exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m testbed.experiment",
        description="Plays a scenario with the current decisions and baselines")
    parser.add_argument("scenario", type=pathlib.Path, help="a TOML file")
    parser.add_argument("--seeds", type=int, default=3, help="days to play")
    parser.add_argument("--ways",
                        nargs="+",
                        choices=sorted(WAYS),
                        default=list(WAYS),
                        help="ways of choosing a target")
    options = parser.parse_args(arguments)
    try:
        scenario = read(options.scenario)
    except (OSError, msgspec.MsgspecError, TypeError) as error:
        print(f"{options.scenario}: {error}", file=sys.stderr)
        return 2
    print(f"{'way':12} {'kind':12} {'asked':>6} {'in aim':>7} {'cut':>5} "
          f"{'refused':>8} {'first token: half':>18} {'95%':>6} {'99%':>6}")
    for way in options.ways:
        days = [play(scenario, way, seed) for seed in range(options.seeds)]
        for kind in scenario.kinds:
            _print(way, kind.name, [day[kind.name] for day in days])
    return 0


def _print(way: str, kind: str, days: list[crowd.Outcome]) -> None:
    asked = sum(day.asked for day in days)
    firsts = [
        sum(day.quantile_s(share)
            for day in days) / len(days)
        for share in (0.5, 0.95, 0.99)
    ]
    print(f"{way:12} {kind:12} {asked:6} "
          f"{sum(day.in_aim for day in days) / max(1, asked):7.3f} "
          f"{sum(day.cut for day in days):5} "
          f"{sum(day.refused for day in days):8} "
          f"{firsts[0]:17.2f}s {firsts[1]:5.2f}s {firsts[2]:5.2f}s")


if __name__ == "__main__":
    sys.exit(main())
