"""Decoder of the operators' configuration in the platform's store."""

import msgspec

from persimmonspan import decoding
from persimmonspan.version import routes

TABLE = "op"
KEY = "config"

_MS_PER_S = 1000.0


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str
    kind: routes.Kind
    timeoutMs: float
    targetLatencyMs: float = 0.0
    service: str | None = None
    trafficSplit: list[_Split] = []
    maxAttempts: int = 1
    priority: int = 0
    anonymous: bool = False
    resumable: bool = False
    interTokenMs: float = 0.0


class _Runtime(msgspec.Struct):
    slots: int
    kvCapacity: int
    # Misleading name: whether running requests can be moved.
    migrations: bool = False
    # Misleading name: whether other engines can keep copies of running
    # requests.
    snapshots: bool = False


class _Service(msgspec.Struct):
    name: str
    runtime: _Runtime | None = None
    coldStartS: float = 0.0
    coldPerS: float = 0.0  # No limit if zero.


class _Limits(msgspec.Struct):
    maxHeaderBytes: int = 16384
    maxBodyBytes: int = 4194304
    headerTimeoutMs: float = 3000
    idleTimeoutMs: float = 15000


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str] = []
    priority: int | None = None


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_decoder = decoding.JsonDecoder(_Document)


def decode(data: bytes) -> routes.Configuration:
    """Decodes a configuration.

    Raises:
        msgspec.ValidationError: The data does not have this format.
    """
    document = _decoder.decode(data)
    workspaces = None
    if document.tenants is not None:
        workspaces = tuple(
            routes.Workspace(item.name, frozenset(item.apiKeys), item.priority)
            for item in document.tenants)
    limits = document.limits
    return routes.build_configuration(
        document.version, [_decode_route(item) for item in document.routes],
        [_decode_service(item) for item in document.services], workspaces,
        routes.Limits(limits.maxHeaderBytes, limits.maxBodyBytes,
                      limits.headerTimeoutMs / _MS_PER_S,
                      limits.idleTimeoutMs / _MS_PER_S))


def _decode_route(item: _Route) -> routes.Route:
    splits = tuple(
        routes.Split(part.service, part.weight) for part in item.trafficSplit)
    if not splits and item.service is not None:
        splits = (routes.Split(item.service, 1.0),)
    return routes.Route(name=item.name,
                        host=item.host,
                        path_prefix=item.pathPrefix,
                        kind=item.kind,
                        splits=splits,
                        timeout_s=item.timeoutMs / _MS_PER_S,
                        latency_objective_s=item.targetLatencyMs / _MS_PER_S,
                        max_attempts=item.maxAttempts,
                        priority=item.priority,
                        is_anonymous=item.anonymous,
                        is_resumable=item.resumable,
                        token_pause_s=item.interTokenMs / _MS_PER_S)


def _decode_service(item: _Service) -> routes.Service:
    engine = None
    if item.runtime is not None:
        engine = routes.Engine(item.runtime.kvCapacity, item.runtime.slots,
                               item.runtime.snapshots, item.runtime.migrations)
    return routes.Service(item.name, engine, item.coldStartS, item.coldPerS)
