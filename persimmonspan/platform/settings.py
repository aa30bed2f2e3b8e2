"""Decoder of the platform's settings file and of the product's own setting.

The settings file belongs to the platform. What operators set for this product
is an environment variable, named as those of `persimmonspan.process.settings`.
"""

import math
import os

import msgspec

from persimmonspan import decoding
from persimmonspan.process import edge_settings
from persimmonspan.process import settings as own_settings

_PATH_VARIABLE = "PERSIMMONSPAN_CONFIG"
_HEDGE_SHARE_VARIABLE = own_settings.variable_name("--hedge-share")
_MS_PER_S = 1000.0
_BITS_PER_MBIT = 1e6


class _Listeners(msgspec.Struct):
    frontend: str
    readiness: str


class _Bounds(msgspec.Struct):
    # The platform's contract defines all of them; a deployment may omit some.
    graceS: float = 8.0
    stabilityMs: float = 3000.0
    drainMs: float = 2000.0
    configApplyMs: float = 2000.0
    retryBudgetRatio: float = 0.2
    retryWindowS: float = 10.0
    retryBurst: float = 50.0
    evacuationMs: float = 5000.0
    # A cold replica takes its rate times the factor, plus the tolerance.
    coldOverrun: float = 1.5
    coldTolerance: float = 5.0


class _Store(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    memoryMb: float = 150.0
    maxFds: int = 1024
    linkMbps: float | None = None


class _SettingsFile(msgspec.Struct):
    nodeName: str
    ip: str
    zone: str
    listenersMap: _Listeners
    platform: _Store
    portRange: tuple[int, int]
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def path() -> str:
    """Returns the path of the settings file.

    Raises:
        KeyError: The environment variable with the path is not set.
    """
    return os.environ[_PATH_VARIABLE]


def read(file: str) -> edge_settings.EdgeSettings:
    """Reads a settings file and the environment.

    Raises:
        OSError: The file cannot be read.
        msgspec.ValidationError: A setting is missing or has the wrong type.
        ValueError: The environment variable is not valid.
    """
    with open(file, "rb") as stream:
        options = decode(stream.read())
    return options._replace(
        hedge_share=decode_hedge_share(os.environ.get(_HEDGE_SHARE_VARIABLE)))


def decode_hedge_share(text: str | None) -> float:
    """Returns the share of extra attempts; 0 if the variable is not set.

    >>> decode_hedge_share("0.05"), decode_hedge_share(None)
    (0.05, 0.0)

    Raises:
        ValueError: It is not a number from 0 to 1.
    """
    if not text:
        return 0.0
    try:
        share = float(text)
    except ValueError:
        share = math.nan
    if not 0.0 <= share <= 1.0:
        raise ValueError(f"{_HEDGE_SHARE_VARIABLE}: expected a number from 0 "
                         f'to 1, got "{text}"')
    return share


def decode(data: bytes) -> edge_settings.EdgeSettings:
    """Decodes the content of a settings file; see `read`."""
    document = decoding.JsonDecoder(_SettingsFile).decode(data)
    bounds = document.bounds
    return edge_settings.EdgeSettings(
        name=document.nodeName,
        failure_domain=document.zone,
        listen_address=document.listenersMap.frontend,
        readiness_address=document.listenersMap.readiness,
        peer_address=f"{document.ip}:{document.portRange[0]}",
        store_address=document.platform.address,
        grace_s=bounds.graceS,
        stability_s=bounds.stabilityMs / _MS_PER_S,
        retry=edge_settings.RetryBudget(ratio=bounds.retryBudgetRatio,
                                        window_s=bounds.retryWindowS,
                                        burst=bounds.retryBurst),
        memory_mb=document.limits.memoryMb,
        max_fds=document.limits.maxFds,
        drain_s=bounds.drainMs / _MS_PER_S,
        configuration_apply_s=bounds.configApplyMs / _MS_PER_S,
        evacuation_s=bounds.evacuationMs / _MS_PER_S,
        cold_overrun=bounds.coldOverrun,
        cold_tolerance=bounds.coldTolerance,
        **_link_settings(document.limits.linkMbps))


def _link_settings(speed_mbps: float | None) -> dict[str, float]:
    if speed_mbps is None:
        return {}
    return {"link_bits_per_s": speed_mbps * _BITS_PER_MBIT}
