"""Tests the choice among targets by daemons that see the same load."""

import collections
import random

import pytest

from persimmonspan.process import load_view
from persimmonspan.request import admission
from persimmonspan.request import choice
from persimmonspan.request import events


def _first_shares(ranked, demand, draws=4000):
    rng = random.Random(1)
    firsts = collections.Counter(
        choice.spread(ranked, demand, rng)[0] for _ in range(draws))
    return {name: count / draws for name, count in firsts.items()}


def test_least_used_target_comes_first_if_demand_stays_below_the_next():
    assert _first_shares([(0.1, "a"), (0.5, "b")], 0.2) == {"a": 1.0}


def test_first_targets_are_drawn_so_that_demand_levels_the_load():
    # The level is 0.7: 0.6 is free on a, 0.2 on b, and nothing on c.
    shares = _first_shares([(0.1, "a"), (0.5, "b"), (0.9, "c")], 0.8)
    assert shares["a"] == pytest.approx(0.75, abs=0.03)
    assert shares["b"] == pytest.approx(0.25, abs=0.03)


def test_targets_above_the_level_follow_by_use():
    ranked = [(0.1, "a"), (0.5, "b"), (0.9, "c")]
    assert choice.spread(ranked, 0.1, random.Random(1)) == ["a", "b", "c"]


def test_engine_with_many_prompts_to_prefill_rejects_another():
    target = events.Target("e", "s", "a:1", "d", 30_000, 24)
    item = load_view.TargetView(target)
    new = load_view.Profile((3000.0,) * 6, (0.0,) * 6)
    assert admission.fits(item, new, True, 0, 0.0)
    item = item._replace(peers_prefill_tokens=12_000.0)
    assert not admission.fits(item, new, True, 0, 0.0)


def test_idle_engine_admits_prompt_above_the_prefill_limit():
    target = events.Target("e", "s", "a:1", "d", 30_000, 24)
    new = load_view.Profile((20_000.0,) * 6, (0.0,) * 6)
    assert admission.fits(load_view.TargetView(target), new, True, 0, 0.0)


def test_starts_of_peers_after_their_report_are_expected():
    view = load_view.apply_peer_load(
        load_view.View(),
        events.PeerLoad("others", (), (events.Demand("drafts", 10.0, 0),),
                        True), 100.0)
    now_s = 100.5
    assert 5.0 <= load_view.expected_peer_starts(view, "drafts", now_s) <= 6.0
    assert load_view.expected_peer_starts(view, "desk", now_s) == 0.0
