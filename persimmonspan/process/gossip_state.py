"""State, events and commands of the gossip protocol."""

import math
import typing

import immutables

from persimmonspan.connection import peer_messages
from persimmonspan.process import gossip_facts
from persimmonspan.process import gossip_plan
from persimmonspan.process import membership
from persimmonspan.request import events


class Options(typing.NamedTuple):
    """Intervals, limits and byte budgets of gossip."""

    # Sent and received bytes together (design page, section 1.5).
    budget_bytes_per_s: float = 15_000.0
    # Systems of up to this many daemons are one full mesh.
    mesh_limit: int = 12
    mesh_round_s: float = 0.5
    round_s: float = 1.0
    # Two and a half rounds.
    link_silence_timeout_s: float = 2.5
    # If a peer that should dial this daemon has not done so for this time, this
    # daemon dials it.
    fallback_dial_delay_s: float = 2.0
    # Flooded copies of a change arrive within this time; an earlier request
    # would transfer the change twice.
    ask_grace_s: float = 0.3
    ask_timeout_s: float = 1.0
    wholes_per_s: float = 4.0
    # Number of changes kept for peers that request them; peers that miss older
    # ones receive the whole document.
    kept_changes: int = 32
    repair_interval_s: float = 3.0
    facts_per_repair: int = 64
    urgent_bytes_per_s: float = 20_000.0
    urgent_burst_bytes: float = 400_000.0


class Link(typing.NamedTuple):
    """A link to a peer, dialed by this daemon or accepted from the peer."""

    is_dialed: bool
    opened_s: float
    last_received_s: float = -math.inf
    reopen_backoff_s: float = 0.0
    last_repair_s: float = -math.inf
    address: str = ""
    last_wanted_s: float = -math.inf


class HeldSummary(typing.NamedTuple):
    """The last summary of a reporter, and when it was received."""

    summary: peer_messages.Summary
    received_s: float
    is_relay_due: bool  # Came from its reporter, not relayed yet.


class AskState(typing.NamedTuple):
    """Since when the daemon is behind, and when it last requested changes."""

    behind_since_s: float = math.inf
    asked_s: float = -math.inf


class Bucket(typing.NamedTuple):
    """Token bucket with its content at the time `filled_s`."""

    tokens: float
    filled_s: float


class State(typing.NamedTuple):
    """Gossip state of one daemon."""

    options: Options
    members: membership.State
    plan: gossip_plan.Plan
    sequence: int = 0
    # Hash of the identities on which mates should agree, as of the last round.
    identities_hash: int = 0
    next_round_s: float = -math.inf
    revision: int = 0
    whole: peer_messages.WholeConfiguration | None = None
    changes: immutables.Map[int, peer_messages.Change] = immutables.Map()
    store_read_s: float = -math.inf
    is_draining: bool = False
    loads: immutables.Map[str, events.TargetLoad] = immutables.Map()
    reported_loads: immutables.Map[str,
                                   gossip_plan.ReportedLoad] = immutables.Map()
    peer_loads: immutables.Map[str, immutables.Map[
        str, events.TargetLoad]] = immutables.Map()
    facts: gossip_facts.Facts = immutables.Map()
    links: immutables.Map[str, Link] = immutables.Map()
    summaries: immutables.Map[str, HeldSummary] = immutables.Map()
    rosters: immutables.Map[int, tuple[tuple[str, int], ...]] = immutables.Map()
    ask_state: AskState = AskState()
    document_bucket: Bucket = Bucket(4.0, 0.0)
    urgent_bucket: Bucket = Bucket(400_000.0, 0.0)


class MessageReceived(typing.NamedTuple):
    """A message arrived on the link of an authenticated peer."""

    peer: str
    message: peer_messages.Message


class LoadsPublished(typing.NamedTuple):
    """The own daemon published the loads of all its targets."""

    loads: tuple[events.TargetLoad, ...]


class FactPublished(typing.NamedTuple):
    """The own daemon quarantined, lifted, or saw a target leave or return."""

    message: gossip_facts.FactMessage


class ChangePublished(typing.NamedTuple):
    """The own daemon committed or found a change."""

    change: peer_messages.Change


class WholeAdopted(typing.NamedTuple):
    """The own daemon adopted this document, and can send it to peers."""

    whole: peer_messages.WholeConfiguration


class StoreRead(typing.NamedTuple):
    """The own daemon has just read the configuration head."""


class DrainStarted(typing.NamedTuple):
    """The own daemon started to drain."""


class Tick(typing.NamedTuple):
    """Time passed."""


class Send(typing.NamedTuple):
    """Send a message to each of these peers that has a link."""

    peers: tuple[str, ...]
    message: peer_messages.Message


class OpenLink(typing.NamedTuple):
    """Connect to a peer, closing an earlier connection."""

    peer: str
    address: str


class CloseLink(typing.NamedTuple):
    """Close the connection to a peer."""

    peer: str


class Deliver(typing.NamedTuple):
    """Hand an event to the rest of the daemon."""

    event: (events.PeerLoad | events.QuarantineShared |
            events.QuarantineLifted | events.TargetLeaving |
            events.TargetReturned | peer_messages.Change |
            peer_messages.WholeConfiguration | membership.MajorityHeardChanged)


class Count(typing.NamedTuple):
    """Increment the counter of an event."""

    reason: str


Event = (MessageReceived | LoadsPublished | FactPublished | ChangePublished |
         WholeAdopted | StoreRead | DrainStarted | Tick | membership.Event)
Command = Send | OpenLink | CloseLink | Deliver | Count
Result = tuple[State, list[Command]]


def take_tokens(bucket: Bucket, amount: float, rate_per_s: float, burst: float,
                now_s: float) -> tuple[Bucket, bool]:
    """Takes tokens from a bucket if it has enough.

    Returns:
        The refilled bucket, and whether the tokens were taken.
    """
    tokens = min(burst, bucket.tokens + (now_s - bucket.filled_s) * rate_per_s)
    if tokens < amount:
        return Bucket(tokens, now_s), False
    return Bucket(tokens - amount, now_s), True
