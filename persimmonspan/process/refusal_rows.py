"""Which rows of the store keep the refusals of the quarantine.

The quarantine lives in the memory of the daemons. If all are lost, a request
that crashes targets would crash three more before it is refused again. The
daemon that condemns a fingerprint therefore writes a row, which each daemon
reads at its start. The others learn the refusal by digests and write nothing.

A row holds the time of day at which its refusal ends, as no clock is common to
two processes. Clocks may be set: a reader believes no row for longer than a
refusal lasts, and removes one that seems to be over only after that time.

When a refusal ends, the one daemon that comes first for it by rendezvous
hashing removes its row. An answer that clears a fingerprint removes it at once.

All functions are pure.

>>> report = events.QuarantineShared("part:a", 3, 600.0, is_refused=True)
>>> state = record_own(State(), report, 0.0)
>>> len(state.writes), len(record_own(state, report, 1.0).writes)
(1, 1)
>>> record_peer(State(), report, 0.0).writes
immutables.Map({})
"""

import hashlib
import typing

import immutables
import msgspec

from persimmonspan import decoding
from persimmonspan.process import row_store
from persimmonspan.request import events
from persimmonspan.request import quarantine

# Rows outlive their refusals by this time, for clocks that differ.
_REMOVAL_MARGIN_S = 30.0

_encoder = msgspec.msgpack.Encoder()


class _Stored(msgspec.Struct, array_like=True):
    """Value of a row; its key is the fingerprint."""

    expires_s: float  # Time of day.
    crashes: int
    crashes_alone: int = 0
    requests: tuple[str, ...] = ()


_decoder = decoding.MsgpackDecoder(_Stored)


class Write(typing.NamedTuple):
    """A refusal whose row is to be written, and when it ends."""

    report: events.QuarantineShared
    until_s: float


class Known(typing.NamedTuple):
    """A refusal that has a row, and when the row is to be removed."""

    until_s: float
    remove_s: float


class State(typing.NamedTuple):
    """Refusals with rows, and changes of the table that are not made yet."""

    known: immutables.Map[str, Known] = immutables.Map()
    writes: immutables.Map[str, Write] = immutables.Map()
    removals: frozenset[str] = frozenset()


class Read(typing.NamedTuple):
    """Refusals in force, and the rows that were not understood, by their key.
    """

    refusals: tuple[events.QuarantineShared, ...]
    faulty: immutables.Map[str, str]


def record_own(state: State, report: events.QuarantineShared,
               now_s: float) -> State:
    """Records a report of this daemon's quarantine."""
    fingerprint = report.fingerprint
    if report.crashes <= 0:
        if fingerprint not in state.known:
            return state
        return _forget(state, fingerprint)._replace(removals=state.removals |
                                                    {fingerprint})
    known = state.known.get(fingerprint)
    if not report.is_refused or (known is not None and known.until_s > now_s):
        return state
    state = _know(state, fingerprint, now_s + report.ttl_s)
    return state._replace(writes=state.writes.set(
        fingerprint, Write(report, now_s + report.ttl_s)),
                          removals=state.removals - {fingerprint})


def record_peer(state: State, report: events.QuarantineShared,
                now_s: float) -> State:
    """Records a report of a peer, which writes or removes the row itself."""
    if report.crashes <= 0:
        return _forget(state, report.fingerprint)
    if not report.is_refused:
        return state
    known = state.known.get(report.fingerprint)
    until_s = now_s + min(report.ttl_s, quarantine.REFUSAL_TTL_S)
    if known is not None and known.until_s >= until_s:
        return state
    return _know(state, report.fingerprint, until_s)


def record_rows(state: State, rows: typing.Iterable[row_store.Row],
                now_s: float, wall_s: float) -> tuple[State, Read]:
    """Records the rows that were read at the start.

    Args:
        state: The state before.
        rows: The rows of the table.
        now_s: Time.
        wall_s: Time of day.
    """
    refusals, faulty = [], {}
    for row in rows:
        if not row.value:
            continue
        try:
            stored = _decoder.decode(row.value)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            faulty[row.key] = str(error)
            continue
        ttl_s = min(stored.expires_s - wall_s, quarantine.REFUSAL_TTL_S)
        if stored.crashes > 0 and ttl_s > 0:
            report = events.QuarantineShared(row.key, stored.crashes, ttl_s,
                                             stored.crashes_alone,
                                             stored.requests, True)
            refusals.append(report)
            state = record_peer(state, report, now_s)
        elif row.key not in state.known:
            remove_s = now_s + quarantine.REFUSAL_TTL_S + _REMOVAL_MARGIN_S
            state = state._replace(
                known=state.known.set(row.key, Known(now_s, remove_s)))
    return state, Read(tuple(refusals), immutables.Map(faulty))


def expire(state: State, name: str, daemons: typing.Collection[str],
           now_s: float) -> State:
    """Adds the rows that this daemon is to remove now.

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
    own = {
        item for item in over if _responsible(item, {name, *daemons}) == name
    }
    for fingerprint in over:
        state = _forget(state, fingerprint)
    return state._replace(removals=state.removals | own)


def next_expiry_s(state: State) -> float | None:
    """Returns when the next row is to be removed, or None."""
    return min((known.remove_s for known in state.known.values()), default=None)


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
                        write.report.crashes_alone, write.report.requests))
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


def _know(state: State, fingerprint: str, until_s: float) -> State:
    return state._replace(known=state.known.set(
        fingerprint, Known(until_s, until_s + _REMOVAL_MARGIN_S)))


def _forget(state: State, fingerprint: str) -> State:
    return state._replace(known=_without(state.known, fingerprint),
                          writes=_without(state.writes, fingerprint))


def _without(items: immutables.Map, key: str) -> immutables.Map:
    return items.delete(key) if key in items else items


def _responsible(fingerprint: str, daemons: typing.Iterable[str]) -> str:
    """Returns the daemon that removes a row."""

    def weight(daemon: str) -> bytes:
        return hashlib.blake2b(f"{daemon}\n{fingerprint}".encode(),
                               digest_size=8).digest()

    return max(daemons, key=weight)
