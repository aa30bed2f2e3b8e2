"""Keeps which targets are registered and which of them may get new work.

Targets register themselves in the store. A target that reports that it leaves,
or whose entry is gone, gets no new work; work that runs there continues.
Entries lapse while the store is unavailable, because targets cannot renew them.
A lapsed entry stays usable until `_REREGISTRATION_TIMEOUT_S` after the store is
available again.

`apply_rows` is pure: it takes the rows and the time of the read, and returns
the next state with the changes.
"""

import math
import typing

import immutables

# Live targets register again within this time after the store is available.
# Source: contract of the platform.
_REREGISTRATION_TIMEOUT_S = 2.0


class Registration(typing.NamedTuple):
    """An entry of a target, as read from the store."""

    name: str
    service: str
    address: str
    failure_domain: str
    max_running: int
    is_leaving: bool = False
    incarnation: int = 0
    slow_start_s: float = 0.0


class State(typing.NamedTuple):
    """Targets as last read.

    `is_lost` holds while the store cannot be read; `regained_s` is the time of
    the first read after that. `lapsed` holds the entries that were missing
    shortly after `regained_s`.
    """

    present: immutables.Map[str, Registration] = immutables.Map()
    lapsed: immutables.Map[str, Registration] = immutables.Map()
    is_lost: bool = False
    regained_s: float = -math.inf
    read_s: float = -math.inf


class Change(typing.NamedTuple):
    """Targets that joined, leave, are gone or have restarted at a read."""

    joined: tuple[Registration, ...] = ()
    leaving: tuple[Registration, ...] = ()
    gone: tuple[Registration, ...] = ()
    restarted: tuple[Registration, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether nothing changed."""
        return not any(self)


def failed(state: State) -> State:
    """Records that the store could not be read."""
    return state._replace(is_lost=True)


def apply_rows(state: State, rows: typing.Iterable[Registration],
               now_s: float) -> tuple[State, Change]:
    """Applies all entries as read at a time.

    >>> one = Registration("a", "s", "10.0.0.1:80", "d", 1)
    >>> state, change = apply_rows(State(), [one], 0.0)
    >>> change.joined == (one,)
    True
    >>> state, change = apply_rows(failed(state), [], 10.0)  # Lapsed.
    >>> change.is_empty
    True
    >>> apply_rows(state, [], 12.5)[1].gone == (one,)
    True
    """
    present = {row.name: row for row in rows}
    regained_s = now_s if state.is_lost else state.regained_s
    before = {**state.lapsed, **state.present}
    missing = {
        name: entry for name, entry in before.items() if name not in present
    }
    lapsed = {}
    if now_s < regained_s + _REREGISTRATION_TIMEOUT_S:
        lapsed = {
            name: entry
            for name, entry in missing.items()
            if not entry.is_leaving
        }
    joined, leaving, restarted = [], [], []
    for name, entry in present.items():
        old = before.get(name)
        if old is None:
            joined.append(entry)
        elif (entry.incarnation, entry.address) != (old.incarnation,
                                                    old.address):
            restarted.append(entry)
        if entry.is_leaving and not (old is not None and old.is_leaving):
            leaving.append(entry)
    gone = tuple(entry for name, entry in missing.items() if name not in lapsed)
    return (State(immutables.Map(present), immutables.Map(lapsed), False,
                  regained_s, now_s),
            Change(tuple(joined), tuple(leaving), gone, tuple(restarted)))


def all_targets(state: State) -> tuple[Registration, ...]:
    """Returns all targets, including those whose entries have lapsed."""
    return (*state.present.values(), *state.lapsed.values())


def usable_targets(state: State) -> tuple[Registration, ...]:
    """Returns the targets that may get new work."""
    return tuple(entry for entry in all_targets(state) if not entry.is_leaving)
