"""The daemon: start, wiring and planned stop.

A planned stop makes the readiness check fail at once, refuses new requests and
waits until those in flight end and their outcomes are recorded. Only a second
signal interrupts requests.
"""

import collections.abc
import contextlib
import logging
import math
import secrets
import signal
import sys
import threading
import time
import typing

from persimmonspan import errors
from persimmonspan.connection import listener
from persimmonspan.connection import load_reports
from persimmonspan.connection import relay
from persimmonspan.connection import tls
from persimmonspan.process import daemon_operations
from persimmonspan.process import leaving_tracker
from persimmonspan.process import local_configuration
from persimmonspan.process import memory_rows
from persimmonspan.process import metrics
from persimmonspan.process import operations
from persimmonspan.process import peer_actor
from persimmonspan.process import report_poller
from persimmonspan.process import scheduler_actor
from persimmonspan.process import scheduler_view
from persimmonspan.process import settings
from persimmonspan.process import stored_parts
from persimmonspan.process import target_pauses
from persimmonspan.process import threads
from persimmonspan.request import at_most_once
from persimmonspan.request import choice
from persimmonspan.request import events
from persimmonspan.request import gate
from persimmonspan.request import handler
from persimmonspan.request import ledger_events
from persimmonspan.version import adoption
from persimmonspan.version import check
from persimmonspan.version import model

_SEED_BITS = 64
_NS_PER_MS = 1_000_000
_PUBLISH_INTERVAL_S = 0.5
_RECORD_INTERVAL_S = 0.5
_SCHEDULER_EVENTS = (events.PeerLoad, events.QuarantineShared,
                     events.QuarantineLifted)
EXIT_INTERRUPTED = 3
# With the default of 5 ms, the relay thread would wait that long for the
# interpreter lock whenever another thread computes.
_SWITCH_INTERVAL_S = 0.0005
_THREAD_STACK_BYTES = 256 * 1024

_logger = logging.getLogger(__name__)


class Daemon:
    """Holds the state of one daemon process and runs its components."""

    def __init__(self, options: settings.Settings) -> None:
        self.name = options.name
        self.failure_domain = options.failure_domain
        self.metrics = metrics.Metrics()
        self.peers: peer_actor.Peers | None = None
        self.scheduler = scheduler_actor.SchedulerActor.start(
            self.metrics, secrets.randbits(_SEED_BITS), self._share_quarantine)
        self.configurations: daemon_operations.Configurations
        self.outcomes: daemon_operations.Outcomes
        self.operations = daemon_operations.DaemonOperations(self)
        self._settings = options
        self._relay = relay.Relay(self.metrics.between_tokens.observe)
        self._gate = gate.Gate(self.metrics)
        self._stored_parts: stored_parts.StoredParts | None = None
        self._is_configuration_current = True
        self._last_verified_s = -math.inf
        self._ledger: at_most_once.Context
        self._leaving = leaving_tracker.LeavingTracker(self.scheduler.tell,
                                                       self.metrics.count)
        self._load_reader = load_reports.LoadReader()
        self._pauses = target_pauses.TargetPauses(self.scheduler.tell,
                                                  self.metrics.count)
        self._poller = report_poller.ReportPoller(
            self.scheduler.tell, self._load_reader.read,
            self._leaving.record_incarnation, self._leaving.apply_answer,
            self._pauses)
        self._configuration: model.Configuration | None = None
        self._targets: list[dict[str, events.Target]] = []
        self._in_flight = 0
        self._idle = threading.Condition()
        self._is_draining = False

    def configuration(self) -> model.Configuration | None:
        """Returns the configuration in force."""
        return self._configuration

    def adopt(self, configuration: model.Configuration) -> None:
        """Puts a configuration into force for new requests."""
        targets = tuple(target for service in configuration.services
                        for target in service.targets)
        self.scheduler.tell(
            events.TargetsChanged(
                configuration.revision, targets, configuration.kinds,
                tuple(
                    events.WorkspaceShare(item.name, item.share)
                    for item in configuration.workspaces), self.name))
        self._leaving.adopt_configuration(configuration)
        with self._idle:
            # Keeps the previous targets, since a dispatch to a target that was
            # just removed may still be under way.
            self._targets = (self._targets[-1:] + [{
                target.name: target for target in targets
            }])
            self._configuration = configuration
        polled_targets = tuple(
            target for service in configuration.services
            for target in choice.select_subset(self.name, service.targets))
        self._poller.set_targets(polled_targets)
        self._load_reader.keep_only(
            {target.address for target in polled_targets})
        _logger.info("configuration in force",
                     extra={"revision": configuration.revision})

    def adopt_documents(self, documents: operations.Documents) -> None:
        """Puts checked documents into force for new requests."""
        self.adopt(check.build_configuration(*documents))

    def _find_target(self, name: str) -> events.Target | None:
        for targets in reversed(self._targets):
            if name in targets:
                return targets[name]
        return None

    def set_configuration_current(self, is_current: bool) -> None:
        """Records whether the configuration is verified to be current."""
        self._is_configuration_current = is_current

    def set_last_verified(self, at_s: float) -> None:
        """Records when the configuration was last verified to be current."""
        self._last_verified_s = at_s

    def _has_current_configuration(self) -> bool:
        if self._configuration is None or not self._is_configuration_current:
            return False
        # When the process resumes after a long pause, request threads may run
        # before the configuration actor updates the flag.
        return (self._stored_parts is None or
                time.monotonic() - self._last_verified_s
                <= adoption.FRESHNESS_TIMEOUT_S)

    def begin_request(self) -> handler.Context:
        """Admits a request and counts it as in flight.

        Raises:
            errors.RefusalError: The daemon is draining, cannot verify its
                configuration or already serves `max_streams` requests.
        """
        with self._idle:
            if self.is_draining():
                raise errors.RefusalError(errors.Code.DRAINING,
                                          "this daemon is stopping", 1.0)
            if (self._configuration is None or
                    not self._has_current_configuration()):
                raise errors.RefusalError(
                    errors.Code.CONFIG_UNVERIFIED,
                    "this daemon cannot verify that its "
                    "configuration is current", 1.0)
            if self._in_flight >= self._settings.max_streams:
                raise errors.RefusalError(
                    errors.Code.OVERLOADED,
                    "this daemon serves its maximum number of requests", 1.0)
            self._in_flight += 1
            return handler.Context(self._configuration, self._find_target,
                                   self.scheduler, self.metrics, self._relay,
                                   self._gate, self._ledger,
                                   self._settings.write_timeout_s,
                                   self._poller.check,
                                   self._leaving.apply_answer, self._pauses)

    def end_request(self, context: handler.Context) -> None:
        """Counts a request as no longer in flight."""
        del context
        with self._idle:
            self._in_flight -= 1
            self._idle.notify_all()

    def is_ready(self) -> bool:
        """Returns whether the balancer may send new requests."""
        return not self.is_draining() and self._has_current_configuration()

    def is_draining(self) -> bool:
        """Returns whether the daemon is stopping or an operator drains it."""
        return self._is_draining or (self._configuration is not None and
                                     self.name
                                     in self._configuration.leaving_daemons)

    def in_flight(self) -> int:
        """Returns the number of requests in flight."""
        return self._in_flight

    def drain(self) -> None:
        """Refuses new requests; waits until all have ended and are recorded.

        This may take long while the store is down; a second signal to the
        process ends the wait.
        """
        with self._idle:
            self._is_draining = True
            if self.peers is not None:
                self.peers.drain()
            _logger.info("draining", extra={"in_flight": self._in_flight})
            self._idle.wait_for(lambda: self._in_flight == 0)
        # Outcomes that only this process holds would become unknown.
        while self._ledger.record_kept_rows():
            time.sleep(_RECORD_INTERVAL_S)

    @contextlib.contextmanager
    def running(
            self, initial: operations.Documents | None
    ) -> collections.abc.Iterator[None]:
        """Runs the background work of the daemon until the block ends.

        Args:
            initial: Documents from files, for a first start or a start without
                a table service.
        """
        threading.stack_size(_THREAD_STACK_BYTES)
        incarnation = time.time_ns() // _NS_PER_MS
        with contextlib.ExitStack() as stack:
            stack.callback(self.scheduler.stop)
            self._start_store(incarnation)
            if self._settings.peer_address is not None:
                self.peers = peer_actor.start(self._settings, incarnation,
                                              self._receive, self.metrics.count)
                stack.callback(self.peers.stop)
            if self._stored_parts is not None:
                stack.enter_context(
                    self._stored_parts.running(self.peers, self._leaving,
                                               self._ledger, initial))
            else:
                assert initial is not None  # The settings require one of them.
                self.configurations = local_configuration.LocalConfigurations(
                    initial)
                self.adopt_documents(initial)
            stack.enter_context(self._pauses.running())
            stack.enter_context(
                threads.running(self._poller.run, self._poller.stop))
            stack.enter_context(
                threads.calling_periodically(self._publish_loads,
                                             _PUBLISH_INTERVAL_S))
            yield

    def _start_store(self, incarnation: int) -> None:
        holder = ledger_events.Holder(self.name, str(incarnation))
        if self._settings.table_service is None:
            _logger.warning("no table service: repeats of calls are recognised "
                            "by this process only")
            self.outcomes = local_configuration.LocalOutcomes()
            self._ledger = at_most_once.Context(memory_rows.MemoryRows(),
                                                holder,
                                                count=self.metrics.count)
            return
        self._is_configuration_current = False
        self._stored_parts = stored_parts.StoredParts(
            self._settings,
            stored_parts.Hooks(self.adopt_documents,
                               self.set_configuration_current,
                               self.set_last_verified))
        self.configurations = self._stored_parts.configurations
        self.outcomes = self._stored_parts.outcomes
        self._ledger = at_most_once.Context(self._stored_parts.rows,
                                            holder,
                                            self._is_holder_replaced,
                                            count=self.metrics.count,
                                            era=self._stored_parts.client.era)

    def _is_holder_replaced(self, holder: ledger_events.Holder) -> bool:
        """Returns whether a newer incarnation replaced a claim's holder."""
        if self.peers is None:
            return False
        return any(item.identity.daemon == holder.daemon and
                   item.identity.incarnation > int(holder.incarnation)
                   for item in self.peers.status().members)

    @contextlib.contextmanager
    def listening(self) -> collections.abc.Iterator[None]:
        """Serves callers until the block ends."""
        server = listener.make_server(
            settings.split_address(self._settings.listen_address), self,
            listener.Options(self._settings.max_streams,
                             self._settings.max_body_bytes,
                             self._settings.read_timeout_s))
        if self._settings.tls_certificate is not None:
            server.ssl_adapter = tls.ReloadingAdapter(
                self._settings.tls_certificate, self._settings.tls_key,
                self.metrics.count)
        self._relay.start()
        server.prepare()
        try:
            with threads.running(server.serve, server.stop):
                yield
        finally:
            self._relay.stop()

    def _share_quarantine(self, command: events.ShareQuarantine) -> None:
        if self.peers is not None:
            self.peers.publish_quarantine(command)

    def _receive(self, event: object) -> None:
        """Handles an event from a peer, on the thread of the peer actor."""
        if isinstance(event, events.TargetLeaving):
            self._leaving.apply_reclaim_notice(event.target)
        elif isinstance(event, _SCHEDULER_EVENTS):
            self.scheduler.tell(event)
        elif self._stored_parts is not None:
            self._stored_parts.receive(event)

    def _publish_loads(self) -> None:
        if self.peers is not None:
            self.peers.publish_loads(
                self.scheduler.ask(
                    scheduler_actor.Evaluate(scheduler_view.outstanding_loads)))


def run(options: settings.Settings) -> int:
    """Runs a daemon until a signal stops it; returns the exit code."""
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    daemon = Daemon(options)
    initial = (load_documents(options.inventory, options.rules)
               if options.inventory is not None else None)
    stop_requested = threading.Event()
    interrupt_requested = threading.Event()

    def request_stop(signal_number: int, frame: object) -> None:
        del signal_number, frame
        if stop_requested.is_set():
            interrupt_requested.set()
        stop_requested.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    with daemon.running(initial), daemon.listening():
        _logger.info("serving", extra={"address": options.listen_address})
        stop_requested.wait()
        drain_thread = threading.Thread(target=daemon.drain, daemon=True)
        drain_thread.start()
        while drain_thread.is_alive() and not interrupt_requested.is_set():
            drain_thread.join(0.05)
    return EXIT_INTERRUPTED if interrupt_requested.is_set() else 0


def load_documents(inventory_file: str,
                   rules_file: str | None) -> operations.Documents:
    """Loads and checks documents from files, as revision 1.

    Raises:
        errors.ConfigurationError: A document is not valid; the message lists
            all problems, one per line.
    """
    inventory = check.load_file(inventory_file)
    rules = check.load_file(rules_file) if rules_file is not None else {}
    problems = check.check_documents(inventory, rules, inventory_file,
                                     rules_file or "rules")
    if problems:
        raise errors.ConfigurationError(errors.Code.BAD_REQUEST,
                                        "\n".join(map(str, problems)))
    return operations.Documents(1,
                                typing.cast(model.InventoryDocument, inventory),
                                typing.cast(model.RulesDocument, rules))
