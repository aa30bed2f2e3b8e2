"""Decides which registered targets leave, from all sources.

A target leaves from the moment at which one source says so: an answer of the
target, its entry in the store, a peer, or its reply to a question (a notice).
No source needs the confirmation of another, because new work stopped needlessly
costs little and new work stopped late breaks requests.

Only another incarnation ends this. An entry that still shows the incarnation as
ready does not, whether it is late, was read before an outage of the store or
comes from an older copy of it. A report about an incarnation before the present
one is void. A report about a later incarnation than that of the entry holds for
both, since the former has ended. Entries without an incarnation are told apart
by their address, and their mark ends when they are gone; one that comes from
such an entry alone follows it.

The load: a failure domain of 2,300 targets that leave at once while the store
is silent, at 195 daemons. A daemon tells the others for `_TELL_S`, in digests
that hold at most `MAX_TOLD` targets each, in turns.

>>> entry = directory.Registration("i", "s", "a:1", "d", 1, incarnation=1)
>>> state, _ = apply_entries(State(), [entry], 0.0)
>>> state, changes = record(state, Report("i", 1, "a:1", Source.ANSWER), 1.0)
>>> changes[0].source, is_leaving(state, entry)
(<Source.ANSWER: 'answer'>, True)
>>> after = entry._replace(incarnation=2)
>>> state, changes = apply_entries(state, [after], 2.0)
>>> changes[0], is_leaving(state, after)
(Ended(target='i', incarnation=1, source=<Source.STORE: 'store'>, age_s=1.0), \
False)

See Also:
    `persimmonspan.process.directory`: which incarnation of a target is present.
    `persimmonspan.process.departure_tracker`: applies the changes.
"""

import enum
import math
import typing

import immutables

from persimmonspan.process import directory

# Most targets that one digest tells.
MAX_TOLD = 128
# Others hear of a target in this time even if some digests are lost.
_TELL_S = 20.0
# A target without an entry may run for long. Longer than a copy is old.
_RETENTION_S = 300.0
_MAX_ABSENT = 4096


class Source(enum.StrEnum):
    """Source that says that a target leaves or has returned."""

    ANSWER = "answer"
    STORE = "store"
    PEER = "peer"
    NOTICE = "notice"


class Departure(typing.NamedTuple):
    """An incarnation that leaves, as told to other daemons."""

    target: str
    incarnation: int
    address: str
    age_s: float


class Report(typing.NamedTuple):
    """A source said `age_s` ago that an incarnation leaves."""

    target: str
    incarnation: int
    address: str
    source: Source
    age_s: float = 0.0


class Mark(typing.NamedTuple):
    """An incarnation that leaves.

    `said_s` is when its source said so. `absent_s` is since when the target has
    no entry, infinity if it has one.
    """

    incarnation: int
    address: str
    source: Source
    said_s: float
    absent_s: float = math.inf


class State(typing.NamedTuple):
    """Incarnation and address of each entry, and the marks, by target."""

    entries: immutables.Map[str, tuple[int, str]] = immutables.Map()
    marks: immutables.Map[str, Mark] = immutables.Map()


class Begun(typing.NamedTuple):
    """A target began to leave; its source said so `age_s` ago."""

    target: str
    incarnation: int
    source: Source
    age_s: float


class Ended(typing.NamedTuple):
    """A target no longer leaves, or its mark is forgotten, after `age_s`."""

    target: str
    incarnation: int
    source: Source
    age_s: float


Change = Begun | Ended
Result = tuple[State, list[Change]]


def is_leaving(state: State, entry: directory.Registration) -> bool:
    """Returns whether a target as registered gets no new work."""
    if entry.is_leaving:
        return True
    mark = state.marks.get(entry.name)
    return mark is not None and _covers(mark, entry.incarnation, entry.address)


def is_known(state: State, report: Report) -> bool:
    """Returns whether an incarnation is known to leave."""
    mark = state.marks.get(report.target)
    return mark is not None and _covers(mark, report.incarnation,
                                        report.address)


def record(state: State, report: Report, now_s: float) -> Result:
    """Applies a report of a source."""
    if not (math.isfinite(report.age_s) and report.incarnation >= 0):
        return state, []
    entry = state.entries.get(report.target)
    if is_known(state, report):
        return state, []
    age_s = max(0.0, report.age_s)
    if entry is None and age_s > _RETENTION_S:
        return state, []
    mark = Mark(report.incarnation, report.address, report.source,
                now_s - age_s, now_s if entry is None else math.inf)
    if entry is not None and not _covers(mark, *entry):
        return state, []
    state = state._replace(marks=state.marks.set(report.target, mark))
    return _limit_absent(
        state, now_s,
        [Begun(report.target, report.incarnation, report.source, age_s)])


def apply_entries(state: State,
                  entries: typing.Iterable[directory.Registration],
                  now_s: float) -> Result:
    """Applies the targets as they are registered now.

    Args:
        state: The state before.
        entries: All targets, with those whose entries have lapsed.
        now_s: Time.
    """
    by_name = {entry.name: entry for entry in entries}
    marks = {}
    changes: list[Change] = []
    for name, mark in state.marks.items():
        entry = by_name.get(name)
        if _is_ended(mark, entry):
            changes.append(_end(name, mark, now_s))
        elif entry is not None:
            marks[name] = mark._replace(absent_s=math.inf)
        else:
            marks[name] = mark._replace(absent_s=min(mark.absent_s, now_s))
    for entry in by_name.values():
        if entry.is_leaving and entry.name not in marks:
            marks[entry.name] = Mark(entry.incarnation, entry.address,
                                     Source.STORE, now_s)
            changes.append(
                Begun(entry.name, entry.incarnation, Source.STORE, 0.0))
    present = immutables.Map({
        name: (entry.incarnation, entry.address)
        for name, entry in by_name.items()
    })
    return _limit_absent(State(present, immutables.Map(marks)), now_s, changes)


def leaving_targets(state: State) -> frozenset[str]:
    """Returns the names of the targets that leave, registered or not."""
    return frozenset(state.marks)


def select(state: State, now_s: float, turn: int) -> tuple[Departure, ...]:
    """Returns what to tell other daemons now.

    They read the entries of the store themselves, or receive them.

    Args:
        state: The state.
        now_s: Time.
        turn: Number of the digest; successive ones tell all targets.
    """
    told = sorted(
        Departure(name, mark.incarnation, mark.address, now_s - mark.said_s)
        for name, mark in state.marks.items()
        if mark.source is not Source.STORE and now_s - mark.said_s <= _TELL_S)
    if len(told) <= MAX_TOLD:
        return tuple(told)
    first = turn * MAX_TOLD % len(told)
    return tuple((told + told)[first:first + MAX_TOLD])


def _covers(mark: Mark, incarnation: int, address: str) -> bool:
    if mark.incarnation and incarnation:
        return incarnation <= mark.incarnation
    return address == mark.address


def _is_ended(mark: Mark, entry: directory.Registration | None) -> bool:
    """Returns whether the entry of a target, if any, ends its mark."""
    if entry is None:
        return not mark.incarnation
    if mark.source is Source.STORE and not mark.incarnation:
        return not entry.is_leaving
    return not _covers(mark, entry.incarnation, entry.address)


def _end(name: str, mark: Mark, now_s: float) -> Ended:
    return Ended(name, mark.incarnation, Source.STORE, now_s - mark.said_s)


def _limit_absent(state: State, now_s: float, changes: list[Change]) -> Result:
    """Forgets targets that have had no entry for long, or are too many."""
    absent = sorted((mark.absent_s, name)
                    for name, mark in state.marks.items()
                    if mark.absent_s < math.inf)
    surplus = len(absent) - _MAX_ABSENT
    marks = state.marks
    for number, (absent_s, name) in enumerate(absent):
        if number < surplus or now_s - absent_s > _RETENTION_S:
            changes.append(_end(name, marks[name], now_s))
            marks = marks.delete(name)
    return state._replace(marks=marks), changes
