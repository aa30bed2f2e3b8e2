"""Tells a reader that has just started which entries of a copy are stale.

The store may come back from a copy that shows targets as ready which have left.
Daemons that knew them do not believe these entries. A reader that started since
knows the copy only. The others tell it what they know of entries that it shows
and they doubt. It believes that of targets which it did not know before the
store came back.
"""

import random
import typing

import immutables
import msgspec

from persimmonspan.process import directory

# A reader that believes these shows them no longer, so that more may follow.
# The load: digests of 195 daemons over the link of the reader.
_MAX_ENTRIES = 16


class StaleEntries(msgspec.Struct, array_like=True):
    """Entries as a daemon knows them, in place of those of the copy.

    `returned_age_s` is the time since it saw the store come back, in `era`.
    """

    era: int
    returned_age_s: float
    entries: tuple[directory.Registration, ...]


class Selection(typing.NamedTuple):
    """What a daemon tells the reader, and until when that holds."""

    era: int
    returned_s: float
    valid_until_s: float
    entries: tuple[directory.Registration, ...]


def select(state: directory.State,
           generator: random.Random) -> Selection | None:
    """Returns what the reader does not know, or some of it.

    Args:
        state: The state after a snapshot of the reader. It doubts the entries
            that the reader should not show.
        generator: Chooses, so that many daemons tell the reader most of it.

    >>> one = directory.Registration("a", "s", "10.0.0.1:80", "d", 1, False, 7)
    >>> state, _ = directory.apply_rows(directory.State(), [one], 0.0, 1)
    >>> state, _ = directory.apply_rows(state, [], 1.0, 1)
    >>> state, _ = directory.apply_snapshot(state, [one], 2.0, 2)
    >>> select(state, random.Random()).entries == (one,)
    True
    """
    known = {
        **{
            name: item.entry for name, item in state.gone.items()
        },
        **state.lapsed,
        **state.present
    }
    # Few of the entries that are gone are remembered.
    entries = [known[name] for name in state.doubted if name in known]
    if not entries:
        return None
    return Selection(
        state.era, state.returned_s,
        state.returned_s + directory.REMOVAL_TIMEOUT_S,
        tuple(generator.sample(entries, min(len(entries), _MAX_ENTRIES))))


def encode(selection: Selection | None, now_s: float) -> StaleEntries | None:
    """Returns a selection for a digest, or None if it holds no longer."""
    if selection is None or now_s >= selection.valid_until_s:
        return None
    return StaleEntries(selection.era, now_s - selection.returned_s,
                        selection.entries)


def apply(state: directory.State, stale: StaleEntries,
          now_s: float) -> tuple[directory.State, directory.Change]:
    """Applies what a peer knows of entries of the copy.

    Targets that this daemon knew before the store came back are left as they
    are, as are those that it knows to be gone.
    """
    rows = {row.name: row for row in directory.last_rows(state)}
    added = {
        entry.name: _to_gone(entry, rows[entry.name], state, now_s)
        for entry in stale.entries
        if entry.name in rows and _is_new(entry, state)
    }
    if stale.era != state.era or not added:
        return state, directory.Change()
    targets = {entry.name: entry for entry in directory.all_targets(state)}
    # What is removed from both is judged anew from its row.
    present, lapsed = (immutables.Map({
        name: entry for name, entry in entries.items() if name not in added
    }) for entries in (state.present, state.lapsed))
    returned_s = max(state.returned_s, now_s - stale.returned_age_s)
    state, change = directory.apply_last_rows(
        state._replace(present=present,
                       lapsed=lapsed,
                       returned_s=returned_s,
                       gone=immutables.Map({
                           **state.gone,
                           **added
                       }),
                       former=immutables.Map({
                           **state.former,
                           **{
                               name: item.entry for name, item in added.items()
                           }
                       })), rows.values(), now_s)
    gone = tuple(targets[name]
                 for name in added
                 if name in targets and name not in state.present)
    return state, change._replace(gone=(*change.gone, *gone))


def _to_gone(entry: directory.Registration, row: directory.Registration,
             state: directory.State, now_s: float) -> directory.Gone:
    # A newer incarnation than that of the copy is used once it registers.
    is_newer = entry.incarnation > row.incarnation
    return directory.Gone(entry, state.era if is_newer else 0, now_s)


def _is_new(entry: directory.Registration, state: directory.State) -> bool:
    if entry.name in state.former or entry.name in state.gone:
        return False
    known = state.present.get(entry.name, state.lapsed.get(entry.name))
    if known is None or known.incarnation < entry.incarnation:
        return True
    return known.incarnation == entry.incarnation and not known.is_leaving
