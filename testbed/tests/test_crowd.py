"""Heavy days in virtual time: what callers get of the scheduler's decisions.

The bound is the brief's: the first token in time for 95 in 100.
"""

import pathlib

import pytest

from testbed import experiment

_SCENARIOS = pathlib.Path(experiment.__file__).parent / "scenarios"
_SHARE = 0.95


def _are_in_time(way, seed, name):
    scenario = experiment.read(_SCENARIOS / f"{name}.toml")
    outcomes = experiment.play(scenario, way, seed)
    return all(outcomes[kind.name].quantile_s(_SHARE) <= kind.aim_s
               for kind in scenario.kinds)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_on_days_in_waves_first_tokens_come_in_time(seed):
    assert _are_in_time("current", seed, "wave")


def test_daemons_that_all_choose_the_least_used_engine_are_late():
    # Shows that the check above can fail: engines that have just joined get
    # the requests of all daemons until the next digest.
    assert not _are_in_time("least-used", 1, "wave")


def test_a_small_deployment_is_in_time():
    assert _are_in_time("current", 1, "small")


def test_the_command_line_prints_a_line_for_each_way_and_kind(capsys):
    path = str(_SCENARIOS / "small.toml")
    assert not experiment.main([path, "--seeds", "1", "--ways", "current"])
    assert len(capsys.readouterr().out.splitlines()) == 3


def test_a_scenario_with_an_unknown_field_is_refused(tmp_path, capsys):
    path = tmp_path / "bad.toml"
    path.write_text("colour = 1\n[[kinds]]\nname = 'a'\n")
    assert experiment.main([str(path)]) == 2
    assert "bad.toml" in capsys.readouterr().err
