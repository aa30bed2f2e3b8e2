"""The failure domains that the store says to evacuate.

Rows of a table name them. The whole table replaces the set; changes of the
table, which include removed rows, are applied to it. Daemons pass the set on
with the version of the store at which it was read, so that an older one never
replaces a newer one. Versions of different eras of the store cannot be
compared: the set of the later era holds.

All functions are pure.
"""

import collections.abc
import typing

from persimmonspan.process import row_store

DecodeKey = collections.abc.Callable[[str], str | None]


class State(typing.NamedTuple):
    """Evacuated domains in order; the version is 0 if none was read yet."""

    domains: tuple[str, ...] = ()
    version: int = 0  # Of the store.
    era: int = 0  # Of the store; 0 if it was not told.


def apply_rows(state: State, rows: row_store.Rows, is_full: bool,
               decode_key: DecodeKey) -> State:
    """Applies the rows of a table.

    Args:
        state: The state before.
        rows: All rows, or those that changed since a version that is not newer
            than that of the state.
        is_full: Whether they are all rows.
        decode_key: Returns the domain that a row evacuates, or None.

    >>> def rows(version, *items):
    ...     return row_store.Rows(
    ...         tuple(row_store.Row(*item, version) for item in items), version)
    >>> state = apply_rows(State(), rows(3, ("a", b""), ("b", b"")), True, str)
    >>> state = apply_rows(state, rows(4, ("a", None)), False, str)
    >>> state
    State(domains=('b',), version=4, era=0)
    >>> apply_rows(state, rows(2), True, str) == state
    True
    """
    is_same_era = _is_same_era(state, rows.era)
    if is_same_era and rows.version < state.version:
        return state
    domains = set() if is_full or not is_same_era else set(state.domains)
    for row in rows.rows:
        domain = decode_key(row.key)
        if domain is None:
            continue
        if row.value is None:
            domains.discard(domain)
        else:
            domains.add(domain)
    return State(tuple(sorted(domains)), rows.version, rows.era or state.era)


def merge(state: State, other: State) -> State:
    """Applies the state of a peer, if it is newer.

    >>> state = State(("a",), 7, 1)
    >>> merge(state, State((), 6, 1)) == merge(state, State()) == state
    True
    >>> merge(state, State((), 8, 1)).domains
    ()
    >>> merge(state, State(("b",), 2, 2)).domains
    ('b',)
    >>> merge(State(("b",), 2, 2), state).domains
    ('b',)
    """
    if not other.version:
        return state
    if _is_same_era(state, other.era):
        is_newer = other.version > state.version
    else:
        is_newer = other.era > state.era
    return other._replace(era=other.era or state.era) if is_newer else state


def _is_same_era(state: State, era: int) -> bool:
    return not era or not state.era or era == state.era
