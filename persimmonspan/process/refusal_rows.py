"""Which rows of the store keep the evidence of the quarantine.

The quarantine lives in the memory of the daemons. If all are lost, a request
that crashes targets would crash three more before it is refused again. The
daemon that condemns a fingerprint, or counts its second crash, therefore writes
a row, which each daemon reads at its start. A first crash is not written: it
counts against all requests beside the one that caused it, and the answers of
these clear them.

The others learn of it by digests. The store may turn away the daemon that
writes, and that daemon may be lost. So two others, which come first for the
fingerprint by rendezvous hashing, write the row too after `TAKE_OVER_S`. The
load is three writes for each second crash and each refusal, however many
daemons there are.

A row holds the time of day at which its evidence ends, as no clock is common to
two processes. Clocks may be set: a reader believes no row for longer than its
kind of evidence lasts, and removes one that seems to be over only after that
time.

A daemon to which no other one sends digests, such as one that is cut off from
them, reads the rows again and again and writes first crashes too. The load is
one read a second for each such daemon.

When evidence ends, the one daemon that comes first removes its row. An answer
that clears a fingerprint removes it at once.

All functions are pure.

>>> report = events.QuarantineShared("part:a", 3, 600.0, is_refused=True)
>>> state = record_own(State(), report, 0.0)
>>> len(state.writes), len(record_own(state, report, 1.0).writes)
(1, 1)
>>> state = record_peer(State(), report, 0.0)
>>> len(state.writes), len(expire(state, "d", (), TAKE_OVER_S).writes)
(0, 1)
"""

import hashlib
import math
import typing

import immutables
import msgspec

from persimmonspan import decoding
from persimmonspan.process import row_store
from persimmonspan.request import crash_evidence
from persimmonspan.request import events
from persimmonspan.request import quarantine

# Rows outlive their refusals by this time, for clocks that differ.
_REMOVAL_MARGIN_S = 30.0
# Crashes from which on a fingerprint that is not refused has a row.
_MIN_CRASHES = 2
# A row that a peer has to write is there after this time, if nothing is amiss.
TAKE_OVER_S = 1.0
_WRITERS = 2  # Beside the daemon that reported it.

_encoder = msgspec.msgpack.Encoder()


class _Stored(msgspec.Struct, array_like=True):
    """Value of a row; its key is the fingerprint."""

    expires_s: float  # Time of day.
    crashes: int
    crashes_alone: int = 0
    requests: tuple[str, ...] = ()
    is_refused: bool = True


_decoder = decoding.MsgpackDecoder(_Stored)


class Write(typing.NamedTuple):
    """Evidence whose row is to be written, and when it ends."""

    report: events.QuarantineShared
    until_s: float


class Known(typing.NamedTuple):
    """Evidence that has a row, and when the row is to be removed.

    `report` is what a peer told and is yet to be written from `take_over_s` on,
    if this daemon is one of those that write it.
    """

    until_s: float
    remove_s: float
    crashes: int = 0
    is_refused: bool = False
    report: events.QuarantineShared | None = None
    take_over_s: float = math.inf


class State(typing.NamedTuple):
    """Evidence with rows, and changes of the table that are not made yet."""

    known: immutables.Map[str, Known] = immutables.Map()
    writes: immutables.Map[str, Write] = immutables.Map()
    removals: frozenset[str] = frozenset()


class Read(typing.NamedTuple):
    """Evidence that is new here, and the rows that were not understood."""

    evidence: tuple[events.QuarantineShared, ...]
    faulty: immutables.Map[str, str]


def record_own(state: State,
               report: events.QuarantineShared,
               now_s: float,
               hears_nobody: bool = False) -> State:
    """Records a report of this daemon's quarantine.

    Args:
        state: The state before.
        report: The report.
        now_s: Time.
        hears_nobody: Whether no other daemon sends digests here. The others
            then hear of the first crash from its row.
    """
    fingerprint = report.fingerprint
    if report.crashes <= 0:
        if fingerprint not in state.known:
            return state
        return _forget(state, fingerprint)._replace(removals=state.removals |
                                                    {fingerprint})
    if (not (_has_row(report) or hears_nobody) or
            _is_known(state, report, now_s)):
        return state
    state = _know(state, report, now_s)
    return state._replace(writes=state.writes.set(
        fingerprint, Write(report, now_s + report.ttl_s)),
                          removals=state.removals - {fingerprint})


def record_peer(state: State, report: events.QuarantineShared,
                now_s: float) -> State:
    """Records a report of a peer, which writes or removes the row itself."""
    if report.crashes <= 0:
        return _forget(state, report.fingerprint)
    if not _has_row(report) or _is_known(state, report, now_s):
        return state
    return _know(state, report, now_s, now_s + TAKE_OVER_S)


def record_rows(state: State, rows: typing.Iterable[row_store.Row],
                now_s: float, wall_s: float) -> tuple[State, Read]:
    """Records the rows that were read.

    Args:
        state: The state before.
        rows: The rows of the table.
        now_s: Time.
        wall_s: Time of day.
    """
    evidence, faulty = [], {}
    for row in rows:
        if not row.value:
            continue
        try:
            stored = _decoder.decode(row.value)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            faulty[row.key] = str(error)
            continue
        full_ttl_s = (quarantine.REFUSAL_TTL_S
                      if stored.is_refused else crash_evidence.SUSPECT_TTL_S)
        ttl_s = min(stored.expires_s - wall_s, full_ttl_s)
        if stored.crashes > 0 and ttl_s > 0:
            report = events.QuarantineShared(row.key, stored.crashes, ttl_s,
                                             stored.crashes_alone,
                                             stored.requests, stored.is_refused)
            if not _is_known(state, report, now_s):
                evidence.append(report)
                state = _know(state, report, now_s)
        elif row.key not in state.known:
            remove_s = now_s + quarantine.REFUSAL_TTL_S + _REMOVAL_MARGIN_S
            state = state._replace(
                known=state.known.set(row.key, Known(now_s, remove_s)))
    return state, Read(tuple(evidence), immutables.Map(faulty))


def expire(state: State, name: str, daemons: typing.Collection[str],
           now_s: float) -> State:
    """Adds the rows that this daemon is to write or to remove now.

    Args:
        state: The state before.
        name: Name of this daemon.
        daemons: Names of all daemons.
        now_s: Time.
    """
    over = [
        fingerprint for fingerprint, known in state.known.items()
        if known.remove_s <= now_s
    ]
    daemons = {name, *daemons}
    own = {item for item in over if _rank(item, daemons, name) == 0}
    for fingerprint in over:
        state = _forget(state, fingerprint)
    for fingerprint, known in state.known.items():
        if known.take_over_s > now_s:
            continue
        state = state._replace(known=state.known.set(
            fingerprint, known._replace(report=None, take_over_s=math.inf)))
        if _rank(fingerprint, daemons, name) < _WRITERS:
            state = state._replace(writes=state.writes.set(
                fingerprint, Write(known.report, known.until_s)))
    return state._replace(removals=state.removals | own)


def next_expiry_s(state: State) -> float | None:
    """Returns when the next row is to be written or removed, or None."""
    return min((min(known.remove_s, known.take_over_s)
                for known in state.known.values()),
               default=None)


def select(state: State, limit: int, now_s: float,
           wall_s: float) -> tuple[dict[str, bytes], tuple[str, ...]]:
    """Returns the rows to write and those to remove with the next call.

    Args:
        state: The state.
        limit: Number of rows that one call takes.
        now_s: Time.
        wall_s: Time of day.
    """
    writes = dict(sorted(state.writes.items())[:limit])
    removals = sorted(state.removals)[:limit - len(writes)]
    return {
        fingerprint:
            _encoder.encode(
                _Stored(wall_s + write.until_s - now_s, write.report.crashes,
                        write.report.crashes_alone, write.report.requests,
                        write.report.is_refused))
        for fingerprint, write in writes.items()
    }, tuple(removals)


def record_done(state: State, sent: typing.Mapping[str, Write],
                removed: typing.Iterable[str]) -> State:
    """Records changes that the store made, unless others are due meanwhile."""
    return state._replace(writes=immutables.Map({
        fingerprint: write
        for fingerprint, write in state.writes.items()
        if sent.get(fingerprint) != write
    }),
                          removals=state.removals.difference(removed))


def _has_row(report: events.QuarantineShared) -> bool:
    return report.is_refused or report.crashes >= _MIN_CRASHES


def _is_known(state: State, report: events.QuarantineShared,
              now_s: float) -> bool:
    """Returns whether a row tells as much as a report already."""
    known = state.known.get(report.fingerprint)
    return (known is not None and known.until_s > now_s and
            (known.is_refused or
             not report.is_refused and known.crashes >= report.crashes))


def _know(state: State,
          report: events.QuarantineShared,
          now_s: float,
          take_over_s: float = math.inf) -> State:
    until_s = now_s + min(report.ttl_s, quarantine.REFUSAL_TTL_S)
    return state._replace(known=state.known.set(
        report.fingerprint,
        Known(until_s, until_s +
              _REMOVAL_MARGIN_S, report.crashes, report.is_refused,
              report if take_over_s < math.inf else None, take_over_s)))


def _forget(state: State, fingerprint: str) -> State:
    return state._replace(known=_without(state.known, fingerprint),
                          writes=_without(state.writes, fingerprint))


def _without(items: immutables.Map, key: str) -> immutables.Map:
    return items.delete(key) if key in items else items


def _rank(fingerprint: str, daemons: typing.Iterable[str], name: str) -> int:
    """Returns how many daemons come before one for a row."""

    def weight(daemon: str) -> bytes:
        return hashlib.blake2b(f"{daemon}\n{fingerprint}".encode(),
                               digest_size=8).digest()

    own = weight(name)
    return sum(weight(daemon) > own for daemon in daemons)
