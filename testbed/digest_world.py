"""Simulates many edge daemons that follow a store, in virtual time.

Each daemon runs `followers.Followers` and `peering.Peering` as they are; the
store, the links between daemons and the clock are stand-ins. One thread runs at
a time, so that a seed gives the same play under the same PYTHONHASHSEED.
"""

import collections.abc
import contextlib
import heapq
import itertools
import math
import random
import threading
import typing
import unittest.mock

from persimmonspan import errors
from persimmonspan.connection import digest_links
from persimmonspan.process import clock
from persimmonspan.process import directory
from persimmonspan.process import followers
from persimmonspan.process import load_view
from persimmonspan.process import peering
from persimmonspan.process import read_schedule
from persimmonspan.process import row_store
from persimmonspan.request import events
from persimmonspan.version import routes

_TARGETS = 35
_LOADS_PER_DAEMON = 2
_CONFIGURATION_BYTES = 8 * 1024  # Does not compress.
_LINK_DELAY_RANGE_S = (0.001, 0.003)
_STORE_DELAY_RANGE_S = (0.004, 0.02)
_STORE_TIMEOUT_S = 1.0
_RECONNECT_RANGE_S = (0.1, 2.0)
_START_RANGE_S = (0.3, 1.2)
# Digests that wait for longer than this in a link are dropped.
_MAX_LINK_QUEUE_S = 2.4
_POLL_INTERVAL_S = 0.02
_CHECK_INTERVAL_S = 0.1


class _EndedError(BaseException):
    """Ends the threads of a daemon that has ended."""


class VirtualTime:
    """Runs functions and threads one at a time, in the order of their times."""

    # A turn is handed from one thread to another.
    # pylint: disable=consider-using-with

    def __init__(self) -> None:
        self.now_s = 0.0
        self._due: list[tuple[float, int, collections.abc.Callable[[],
                                                                   None]]] = []
        self._numbers = itertools.count()
        self._has_yielded = threading.Semaphore(0)
        self._local = threading.local()

    def call_at(self, at_s: float,
                function: collections.abc.Callable[[], None]) -> None:
        """Calls a function at a time."""
        heapq.heappush(self._due, (at_s, next(self._numbers), function))

    def run_until(self, end_s: float) -> None:
        """Runs what is due until a time."""
        while self._due and self._due[0][0] <= end_s:
            self.now_s, _, function = heapq.heappop(self._due)
            function()
        self.now_s = end_s

    def start(self, work: collections.abc.Callable[[], None],
              delay_until_s: collections.abc.Callable[[], float]) -> None:
        """Starts a thread, which may wait with `sleep` only.

        Args:
            work: What the thread runs.
            delay_until_s: Returns until when the thread must not run, or
                infinity if it must end.
        """
        turn = threading.Semaphore(0)

        def run() -> None:
            self._local.turn, self._local.delay_until_s = turn, delay_until_s
            turn.acquire()
            with contextlib.suppress(_EndedError):
                work()
            self._has_yielded.release()

        threading.Thread(target=run, daemon=True).start()
        self.call_at(self.now_s, lambda: self._resume(turn))

    def _resume(self, turn: threading.Semaphore) -> None:
        turn.release()
        self._has_yielded.acquire()

    def sleep(self, duration_s: float) -> None:
        """Lets the thread that calls it wait."""
        until_s = self.now_s + duration_s
        while True:
            turn = self._local.turn
            self.call_at(until_s, lambda: self._resume(turn))
            self._has_yielded.release()
            turn.acquire()
            until_s = self._local.delay_until_s()
            if math.isinf(until_s):
                raise _EndedError
            if until_s <= self.now_s:
                return


class _Stopped:
    """Stands for the event that ends the threads of a follower."""

    def __init__(self, virtual: VirtualTime) -> None:
        self._virtual = virtual

    def is_set(self) -> bool:
        """Returns that the follower goes on; a daemon ends by its threads."""
        return False

    def wait(self, timeout_s: float) -> bool:
        """Waits in virtual time."""
        self._virtual.sleep(timeout_s)
        return False


class _Scheduler:
    """A scheduler with load on some targets."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def ask(self, question: object) -> tuple[tuple[typing.Any, ...], ...]:
        """Returns loads, but no demands, refusals, rates or speeds."""
        del question
        loads = (self._draw_load() for _ in range(_LOADS_PER_DAEMON))
        return (tuple({load.target: load for load in loads}.values()), (), (),
                (), ())

    def _draw_load(self) -> events.TargetLoad:
        draw = self._rng.randrange
        profile = tuple(draw(4000) for _ in load_view.HORIZONS_TOKENS)
        return events.TargetLoad(f"i-{draw(_TARGETS):010}", 1, draw(4000),
                                 profile, draw(500), 0, draw(3000))

    def tell(self, event: object) -> None:
        """Ignores an event."""


class _Links:
    """Stands for `digest_links.Links`; the world transports the digests."""

    def __init__(self, address: str, receive: digest_links.Receive,
                 compose: digest_links.Compose,
                 interval_s: collections.abc.Callable[[], float]) -> None:
        self.address = address
        self.receive = receive
        self.compose = compose
        self.interval_s = interval_s
        self.is_woken = False

    def set_peers(self, addresses: collections.abc.Iterable[str]) -> None:
        """Ignores addresses; links open with the first digest."""

    def wake(self) -> None:
        """Makes the next check of the world send digests."""
        self.is_woken = True


class Daemon:
    """One process of a daemon; a restart makes another one."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.version = 0  # In force.
        self.has_targets = False
        self.usable: frozenset[str] = frozenset()  # Targets for new work.
        self.is_alive = True
        self.frozen_until_s = -math.inf
        # Last disturbance that takes the daemon out of touch.
        self.disturbed_s = world.virtual.now_s
        self.link_free_s = 0.0
        self.established_s: dict[str, tuple[Daemon, float]] = {}
        self.is_refused = False
        self.is_cut = False
        self.links: _Links

        def make_links(*arguments: typing.Any) -> _Links:
            self.links = _Links(*arguments)
            return self.links

        with unittest.mock.patch.object(digest_links, "Links", make_links):
            self.peering = peering.Peering(name, name, _Scheduler(world.rng),
                                           self._apply_snapshot,
                                           lambda rates: None, world.limits,
                                           None, self._apply_stale,
                                           world.link_bits_per_s(name))
        self.follower = followers.Followers(
            lambda address: _StoreClient(world, self), "", world.formats, self)
        self.follower.peers = self.peering
        self.follower._stopped = _Stopped(world.virtual)  # pylint: disable=protected-access

    def start(self) -> None:
        """Starts the threads and the exchange of digests."""
        # pylint: disable=protected-access
        for follow in (self.follower._follow_targets,
                       self.follower._follow_configuration):
            self.world.virtual.start(
                lambda follow=follow: self.follower._keep_running(follow),
                self._delay_until_s)
        self._exchange()

    def _delay_until_s(self) -> float:
        if not self.is_alive:
            return math.inf
        return max(self.world.virtual.now_s, self.frozen_until_s)

    def _exchange(self) -> None:
        """Sends digests at the interval, and sooner if that was asked."""
        virtual = self.world.virtual
        if not self.is_alive:
            return
        if self.frozen_until_s > virtual.now_s:
            virtual.call_at(self.frozen_until_s, self._exchange)
            return
        self.links.is_woken = False
        for address, data in self.links.compose().items():
            self.world.transport(self, address, data)
        due_s = virtual.now_s + self.links.interval_s()

        def check() -> None:
            if self.links.is_woken or virtual.now_s >= due_s:
                self._exchange()
            else:
                virtual.call_at(min(due_s, virtual.now_s + _POLL_INTERVAL_S),
                                check)

        virtual.call_at(virtual.now_s + _POLL_INTERVAL_S, check)

    def _apply_snapshot(self, *arguments: typing.Any) -> None:
        self.follower.apply_store_snapshot(*arguments)

    def _apply_stale(self, stale: typing.Any) -> None:
        self.follower.apply_stale_entries(stale)

    def adopt(self, configuration: routes.Configuration) -> None:
        """Puts a configuration in force."""
        self.version = max(self.version, configuration.version)

    def apply_directory(self, state: directory.State,
                        change: directory.Change) -> None:
        """Records the targets that may get new work."""
        del change
        self.has_targets = True
        self.usable = frozenset(
            entry.name for entry in directory.usable_targets(state))

    def count(self, reason: str) -> None:
        """Ignores counted events."""


class _StoreClient:
    """Connection of one daemon to the store."""

    def __init__(self, world: "World", daemon: Daemon) -> None:
        self._world = world
        self._daemon = daemon

    def _call(self) -> None:
        """Waits as long as a call takes.

        Raises:
            errors.StoreError: The store turned the call away or is silent.
        """
        world = self._world
        world.calls += 1
        if world.is_silent or self._daemon.is_cut:
            world.virtual.sleep(_STORE_TIMEOUT_S)
            raise errors.StoreError(errors.Code.STORE_UNAVAILABLE, "silent")
        world.virtual.sleep(world.rng.uniform(*_STORE_DELAY_RANGE_S))
        if self._daemon.is_refused:
            raise errors.StoreError(errors.Code.STORE_THROTTLED, "status 429")

    def read(self, table: str) -> row_store.Rows:
        """Returns all rows of a table."""
        self._call()
        return self._world.rows(table, 0)

    def changes(self, table: str, since: int, wait_s: float) -> row_store.Rows:
        """Waits for rows that changed after a version."""
        self._call()
        virtual = self._world.virtual
        end_s = virtual.now_s + wait_s
        while True:
            rows = self._world.rows(table, since)
            if rows.rows or virtual.now_s >= end_s:
                return rows
            virtual.sleep(_POLL_INTERVAL_S)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row."""
        self._call()
        self._world.write(table, key, value)


class Stale(typing.NamedTuple):
    """A daemon in touch that was found with an older version than allowed."""

    at_s: float
    name: str
    version: int
    required: int


class World:
    """The store, the daemons and the links between them.

    Args:
        names: Names of the daemons.
        apply_s: Time in which a version must be in force.
        stability_s: Calm time after which a daemon is in touch.
        link_bits_per_s: Returns the speed of a daemon's link.
        seed: Seed of all that is random.
    """

    def __init__(self, names: collections.abc.Iterable[str], apply_s: float,
                 stability_s: float,
                 link_bits_per_s: collections.abc.Callable[[str], float],
                 seed: int) -> None:
        self.virtual = VirtualTime()
        self.rng = random.Random(seed)
        self.limits = read_schedule.Limits(apply_s, apply_s)
        self.calls = 0
        self.sent_bytes = 0
        self.longest_queue_s = 0.0
        self.is_silent = False
        # Digests of more bytes are lost in the links.
        self.max_digest_bytes = math.inf
        self.daemons: dict[str, Daemon] = {}
        self.stale: list[Stale] = []
        self.longest_s = 0.0  # Until a version was in force everywhere.
        self._apply_s = apply_s
        self._stability_s = stability_s
        self.link_bits_per_s = link_bits_per_s
        self._tables: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._version = 1
        self._accepted: list[tuple[float, int]] = []
        self._store_disturbed_s = -math.inf
        self.formats = followers.Formats(
            "op", "config", lambda data: routes.build_configuration(
                int(data.partition(b" ")[0]), (), (), None), "servers",
            lambda key, data: directory.Registration(key, "s", "a:1", "d", 1))
        for number in range(_TARGETS):
            self.write("servers", f"i-{number:010}", b"1")
        self.change_configuration()
        for name in names:
            self._start(name)
        self.virtual.call_at(0.0, self._check)

    @contextlib.contextmanager
    def playing(self) -> collections.abc.Iterator["World"]:
        """Puts the virtual clock in force until the block ends."""
        with unittest.mock.patch.object(clock, "now_s",
                                        lambda: self.virtual.now_s):
            random.seed(self.rng.random())
            yield self
            for daemon in self.daemons.values():
                daemon.is_alive = False
            self.virtual.run_until(self.virtual.now_s + 2 * self._apply_s)

    # The store.

    def write(self, table: str, key: str, value: bytes) -> None:
        """Writes a row."""
        self._version += 1
        self._tables.setdefault(table, {})[key] = value, self._version

    def remove_target(self, name: str) -> None:
        """Removes the entry of a target."""
        self._version += 1
        del self._tables["servers"][name]

    def rows(self, table: str, since: int) -> row_store.Rows:
        """Returns the rows that changed after a version."""
        return row_store.Rows(
            tuple(
                row_store.Row(key, value, version)
                for key, (value,
                          version) in self._tables.get(table, {}).items()
                if version > since), self._version)

    def change_configuration(self) -> None:
        """Writes the next version of the configuration."""
        number = len(self._accepted) + 1
        self._accepted.append((self.virtual.now_s, number))
        self.write("op", "config",
                   b"%d " % number + self.rng.randbytes(_CONFIGURATION_BYTES))

    def set_store(self, is_silent: bool) -> None:
        """Makes the store silent for all daemons, or serve them again."""
        self._store_disturbed_s = self.virtual.now_s
        self.is_silent = is_silent

    # Disturbances of daemons.

    def _start(self, name: str) -> None:
        daemon = Daemon(self, name)
        self.daemons[name] = daemon
        self.virtual.call_at(
            self.virtual.now_s + self.rng.uniform(*_START_RANGE_S),
            lambda: daemon.start() if daemon.is_alive else None)

    def restart(self, name: str, pause_s: float = 0.0) -> None:
        """Ends the process of a daemon at once and starts the next one."""
        daemon = self.daemons[name]
        daemon.is_alive = False
        daemon.disturbed_s = math.inf
        self.virtual.call_at(self.virtual.now_s + pause_s,
                             lambda: self._start(name))

    def stop(self, name: str, grace_s: float) -> None:
        """Ends the process of a daemon after a time, and starts the next."""
        daemon = self.daemons[name]
        daemon.disturbed_s = math.inf
        self.virtual.call_at(
            self.virtual.now_s + grace_s, lambda: self.restart(name)
            if self.daemons[name] is daemon and daemon.is_alive else None)

    def freeze(self, name: str, duration_s: float) -> None:
        """Makes a daemon stand still."""
        daemon = self.daemons[name]
        daemon.frozen_until_s = self.virtual.now_s + duration_s
        daemon.disturbed_s = max(daemon.disturbed_s, daemon.frozen_until_s)

    def set_cut(self, names: collections.abc.Iterable[str],
                is_cut: bool) -> None:
        """Cuts daemons off from the store and the others, or heals that."""
        for name in names:
            daemon = self.daemons[name]
            daemon.is_cut = is_cut
            daemon.disturbed_s = (math.inf if is_cut else self.virtual.now_s)
            if not is_cut:
                self._reconnect(daemon)

    def _reconnect(self, healed: Daemon) -> None:
        """Delays the links of a daemon, whose heartbeats have ended them."""
        for name, daemon in self.daemons.items():
            for sender, address in ((daemon, healed.name), (healed, name)):
                if address in sender.established_s:
                    sender.established_s[address] = (
                        self.daemons[address], self.virtual.now_s +
                        self.rng.uniform(*_RECONNECT_RANGE_S))

    def set_refused(self, names: collections.abc.Iterable[str],
                    is_refused: bool) -> None:
        """Makes the store turn daemons away, or serve them again."""
        for name in names:
            daemon = self.daemons[name]
            daemon.is_refused = is_refused
            daemon.disturbed_s = (math.inf
                                  if is_refused else self.virtual.now_s)

    # The links.

    def transport(self, sender: Daemon, address: str, data: bytes) -> None:
        """Delivers a digest, if the link is open."""
        receiver = self.daemons.get(address)
        if receiver is None:
            return
        now_s = self.virtual.now_s
        link = sender.established_s.get(address)
        if link is None or link[0] is not receiver:
            delay_s = (self.rng.uniform(*_LINK_DELAY_RANGE_S) if link is None
                       else self.rng.uniform(*_RECONNECT_RANGE_S))
            link = receiver, now_s + delay_s
            sender.established_s[address] = link
        if (link[1] > now_s or sender.is_cut or receiver.is_cut or
                len(data) > self.max_digest_bytes):
            return
        if sender.link_free_s - now_s > _MAX_LINK_QUEUE_S:
            return
        self.sent_bytes += len(data)
        self.longest_queue_s = max(self.longest_queue_s,
                                   sender.link_free_s - now_s)
        sender.link_free_s = max(
            now_s, sender.link_free_s) + 8 * len(data) / self.link_bits_per_s(
                sender.name)
        delay_s = self.rng.uniform(*_LINK_DELAY_RANGE_S)

        def leave() -> None:
            # What waits in the link is lost with its sender.
            if sender.is_alive:
                self.virtual.call_at(self.virtual.now_s + delay_s,
                                     lambda: self._deliver(receiver, data))

        self.virtual.call_at(sender.link_free_s, leave)

    def _deliver(self, receiver: Daemon, data: bytes) -> None:
        if not receiver.is_alive or receiver.is_cut:
            return
        if receiver.frozen_until_s > self.virtual.now_s:
            self.virtual.call_at(receiver.frozen_until_s,
                                 lambda: self._deliver(receiver, data))
            return
        receiver.links.receive(data)

    # The check.

    def _check(self) -> None:
        """Records daemons in touch without a version that must be in force."""
        now_s = self.virtual.now_s
        self.virtual.call_at(now_s + _CHECK_INTERVAL_S, self._check)
        is_stable = (not self.is_silent and
                     now_s - self._store_disturbed_s > self._stability_s)
        if not is_stable:
            return
        for daemon in self.daemons.values():
            if (daemon.is_alive and daemon.has_targets and
                    now_s - daemon.disturbed_s > self._stability_s):
                self._check_daemon(daemon, now_s)

    def _check_daemon(self, daemon: Daemon, now_s: float) -> None:
        for accepted_s, number in self._accepted[daemon.version:]:
            self.longest_s = max(self.longest_s, now_s - accepted_s)
            if now_s - accepted_s > self._apply_s:
                self.stale.append(
                    Stale(now_s, daemon.name, daemon.version, number))
            break
