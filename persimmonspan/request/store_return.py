"""What the ledger does when the store returns from an older copy.

After a return, rows that were written since the copy are absent or older. A
repeat of such a call would then claim its key and run a second time. Therefore

- each process keeps the rows that it wrote within `RETENTION_S` and writes them
  back once it sees a new era of the store (`plan_restore`), and
- each process starts no new claims for `SETTLING_S` after it has seen a new
  era, so that the other processes have time to write back theirs. The circuit
  breaker pauses up to 6 s between probes; rows are recorded once a second.

A process that starts cannot know when the store's era began, so it waits as
well, unless the era is 0: then the store has never returned.

>>> state = observe(State(), 4, 10.0)
>>> is_settling(state, 24.0), is_settling(state, 25.0)
(True, False)
>>> is_settling(observe(State(), 0, 10.0), 10.0)
False
"""

import collections
import enum
import math
import typing

from persimmonspan.request import ledger_events

RETENTION_S = 60.0
SETTLING_S = 15.0
_MAX_HELD_ROWS = 20_000


class State(typing.NamedTuple):
    """The era of the store, None at first, and when this process first saw it.
    """

    era: int | None = None
    seen_s: float = -math.inf


class _HeldRow(typing.NamedTuple):
    """A row that this process wrote, and when."""

    document: ledger_events.RowDocument
    written_s: float


class HeldRows:
    """The rows that this process wrote within `RETENTION_S`.

    Not thread-safe.
    """

    def __init__(self) -> None:
        self._rows: collections.OrderedDict[
            str, _HeldRow] = collections.OrderedDict()

    def add(self, key: str, document: ledger_events.RowDocument,
            now_s: float) -> None:
        """Adds a row; drops rows that are too old or too many."""
        self._rows.pop(key, None)
        self._rows[key] = _HeldRow(document, now_s)
        while (len(self._rows) > _MAX_HELD_ROWS or
               next(iter(self._rows.values())).written_s < now_s - RETENTION_S):
            self._rows.popitem(last=False)

    def get(self, key: str) -> ledger_events.RowDocument | None:
        """Returns the last document of a key, or None."""
        row = self._rows.get(key)
        return row.document if row is not None else None

    def keys(self) -> list[str]:
        """Returns the keys of all rows."""
        return list(self._rows)


def observe(state: State, era: int | None, now_s: float) -> State:
    """Returns the state after a response of an era; None if there was none."""
    if era is None or (state.era is not None and era <= state.era):
        return state
    return State(era, now_s if era else -math.inf)


def is_settling(state: State, now_s: float) -> bool:
    """Returns whether rows of other processes may still be missing."""
    return now_s < state.seen_s + SETTLING_S


def outlives(held: ledger_events.RowDocument,
             written: ledger_events.RowDocument) -> bool:
    """Returns whether a row of a later attempt does not replace a held one.

    This holds for a row that was written after a return, since the store has
    then lost the held row, and for a release that may not have been written.
    """
    return (held["attempt"] != written["attempt"] and
            held["state"] != ledger_events.RowState.RELEASED)


def plan_restore(key: str, held: ledger_events.RowDocument,
                 row: ledger_events.Row) -> ledger_events.WriteRow | None:
    """Returns the write that restores a row, if it is needed and possible.

    A row of the same attempt in an earlier state, or one that was released
    before this attempt, is older than the held row.

    >>> held = ledger_events.RowDocument(
    ...     state="recorded", attempt="a2", daemon="d", incarnation="i",
    ...     digest="x", claimed_at_s=0.0, answer=None, note="")
    >>> plan_restore("k", held, ledger_events.Row(0, None)).expected_version
    0
    >>> older = ledger_events.Row(3, {**held, "attempt": "a1",
    ...                               "state": "released"})
    >>> plan_restore("k", held, older).expected_version
    3
    >>> plan_restore("k", held, ledger_events.Row(3, held)) is None
    True
    """
    document = row.document
    if document is not None:
        is_same_attempt = document["attempt"] == held["attempt"]
        is_older = (is_same_attempt and document["state"] ==
                    ledger_events.RowState.CLAIMED != held["state"] or
                    not is_same_attempt and document["state"] ==
                    ledger_events.RowState.RELEASED != held["state"])
        if not is_older:
            return None
    return ledger_events.WriteRow(key, row.version, held)


class Finding(enum.StrEnum):
    """What a stored row says about a held row that cannot be restored."""

    RESTORED = "restored"
    CLAIMED = "claimed"
    SECOND_ATTEMPT = "second_attempt"


def compare(state: State, held: ledger_events.RowDocument | None,
            row: ledger_events.Row, now_s: float) -> Finding:
    """Returns why a held row is not restored.

    Another attempt that claims the key after a return releases it, unless its
    process does not know of the return; both attempts may then have run.
    """
    if (held is None or row.document is None or
            row.document["attempt"] == held["attempt"] or
            ledger_events.RowState.RELEASED
            in (held["state"], row.document["state"])):
        return Finding.RESTORED
    if (row.document["state"] == ledger_events.RowState.CLAIMED and
            now_s < state.seen_s + RETENTION_S):
        return Finding.CLAIMED
    return Finding.SECOND_ATTEMPT
