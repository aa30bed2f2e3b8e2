"""Decides what the era of an answer of the store says.

A store that comes back from a copy has lost what was written since the copy,
and gives its versions out again. Each such return begins another era. Versions,
and rows that were read before, hold in their era only.

Answers may arrive after those to later calls on another connection. One of an
earlier era is late if its call began before the present era was seen; otherwise
another store has taken the place of the former. A store that does not tell its
era has one history, as does one that leaves it out of an answer.
"""

import enum
import math
import typing


class State(typing.NamedTuple):
    """The present era, when it was first seen, and the newest version in it."""

    era: int = 0
    seen_s: float = -math.inf
    version: int = 0


class Verdict(enum.Enum):
    """What the era of an answer says."""

    PRESENT = "present"
    CHANGED = "changed"
    LATE = "late"


def observe(state: State, era: int, version: int, began_s: float,
            now_s: float) -> tuple[State, Verdict]:
    """Applies the era of an answer.

    Args:
        state: The state before it.
        era: Era of the answer, 0 if it was not told.
        version: Newest version of the store, 0 if it was not told.
        began_s: When the call began, or minus infinity if that is uncertain.
        now_s: Time.

    >>> state, verdict = observe(State(), 3, 70, 0.0, 0.1)
    >>> verdict
    <Verdict.PRESENT: 'present'>
    >>> state, verdict = observe(state, 4, 50, 5.0, 5.1)
    >>> verdict, state.version
    (<Verdict.CHANGED: 'changed'>, 50)
    >>> observe(state, 3, 71, 5.0, 5.2)[1], observe(state, 3, 71, 6.0, 6.1)[1]
    (<Verdict.LATE: 'late'>, <Verdict.CHANGED: 'changed'>)
    """
    if era in (0, state.era):
        return state._replace(
            version=max(state.version, version)), Verdict.PRESENT
    if era < state.era and began_s < state.seen_s:
        return state, Verdict.LATE
    verdict = Verdict.CHANGED if state.era else Verdict.PRESENT
    return State(era, now_s, version), verdict
