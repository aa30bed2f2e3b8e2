"""Decision of one generation: which tokens are delivered and how it ends.

A generation is identified by an id that the relay chooses, and each token by
its index in the generation. A token is delivered only if request, generation
and index are the expected ones. The promise of exactly-once delivery in order
from a single generation then holds whatever connections do: the index counts
what was delivered, a resume asks for the next index, and a token that comes a
second time has an index that was already passed.

A broken connection leads to a resume with the same generation id. An engine
that does not know the generation any more has lost it; before the first token
the request may be run elsewhere as a new generation, later it is cut.

>>> state = State("r1", "g1")
>>> token = TokenReceived("r1", "g1", 0, "Hi", None)
>>> state, commands = step(state, token, 0.0, None)
>>> commands
(Deliver(text='Hi', finish=None),)
>>> step(state, ConnectionBroken(BreakReason.SILENT), 0.0, None)[1]
(Count(reason='stream_silent'), Resume(from_index=1))

See Also:
    `persimmonspan.request.handler`: carries the commands out.
"""

import enum
import functools
import random
import typing

# A connection that went silent is replaced at once. Three connections in a row
# without a token mean that the engine hangs, not the link.
MAX_RESUMES_WITHOUT_TOKEN = 3


class BreakReason(enum.StrEnum):
    """Why a connection to an engine is given up; counted as `stream_...`."""

    SILENT = "silent"
    TRUNCATED = "truncated"
    GARBAGE = "garbage"
    CROSSED = "crossed"
    WRONG_GENERATION = "wrong_generation"
    WRONG_INDEX = "wrong_index"


class Ending(enum.StrEnum):
    """How a generation ended."""

    FINISHED = "finished"
    LOST = "lost"  # No token was delivered: it may be run elsewhere.
    CUT = "cut"  # Tokens were delivered: only a typed error may follow.


class State(typing.NamedTuple):
    """Position in one generation."""

    request_id: str
    generation_id: str
    next_index: int = 0
    resumes_without_token: int = 0  # In a row; a token resets it.
    ending: Ending | None = None


class TokenReceived(typing.NamedTuple):
    """A well-formed token came over the current connection."""

    request_id: str
    generation_id: str
    index: int
    text: str
    finish: str | None


class ConnectionBroken(typing.NamedTuple):
    """The current connection ended, stalled or carried garbage."""

    reason: BreakReason


class GenerationUnknown(typing.NamedTuple):
    """The engine is gone or does not know the generation."""


class Deliver(typing.NamedTuple):
    """Give the text to the caller."""

    text: str
    finish: str | None


class Resume(typing.NamedTuple):
    """Continue the same generation over a new connection."""

    from_index: int


class End(typing.NamedTuple):
    """Nothing of this generation will be delivered any more."""

    ending: Ending


class Count(typing.NamedTuple):
    """Raise the counter of a reason."""

    reason: str


Event = TokenReceived | ConnectionBroken | GenerationUnknown
Command = Deliver | Resume | End | Count
Result = tuple[State, tuple[Command, ...]]


def step(state: State, event: Event, now_s: float,
         rng: random.Random | None) -> Result:
    """Returns the next state and the commands that the event leads to."""
    del now_s, rng
    if state.ending is not None:
        return state, (Count("stream_event_after_end"),)
    return _step(event, state)


def advance(state: State, tokens: int) -> State:
    """Returns the state after that many expected tokens without a finish.

    The relay compares the bytes of most tokens with what is expected next, and
    decodes only those that differ.

    >>> advance(State("r1", "g1", 1, resumes_without_token=2), 3)[2:]
    (4, 0, None)
    """
    return state._replace(next_index=state.next_index + tokens,
                          resumes_without_token=0)


@functools.singledispatch
def _step(event: object, state: State) -> Result:
    raise TypeError(f"not an event of a stream: {event!r}")


@_step.register
def _(event: TokenReceived, state: State) -> Result:
    request_id, generation_id, index, text, finish = event
    if request_id != state.request_id:
        return _reopen(state, BreakReason.CROSSED)
    if generation_id != state.generation_id:
        return _reopen(state, BreakReason.WRONG_GENERATION)
    if index < state.next_index:
        return state, (Count("stream_token_repeated"),)
    if index > state.next_index:
        return _reopen(state, BreakReason.WRONG_INDEX)
    delivery = Deliver(text, finish)
    if finish is None:
        return State(request_id, generation_id, index + 1), (delivery,)
    return (State(request_id, generation_id, index + 1, 0,
                  Ending.FINISHED), (delivery, End(Ending.FINISHED)))


@_step.register
def _(event: ConnectionBroken, state: State) -> Result:
    return _reopen(state, event.reason)


@_step.register
def _(event: GenerationUnknown, state: State) -> Result:
    del event
    return _give_up(state, "stream_generation_unknown")


def _reopen(state: State, reason: BreakReason) -> Result:
    counter = f"stream_{reason}"
    if state.resumes_without_token >= MAX_RESUMES_WITHOUT_TOKEN:
        return _give_up(state, counter)
    return (state._replace(resumes_without_token=state.resumes_without_token +
                           1), (Count(counter), Resume(state.next_index)))


def _give_up(state: State, counter: str) -> Result:
    ending = Ending.CUT if state.next_index else Ending.LOST
    return (state._replace(ending=ending),
            (Count(counter), Count(f"stream_{ending}"), End(ending)))
