"""Administration API: a table of typed routes under `/admin/v1`.

Each route names its method, path, role, request type and response type. The
same table serves requests and generates the OpenAPI description, so that the
two cannot differ. Bodies are checked strictly: a body with a wrong type or an
unknown field is refused, with a list of all problems, before any change.

See Also:
    `persimmonspan.process.operations`: the operations that the routes call.

References:
    OpenAPI Specification 3.1.
"""

import collections.abc
import re
import typing
import urllib.parse

import msgspec

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.process import access
from persimmonspan.process import changes
from persimmonspan.process import operations
from persimmonspan.version import check
from persimmonspan.version import model

PREFIX = "/admin/v1"


class Request(typing.NamedTuple):
    """An administration request."""

    method: str
    path: str
    query: str
    body: bytes
    authorization: str | None


class Response(typing.NamedTuple):
    """An HTTP status and a JSON body."""

    status: int
    body: bytes


class PutConfiguration(typing.TypedDict):
    """Replaces both documents, derived from `base_revision`."""

    base_revision: int
    inventory: model.InventoryDocument
    rules: model.RulesDocument
    dry_run: typing.NotRequired[bool]


class PatchConfiguration(typing.TypedDict):
    """Puts or removes named items, derived from `base_revision`."""

    base_revision: int
    changes: list[changes.ItemChange]
    dry_run: typing.NotRequired[bool]


class Settlement(typing.TypedDict):
    """An operator's finding on whether a call with an unknown outcome ran."""

    run_state: typing.Literal["ran", "not_run"]
    note: typing.NotRequired[str]
    holder_stopped: typing.NotRequired[bool]


class IssuedKey(typing.TypedDict):
    """A new workspace key, shown only once."""

    key: str
    key_sha256: str
    revision: int


class Done(typing.TypedDict):
    """The change was made."""

    done: bool


class _RouteCall(typing.NamedTuple):
    principal: access.Principal
    path_values: tuple[str, ...]
    query: dict[str, str]
    body: typing.Any
    operations: operations.Operations


class Route(typing.NamedTuple):
    """One route of the API."""

    method: str
    path: str
    summary: str
    request_type: typing.Any
    response_type: typing.Any
    serve: collections.abc.Callable[[_RouteCall], typing.Any]
    query: tuple[str, ...] = ()


def handle(request: Request, daemon: operations.Operations) -> Response:
    """Serves an administration request and returns errors as JSON bodies."""
    try:
        return Response(200,
                        msgspec.json.encode(_serve_request(request, daemon)))
    except errors.PersimmonspanError as error:
        body = {"error": {"code": error.code, "message": str(error)}}
        return Response(error.status, msgspec.json.encode(body))


def openapi() -> dict[str, typing.Any]:
    """Returns the OpenAPI description of all routes."""
    types = {
        item for route in ROUTES
        for item in (route.request_type, route.response_type)
        if item is not None
    }
    sorted_types = sorted(types, key=str)
    schemas, components = msgspec.json.schema_components(
        sorted_types, ref_template="#/components/schemas/{name}")
    schema_by_type = dict(zip(map(str, sorted_types), schemas))
    paths: dict[str, dict[str, typing.Any]] = {}
    for route in ROUTES:
        paths.setdefault(PREFIX + route.path,
                         {})[route.method.lower()] = (_describe_operation(
                             route, schema_by_type))
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "persimmonspan administration",
            "version": "1"
        },
        "paths": paths,
        "components": {
            "schemas": components,
            "securitySchemes": {
                "operator": {
                    "type": "http",
                    "scheme": "bearer"
                }
            }
        },
        "security": [{
            "operator": []
        }]
    }


def _describe_operation(
        route: Route, schemas: dict[str, typing.Any]) -> dict[str, typing.Any]:
    parameters = [{
        "name": name,
        "in": "path",
        "required": True,
        "schema": {
            "type": "string"
        }
    } for name in re.findall(r"\{(\w+)\}", route.path)]
    parameters += [{
        "name": name,
        "in": "query",
        "schema": {
            "type": "string"
        }
    } for name in route.query]
    operation: dict[str, typing.Any] = {
        "summary": route.summary,
        "parameters": parameters,
        "responses": {
            "200": {
                "description": "success",
                "content": _describe_content(schemas, route.response_type)
            },
            "default": {
                "description": "error with a code and a message"
            }
        }
    }
    if route.request_type is not None:
        operation["requestBody"] = {
            "required": True,
            "content": _describe_content(schemas, route.request_type)
        }
    return operation


def _describe_content(schemas: dict[str, typing.Any],
                      body_type: typing.Any) -> dict[str, typing.Any]:
    return {"application/json": {"schema": schemas[str(body_type)]}}


def _serve_request(request: Request,
                   daemon: operations.Operations) -> typing.Any:
    configuration = daemon.configuration()
    if configuration is None:
        raise errors.RefusalError(errors.Code.CONFIG_UNVERIFIED,
                                  "no configuration is in force", 1.0)
    principal = access.identify_operator(request.authorization, configuration)
    route, names = _find_route(request)
    query = dict(urllib.parse.parse_qsl(request.query))
    for name in query:
        if name not in route.query:
            raise errors.RefusalError(errors.Code.BAD_REQUEST,
                                      f'unknown query parameter "{name}"')
    body = _decode_body(request.body, route.request_type)
    return route.serve(_RouteCall(principal, names, query, body, daemon))


def _find_route(request: Request) -> tuple[Route, tuple[str, ...]]:
    is_known_path = False
    for route in ROUTES:
        pattern = re.sub(r"\{\w+\}", "([^/]+)", route.path)
        match = re.fullmatch(PREFIX + pattern, request.path)
        if match is None:
            continue
        is_known_path = True
        if route.method == request.method:
            return route, tuple(map(urllib.parse.unquote, match.groups()))
    if is_known_path:
        raise errors.RefusalError(
            errors.Code.METHOD_NOT_ALLOWED,
            f"{request.path} does not allow {request.method}")
    raise errors.RefusalError(errors.Code.NOT_FOUND,
                              f"no such path: {request.path}")


def _decode_body(body: bytes, request_type: typing.Any) -> typing.Any:
    if request_type is None:
        return None
    try:
        document = decoding.JsonDecoder().decode(body)
    except msgspec.DecodeError as error:
        raise errors.RefusalError(errors.Code.BAD_REQUEST,
                                  f"body is not JSON: {error}") from error
    problems = check.find_shape_problems(document, request_type, "body")
    if problems:
        raise errors.RefusalError(errors.Code.BAD_REQUEST,
                                  "\n".join(map(str, problems)))
    return document


def _get_configuration(call: _RouteCall) -> operations.ConfigurationDocument:
    documents = call.operations.documents()
    return operations.ConfigurationDocument(revision=documents.revision,
                                            inventory=documents.inventory,
                                            rules=documents.rules)


def _put_configuration(call: _RouteCall) -> operations.CommitDocument:
    access.require_operator(call.principal)
    proposed = operations.Documents(call.body["base_revision"],
                                    call.body["inventory"], call.body["rules"])
    return call.operations.commit(proposed, call.principal.name,
                                  call.body.get("dry_run", False))


def _patch_configuration(call: _RouteCall) -> operations.CommitDocument:
    access.require_operator(call.principal)
    current = call.operations.documents()
    if call.body["base_revision"] > current.revision:
        raise errors.RefusalError(
            errors.Code.CONFLICT,
            f"revision {call.body['base_revision']} is unknown to this daemon; "
            f"revision {current.revision} is in force")
    inventory, rules = changes.apply_items(current.inventory, current.rules,
                                           call.body["changes"])
    # Each item is replaced as a whole, so a change that was derived from an
    # older revision could undo another change.
    base_revision = call.body["base_revision"]
    if base_revision < current.revision:
        raise errors.RefusalError(
            errors.Code.CONFLICT,
            f"revision {current.revision} replaced revision {base_revision}; "
            "read the configuration again")
    return call.operations.commit(
        operations.Documents(current.revision, inventory, rules),
        call.principal.name, call.body.get("dry_run", False))


def _make_set_leaving(
    field: typing.Literal["leaving", "leaving_daemons"], is_leaving: bool
) -> collections.abc.Callable[[_RouteCall], operations.CommitDocument]:

    def serve(call: _RouteCall) -> operations.CommitDocument:
        access.require_operator(call.principal)
        current = call.operations.documents()
        rules = changes.set_leaving(current.rules, field, call.path_values[0],
                                    is_leaving)
        return call.operations.commit(current._replace(rules=rules),
                                      call.principal.name, False)

    return serve


def _get_status(call: _RouteCall) -> operations.StatusDocument:
    return call.operations.status()


def _get_targets(call: _RouteCall) -> list[operations.TargetDocument]:
    return call.operations.status()["targets"]


def _get_decisions(call: _RouteCall) -> list[operations.DecisionDocument]:
    return call.operations.decisions(call.path_values[0])


def _get_outcomes(call: _RouteCall) -> list[operations.OutcomeDocument]:
    workspace = call.query.get("workspace")
    if call.principal.role is access.Role.WORKSPACE_ADMIN:
        access.require_workspace(call.principal, workspace)
    return call.operations.unknown_outcomes(workspace)


def _settle_outcome(call: _RouteCall) -> Done:
    workspace, key = call.path_values
    access.require_workspace(call.principal, workspace)
    finding = operations.Finding(errors.RunState(call.body["run_state"]),
                                 call.principal.name, call.body.get("note", ""),
                                 call.body.get("holder_stopped", False))
    call.operations.settle(workspace, key, finding)
    return Done(done=True)


def _get_quarantine(call: _RouteCall) -> list[operations.QuarantineDocument]:
    return call.operations.quarantined_fingerprints()


def _lift_quarantine(call: _RouteCall) -> Done:
    access.require_operator(call.principal)
    call.operations.lift_quarantine(call.path_values[0])
    return Done(done=True)


def _issue_key(call: _RouteCall) -> IssuedKey:
    workspace = call.path_values[0]
    access.require_workspace(call.principal, workspace)
    key, digest = access.new_secret("psk")
    current = call.operations.documents()
    inventory = changes.add_key(current.inventory, workspace, digest)
    result = call.operations.commit(current._replace(inventory=inventory),
                                    call.principal.name, False)
    return IssuedKey(key=key, key_sha256=digest, revision=result["revision"])


def _revoke_key(call: _RouteCall) -> operations.CommitDocument:
    workspace, digest = call.path_values
    access.require_workspace(call.principal, workspace)
    current = call.operations.documents()
    inventory = changes.remove_key(current.inventory, workspace, digest)
    return call.operations.commit(current._replace(inventory=inventory),
                                  call.principal.name, False)


def _get_audit(call: _RouteCall) -> list[operations.AuditDocument]:
    after = call.query.get("after", "0")
    if not after.isdecimal():
        raise errors.RefusalError(errors.Code.BAD_REQUEST,
                                  f'after must be a revision, got "{after}"')
    return call.operations.audit(int(after))


def _get_openapi(call: _RouteCall) -> dict[str, typing.Any]:
    del call
    return openapi()


ROUTES = (
    Route("GET", "/configuration", "Read the documents in force", None,
          operations.ConfigurationDocument, _get_configuration),
    Route("PUT", "/configuration", "Replace the documents", PutConfiguration,
          operations.CommitDocument, _put_configuration),
    Route("PATCH", "/configuration", "Put or remove named items",
          PatchConfiguration, operations.CommitDocument, _patch_configuration),
    Route("POST", "/targets/{name}/drain", "Stop sending new work to a target",
          None, operations.CommitDocument, _make_set_leaving("leaving", True)),
    Route("POST", "/targets/{name}/undrain",
          "Resume sending new work to a target", None,
          operations.CommitDocument, _make_set_leaving("leaving", False)),
    Route("POST", "/daemons/{name}/drain", "Withdraw a daemon from service",
          None, operations.CommitDocument,
          _make_set_leaving("leaving_daemons", True)),
    Route("POST", "/daemons/{name}/undrain", "Return a daemon to service",
          None, operations.CommitDocument,
          _make_set_leaving("leaving_daemons", False)),
    Route("GET", "/status", "State of the system", None,
          operations.StatusDocument, _get_status),
    Route("GET", "/targets", "Targets with their load and report trust", None,
          list[operations.TargetDocument], _get_targets),
    Route("GET", "/requests/{request_id}/decisions",
          "Recent decisions about a request", None,
          list[operations.DecisionDocument], _get_decisions),
    Route("GET", "/outcomes", "Calls with an unknown outcome", None,
          list[operations.OutcomeDocument], _get_outcomes, ("workspace",)),
    Route("POST", "/outcomes/{workspace}/{key}/settle",
          "Record whether a call ran", Settlement, Done, _settle_outcome),
    Route("GET", "/quarantine", "Quarantined fingerprints", None,
          list[operations.QuarantineDocument], _get_quarantine),
    Route("DELETE", "/quarantine/{fingerprint}", "Lift a quarantine", None,
          Done, _lift_quarantine),
    Route("POST", "/workspaces/{workspace}/keys", "Issue a workspace key", None,
          IssuedKey, _issue_key),
    Route("DELETE", "/workspaces/{workspace}/keys/{key_sha256}",
          "Revoke a workspace key", None, operations.CommitDocument,
          _revoke_key),
    Route("GET", "/audit", "Accepted changes and who made them", None,
          list[operations.AuditDocument], _get_audit, ("after",)),
    Route("GET", "/openapi.json", "This description", None,
          dict[str, typing.Any], _get_openapi),
)
