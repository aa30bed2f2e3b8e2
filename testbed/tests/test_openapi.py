"""Guards against an OpenAPI description that differs from the responses."""

import jsonschema

from persimmonspan.process import admin
from testbed import deployment

_PATH_PARAMETERS = {"request_id": "no-such-request"}


def test_each_get_response_matches_its_schema(tmp_path):
    plan = deployment.Plan(daemons=1, directory=str(tmp_path))
    with (deployment.running(plan) as
          running, deployment.operator(running.daemons[0]) as connection):
        described = connection.call("GET", "/openapi.json")
        assert described == admin.openapi()
        checked = 0
        for path, operations in described["paths"].items():
            if "get" not in operations:
                continue
            content = operations["get"]["responses"]["200"]["content"]
            schema = content["application/json"]["schema"]
            answer = connection.call(
                "GET",
                path.removeprefix(admin.PREFIX).format(**_PATH_PARAMETERS))
            jsonschema.Draft202012Validator(schema | {
                "components": described["components"]
            }).validate(answer)
            checked += 1
        assert checked == sum(route.method == "GET" for route in admin.ROUTES)
