"""Tests that refused requests change nothing and responses match OpenAPI."""

import json
import pathlib
import re

import jsonschema
import pytest

from persimmonspan import errors
from persimmonspan.process import access
from persimmonspan.process import admin
from persimmonspan.process import operations
from persimmonspan.version import check

_SAMPLES = pathlib.Path(__file__).parents[3] / "samples"


class _FakeOperations:
    """Implements the operations on plain fields; checks the base revision."""

    def __init__(self):
        inventory = json.loads(
            (_SAMPLES / "plaza-verde-inventory.json").read_text())
        rules = {
            "operators": [
                _operator("duty", "operator"),
                _operator("auditor", "reader"),
                {
                    **_operator("lead", "workspace_admin"), "workspace": "surco"
                },
            ]
        }
        self.current = operations.Documents(7, inventory, rules)
        self.settled = []
        self.lifted = []

    def configuration(self):
        return check.build_configuration(*self.current)

    def documents(self):
        return self.current

    def commit(self, proposed, actor, is_dry_run):
        del actor
        if proposed.revision != self.current.revision:
            raise errors.RefusalError(errors.Code.CONFLICT, "stale revision")
        if not is_dry_run:
            self.current = proposed._replace(revision=proposed.revision + 1)
        return operations.CommitDocument(revision=self.current.revision,
                                         changes=["x"],
                                         is_merged=False,
                                         is_dry_run=is_dry_run)

    def status(self):
        return operations.StatusDocument(daemon="a",
                                         revision=7,
                                         is_ready=True,
                                         is_draining=False,
                                         store="up",
                                         in_flight=0,
                                         queued_by_kind={},
                                         events_by_reason={},
                                         first_token_p99_s=0.1,
                                         between_tokens_p99_s=0.01,
                                         daemons=[],
                                         targets=[])

    def decisions(self, request_id):
        return [
            operations.DecisionDocument(age_s=1.0,
                                        decision=f"sent {request_id}")
        ]

    def unknown_outcomes(self, workspace):
        return [
            operations.OutcomeDocument(workspace=workspace or "surco",
                                       key="k",
                                       daemon="a",
                                       state="unknown",
                                       note="")
        ]

    def settle(self, workspace, key, finding):
        self.settled.append((workspace, key, finding))

    def quarantined_fingerprints(self):
        return []

    def lift_quarantine(self, fingerprint):
        self.lifted.append(fingerprint)

    def audit(self, after_revision):
        return [
            operations.AuditDocument(revision=after_revision + 1,
                                     actor="duty",
                                     changes=["x"])
        ]


def _operator(name, role):
    return {"name": name, "token_sha256": access.digest_of(name), "role": role}


@pytest.fixture(name="daemon")
def _daemon():
    return _FakeOperations()


def _call(daemon, method, path, body=None, token="duty", query=""):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    response = admin.handle(
        admin.Request(method, admin.PREFIX + path, query, raw,
                      f"Bearer {token}"), daemon)
    return response.status, json.loads(response.body)


def _example_path(route):
    names = {"workspace": "surco", "name": "permit-model-1"}
    return re.sub(r"\{(\w+)\}", lambda match: names.get(match[1], "k"),
                  route.path)


def _valid_body(route, daemon):
    match route.request_type:
        case admin.PutConfiguration:
            return {
                "base_revision": 7,
                "inventory": daemon.current.inventory,
                "rules": daemon.current.rules
            }
        case admin.PatchConfiguration:
            return {
                "base_revision":
                    7,
                "changes": [{
                    "document": "inventory",
                    "section": "workspaces",
                    "name": "surco"
                }]
            }
        case admin.Settlement:
            return {"run_state": "ran"}
    return None


_ROUTES = [
    pytest.param(route, id=f"{route.method} {route.path}")
    for route in admin.ROUTES
    if "key_sha256" not in route.path
]


@pytest.mark.parametrize("route", _ROUTES)
def test_response_matches_the_openapi_description(route, daemon):
    status, document = _call(daemon, route.method, _example_path(route),
                             _valid_body(route, daemon))
    assert status == 200, document
    description = admin.openapi()
    operation = description["paths"][admin.PREFIX +
                                     route.path][route.method.lower()]
    schema = operation["responses"]["200"]["content"]["application/json"][
        "schema"]
    jsonschema.validate(document, {
        **schema, "components": description["components"]
    })


@pytest.mark.parametrize("route", _ROUTES)
@pytest.mark.parametrize("token", ["", "nobody"])
def test_request_without_valid_token_changes_nothing(route, token, daemon):
    before = daemon.current
    status, document = _call(daemon,
                             route.method,
                             _example_path(route),
                             _valid_body(route, daemon),
                             token=token)
    assert (status, document["error"]["code"]) == (401, "unauthorized")
    assert (daemon.current, daemon.settled, daemon.lifted) == (before, [], [])


@pytest.mark.parametrize("route", _ROUTES)
def test_request_of_reader_changes_nothing(route, daemon):
    before = daemon.current
    status, document = _call(daemon,
                             route.method,
                             _example_path(route),
                             _valid_body(route, daemon),
                             token="auditor")
    if route.method == "GET":
        assert status == 200
    else:
        assert (status, document["error"]["code"]) == (403, "forbidden")
    assert (daemon.current, daemon.settled, daemon.lifted) == (before, [], [])


@pytest.mark.parametrize(
    "route", [item for item in _ROUTES if item.values[0].request_type])
@pytest.mark.parametrize("body", [
    b"{", b"[]", b'"x"', b'{"base_revision": "7"}',
    b'{"run_state": "ran", "unknown_field": 1}', b'{"run_state": "maybe"}'
])
def test_bad_body_changes_nothing(route, body, daemon):
    before = daemon.current
    status, document = _call(daemon, route.method, _example_path(route), body)
    assert (status, document["error"]["code"]) == (400, "bad_request")
    assert document["error"]["message"]
    assert (daemon.current, daemon.settled) == (before, [])


@pytest.mark.parametrize("base_revision", [6, 8])
@pytest.mark.parametrize("method", ["PUT", "PATCH"])
def test_stale_revision_is_a_conflict(method, base_revision, daemon):
    route = next(item for item in admin.ROUTES if item.method == method)
    before = daemon.current
    body = {**_valid_body(route, daemon), "base_revision": base_revision}
    status, document = _call(daemon, method, "/configuration", body)
    assert (status, document["error"]["code"]) == (409, "conflict")
    assert daemon.current == before


def test_workspace_admin_is_limited_to_its_workspace(daemon):
    assert _call(daemon, "POST", "/workspaces/surco/keys",
                 token="lead")[0] == 200
    before = daemon.current
    for method, path, body, query in (
        ("POST", "/workspaces/rimac/keys", None, ""),
        ("POST", "/outcomes/rimac/k/settle", {
            "run_state": "ran"
        }, ""),
        ("GET", "/outcomes", None, "workspace=rimac"),
        ("GET", "/outcomes", None, ""),
    ):
        assert _call(daemon, method, path, body, "lead", query)[0] == 403
    assert (daemon.current, daemon.settled) == (before, [])


def test_issued_key_is_stored_only_as_a_digest(daemon):
    _, issued = _call(daemon, "POST", "/workspaces/surco/keys")
    assert issued["key"] not in json.dumps(daemon.current.inventory)
    assert access.digest_of(issued["key"]) == issued["key_sha256"]
    digests = [
        item["key_sha256"]
        for item in daemon.current.inventory["workspaces"]
        if item["name"] == "surco"
    ]
    assert issued["key_sha256"] in digests[0]
    path = f"/workspaces/surco/keys/{issued['key_sha256']}"
    assert _call(daemon, "DELETE", path)[0] == 200
    assert _call(daemon, "DELETE", path)[0] == 404


def test_drain_and_undrain_change_the_rules(daemon):
    _call(daemon, "POST", "/targets/permit-model-1/drain")
    assert daemon.configuration().leaving == {"permit-model-1"}
    _call(daemon, "POST", "/targets/permit-model-1/undrain")
    assert daemon.configuration().leaving == frozenset()


@pytest.mark.parametrize("method, path, query, code", [
    ("GET", "/nothing", "", "not_found"),
    ("DELETE", "/configuration", "", "method_not_allowed"),
    ("GET", "/audit", "after=x", "bad_request"),
    ("GET", "/status", "what=1", "bad_request"),
])
def test_invalid_request_gets_an_error_code(method, path, query, code, daemon):
    _, document = _call(daemon, method, path, query=query)
    assert document["error"]["code"] == code
