"""Leases with increasing fencing tokens, stored in rows of the table service.

A lease is a row with holder, fencing token and write id. Each takeover raises
the token; each renewal replaces the row at its version. The protocol compares
only durations on the daemon's own monotonic clock:

- The holder acts for `act_window_s` from the moment at which it sent its last
  confirmed write. That is before the row changed, hence before any other daemon
  could see the change.
- Another daemon takes over after it has seen the row unchanged for `ttl_s`,
  which is well above `act_window_s`. It then waits `takeover_margin_s` for
  orders of the old holder that are still in transit, and acts once it has read
  the row again and found its own write id.
- The holder calls `fence` before each action, so that after a pause it detects
  that its window has passed.

A store that returns from an older copy may have lost takeovers and renewals.
Nobody takes over for `ttl_s` after it has first seen a new era of the store, by
when the act windows of lost holders have passed, and tokens start anew above
those of earlier eras. A holder goes on if the copy has its token.

The next read resolves a write without a response, because the row's value holds
the write id. The window of such a write counts from its sending as well.

References:
    Gray, Cheriton: "Leases", 1989.
"""

import functools
import math
import random
import typing

import immutables
import msgspec

from persimmonspan import decoding
from persimmonspan.connection import store_era
from persimmonspan.process import gossip_plan

_WRITE_ID_BITS = 64
_FENCE_BITS = 32  # For the tokens of one era.


class Options(typing.NamedTuple):
    """Durations. `ttl_s` must exceed `act_window_s` by the clock drift plus any
    pause between the check of the lease and the sending of an order."""

    ttl_s: float = 10.0
    act_window_s: float = 6.0
    takeover_margin_s: float = 2.0
    renew_interval_s: float = 2.0
    read_interval_s: float = 2.0
    # Delay per rank for a lease, so that few writes of daemons collide.
    rank_delay_s: float = 2.0


class RowDocument(typing.TypedDict):
    """Value of a `lease/` row; an empty holder means released."""

    holder: str
    fence: int
    write_id: str


class Row(typing.NamedTuple):
    """A lease row as read; version 0 means absent."""

    version: int = 0
    holder: str = ""
    fence: int = 0
    write_id: str = ""


class PendingWrite(typing.NamedTuple):
    """A write whose outcome is not settled yet."""

    row: Row
    sent_s: float
    is_in_doubt: bool = False


class Lease(typing.NamedTuple):
    """Recorded state of one lease."""

    row: Row = Row()
    unchanged_since_s: float = math.inf  # When this row was first seen.
    pending: PendingWrite | None = None
    confirmed_s: float = -math.inf  # Sending time of the last confirmed write.
    acquired_s: float = -math.inf
    is_read_again: bool = False


class State(typing.NamedTuple):
    """Leases as one daemon sees them."""

    options: Options
    daemon: str
    holder: str  # Differs between runs of the daemon.
    leases: immutables.Map[str, Lease] = immutables.Map()
    live_daemons: frozenset[str] = frozenset()
    last_read_sent_s: float = -math.inf
    is_draining: bool = False
    era: int | None = None  # Era of the store in the last read.
    era_seen_s: float = -math.inf


class NamesChanged(typing.NamedTuple):
    """The set of leases into which work is split changed."""

    names: frozenset[str]


class LiveDaemonsChanged(typing.NamedTuple):
    """The set of live daemons, the own one included, changed."""

    daemons: frozenset[str]


class RowsRead(typing.NamedTuple):
    """Rows of all leases were read; `read_sent_s` is when the read was sent."""

    rows: immutables.Map[str, Row]
    read_sent_s: float
    era: int = 0


class WriteEnded(typing.NamedTuple):
    """A write was applied (True), refused (False), or is in doubt (None)."""

    name: str
    write_id: str
    is_applied: bool | None
    version: int


class DrainStarted(typing.NamedTuple):
    """The daemon started to drain and releases its leases."""


class Tick(typing.NamedTuple):
    """Time passed; sent several times within the takeover margin."""


class ReadRows(typing.NamedTuple):
    """Read the rows of all leases."""


class WriteRow(typing.NamedTuple):
    """Write a row if it still has the expected version."""

    name: str
    expected_version: int
    value: str
    write_id: str


class Count(typing.NamedTuple):
    """Increment the counter of an event."""

    reason: str


Event = (NamesChanged | LiveDaemonsChanged | RowsRead | WriteEnded |
         DrainStarted | Tick)
Command = ReadRows | WriteRow | Count
Result = tuple[State, list[Command]]


def step(state: State, event: Event, now_s: float,
         rng: random.Random) -> Result:
    """Returns the next state and the commands that the event leads to."""
    return _step(event, state, now_s, rng)


def make_state(daemon: str, incarnation: int,
               options: Options = Options()) -> State:
    """Returns the state of a daemon that has no leases recorded."""
    return State(options, daemon, f"{daemon}/{incarnation}")


def fence(state: State, name: str, now_s: float) -> int | None:
    """Returns the fencing token if the daemon may act now, else None."""
    lease = state.leases.get(name)
    if (lease is None or lease.row.holder != state.holder or
            not lease.is_read_again or _is_being_released(lease) or
            now_s >= lease.confirmed_s + state.options.act_window_s):
        return None
    return lease.row.fence


def select_held_leases(state: State, now_s: float) -> list[str]:
    """Returns the names of the leases under which the daemon may act now."""
    return [
        name for name in state.leases if fence(state, name, now_s) is not None
    ]


def decode_row(version: int, value: str) -> Row:
    """Decodes the value of a table row; version 0 means an absent row."""
    if version == 0:
        return Row()
    document = decoding.JsonDecoder(RowDocument).decode(value)
    return Row(version, document["holder"], document["fence"],
               document["write_id"])


@functools.singledispatch
def _step(event: object, state: State, now_s: float,
          rng: random.Random) -> Result:
    raise TypeError(f"unknown event {event!r} at {now_s} {state} {rng}")


@_step.register
def _(event: NamesChanged, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s, rng
    leases = immutables.Map(
        {name: state.leases.get(name, Lease()) for name in event.names})
    return state._replace(leases=leases), []


@_step.register
def _(event: LiveDaemonsChanged, state: State, now_s: float,
      rng: random.Random) -> Result:
    del now_s, rng
    return state._replace(live_daemons=event.daemons), []


@_step.register
def _(event: DrainStarted, state: State, now_s: float,
      rng: random.Random) -> Result:
    del event
    return _write_due_rows(state._replace(is_draining=True), now_s, rng)


@_step.register
def _(event: Tick, state: State, now_s: float, rng: random.Random) -> Result:
    del event
    state, commands = _write_due_rows(state, now_s, rng)
    if now_s - state.last_read_sent_s >= state.options.read_interval_s:
        state = state._replace(last_read_sent_s=now_s)
        commands.append(ReadRows())
    return state, commands


@_step.register
def _(event: RowsRead, state: State, now_s: float,
      rng: random.Random) -> Result:
    if any(row.version and store_era.split_version(row.version)[0] != event.era
           for row in event.rows.values()) or event.era < (state.era or 0):
        return state, [Count("lease_read_of_earlier_era")]
    if event.era != (state.era or 0):
        state = _enter_era(state, event, now_s)
    state = state._replace(era=event.era)
    for name, row in event.rows.items():
        if name in state.leases:
            lease = _merge_row(state, state.leases[name], row,
                               event.read_sent_s, now_s)
            state = state._replace(leases=state.leases.set(name, lease))
    return _write_due_rows(state, now_s, rng)


@_step.register
def _(event: WriteEnded, state: State, now_s: float,
      rng: random.Random) -> Result:
    del rng
    lease = state.leases.get(event.name)
    if (lease is None or lease.pending is None or
            lease.pending.row.write_id != event.write_id):
        return state, []
    commands: list[Command] = []
    if event.is_applied:
        row = lease.pending.row._replace(version=event.version)
        lease = _confirm_write(state, lease, row, now_s)
    elif event.is_applied is None:
        commands.append(Count("lease_write_in_doubt"))
        lease = lease._replace(pending=lease.pending._replace(is_in_doubt=True))
    else:
        commands.append(Count("lease_write_refused"))
        # Prevents another write before the row has been read again.
        lease = lease._replace(pending=None, unchanged_since_s=math.inf)
    leases = state.leases.set(event.name, lease)
    return state._replace(leases=leases, last_read_sent_s=-math.inf), commands


def _enter_era(state: State, event: RowsRead, now_s: float) -> State:
    """Replaces all rows by those of a new era."""
    leases = state.leases
    for name, lease in leases.items():
        row = event.rows.get(name, Row())
        is_still_held = (row.holder == lease.row.holder == state.holder and
                         row.fence == lease.row.fence and
                         not _is_being_released(lease))
        leases = leases.set(
            name,
            lease._replace(row=row, pending=None, unchanged_since_s=now_s)
            if is_still_held else Lease(row, now_s))
    return state._replace(leases=leases, era_seen_s=now_s)


def _next_fence(state: State, row: Row) -> int:
    return max(row.fence, (state.era or 0) << _FENCE_BITS) + 1


def _is_takeover_safe(state: State, now_s: float) -> bool:
    return now_s - state.era_seen_s >= state.options.ttl_s


def _is_being_released(lease: Lease) -> bool:
    # The release may have been applied even if the response is lost.
    return lease.pending is not None and not lease.pending.row.holder


def _merge_row(state: State, lease: Lease, row: Row, read_sent_s: float,
               now_s: float) -> Lease:
    """Merges a row that was read into a lease."""
    pending = lease.pending
    if row.version < lease.row.version:
        return lease  # A newer read or write overtook this read.
    if pending is not None and pending.row.write_id == row.write_id:
        return _confirm_write(state, lease, row, now_s)
    if row == lease.row:
        if math.isinf(lease.unchanged_since_s):
            lease = lease._replace(unchanged_since_s=now_s)
        if (row.holder == state.holder and read_sent_s
                >= lease.acquired_s + state.options.takeover_margin_s):
            lease = lease._replace(is_read_again=True)
        return _drop_write_in_doubt(lease, state, now_s)
    # The row changed; a pending write expects a version that is gone.
    return Lease(row, now_s)


def _drop_write_in_doubt(lease: Lease, state: State, now_s: float) -> Lease:
    """Drops a write in doubt that is most likely no longer in transit.

    The next write expects the same version, so that at most one of the two
    takes effect; the row's write id shows which.
    """
    pending = lease.pending
    if (pending is not None and pending.is_in_doubt and
            now_s - pending.sent_s > state.options.renew_interval_s):
        return lease._replace(pending=None)
    return lease


def _confirm_write(state: State, lease: Lease, row: Row, now_s: float) -> Lease:
    """Records a row that the own daemon wrote."""
    assert lease.pending is not None
    if row.holder != state.holder:
        return Lease(row, now_s)
    is_renewal = (lease.row.holder == state.holder and
                  lease.row.fence == row.fence)
    if is_renewal:
        return lease._replace(row=row,
                              unchanged_since_s=now_s,
                              pending=None,
                              confirmed_s=lease.pending.sent_s)
    return Lease(row, now_s, None, lease.pending.sent_s, now_s)


def _write_due_rows(state: State, now_s: float, rng: random.Random) -> Result:
    commands: list[Command] = []
    surplus = _find_surplus_lease(state, now_s)
    for name, lease in state.leases.items():
        if lease.pending is not None or math.isinf(lease.unchanged_since_s):
            continue
        row = _next_row(state, name, lease, name == surplus, now_s)
        if row is None:
            continue
        row = row._replace(write_id=f"{rng.getrandbits(_WRITE_ID_BITS):016x}")
        state = state._replace(leases=state.leases.set(
            name, lease._replace(pending=PendingWrite(row, now_s))))
        document = RowDocument(holder=row.holder,
                               fence=row.fence,
                               write_id=row.write_id)
        commands.append(
            WriteRow(name, lease.row.version,
                     msgspec.json.encode(document).decode(), row.write_id))
    return state, commands


def _next_row(state: State, name: str, lease: Lease, is_surplus: bool,
              now_s: float) -> Row | None:
    """Returns the row to write now, without its write id, or None."""
    row, options = lease.row, state.options
    if row.holder == state.holder:
        is_in_act_window = now_s < lease.confirmed_s + options.act_window_s
        if state.is_draining or is_surplus:
            return row._replace(holder="")
        if not is_in_act_window:
            # An earlier run held the lease, or the act window has passed: raise
            # the token as in a takeover.
            return row._replace(
                fence=_next_fence(state, row)) if _is_takeover_safe(
                    state, now_s) else None
        if now_s >= lease.confirmed_s + options.renew_interval_s:
            return row
        return None
    if state.is_draining or not _is_takeover_safe(state, now_s):
        return None
    wait_s = options.ttl_s if row.holder else 0.0
    wait_s += _rank(state, name) * options.rank_delay_s
    if now_s - lease.unchanged_since_s < wait_s:
        return None
    return Row(row.version, state.holder, _next_fence(state, row))


def _rank(state: State, name: str) -> int:
    own = gossip_plan.rendezvous_score(name, state.daemon)
    return sum(1 for daemon in state.live_daemons
               if gossip_plan.rendezvous_score(name, daemon) > own)


def _find_surplus_lease(state: State, now_s: float) -> str | None:
    """Returns a lease to release if the daemon holds more than its share.

    The daemon keeps one lease above its share, so that leases do not move back
    and forth.
    """
    own = select_held_leases(state, now_s)
    share = math.ceil(len(state.leases) / max(1, len(state.live_daemons))) + 1
    if len(own) <= share:
        return None
    return max(own, key=lambda name: (_rank(state, name), name))
