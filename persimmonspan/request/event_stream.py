"""Checks the events of one stream for order and completeness.

A stream consists of events with consecutive ids. The caller receives only
complete events, so that a stream that is interrupted within an event can
continue at another target after the last complete one.

References:
    WHATWG HTML, section "Server-sent events".
"""

import typing

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"
# The lines of events end with a line feed alone; those of heads do not.
_CARRIAGE_RETURN = b"\r"
# More bytes without an end are garbage. All streams of a small VM may hold as
# much at the same time.
_MAX_EVENT_BYTES = 256 * 1024
_MAX_ID_DIGITS = 18


class State(typing.NamedTuple):
    """Last id and count of events, and the bytes of an incomplete one."""

    last_id: int | None = None
    event_count: int = 0
    partial_event: bytes = b""


class MalformedStreamError(ValueError):
    """The bytes are not a valid stream for the caller."""


def feed(state: State, data: bytes) -> tuple[State, bytes, int]:
    """Returns the next state, the bytes of new events, and their number.

    Skips events up to the last id, because a target that continues a stream may
    send them again.

    >>> state, output, count = feed(State(), b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    >>> output, count, state.last_id
    (b'id: 1\\ndata: a\\n\\n', 1, 1)
    >>> state = prepare_resume(state)
    >>> feed(state, b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n")[1]
    b'id: 2\\ndata: b\\n\\n'

    Raises:
        MalformedStreamError: An event is missing, has no id, is too large or
            contains a line that is none of an event.
    """
    *complete_events, partial_event = (state.partial_event +
                                       data).split(_EVENT_END)
    if len(partial_event) > _MAX_EVENT_BYTES:
        raise MalformedStreamError("an event without end is too large")
    output: list[bytes] = []
    last_id = state.last_id
    for event in complete_events:
        if _CARRIAGE_RETURN in event:
            raise MalformedStreamError("an event contains a carriage return")
        event_id = _parse_event_id(event)
        if event_id is None:
            raise MalformedStreamError("an event has no numeric id")
        if last_id is not None and event_id <= last_id:
            continue
        if last_id is not None and event_id != last_id + 1:
            raise MalformedStreamError(
                f"event {event_id} comes after event {last_id}")
        last_id = event_id
        output.append(event + _EVENT_END)
    return (State(last_id, state.event_count + len(output),
                  partial_event), b"".join(output), len(output))


def prepare_resume(state: State) -> State:
    """Returns the state for another target that continues the stream."""
    return state._replace(partial_event=b"")


def _parse_event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD):].strip()
            if value.isdigit() and len(value) <= _MAX_ID_DIGITS:
                return int(value)
            return None
    return None
