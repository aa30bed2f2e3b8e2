"""Conditional commit of a configuration revision.

A commit reads the head, merges the operator's document with what has been
accepted since its base revision, checks the result, stores the whole document
under a name of its own, and then writes three rows in one transaction that
holds only if the head has not moved: the head with the next revision, the
difference, and the audit row. `config/change/<revision>` is inserted once and
never written again, and it carries the id of the commit; hence it settles a
commit whose answer was lost, however often the head has moved since.

`step` handles one commit from `Begin` to `Done`. See the classes of events and
commands; the runner is `persimmonspan.process.configuration_actor`.

>>> change = Change("c1", 0, {"inventory": {}, "rules": {}}, "ana", "start")
>>> step(State(change), Begin(is_majority_heard=False), 0.0)[1][0].status.value
'refused'
"""

import enum
import functools
import random
import typing

import msgspec

from persimmonspan.version import check
from persimmonspan.version import difference

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/change/"
AUDIT_PREFIX = "audit/"
_MAX_ATTEMPTS = 8
_MAX_RETRIES_IN_DOUBT = 4
_RETRY_S = 0.5
_NO_MAJORITY = "this daemon does not hear from a majority of the daemons"
_EMPTY: difference.Json = {}


class HeadDocument(typing.TypedDict):
    """Value of `config/head`."""

    revision: int
    document_name: str
    commit_id: str


class ChangeDocument(typing.TypedDict):
    """Value of `config/change/<revision>`."""

    revision: int
    base_revision: int
    document_name: str
    commit_id: str
    edits: list[difference.Edit]


class AuditDocument(typing.TypedDict):
    """Value of `audit/<revision>`; `at_s` is wall time."""

    revision: int
    base_revision: int
    operator: str
    reason: str
    at_s: float
    commit_id: str


class Change(typing.NamedTuple):
    """An operator's document.

    Attributes:
        commit_id: Unique id of this commit.
        base_revision: Revision that the operator started from.
        document: Whole new document, with `inventory` and `rules`.
        operator: Who changes it.
        reason: Why.
        is_dry_run: Whether to stop before anything is written.
        at_s: Wall time, for the audit row.
    """

    commit_id: str
    base_revision: int
    document: difference.Json
    operator: str
    reason: str
    is_dry_run: bool = False
    at_s: float = 0.0


class Head(typing.NamedTuple):
    """The head as read; version 0 means that there is none."""

    version: int = 0
    revision: int = 0
    document_name: str = ""


class Status(enum.StrEnum):
    """How a commit ended."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    DRY_RUN = "dry_run"
    CONFLICT = "conflict"
    INVALID = "invalid"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Begin(typing.NamedTuple):
    """The commit starts."""

    is_majority_heard: bool


class HeadRead(typing.NamedTuple):
    """The head was read."""

    head: Head


class Fetched(typing.NamedTuple):
    """The document of a revision was fetched."""

    revision: int
    document: difference.Json


class Failed(typing.NamedTuple):
    """A read, a fetch or the storing of the document failed."""

    message: str


class Stored(typing.NamedTuple):
    """The whole document is in the object store."""

    is_majority_heard: bool


class TransactEnded(typing.NamedTuple):
    """The transaction ended.

    Attributes:
        is_applied: True, False, or None if it is not known.
        is_conflict: Whether a check failed.
        winner: Id of the commit that holds the revision, if known.
    """

    is_applied: bool | None
    is_conflict: bool = False
    winner: str | None = None


class ReadHead(typing.NamedTuple):
    """Read the head."""


class Fetch(typing.NamedTuple):
    """Fetch the document of a revision."""

    revision: int


class Store(typing.NamedTuple):
    """Put the whole document into the object store."""

    name: str
    document: difference.Json


class Transact(typing.NamedTuple):
    """Write head, change and audit row if the head has this version."""

    head_version: int
    head: HeadDocument
    change: ChangeDocument
    audit: AuditDocument
    delay_s: float = 0.0


class Done(typing.NamedTuple):
    """The commit ended; `edits` lead from the accepted base to `revision`."""

    status: Status
    revision: int = 0
    base_revision: int = 0
    edits: tuple[difference.Edit, ...] = ()
    messages: tuple[str, ...] = ()


Event = Begin | HeadRead | Fetched | Failed | Stored | TransactEnded
Command = ReadHead | Fetch | Store | Transact | Done


class State(typing.NamedTuple):
    """State of one commit.

    Attributes:
        change: What the operator wants.
        head: Head as last read.
        base: Document of the base revision, once fetched.
        merged: Document to commit.
        edits: Difference from the head to `merged`.
        transact: Transaction that was sent last.
        attempts: Number of heads read.
        doubts: Retries since the transaction became unknown.
        is_done: Whether the commit ended.
    """

    change: Change
    head: Head = Head()
    base: difference.Json = None
    merged: difference.Json = None
    edits: tuple[difference.Edit, ...] = ()
    transact: Transact | None = None
    attempts: int = 0
    doubts: int = 0
    is_done: bool = False


Result = tuple[State, list[Command]]


def step(state: State,
         event: Event,
         now_s: float,
         rng: random.Random | None = None) -> Result:
    """Returns the next state and commands."""
    del now_s
    if state.is_done:
        return state, []
    if isinstance(event, TransactEnded) and rng is not None:
        return _transact_ended(state, event, _RETRY_S * rng.uniform(0.5, 1.5))
    return _step(event, state)


def change_key(revision: int) -> str:
    """Returns the key of a change; keys sort by revision.

    >>> change_key(7)
    'config/change/000000000007'
    """
    return f"{CHANGE_PREFIX}{revision:012d}"


def audit_key(revision: int) -> str:
    """Returns the key of the audit row of a revision."""
    return f"{AUDIT_PREFIX}{revision:012d}"


_head_decoder = msgspec.json.Decoder(HeadDocument)


def decode_head(version: int, value: str) -> Head:
    """Returns the head from its row."""
    if not version:
        return Head()
    document = _head_decoder.decode(value)
    return Head(version, document["revision"], document["document_name"])


@functools.singledispatch
def _step(event: object, state: State) -> Result:
    del event
    return state, []


@_step.register
def _(event: Begin, state: State) -> Result:
    if not event.is_majority_heard and not state.change.is_dry_run:
        return _done(state, Status.REFUSED, _NO_MAJORITY)
    return _read_head(state)


@_step.register
def _(event: HeadRead, state: State) -> Result:
    base_revision = state.change.base_revision
    if base_revision > event.head.revision:
        return _done(
            state, Status.CONFLICT,
            f"base revision {base_revision} is higher than the accepted "
            f"revision {event.head.revision}")
    state = state._replace(head=event.head)
    if base_revision == 0:
        state = state._replace(base=_EMPTY)
    if state.base is None:
        return state, [Fetch(base_revision)]
    if event.head.revision == base_revision:
        return _merge(state, state.base)
    return state, [Fetch(event.head.revision)]


@_step.register
def _(event: Fetched, state: State) -> Result:
    if state.base is None and event.revision == state.change.base_revision:
        state = state._replace(base=event.document)
        if event.revision != state.head.revision:
            return state, [Fetch(state.head.revision)]
    return _merge(state, event.document)


@_step.register
def _(event: Failed, state: State) -> Result:
    return _done(state, Status.REFUSED, event.message)


@_step.register
def _(event: Stored, state: State) -> Result:
    if not event.is_majority_heard:
        return _done(state, Status.REFUSED, _NO_MAJORITY)
    assert state.transact is not None
    return state, [state.transact]


@_step.register
def _(event: TransactEnded, state: State) -> Result:
    return _transact_ended(state, event, _RETRY_S)


def _transact_ended(state: State, event: TransactEnded,
                    delay_s: float) -> Result:
    assert state.transact is not None
    if event.is_applied or event.winner == state.change.commit_id:
        return state._replace(is_done=True), [
            Done(Status.ACCEPTED, state.transact.head["revision"],
                 state.head.revision, state.edits)
        ]
    is_refuted = event.winner is not None or (event.is_applied is False and
                                              not state.doubts)
    if event.is_conflict and is_refuted:
        return _read_head(state._replace(doubts=0))
    if is_refuted:
        return _done(state, Status.REFUSED, "the store did not take the change")
    if state.doubts < _MAX_RETRIES_IN_DOUBT:
        # The checks let a repeat take effect only if the first one did not.
        return state._replace(doubts=state.doubts +
                              1), [state.transact._replace(delay_s=delay_s)]
    return _done(
        state, Status.UNKNOWN,
        f"revision {state.transact.head['revision']} may have been accepted; "
        "compare the accepted revision before trying again")


def _read_head(state: State) -> Result:
    if state.attempts == _MAX_ATTEMPTS:
        return _done(state, Status.CONFLICT,
                     f"other operators were faster {_MAX_ATTEMPTS} times")
    return state._replace(attempts=state.attempts + 1), [ReadHead()]


def _merge(state: State, accepted: difference.Json) -> Result:
    change = state.change
    try:
        merged = (change.document if change.base_revision == state.head.revision
                  else difference.merge(state.base, change.document, accepted))
    except difference.MergeConflictError as error:
        return _done(state, Status.CONFLICT, *map(str, error.conflicts))
    problems = check.check_documents(merged.get("inventory"),
                                     merged.get("rules"))
    if problems:
        return _done(state, Status.INVALID, *map(str, problems))
    edits = tuple(difference.compute_edits(accepted, merged))
    state = state._replace(merged=merged, edits=edits)
    if change.is_dry_run or not edits:
        status = Status.DRY_RUN if change.is_dry_run else Status.UNCHANGED
        return state._replace(is_done=True), [
            Done(status, state.head.revision, state.head.revision, edits)
        ]
    transact = _transact(state)
    return state._replace(transact=transact), [
        Store(transact.head["document_name"], merged)
    ]


def _transact(state: State) -> Transact:
    change, base = state.change, state.head.revision
    revision = base + 1
    name = f"config/{revision}-{change.commit_id}"
    return Transact(
        state.head.version,
        HeadDocument(revision=revision,
                     document_name=name,
                     commit_id=change.commit_id),
        ChangeDocument(revision=revision,
                       base_revision=base,
                       document_name=name,
                       commit_id=change.commit_id,
                       edits=list(state.edits)),
        AuditDocument(revision=revision,
                      base_revision=base,
                      operator=change.operator,
                      reason=change.reason,
                      at_s=change.at_s,
                      commit_id=change.commit_id))


def _done(state: State, status: Status, *messages: str) -> Result:
    return state._replace(is_done=True), [
        Done(status, state.head.revision, messages=messages)
    ]
