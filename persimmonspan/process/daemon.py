"""The daemon: start, wiring and planned stop.

A planned stop fails readiness at once, refuses new work, waits for each request
in flight and then ends. Only a second signal cuts requests.
"""

import collections.abc
import contextlib
import logging
import secrets
import signal
import sys
import threading
import time
import typing
import uuid

from persimmonspan import errors
from persimmonspan.connection import engine
from persimmonspan.connection import listener
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
from persimmonspan.request import at_most_once
from persimmonspan.request import choice
from persimmonspan.request import events
from persimmonspan.request import gate
from persimmonspan.request import handler
from persimmonspan.request import ledger_events
from persimmonspan.version import check
from persimmonspan.version import model

_SEED_BITS = 64
_NS_PER_MS = 1_000_000
_PUBLISH_INTERVAL_S = 0.5
_SCHEDULER_EVENTS = (events.PeerLoad, events.QuarantineShared,
                     events.QuarantineLifted)
EXIT_CUT = 3
# With the default of 5 ms the relay thread would wait that long for the
# interpreter lock whenever another thread computes.
_SWITCH_INTERVAL_S = 0.0005
_THREAD_STACK_BYTES = 256 * 1024

_logger = logging.getLogger(__name__)


class Daemon:
    """State of one daemon process."""

    def __init__(self, options: settings.Settings) -> None:
        self.name = options.name
        self.failure_domain = options.failure_domain
        self.metrics = metrics.Metrics()
        self.peers: peer_actor.Peers | None = None
        self.scheduler = scheduler_actor.SchedulerActor.start(
            self.metrics, secrets.randbits(_SEED_BITS), self._share)
        self.configurations: daemon_operations.Configurations
        self.outcomes: daemon_operations.Outcomes
        self.operations = daemon_operations.DaemonOperations(self)
        self._settings = options
        self._relay = relay.Relay(self.metrics.between_tokens.observe)
        self._gate = gate.Gate(self.metrics)
        self._ledger = at_most_once.Context(memory_rows.MemoryRows(),
                                            ledger_events.Holder(
                                                options.name,
                                                uuid.uuid4().hex),
                                            count=self.metrics.count)
        self._leaving = leaving_tracker.LeavingTracker(self.scheduler.tell)
        self._poller = report_poller.ReportPoller(
            self.scheduler.tell, engine.read_load,
            self._leaving.incarnation_seen)
        self._configuration: model.Configuration | None = None
        self._in_flight = 0
        self._idle = threading.Condition()
        self._is_draining = False

    def configuration(self) -> model.Configuration | None:
        """Returns the configuration in force."""
        return self._configuration

    def adopt(self, configuration: model.Configuration) -> None:
        """Takes a configuration into force for new requests."""
        self._configuration = configuration
        targets = tuple(target for service in configuration.services
                        for target in service.targets)
        self.scheduler.tell(
            events.TargetsChanged(
                configuration.revision, targets, configuration.kinds,
                tuple(
                    events.WorkspaceShare(item.name, item.share)
                    for item in configuration.workspaces), self.name))
        self._leaving.adopted(configuration)
        self._poller.set_targets(
            tuple(target for service in configuration.services
                  for target in choice.subset(self.name, service.targets)))
        _logger.info("configuration in force",
                     extra={"revision": configuration.revision})

    def begin_request(self) -> handler.Context:
        """Counts a request in.

        Raises:
            errors.RefusalError: The daemon drains or has no configuration.
        """
        with self._idle:
            if self._is_draining:
                raise errors.RefusalError(errors.Code.DRAINING,
                                          "this daemon is stopping", 1.0)
            if self._configuration is None:
                raise errors.RefusalError(errors.Code.CONFIG_UNVERIFIED,
                                          "no configuration is in force", 1.0)
            if self._in_flight >= self._settings.max_streams:
                raise errors.RefusalError(
                    errors.Code.OVERLOADED,
                    "this daemon serves as many requests as it can", 1.0)
            self._in_flight += 1
            return handler.Context(self._configuration, self.scheduler,
                                   self.metrics, self._relay, self._gate,
                                   self._ledger, self._settings.write_timeout_s)

    def end_request(self, context: handler.Context) -> None:
        """Counts a request out."""
        del context
        with self._idle:
            self._in_flight -= 1
            self._idle.notify_all()

    def is_ready(self) -> bool:
        """Returns whether the balancer may send new work."""
        return not self._is_draining and self._configuration is not None

    def is_draining(self) -> bool:
        """Returns whether a planned stop began."""
        return self._is_draining

    def in_flight(self) -> int:
        """Returns the number of requests in flight."""
        return self._in_flight

    def drain(self) -> None:
        """Refuses new work and waits until nothing is in flight."""
        with self._idle:
            self._is_draining = True
            if self.peers is not None:
                self.peers.drain()
            _logger.info("draining", extra={"in_flight": self._in_flight})
            self._idle.wait_for(lambda: self._in_flight == 0)

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator[None]:
        """Runs the background work of the daemon until the block ends."""
        threading.stack_size(_THREAD_STACK_BYTES)
        with contextlib.ExitStack() as stack:
            stack.callback(self.scheduler.stop)
            if self._settings.peer_address is not None:
                self.peers = peer_actor.start(self._settings,
                                              time.time_ns() // _NS_PER_MS,
                                              self._receive, self.metrics.count)
                stack.callback(self.peers.stop)
            stack.enter_context(_thread(self._poller.run, self._poller.stop))
            stopped = threading.Event()
            stack.enter_context(
                _thread(lambda: self._publish(stopped), stopped.set))
            yield

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
            with _thread(server.serve, server.stop):
                yield
        finally:
            self._relay.stop()

    def _share(self, command: events.ShareQuarantine) -> None:
        if self.peers is not None:
            self.peers.publish_quarantine(command.fingerprint, command.crashes,
                                          command.ttl_s)

    def _receive(self, event: object) -> None:
        """Takes what peers said, on the thread of the peer actor."""
        if isinstance(event, events.TargetLeaving):
            self._leaving.reclaimed(event.target)
        elif isinstance(event, _SCHEDULER_EVENTS):
            self.scheduler.tell(event)

    def _publish(self, stopped: threading.Event) -> None:
        while not stopped.wait(_PUBLISH_INTERVAL_S):
            if self.peers is not None:
                self.peers.publish_loads(
                    self.scheduler.ask(scheduler_actor.Ask(
                        scheduler_view.loads)))


@contextlib.contextmanager
def _thread(
        work: collections.abc.Callable[[], None],
        stop: collections.abc.Callable[[],
                                       None]) -> collections.abc.Iterator[None]:
    thread = threading.Thread(target=work)
    thread.start()
    try:
        yield
    finally:
        stop()
        thread.join()


def run(options: settings.Settings) -> int:
    """Runs a daemon until it is told to stop; returns the exit code."""
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    daemon = Daemon(options)
    documents = load_documents(options.inventory, options.rules)
    daemon.configurations = local_configuration.LocalConfigurations(documents)
    daemon.outcomes = local_configuration.NoOutcomes()
    stopping = threading.Event()
    cutting = threading.Event()

    def stop(signal_number: int, frame: object) -> None:
        del signal_number, frame
        if stopping.is_set():
            cutting.set()
        stopping.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    with daemon.running(), daemon.listening():
        daemon.adopt(check.build(*documents))
        _logger.info("serving", extra={"address": options.listen_address})
        stopping.wait()
        drained = threading.Thread(target=daemon.drain, daemon=True)
        drained.start()
        while drained.is_alive() and not cutting.is_set():
            drained.join(0.05)
    return EXIT_CUT if cutting.is_set() else 0


def load_documents(inventory_file: str,
                   rules_file: str | None) -> operations.Documents:
    """Loads and checks documents from files, as revision 1.

    Raises:
        errors.ConfigurationError: A document is not valid; the message holds
            all problems, one a line.
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
