"""Which revision a daemon adopts, and whether it may serve.

Only revisions higher than the current one are adopted. A change that does not
start from the current revision leaves a gap; then the whole document is asked
for, from the object store if the head named it, otherwise from peers.

A daemon is current if it holds the highest revision it knows of and either has
read the head within `FRESHNESS_S` or hears from a majority of the registered
daemons. The age of a read counts from when it was sent. A daemon that learns of
a higher revision may serve on for `FRESHNESS_S` while it obtains it; a daemon
that is withdrawn rejoins only with the highest revision. `MajorityHeard`
carries the highest revision among the digests heard, so a daemon that starts
during a store outage learns it before it serves.

Events: `HeadRead`, `HeadUnavailable`, `ChangeOffered`, `WholeOffered`,
`MajorityHeard`, `Tick`. Commands: `AskWhole` (to peers), `FetchWhole` (from the
object store), `Adopt`, `Withdraw`, `Rejoin`.

>>> state, commands = step(State(), WholeOffered(4, {"rules": {}}), 1.0)
>>> state, commands = step(state, MajorityHeard(True, 4), 1.0)
>>> commands, state.revision
([Rejoin(revision=4)], 4)
"""

import functools
import random
import typing

from persimmonspan import errors
from persimmonspan.version import difference

FRESHNESS_S = 3.0
_ASK_INTERVAL_S = 0.5


class HeadRead(typing.NamedTuple):
    """The head was read; the read was sent at `sent_s`."""

    revision: int
    document_name: str
    sent_s: float


class HeadUnavailable(typing.NamedTuple):
    """The head could not be read."""


class ChangeOffered(typing.NamedTuple):
    """A peer, or a commit here, offers a change."""

    revision: int
    base_revision: int
    edits: tuple[difference.Edit, ...]


class WholeOffered(typing.NamedTuple):
    """A peer or the object store offers a whole document."""

    revision: int
    document: difference.Json


class MajorityHeard(typing.NamedTuple):
    """Whether a majority is heard, and the highest revision among peers."""

    is_heard: bool
    highest_revision: int = 0


class Tick(typing.NamedTuple):
    """Time passed."""


class AskWhole(typing.NamedTuple):
    """Ask peers for the whole document of at least this revision."""

    revision: int


class FetchWhole(typing.NamedTuple):
    """Fetch a whole document from the object store."""

    revision: int
    document_name: str


class Adopt(typing.NamedTuple):
    """Put a document in force; `change` is what led here, if known."""

    revision: int
    document: difference.Json
    change: ChangeOffered | None


class Withdraw(typing.NamedTuple):
    """Take no new work."""


class Rejoin(typing.NamedTuple):
    """Take new work."""

    revision: int


Event = (HeadRead | HeadUnavailable | ChangeOffered | WholeOffered |
         MajorityHeard | Tick)
Command = AskWhole | FetchWhole | Adopt | Withdraw | Rejoin


class State(typing.NamedTuple):
    """What a daemon knows of the configuration.

    Attributes:
        revision: Revision in force here; 0 is none.
        document: Its document.
        known: Highest revision heard of.
        known_s: When the current revision was first found to be outdated.
        head_name: Object with the document of `known`, if the head named it.
        head_s: When the last successful read of the head was sent.
        is_majority_heard: Whether a majority is heard.
        is_serving: Whether the daemon takes new work.
        asked_s: When the whole document was last asked for.
    """

    revision: int = 0
    document: difference.Json = None
    known: int = 0
    known_s: float = 0.0
    head_name: str = ""
    head_s: float = float("-inf")
    is_majority_heard: bool = False
    is_serving: bool = False
    asked_s: float = float("-inf")


Result = tuple[State, list[Command]]


def step(state: State,
         event: Event,
         now_s: float,
         rng: random.Random | None = None) -> Result:
    """Returns the next state and commands."""
    del rng  # No transition is random.
    state, commands = _step(event, state, now_s)
    state, serving = _serve(state, now_s)
    return state, commands + serving


def is_current(state: State, now_s: float) -> bool:
    """Returns whether the store or a majority vouches for what is known."""
    return now_s - state.head_s <= FRESHNESS_S or state.is_majority_heard


@functools.singledispatch
def _step(event: object, state: State, now_s: float) -> Result:
    """Handles `Tick` and `HeadUnavailable`: only time has passed."""
    del event
    return _ask(state, now_s)


@_step.register
def _(event: HeadRead, state: State, now_s: float) -> Result:
    if event.revision < state.known:
        # A late answer; a higher revision has been accepted since.
        return state, []
    name = (event.document_name
            if event.revision >= state.known else state.head_name)
    state = _learn(state, event.revision, now_s)
    state = state._replace(head_s=max(state.head_s, event.sent_s),
                           head_name=name)
    return _ask(state, now_s)


@_step.register
def _(event: ChangeOffered, state: State, now_s: float) -> Result:
    if event.revision <= state.revision:
        return state, []
    state = _learn(state, event.revision, now_s)
    if event.base_revision == state.revision:
        base = state.document if state.revision else {}
        try:
            document = difference.apply(base, list(event.edits))
        except errors.ConfigurationError:
            return _ask(state, now_s)
        return _adopt(state, event.revision, document, event)
    return _ask(state, now_s)


@_step.register
def _(event: WholeOffered, state: State, now_s: float) -> Result:
    if event.revision <= state.revision:
        return state, []
    state = _learn(state, event.revision, now_s)
    return _adopt(state, event.revision, event.document, None)


@_step.register
def _(event: MajorityHeard, state: State, now_s: float) -> Result:
    state = _learn(state, event.highest_revision, now_s)
    return _ask(state._replace(is_majority_heard=event.is_heard), now_s)


def _learn(state: State, revision: int, now_s: float) -> State:
    if revision <= state.known:
        return state
    known_s = now_s if state.known == state.revision else state.known_s
    return state._replace(known=revision,
                          known_s=known_s,
                          head_name="",
                          asked_s=float("-inf"))


def _ask(state: State, now_s: float) -> Result:
    """Asks for the document of the highest known revision, now and then."""
    if (state.known <= state.revision or
            now_s - state.asked_s < _ASK_INTERVAL_S):
        return state, []
    commands: list[Command] = [AskWhole(state.known)]
    if state.head_name:
        commands.insert(0, FetchWhole(state.known, state.head_name))
    return state._replace(asked_s=now_s), commands


def _adopt(state: State, revision: int, document: difference.Json,
           change: ChangeOffered | None) -> Result:
    return state._replace(revision=revision, document=document), [
        Adopt(revision, document, change)
    ]


def _serve(state: State, now_s: float) -> Result:
    is_highest = state.revision > 0 and state.revision >= state.known
    may_serve_on = is_highest or now_s - state.known_s <= FRESHNESS_S
    if state.is_serving:
        if is_current(state, now_s) and may_serve_on:
            return state, []
        return state._replace(is_serving=False), [Withdraw()]
    if is_current(state, now_s) and is_highest:
        return state._replace(is_serving=True), [Rejoin(state.revision)]
    return state, []
