"""Tests the length estimate under survivorship bias, drift and sparse data."""

import random

import pytest

from persimmonspan.request import length


def _observe_lengths(lengths, count, median, rng, kind="k"):
    for _ in range(count):
        tokens = max(1, int(rng.lognormvariate(0, 0.5) * median))
        lengths = length.observe_passed(lengths, "w", kind, False, 0,
                                        length.bucket_index(tokens))
        lengths = length.observe_ended(lengths, "w", kind, False, tokens)
    return lengths


def test_running_generations_count_before_any_long_one_ends():
    # Failure: at first only short generations have ended, so an estimate from
    # ended ones alone predicts that all are short.
    lengths = length.Lengths()
    for _ in range(10):
        lengths = length.observe_passed(lengths, "w", "k", False, 0,
                                        length.bucket_index(800))
    lengths = length.observe_ended(lengths, "w", "k", False, 20)
    curve = length.survival_curve(lengths, "w", "k", False)
    assert length.survival(curve, 700) > 0.6


@pytest.mark.parametrize("factor", (0.1, 10.0))
def test_estimate_follows_lengths_that_change_tenfold(factor):
    # Failure: a kind whose texts become 10 times longer or shorter keeps its
    # old estimate.
    rng = random.Random(3)
    lengths = _observe_lengths(length.Lengths(), 300, 400, rng)
    lengths = _observe_lengths(lengths, 400, 400 * factor, rng)
    curve = length.survival_curve(lengths, "w", "k", False)
    median = length.quantile(curve, 0, 0.5)
    assert 200 * factor < median < 800 * factor


def test_generation_longer_than_all_observed_is_expected_to_continue():
    # Failure: beyond the longest observed text, the estimate is that no tokens
    # remain, and admission fills the memory that the text still needs.
    lengths = _observe_lengths(length.Lengths(), 100, 100, random.Random(4))
    curve = length.survival_curve(lengths, "w", "k", False)
    assert length.quantile(curve, 3000, 0.5) > 3300


def test_new_workspace_uses_the_curve_of_the_kind():
    # Failure: the first requests of a new workspace use the prior although
    # other workspaces have observations of the kind.
    lengths = _observe_lengths(length.Lengths(), 100, 50, random.Random(5))
    new_workspace_curve = length.survival_curve(lengths, "new", "k", False)
    assert length.quantile(new_workspace_curve, 0, 0.5) < 100
    assert length.quantile(length.survival_curve(lengths, "new", "x", False), 0,
                           0.5) > 500


def test_survival_curve_never_rises():
    # Failure: unevenly faded counts make the survival rise with the length.
    lengths = _observe_lengths(length.Lengths(), 700, 900, random.Random(6))
    curve = length.survival_curve(lengths, "w", "k", False)
    assert all(one >= other > 0 for one, other in zip(curve, curve[1:]))
