"""Evidence from the death of a target against the requests that it ran.

See Also:
    `persimmonspan.request.quarantine`: the rules, and what follows from them.
"""

import math
import typing

CRASHES_TO_REFUSE = 3
CRASHES_TO_REFUSE_ALONE = 2  # Of a whole request that was alone once.
# Of targets that ran one request one after the other, whatever ran beside it.
DEATHS_TO_REFUSE = 3
# Targets that die together, such as those of a failure domain, die within this.
MIN_CRASH_INTERVAL_S = 0.5
SUSPECT_TTL_S = 300.0
_MAX_COUNTED_REQUESTS = 8


class Fingerprints(typing.NamedTuple):
    """Fingerprints of a request and of the parts that others may share."""

    request: str
    parts: tuple[str, ...] = ()


class Record(typing.NamedTuple):
    """The evidence against a fingerprint."""

    expires_s: float
    crashes: int = 0
    crashes_alone: int = 0
    requests: tuple[str, ...] = ()  # Requests whose crashes were counted.
    crashed_s: float = -math.inf  # The last counted crash, or its report.
    refused_until_s: float = -math.inf


class Run(typing.NamedTuple):
    """A request in flight on a target, or whose attempt broke."""

    fingerprints: Fingerprints
    started_s: float
    is_answered: bool = False  # The target survived the start of its answer.
    disconnected_s: float = math.inf
    deaths: int = 0  # Of the targets that ran the same request before.


def list_suspects(runs: typing.Iterable[Run]) -> dict[str, tuple[Run, ...]]:
    """Returns the fingerprints that may have crashed a target, with runs."""
    runs = tuple(runs)
    unanswered = tuple(run for run in runs if not run.is_answered)
    suspects: dict[str, tuple[Run, ...]] = {}
    for run in unanswered or runs:
        parts = () if run.is_answered else run.fingerprints.parts
        for fingerprint in (run.fingerprints.request, *parts):
            suspects[fingerprint] = (*suspects.get(fingerprint, ()), run)
    return suspects


def is_another_crash(record: Record,
                     run: Run,
                     now_s: float,
                     is_late: bool = False) -> bool:
    """Returns whether a crash has another cause than the one counted last.

    Args:
        record: The evidence so far.
        run: The run that the crash ended.
        now_s: Time at which the crash is known.
        is_late: Whether the crash may have been long before.
    """
    if run.started_s > record.crashed_s:
        return True
    return (not is_late and
            _end_s(run, now_s) - record.crashed_s >= MIN_CRASH_INTERVAL_S)


def is_proven(fingerprint: str, record: Record) -> bool:
    """Returns whether the evidence suffices to refuse a fingerprint."""
    is_request = record.requests[-1] == fingerprint
    if is_request and record.crashes_alone:
        return record.crashes >= CRASHES_TO_REFUSE_ALONE
    return record.crashes >= CRASHES_TO_REFUSE and (is_request or len(
        set(record.requests)) > 1)


def condemn(record: Record, run: Run, now_s: float) -> Record:
    """Returns a record of a request that outlived the deaths of its targets."""
    requests = (*record.requests, run.fingerprints.request)
    return record._replace(expires_s=now_s + SUSPECT_TTL_S,
                           crashes=max(record.crashes, run.deaths),
                           requests=requests[-_MAX_COUNTED_REQUESTS:],
                           crashed_s=_end_s(run, now_s))


def is_explained(fingerprint: str, runs: typing.Iterable[Run],
                 guilty: typing.Container[str]) -> bool:
    """Returns whether a later part of a prompt is as likely the cause.

    The first parts of a prompt are those that most other prompts share. If an
    earlier one is the cause, the next crash shows it.
    """
    for run in runs:
        parts = run.fingerprints.parts
        if fingerprint in parts and any(
                part in guilty
                for part in parts[parts.index(fingerprint) + 1:]):
            return True
    return False


def _end_s(run: Run, now_s: float) -> float:
    """Returns when a run broke, which is before its death is known."""
    return min(now_s, run.disconnected_s)


def add_crash(record: Record, run: Run, is_alone: bool, now_s: float) -> Record:
    """Returns a record with one more crash, that of a run."""
    requests = (*record.requests, run.fingerprints.request)
    return record._replace(expires_s=now_s + SUSPECT_TTL_S,
                           crashes=record.crashes + 1,
                           crashes_alone=record.crashes_alone + is_alone,
                           requests=requests[-_MAX_COUNTED_REQUESTS:],
                           crashed_s=_end_s(run, now_s))
