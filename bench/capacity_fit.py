"""Lines through measured sizes: processor time and traced memory.

A `Line` keeps the measured points beside the fitted slope, so that the page can
show both. Slopes are least-squares fits.

>>> line([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]).at(10.0)
21.0
"""

import collections.abc
import gc
import statistics
import time
import tracemalloc
import typing

_ROUNDS = 5
_NS_PER_US = 1000.0

Points = tuple[tuple[float, float], ...]


class Line(typing.NamedTuple):
    """Measured points with the fitted base and slope."""

    points: Points
    base: float
    slope: float

    def at(self, size: float) -> float:
        """Returns the fitted value at a size, never below zero."""
        return max(0.0, self.base + self.slope * size)


def line(points: collections.abc.Iterable[tuple[float, float]]) -> Line:
    """Fits a line; a size that was reached twice counts twice."""
    points = tuple(points)
    slope, base = statistics.linear_regression([x for x, _ in points],
                                               [y for _, y in points])
    return Line(points, base, slope)


def microseconds(call: collections.abc.Callable[[], object],
                 calls: int) -> float:
    """Returns the median processor time of a call over a few rounds."""
    taken_us = []
    for _ in range(_ROUNDS):
        start_ns = time.process_time_ns()
        for _ in range(calls):
            call()
        taken_us.append((time.process_time_ns() - start_ns) / calls)
    return statistics.median(taken_us) / _NS_PER_US


def traced_bytes(build: collections.abc.Callable[[], typing.Any]) -> int:
    """Returns the memory that a built state keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        state = build()
        gc.collect()
        used = tracemalloc.get_traced_memory()[0]
        del state
    finally:
        tracemalloc.stop()
    return used


def times(sizes: collections.abc.Iterable[int],
          make: collections.abc.Callable[[int],
                                         collections.abc.Callable[[], object]],
          calls: int) -> Line:
    """Fits the time of the calls that `make` returns for each size."""
    return line((size, microseconds(make(size), calls)) for size in sizes)
