"""Routes, which assign callers' requests to services.

A configuration holds routes by host and path prefix. Among the routes of a
host, the one with the longest matching path prefix is selected; a route may
split its requests over several services by weight. Workspaces hold the keys of
callers.

All values are immutable: a request uses the configuration with which it started
until it ends, even if the daemon adopts another one meanwhile.

See Also:
    `persimmonspan.platform.configuration`: decodes the configuration that
    operators write.
"""

import enum
import random
import typing

from persimmonspan import errors


class Kind(enum.StrEnum):
    """Kind of a request, which decides whether and how it may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Engine(typing.NamedTuple):
    """Capacity and abilities of the model engines of a service."""

    kv_capacity_tokens: int
    max_running: int
    can_back_up: bool = False
    can_move: bool = False


class Service(typing.NamedTuple):
    """A service that routes refer to; a plain service has no `engine`.

    Its targets are cold for `cold_start_s` after they start. A cold one
    sustains `cold_per_s` requests a second; 0: no limit.
    """

    name: str
    engine: Engine | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class Split(typing.NamedTuple):
    """A service of a route and the weight of its share of the requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Rules for the requests to a host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: Kind
    splits: tuple[Split, ...]
    timeout_s: float
    # Until the response or, in a stream, the first event.
    latency_objective_s: float
    max_attempts: int = 1
    priority: int = 0  # 0 is the most urgent.
    is_anonymous: bool = False
    is_resumable: bool = False
    # Longest pause between events of a stream that is on time, if not zero.
    token_pause_s: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Returns whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or self.is_resumable


class Workspace(typing.NamedTuple):
    """A team of callers; its priority, if any, overrides that of the route."""

    name: str
    keys: frozenset[str]
    priority: int | None = None


class Limits(typing.NamedTuple):
    """Limits on the size of a caller's request and on the caller's delays."""

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 16 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class Configuration(typing.NamedTuple):
    """One version of the routes, services, workspaces and limits.

    `routes_by_host` holds the routes of each host, longest prefix first.
    `has_workspaces` is false if callers need no key on any route.
    """

    version: int
    routes_by_host: typing.Mapping[str, tuple[Route, ...]]
    services: typing.Mapping[str, Service]
    workspaces_by_key: typing.Mapping[str, Workspace]
    has_workspaces: bool
    limits: Limits = Limits()

    @property
    def routes(self) -> tuple[Route, ...]:
        """Returns all routes of all hosts."""
        return tuple(route for routes in self.routes_by_host.values()
                     for route in routes)


def build_configuration(
    version: int,
    routes: typing.Iterable[Route],
    services: typing.Iterable[Service],
    workspaces: typing.Iterable[Workspace] | None,
    limits: Limits = Limits()
) -> Configuration:
    """Returns a configuration with its indexes by host and key.

    >>> routes = [Route("a", "h", "/x/", Kind.IDEMPOTENT, (), 1.0, 1.0),
    ...           Route("b", "h", "/x/y/", Kind.IDEMPOTENT, (), 1.0, 1.0)]
    >>> configuration = build_configuration(1, routes, (), None)
    >>> find_route(configuration, "h", "/x/y/z").name
    'b'
    """
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    for host_routes in by_host.values():
        host_routes.sort(key=lambda route: -len(route.path_prefix))
    return Configuration(version, {
        host: tuple(host_routes) for host, host_routes in by_host.items()
    }, {service.name: service for service in services}, {
        key: workspace for workspace in workspaces or ()
        for key in workspace.keys
    }, workspaces is not None, limits)


def find_route(configuration: Configuration, host: str, path: str) -> Route:
    """Returns the route of a request.

    Raises:
        errors.RefusalError: No route of this host has a prefix of the path.
    """
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    raise errors.RefusalError(errors.Code.NOT_FOUND,
                              f'no route for host "{host}" and path "{path}"')


def authorize(configuration: Configuration, route: Route,
              key: str | None) -> Workspace | None:
    """Returns the workspace that holds a caller's key, or None.

    Raises:
        errors.RefusalError: The route requires a key that a workspace holds.
    """
    workspace = configuration.workspaces_by_key.get(
        key) if key is not None else None
    if (workspace is None and configuration.has_workspaces and
            not route.is_anonymous):
        raise errors.RefusalError(errors.Code.UNAUTHORIZED,
                                  "the workspace key is missing or not known")
    return workspace


def pick_service(route: Route, rng: random.Random) -> str:
    """Returns a service of a route, chosen at random by weight.

    >>> route = Route("a", "h", "/", Kind.IDEMPOTENT,
    ...               (Split("s", 0.0), Split("t", 5.0)), 1.0, 1.0)
    >>> pick_service(route, random.Random(1))
    't'
    """
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    if sum(weights) <= 0:
        weights = [1.0] * len(weights)
    return rng.choices([split.service for split in route.splits], weights)[0]
