"""Tests which targets requests get if their service has two speeds."""

import collections
import random

import immutables
import pytest

from persimmonspan.process import load_view
from persimmonspan.process import target_speeds
from persimmonspan.request import choice
from persimmonspan.request import events
from persimmonspan.request import scheduler

_NAMES = ("f1", "f2", "s1", "s2", "s3", "u1")
_CLASS_BY_LETTER = {
    "f": target_speeds.SpeedClass.FAST,
    "s": target_speeds.SpeedClass.SLOW
}
_SPEEDS = target_speeds.State(classes=immutables.Map(
    {name: _CLASS_BY_LETTER[name[0]] for name in _NAMES if name[0] != "u"}))
_RULES = choice.TargetConstraints(speeds=_SPEEDS)
_LONG = load_view.Profile((3000.0, 3060.0, 3200.0, 3700.0, 0.0, 0.0),
                          (0.0,) * 6)
_SHORT = load_view.Profile((2200.0, 0.0, 0.0, 0.0, 0.0, 0.0), (0.0,) * 6)


def _query(is_long):
    return choice.TargetQuery("s",
                              _LONG if is_long else _SHORT,
                              is_long,
                              False,
                              first_event_by_s=1.5)


def _view(used_tokens=(), prefill_tokens=()):
    targets = tuple(
        events.Target(name, "s", name, "d", 27_000, 24) for name in _NAMES)
    view = load_view.set_targets(load_view.View(), {"s": targets})
    items = view.targets
    for name, tokens in dict(used_tokens).items():
        used = load_view.Profile((float(tokens),) * 6, (0.0,) * 6)
        items = items.set(name, items[name]._replace(own=used, running=1))
    for name, tokens in dict(prefill_tokens).items():
        items = items.set(
            name, items[name]._replace(peers_prefill_tokens=float(tokens)))
    return view._replace(targets=items)


def _chosen(view, is_long, rules=_RULES):
    """Returns how often each letter of the names was chosen first."""
    rng = random.Random(1)
    return collections.Counter(
        (choice.choose_target(view, _query(is_long), rules, 0.0, rng) or "-")[0]
        for _ in range(200))


def test_long_requests_prefer_fast_targets_though_others_are_used_less():
    view = _view({"f1": 9000, "f2": 9000})
    assert _chosen(view, True) == {"f": 200}


def test_long_requests_use_the_others_if_fast_targets_have_no_room():
    full = {"f1": 26_000, "f2": 26_000}
    assert _chosen(_view(full), True) == {"u": 200}
    assert _chosen(_view(full | {"u1": 26_000}), True) == {"s": 200}


def test_short_requests_prefer_slow_targets():
    assert _chosen(_view({
        "s1": 9000,
        "s2": 9000,
        "s3": 9000
    }), False) == {
        "s": 200
    }


def test_short_requests_avoid_slow_targets_with_many_prompts_to_prefill():
    # The prompts take 1.8 s at the usual rate, and the objective is 1.5 s.
    waiting = dict.fromkeys(("s1", "s2", "s3"), 7000)
    assert "s" not in _chosen(_view((), waiting), False)


def test_no_request_is_rejected_while_any_target_has_room():
    # All but one target are full, whatever their class.
    for name in _NAMES:
        view = _view({other: 26_800 for other in _NAMES if other != name})
        for is_long in (True, False):
            assert _chosen(view, is_long) == {name[0]: 200}


def test_requests_are_spread_over_the_preferred_group():
    # All daemons see the same load: none of the group may get all requests.
    view = load_view.apply_peer_load(
        _view(),
        events.PeerLoad("others", (), (events.Demand("s", 20.0, 2),), True),
        0.0)
    rng = random.Random(1)
    counts = collections.Counter(
        choice.choose_target(view, _query(True), _RULES, 0.0, rng)
        for _ in range(400))
    assert set(counts) == {"f1", "f2"}
    assert min(counts.values()) > 150


@pytest.mark.parametrize("is_long", [True, False])
def test_without_classes_all_choices_and_random_draws_are_as_before(is_long):
    # The measurements of even engines must change nothing.
    measured = target_speeds.State(peers=immutables.Map(
        {name: target_speeds.Measurement(0.0075, 0.0, 0.0) for name in _NAMES}))
    view = _view({"f1": 9000, "s2": 3000}, {"u1": 2000})
    query = _query(is_long)
    draws = []
    for rules in (choice.TargetConstraints(),
                  choice.TargetConstraints(speeds=measured)):
        rng = random.Random(7)
        chosen = []
        for _ in range(50):
            chosen += [
                choice.choose_target(view, query, rules, 0.0, rng),
                choice.backup(view, query, rules, "f2", 0.0, rng),
                choice.choose_evacuation_target(view, query, rules, "f2", 0.0,
                                                rng)
            ]
        draws.append((chosen, rng.random()))
    assert draws[0] == draws[1]


def test_backups_of_long_requests_leave_fast_targets_free():
    view = _view({"s1": 3000, "s2": 3000, "s3": 3000, "u1": 3000})
    rng = random.Random(1)
    names = {
        choice.backup(view, _query(True), _RULES, "s1", 0.0, rng)
        for _ in range(50)
    }
    assert not names & {"f1", "f2", None}
    full = dict.fromkeys(("s1", "s2", "s3", "u1"), 20_000)
    assert choice.backup(_view(full), _query(True), _RULES, "s1", 0.0,
                         rng) in ("f1", "f2")


def test_long_requests_of_a_leaving_target_move_mostly_to_fast_ones():
    view = _view({"s1": 5000})
    rng = random.Random(1)
    counts = collections.Counter(
        choice.choose_evacuation_target(view,
                                        _query(True)._replace(excluded=(
                                            "s1",)), _RULES, "s1", 0.0, rng)[0]
        for _ in range(300))
    assert counts["f"] > 200 and counts["s"] and counts["u"]


def test_scheduler_measures_streams_and_counts_dispatches_by_class():
    targets = tuple(
        events.Target(name, "s", name, "d", 27_000, 24) for name in _NAMES)
    speeds = tuple(
        events.TargetSpeed(name, 4500 if name[0] == "f" else 9000)
        for name in _NAMES
        if name != "u1")
    kind = events.KindPolicy("k", "s", 1.0, False, True, 30.0)
    steps = [(0.0, events.TargetsChanged(1, targets, (kind,), ()))]
    steps += [(0.2 * number, events.PeerLoad("p", (), speeds=speeds))
              for number in range(40)]
    steps += [(8.0, events.Arrived("r", "w", "k", "s", 3000, 400, 38.0, "r"))]
    rng = random.Random(1)
    state = scheduler.State()
    for at_s, event in steps:
        state, commands = scheduler.step(state, event, at_s, rng)
    dispatch, *counts = commands
    assert counts == [events.Count("dispatched_long_fast")]
    steps = [(8.2, events.FirstToken("r", dispatch.target))]
    steps += [(8.2 + 0.25 * number,
               events.Progressed("r", dispatch.target, 50 * number))
              for number in range(1, 4)]
    for at_s, event in steps:
        state, _ = scheduler.step(state, event, at_s, rng)
    assert target_speeds.own_speeds(state.speeds, 9.0) == (events.TargetSpeed(
        dispatch.target, 5000),)
