"""Which targets ended without notice, as the changes of their entries tell.

A process or VM that ends silently resets no connection: what it ran stays
silent, as if it were slow. What shows its end comes later, from its entry:

- Another process registers under its name or at its address. It has ended.
- The entry is removed, since nobody renews it. The target may be cut off from
  the store only, or have left without notice; it has ended if it does not
  accept connections either.

A target that has told that it leaves is no such case, whenever it ends.

See Also:
    `persimmonspan.process.death_probe`: asks targets whose entries are gone.
    `persimmonspan.request.quarantine`: what follows for the requests there.
"""

import collections.abc
import typing

from persimmonspan.process import directory


class Lost(typing.NamedTuple):
    """Names of targets that ended, and entries that may belong to such."""

    ended: tuple[str, ...] = ()
    missing: tuple[directory.Registration, ...] = ()


def find_lost(
    usable: collections.abc.Iterable[directory.Registration],
    change: directory.Change,
    is_leaving: collections.abc.Callable[[directory.Registration],
                                         bool]) -> Lost:
    """Returns the targets that a change shows as lost.

    Args:
        usable: The targets that got new work before the change.
        change: The change.
        is_leaving: Returns whether a target said in an answer that it leaves.

    >>> old = directory.Registration("a", "s", "10.0.0.1:80", "d", 1)
    >>> new = old._replace(incarnation=7)
    >>> change = directory.Change(restarted=(new,))
    >>> find_lost([old], change, lambda entry: False)
    Lost(ended=('a',), missing=())
    """
    before = {entry.name: entry for entry in usable if not is_leaving(entry)}
    by_address = {entry.address: entry.name for entry in before.values()}
    ended = {entry.name for entry in change.restarted if entry.name in before}
    ended.update(by_address[entry.address]
                 for entry in (*change.joined, *change.restarted)
                 if entry.address in by_address)
    return Lost(
        tuple(sorted(ended)),
        tuple(before[entry.name]
              for entry in change.gone
              if entry.name in before and entry.name not in ended))
