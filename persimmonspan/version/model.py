"""Documents of a configuration version.

The inventory is exported from the operators' asset register; the rules are a
small file that supplements it. Both are JSON objects, described by `TypedDict`.
The checked form, which the daemon uses, consists of immutable tuples.

See Also:
    `persimmonspan.version.check`: turns documents into the checked form.
"""

import typing

import msgspec

from persimmonspan.request import events

Name = typing.Annotated[str,
                        msgspec.Meta(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = typing.Annotated[str,
                           msgspec.Meta(
                               pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
PositiveInt = typing.Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]
KeyHash = typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class PlaceDocument(typing.TypedDict):
    """A place with its failure domains."""

    name: Name
    region: typing.NotRequired[Name]
    failure_domains: list[Name]


class ReplicaDocument(typing.TypedDict):
    """One replica of a service."""

    name: Name
    address: Address
    failure_domain: Name
    kv_capacity_tokens: typing.NotRequired[PositiveInt]
    max_running: typing.NotRequired[PositiveInt]
    leaving: typing.NotRequired[bool]


class ServiceDocument(typing.TypedDict):
    """A model engine service or a plain service.

    `checks_fencing` says whether its replicas refuse control orders that carry
    an old fencing number. `path_prefix` routes plain services.
    """

    name: Name
    kind: typing.Literal["model", "plain"]
    models: typing.NotRequired[list[str]]
    path_prefix: typing.NotRequired[str]
    checks_fencing: typing.NotRequired[bool]
    replicas: list[ReplicaDocument]


class LimitsDocument(typing.TypedDict):
    """Limits of a workspace."""

    prompt_tokens: typing.NotRequired[PositiveInt]
    output_tokens: typing.NotRequired[PositiveInt]
    concurrent_requests: typing.NotRequired[PositiveInt]
    requests_per_s: typing.NotRequired[PositiveFloat]


class WorkspaceDocument(typing.TypedDict):
    """A team that uses the system; its keys are stored as SHA-256 in hex."""

    name: Name
    share: PositiveFloat
    key_sha256: list[KeyHash]
    limits: typing.NotRequired[LimitsDocument]


class RequestKindDocument(typing.TypedDict):
    """A kind of request with its worth, size and deadline."""

    name: Name
    service: Name
    worth: PositiveFloat
    size: typing.Literal["short", "long"]
    idempotent: bool
    deadline_ms: PositiveInt


class InventoryDocument(typing.TypedDict):
    """Inventory as exported from the asset register."""

    places: list[PlaceDocument]
    services: list[ServiceDocument]
    workspaces: list[WorkspaceDocument]
    request_kinds: list[RequestKindDocument]


class TimeoutsDocument(typing.TypedDict):
    """Timeouts of a request, in milliseconds."""

    connect_ms: typing.NotRequired[PositiveInt]
    first_token_ms: typing.NotRequired[PositiveInt]
    between_tokens_ms: typing.NotRequired[PositiveInt]
    request_ms: typing.NotRequired[PositiveInt]


class OperatorDocument(typing.TypedDict):
    """An operator's name, role and token, which is stored as SHA-256 in hex.

    `workspace` is the only workspace that a workspace administrator may change.
    """

    name: Name
    token_sha256: KeyHash
    role: typing.Literal["reader", "workspace_admin", "operator"]
    workspace: typing.NotRequired[Name]


class RulesDocument(typing.TypedDict):
    """Rules that operators add to the inventory."""

    timeouts: typing.NotRequired[TimeoutsDocument]
    default_limits: typing.NotRequired[LimitsDocument]
    leaving: typing.NotRequired[list[Name]]
    leaving_daemons: typing.NotRequired[list[Name]]
    operators: typing.NotRequired[list[OperatorDocument]]


class Timeouts(typing.NamedTuple):
    """Timeouts of a request."""

    connect_s: float = 1.0
    first_token_s: float = 30.0
    between_tokens_s: float = 5.0
    request_s: float = 3600.0


class Limits(typing.NamedTuple):
    """Limits of a workspace."""

    prompt_tokens: int = 32_768
    output_tokens: int = 65_536
    concurrent_requests: int = 512
    requests_per_s: float = 200.0


class Service(typing.NamedTuple):
    """A checked service."""

    name: str
    is_model: bool
    models: tuple[str, ...]
    path_prefix: str
    checks_fencing: bool
    targets: tuple[events.Target, ...]


class Workspace(typing.NamedTuple):
    """A checked workspace."""

    name: str
    share: float
    key_sha256: tuple[str, ...]
    limits: Limits


class Operator(typing.NamedTuple):
    """A checked operator."""

    name: str
    token_sha256: str
    role: str
    workspace: str | None


class Configuration(typing.NamedTuple):
    """The checked form of one configuration revision."""

    revision: int
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    kinds: tuple[events.KindPolicy, ...]
    timeouts: Timeouts
    leaving: frozenset[str]
    leaving_daemons: frozenset[str]
    operators: tuple[Operator, ...]
