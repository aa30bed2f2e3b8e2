"""Answers the question where a request would go now.

The question is a query: `host` and `path` select the route, `workspace` names
the caller's workspace, `prompt_tokens` and `output_tokens` give the size.
"""

import random
import time
import typing
import urllib.parse

import msgspec
import pykka

from persimmonspan import errors
from persimmonspan.process import scheduler_actor
from persimmonspan.request import arrival
from persimmonspan.request import explanation
from persimmonspan.request import forwarded
from persimmonspan.version import routes

_PATH = "/explain"
# The question has no caller whose request would be fingerprinted.
_REQUEST_ID = "explain"


class Answer(typing.NamedTuple):
    """The route that was selected, and what the scheduler would do."""

    route: str
    service: str
    explanation: explanation.Explanation


def is_question(target: str) -> bool:
    """Returns whether a path with its query asks for an explanation."""
    return urllib.parse.urlsplit(target).path == _PATH


def encode_question(question: typing.Mapping[str, str]) -> str:
    """Returns the path with the query of a question."""
    return f"{_PATH}?{urllib.parse.urlencode(question)}"


def answer(target: str, configuration: routes.Configuration | None,
           scheduler: pykka.ActorRef[scheduler_actor.SchedulerActor],
           rng: random.Random) -> bytes:
    """Returns the answer as JSON.

    Raises:
        errors.PersimmonspanError: No configuration is in force, or no route
            matches.
        ValueError: A number is none.
    """
    if configuration is None:
        raise errors.RefusalError(errors.Code.CONFIG_UNVERIFIED,
                                  "no configuration is in force")
    query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
    path = query.get("path", "/")
    route = routes.find_route(configuration, query.get("host", ""), path)
    call = forwarded.Call(_REQUEST_ID,
                          "POST",
                          path,
                          query.get("host", ""), (),
                          prompt_tokens=int(query.get("prompt_tokens", 0)),
                          max_output_tokens=int(query.get("output_tokens", 0)))
    arrived_s = time.monotonic()
    service = routes.pick_service(route, rng)
    arrived = arrival.build(
        forwarded.RoutedCall(_REQUEST_ID, call, route, service, None, arrived_s,
                             forwarded.compute_end_s(call, route, arrived_s)),
        configuration)._replace(workspace=query.get("workspace", ""))
    found = scheduler.ask(
        scheduler_actor.Evaluate(lambda state, now_s: explanation.explain(
            state, arrived, now_s, rng)))
    return msgspec.json.encode(to_document(Answer(route.name, service, found)))


def to_document(found: Answer) -> dict[str, typing.Any]:
    """Returns an answer with the names of its fields, for people."""
    return {
        "route":
            found.route,
        "service":
            found.service,
        **found.explanation._asdict(), "targets": [
            report._asdict() for report in found.explanation.targets
        ]
    }
