"""Serves one request on a worker thread, from arrival to its HTTP response.

The thread sends events to the scheduler and executes its commands until the
request has its response.
"""

import hashlib
import logging
import typing

import msgspec

from persimmonspan import errors
from persimmonspan.connection import plain_service
from persimmonspan.request import completion
from persimmonspan.request import events
from persimmonspan.request import generation
from persimmonspan.request import plain_call
from persimmonspan.request import session
from persimmonspan.version import model

Call = session.Call
Context = session.Context

_logger = logging.getLogger(__name__)


class Responder(generation.Responder, typing.Protocol):
    """Writes the response to the caller."""

    caller: typing.Any  # Socket of the caller.

    def start(self, status: int, content_type: str) -> None:
        """Sends the response headers."""

    def write(self, data: bytes) -> None:
        """Sends a part of the body.

        Raises:
            OSError: The caller left.
        """

    def send(self, data: bytes, timeout_s: float) -> None:
        """Sends framed data.

        Raises:
            OSError: The caller left or does not read the data.
        """


def serve(call: Call, context: Context, responder: Responder) -> None:
    """Serves one request from its arrival to its response.

    Raises:
        errors.PersimmonspanError: The request was refused or failed before the
            response was started.
        OSError: The caller left.
    """
    service = next(item for item in context.configuration.services
                   if item.name == call.kind.service)
    if service.is_model:
        request = completion.decode(call.path, call.body)
        _check_model(request, service)
        with context.gate.admit(call.workspace, request.prompt_tokens,
                                request.max_tokens):
            _serve_generation(call, context, responder, request, service)
    else:
        with context.gate.admit(call.workspace, 0, 0):
            _serve_plain_call(call, context, responder)


def error_body(error: errors.PersimmonspanError, request_id: str) -> bytes:
    """Returns the JSON body of an error."""
    return msgspec.json.encode({
        "error": {
            "code": error.code,
            "message": str(error),
            "reason": error.code,
            "run_state": error.run_state,
            "request_id": request_id
        }
    })


def _check_model(request: completion.Request, service: model.Service) -> None:
    if request.model is not None and request.model not in service.models:
        raise errors.RefusalError(
            errors.Code.NOT_FOUND,
            f'service "{service.name}" has no model "{request.model}"')


def _serve_generation(call: Call, context: Context, responder: Responder,
                      request: completion.Request,
                      service: model.Service) -> None:
    request_session = session.Session(call, context,
                                      _compute_end_s(call, context))
    failure = None
    with context.relay.watch_caller(responder.caller,
                                    request_session.messages.put,
                                    context.caller_write_timeout_s) as transfer:
        generation_run = generation.Generation(
            request_session, request, request.model or
            next(iter(service.models), ""), responder, transfer)
        try:
            session.run_attempts(request_session, _build_arrival(call, request),
                                 generation_run.run)
        except errors.PersimmonspanError as error:
            if not generation_run.has_started:
                raise
            failure = error
        pending = context.relay.take_pending(transfer)
    if failure is not None:
        context.metrics.count(f"stream_error_{failure.code}")
        _logger.info("stream ended with an error",
                     extra={
                         "code": failure.code,
                         "tokens": generation_run.tokens
                     })
        pending += responder.frame(
            completion.error_event(error_body(failure, call.request_id)))
    if pending:
        responder.send(pending, context.caller_write_timeout_s)
    if not request.is_streamed:
        responder.start(200, "application/json")
        responder.write(generation_run.encode_response())


def _serve_plain_call(call: Call, context: Context,
                      responder: Responder) -> None:
    request_session = session.Session(call, context,
                                      _compute_end_s(call, context))
    answers: list[plain_service.Response] = []

    def attempt(dispatch: events.Dispatch, target: events.Target) -> bool:
        del dispatch
        answer = plain_call.attempt(request_session, target)
        if answer is not None:
            answers.append(answer)
        return answer is not None

    with context.relay.watch_caller(responder.caller,
                                    request_session.messages.put,
                                    context.caller_write_timeout_s):
        session.run_attempts(request_session, _build_arrival(call, None),
                             attempt)
    responder.start(answers[0].status, answers[0].content_type)
    responder.write(answers[0].body)


def _compute_end_s(call: Call, context: Context) -> float:
    return min(call.deadline_s,
               call.arrived_s + context.configuration.timeouts.request_s)


def _build_arrival(call: Call,
                   request: completion.Request | None) -> events.Arrived:
    return events.Arrived(
        request_id=call.request_id,
        workspace=call.workspace.name,
        kind=call.kind.name,
        service=call.kind.service,
        prompt_tokens=request.prompt_tokens if request is not None else 0,
        max_output_tokens=request.max_tokens if request is not None else 0,
        deadline_s=call.deadline_s,
        fingerprint=hashlib.sha256((call.path + call.query).encode() +
                                   call.body).hexdigest(),
        part_fingerprints=(request.part_fingerprints if request is not None else
                           ()),
        is_idempotent=call.kind.is_idempotent)
