"""Parts of a daemon that use the platform, started and stopped together.

Without a table service the daemon reads documents from files; see
`persimmonspan.process.local_configuration`.
"""

import collections.abc
import contextlib
import logging
import math
import random
import secrets
import threading
import time
import typing

import msgspec

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.connection import object_store
from persimmonspan.connection import peer_messages
from persimmonspan.connection import vm_list
from persimmonspan.process import configuration_actor
from persimmonspan.process import leaving_tracker
from persimmonspan.process import ledger_rows
from persimmonspan.process import membership
from persimmonspan.process import operations
from persimmonspan.process import peer_actor
from persimmonspan.process import registration
from persimmonspan.process import settings
from persimmonspan.process import store_actor
from persimmonspan.process import stored_configuration
from persimmonspan.process import threads
from persimmonspan.request import at_most_once
from persimmonspan.version import adoption
from persimmonspan.version import difference

_SEED_BITS = 64
_MAJORITY_INTERVAL_S = 0.5
_LEDGER_RECORD_INTERVAL_S = 1.0
_VM_LIST_INTERVAL_S = 1.0
_BOOTSTRAP_INTERVAL_S = 0.5
_BOOTSTRAP_ACTOR = "bootstrap"

_logger = logging.getLogger(__name__)


class Hooks(typing.NamedTuple):
    """Functions of the daemon that the parts call.

    Attributes:
        adopt: Puts documents in force.
        set_serving: Receives True on rejoining and False on withdrawal.
        record_verification: Receives the monotonic time at which the
            configuration was confirmed to be current.
    """

    adopt: collections.abc.Callable[[operations.Documents], None]
    set_serving: collections.abc.Callable[[bool], None]
    record_verification: collections.abc.Callable[[float], None]


class StoredParts:
    """Store client, configuration, ledger rows and registration."""

    def __init__(self, options: settings.Settings, hooks: Hooks) -> None:
        address = typing.cast(str, options.table_service)
        self._options = options
        self._hooks = hooks
        self._peers: peer_actor.Peers | None = None
        self._last_head_read_s = -math.inf
        self.client = store_actor.start(address, options.name,
                                        secrets.randbits(_SEED_BITS))
        self.actor = configuration_actor.start(
            self.client,
            object_store.ObjectStore(options.object_store or address),
            configuration_actor.Callbacks(self._adopt, hooks.set_serving,
                                          self._send_change,
                                          _ignore_document_request))
        self.configurations = stored_configuration.StoredConfigurations(
            self.actor, self.client)
        self.outcomes = stored_configuration.StoredOutcomes(self.client)
        self.rows = ledger_rows.LedgerRows(self.client)

    def receive(self, event: object) -> None:
        """Forwards a configuration message from a peer to the actor."""
        if isinstance(event, peer_messages.Change):
            self.actor.offer(
                adoption.ChangeReceived(
                    event.revision, event.base_revision,
                    tuple(difference.decode(event.difference))))
        elif isinstance(event, peer_messages.WholeConfiguration):
            self.actor.offer(
                adoption.DocumentReceived(
                    event.revision,
                    decoding.JsonDecoder().decode(event.document)))

    @contextlib.contextmanager
    def running(
            self, peers: peer_actor.Peers | None,
            tracker: leaving_tracker.LeavingTracker,
            ledger: at_most_once.Context, initial: operations.Documents | None
    ) -> collections.abc.Iterator[None]:
        """Runs the periodic tasks until the block ends."""
        self._peers = peers
        with contextlib.ExitStack() as stack:
            stack.callback(self.client.stop)
            stack.callback(self.actor.stop)
            stack.enter_context(
                threads.calling_periodically(self._report_majority,
                                             _MAJORITY_INTERVAL_S))
            stack.enter_context(
                threads.calling_periodically(ledger.record_kept_rows,
                                             _LEDGER_RECORD_INTERVAL_S))
            if self._options.vm_list is not None:
                stack.enter_context(self._polling_vm_list(tracker))
            if peers is not None:
                entry = registration.Registration(self.client, peers,
                                                  self._read_vm_list)
                stack.enter_context(threads.running(entry.run, entry.stop))
            if initial is not None:
                stack.enter_context(self._bootstrapping(initial))
            yield

    @contextlib.contextmanager
    def _bootstrapping(
            self,
            initial: operations.Documents) -> collections.abc.Iterator[None]:
        """Commits the initial documents if no revision is in force yet."""
        stopped = threading.Event()

        def bootstrap() -> None:
            while not stopped.is_set() and not self.actor.state().revision:
                with contextlib.suppress(errors.PersimmonspanError):
                    self.configurations.commit(initial._replace(revision=0),
                                               _BOOTSTRAP_ACTOR, False)
                stopped.wait(_BOOTSTRAP_INTERVAL_S)

        with threads.running(bootstrap, stopped.set):
            yield

    def _adopt(self, revision: int, document: difference.Json) -> None:
        self._hooks.adopt(
            operations.Documents(revision, document["inventory"],
                                 document["rules"]))
        if self._peers is not None:
            self._peers.adopt_whole(
                peer_messages.WholeConfiguration(revision,
                                                 msgspec.json.encode(document)))

    def _send_change(self, change: adoption.ChangeReceived) -> None:
        if self._peers is not None:
            encoded = difference.encode(list(change.edits)).encode()
            self._peers.publish_change(
                peer_messages.Change(change.revision, change.base_revision,
                                     encoded))

    def _report_majority(self) -> None:
        now_s = time.monotonic()
        if self._peers is None:
            # A daemon without peer links is a majority of one.
            self.actor.offer(adoption.MajorityChecked(True, 0))
            self._hooks.record_verification(now_s)
            return
        head_read_s = self.actor.state().head_read_s
        if head_read_s > self._last_head_read_s:
            self._last_head_read_s = head_read_s
            self._peers.record_store_read()
        status = self._peers.status()
        highest = max((item.revision
                       for item in status.members
                       if item.heard_age_s <= membership.MAJORITY_WINDOW_S),
                      default=0)
        # Recomputed here, because the flag of a process that was paused is
        # stale when it resumes.
        is_heard = 2 * status.heard > status.registered
        self.actor.offer(adoption.MajorityChecked(is_heard, highest))
        if is_heard or now_s - head_read_s <= adoption.FRESHNESS_TIMEOUT_S:
            self._hooks.record_verification(now_s)

    def _read_vm_list(self) -> tuple[vm_list.Vm, ...]:
        if self._options.vm_list is None:
            return ()
        return vm_list.read(self._options.vm_list)

    @contextlib.contextmanager
    def _polling_vm_list(
        self, tracker: leaving_tracker.LeavingTracker
    ) -> collections.abc.Iterator[None]:
        """Reads the VM list until the block ends.

        The list names all VMs and is long at scale. The daemons of a failure
        domain therefore share the reads and publish the targets that leave.
        """
        stopped = threading.Event()

        def read() -> None:
            while not stopped.wait(self._vm_list_interval_s()):
                with contextlib.suppress(errors.StoreError):
                    sent_s = time.monotonic()
                    vms = self._read_vm_list()
                    found = tracker.apply_vm_list(vms,
                                                  time.monotonic() - sent_s)
                    for name in found if self._peers is not None else ():
                        self._peers.publish_leaving(name)

        with threads.running(read, stopped.set):
            yield

    def _vm_list_interval_s(self) -> float:
        if self._peers is None:
            return _VM_LIST_INTERVAL_S
        status = self._peers.status()
        peers_in_domain = sum(
            item.identity.failure_domain == self._options.failure_domain and
            item.heard_age_s <= membership.MAJORITY_WINDOW_S
            for item in status.members)
        # Random jitter spreads the reads of the daemons over the interval.
        return _VM_LIST_INTERVAL_S * (1 + peers_in_domain) * random.uniform(
            0.8, 1.2)


def _ignore_document_request(revision: int) -> None:
    """Does nothing: gossip requests a revision when a digest shows it."""
    del revision
