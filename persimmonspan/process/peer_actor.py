"""Actor that owns gossip and the links to the other daemons.

Interface for the rest of the daemon. `start(options, incarnation, deliver,
count)` returns a `Peers`; its methods may be called on any thread and do not
block, except `status` and `stop`:

| method | when |
|---|---|
| `seed_vms(identities)` | the VM list was read; incarnation 0 |
| `read_rows(identities)` | all `member/` rows were read |
| `store_read()` | the configuration head was read |
| `publish_loads(loads)` | what this daemon has outstanding, all targets |
| `publish_quarantine(fingerprint, crashes, ttl_s)` | `crashes` 0 lifts |
| `publish_leaving(target)` | a target was seen leaving |
| `publish_change(change)` | this daemon committed or found a revision |
| `adopt_whole(whole)` | any revision came into force here |
| `drain()` | a planned stop began |
| `status()`, `identity()` | for the administration API and the member row |

`deliver` is called on the actor's thread with `events.PeerLoad` (all loads of a
peer; empty when it died; `domain/<name>` for a sum), `QuarantineShared`,
`QuarantineLifted`, `TargetLeaving`, `peer_messages.Change`, `peer_messages.
Whole` (bytes as given to `publish_change` and `adopt_whole`) and `membership.
MajorityHeard`. The receiver applies a change only if its base is in force, and
calls `adopt_whole` after every adoption; questions of peers are answered here
from what `publish_change` and `adopt_whole` gave.
"""

import logging
import random
import secrets
import time
import typing

import pykka

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
    """A daemon as an operator sees it."""

    identity: membership.Identity
    heard_age_s: float
    revision: int
    store_age_s: float
    is_draining: bool


class Status(typing.NamedTuple):
    """Members and traffic of one daemon."""

    own: membership.Identity
    revision: int
    is_majority_heard: bool
    heard: int
    registered: int
    links: int
    members: tuple[MemberStatus, ...]
    traffic: peer.Traffic


class _StatusAsked(typing.NamedTuple):
    """Asks for the status."""


class PeerActor(pykka.ThreadingActor):
    """Runs `gossip.step` and carries out its commands."""

    use_daemon_thread = True

    def __init__(self, own: membership.Identity, keys: peer_keys.KeyPair,
                 public_keys: dict[str, str], deliver: Deliver,
                 count: CountReason, gossip_options: gossip_state.Options,
                 is_blocked: typing.Callable[[str], bool]) -> None:
        super().__init__()
        self._state = gossip.make_state(own, gossip_options)
        self._rng = random.Random(secrets.randbits(_SEED_BITS))
        self._deliver = deliver
        self._count = count
        self._links = peer.Links(own.address, keys, public_keys,
                                 self._deliver_batch, count, is_blocked)

    def on_start(self) -> None:
        """Starts the links."""
        self._links.start()

    def on_stop(self) -> None:
        """Closes the links."""
        self._links.stop()

    def on_receive(self, message: typing.Any) -> typing.Any:
        """Applies a batch, an event or a question for the status."""
        if isinstance(message, _StatusAsked):
            return self._status()
        if not isinstance(message, peer.Batch):
            self._carry_out(self._apply(message))
            return None
        commands: list[gossip_state.Command] = []
        for received in message.received:
            commands += self._apply(received)
        if message.is_tick:
            commands += self._apply(gossip_state.Tick())
        self._carry_out(commands)
        return None

    def _apply(self, event: gossip_state.Event) -> list[gossip_state.Command]:
        self._state, commands = gossip.step(self._state, event,
                                            time.monotonic(), self._rng)
        return commands

    def _carry_out(self, commands: list[gossip_state.Command]) -> None:
        outgoing: list[gossip_state.Send | gossip_state.Open |
                       gossip_state.Close] = []
        for command in commands:
            if isinstance(command, gossip_state.Deliver):
                self._deliver(command.event)
            elif isinstance(command, gossip_state.Count):
                self._count(command.reason)
            else:
                outgoing.append(command)
        self._links.carry_out(outgoing)

    def _deliver_batch(self, batch: peer.Batch) -> None:
        try:
            self.actor_ref.tell(batch)
        except pykka.ActorDeadError:
            pass  # The actor stops and is about to close the links.

    def _status(self) -> Status:
        now_s = time.monotonic()
        state = self._state
        heard, registered = membership.count_heard(state.members, now_s)
        return Status(
            state.members.own, state.revision, state.members.is_majority_heard,
            heard, registered,
            sum(1 for link in state.links.values()
                if now_s - link.heard_s <= state.options.link_silent_s),
            tuple(
                MemberStatus(item.identity, now_s - item.heard_s, item.revision,
                             item.store_age_s, item.is_draining)
                for item in state.members.members.values()),
            self._links.traffic)


class Peers:
    """Handle of the actor."""

    def __init__(self, actor: pykka.ActorRef) -> None:
        self._actor = actor

    def seed_vms(self, vms: tuple[membership.Identity, ...]) -> None:
        """Tells which VMs the VM list names."""
        self._actor.tell(membership.VmsListed(vms))

    def read_rows(self, rows: tuple[membership.Identity, ...]) -> None:
        """Tells which daemons have a `member/` row."""
        self._actor.tell(membership.RowsRead(rows))

    def store_read(self) -> None:
        """Tells that the configuration head was read now."""
        self._actor.tell(gossip_state.StoreRead())

    def publish_loads(self, loads: tuple[events.TargetLoad, ...]) -> None:
        """Tells what this daemon has outstanding on all targets."""
        self._actor.tell(gossip_state.LoadsPublished(loads))

    def publish_quarantine(self, fingerprint: str, crashes: int,
                           ttl_s: float) -> None:
        """Shares a quarantine; `crashes` 0 lifts it."""
        self._actor.tell(
            gossip_state.FactPublished(
                peer_messages.Quarantine(fingerprint, crashes, ttl_s)))

    def publish_leaving(self, target: str) -> None:
        """Shares that a target leaves."""
        self._actor.tell(
            gossip_state.FactPublished(peer_messages.Leaving(target)))

    def publish_change(self, change: peer_messages.Change) -> None:
        """Shares a change."""
        self._actor.tell(gossip_state.ChangePublished(change))

    def adopt_whole(self, whole: peer_messages.Whole) -> None:
        """Tells which revision is in force here, with its document."""
        self._actor.tell(gossip_state.WholeAdopted(whole))

    def drain(self) -> None:
        """Tells peers that this daemon drains."""
        self._actor.tell(gossip_state.DrainStarted())

    def status(self, timeout_s: float = 1.0) -> Status:
        """Returns members and traffic.

        Raises:
            pykka.Timeout: The actor did not answer in time.
        """
        return self._actor.ask(_StatusAsked(), timeout=timeout_s)

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
            in milliseconds; a number that is too low is raised by the peers.
        deliver: Receives events, on the actor's thread.
        count: Raises a counter.
        gossip_options: Intervals and budget.
        is_blocked: Cuts links, for tests.

    Raises:
        errors.ConfigurationError: A setting is missing, a file is not valid, or
            the key file belongs to another daemon.
    """
    if (options.peer_address is None or options.peer_key_file is None or
            options.peer_public_keys_file is None):
        raise errors.ConfigurationError(
            errors.Code.BAD_REQUEST, "--peer-address, --peer-key-file and "
            "--peer-public-keys-file go together")
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
    _logger.info("links to other daemons open",
                 extra={
                     "address": options.peer_address,
                     "known_keys": len(public_keys)
                 })
    return Peers(
        PeerActor.start(own, keys, public_keys, deliver, count, gossip_options,
                        is_blocked))
