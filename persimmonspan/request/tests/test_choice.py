"""The order in which daemons that see the same load try targets."""

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


def test_without_unseen_demand_the_least_used_comes_first():
    assert _first_shares([(0.1, "a"), (0.5, "b")], 0.2) == {"a": 1.0}


def test_unseen_demand_is_shared_so_that_it_levels_the_load():
    # A level of 0.7: room for 0.6 on a, for 0.2 on b, for none on c.
    shares = _first_shares([(0.1, "a"), (0.5, "b"), (0.9, "c")], 0.8)
    assert shares["a"] == pytest.approx(0.75, abs=0.03)
    assert shares["b"] == pytest.approx(0.25, abs=0.03)


def test_all_targets_are_tried_the_others_by_their_use():
    ranked = [(0.1, "a"), (0.5, "b"), (0.9, "c")]
    assert choice.spread(ranked, 0.1, random.Random(1)) == ["a", "b", "c"]


def test_an_engine_with_many_unread_prompts_admits_no_other():
    target = events.Target("e", "s", "a:1", "d", 30_000, 24)
    item = load_view.TargetView(target)
    new = load_view.Profile((3000.0,) * 6, (0.0,) * 6)
    assert admission.fits(item, new, True, 0, 0.0)
    item = item._replace(peers_prefill_tokens=12_000.0)
    assert not admission.fits(item, new, True, 0, 0.0)


def test_a_prompt_larger_than_the_bound_is_admitted_by_an_idle_engine():
    target = events.Target("e", "s", "a:1", "d", 30_000, 24)
    new = load_view.Profile((20_000.0,) * 6, (0.0,) * 6)
    assert admission.fits(load_view.TargetView(target), new, True, 0, 0.0)


def test_starts_of_peers_are_expected_until_they_are_told():
    view = load_view.peer_spoke(
        load_view.View(),
        events.PeerLoad("others", (), (events.Demand("drafts", 10.0, 0),),
                        True), 100.0)
    now_s = 100.5
    assert 5.0 <= load_view.expected_starts(view, "drafts", now_s) <= 6.0
    assert load_view.expected_starts(view, "desk", now_s) == 0.0
