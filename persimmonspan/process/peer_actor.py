"""Actor that owns gossip and the links to the other daemons.

Interface for the rest of the daemon. `start(options, incarnation, deliver,
count)` returns a `Peers`; its methods may be called on any thread and do not
block, except `status` and `stop`:

| method | when |
|---|---|
| `set_listed_vms(identities)` | the VM list was read; incarnation 0 |
| `set_member_rows(identities)` | all `member/` rows were read |
| `record_store_read()` | the configuration head was read |
| `publish_loads(loads)` | periodically, with the load on all targets |
| `publish_quarantine(command)` | a quarantine began; `crashes` 0 lifts it |
| `publish_leaving(target)` | a target was seen leaving, or is to drain |
| `publish_returned(target)` | a target accepts new requests again |
| `publish_change(change)` | this daemon committed or found a revision |
| `adopt_whole(whole)` | any revision came into force here |
| `drain()` | a planned stop began |
| `status()`, `identity()` | for the administration API and the member row |

`deliver` must not block; it is called on the polling thread with
`events.PeerLoad` (all loads of a peer; empty when the peer died;
`domain/<name>` for the sum of a failure domain), `QuarantineShared`,
`QuarantineLifted`, `TargetLeaving`, `TargetReturned`, `peer_messages.Change`,
`peer_messages.WholeConfiguration` (bytes as given to `publish_change` and
`adopt_whole`) and `membership.MajorityHeardChanged`. The receiver applies a
change only if its base is in force, and calls `adopt_whole` after every
adoption; the same change may be delivered more than once. The gossip state
answers requests of peers from the changes and the document passed to
`publish_change` and `adopt_whole`.

The actor is the polling thread itself and not a pykka actor: with a second
thread, each batch would wake that thread and each reply the polling thread.
"""

from concurrent import futures
import contextlib
import logging
import queue
import random
import secrets
import time
import typing
import zlib

from persimmonspan import errors
from persimmonspan.connection import peer
from persimmonspan.connection import peer_keys
from persimmonspan.connection import peer_messages
from persimmonspan.process import gossip
from persimmonspan.process import gossip_state
from persimmonspan.process import membership
from persimmonspan.process import settings
from persimmonspan.request import events

_SEED_BITS = 64

_logger = logging.getLogger(__name__)

Deliver = typing.Callable[[typing.Any], None]
CountReason = typing.Callable[[str], None]


class MemberStatus(typing.NamedTuple):
    """State of another daemon, for operators."""

    identity: membership.Identity
    heard_age_s: float
    revision: int
    store_age_s: float
    is_draining: bool


class Status(typing.NamedTuple):
    """Members that one daemon recorded, and its traffic."""

    own: membership.Identity
    revision: int
    is_majority_heard: bool
    heard: int
    registered: int
    links: int
    members: tuple[MemberStatus, ...]
    traffic: peer.Traffic


class PeerActor:
    """Runs `gossip.step` on the polling thread and carries out its commands."""

    def __init__(self, own: membership.Identity, keys: peer_keys.KeyPair,
                 public_keys: dict[str, str], deliver: Deliver,
                 count: CountReason, gossip_options: gossip_state.Options,
                 is_blocked: typing.Callable[[str], bool]) -> None:
        self._state = gossip.make_state(own, gossip_options)
        self._rng = random.Random(secrets.randbits(_SEED_BITS))
        self._deliver = deliver
        self._count = count
        self._inbox: queue.SimpleQueue[gossip_state.Event |
                                       futures.Future[Status]] = (
                                           queue.SimpleQueue())
        self._links = peer.Links(own.address, keys, public_keys,
                                 self._handle_batch, count, is_blocked)
        self._links.start()

    def tell(self,
             message: gossip_state.Event | futures.Future[Status],
             is_urgent: bool = True) -> None:
        """Queues an event, or a future that receives the status.

        Args:
            message: The event or the future.
            is_urgent: Whether to wake the polling thread; otherwise the message
                is processed with the next batch or tick.
        """
        self._inbox.put(message)
        if is_urgent:
            self._links.wake()

    def stop(self) -> None:
        """Closes the links and ends the thread."""
        self._links.stop()

    def _handle_batch(self, batch: peer.Batch) -> list[peer.LinkCommand]:
        outgoing: list[peer.LinkCommand] = []
        with contextlib.suppress(queue.Empty):
            while True:
                message = self._inbox.get_nowait()
                if isinstance(message, futures.Future):
                    message.set_result(self._make_status())
                else:
                    outgoing += self._apply_event(message)
        for received in batch.received:
            outgoing += self._apply_event(received)
        if batch.is_tick:
            outgoing += self._apply_event(gossip_state.Tick())
        return outgoing

    def _apply_event(self, event: gossip_state.Event) -> list[peer.LinkCommand]:
        self._state, commands = gossip.step(self._state, event,
                                            time.monotonic(), self._rng)
        outgoing: list[peer.LinkCommand] = []
        for command in commands:
            if isinstance(command, gossip_state.Deliver):
                self._deliver(_decompress_document(command.event))
            elif isinstance(command, gossip_state.Count):
                self._count(command.reason)
            else:
                outgoing.append(command)
        return outgoing

    def _make_status(self) -> Status:
        now_s = time.monotonic()
        state = self._state
        heard, registered = membership.count_heard_daemons(state.members, now_s)
        return Status(
            state.members.own, state.revision, state.members.is_majority_heard,
            heard, registered,
            sum(1 for link in state.links.values() if now_s -
                link.last_received_s <= state.options.link_silence_timeout_s),
            tuple(
                MemberStatus(item.identity, now_s - item.last_evidence_s,
                             item.revision, item.store_age_s, item.is_draining)
                for item in state.members.members.values()),
            self._links.traffic)


def _decompress_document(event: typing.Any) -> typing.Any:
    if isinstance(event, peer_messages.WholeConfiguration):
        return event._replace(document=zlib.decompress(event.document))
    return event


class Peers:
    """Handle of the actor."""

    def __init__(self, actor: PeerActor) -> None:
        self._actor = actor

    def set_listed_vms(self, vms: tuple[membership.Identity, ...]) -> None:
        """Sets the identities of all VMs in the VM list."""
        self._actor.tell(membership.VmsListed(vms))

    def set_member_rows(self, rows: tuple[membership.Identity, ...]) -> None:
        """Sets the identities of all daemons with a `member/` row."""
        self._actor.tell(membership.RowsRead(rows))

    def record_store_read(self) -> None:
        """Records that the configuration head was read now."""
        self._actor.tell(gossip_state.StoreRead(), is_urgent=False)

    def publish_loads(self, loads: tuple[events.TargetLoad, ...]) -> None:
        """Shares the outstanding load of this daemon on all targets."""
        self._actor.tell(gossip_state.LoadsPublished(loads), is_urgent=False)

    def publish_quarantine(self, command: events.ShareQuarantine) -> None:
        """Shares a quarantine; `crashes` 0 lifts it."""
        self._actor.tell(
            gossip_state.FactPublished(
                peer_messages.Quarantine(command.fingerprint,
                                         command.crashes,
                                         command.ttl_s,
                                         crashes_alone=command.crashes_alone,
                                         requests=command.requests,
                                         is_refused=command.is_refused)))

    def publish_leaving(self, target: str) -> None:
        """Shares that a target is leaving."""
        self._actor.tell(
            gossip_state.FactPublished(peer_messages.LeavingNotice(target)))

    def publish_returned(self, target: str) -> None:
        """Shares that a target accepts new requests again."""
        self._actor.tell(
            gossip_state.FactPublished(
                peer_messages.LeavingNotice(target, is_leaving=False)))

    def publish_change(self, change: peer_messages.Change) -> None:
        """Shares a change of the configuration."""
        self._actor.tell(gossip_state.ChangePublished(change))

    def adopt_whole(self, whole: peer_messages.WholeConfiguration) -> None:
        """Records the revision in force here, with its document."""
        # Compression reduces a document of 2,300 replicas to about a tenth.
        packed = whole._replace(document=zlib.compress(whole.document))
        self._actor.tell(gossip_state.WholeAdopted(packed))

    def drain(self) -> None:
        """Informs peers that this daemon is draining."""
        self._actor.tell(gossip_state.DrainStarted())

    def status(self, timeout_s: float = 1.0) -> Status:
        """Returns members and traffic.

        Raises:
            TimeoutError: The polling thread did not respond in time.
        """
        answer: futures.Future[Status] = futures.Future()
        self._actor.tell(answer)
        return answer.result(timeout_s)

    def identity(self, timeout_s: float = 1.0) -> membership.Identity:
        """Returns the own identity, for the `member/` row."""
        return self.status(timeout_s).own

    def stop(self) -> None:
        """Closes all links."""
        self._actor.stop()


def start(
    options: settings.Settings,
    incarnation: int,
    deliver: Deliver,
    count: CountReason,
    gossip_options: gossip_state.Options = gossip_state.Options(),
    is_blocked: typing.Callable[[str],
                                bool] = lambda peer_name: False) -> Peers:
    """Starts the links to the other daemons.

    Args:
        options: Settings with peer address and key files.
        incarnation: Number above that of earlier runs, such as the wall clock
            in milliseconds; peers raise a number that is too low.
        deliver: Receives events, on the polling thread.
        count: Increments the counter of a reason.
        gossip_options: Intervals and budget.
        is_blocked: Whether to drop messages to and from a peer, for tests.

    Raises:
        errors.ConfigurationError: A setting is missing, a file is not valid, or
            the key file does not match the name and public key of this daemon.
    """
    if (options.peer_address is None or options.peer_key_file is None or
            options.peer_public_keys_file is None):
        raise errors.ConfigurationError(
            errors.Code.BAD_REQUEST, "--peer-address, --peer-key-file and "
            "--peer-public-keys-file must be set together")
    keys = peer_keys.read_key_pair(options.peer_key_file)
    public_keys = peer_keys.read_public_keys(options.peer_public_keys_file)
    if keys.daemon != options.name or public_keys.get(
            options.name) != keys.public_key:
        raise errors.ConfigurationError(
            errors.Code.BAD_REQUEST,
            f'{options.peer_key_file}: not the key of "{options.name}" in '
            f"{options.peer_public_keys_file}")
    own = membership.Identity(options.name, incarnation, options.failure_domain,
                              options.region, options.peer_address)
    _logger.info("started the links to other daemons",
                 extra={
                     "address": options.peer_address,
                     "known_keys": len(public_keys)
                 })
    return Peers(
        PeerActor(own, keys, public_keys, deliver, count, gossip_options,
                  is_blocked))
