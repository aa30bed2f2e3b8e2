"""One attempt of a call to a plain service.

An idempotent call whose answer was lost may be sent to another target. A
non-idempotent call goes through the ledger: it is claimed directly before it is
dispatched, and its stored answer is given to repeats.

See Also:
    `persimmonspan.request.at_most_once`: the claim and the record.
"""

from persimmonspan import errors
from persimmonspan.connection import engine
from persimmonspan.connection import plain_service
from persimmonspan.request import at_most_once
from persimmonspan.request import events
from persimmonspan.request import ledger_events
from persimmonspan.request import session

_ELSEWHERE = (events.Outcome.CONNECT_FAILED, events.Outcome.REFUSED)


def attempt(owner: session.Session,
            target: events.Target) -> plain_service.Answer | None:
    """Asks one target; returns None if another may be asked.

    Raises:
        errors.PersimmonspanError: A non-idempotent call has no answer.
    """
    if owner.call.kind.is_idempotent:
        return _attempt_idempotent(owner, target)
    return _attempt_once(owner, target)


def _attempt_idempotent(owner: session.Session,
                        target: events.Target) -> plain_service.Answer | None:
    try:
        answer = _dispatch(owner, target)
    except errors.TargetError as error:
        owner.end_attempt(target.name, _outcome(error))
        return None
    owner.end_attempt(target.name, events.Outcome.COMPLETED)
    return answer


def _attempt_once(owner: session.Session,
                  target: events.Target) -> plain_service.Answer | None:
    call = owner.call
    outcomes: list[events.Outcome] = []

    def dispatch(attempt_id: str) -> ledger_events.Answer:
        del attempt_id
        try:
            answer = _dispatch(owner, target)
        except errors.TargetError as error:
            outcomes.append(_outcome(error))
            raise
        outcomes.append(events.Outcome.COMPLETED)
        return ledger_events.Answer(*answer)

    request = at_most_once.Request(
        call.workspace.name, call.idempotency_key,
        at_most_once.digest(call.method, call.path + call.query, call.body),
        call.deadline_s)
    try:
        answer = at_most_once.run(owner.context.ledger, request, dispatch)
    except errors.PersimmonspanError as error:
        outcome = outcomes[0] if outcomes else events.Outcome.CANCELLED
        may_go_elsewhere = (outcome in _ELSEWHERE and
                            error.run_state is errors.RunState.NOT_RUN)
        if outcome is events.Outcome.FAILED_BEFORE_FIRST_TOKEN:
            # The scheduler must not send it to another target.
            outcome = events.Outcome.FAILED_AFTER_FIRST_TOKEN
        elif outcome in _ELSEWHERE and not may_go_elsewhere:
            outcome = events.Outcome.CANCELLED
        owner.end_attempt(target.name, outcome)
        if may_go_elsewhere:
            return None
        raise
    # Without an outcome the answer came from the ledger, not from the target.
    owner.end_attempt(target.name,
                      outcomes[0] if outcomes else events.Outcome.CANCELLED)
    return plain_service.Answer(*answer)


def _dispatch(owner: session.Session,
              target: events.Target) -> plain_service.Answer:
    call = owner.call
    timeouts = owner.context.configuration.timeouts
    order = plain_service.Order(call.request_id, call.method,
                                call.path + call.query, call.body)
    try:
        return plain_service.dispatch(
            target.address, order, timeouts.connect_s,
            min(timeouts.first_token_s, owner.remaining_s()))
    except (engine.NotSentError, engine.NotRunError):
        raise
    except errors.TargetError as error:
        owner.may_have_run = True
        is_crossed = isinstance(error, plain_service.CrossedAnswerError)
        owner.context.metrics.count(
            "plain_crossed" if is_crossed else "plain_no_answer")
        raise


def _outcome(error: errors.TargetError) -> events.Outcome:
    if isinstance(error, engine.NotSentError):
        return events.Outcome.CONNECT_FAILED
    if isinstance(error, engine.NotRunError):
        return events.Outcome.REFUSED
    return events.Outcome.FAILED_BEFORE_FIRST_TOKEN
