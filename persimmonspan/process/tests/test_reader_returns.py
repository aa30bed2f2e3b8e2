"""Plays a reader of the store that was cut off, and outages, in virtual time.

The reader took entries that were removed while it was cut off for expired. The
daemons that had been connected all the time knew that these targets were gone,
but used them again once the reader was back.
"""

import pytest

from testbed import digest_world

_APPLY_S = 3.0  # Limit for a leaving target to get no new work.
_STABILITY_S = 4.0
_WARM_UP_S = 8.0
_STEP_S = 0.05
_REMOVED = "i-0000000003"
_REREGISTRATION_S = 2.0
# A read and a digest, and a daemon that calls the silent store.
_DELIVERY_S = 1.5


def _world(daemons, seed=1):
    return digest_world.World([f"d{number:02}" for number in range(daemons)],
                              _APPLY_S, _STABILITY_S, lambda name: 1e9, seed)


def _run(world, duration_s):
    world.virtual.run_until(world.virtual.now_s + duration_s)


def _watch(world, duration_s):
    """Returns the last time at which each daemon used the removed target."""
    last_s = {}
    end_s = world.virtual.now_s + duration_s
    while world.virtual.now_s < end_s:
        _run(world, _STEP_S)
        for name, daemon in world.daemons.items():
            if _REMOVED in daemon.usable:
                last_s[name] = world.virtual.now_s
    return last_s


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("daemons", [8, 40])
def test_reader_that_was_cut_off_restores_no_target_at_others(daemons, seed):
    world = _world(daemons, seed)
    with world.playing():
        _run(world, _WARM_UP_S)
        world.set_cut(["d00", "d01"], True)
        _run(world, 2.0)
        world.remove_target(_REMOVED)
        removed_s = world.virtual.now_s
        last_s = _watch(world, 3.0)
        world.set_cut(["d00", "d01"], False)
        last_s |= _watch(world, 6.0)
    late = {
        name: at_s - removed_s
        for name, at_s in last_s.items()
        if name not in ("d00", "d01") and at_s - removed_s > _APPLY_S
    }
    assert not late


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("daemons", [8, 40])
def test_daemon_that_started_meanwhile_gets_no_target_of_a_cut_off_reader(
        daemons, seed):
    world = _world(daemons, seed)
    with world.playing():
        _run(world, _WARM_UP_S)
        world.set_cut(["d00"], True)
        _run(world, 1.0)
        world.remove_target(_REMOVED)
        world.restart("d03")
        _run(world, 5.0)
        world.set_cut(["d00"], False)
        last_s = _watch(world, 6.0)
    assert not last_s.keys() - {"d00"}


@pytest.mark.parametrize("daemons", [8, 40])
def test_reader_that_was_cut_off_prefers_what_its_peers_read(daemons):
    # It went on using the target for 2 s after its first read.
    world = _world(daemons)
    with world.playing():
        _run(world, _WARM_UP_S)
        world.set_cut(["d00"], True)
        _run(world, 2.0)
        world.remove_target(_REMOVED)
        _run(world, 5.0)
        world.set_cut(["d00"], False)
        # d00 learns it with the first digests over its new links.
        links_s = world.virtual.now_s
        last_s = _watch(world, 6.0)
    assert last_s["d00"] - links_s < _REREGISTRATION_S


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("daemons", [8, 40])
def test_expired_target_is_usable_at_all_daemons_after_an_outage(daemons, seed):
    world = _world(daemons, seed)
    with world.playing():
        _run(world, _WARM_UP_S)
        world.set_store(True)
        _run(world, 5.0)
        world.remove_target(_REMOVED)
        # It starts without a read, and learns the targets after the outage.
        world.restart("d05")
        _run(world, 5.0)
        world.set_store(False)
        back_s = world.virtual.now_s
        last_s = _watch(world, 8.0)
    assert last_s.keys() >= world.daemons.keys() - {"d05"}
    used_s = {name: at_s - back_s for name, at_s in last_s.items()}
    assert min(used_s.values()) >= _REREGISTRATION_S - _STEP_S
    assert max(used_s.values()) <= _REREGISTRATION_S + _DELIVERY_S
