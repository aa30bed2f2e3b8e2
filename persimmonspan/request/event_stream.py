"""The events of one stream, checked for order and completeness.

A stream consists of events with increasing ids. Only whole events are given to
the caller, so that a stream which breaks off within an event can go on at
another target, after the last event that was given.

References:
    WHATWG HTML, section "Server-sent events".
"""

import typing

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"
# No event is nearly as large; more without an end is garbage.
_MAX_EVENT_BYTES = 1024 * 1024


class State(typing.NamedTuple):
    """Events given so far, and bytes that are no whole event yet."""

    last_id: int | None = None
    event_count: int = 0
    partial_event: bytes = b""


class MalformedStreamError(ValueError):
    """The bytes are no stream that can be given to the caller."""


def feed(state: State, data: bytes) -> tuple[State, bytes, int]:
    """Returns the next state, the bytes of new whole events, and their number.

    Events up to the last id that was given are left out, so that a target which
    goes on with a stream may send them again.

    >>> state, output, count = feed(State(), b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    >>> output, count, state.last_id
    (b'id: 1\\ndata: a\\n\\n', 1, 1)
    >>> state = prepare_resume(state)
    >>> feed(state, b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n")[1]
    b'id: 2\\ndata: b\\n\\n'

    Raises:
        MalformedStreamError: An event is missing, has no id or is too large.
    """
    *whole, rest = (state.partial_event + data).split(_EVENT_END)
    if len(rest) > _MAX_EVENT_BYTES:
        raise MalformedStreamError("no end of an event")
    output: list[bytes] = []
    last_id = state.last_id
    for event in whole:
        event_id = _event_id(event)
        if event_id is None:
            raise MalformedStreamError("an event has no id")
        if last_id is not None and event_id <= last_id:
            continue
        if last_id is not None and event_id != last_id + 1:
            raise MalformedStreamError(
                f"event {event_id} comes after event {last_id}")
        last_id = event_id
        output.append(event + _EVENT_END)
    return (State(last_id, state.event_count + len(output),
                  rest), b"".join(output), len(output))


def prepare_resume(state: State) -> State:
    """Returns the state for a target that goes on with the stream."""
    return state._replace(partial_event=b"")


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD):].strip()
            return int(value) if value.isdigit() else None
    return None
