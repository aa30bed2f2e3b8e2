"""Header in which targets of the own interface say that they leave.

A target that leaves repeats it in all its answers: to requests, also to those
that it refuses, and to reads of its load. The value is the incarnation of its
load report, since an answer may arrive after a restart.
"""

import collections.abc

NAME = "X-Leaving"

_MAX_CHARS = 64


def decode(values: collections.abc.Iterable[bytes]) -> str | None:
    """Returns the incarnation that leaves, or None if none is named.

    Args:
        values: The values of all headers of this name in one answer.

    >>> decode([b" 5f1 "]), decode([b"5f1", b"5f1"])
    ('5f1', '5f1')
    >>> decode([]), decode([b""]), decode([b"5f1", b"6a2"])
    (None, None, None)
    """
    names = {value.strip() for value in values}
    if len(names) != 1:
        return None
    name = names.pop().decode("latin-1")
    is_valid = name.isascii() and name.isprintable() and " " not in name
    return name if is_valid and 0 < len(name) <= _MAX_CHARS else None
