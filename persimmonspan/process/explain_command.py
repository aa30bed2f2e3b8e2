"""Command that asks a daemon where a request would go now, and why."""

import argparse
import collections.abc
import http.client
import json
import sys
import typing

from persimmonspan.process import explain_call
from persimmonspan.process import settings

_TIMEOUT_S = 5.0


def main(arguments: collections.abc.Sequence[str]) -> int:
    """Runs the command line; returns the exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m persimmonspan.platform explain",
        description="Shows where a request would go now, without sending it")
    parser.add_argument("address",
                        help="address and port of a daemon's readiness server")
    parser.add_argument("--host", required=True, help="host of the request")
    parser.add_argument("--path", required=True, help="path of the request")
    parser.add_argument("--workspace", default="", help="name of a workspace")
    parser.add_argument("--prompt-tokens", type=int, default=0)
    parser.add_argument("--output-tokens", type=int, default=0)
    options = vars(parser.parse_args(arguments))
    address = settings.split_address(options.pop("address"))
    connection = http.client.HTTPConnection(*address, timeout=_TIMEOUT_S)
    try:
        connection.request("GET", explain_call.encode_question(options))
        response = connection.getresponse()
        body = response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        print(f"no answer: {error}", file=sys.stderr)
        return 1
    finally:
        connection.close()
    if response.status != http.client.OK:
        print(f"status {response.status}: {body}", file=sys.stderr)
        return 1
    print("\n".join(format_answer(json.loads(body))))
    return 0


def format_answer(document: dict[str, typing.Any]) -> list[str]:
    """Returns the lines that show an answer.

    >>> format_answer({"route": "r", "service": "s", "outcome": "refuse",
    ...                "detail": "no_target", "waiting": 0, "evacuated": ["d"],
    ...                "targets": []})
    ['route r, service s: refuse no_target', 'waiting 0, evacuated d']
    """
    outcome = f"{document['outcome']} {document['detail']}".rstrip()
    evacuated = ", ".join(document["evacuated"]) or "none"
    lines = [
        f"route {document['route']}, service {document['service']}: {outcome}",
        f"waiting {document['waiting']}, evacuated {evacuated}"
    ]
    for item in sorted(document["targets"],
                       key=lambda item: (item["obstacle"] != "", item["use"])):
        lines.append(f"{item['name']} in {item['failure_domain']}: "
                     f"use {item['use']}, weight {item['weight']}, "
                     f"{item['speed_class']}, "
                     f"{item['obstacle'] or 'may be chosen'}")
    return lines
