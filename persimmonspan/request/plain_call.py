"""One attempt of a call to a plain service.

An idempotent call whose response was lost may be sent to another target. A
non-idempotent call uses the ledger: its key is claimed directly before the
dispatch, and repeats receive the stored response.

See Also:
    `persimmonspan.request.at_most_once`: the claim and the record.
"""

import functools
import logging

from persimmonspan import errors
from persimmonspan.connection import engine
from persimmonspan.connection import plain_service
from persimmonspan.request import at_most_once
from persimmonspan.request import events
from persimmonspan.request import ledger_events
from persimmonspan.request import session

_NOT_RUN_OUTCOMES = (events.Outcome.CONNECT_FAILED, events.Outcome.REFUSED)

_logger = logging.getLogger(__name__)


def attempt(request_session: session.Session,
            target: events.Target) -> plain_service.Response | None:
    """Sends a call to one target; returns None if another target may run it.

    Raises:
        errors.PersimmonspanError: A non-idempotent call has no response.
    """
    if request_session.call.kind.is_idempotent:
        return _attempt_idempotent(request_session, target)
    return _attempt_at_most_once(request_session, target)


def _attempt_idempotent(request_session: session.Session,
                        target: events.Target) -> plain_service.Response | None:
    try:
        answer = _dispatch_call(request_session, target)
    except errors.TargetError as error:
        request_session.end_attempt(target.name, _classify_error(error))
        return None
    request_session.end_attempt(target.name, events.Outcome.COMPLETED)
    return answer


def _attempt_at_most_once(
        request_session: session.Session,
        target: events.Target) -> plain_service.Response | None:
    call = request_session.call
    outcomes: list[events.Outcome] = []

    def dispatch(attempt_id: str) -> ledger_events.Response:
        del attempt_id
        try:
            answer = _dispatch_call(request_session, target)
        except errors.TargetError as error:
            outcomes.append(_classify_error(error))
            raise
        outcomes.append(events.Outcome.COMPLETED)
        return ledger_events.Response(*answer)

    request = at_most_once.Request(
        call.workspace.name, call.idempotency_key,
        at_most_once.digest(call.method, call.path + call.query, call.body),
        call.deadline_s)
    try:
        answer = at_most_once.run(request_session.context.ledger, request,
                                  dispatch)
    except errors.PersimmonspanError as error:
        outcome = outcomes[0] if outcomes else events.Outcome.CANCELLED
        may_try_another_target = (outcome in _NOT_RUN_OUTCOMES and
                                  error.run_state is errors.RunState.NOT_RUN)
        if outcome is events.Outcome.FAILED_BEFORE_FIRST_TOKEN:
            # The scheduler must not send the call to another target.
            outcome = events.Outcome.FAILED_AFTER_FIRST_TOKEN
        elif outcome in _NOT_RUN_OUTCOMES and not may_try_another_target:
            outcome = events.Outcome.CANCELLED
        request_session.end_attempt(target.name, outcome)
        if may_try_another_target:
            return None
        raise
    # Without an outcome the response is from the ledger, not from the target.
    request_session.end_attempt(
        target.name, outcomes[0] if outcomes else events.Outcome.CANCELLED)
    return plain_service.Response(*answer)


def _dispatch_call(request_session: session.Session,
                   target: events.Target) -> plain_service.Response:
    call = request_session.call
    timeouts = request_session.context.configuration.timeouts
    plain_request = plain_service.Request(call.request_id, call.method,
                                          call.path + call.query, call.body)
    try:
        return plain_service.dispatch(
            target.address, plain_request, timeouts.connect_s,
            min(timeouts.first_token_s, request_session.remaining_s()),
            functools.partial(request_session.context.report_leaving,
                              target.name),
            lambda pause_s: request_session.context.pauses.record(
                target.name, pause_s, "request"))
    except (engine.NotSentError, engine.NotRunError):
        raise
    except errors.TargetError as error:
        request_session.may_have_run = True
        _logger.warning("no usable answer of a plain service",
                        extra={
                            "target": target.name,
                            "reason": str(error)
                        })
        is_mismatched = isinstance(error, plain_service.MismatchedResponseError)
        request_session.context.metrics.count(
            "plain_crossed" if is_mismatched else "plain_no_answer")
        raise


def _classify_error(error: errors.TargetError) -> events.Outcome:
    if isinstance(error, engine.NotSentError):
        return events.Outcome.CONNECT_FAILED
    if isinstance(error, engine.NotRunError):
        return events.Outcome.REFUSED
    return events.Outcome.FAILED_BEFORE_FIRST_TOKEN
