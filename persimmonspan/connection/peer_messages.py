"""Messages between daemons and their encoding.

A message is one byte for its kind, followed by its fields as a msgpack array,
so that a new field can be appended without breaking older daemons. Times are
durations: no daemon relies on the clock of another daemon.

>>> decode(encode(RevisionRequest(7)))
RevisionRequest(revision=7)

See Also:
    `persimmonspan.process.gossip`: decides which message is sent to which peer.
"""

import typing

import msgspec

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.request import events


class PeerMessageError(errors.PersimmonspanError):
    """A peer sent bytes that are not a message."""


class Hello(typing.NamedTuple):
    """Identity of a daemon, sent over a link until the peer responds."""

    daemon: str
    incarnation: int
    failure_domain: str
    region: str
    address: str
    revision: int = 0


class Summary(typing.NamedTuple):
    """State of a failure domain, summarized by one of its daemons.

    `members_hash` identifies the set of (daemon, incarnation) pairs that the
    reporter observes in its failure domain; a receiver that lacks the set
    requests it. `age_s` is the age of the oldest evidence for a member of the
    set; relaying daemons add the time for which they held the summary.
    """

    failure_domain: str
    reporter: str
    incarnation: int
    sequence: int
    age_s: float
    members_hash: int
    revision_min: int
    revision_max: int
    facts_hash: int
    draining: tuple[str, ...] = ()
    loads: tuple[events.TargetLoad, ...] = ()


class Digest(typing.NamedTuple):
    """Heartbeat with the state of the sending daemon."""

    daemon: str
    incarnation: int
    sequence: int
    revision: int
    store_age_s: float
    members_hash: int
    loads: tuple[events.TargetLoad, ...]
    draining: bool
    facts_hash: int = 0
    summaries: tuple[Summary, ...] = ()


class Change(typing.NamedTuple):
    """A configuration revision as a difference to its base."""

    revision: int
    base_revision: int
    difference: bytes


class RevisionRequest(typing.NamedTuple):
    """Requests the configuration that is newer than a revision."""

    revision: int


class WholeConfiguration(typing.NamedTuple):
    """A whole configuration document."""

    revision: int
    document: bytes


class Quarantine(typing.NamedTuple):
    """A fingerprint that crashed targets; `crashes` 0 lifts its quarantine.

    Of two messages about a fingerprint, the one with the higher version
    applies.
    """

    fingerprint: str
    crashes: int
    ttl_s: float
    version: int = 0
    crashes_alone: int = 0
    requests: tuple[str, ...] = ()
    is_refused: bool = False


class LeavingNotice(typing.NamedTuple):
    """A target is leaving, or accepts new work again.

    Of two notices about a target, the one with the higher version applies.
    """

    target: str
    ttl_s: float = 600.0
    version: int = 0
    is_leaving: bool = True


class MembersRequest(typing.NamedTuple):
    """Requests the members of a failure domain that a summary refers to.

    An empty failure domain requests the identity of the receiver.
    """

    failure_domain: str


class Members(typing.NamedTuple):
    """Identities of daemons that the sender knows."""

    members: tuple[Hello, ...]


Message = (Hello | Digest | Summary | Change | RevisionRequest |
           WholeConfiguration | Quarantine | LeavingNotice | MembersRequest |
           Members)

_TYPES = (Hello, Digest, Change, RevisionRequest, WholeConfiguration,
          Quarantine, LeavingNotice, Summary, MembersRequest, Members)
_KINDS = {message_type: kind for kind, message_type in enumerate(_TYPES)}
_encoder = msgspec.msgpack.Encoder()
_decoders = tuple(
    decoding.MsgpackDecoder(message_type) for message_type in _TYPES)


def encode(message: Message) -> bytes:
    """Returns the bytes of a message."""
    return bytes((_KINDS[type(message)],)) + _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message of the bytes.

    Raises:
        PeerMessageError: The bytes are not a message.
    """
    try:
        return _decoders[data[0]].decode(memoryview(data)[1:])
    except (IndexError, msgspec.DecodeError) as error:
        raise PeerMessageError(errors.Code.BAD_REQUEST,
                               f"not a peer message: {error}") from error
