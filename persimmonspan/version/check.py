"""Strict validation of an inventory and rules.

Validation has two passes. The first checks the shape of each document against a
JSON Schema that is generated from the types in `persimmonspan.version.model`;
the second checks references between parts. All errors are collected, each with
file, path and value, so that an operator can fix them in one pass. A document
with any error is not applied at all.

>>> problems = check_documents({"places": []}, {})
>>> print(problems[0])
inventory: request_kinds: required field is missing

See Also:
    `persimmonspan.version.model`: the documents and the checked form.

References:
    JSON Schema, draft 2020-12.
"""

import collections
import functools
import json
import typing

import jsonschema
import msgspec

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.request import events
from persimmonspan.version import model

_DEFAULT_KV_CAPACITY_TOKENS = 64 * 1024
_DEFAULT_MAX_RUNNING = 64
_MS_PER_S = 1000.0
_MAX_VALUE_CHARS = 60


class Problem(typing.NamedTuple):
    """One error in a document."""

    file: str
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path or '(top level)'}: {self.message}"


def check_documents(inventory: object,
                    rules: object,
                    inventory_file: str = "inventory",
                    rules_file: str = "rules") -> list[Problem]:
    """Returns all problems of a decoded inventory and decoded rules.

    References are checked only if both documents have the right shape.
    """
    problems = [
        *find_shape_problems(inventory, model.InventoryDocument,
                             inventory_file),
        *find_shape_problems(rules, model.RulesDocument, rules_file),
    ]
    if problems:
        return problems
    return [
        *_check_inventory_references(
            typing.cast(model.InventoryDocument, inventory), inventory_file),
        *_check_rules_references(
            typing.cast(model.InventoryDocument, inventory),
            typing.cast(model.RulesDocument, rules), rules_file),
    ]


def load_file(path: str) -> object:
    """Decodes a JSON file.

    Raises:
        errors.ConfigurationError: The file is missing or not JSON.
    """
    try:
        with open(path, "rb") as file:
            return decoding.JsonDecoder().decode(file.read())
    except (OSError, msgspec.DecodeError) as error:
        raise errors.ConfigurationError(errors.Code.BAD_REQUEST,
                                        f"{path}: {error}") from error


def build_configuration(revision: int, inventory: model.InventoryDocument,
                        rules: model.RulesDocument) -> model.Configuration:
    """Returns the checked form of documents in which no problem was found."""
    defaults = _build_limits(rules.get("default_limits", {}), model.Limits())
    leaving = set(rules.get("leaving", ()))
    leaving.update(replica["name"]
                   for service in inventory["services"]
                   for replica in service["replicas"]
                   if replica.get("leaving", False))
    return model.Configuration(
        revision=revision,
        services=tuple(
            _build_service(document) for document in inventory["services"]),
        workspaces=tuple(
            model.Workspace(item["name"], item["share"],
                            tuple(item["key_sha256"]),
                            _build_limits(item.get("limits", {}), defaults))
            for item in inventory["workspaces"]),
        kinds=tuple(
            events.KindPolicy(kind["name"], kind["service"], kind["worth"],
                              kind["size"] == "short", kind["idempotent"],
                              kind["deadline_ms"] / _MS_PER_S)
            for kind in inventory["request_kinds"]),
        timeouts=_build_timeouts(rules.get("timeouts", {})),
        leaving=frozenset(leaving),
        leaving_daemons=frozenset(rules.get("leaving_daemons", ())),
        operators=tuple(
            model.Operator(item["name"], item["token_sha256"], item["role"],
                           item.get("workspace"))
            for item in rules.get("operators", ())))


def _build_service(document: model.ServiceDocument) -> model.Service:
    is_model = document["kind"] == "model"
    default_capacity = _DEFAULT_KV_CAPACITY_TOKENS if is_model else 0
    return model.Service(
        name=document["name"],
        is_model=is_model,
        models=tuple(document.get("models", ())),
        path_prefix=document.get("path_prefix", ""),
        checks_fencing=document.get("checks_fencing", False),
        targets=tuple(
            events.Target(replica["name"], document["name"], replica["address"],
                          replica["failure_domain"],
                          replica.get("kv_capacity_tokens", default_capacity),
                          replica.get("max_running", _DEFAULT_MAX_RUNNING))
            for replica in document["replicas"]))


def _build_limits(document: model.LimitsDocument,
                  defaults: model.Limits) -> model.Limits:
    return defaults._replace(**document)


def _build_timeouts(document: model.TimeoutsDocument) -> model.Timeouts:
    values = {
        name.removesuffix("_ms") + "_s": value / _MS_PER_S
        for name, value in document.items()
    }
    return model.Timeouts()._replace(**values)


@functools.cache
def _schema_validator(document_type: type) -> jsonschema.Draft202012Validator:
    schema = msgspec.json.schema(document_type)
    for definition in [schema, *schema.get("$defs", {}).values()]:
        if definition.get("type") == "object":
            definition["additionalProperties"] = False
    return jsonschema.Draft202012Validator(schema)


def find_shape_problems(document: object, document_type: type,
                        file: str) -> list[Problem]:
    """Returns the problems of a document's shape.

    Args:
        document: Decoded JSON.
        document_type: `TypedDict` that describes the document; any other field
            is a problem.
        file: Name of the document, for the problems.
    """
    return sorted(
        _to_problem(error, file)
        for error in _schema_validator(document_type).iter_errors(document))


def _to_problem(error: jsonschema.ValidationError, file: str) -> Problem:
    path = error.json_path.removeprefix("$").removeprefix(".")
    if error.validator == "required":
        name = error.message.split("'")[1]
        return Problem(file, f"{path}.{name}".lstrip("."),
                       "required field is missing")
    if error.validator == "additionalProperties":
        return Problem(file, path, error.message)
    value = json.dumps(error.instance)[:_MAX_VALUE_CHARS]
    return Problem(file, path, f"{_describe_violation(error)}, got {value}")


def _describe_violation(error: jsonschema.ValidationError) -> str:
    match error.validator:
        case "type":
            return f"expected {error.validator_value}"
        case "pattern":
            return f"must match {error.validator_value}"
        case "enum":
            return f"must be one of {error.validator_value}"
        case _:
            return f"must satisfy {error.validator} {error.validator_value}"


def _find_duplicates(names: list[tuple[str, str]], file: str) -> list[Problem]:
    counts = collections.Counter(name for _, name in names)
    return [
        Problem(file, path, f'name "{name}" is used more than once')
        for path, name in names
        if counts[name] > 1
    ]


def _check_inventory_references(inventory: model.InventoryDocument,
                                file: str) -> list[Problem]:
    domains = {
        domain for place in inventory["places"]
        for domain in place["failure_domains"]
    }
    services = {service["name"] for service in inventory["services"]}
    problems = []
    replicas, addresses = [], []
    for i, service in enumerate(inventory["services"]):
        if service["kind"] == "plain" and not service.get("path_prefix"):
            problems.append(
                Problem(file, f"services[{i}].path_prefix",
                        "a plain service must have a path prefix"))
        for k, replica in enumerate(service["replicas"]):
            path = f"services[{i}].replicas[{k}]"
            replicas.append((f"{path}.name", replica["name"]))
            addresses.append((f"{path}.address", replica["address"]))
            if replica["failure_domain"] not in domains:
                problems.append(
                    Problem(
                        file, f"{path}.failure_domain",
                        f'unknown failure domain "{replica["failure_domain"]}"')
                )
            if not _is_address(replica["address"]):
                problems.append(
                    Problem(
                        file, f"{path}.address",
                        "must be an IPv4 address and a port, "
                        f'got "{replica["address"]}"'))
    for i, kind in enumerate(inventory["request_kinds"]):
        if kind["service"] not in services:
            problems.append(
                Problem(file, f"request_kinds[{i}].service",
                        f'unknown service "{kind["service"]}"'))
    named_lists = [("services", inventory["services"]),
                   ("workspaces", inventory["workspaces"]),
                   ("request_kinds", inventory["request_kinds"])]
    for field, items in named_lists:
        problems += _find_duplicates([
            (f"{field}[{i}].name", item["name"]) for i, item in enumerate(items)
        ], file)
    return problems + _find_duplicates(replicas, file) + _find_duplicates(
        addresses, file)


def _is_address(address: str) -> bool:
    host, port = address.rsplit(":", 1)
    return all(
        int(part) < 256 for part in host.split(".")) and (0 < int(port) < 65536)


def _check_rules_references(inventory: model.InventoryDocument,
                            rules: model.RulesDocument,
                            file: str) -> list[Problem]:
    replicas = {
        replica["name"]
        for service in inventory["services"]
        for replica in service["replicas"]
    }
    workspaces = {item["name"] for item in inventory["workspaces"]}
    problems = [
        Problem(file, f"leaving[{i}]", f'unknown replica "{name}"')
        for i, name in enumerate(rules.get("leaving", ()))
        if name not in replicas
    ]
    for i, operator in enumerate(rules.get("operators", ())):
        is_admin = operator["role"] == "workspace_admin"
        if is_admin and operator.get("workspace") not in workspaces:
            problems.append(
                Problem(
                    file, f"operators[{i}].workspace",
                    "a workspace administrator must name a known workspace, "
                    f"got {operator.get('workspace')}"))
    return problems
