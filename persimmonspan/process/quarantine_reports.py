"""Which reports of the quarantine a daemon's digests hold.

A report is a counted crash, a refusal or a cleared fingerprint. The daemon that
makes it repeats it in its digests for `REPEAT_S`, as digests may be lost. A hub
does the same with the reports that it receives, so that they reach all. Reports
are numbered, at random, and each daemon applies a number once: what has been
answered since must not be undone by a repetition.

Refusals in force have the number 0 and are in all digests, for daemons that
have started since.

All functions are pure.
"""

import typing

import immutables

from persimmonspan.request import events

REPEAT_S = 1.5
# Longer than a report is repeated by its daemon and then by the hub.
_REMEMBERED_S = 10.0
# The rest follows in later digests, as far as it is repeated for so long.
_MAX_REPORTS_PER_DIGEST = 64
_IN_FORCE = 0


class NumberedReport(typing.NamedTuple):
    """A report, and its number or 0 if it is a refusal in force."""

    number: int
    report: events.QuarantineShared


class _Repeated(typing.NamedTuple):
    report: events.QuarantineShared
    at_s: float


class State(typing.NamedTuple):
    """Reports to repeat, and when reports were applied, by number."""

    repeated: immutables.Map[int, _Repeated] = immutables.Map()
    applied_s: immutables.Map[int, float] = immutables.Map()


def publish(state: State, number: int, report: events.QuarantineShared,
            now_s: float) -> State:
    """Records a report, to repeat it in digests and to apply it only once."""
    return State(state.repeated.set(number, _Repeated(report, now_s)),
                 state.applied_s.set(number, now_s))


def receive(state: State, reports: typing.Iterable[NumberedReport],
            refused: typing.Container[str], is_hub: bool,
            now_s: float) -> tuple[State, list[events.QuarantineShared]]:
    """Returns which reports of a peer's digest are to be applied.

    Args:
        state: The state before the digest.
        reports: The reports in the digest.
        refused: Fingerprints that this daemon refuses already.
        is_hub: Whether this daemon repeats the reports of others.
        now_s: Time.

    >>> report = events.QuarantineShared("part:a", 1, 300.0)
    >>> numbered = (NumberedReport(7, report),)
    >>> state, applied = receive(State(), numbered, (), False, 0.0)
    >>> len(applied), len(receive(state, numbered, (), False, 0.1)[1])
    (1, 0)
    """
    applied = []
    for number, report in reports:
        if number == _IN_FORCE:
            if report.fingerprint not in refused:
                applied.append(report)
        elif number not in state.applied_s:
            applied.append(report)
            state = state._replace(applied_s=state.applied_s.set(number, now_s))
            if is_hub:
                state = publish(state, number, report, now_s)
    return state, applied


def select(state: State, refusals: typing.Iterable[events.QuarantineShared],
           now_s: float) -> tuple[State, tuple[NumberedReport, ...]]:
    """Returns the reports for the next digests, the latest first.

    Args:
        state: The state; what is no longer repeated is dropped from it.
        refusals: The refusals in force.
        now_s: Time.
    """
    state = State(
        immutables.Map({
            number: item
            for number, item in state.repeated.items()
            if now_s - item.at_s < REPEAT_S
        }) if state.repeated else state.repeated,
        immutables.Map({
            number: at_s
            for number, at_s in state.applied_s.items()
            if now_s - at_s < _REMEMBERED_S
        }) if state.applied_s else state.applied_s)
    latest = sorted(state.repeated.items(),
                    key=lambda entry: -entry[1].at_s)[:_MAX_REPORTS_PER_DIGEST]
    return state, (
        *(NumberedReport(_IN_FORCE, refusal) for refusal in refusals),
        *(NumberedReport(
            number,
            item.report._replace(ttl_s=item.report.ttl_s - (now_s - item.at_s)))
          for number, item in latest))
