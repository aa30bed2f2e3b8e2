"""Tests of a crowd whose engines turn requests away in turns."""

import pathlib

import pytest

from testbed import closing
from testbed import experiment

_SCENARIO = experiment.read_scenario(
    pathlib.Path(__file__).parents[1] / "scenarios" /
    "turns.toml")._replace(duration_s=20.0)


@pytest.fixture(name="runs", scope="module")
def _runs():
    return {
        way: closing.measure(_SCENARIO, closing.Closing(), way, seed=1)
        for way in (closing.Way.IGNORED, closing.Way.KEPT)
    }


def test_closed_engines_get_no_late_requests(runs):
    assert runs[closing.Way.KEPT][1].late == 0
    assert runs[closing.Way.IGNORED][1].late > 0


def test_pauses_that_are_kept_serve_more_in_time(runs):
    served = {
        way: outcomes["check"].in_aim for way, (outcomes, _) in runs.items()
    }
    assert served[closing.Way.KEPT] > 1.2 * served[closing.Way.IGNORED]


def test_requests_that_waited_do_not_reach_an_engine_together(runs):
    figures = runs[closing.Way.KEPT][1]
    assert figures.max_waiting > 10
    # One request of each daemon at first.
    assert figures.max_burst <= _SCENARIO.daemons
