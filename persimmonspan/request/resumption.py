"""Decides where a caller's stream goes on that broke off.

What two software versions of a service generate does not fit together, and
targets do not notice. A stream therefore goes on only at the version that began
it. The load: callers that take up hundreds of streams at once after all daemons
lost power, while a release replaces the targets; the daemons know nothing of
these streams but the rows that were written before their first events.

All functions are pure.
"""

import collections.abc

import msgspec


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """What began a stream; what is empty does not matter.

    Attributes:
        service: Service of the target.
        software_version: Software version of the target.
        target: Name of the target that ran the stream last.
        request_id: Id of that run at the target.
    """

    service: str = ""
    software_version: str = ""
    target: str = ""
    request_id: str = ""


def find_place(
        known: Origin | None, is_named: bool,
        versions: collections.abc.Mapping[str,
                                          frozenset[str]]) -> Origin | None:
    """Returns where a stream may go on, or None if it must not.

    Args:
        known: What began the stream, or None if nobody knows.
        is_named: Whether the caller says which call began the stream.
        versions: Software versions of the targets that are registered, or were
            recently, by service of the route.

    >>> versions = {"engines": frozenset({"v1", "v2"})}
    >>> find_place(Origin("engines", "v1"), True, versions).software_version
    'v1'
    >>> find_place(None, True, versions) is None
    True
    >>> find_place(None, True, {"engines": frozenset({""})})
    Origin(service='', software_version='', target='', request_id='')
    """
    if known is not None:
        return known if known.service in versions else None
    registered = frozenset().union(*versions.values())
    if registered <= {""}:
        # The targets do not tell their versions.
        return Origin()
    if is_guess(known, is_named, registered):
        return Origin("", *registered)
    return None


def is_guess(known: Origin | None, is_named: bool,
             registered: frozenset[str]) -> bool:
    """Returns whether a stream is placed at the only version there is.

    That is sound only if there is no other version that this daemon has not
    read yet.

    >>> is_guess(None, False, frozenset({"v1"}))
    True
    """
    return (known is None and not is_named and len(registered) == 1 and
            registered != {""})
