"""Versions of rows that stay unique when the store returns from a copy.

A store that returns from an older copy issues versions again. Its responses
carry its era, which rises with each return. This module combines the era and
the version of the store into one number, so that a version that was read in an
earlier era equals none of a later era and is lower than all of them. Version 0
means an absent row in every era; a store without eras has era 0, in which
versions are those of the store.

>>> qualify_version(0, 7), qualify_version(3, 0)
(7, 0)
>>> split_version(qualify_version(3, 7))
(3, 7)
>>> qualify_version(2, 90) < qualify_version(3, 7)
True
"""

import logging
import threading

HEADER = "Store-Era"
_VERSION_BITS = 48
_MAX_DIGITS = 15

_logger = logging.getLogger(__name__)


def qualify_version(era: int, version: int) -> int:
    """Returns the number that stands for a version of the store in an era."""
    return era << _VERSION_BITS | version if version else 0


def split_version(version: int) -> tuple[int, int]:
    """Returns the era and the version of the store."""
    return version >> _VERSION_BITS, version & (1 << _VERSION_BITS) - 1


class EraTracker:
    """The highest era in the responses of a store; usable from any thread."""

    def __init__(self) -> None:
        self._era: int | None = None
        self._lock = threading.Lock()

    @property
    def era(self) -> int | None:
        """The era, or None before the first response."""
        return self._era

    def observe(self, header: str | None) -> int:
        """Records the era of a response and returns it.

        A response without a readable era counts as one of the current era.
        """
        if header is None or not (header.isascii() and header.isdigit() and
                                  len(header) <= _MAX_DIGITS):
            if header is not None:
                _logger.warning("the store sent an era that is not a number",
                                extra={"value": header[:40]})
            header = str(self._era or 0)
        era = int(header)
        with self._lock:
            previous, self._era = self._era, max(era, self._era or 0)
        if previous is not None and era > previous:
            _logger.warning("the store returned from an older copy",
                            extra={
                                "era": era,
                                "previous_era": previous
                            })
        return era
