"""Sums of the loads and demands of all edge daemons, as a hub sends them.

See Also:
    `persimmonspan.process.edge_peers`: the digests that contain the sums.
"""

import typing
import zlib

import msgspec

from persimmonspan import decoding
from persimmonspan.process import load_view
from persimmonspan.request import events

# A fast level: sums are small, and the hub compresses one at each interval.
_COMPRESSION_LEVEL = 1
# Limit after decompression; hundreds of targets need less.
_MAX_TOTALS_BYTES = 1024 * 1024


class Totals(typing.NamedTuple):
    """Sums over all daemons: loads by target, demands by service."""

    loads: dict[str, events.TargetLoad]
    demands: dict[str, events.Demand]
    speeds: tuple[events.TargetSpeed, ...] = ()  # Least times per token.


def without_part(
    sums: Totals, loads: typing.Iterable[events.TargetLoad],
    demands: typing.Iterable[events.Demand]
) -> tuple[tuple[events.TargetLoad, ...], tuple[events.Demand, ...]]:
    """Returns sums without one daemon's part, which must be in them."""
    rest_loads = dict(sums.loads)
    for load in loads:
        rest = load_view.subtract_loads(rest_loads[load.target], load)
        if rest.outstanding or rest.copy_tokens:
            rest_loads[load.target] = rest
        else:
            del rest_loads[load.target]
    rest_demands = dict(sums.demands)
    for demand in demands:
        total = rest_demands[demand.service]
        rest_demands[demand.service] = events.Demand(
            demand.service, round(total.starts_per_s - demand.starts_per_s, 1),
            total.waiting - demand.waiting)
    return tuple(rest_loads.values()), tuple(rest_demands.values())


class _EncodedTotals(msgspec.Struct, array_like=True):
    loads: tuple[events.TargetLoad, ...]
    demands: tuple[events.Demand, ...]
    speeds: tuple[events.TargetSpeed, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = decoding.MsgpackDecoder(_EncodedTotals)


def encode(sums: Totals) -> bytes:
    """Returns sums as a hub sends them to all daemons."""
    data = _encoder.encode(
        _EncodedTotals(tuple(sums.loads.values()), tuple(sums.demands.values()),
                       sums.speeds))
    return zlib.compress(data, _COMPRESSION_LEVEL)


def decode(data: bytes) -> Totals:
    """Returns the sums that a hub sent.

    Raises:
        msgspec.DecodeError: The bytes are not sums.
        zlib.error: The bytes are not compressed.
    """
    totals = _decoder.decode(zlib.decompressobj().decompress(
        data, _MAX_TOTALS_BYTES))
    return Totals({load.target: load for load in totals.loads},
                  {demand.service: demand for demand in totals.demands},
                  totals.speeds)
