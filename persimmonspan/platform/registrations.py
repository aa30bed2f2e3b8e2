"""Decoder of the replicas' entries in the platform's store."""

import typing

import msgspec

from persimmonspan import decoding
from persimmonspan.process import directory

TABLE = "servers"

_READY = "ready"
_DRAINING = "draining"

# Names are told to all daemons in digests. The bound is that of a key.
_Name = typing.Annotated[str, msgspec.Meta(max_length=200)]
_MAX_SLOTS = 100_000
# A number that every format of numbers holds exactly.
_MAX_TIME_MS = 2**53
_MAX_PORT = 65535


class _Entry(msgspec.Struct):
    service: _Name
    address: _Name
    zone: _Name
    state: str
    slots: typing.Annotated[int, msgspec.Meta(le=_MAX_SLOTS)] = 1
    # Misleading name: start time of the incarnation, in Unix milliseconds.
    born: typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_TIME_MS)] = 0
    coldRemainingMs: typing.Annotated[float,
                                      msgspec.Meta(ge=0, le=_MAX_TIME_MS)] = 0.0
    # Of the replica's software, not of the weights.
    version: _Name = ""


_decoder = decoding.JsonDecoder(_Entry)
_MS_PER_S = 1000.0


def decode(key: str, data: bytes) -> directory.Registration | None:
    """Decodes a replica's entry; returns None if no replica can be used by it.

    Other writers may leave unreadable entries in the table; the caller logs
    them.
    """
    try:
        entry = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if (entry.state not in (_READY, _DRAINING) or
            not _is_address(entry.address)):
        return None
    return directory.Registration(name=key,
                                  service=entry.service,
                                  address=entry.address,
                                  failure_domain=entry.zone,
                                  max_running=max(1, entry.slots),
                                  is_leaving=entry.state == _DRAINING,
                                  incarnation=entry.born,
                                  slow_start_s=entry.coldRemainingMs /
                                  _MS_PER_S,
                                  software_version=entry.version)


def _is_address(address: str) -> bool:
    """Returns whether an address consists of a host and a port.

    >>> _is_address("10.0.0.1:80"), _is_address("10.0.0.1:99999")
    (True, False)
    """
    host, _, port = address.rpartition(":")
    return (host != "" and port.isascii() and port.isdigit() and
            0 < int(port) <= _MAX_PORT)
