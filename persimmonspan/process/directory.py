"""Keeps which targets are registered and which of them may get new work.

Targets register themselves in the store. A target that reports that it leaves,
or whose entry is gone, gets no new work; work that runs there continues.
Entries lapse while the store is unavailable, because targets cannot renew them.
A lapsed entry stays usable until `_REREGISTRATION_TIMEOUT_S` after the store is
available again.

The store may come back from a copy, in another era. Targets that registered
after the copy are then missing, and count as lapsed. Entries of the copy may be
older than what was read before; they are doubted. A target that was leaving
still is. An older incarnation does not replace one of an earlier era. In one
era the entry that was read last holds: a start time may be earlier than the one
before, if the clock was set back between them. A target whose entry was gone is
not used until the entry has outlived the removal of those that nobody renews.

A daemon that could not read the store takes that for an outage. If only that
daemon had lost it, what it shows as lapsed has left. A peer uses such an entry
until `_REREGISTRATION_TIMEOUT_S` after a gap in its own knowledge, and not if
it has seen the entry gone in the same era.

`apply_rows` is pure: it takes the rows and the time of the read, and returns
the next state with the changes.
"""

import math
import typing

import immutables

# Live targets register again within this time after the store is available.
# Source: contract of the platform.
_REREGISTRATION_TIMEOUT_S = 2.0
# Entries that nobody renews are removed within this time. Source: contract of
# the platform, three heartbeats.
REMOVAL_TIMEOUT_S = 6.0
# Entries that are gone are remembered for longer than a copy is old. The load:
# a failure domain of 2,300 targets that restarts.
_GONE_EXPIRY_S = 60.0
_MAX_GONE = 4096


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
    software_version: str = ""  # Empty if it is not known.

    @property
    def process_id(self) -> tuple[int, str, str]:
        """What differs if another process took over the name."""
        return self.incarnation, self.address, self.software_version


class Gone(typing.NamedTuple):
    """An entry that is gone, and when and in which era it was missed.

    The era is 0 if a peer told it.
    """

    entry: Registration
    era: int
    missed_s: float


class State(typing.NamedTuple):
    """Targets as last read.

    `is_lost` holds while the store cannot be read; `lost_since_s` is the time
    of the last confirmation before that, `regained_s` of the first one after
    it, by an own read or a peer's. `lapsed` holds the entries that were missing
    shortly after `regained_s` or `returned_s`, the time of the first read after
    the store came back from a copy. `doubted` holds the rows that are not
    believed as they are, `gone` recent entries by name, `former` the entries
    known when the store came back. `expired` names the present entries that a
    peer marked as lapsed, which are used until `expired_until_s`.
    """

    present: immutables.Map[str, Registration] = immutables.Map()
    lapsed: immutables.Map[str, Registration] = immutables.Map()
    is_lost: bool = False
    lost_since_s: float = math.inf
    regained_s: float = -math.inf
    read_s: float = -math.inf
    era: int = 0
    returned_s: float = -math.inf
    doubted: immutables.Map[str, Registration] = immutables.Map()
    gone: immutables.Map[str, Gone] = immutables.Map()
    former: immutables.Map[str, Registration] = immutables.Map()
    expired: frozenset[str] = frozenset()
    expired_until_s: float = -math.inf


class Change(typing.NamedTuple):
    """Targets that joined, leave, are gone or have restarted at a read.

    `doubted` holds the rows that are not believed, once in an era.
    """

    joined: tuple[Registration, ...] = ()
    leaving: tuple[Registration, ...] = ()
    gone: tuple[Registration, ...] = ()
    restarted: tuple[Registration, ...] = ()
    doubted: tuple[Registration, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether no target changed."""
        return not (self.joined or self.leaving or self.gone or self.restarted)


def failed(state: State, confirmed_s: float) -> State:
    """Records that the store could not be read.

    Args:
        state: The state before the read.
        confirmed_s: When the targets were last confirmed.
    """
    return state._replace(is_lost=True, lost_since_s=confirmed_s)


def apply_rows(state: State,
               rows: typing.Iterable[Registration],
               now_s: float,
               era: int = 0) -> tuple[State, Change]:
    """Applies all entries as read at a time.

    Args:
        state: The state before the read.
        rows: The entries.
        now_s: Time of the read.
        era: Era of the store at the read, 0 if it was not told.

    >>> one = Registration("a", "s", "10.0.0.1:80", "d", 1)
    >>> state, change = apply_rows(State(), [one], 0.0)
    >>> change.joined == (one,)
    True
    >>> state, change = apply_rows(failed(state, 0.0), [], 10.0)  # Lapsed.
    >>> change.is_empty
    True
    >>> apply_rows(state, [], 12.5)[1].gone == (one,)
    True
    """
    state = _regain(_enter_era(state, era, now_s),
                    now_s)._replace(read_s=now_s, expired=frozenset())
    return _apply(state, rows, max(state.regained_s, state.returned_s), now_s)


def apply_snapshot(
        state: State,
        rows: typing.Iterable[Registration],
        now_s: float,
        era: int,
        known_since_s: float = -math.inf,
        expired: typing.Collection[str] = (),
        confirmed_since_s: float = -math.inf) -> tuple[State, Change]:
    """Applies the targets of a peer that reads the store.

    They include the entries that lapsed for the peer. A peer that has started
    since this daemon lost the store, or in another era, does not know what was
    there before.

    Args:
        state: The state before.
        rows: The targets.
        now_s: Time.
        era: Era of the store at the peer's read, 0 if it was not told.
        known_since_s: Since when the peer has known targets.
        expired: Names of the targets that lapsed for the peer.
        confirmed_since_s: Since when the targets of this daemon were confirmed
            without a gap.

    >>> one = Registration("a", "s", "10.0.0.1:80", "d", 1)
    >>> state, _ = apply_rows(State(), [one], 0.0)
    >>> state, _ = apply_rows(state, [], 5.0)
    >>> apply_snapshot(state, [one], 6.0, 0, 0.0, ["a"], 5.5)[1].is_empty
    True
    """
    state = _regain(_enter_era(state, era, now_s), now_s)
    until_s = confirmed_since_s + _REREGISTRATION_TIMEOUT_S
    if expired:
        rows = [
            row for row in rows if row.name not in expired or
            (now_s < until_s and not _is_known_gone(row.name, state))
        ]
    state = state._replace(expired=frozenset(expired), expired_until_s=until_s)
    available_s = state.returned_s
    if known_since_s > state.lost_since_s:
        available_s = max(available_s, state.regained_s)
    return _apply(state, rows, available_s, now_s)


def apply_time(state: State, now_s: float,
               confirmed_s: float) -> tuple[State, Change]:
    """Applies the rows of the last read again at a later time.

    Args:
        state: The state before.
        now_s: Time.
        confirmed_s: When the rows were last confirmed.
    """
    if confirmed_s > state.lost_since_s:
        state = _regain(state, now_s)
    rows = last_rows(state)
    if now_s >= state.expired_until_s:
        rows = tuple(row for row in rows if row.name not in state.expired)
    return apply_last_rows(state, rows, now_s)


def disprove_loss(state: State) -> State:
    """Records that peers read the store while this daemon could not.

    What is missing from the next rows was removed, and has not lapsed.
    """
    return state._replace(is_lost=False, regained_s=-math.inf)


def apply_last_rows(state: State, rows: typing.Iterable[Registration],
                    now_s: float) -> tuple[State, Change]:
    """Applies the rows of the last read to a state that has changed since."""
    return _apply(state, rows, max(state.regained_s, state.returned_s), now_s)


def last_rows(state: State) -> tuple[Registration, ...]:
    """Returns the rows of the last read, as far as they matter."""
    return tuple({**state.present, **state.doubted}.values())


def _regain(state: State, now_s: float) -> State:
    return state._replace(
        is_lost=False, regained_s=now_s if state.is_lost else state.regained_s)


def _enter_era(state: State, era: int, now_s: float) -> State:
    if not era or not state.era or era == state.era:
        return state._replace(era=era or state.era)
    former = {name: item.entry for name, item in state.gone.items()}
    return state._replace(era=era,
                          returned_s=now_s,
                          doubted=immutables.Map(),
                          former=immutables.Map({
                              **former,
                              **state.lapsed,
                              **state.present
                          }))


def _apply(state: State, rows: typing.Iterable[Registration],
           available_s: float, now_s: float) -> tuple[State, Change]:
    """Applies rows to a state whose era and times are those of the read.

    Entries that are missing count as lapsed shortly after `available_s`.
    """
    if now_s > state.returned_s + _GONE_EXPIRY_S:
        state = state._replace(former=immutables.Map())
    before = {**state.lapsed, **state.present}
    present, doubted = {}, {}
    for row in rows:
        entry = _believe(row, state, now_s)
        if entry is not None:
            present[row.name] = entry
        if entry != row:
            doubted[row.name] = row
    missing = {
        name: entry for name, entry in before.items() if name not in present
    }
    lapsed = {}
    if now_s < available_s + _REREGISTRATION_TIMEOUT_S:
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
        elif entry.process_id != old.process_id:
            restarted.append(entry)
        if entry.is_leaving and not (old is not None and old.is_leaving):
            leaving.append(entry)
    gone = tuple(entry for name, entry in missing.items() if name not in lapsed)
    change = Change(
        tuple(joined), tuple(leaving), gone, tuple(restarted),
        tuple(
            row for name, row in doubted.items() if name not in state.doubted))
    return state._replace(present=immutables.Map(present),
                          lapsed=immutables.Map(lapsed),
                          doubted=immutables.Map(doubted),
                          expired=state.expired.intersection(present),
                          gone=_remember(state, present, gone, now_s)), change


def _is_known_gone(name: str, state: State) -> bool:
    past = state.gone.get(name)
    return past is not None and past.era == state.era


def _believe(row: Registration, state: State,
             now_s: float) -> Registration | None:
    """Returns the entry that follows from a row, or None if none does.

    A row without an incarnation cannot be compared, and is believed.
    """
    former = state.former.get(row.name)
    if former is not None and 0 < row.incarnation < former.incarnation:
        return None
    past = state.gone.get(row.name)
    known = state.present.get(row.name, state.lapsed.get(row.name))
    last = known or (past and past.entry)
    if last is None or not row.incarnation or not last.incarnation:
        return row
    if row.incarnation != last.incarnation:
        return row
    if last.is_leaving:
        return row._replace(is_leaving=True)
    is_removal_lost = (known is None and past.era != state.era and
                       now_s < state.returned_s + REMOVAL_TIMEOUT_S)
    return None if is_removal_lost else row


def _remember(state: State, present: typing.Mapping[str, Registration],
              gone: typing.Iterable[Registration],
              now_s: float) -> immutables.Map[str, Gone]:
    """Returns the entries that are gone, without those to be forgotten."""
    kept = {
        name: item
        for name, item in state.gone.items()
        if name not in present and now_s - item.missed_s <= _GONE_EXPIRY_S
    }
    kept.update((entry.name, Gone(entry, state.era, now_s)) for entry in gone)
    if len(kept) > _MAX_GONE:
        newest = sorted(kept.items(), key=lambda item: item[1].missed_s)
        kept = dict(newest[-_MAX_GONE:])
    return immutables.Map(kept)


def all_targets(state: State) -> tuple[Registration, ...]:
    """Returns all targets, including those whose entries have lapsed."""
    return (*state.present.values(), *state.lapsed.values())


def list_versions(state: State) -> dict[str, frozenset[str]]:
    """Returns the software versions by service, also of recent targets.

    A stream may have begun at a target that has left since.
    """
    versions: dict[str, set[str]] = {}
    for entry in (*all_targets(state), *state.doubted.values(),
                  *(item.entry for item in state.gone.values())):
        versions.setdefault(entry.service, set()).add(entry.software_version)
    return {service: frozenset(names) for service, names in versions.items()}


def usable_targets(state: State) -> tuple[Registration, ...]:
    """Returns the targets that may get new work."""
    return tuple(entry for entry in all_targets(state) if not entry.is_leaving)
