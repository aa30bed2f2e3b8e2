"""Tests digests between many daemons over real sockets.

Each daemon is a `peering.Peering` without a relay or listener; its scheduler is
a stub that reports a fixed load and records what it is told.
"""

import contextlib
import time

import pytest

from persimmonspan.process import clock
from persimmonspan.process import directory
from persimmonspan.process import edge_peers
from persimmonspan.process import peering
from persimmonspan.process import read_schedule
from persimmonspan.process import row_store
from persimmonspan.process import stale_entries
from persimmonspan.request import events
from testbed import edge_world

# More than exchange digests directly.
_DAEMONS = 18
_TARGETS = 64
_INTERVAL_S = 0.2
# The sums of 18 daemons and the id of 64 targets; the targets alone need more.
_MAX_UNCHANGED_DIGEST_BYTES = 1500


class _Scheduler:
    """Reports one request on a target of its own and one on a common target."""

    def __init__(self, name):
        self.loads = (events.TargetLoad("common", 1, 10),
                      events.TargetLoad(f"target-{name}", 1, 10))
        self.speeds = ()
        self.told = []

    def ask(self, message):
        """Returns the load and speeds, and no demands, refusals and rates."""
        del message
        return self.loads, (), (), (), self.speeds

    def tell(self, event):
        """Records an event."""
        self.told.append(event)


class _Daemon:
    """The peering of one daemon and the targets that it has in force."""

    def __init__(self, number, limits=read_schedule.Limits()):
        self.name = f"d{number:02}"
        self.scheduler = _Scheduler(self.name)
        self.entries = None
        self.applied = 0
        self.configurations = []
        self.known_since_s = None
        self.peering = peering.Peering(self.name, edge_world.free_address(),
                                       self.scheduler, self._apply,
                                       lambda rates: None, limits)

    def _apply(self, entries, version, configuration, era, known_since_s,
               expired):
        del era, expired
        self.known_since_s = known_since_s
        if configuration:
            self.configurations.append((version, configuration))
            self.peering.record_configuration(version, configuration)
        if entries is not None:
            self.entries = entries
            self.applied += 1
            self.peering.record_entries(entries)

    def read(self, entries):
        """Acts as if this daemon had read the store."""
        state, _ = directory.apply_rows(directory.State(), entries, 0.0)
        self.peering.record_version_read(0, clock.now_s())
        self.peering.record_targets_read(state, clock.now_s())

    def others(self):
        """Returns the outstanding requests of others by target, or None."""
        for event in reversed(self.scheduler.told):
            if event.daemon == edge_peers.OTHERS and event.loads:
                return {load.target: load.outstanding for load in event.loads}
        return None

    def count_sums(self):
        """Returns how many sums of a hub arrived."""
        return sum(event.is_sum for event in self.scheduler.told)


class _Rows:
    """Store with the addresses of all daemons."""

    def __init__(self, daemons):
        self._rows = tuple(
            row_store.Row(
                daemon.name,
                daemon.peering._address.encode(),  # pylint: disable=protected-access
                1) for daemon in daemons)

    def read(self, table):
        """Returns the rows."""
        del table
        return row_store.Rows(self._rows, 1)


def _entry(number, is_leaving=False):
    return directory.Registration(f"i-{number}", "engines",
                                  f"10.0.0.{number}:8080", "a", 24, is_leaving)


@contextlib.contextmanager
def _running(limits=read_schedule.Limits()):
    daemons = [_Daemon(number, limits) for number in range(_DAEMONS)]
    rows = _Rows(daemons)
    for daemon in daemons:
        daemon.peering.exchange_addresses(rows, False)
    with contextlib.ExitStack() as stack:
        for daemon in daemons:
            stack.enter_context(daemon.peering.running())
        yield daemons


def _read_until(daemons, entries, condition):
    """Lets the first daemon read the store until a condition holds."""

    def holds():
        daemons[0].read(entries)
        return condition()

    edge_world.wait_until(holds)


def test_member_of_a_hub_learns_the_work_of_the_others_only():
    entries = [_entry(number) for number in range(_TARGETS)]
    with _running() as daemons:
        _read_until(
            daemons, entries, lambda: all(
                len(daemon.others() or ()) == _DAEMONS
                for daemon in daemons[1:]))
        others = {daemon.name: daemon.others() for daemon in daemons[1:]}
    for name, loads in others.items():
        assert loads["common"] == _DAEMONS - 1
        assert f"target-{name}" not in loads


def test_sums_of_the_next_hub_reach_the_former_one_unchanged(caplog):
    # The former hub subtracted loads that it had not sent, or lost the digest.
    entries = [_entry(number) for number in range(_TARGETS)]
    with _running() as daemons:
        former, following = daemons[:2]
        _read_until(
            daemons, entries, lambda: all(
                len(daemon.others() or ()) == _DAEMONS
                for daemon in daemons[1:]))

        def has_sums_of_the_next_hub():
            former.peering.record_read_failure()
            following.read(entries)
            return former.count_sums()

        edge_world.wait_until(has_sums_of_the_next_hub)
        first_sums = next(
            event for event in former.scheduler.told if event.is_sum)
    assert "receiving or sending a digest failed" not in caplog.text
    loads = {load.target: load.outstanding for load in first_sums.loads}
    assert loads.pop("common") == sum(loads.values())


def test_daemon_that_missed_targets_at_its_read_gets_them_from_the_reader():
    # They lapsed 2 s later and were never sent: it had no target from then on.
    entries = [_entry(1), _entry(2)]
    with _running() as daemons:
        member = daemons[5]
        _read_until(daemons, entries, lambda: member.entries is not None)
        state, _ = directory.apply_rows(directory.State(), entries, 0.0)
        now_s = clock.now_s()
        state, _ = directory.apply_rows(directory.failed(state, 0.0),
                                        entries[:1], now_s)
        assert directory.all_targets(state) == tuple(entries)
        before = member.applied
        member.peering.record_targets_read(state, now_s)
        _read_until(daemons, entries, lambda: member.applied > before)


def test_unchanged_targets_are_sent_once_and_changes_reach_all():
    entries = [_entry(number) for number in range(_TARGETS)]
    leaving = [_entry(0, True), *entries[1:]]
    sizes = []
    with _running() as daemons:
        members = daemons[1:]
        _read_until(daemons, entries,
                    lambda: all(daemon.entries for daemon in members))
        daemons[0].read(entries)
        time.sleep(2 * _INTERVAL_S)
        before = [daemon.applied for daemon in members]
        # pylint: disable=protected-access
        sizes = [
            len(data)
            for data in daemons[0].peering._compose_digests().values()
        ]
        _read_until(daemons, entries,
                    lambda: daemons[5].scheduler.told is not None)
        assert [daemon.applied for daemon in members] == before
        _read_until(
            daemons, leaving, lambda: all(
                any(entry.is_leaving
                    for entry in daemon.entries)
                for daemon in members))
    assert max(sizes) < _MAX_UNCHANGED_DIGEST_BYTES


def test_hub_sends_at_its_interval_however_often_it_starts_requests():
    # Each request that the hub itself started sent digests to all daemons.
    entries = [_entry(0)]
    with _running() as daemons:
        _read_until(daemons, entries,
                    lambda: all(daemon.others() for daemon in daemons[1:]))
        before = daemons[1].count_sums()
        end_s = time.monotonic() + 1.0
        while time.monotonic() < end_s:
            daemons[0].read(entries)
            daemons[0].peering.wake()
            time.sleep(0.005)
        received = daemons[1].count_sums() - before
    assert received <= 1.0 / _INTERVAL_S + 1


def _must_read(limits, monkeypatch):
    """Returns what a daemon reads when its news is 1 s and 1.5 s old."""
    daemon = _Daemon(1, limits)
    now_s = clock.now_s()
    # The thread of the exchange replaces the state under the same lock.
    with daemon.peering.running(), daemon.peering._lock:  # pylint: disable=protected-access
        monkeypatch.setattr(clock, "now_s", lambda: now_s)
        daemon.peering._state = edge_peers.State(  # pylint: disable=protected-access
            edge_peers.State().peers.set(
                "d00", edge_peers.Peer("", now_s, now_s, True)),
            snapshot_s=now_s - 1.0,
            configuration_s=now_s - 1.5,
            name="d01")
        return (daemon.peering.must_read_targets(),
                daemon.peering.must_read_configuration())


@pytest.mark.parametrize("limits, must_read", [
    (read_schedule.Limits(), (True, True)),
    (read_schedule.Limits(4.0, 4.0), (False, False)),
])
def test_daemon_reads_itself_once_the_news_is_too_old_for_the_bounds(
        monkeypatch, limits, must_read):
    assert _must_read(limits, monkeypatch) == must_read


def test_one_lost_response_of_the_store_does_not_change_the_reader():
    # With a third of the responses lost, the hub changed several times a
    # second, and the loads were dropped at each change.
    daemon = _Daemon(1)
    with daemon.peering.running():
        daemon.read([_entry(0)])
        daemon.peering.record_read_failure()
        assert daemon.peering._state.can_read  # pylint: disable=protected-access
        time.sleep(read_schedule.Limits().max_targets_age_s)
        daemon.peering.record_read_failure()
        assert not daemon.peering._state.can_read  # pylint: disable=protected-access


def test_late_daemon_reads_at_the_permitted_age_until_it_hears_of_a_reader():
    # At a start of 195 daemons each read the store eleven times.
    with _running() as daemons:
        early, late = daemons[0].peering, daemons[-1].peering
        assert early.configuration_pause_s() == 0.0
        assert late.configuration_pause_s() > 1.0
        assert early.targets_read_interval_s() == 0.2
        assert late.targets_read_interval_s() > 0.5


def test_reader_tells_each_read_to_few_daemons_too(monkeypatch):
    # Its digests did not change with the reads: news was told every 0.5 s only,
    # and daemons at the edge of the permitted age read the store themselves.
    daemons = [_Daemon(0), _Daemon(1)]
    rows = _Rows(daemons)
    with daemons[0].peering.running(), daemons[1].peering.running():
        for daemon in daemons:
            daemon.peering.exchange_addresses(rows, False)
        _read_until(daemons, [_entry(0)], lambda: daemons[1].entries)
    reader, peer = (daemon.peering for daemon in daemons)
    now_s = clock.now_s()
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    for turn in range(20):
        now_s += reader.interval_s()
        if turn % 2 == 0:
            daemons[0].read([_entry(0)])
        # pylint: disable=protected-access
        for sender, receiver in ((peer, reader), (reader, peer)):
            for data in sender._compose_digests().values():
                receiver._receive(data)
        # An interval between reads and one between digests.
        assert now_s - peer.targets_confirmed_s() <= _INTERVAL_S + 0.1


def test_reader_with_an_older_configuration_gets_the_newer_one_from_a_peer():
    # The store came back from a copy, and the reader started after that.
    with _running() as daemons:
        _read_until(daemons, [_entry(0)],
                    lambda: all(daemon.others() for daemon in daemons[1:]))
        for daemon in daemons[1:]:
            daemon.peering.record_configuration(9, b"new")
        daemons[0].peering.record_configuration(7, b"old")
        _read_until(daemons, [_entry(0)], lambda: daemons[0].configurations)
        time.sleep(2 * _INTERVAL_S)
    assert daemons[0].configurations == [(9, b"new")]


def test_reader_among_few_daemons_gets_the_newer_configuration():
    daemons = [_Daemon(0), _Daemon(1)]
    rows = _Rows(daemons)
    with daemons[0].peering.running(), daemons[1].peering.running():
        for daemon in daemons:
            daemon.peering.exchange_addresses(rows, False)
        daemons[1].peering.record_configuration(9, b"new")
        _read_until(daemons, [_entry(0)], lambda: daemons[0].configurations)
    assert daemons[0].configurations[0] == (9, b"new")


def test_snapshot_tells_since_when_its_reader_has_known_targets():
    daemons = [_Daemon(0), _Daemon(1)]
    rows = _Rows(daemons)
    with daemons[0].peering.running(), daemons[1].peering.running():
        for daemon in daemons:
            daemon.peering.exchange_addresses(rows, False)
        before_s = clock.now_s()
        _read_until(daemons, [_entry(0)], lambda: daemons[1].entries)
        after_s = clock.now_s()
        _read_until(daemons, [_entry(1)], lambda: daemons[1].applied > 1)
    # The digest takes some time.
    assert before_s <= daemons[1].known_since_s <= after_s + _INTERVAL_S


def test_reader_that_has_just_started_is_told_which_entries_are_stale():
    told = []
    daemons = [_Daemon(0), _Daemon(1), _Daemon(2)]
    for daemon in daemons:
        daemon.peering._apply_stale_entries = (  # pylint: disable=protected-access
            lambda stale, name=daemon.name: told.append((name, stale)))
    rows = _Rows(daemons)
    with contextlib.ExitStack() as stack:
        for daemon in daemons:
            stack.enter_context(daemon.peering.running())
            daemon.peering.exchange_addresses(rows, False)
        daemons[1].peering.record_stale_entries(
            stale_entries.Selection(2, clock.now_s(),
                                    clock.now_s() + 6.0, (_entry(3, True),)))
        _read_until(daemons, [_entry(0)], lambda: told)
    assert {name for name, _ in told} == {"d00"}
    assert told[0][1].entries == (_entry(3, True),)
