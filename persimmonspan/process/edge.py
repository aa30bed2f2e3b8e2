"""The edge daemon: forwards callers' requests on the users' platform.

It combines the scheduler, relay, metrics and logs of the product's own daemon
with the parts that the platform provides: a settings file, a store whose rows
hold the configuration and the targets, and the request formats.

When a planned stop begins, the daemon reports at once that it is not ready. It
keeps serving open connections until nothing is in flight and callers have had
time to move to other daemons, but no longer than the grace period.
"""

import collections.abc
import contextlib
import gc
import itertools
import logging
import random
import secrets
import signal
import sys
import threading
import time
import typing

from persimmonspan import errors
from persimmonspan.connection import forwarding_listener
from persimmonspan.connection import memory_budget
from persimmonspan.connection import relay
from persimmonspan.connection import start_notices
from persimmonspan.process import allocator
from persimmonspan.process import clock
from persimmonspan.process import cold_tracker
from persimmonspan.process import death_probe
from persimmonspan.process import departure_tracker
from persimmonspan.process import directory
from persimmonspan.process import edge_peers
from persimmonspan.process import edge_settings
from persimmonspan.process import evacuation_tracker
from persimmonspan.process import explain_call
from persimmonspan.process import followers
from persimmonspan.process import logs
from persimmonspan.process import lost_targets
from persimmonspan.process import metrics
from persimmonspan.process import named_rates
from persimmonspan.process import notice_poller
from persimmonspan.process import peering
from persimmonspan.process import planned_stop
from persimmonspan.process import read_schedule
from persimmonspan.process import refusal_store
from persimmonspan.process import row_store
from persimmonspan.process import run_stopper
from persimmonspan.process import scheduler_actor
from persimmonspan.process import settings as own_settings
from persimmonspan.process import shared_limits
from persimmonspan.process import stream_origins
from persimmonspan.process import target_knowledge
from persimmonspan.process import target_pauses
from persimmonspan.process import threads
from persimmonspan.request import choice
from persimmonspan.request import events
from persimmonspan.request import forwarded
from persimmonspan.request import forwarding
from persimmonspan.request import resumption
from persimmonspan.request import services
from persimmonspan.version import routes

_SEED_BITS = 64
_SWITCH_INTERVAL_S = 0.0005
_THREAD_STACK_BYTES = 256 * 1024
_NOT_READY_RETRY_S = 0.5
# The balancer checks readiness once a second and reacts within two checks;
# requests that were already on their way arrive in the rest of the time.
_MIN_STOP_S = 2.6
# A settings file that changes without a signal is read within this time.
_SETTINGS_CHECK_INTERVAL_S = 2.0
_FIXED_SETTINGS = ("name", "failure_domain", "listen_address",
                   "readiness_address", "peer_address", "store_address")
# Daemons that joined or left count for shared limits after this time.
_SHARE_LIMITS_INTERVAL_S = 2.0
# How long a request waits for a daemon that was paused to read the store again.
_CONFIRMATION_TIMEOUT_S = 2.0
_CONFIRMATION_CHECK_INTERVAL_S = 0.02

_logger = logging.getLogger(__name__)


class Platform(typing.NamedTuple):
    """Parts that a platform provides; see `persimmonspan.platform`."""

    wire: forwarded.Wire
    open_store: collections.abc.Callable[[str], row_store.RowStore]
    formats: followers.Formats
    read_settings: collections.abc.Callable[[], edge_settings.EdgeSettings]


class Edge:
    """State of one edge daemon."""

    def __init__(self, options: edge_settings.EdgeSettings,
                 platform: Platform) -> None:
        self.wire = platform.wire
        self.metrics = metrics.Metrics()
        self._options = options
        self._platform = platform
        self.scheduler = scheduler_actor.SchedulerActor.start(
            self.metrics,
            secrets.randbits(_SEED_BITS),
            share=self._share_quarantine,
            limits=shared_limits.retry_limits(options.retry),
            notify_peers=self._notify_peers,
            announce_start=self._announce_start)
        self._pauses = target_pauses.TargetPauses(self.scheduler.tell,
                                                  self.metrics.count)
        self._death_probe = death_probe.DeathProbe(self.scheduler.tell,
                                                   self._pauses.is_closed)
        self._named_rates = named_rates.NamedRates(self.scheduler.tell)
        self._departures = departure_tracker.DepartureTracker(
            self.scheduler.tell, self.metrics.count)
        self._evacuations = evacuation_tracker.EvacuationTracker(
            platform.formats.decode_evacuation, self._apply_evacuations,
            self.metrics.count)
        self._cold = cold_tracker.ColdTracker(self.scheduler.tell,
                                              self.metrics.count)
        self.metrics.cold_targets.set_function(self._cold.count_cold)
        self.metrics.evacuated_domains.set_function(
            lambda: len(self._evacuations.domains))
        self._origins = stream_origins.StreamOrigins(platform.open_store,
                                                     options.store_address)
        self._refusals = refusal_store.RefusalStore(
            platform.open_store, options.store_address, options.name,
            lambda: self._limits.daemons, self.scheduler.tell,
            self.metrics.count, lambda: self._peers is not None and self._peers.
            evidence.hears_nobody())
        self._run_stopper = run_stopper.RunStopper(
            services.Services(self.wire, self.metrics, self._pauses,
                              self._departures.record_answer,
                              self._cold.record_answer),
            self._find_other_target, self.is_stopping)
        self._limits = shared_limits.SharedLimits(self.scheduler.tell)
        self._peers: peering.Peering | None = None
        self._follower: followers.Followers | None = None
        self._notices: start_notices.StartNotices | None = None
        self._relay = relay.Relay(self.metrics.between_tokens.observe)
        self._configuration: routes.Configuration | None = None
        self._targets: dict[str, events.Target] = {}
        self._usable_targets: tuple[events.Target, ...] = ()
        self._moved_targets: set[str] = set()
        self._registrations: tuple[directory.Registration, ...] | None = None
        self._directory = directory.State()
        self._lock = threading.Lock()
        self._targets_lock = threading.Lock()
        self._in_flight = 0
        self._budget = memory_budget.Budget(
            options.memory_mb, self.metrics.count,
            forwarding_listener.MAX_WAITING_THREADS)
        self.metrics.observe_memory(self._budget)
        self._call_numbers = itertools.count()
        self._stop_s: float | None = None
        self._rng = random.Random()
        self._server: typing.Any = None

    # Methods for the listener.

    def forward(self, call: forwarded.Call,
                read_body: forwarding_listener.ReadBody,
                responder: forwarded.Responder) -> forwarded.Response | None:
        """Forwards a request to a target.

        Returns:
            The response, or None if it was streamed.

        Raises:
            errors.PersimmonspanError: The request was refused or failed.
        """
        # Counted from the head on: a stop waits for bodies that still arrive.
        with self._count_in_flight():
            return self._forward(call, read_body, responder)

    def _forward(self, call: forwarded.Call,
                 read_body: forwarding_listener.ReadBody,
                 responder: forwarded.Responder) -> forwarded.Response | None:
        arrived_s = responder.arrived_s
        configuration = self._configuration
        if configuration is None or self._registrations is None:
            raise errors.RefusalError(
                errors.Code.CONFIG_UNVERIFIED,
                "the configuration or the targets have "
                "not been read yet", _NOT_READY_RETRY_S)
        if self._await_confirmation():
            configuration = self._configuration
        route = routes.find_route(configuration, call.host, call.path)
        workspace = routes.authorize(configuration, route, call.key)
        limits = configuration.limits
        call = call._replace(
            body=read_body(limits.max_body_bytes, limits.header_timeout_s))
        if not call.request_id:
            raise errors.RefusalError(errors.Code.BAD_REQUEST,
                                      "the request has no id")
        routed_call = forwarded.RoutedCall(
            f"{call.request_id}.{next(self._call_numbers)}", call, route,
            routes.pick_service(route, self._rng), workspace, arrived_s,
            forwarded.compute_end_s(call, route, arrived_s))
        self._refuse_while_stopping(routed_call)
        if call.is_take_up and route.is_resumable:
            routed_call = self._place_take_up(routed_call)
        context = forwarding.Context(
            configuration, self._find_target, self._record_moved_target,
            self._death_probe.check, self._named_rates.record, self._pauses,
            self.scheduler, self.metrics, self._relay, self.wire,
            self._departures.record_answer, self._origins, self._run_stopper,
            self._find_obstacle, self._cold.record_answer)
        return forwarding.serve(routed_call, context, responder)

    def _place_take_up(
            self, routed_call: forwarded.RoutedCall) -> forwarded.RoutedCall:
        """Restricts a stream that goes on to what began it.

        Raises:
            errors.RefusalError: It is not known, or the store does not tell.
        """
        call, workspace = routed_call.call, routed_call.workspace
        arrived_s = clock.now_s()
        known = None
        if call.resumes is not None:
            try:
                known = self._origins.find(
                    stream_origins.stream_id(
                        workspace.name if workspace else "", call.resumes))
            except errors.StoreError as error:
                self._log_take_up(call, None, str(error))
                raise errors.RefusalError(
                    errors.Code.STORE_UNAVAILABLE,
                    "the store does not tell what began the stream",
                    _NOT_READY_RETRY_S) from error
        versions = self._list_versions(routed_call.route)
        is_named = call.resumes is not None
        if resumption.is_guess(known, is_named,
                               frozenset().union(*versions.values())):
            if not target_knowledge.await_targets(self._peers, arrived_s,
                                                  _CONFIRMATION_TIMEOUT_S):
                self._log_take_up(call, None, "the targets are not confirmed")
                raise errors.RefusalError(
                    errors.Code.CONFIG_UNVERIFIED,
                    "the software version that began the stream is not known, "
                    "as the targets could not be confirmed", _NOT_READY_RETRY_S)
            versions = self._list_versions(routed_call.route)
        place = resumption.find_place(known, is_named, versions)
        self._log_take_up(call, place, "")
        if place is None:
            raise errors.RefusalError(
                errors.Code.NO_TARGET,
                "the software version that began the stream is not known")
        former = self._find_target(place.target)
        if former is not None:
            # The daemon that ran it may have ended without stopping the run.
            self._run_stopper.abandon(
                former, place.request_id,
                routed_call.arrived_s + routed_call.route.timeout_s, True)
        return routed_call._replace(service=place.service or
                                    routed_call.service,
                                    software_version=place.software_version)

    def _list_versions(self, route: routes.Route) -> dict[str, frozenset[str]]:
        """Returns the software versions by service of a route."""
        versions = directory.list_versions(self._directory)
        return {
            split.service: versions.get(split.service, frozenset())
            for split in route.splits
        }

    def _log_take_up(self, call: forwarded.Call,
                     place: resumption.Origin | None, reason: str) -> None:
        self.metrics.count("stream_taken_up"
                           if place is not None else "stream_take_up_refused")
        _logger.info("take-up of a stream",
                     extra={
                         "resumes": call.resumes,
                         "last_event_id": call.last_event_id,
                         "service": place and place.service,
                         "software_version": place and place.software_version,
                         "outcome": "refused" if place is None else "placed",
                         "reason": reason
                     })

    def _await_confirmation(self) -> bool:
        """Waits until what this daemon read from the store is current.

        A daemon that was paused or suspended still holds keys and targets that
        may have been withdrawn meanwhile. During an outage of the store, what
        was read last stays in force.

        Returns:
            Whether it was not current at first.

        Raises:
            errors.RefusalError: The store neither confirmed it nor failed to
                answer in time.
        """
        follower = self._follower
        if follower is None:
            return False
        max_age_s = min(self._options.drain_s,
                        self._options.configuration_apply_s,
                        self._options.evacuation_s)
        began_s = now_s = clock.now_s()
        age_s = now_s - follower.last_checked_s()
        if age_s <= max_age_s:
            return False
        _logger.info("waiting for the store to confirm what is in force",
                     extra={"age_s": round(age_s, 2)})
        while now_s - began_s < _CONFIRMATION_TIMEOUT_S:
            time.sleep(_CONFIRMATION_CHECK_INTERVAL_S)
            now_s = clock.now_s()
            if now_s - follower.last_checked_s() <= max_age_s:
                return True
        raise errors.RefusalError(
            errors.Code.CONFIG_UNVERIFIED,
            "the configuration and the targets could not be confirmed",
            _NOT_READY_RETRY_S)

    def is_ready(self) -> bool:
        """Returns whether the balancer may send new callers here."""
        return (not self.is_stopping() and self._configuration is not None and
                self._registrations is not None)

    def is_stopping(self) -> bool:
        """Returns whether a planned stop has begun."""
        return self._stop_s is not None

    def exposition(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return self.metrics.exposition()

    def explain(self, target: str) -> bytes:
        """Returns where the request of a question would go, as JSON."""
        return explain_call.answer(target, self._configuration, self.scheduler,
                                   self._rng)

    def count(self, reason: str) -> None:
        """Increments the event counter of a reason."""
        self.metrics.count(reason)

    def _refuse_while_stopping(self, routed_call: forwarded.RoutedCall) -> None:
        """Refuses a request that may outlast this process.

        Callers repeat it at another daemon, which runs it.
        """
        if self._stop_s is None:
            return
        if routed_call.end_s > planned_stop.plan(self._stop_s,
                                                 self._options.grace_s).cut_s:
            raise errors.RefusalError(errors.Code.DRAINING,
                                      "this daemon is stopping", 0.0)

    @contextlib.contextmanager
    def _count_in_flight(self) -> collections.abc.Iterator[None]:
        with self._lock:
            self._in_flight += 1
        try:
            yield
        finally:
            with self._lock:
                self._in_flight -= 1

    def _find_target(self, name: str) -> events.Target | None:
        # Looked up at each dispatch: a long request may be sent to a target
        # that joined after the request arrived.
        return self._targets.get(name)

    def _find_other_target(self, target: events.Target) -> events.Target | None:
        return choice.choose_other_target(
            target, self._usable_targets,
            lambda other: not (self._find_obstacle(other) or self._pauses.
                               is_closed(other.name)), self._rng)

    def _find_obstacle(self, target: events.Target) -> str:
        """Returns why a target gets nothing new besides load, or ""."""
        if self._evacuations.is_evacuated(target):
            return "evacuated_domain"
        return "cold_target" if self._cold.is_cold(target.name) else ""

    def _notify_peers(self) -> None:
        if self._peers is not None:
            self._peers.wake()

    def _announce_start(self, target: str, prefill_tokens: int) -> None:
        if self._notices is not None:
            self._notices.send(target, prefill_tokens)

    def _share_quarantine(self, command: events.ShareQuarantine) -> None:
        report = events.QuarantineShared(*command)
        self._refusals.record_own(report)
        if self._peers is not None:
            self._peers.publish_quarantine(report)

    def _record_moved_target(self, target: str) -> None:
        """Excludes a target at whose address another process responds."""
        _logger.warning("another process responds at the target's address",
                        extra={"target": target})
        self._moved_targets.add(target)
        self.scheduler.tell(events.TargetLeaving(target))

    # Methods for the followers of the store.

    def adopt(self, configuration: routes.Configuration) -> None:
        """Applies a configuration, if it is newer, to new requests."""
        with self._lock:
            current = self._configuration
            if current is not None and configuration.version <= current.version:
                return
            self._configuration = configuration
        forwarding_listener.set_idle_timeout(
            self._server, configuration.limits.idle_timeout_s,
            configuration.limits.header_timeout_s)
        _logger.info("configuration in force",
                     extra={
                         "version": configuration.version,
                         "routes": len(configuration.routes),
                         "services": len(configuration.services),
                         "idle_timeout_s": configuration.limits.idle_timeout_s
                     })
        self._apply_cold_entries()
        self._send_targets()

    def apply_directory(self, state: directory.State,
                        change: directory.Change) -> None:
        """Logs changes of the registered targets and applies them."""
        is_first = self._registrations is None
        self._report_lost(change)
        if is_first or not change.is_empty:
            self._departures.apply_entries(directory.all_targets(state))
        self._registrations = directory.usable_targets(state)
        self._directory = state
        self._apply_cold_entries()
        for entry in change.doubted:
            self.metrics.count("target_entry_doubted")
            _logger.warning("older entry of a target not believed",
                            extra={
                                "target": entry.name,
                                "incarnation": entry.incarnation,
                                "is_leaving": entry.is_leaving,
                                "era": state.era
                            })
        for name, entries in change._replace(doubted=(),
                                             leaving=())._asdict().items():
            for entry in entries:
                _logger.info("target %s",
                             name,
                             extra={
                                 "target": entry.name,
                                 "service": entry.service,
                                 "address": entry.address
                             })
        for entry in change.gone:
            self.scheduler.tell(events.TargetLeaving(entry.name))
        for entry in (*change.restarted, *change.joined):
            self._moved_targets.discard(entry.name)
            self._pauses.reopen(entry.name)
        for entry in (*change.restarted, *change.joined):
            if not self._departures.is_leaving(entry):
                # The notice of its former process or entry holds no longer.
                self.scheduler.tell(events.TargetReturned(entry.name))
        if is_first or not change.is_empty:
            self._send_targets()

    def _report_lost(self, change: directory.Change) -> None:
        """Reports targets that ended without notice."""
        lost = lost_targets.find_lost(self._registrations or (), change,
                                      self._departures.is_leaving)
        for name in lost.ended:
            self.metrics.count("target_lost")
            _logger.warning("target ended without notice",
                            extra={"target": name})
            self.scheduler.tell(events.TargetLost(name))
        for entry in lost.missing:
            target = self._targets.get(entry.name)
            if target is not None:
                self._death_probe.check_missing(target)

    def _apply_cold_entries(self) -> None:
        configuration, entries = self._configuration, self._registrations
        if configuration is not None and entries is not None:
            self._cold.apply_entries(entries, configuration.services)

    def _apply_evacuations(self, returned: frozenset[str]) -> None:
        """Applies a change of the evacuated domains, some of which return."""
        # First: cold targets must not be listed as warm ones.
        self._cold.assume_cold(
            self._registrations or (), returned,
            read_schedule.Limits(self._options.drain_s).max_targets_age_s)
        self._send_targets()

    def _send_targets(self) -> None:
        """Sends targets, request kinds and workspaces to the scheduler."""
        # Configuration and targets change on different threads; the last
        # message must hold the newest of both.
        with self._targets_lock:
            self._send_newest_targets()

    def _send_newest_targets(self) -> None:
        configuration = self._configuration
        registrations = self._registrations
        if configuration is None or registrations is None:
            return
        targets = tuple(
            _to_target(entry, configuration.services[entry.service])
            for entry in registrations
            if entry.service in configuration.services and entry.name not in
            self._moved_targets and not self._departures.is_leaving(entry))
        # Removed targets stay: a dispatch to one may still be under way.
        self._targets = {
            **self._targets,
            **{
                target.name: target for target in targets
            }
        }
        self._usable_targets = targets
        kinds = {
            forwarded.route_kind(route): route for route in configuration.routes
        }
        self.scheduler.tell(
            events.TargetsChanged(
                configuration.version, targets,
                tuple(
                    _to_kind_policy(name, route)
                    for name, route in kinds.items()),
                tuple(
                    events.WorkspaceShare(name, 1.0) for name in sorted({
                        item.name
                        for item in configuration.workspaces_by_key.values()
                    })), self._options.name,
                edge_peers.interval_s(edge_peers.State()),
                self._departures.leaving_targets(), self._evacuations.domains))

    def reload(self, options: edge_settings.EdgeSettings) -> None:
        """Applies changed settings, except those that need a restart."""
        if options == self._options:
            return
        kept = {
            name: getattr(self._options, name)
            for name in _FIXED_SETTINGS
            if getattr(self._options, name) != getattr(options, name)
        }
        self._options = options._replace(**kept)
        self._budget.resize(options.memory_mb)
        if self._server is not None:
            self._server.limit_connections(options.memory_mb, options.max_fds)
        self._limits.send(self._options, self.is_stopping())
        _logger.info("settings reloaded",
                     extra={
                         "settings": self._options._asdict(),
                         "kept_until_restart": sorted(kept)
                     })

    def _share_limits(self) -> None:
        """Divides what all daemons may send by the daemons that share it."""
        addresses = self._peers.list_daemons()
        daemons = tuple(addresses)
        del addresses[self._options.name]
        self._notices.set_peers(addresses.values(),
                                edge_peers.MAX_DIRECT_PEERS + 1)
        # Daemons that start at once miss each other in their first read.
        self._cold.set_shares(
            events.ColdSharesChanged(self._options.name, daemons,
                                     self._peers.address_reads > 1,
                                     self._options.cold_overrun,
                                     self._options.cold_tolerance))
        self._limits.set_daemons(daemons, self._options, self.is_stopping())

    # Methods that start and stop the process.

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator[None]:
        """Serves until the block ends."""
        threading.stack_size(_THREAD_STACK_BYTES)
        address = own_settings.split_address
        with contextlib.ExitStack() as stack:
            stack.callback(self.scheduler.stop)
            self._limits.send_hedge_limits(self._options, self.is_stopping())
            self._relay.start()
            stack.callback(self._relay.stop)
            self._server = forwarding_listener.make_server(
                address(self._options.listen_address), self, self._budget,
                self._options.memory_mb, self._options.max_fds)
            readiness = forwarding_listener.make_readiness_server(
                address(self._options.readiness_address), self)
            for server in (self._server, readiness):
                server.prepare()
                stack.callback(server.stop)
            follower = followers.Followers(self._platform.open_store,
                                           self._options.store_address,
                                           self._platform.formats, self,
                                           self._evacuations)
            self._peers = peering.Peering(
                self._options.name, self._options.peer_address, self.scheduler,
                follower.apply_store_snapshot,
                self._named_rates.record_peer_answers,
                read_schedule.Limits(self._options.drain_s,
                                     self._options.configuration_apply_s),
                self._departures, follower.apply_stale_entries,
                self._options.link_bits_per_s, self._evacuations,
                self._refusals.record_peer)
            follower.peers = self._peers
            self._follower = follower
            poller = notice_poller.NoticePoller(
                self.scheduler, self._find_target, self.wire, self._peers,
                read_schedule.Limits(self._options.drain_s).max_targets_age_s,
                self._departures, self._pauses, self._find_obstacle,
                self._cold.record_answer)
            self._notices = start_notices.StartNotices(
                self._options.peer_address, self.scheduler.tell,
                self.metrics.count)
            stack.enter_context(self._notices.running())
            self._share_limits()
            stack.enter_context(self._refusals.running())
            stack.enter_context(self._origins.running())
            stack.enter_context(self._run_stopper.running())
            stack.enter_context(self._pauses.running())
            stack.enter_context(self._death_probe.running())
            stack.enter_context(follower.peers.running())
            stack.enter_context(follower.running())
            stack.enter_context(
                threads.calling_periodically(poller.poll,
                                             notice_poller.INTERVAL_S))
            stack.enter_context(
                threads.calling_periodically(self._share_limits,
                                             _SHARE_LIMITS_INTERVAL_S))
            self._refusals.await_first_read()
            for server in (self._server, readiness):
                stack.enter_context(threads.running(server.serve, server.stop))
            yield

    def stop(self, end_process: planned_stop.EndProcess = lambda: None) -> None:
        """Begins a planned stop and waits until the process may end.

        Args:
            end_process: Called shortly before the end of the grace period.
        """
        self._stop_s = time.monotonic()
        self._limits.send_hedge_limits(self._options, self.is_stopping())
        times = planned_stop.plan(self._stop_s, self._options.grace_s)
        self.scheduler.tell(events.StopBegan(times.cut_s))
        planned_stop.run(times, self._stop_s + _MIN_STOP_S, self._server,
                         lambda: self._in_flight, self.metrics.count,
                         end_process)


def _to_target(entry: directory.Registration,
               service: routes.Service) -> events.Target:
    engine = service.engine
    return events.Target(
        entry.name, entry.service, entry.address, entry.failure_domain,
        engine.kv_capacity_tokens if engine is not None else 0,
        engine.max_running if engine is not None else entry.max_running,
        entry.incarnation, entry.software_version)


# Requests of routes with a shorter timeout count as short work.
_SHORT_TIMEOUT_S = 10.0


def _to_kind_policy(name: str, route: routes.Route) -> events.KindPolicy:
    return events.KindPolicy(name, route.splits[0].service, 1.0, route.timeout_s
                             < _SHORT_TIMEOUT_S, route.is_idempotent,
                             route.timeout_s)


def run(platform: Platform) -> int:
    """Runs an edge daemon until a signal stops it; returns the exit code."""
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    options = platform.read_settings()
    logs.configure("INFO", options.name)
    allocator.limit_retained_memory()
    gc.collect()
    gc.freeze()
    stopping = threading.Event()

    wakeup = threading.Event()  # Set by a reload or stop signal.

    def stop(signal_number: int, frame: object) -> None:
        del signal_number, frame
        stopping.set()
        wakeup.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, lambda number, frame: wakeup.set())
    edge = Edge(options, platform)
    with edge.running():
        _logger.info("serving", extra={"settings": options._asdict()})
        while not stopping.is_set():
            if wakeup.wait(_SETTINGS_CHECK_INTERVAL_S):
                wakeup.clear()
            if not stopping.is_set():
                _reload(edge, platform)
        edge.stop(planned_stop.exit_process)
    return 0


def _reload(edge: Edge, platform: Platform) -> None:
    try:
        options = platform.read_settings()
    except (OSError, ValueError) as error:
        # The file may be half written, so the current settings stay in force.
        _logger.warning("settings could not be read",
                        extra={"reason": str(error)})
        return
    edge.reload(options)
