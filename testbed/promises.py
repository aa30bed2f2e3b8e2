"""Checks responses and the runs at targets against the system's promises.

The text of a response names its prompt and the index of each token, and targets
count their runs, so that each promise is checked by counting.
"""

import collections
import collections.abc
import typing

import msgspec

from persimmonspan import errors
from persimmonspan.process import load
from testbed import engine


class Verdict(typing.NamedTuple):
    """How often a promise was checked, and the cases that broke it."""

    promise: str
    checked: int
    broken: tuple[str, ...]


class Observations(typing.NamedTuple):
    """Observations of one run.

    `runs` counts runs by request id at engines and by body at plain services.
    `leaving_runs` are the runs at a leaving target 3 s after the change and at
    the end. `revisions` are the revisions that each daemon reported, in order.
    `in_force_s` are the times from acceptance of a configuration until it is
    in force at all daemons.
    """

    results: list[load.Result]
    non_idempotent_kinds: frozenset[str]
    runs: dict[str, int]
    leaving_runs: tuple[int, int]
    stop_exit_code: int | None
    revisions: dict[str, list[int]]
    in_force_s: list[float]
    in_force_limit_s: float = 4.0


def check_promises(observed: Observations) -> list[Verdict]:
    """Returns one verdict for each promise."""
    return [
        _check_token_order(observed),
        _check_own_whole_response(observed),
        _check_not_run(observed),
        _check_at_most_once(observed),
        _check_leaving_target(observed),
        _check_planned_stop(observed),
        _check_configuration(observed),
    ]


def token_texts(result: load.Result) -> list[str]:
    """Returns the token texts of a streamed response."""
    texts = []
    for event in result.events:
        if event.startswith(b"data: {"):
            document = msgspec.json.decode(event.removeprefix(b"data: "))
            texts += [
                choice["text"]
                for choice in document["choices"]
                if choice.get("text")
            ]
    return texts


def _prompt(result: load.Result) -> str:
    return msgspec.json.decode(result.planned.body)["prompt"]


def _streamed_results(observed: Observations) -> list[load.Result]:
    return [
        result for result in observed.results
        if result.planned.is_streamed and result.events
    ]


def _check_token_order(observed: Observations) -> Verdict:
    broken = []
    streams = _streamed_results(observed)
    for result in streams:
        word = engine.prompt_hash(_prompt(result))
        texts = token_texts(result)
        if texts != [f"{word}-{i} " for i in range(len(texts))]:
            broken.append(result.planned.idempotency_key)
    return Verdict("each token once, in order, from one generation",
                   len(streams), tuple(broken))


def _check_own_whole_response(observed: Observations) -> Verdict:
    broken = []
    checked = 0
    for result in observed.results:
        key = result.planned.idempotency_key
        if result.outcome == "truncated":
            broken.append(key)
        if result.outcome != "complete":
            continue
        checked += 1
        if result.planned.is_streamed:
            is_own = any(
                b'"finish_reason":"' in event for event in result.events[-3:])
        else:
            is_own = key.encode() in result.events[0]
        if not is_own:
            broken.append(key)
    return Verdict("the whole answer to one's own request", checked,
                   tuple(broken))


def _check_not_run(observed: Observations) -> Verdict:
    broken = []
    checked = 0
    for result in observed.results:
        if any(state != errors.RunState.NOT_RUN for state in result.run_states
              ) and not result.planned.is_streamed:
            continue  # Plain services count by body, which all tries share.
        for number, state in enumerate(result.run_states, 1):
            if state != errors.RunState.NOT_RUN:
                continue
            checked += 1
            name = (load.request_id(result.planned, number)
                    if result.planned.is_streamed else
                    result.planned.body.decode())
            if observed.runs.get(name, 0):
                broken.append(name)
    return Verdict("a request refused as not run was not run", checked,
                   tuple(broken))


def _check_at_most_once(observed: Observations) -> Verdict:
    bodies = [
        result.planned.body.decode()
        for result in observed.results
        if result.planned.kind in observed.non_idempotent_kinds
    ]
    counts = collections.Counter(
        {body: observed.runs.get(body, 0) for body in bodies})
    broken = [body for body, count in counts.items() if count > 1]
    for result in observed.results:
        body = result.planned.body.decode()
        if (result.planned.kind in observed.non_idempotent_kinds and
                result.outcome == "complete" and counts[body] == 0):
            broken.append(f"lost: {body}")
    return Verdict("a non-idempotent call runs at most once, none is lost",
                   len(bodies), tuple(broken))


def _check_leaving_target(observed: Observations) -> Verdict:
    before, after = observed.leaving_runs
    broken = (f"{after - before} new runs",) if after > before else ()
    return Verdict("a leaving target gets no new work after 3 s", 1, broken)


def _check_planned_stop(observed: Observations) -> Verdict:
    broken = []
    if observed.stop_exit_code != 0:
        broken.append(f"exit code {observed.stop_exit_code}")
    broken += [
        result.planned.idempotency_key
        for result in observed.results
        if result.outcome == "no_answer"
    ]
    return Verdict("a planned stop cuts no request", 1, tuple(broken))


def _check_configuration(observed: Observations) -> Verdict:
    broken = [
        f"{daemon} reported a lower revision than before"
        for daemon, revisions in observed.revisions.items()
        if revisions != sorted(revisions)
    ]
    broken += [
        f"in force after {delay_s:.2f} s" for delay_s in observed.in_force_s
        if delay_s > observed.in_force_limit_s
    ]
    return Verdict("an accepted configuration is in force and stays",
                   len(observed.in_force_s), tuple(broken))


def format_report(
    verdicts: collections.abc.Sequence[Verdict]
) -> collections.abc.Iterator[str]:
    """Yields a line for each promise and for its first three breaches."""
    for verdict in verdicts:
        state = "BROKEN" if verdict.broken else "held"
        yield (f"{state:<7} {verdict.promise}: {verdict.checked} checked, "
               f"{len(verdict.broken)} broken")
        for name in verdict.broken[:3]:
            yield f"          {name}"
