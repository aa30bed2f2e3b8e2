"""Configurations of the soak."""

import typing

HOST = "a.example"


def version_route(version: int) -> str:
    """Returns the name of the route that only one version has."""
    return f"version-{version}"


def configuration(version: int) -> dict[str, typing.Any]:
    """Returns the configuration of a version, as the operator writes it."""
    kinds = {"idempotent": "desk", "non_idempotent": "desk", "draft": "engines"}
    return {
        "version":
            version,
        "routes": [{
            "name": kind,
            "host": HOST,
            "pathPrefix": f"/{kind}/",
            "kind": "streaming" if kind == "draft" else kind,
            "timeoutMs": 4000,
            "targetLatencyMs": 500,
            "service": service,
            "maxAttempts": 2 if kind == "idempotent" else 1,
            "anonymous": True
        } for kind, service in kinds.items()] + [{
            # Shows which version is in force.
            "name": "version",
            "host": HOST,
            "pathPrefix": f"/{version_route(version)}/",
            "kind": "idempotent",
            "timeoutMs": 4000,
            "targetLatencyMs": 500,
            "service": "desk",
            "maxAttempts": 2,
            "anonymous": True
        }],
        "services": [{
            "name": "desk"
        }, {
            "name": "engines",
            "runtime": {
                "slots": 24,
                "kvCapacity": 30000,
                "snapshots": True
            }
        }],
        "tenants": []
    }
