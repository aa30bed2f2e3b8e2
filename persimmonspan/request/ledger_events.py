"""Rows, events and commands of the ledger.

All values are immutable. A row of the table holds a `RowDocument` as JSON.
Times named `*_s` are monotonic seconds unless stated otherwise.

See Also:
    `persimmonspan.request.ledger`: the transitions.
"""

import enum
import typing

import msgspec

from persimmonspan import decoding
from persimmonspan import errors

PREFIX = "ledger/"


class RowState(enum.StrEnum):
    """State of a ledger row."""

    CLAIMED = "claimed"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Response(typing.NamedTuple):
    """The response of a plain service as sent to callers."""

    status: int
    content_type: str
    body: bytes


class RowDocument(typing.TypedDict):
    """Value of a ledger row; `claimed_at_s` is wall time, for operators."""

    state: str
    attempt: str
    daemon: str
    incarnation: str
    digest: str
    claimed_at_s: float
    answer: Response | None
    note: str


class Row(typing.NamedTuple):
    """A ledger row as read; `document` is None if the row is absent."""

    version: int
    document: RowDocument | None


class Holder(typing.NamedTuple):
    """The process that makes an attempt."""

    daemon: str
    incarnation: str


class Call(typing.NamedTuple):
    """One attempt to run a non-idempotent call.

    Attributes:
        key: Row key, from workspace and idempotency key.
        digest: Digest of the request, in hex.
        attempt: Id of this attempt, which is never reused.
        holder: This process.
        deadline_s: Monotonic time after which the call is not dispatched.
        claimed_at_s: Wall time, for operators only.
        abandoned: Attempts on the key that this process may have claimed, but
            will never dispatch.
        has_concurrent_attempt: Whether this process runs another attempt on
            the key.
        is_key_unique: Whether no other request has the key.
    """

    key: str
    digest: str
    attempt: str
    holder: Holder
    deadline_s: float
    claimed_at_s: float = 0.0
    abandoned: frozenset[str] = frozenset()
    has_concurrent_attempt: bool = False
    is_key_unique: bool = False


class Begin(typing.NamedTuple):
    """The call starts.

    Attributes:
        kept: A row of this process that the store may not have.
        is_settling: Whether rows may be missing, as the store has returned from
            an older copy; also in `WriteEnded` and `RowRead`.
    """

    kept: RowDocument | None = None
    is_settling: bool = False


class WriteEnded(typing.NamedTuple):
    """A `WriteRow` ended.

    Attributes:
        is_applied: Whether the row was written, or None if that is unknown.
        version: Version of the row if applied.
        conflict: The current row if its version was not the expected one.
    """

    is_applied: bool | None
    version: int = 0
    conflict: Row | None = None
    is_settling: bool = False


class RowRead(typing.NamedTuple):
    """A `ReadRow` succeeded; `is_holder_gone` if its holder has ended."""

    row: Row
    is_holder_gone: bool = False
    is_settling: bool = False


class ReadFailed(typing.NamedTuple):
    """A `ReadRow` failed."""


class DispatchExpired(typing.NamedTuple):
    """The last time for a dispatch passed, as after a pause."""


class TargetResponded(typing.NamedTuple):
    """The target responded to this call."""

    answer: Response


class TargetNotRun(typing.NamedTuple):
    """No byte was sent, or the target confirmed that it ran nothing."""

    message: str


class ResponseLost(typing.NamedTuple):
    """The call was sent, but no valid response was received."""

    message: str


class WriteRow(typing.NamedTuple):
    """Write the row if it has the expected version; 0 means absent."""

    key: str
    expected_version: int
    document: RowDocument


class ReadRow(typing.NamedTuple):
    """Read the row after a delay."""

    key: str
    delay_s: float


class Dispatch(typing.NamedTuple):
    """Send the call to the target once, unless `not_after_s` has passed."""

    attempt: str
    not_after_s: float


class Respond(typing.NamedTuple):
    """End the call with a response."""

    answer: Response


class Refuse(typing.NamedTuple):
    """End the call with an error."""

    code: errors.Code
    message: str
    run_state: errors.RunState
    retry_after_s: float | None = None


class KeepRow(typing.NamedTuple):
    """Write this row later; respond to repeats from it until then."""

    key: str
    document: RowDocument


class Count(typing.NamedTuple):
    """Increment the counter of a reason."""

    reason: str


Event = (Begin | WriteEnded | RowRead | ReadFailed | DispatchExpired |
         TargetResponded | TargetNotRun | ResponseLost)
Command = WriteRow | ReadRow | Dispatch | Respond | Refuse | KeepRow | Count


def encode(document: RowDocument) -> str:
    """Returns the value of a ledger row."""
    return msgspec.json.encode(document).decode()


_decoder = decoding.JsonDecoder(RowDocument)


def decode(version: int, value: str) -> Row:
    """Returns a row from its version and value."""
    return Row(version, _decoder.decode(value) if version else None)
