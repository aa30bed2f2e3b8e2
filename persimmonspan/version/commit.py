"""Conditional commit of a configuration revision.

A commit reads the head, merges the operator's document with the changes
accepted since its base revision, checks the result, and stores the whole
document under a unique name. It then writes three rows in one transaction that
applies only if the head has not changed: the head with the next revision, the
difference, and the audit row. `config/change/<revision>` is inserted once, is
never overwritten, and contains the id of the commit. It therefore decides the
outcome of a commit whose response was lost, however often the head has changed
since.

If the store has returned from an older copy, the head may be older than a
revision that was accepted. A daemon that knows such a revision commits nothing
until it is restored (`persimmonspan.version.restoration`). Since a revision may
be lost that no daemon knows any more, the first revision in a new era of the
store skips `_REVISION_GAP` numbers, so that no number is issued twice.

`step` handles one commit from `Begin` to `Done`.
`persimmonspan.process.configuration_actor` executes its commands.

>>> change = Change("c1", 0, {"inventory": {}, "rules": {}}, "ana", "start")
>>> step(State(change), Begin(is_majority_heard=False), 0.0)[1][0].status.value
'refused'
"""

import enum
import functools
import random
import typing

from persimmonspan import decoding
from persimmonspan.version import check
from persimmonspan.version import difference

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/change/"
AUDIT_PREFIX = "audit/"
_MAX_ATTEMPTS = 8
_MAX_UNKNOWN_RETRIES = 4
_RETRY_DELAY_S = 0.5
_REVISION_GAP = 1000
_NO_MAJORITY = "this daemon has no contact with a majority of the daemons"
_EMPTY: difference.Json = {}


class HeadDocument(typing.TypedDict):
    """Value of `config/head`; `era` is that of the store at the write."""

    revision: int
    document_name: str
    commit_id: str
    era: typing.NotRequired[int]


class ChangeDocument(typing.TypedDict):
    """Value of `config/change/<revision>`."""

    revision: int
    base_revision: int
    document_name: str
    commit_id: str
    edits: list[difference.Edit]


class AuditDocument(typing.TypedDict):
    """Value of `audit/<revision>`; `at_s` is wall-clock time."""

    revision: int
    base_revision: int
    operator: str
    reason: str
    at_s: float
    commit_id: str


class Change(typing.NamedTuple):
    """A configuration change that an operator requests.

    Attributes:
        commit_id: Unique id of this commit.
        base_revision: Revision that the operator edited.
        document: Whole new document, with `inventory` and `rules`.
        operator: Operator who requests the change.
        reason: Reason that the operator gives.
        is_dry_run: Whether to stop before anything is written.
        at_s: Wall-clock time for the audit row.
    """

    commit_id: str
    base_revision: int
    document: difference.Json
    operator: str
    reason: str
    is_dry_run: bool = False
    at_s: float = 0.0


class Head(typing.NamedTuple):
    """The head as read; version 0 means that the row does not exist."""

    version: int = 0
    revision: int = 0
    document_name: str = ""
    era: int = 0


class Status(enum.StrEnum):
    """Outcome of a commit."""

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
    """The head was read.

    Attributes:
        head: The head.
        known_revision: Highest revision that was known before the read.
        era: Era of the store.
    """

    head: Head
    known_revision: int = 0
    era: int = 0


class RevisionFetched(typing.NamedTuple):
    """The document of a revision was fetched."""

    revision: int
    document: difference.Json


class OperationFailed(typing.NamedTuple):
    """Reading the head, or fetching or storing a document, failed."""

    message: str


class ObjectStored(typing.NamedTuple):
    """The whole document is in the object store."""

    is_majority_heard: bool


class TransactEnded(typing.NamedTuple):
    """The transaction ended.

    Attributes:
        is_applied: Whether it was applied, or None if unknown.
        is_conflict: Whether a version check failed.
        winner: Id of the commit that wrote the revision, if known.
    """

    is_applied: bool | None
    is_conflict: bool = False
    winner: str | None = None


class ReadHead(typing.NamedTuple):
    """Read the head."""


class FetchRevision(typing.NamedTuple):
    """Fetch the document of a revision."""

    revision: int


class PutObject(typing.NamedTuple):
    """Put the whole document into the object store."""

    name: str
    document: difference.Json


class Transact(typing.NamedTuple):
    """Write head, change and audit row if the head has `head_version`."""

    head_version: int
    head: HeadDocument
    change: ChangeDocument
    audit: AuditDocument
    delay_s: float = 0.0


class Done(typing.NamedTuple):
    """The commit ended; `edits` turn `base_revision` into `revision`."""

    status: Status
    revision: int = 0
    base_revision: int = 0
    edits: tuple[difference.Edit, ...] = ()
    messages: tuple[str, ...] = ()


Event = (Begin | HeadRead | RevisionFetched | OperationFailed | ObjectStored |
         TransactEnded)
Command = ReadHead | FetchRevision | PutObject | Transact | Done


class State(typing.NamedTuple):
    """State of one commit.

    Attributes:
        change: Change that the operator requests.
        head: Head as last read.
        era: Era of the store when the head was read.
        base: Document of the base revision, once fetched.
        merged: Document to commit.
        edits: Difference from the head's document to `merged`.
        transact: Transaction built last.
        attempts: Number of requested head reads.
        unknown_retries: Retries of a transaction with an unknown outcome.
        is_done: Whether the commit ended.
    """

    change: Change
    head: Head = Head()
    era: int = 0
    base: difference.Json = None
    merged: difference.Json = None
    edits: tuple[difference.Edit, ...] = ()
    transact: Transact | None = None
    attempts: int = 0
    unknown_retries: int = 0
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
        return _handle_transaction_end(state, event,
                                       _RETRY_DELAY_S * rng.uniform(0.5, 1.5))
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


_head_decoder = decoding.JsonDecoder(HeadDocument)


def decode_head(version: int, value: str) -> Head:
    """Decodes the row of the head."""
    if not version:
        return Head()
    document = _head_decoder.decode(value)
    return Head(version, document["revision"], document["document_name"],
                document.get("era", 0))


@functools.singledispatch
def _step(event: object, state: State) -> Result:
    del event
    return state, []


@_step.register
def _(event: Begin, state: State) -> Result:
    if not event.is_majority_heard and not state.change.is_dry_run:
        return _end_commit(state, Status.REFUSED, _NO_MAJORITY)
    return _read_head(state)


@_step.register
def _(event: HeadRead, state: State) -> Result:
    base_revision = state.change.base_revision
    if event.head.revision < event.known_revision:
        return _end_commit(
            state, Status.REFUSED,
            f"the store has lost revision {event.known_revision}; it is being "
            "restored")
    if base_revision > event.head.revision:
        return _end_commit(
            state, Status.CONFLICT,
            f"base revision {base_revision} is higher than the accepted "
            f"revision {event.head.revision}")
    state = state._replace(head=event.head, era=event.era)
    if base_revision == 0:
        state = state._replace(base=_EMPTY)
    if state.base is None:
        return state, [FetchRevision(base_revision)]
    if event.head.revision == base_revision:
        return _merge(state, state.base)
    return state, [FetchRevision(event.head.revision)]


@_step.register
def _(event: RevisionFetched, state: State) -> Result:
    if state.base is None and event.revision == state.change.base_revision:
        state = state._replace(base=event.document)
        if event.revision != state.head.revision:
            return state, [FetchRevision(state.head.revision)]
    return _merge(state, event.document)


@_step.register
def _(event: OperationFailed, state: State) -> Result:
    return _end_commit(state, Status.REFUSED, event.message)


@_step.register
def _(event: ObjectStored, state: State) -> Result:
    if not event.is_majority_heard:
        return _end_commit(state, Status.REFUSED, _NO_MAJORITY)
    assert state.transact is not None
    return state, [state.transact]


@_step.register
def _(event: TransactEnded, state: State) -> Result:
    return _handle_transaction_end(state, event, _RETRY_DELAY_S)


def _handle_transaction_end(state: State, event: TransactEnded,
                            delay_s: float) -> Result:
    assert state.transact is not None
    if event.is_applied or event.winner == state.change.commit_id:
        return state._replace(is_done=True), [
            Done(Status.ACCEPTED, state.transact.head["revision"],
                 state.head.revision, state.edits)
        ]
    is_not_applied = event.winner is not None or (event.is_applied is False and
                                                  not state.unknown_retries)
    if event.is_conflict and is_not_applied:
        return _read_head(state._replace(unknown_retries=0))
    if is_not_applied:
        return _end_commit(state, Status.REFUSED,
                           "the store did not apply the change")
    if state.unknown_retries < _MAX_UNKNOWN_RETRIES:
        # The version checks let the retry apply only if the first try did not.
        return state._replace(unknown_retries=state.unknown_retries +
                              1), [state.transact._replace(delay_s=delay_s)]
    return _end_commit(
        state, Status.UNKNOWN,
        f"revision {state.transact.head['revision']} may have been accepted; "
        "check the accepted revision before retrying")


def _read_head(state: State) -> Result:
    if state.attempts == _MAX_ATTEMPTS:
        return _end_commit(
            state, Status.CONFLICT,
            f"other operators were faster {_MAX_ATTEMPTS} times")
    return state._replace(attempts=state.attempts + 1), [ReadHead()]


def _merge(state: State, accepted: difference.Json) -> Result:
    change = state.change
    try:
        merged = (change.document if change.base_revision == state.head.revision
                  else difference.merge(state.base, change.document, accepted))
    except difference.MergeConflictError as error:
        return _end_commit(state, Status.CONFLICT, *map(str, error.conflicts))
    problems = check.check_documents(merged.get("inventory"),
                                     merged.get("rules"))
    if problems:
        return _end_commit(state, Status.INVALID, *map(str, problems))
    edits = tuple(difference.compute_edits(accepted, merged))
    state = state._replace(merged=merged, edits=edits)
    if change.is_dry_run or not edits:
        status = Status.DRY_RUN if change.is_dry_run else Status.UNCHANGED
        return state._replace(is_done=True), [
            Done(status, state.head.revision, state.head.revision, edits)
        ]
    transact = _make_transaction(state)
    return state._replace(transact=transact), [
        PutObject(transact.head["document_name"], merged)
    ]


def _make_transaction(state: State) -> Transact:
    change, base = state.change, state.head.revision
    revision = base + 1
    if state.era > state.head.era:
        revision += _REVISION_GAP
    name = f"config/{revision}-{change.commit_id}"
    return Transact(
        state.head.version,
        HeadDocument(revision=revision,
                     document_name=name,
                     commit_id=change.commit_id,
                     era=state.era),
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


def _end_commit(state: State, status: Status, *messages: str) -> Result:
    return state._replace(is_done=True), [
        Done(status, state.head.revision, messages=messages)
    ]
