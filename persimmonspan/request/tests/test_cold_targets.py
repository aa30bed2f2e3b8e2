"""Plays daemons that send to cold targets, in virtual time.

All daemons have a request at each moment, so that each sends whenever it may.
"""

import bisect
import random

import pytest

from persimmonspan.request import cold_targets

_NAMES = tuple(f"edge-{number:02}" for number in range(72))
_TARGETS = tuple(f"engine-{number:02}" for number in range(12))
_PER_S = 20.0
# In any one second. The limit is 35 (20 x 1.5 + 5); the rest is for requests
# that were on their way.
_MAX_SENT = 32
_STEP_S = 0.01
_RUN_S = 8.0


def _full_lists(rng):
    del rng
    return {name: (_NAMES, True) for name in _NAMES}


def _lists_without_a_third(rng):
    return {
        name: (tuple({name, *rng.sample(_NAMES, 48)}), True) for name in _NAMES
    }


def _lists_without_half(rng):
    return {
        name: (tuple({name, *rng.sample(_NAMES, 36)}), True) for name in _NAMES
    }


def _two_parts(rng):
    # Each part has forgotten the other one.
    del rng
    return {
        name: (tuple(other
                     for other in _NAMES
                     if (other < _NAMES[24]) == (name < _NAMES[24])), True
              ) for name in _NAMES
    }


def _all_just_started(rng):
    # No daemon has read the rows of the others.
    del rng
    return {name: ((name,), False) for name in _NAMES}


def _started_one_after_the_other(rng):
    # Each read the rows of those before it, once.
    names = rng.sample(_NAMES, len(_NAMES))
    return {
        name: (tuple(names[:count + 1]), False)
        for count, name in enumerate(names)
    }


def _play(lists, per_s=_PER_S):
    """Returns when requests were sent to each target."""
    states = {}
    for name, (daemons, is_complete) in lists.items():
        state = cold_targets.set_daemons(cold_targets.State(), name,
                                         daemons, is_complete,
                                         cold_targets.Limits(), 0.0)
        for target in _TARGETS:
            state = cold_targets.set_cold(state, target, per_s, 2 * _RUN_S, 0.0)
        states[name] = state
    sent_s = {target: [] for target in _TARGETS}
    for name, state in states.items():
        for target in _TARGETS:
            now_s = 0.0
            while True:
                opens_s = cold_targets.find_opening_s(state, target, now_s)
                now_s = max(opens_s, now_s + _STEP_S)
                if now_s > _RUN_S:
                    break
                if cold_targets.may_send(state, target, now_s):
                    sent_s[target].append(now_s)
                    state = cold_targets.record_dispatch(state, target, now_s)
    return sent_s


def _most_in_a_second(times_s):
    times_s = sorted(times_s)
    return max((bisect.bisect_right(times_s, start_s + 1.0) - position
                for position, start_s in enumerate(times_s)),
               default=0)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("make_lists", [
    _full_lists, _lists_without_a_third, _lists_without_half, _two_parts,
    _all_just_started, _started_one_after_the_other
])
def test_all_daemons_together_keep_under_the_limit_of_cold_targets(
        make_lists, seed):
    # Guards against a crash of a cold target by daemons that each keep to
    # their own share.
    sent_s = _play(make_lists(random.Random(seed)))
    assert max(map(_most_in_a_second, sent_s.values())) <= _MAX_SENT


def test_cold_targets_are_used_from_the_beginning():
    # Guards against a domain that returns and starves until it is warm.
    for times_s in _play(_full_lists(None)).values():
        assert sum(at_s < 1.0 for at_s in times_s) >= 7
        assert len(times_s) >= 0.6 * _PER_S * _RUN_S
        assert len(times_s) <= _PER_S * _RUN_S


@pytest.mark.parametrize("per_s", [0.5, 2.0, 400.0, 5000.0])
def test_other_rates_keep_under_their_limit(per_s):
    sent_s = _play(_lists_without_half(random.Random(1)), per_s)
    assert max(map(_most_in_a_second,
                   sent_s.values())) <= max(1, per_s * 1.5 + 5)


def test_daemons_that_disappear_are_counted_for_some_time():
    # In a partition, each part would take the other's share.
    state = cold_targets.set_daemons(cold_targets.State(), _NAMES[0], _NAMES,
                                     True, cold_targets.Limits(), 0.0)
    for now_s in (5000.0, 5600.0):
        state = cold_targets.set_daemons(state, _NAMES[0], _NAMES[:24], True,
                                         cold_targets.Limits(), now_s)
        assert len(state.daemons) == 72
    state = cold_targets.set_daemons(state, _NAMES[0], _NAMES[:24], True,
                                     cold_targets.Limits(), 6000.0)
    assert len(state.daemons) == 24


def test_daemon_without_a_name_sends_nothing_and_waits_until_they_are_warm():
    state = cold_targets.set_cold(cold_targets.State(), "t", _PER_S, 3.0, 1.0)
    assert not cold_targets.may_send(state, "t", 3.9)
    assert cold_targets.find_opening_s(state, "t", 2.0) == 4.0
    assert cold_targets.may_send(state, "t", 4.0)
