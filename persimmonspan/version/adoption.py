"""Which revision a daemon adopts, and whether it may serve.

A daemon adopts only revisions higher than its current one. A change that does
not start from the current revision leaves a gap. The daemon then requests the
whole document from its peers, and also from the object store if the head named
the object.

A daemon may serve if it holds the highest revision that was reported to it and
either has read the head within `FRESHNESS_TIMEOUT_S` or receives digests from a
majority of the registered daemons. The age of a read counts from when it was
sent. When a higher revision is reported, the daemon may continue to serve for
`FRESHNESS_TIMEOUT_S` while it obtains that revision. A withdrawn daemon rejoins
only with the highest revision. `MajorityChecked` carries the highest revision
in the received digests, so a daemon that starts during a store outage learns
that revision before it serves.

A head that was read after the revision in force was adopted and is lower shows
that the store has lost that revision: it has returned from an older copy. Each
daemon then writes the revision back (`Restore`); the head decides which of them
succeeds.

Events: `HeadRead`, `HeadUnavailable`, `ChangeReceived`, `DocumentReceived`,
`MajorityChecked`, `Tick`. Commands: `RequestFromPeers`, `FetchFromStore` (from
the object store), `Adopt`, `Withdraw`, `Rejoin`, `Restore`.

>>> state, commands = step(State(), DocumentReceived(4, {"rules": {}}), 1.0)
>>> state, commands = step(state, MajorityChecked(True, 4), 1.0)
>>> commands, state.revision
([Rejoin(revision=4)], 4)
"""

import functools
import random
import typing

from persimmonspan import errors
from persimmonspan.version import difference

FRESHNESS_TIMEOUT_S = 3.0
_REQUEST_INTERVAL_S = 0.5
_RESTORE_INTERVAL_S = 3.0


class HeadRead(typing.NamedTuple):
    """The head was read; the read was sent at `sent_s`."""

    revision: int
    document_name: str
    sent_s: float


class HeadUnavailable(typing.NamedTuple):
    """The head could not be read."""


class ChangeReceived(typing.NamedTuple):
    """A peer or a commit of this daemon supplied a change."""

    revision: int
    base_revision: int
    edits: tuple[difference.Edit, ...]


class DocumentReceived(typing.NamedTuple):
    """A peer or the object store supplied a whole document."""

    revision: int
    document: difference.Json


class MajorityChecked(typing.NamedTuple):
    """Whether a majority is reachable, and the highest revision among peers."""

    is_heard: bool
    highest_revision: int = 0


class Tick(typing.NamedTuple):
    """Time passed."""


class RequestFromPeers(typing.NamedTuple):
    """Request the whole document of at least this revision from peers."""

    revision: int


class FetchFromStore(typing.NamedTuple):
    """Fetch a whole document from the object store."""

    revision: int
    document_name: str


class Adopt(typing.NamedTuple):
    """Put a document in force; `change` is None for a whole document."""

    revision: int
    document: difference.Json
    change: ChangeReceived | None


class Withdraw(typing.NamedTuple):
    """Accept no new work."""


class Rejoin(typing.NamedTuple):
    """Accept new work."""

    revision: int


class Restore(typing.NamedTuple):
    """Write back the revision in force, unless the head has it again."""

    revision: int
    document: difference.Json


Event = (HeadRead | HeadUnavailable | ChangeReceived | DocumentReceived |
         MajorityChecked | Tick)
Command = (RequestFromPeers | FetchFromStore | Adopt | Withdraw | Rejoin |
           Restore)


class State(typing.NamedTuple):
    """Adoption state of a daemon.

    Attributes:
        revision: Revision in force here, or 0 if there is none.
        document: Document of `revision`.
        highest_revision: Highest revision reported by any source.
        outdated_since_s: When `revision` was first found to be outdated.
        head_name: Object with the document of `highest_revision`, or empty if
            the head did not name it.
        head_read_s: When the last successful read of the head was sent.
        is_majority_heard: Whether a majority of the daemons is reachable.
        is_serving: Whether the daemon accepts new work.
        requested_s: When the whole document was last requested.
        adopted_s: When `revision` was adopted.
        restored_s: When `revision` was last to be written back.
    """

    revision: int = 0
    document: difference.Json = None
    highest_revision: int = 0
    outdated_since_s: float = 0.0
    head_name: str = ""
    head_read_s: float = float("-inf")
    is_majority_heard: bool = False
    is_serving: bool = False
    requested_s: float = float("-inf")
    adopted_s: float = float("-inf")
    restored_s: float = float("-inf")


Result = tuple[State, list[Command]]


def step(state: State,
         event: Event,
         now_s: float,
         rng: random.Random | None = None) -> Result:
    """Returns the next state and commands."""
    del rng  # No transition is random.
    state, commands = _step(event, state, now_s)
    state, serving_commands = _update_serving(state, now_s)
    return state, commands + serving_commands


def is_current(state: State, now_s: float) -> bool:
    """Returns whether a recent head read or a majority confirms the state."""
    return (now_s - state.head_read_s <= FRESHNESS_TIMEOUT_S or
            state.is_majority_heard)


@functools.singledispatch
def _step(event: object, state: State, now_s: float) -> Result:
    """Handles `Tick` and `HeadUnavailable`, which carry no revision."""
    del event
    return _request_document(state, now_s)


@_step.register
def _(event: HeadRead, state: State, now_s: float) -> Result:
    if event.revision < state.revision and event.sent_s > state.adopted_s:
        # The store has no revision above the one in force.
        state = state._replace(head_read_s=max(state.head_read_s, event.sent_s))
        if now_s - state.restored_s < _RESTORE_INTERVAL_S:
            return state, []
        return state._replace(restored_s=now_s), [
            Restore(state.revision, state.document)
        ]
    if event.revision < state.highest_revision:
        # The read is late: a higher revision was accepted after it.
        return state, []
    name = (event.document_name
            if event.revision >= state.highest_revision else state.head_name)
    state = _record_highest_revision(state, event.revision, now_s)
    state = state._replace(head_read_s=max(state.head_read_s, event.sent_s),
                           head_name=name)
    return _request_document(state, now_s)


@_step.register
def _(event: ChangeReceived, state: State, now_s: float) -> Result:
    if event.revision <= state.revision:
        return state, []
    state = _record_highest_revision(state, event.revision, now_s)
    if event.base_revision == state.revision:
        base = state.document if state.revision else {}
        try:
            document = difference.apply(base, list(event.edits))
        except errors.ConfigurationError:
            return _request_document(state, now_s)
        return _adopt(state, event.revision, document, event, now_s)
    return _request_document(state, now_s)


@_step.register
def _(event: DocumentReceived, state: State, now_s: float) -> Result:
    if event.revision <= state.revision:
        return state, []
    state = _record_highest_revision(state, event.revision, now_s)
    return _adopt(state, event.revision, event.document, None, now_s)


@_step.register
def _(event: MajorityChecked, state: State, now_s: float) -> Result:
    state = _record_highest_revision(state, event.highest_revision, now_s)
    return _request_document(state._replace(is_majority_heard=event.is_heard),
                             now_s)


def _record_highest_revision(state: State, revision: int,
                             now_s: float) -> State:
    if revision <= state.highest_revision:
        return state
    outdated_since_s = (now_s if state.highest_revision == state.revision else
                        state.outdated_since_s)
    return state._replace(highest_revision=revision,
                          outdated_since_s=outdated_since_s,
                          head_name="",
                          requested_s=float("-inf"))


def _request_document(state: State, now_s: float) -> Result:
    """Requests the highest revision, at most once per request interval."""
    if (state.highest_revision <= state.revision or
            now_s - state.requested_s < _REQUEST_INTERVAL_S):
        return state, []
    commands: list[Command] = [RequestFromPeers(state.highest_revision)]
    if state.head_name:
        commands.insert(0,
                        FetchFromStore(state.highest_revision, state.head_name))
    return state._replace(requested_s=now_s), commands


def _adopt(state: State, revision: int, document: difference.Json,
           change: ChangeReceived | None, now_s: float) -> Result:
    return state._replace(revision=revision, document=document,
                          adopted_s=now_s), [Adopt(revision, document, change)]


def _update_serving(state: State, now_s: float) -> Result:
    is_highest = state.revision > 0 and state.revision >= state.highest_revision
    may_keep_serving = (is_highest or
                        now_s - state.outdated_since_s <= FRESHNESS_TIMEOUT_S)
    if state.is_serving:
        if is_current(state, now_s) and may_keep_serving:
            return state, []
        return state._replace(is_serving=False), [Withdraw()]
    if is_current(state, now_s) and is_highest:
        return state._replace(is_serving=True), [Rejoin(state.revision)]
    return state, []
