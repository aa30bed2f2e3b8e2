"""Decides which tokens of one generation are delivered and how it ends.

The relay chooses the id of a generation; each token has an index in it. A token
is delivered only if request, generation and index are the expected ones. This
guarantees exactly-once delivery in order from a single generation, even if
connections break: the index counts the delivered tokens, a resume requests the
next index, and a repeated token has an index that is already delivered.

After a broken connection, the relay resumes with the same generation id. An
engine that does not know the generation has lost it: before the first token the
request may run elsewhere as a new generation, later its stream is cut.

>>> state = State("r1", "g1")
>>> token = TokenReceived("r1", "g1", 0, "Hi", None)
>>> state, commands = step(state, token, 0.0, None)
>>> commands
(Deliver(text='Hi', finish=None),)
>>> step(state, ConnectionBroken(BreakReason.SILENT), 0.0, None)[1]
(Count(reason='stream_silent'), Resume(from_index=1))

See Also:
    `persimmonspan.request.generation`: carries out the commands.
"""

import enum
import functools
import random
import typing

# A silent connection is replaced at once. After three resumes in a row without
# a token, the engine is assumed to hang, rather than the link.
MAX_RESUMES_WITHOUT_TOKEN = 3


class BreakReason(enum.StrEnum):
    """Why a connection to an engine is abandoned; counted as `stream_...`."""

    SILENT = "silent"
    TRUNCATED = "truncated"
    GARBAGE = "garbage"
    CROSSED = "crossed"
    WRONG_GENERATION = "wrong_generation"
    WRONG_INDEX = "wrong_index"


class Ending(enum.StrEnum):
    """How a generation ended."""

    FINISHED = "finished"
    LOST = "lost"  # No token was delivered: it may run elsewhere.
    CUT = "cut"  # Tokens were delivered: only a typed error may follow.


class State(typing.NamedTuple):
    """Position in one generation."""

    request_id: str
    generation_id: str
    next_index: int = 0
    resumes_without_token: int = 0  # In a row; a token resets it.
    ending: Ending | None = None


class TokenReceived(typing.NamedTuple):
    """The current connection delivered a well-formed token."""

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
    """Send the text to the caller."""

    text: str
    finish: str | None


class Resume(typing.NamedTuple):
    """Continue the same generation over a new connection."""

    from_index: int


class End(typing.NamedTuple):
    """Deliver no more tokens of this generation."""

    ending: Ending


class Count(typing.NamedTuple):
    """Increment the counter of a reason."""

    reason: str


Event = TokenReceived | ConnectionBroken | GenerationUnknown
Command = Deliver | Resume | End | Count
Result = tuple[State, tuple[Command, ...]]


def step(state: State, event: Event, now_s: float,
         rng: random.Random | None) -> Result:
    """Returns the next state and the commands that follow from an event."""
    del now_s, rng
    if state.ending is not None:
        return state, (Count("stream_event_after_end"),)
    return _step(event, state)


def advance(state: State, tokens: int) -> State:
    """Returns the state after a number of expected tokens without a finish.

    The relay compares the bytes of tokens with those of the expected ones and
    decodes only tokens that differ.

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
        return _resume_or_end(state, BreakReason.CROSSED)
    if generation_id != state.generation_id:
        return _resume_or_end(state, BreakReason.WRONG_GENERATION)
    if index < state.next_index:
        return state, (Count("stream_token_repeated"),)
    if index > state.next_index:
        return _resume_or_end(state, BreakReason.WRONG_INDEX)
    delivery = Deliver(text, finish)
    if finish is None:
        return State(request_id, generation_id, index + 1), (delivery,)
    return (State(request_id, generation_id, index + 1, 0,
                  Ending.FINISHED), (delivery, End(Ending.FINISHED)))


@_step.register
def _(event: ConnectionBroken, state: State) -> Result:
    return _resume_or_end(state, event.reason)


@_step.register
def _(event: GenerationUnknown, state: State) -> Result:
    del event
    return _end_generation(state, "stream_generation_unknown")


def _resume_or_end(state: State, reason: BreakReason) -> Result:
    counter = f"stream_{reason}"
    if state.resumes_without_token >= MAX_RESUMES_WITHOUT_TOKEN:
        return _end_generation(state, counter)
    return (state._replace(resumes_without_token=state.resumes_without_token +
                           1), (Count(counter), Resume(state.next_index)))


def _end_generation(state: State, counter: str) -> Result:
    ending = Ending.CUT if state.next_index else Ending.LOST
    return (state._replace(ending=ending),
            (Count(counter), Count(f"stream_{ending}"), End(ending)))
