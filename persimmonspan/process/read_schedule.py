"""Decides when an edge daemon reads the store itself.

One daemon reads for all. The others read only once what they received is older
than a share of the time in which a change must take effect, and those that are
not among the first by name wait longer, for one of the first to read for all.
The load: hundreds of daemons, whose calls to the store are limited together, at
a start, after the loss of the reader and in outages.

All functions are pure.
"""

import math
import typing

from persimmonspan.process import directory
from persimmonspan.process import edge_peers

# Share of the time in which a change in the store must take effect after which
# a daemon reads the store itself.
_MAX_TARGETS_AGE_SHARE = 0.35
_MAX_CONFIGURATION_AGE_SHARE = 0.65
# Factors of these ages for daemons that wait for one of the first to read for
# all. The load: an outage of the store, in which 195 daemons made most of the
# calls of a day.
_LATE_TARGETS_AGE_FACTOR = 2.0
_LATE_CONFIGURATION_AGE_FACTOR = 1.3
# Pauses after failed reads double from the least to the longest.
_PAUSE_RANGE_S = (0.25, 1.0)
_LATE_PAUSE_RANGE_S = (1.0, 2.0)
# Time between two reads of the targets by the daemon that reads for all, and of
# one that reads for itself because it receives nothing.
_READ_INTERVAL_S = 0.2
_OWN_READ_INTERVAL_SHARE = 0.8


class Limits(typing.NamedTuple):
    """Times in which changes in the store must take effect.

    The defaults are those of the smallest deployments.
    """

    drain_s: float = 2.0  # A leaving target gets no new work.
    configuration_apply_s: float = 2.0

    @property
    def max_targets_age_s(self) -> float:
        """Age of the targets at which a daemon reads them itself."""
        return _MAX_TARGETS_AGE_SHARE * self.drain_s

    @property
    def max_configuration_age_s(self) -> float:
        """Age of the version at which a daemon reads it itself."""
        return _MAX_CONFIGURATION_AGE_SHARE * self.configuration_apply_s


class OwnRead(typing.NamedTuple):
    """Data that this daemon itself read from the store.

    `entries_s` and `version_s` are the times at which the reads of `entries`
    and `version` began.
    """

    entries: tuple[directory.Registration, ...] = ()
    entries_s: float = -math.inf
    version: int = 0
    version_s: float = -math.inf
    configuration: bytes = b""  # Compressed.
    era: int = 0  # Of the store at the read of the entries.
    expired: tuple[str, ...] = ()  # Names of the entries that have lapsed.


def must_read_targets(state: edge_peers.State, own_read: OwnRead,
                      limits: Limits, now_s: float) -> bool:
    """Returns whether the daemon should read the registered targets."""
    factor = 1.0 if _is_early(state) else _LATE_TARGETS_AGE_FACTOR
    age_s = now_s - targets_confirmed_s(state, own_read)
    return (age_s > factor * limits.max_targets_age_s or
            edge_peers.is_reader(state, state.name, now_s))


def targets_read_interval_s(state: edge_peers.State, limits: Limits,
                            now_s: float) -> float:
    """Returns the time between two own reads of the targets."""
    if edge_peers.is_reader(state, state.name, now_s):
        return _READ_INTERVAL_S
    return max(_READ_INTERVAL_S,
               _OWN_READ_INTERVAL_SHARE * limits.max_targets_age_s)


def targets_confirmed_s(state: edge_peers.State, own_read: OwnRead) -> float:
    """Returns when the registered targets were last current."""
    return max(state.snapshot_s, own_read.entries_s)


def configuration_pause_s(state: edge_peers.State, limits: Limits,
                          now_s: float) -> float:
    """Returns the pause after an own read of the configuration.

    A daemon that reads for all waits for changes at the store without a pause.
    Others hear of a reader soon, and until then need no more than the permitted
    age.
    """
    if _is_early(state) or edge_peers.is_reader(state, state.name, now_s):
        return 0.0
    return _OWN_READ_INTERVAL_SHARE * limits.max_configuration_age_s


def last_confirmed_s(state: edge_peers.State, own_read: OwnRead) -> float:
    """Returns when targets and configuration were both last current.

    A read by this daemon counts from its start, a peer's from the time that its
    digest gives.
    """
    return min(targets_confirmed_s(state, own_read),
               max(state.configuration_s, own_read.version_s))


def must_read_configuration(state: edge_peers.State, limits: Limits,
                            now_s: float) -> bool:
    """Returns whether the daemon should read configurations itself."""
    factor = 1.0 if _is_early(state) else _LATE_CONFIGURATION_AGE_FACTOR
    return (now_s - state.configuration_s
            > factor * limits.max_configuration_age_s or
            edge_peers.is_reader(state, state.name, now_s))


def retry_pause_range_s(state: edge_peers.State) -> tuple[float, float]:
    """Returns the least and the longest pause after a failed read."""
    return _PAUSE_RANGE_S if _is_early(state) else _LATE_PAUSE_RANGE_S


def _is_early(state: edge_peers.State) -> bool:
    """Returns whether the daemon does not wait for others to read."""
    return (not edge_peers.has_hub(state) or
            edge_peers.is_early(state, state.name))
