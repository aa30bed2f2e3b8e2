"""Decoder of the rows by which operators evacuate failure domains.

They are in the table of the configuration; their values mean nothing.

>>> decode("evacuate/lima-a"), decode("config"), decode("evacuate/")
('lima-a', None, None)
"""

_PREFIX = "evacuate/"


def decode(key: str) -> str | None:
    """Returns the failure domain that a row evacuates, or None if it is none.
    """
    return key.removeprefix(_PREFIX) or None if key.startswith(
        _PREFIX) else None
