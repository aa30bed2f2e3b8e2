"""The call that stops a run at its target.

A target that confirms the stop keeps the memory of the run behind a handle,
from which the stream can go on, there or where the call had it copied.

See Also:
    `persimmonspan.request.copies`: stops a run whose stream goes on.
    `persimmonspan.process.run_stopper`: stops runs that nobody waits for.
"""

import http
import logging
import time
import typing

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.request import abandoned_runs
from persimmonspan.request import events
from persimmonspan.request import services

# A round trip between failure domains; a live target accepts within it.
_CONNECT_TIMEOUT_S = 0.3
# The run stops when the call arrives; the rest is the time to copy its memory.
_TIMEOUT_S = 1.0
_DROP_TIMEOUT_S = 0.3
# The second one: stopped, but not copied.
_STOPPED_STATUSES = (http.HTTPStatus.OK, http.HTTPStatus.SERVICE_UNAVAILABLE)
_RESULTS = {
    http.HTTPStatus.NOT_FOUND: abandoned_runs.StopResult.NO_RUN,
    http.HTTPStatus.CONFLICT: abandoned_runs.StopResult.BUSY
}

_logger = logging.getLogger(__name__)


class Order(typing.NamedTuple):
    """A run that is to be stopped.

    Attributes:
        target: Its target.
        request_id: Id of the request as its caller sent it.
        to: Another target to which its memory is copied. The platform's
            replicas refuse to stop a run without one; None if there is none.
    """

    target: events.Target
    request_id: str
    to: events.Target | None


class Answer(typing.NamedTuple):
    """How the call ended.

    Attributes:
        result: What it says of the run.
        handle: Names the memory that the target keeps, or None.
        is_copied: Whether the memory is at the other target too.
    """

    result: abandoned_runs.StopResult
    handle: str | None = None
    is_copied: bool = False


def send(context: services.CallContext, order: Order) -> Answer:
    """Tells a target to stop a run and to copy its memory to another one."""
    target, request_id, to = order
    status, reason = None, ""
    began_s = time.monotonic()
    try:
        head, body = exchange.call(
            target.address,
            context.wire.encode_stop(request_id, (to or target).address),
            _TIMEOUT_S, _CONNECT_TIMEOUT_S)
        services.record_call(context, target, head, "stop")
        move = context.wire.decode_move(head, body)
        status = move.status
        answer = Answer(_classify(move.status, move.handle), move.handle,
                        move.is_done)
    except errors.TargetError as error:
        reason = str(error)
        has_ended = (isinstance(error, exchange.NotSentError) and
                     isinstance(error.__cause__, ConnectionRefusedError))
        answer = Answer(abandoned_runs.StopResult.TARGET_ENDED
                        if has_ended else abandoned_runs.StopResult.NO_ANSWER)
    context.metrics.count(f"run_stop_{answer.result}")
    _logger.info("stop of a run",
                 extra={
                     "target": target.name,
                     "stopped_request": request_id,
                     "to": to and to.name,
                     "status": status,
                     "outcome": answer.result,
                     "reason": reason,
                     "took_s": round(time.monotonic() - began_s, 3)
                 })
    return answer


def free(context: services.CallContext, target: events.Target,
         handle: str) -> None:
    """Frees the memory of a run that was stopped for good."""
    try:
        head, _ = exchange.call(target.address,
                                context.wire.encode_drop(handle),
                                _DROP_TIMEOUT_S)
        services.record_call(context, target, head, "drop")
    except errors.TargetError as error:
        # The target discards it by itself after a while.
        _logger.info("memory of a stopped run not freed",
                     extra={
                         "target": target.name,
                         "reason": str(error)
                     })


def _classify(status: int, handle: str | None) -> abandoned_runs.StopResult:
    if status in _STOPPED_STATUSES and handle is not None:
        return abandoned_runs.StopResult.STOPPED
    return _RESULTS.get(status, abandoned_runs.StopResult.UNCLEAR)
