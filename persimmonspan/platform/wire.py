"""Headers of requests and responses, for callers and for replicas."""

import http
import math
import typing

import msgspec

from persimmonspan import decoding
from persimmonspan.connection import exchange
from persimmonspan.connection import retry_after
from persimmonspan.request import forwarded

# Says in the answers of a replica that it leaves.
LEAVING_HEADER = b"server-leaving"

_MS_PER_S = 1000.0
# Apply to a single connection (RFC 9110, section 7.6.1), so never forwarded.
_HOP_BY_HOP_HEADERS = frozenset({
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization",
    b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"content-length", b"expect"
})
# Set for replicas by this system only; a caller's headers of these names are
# not forwarded.
_OWN_HEADERS = frozenset({
    b"x-api-key", b"x-tenant", b"x-deadline-ms", b"x-expected-instance",
    b"x-expected-version", b"x-request-priority", b"x-reservation", b"x-pin-ms",
    b"x-kv-backup", b"kv-from", b"kv-fetch", b"last-event-id"
})


def decode_call(method: str, target: str,
                headers: typing.Mapping[bytes, bytes]) -> forwarded.Call:
    """Decodes the head of a caller's request.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Header values by lower-case name.
    """
    prompt_tokens, max_output_tokens = _parse_token_counts(
        headers.get(b"x-token-usage", b""))
    deadline_ms = _parse_number(headers.get(b"x-deadline-ms"))
    return forwarded.Call(
        request_id=headers.get(b"x-attempt-id", b"").decode("latin-1"),
        method=method,
        target=target,
        host=headers.get(b"host", b"").decode("latin-1").partition(":")[0],
        headers=tuple(
            (name, value)
            for name, value in headers.items()
            if name not in _HOP_BY_HOP_HEADERS and name not in _OWN_HEADERS),
        key=_decode_text(headers.get(b"x-api-key")),
        time_left_s=None if deadline_ms is None else deadline_ms / _MS_PER_S,
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        expected_output_tokens=int(
            _parse_number(headers.get(b"x-length-hint")) or 0),
        prefix_parts=_parse_prefix_parts(headers.get(b"x-prefix-hash", b"")),
        last_event_id=_parse_integer(headers.get(b"last-event-id")),
        resumes=_decode_text(headers.get(b"resumes")))


def encode_order(call: forwarded.Call,
                 attempt: forwarded.Attempt) -> exchange.Request:
    """Encodes a request to a replica."""
    headers = list(call.headers)
    headers += [(b"X-Deadline-Ms",
                 b"%d" % max(1, int(attempt.time_left_s * _MS_PER_S))),
                (b"X-Expected-Instance", attempt.target.encode())]
    if attempt.workspace is not None:
        headers.append((b"X-Tenant", attempt.workspace.encode()))
    if attempt.priority is not None:
        headers.append((b"X-Request-Priority", b"%d" % attempt.priority))
    if attempt.last_event_id is not None:
        headers.append((b"Last-Event-Id", b"%d" % attempt.last_event_id))
    if attempt.backup_address is not None:
        headers.append((b"X-Kv-Backup", attempt.backup_address.encode()))
    if attempt.resume_from is not None:
        headers.append((b"Kv-From", attempt.resume_from.encode()))
    return exchange.Request(call.method, call.target, tuple(headers), call.body)


def decode_response_head(
        head: exchange.RawResponseHead) -> forwarded.ResponseHead:
    """Decodes the head of a replica's response."""
    return forwarded.ResponseHead(
        status=head.status,
        headers=tuple((name, value)
                      for name, value in head.headers
                      if name not in _HOP_BY_HOP_HEADERS),
        # Different values name no request.
        request_id=_decode_text(
            b", ".join(sorted(head.get_all(b"x-attempt-id"))) or None),
        is_not_run=(head.get(b"x-not-executed") is not None or
                    head.status == 421),
        is_other_target=head.status == 421,
        # Misleading name: shows that the replica itself made the response.
        is_signed=head.get(b"x-response-signature") is not None,
        is_encoded=head.get(b"content-encoding") is not None,
        load=_parse_load(head.get(b"x-instance-load")),
        max_requests_per_s=_parse_rate(head.get(b"server-limit")),
        media_type=_parse_media_type(head.get(b"content-type")),
        is_leaving=says_leaving(head),
        retry_after_s=decode_retry_after(head),
        cold_s=decode_cold_start(head))


def decode_retry_after(head: exchange.RawResponseHead) -> float | None:
    """Decodes for how long a replica that turns a call away wants none."""
    return retry_after.read_pause_s(head)


def decode_cold_start(head: exchange.RawResponseHead) -> float | None:
    """Decodes for how long a replica is still cold; None if it does not say."""
    cold_ms = _parse_number(head.get(b"x-cold-start-ms"))
    return None if cold_ms is None else max(0.0, cold_ms / _MS_PER_S)


class _MoveResult(msgspec.Struct):
    # Misleading name: handle of the memory that was moved.
    session: str | None = None
    # Misleading name: number of events that the run has produced so far.
    created: int | None = None


_move_result_decoder = decoding.JsonDecoder(_MoveResult)


def encode_move(request_id: str, to_address: str) -> exchange.Request:
    """Encodes a call that copies a run to another replica.

    Args:
        request_id: Id of the request as its caller sent it.
        to_address: Address of the other replica.
    """
    return _encode_move({"id": request_id, "to": to_address})


def encode_stop(request_id: str, to_address: str) -> exchange.Request:
    """Encodes a call that stops a run and then copies it to another replica.

    Args:
        request_id: Id of the request as its caller sent it.
        to_address: Address of the other replica. The run stops also if this
            one cannot take the copy; the handle then names the stopped run.
    """
    return _encode_move({"id": request_id, "to": to_address, "latest": True})


def _encode_move(document: dict[str, str | bool]) -> exchange.Request:
    return exchange.Request("POST", "/kv-move",
                            ((b"Host", b"replica"),
                             (b"Content-Type", b"application/json")),
                            msgspec.json.encode(document))


def decode_move(head: exchange.RawResponseHead,
                body: bytes) -> forwarded.MoveResponse:
    """Decodes the response to a call that copies a run."""
    try:
        result = _move_result_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        result = _MoveResult()
    return forwarded.MoveResponse(head.status, result.session)


def encode_drop(handle: str) -> exchange.Request:
    """Encodes a call that frees the memory behind a handle."""
    return exchange.Request("DELETE", f"/kv-handle/{handle}",
                            ((b"Host", b"replica"),))


class _Report(msgspec.Struct):
    state: str | None = None
    leaves_ms: float | None = None


class _RunList(msgspec.Struct):
    waiting: int = 0
    # Each is an id, tokens in memory, events made, and a priority.
    executions: list[tuple[str, float, int, float]] | None = None


_report_decoder = decoding.JsonDecoder(_Report)
_run_list_decoder = decoding.JsonDecoder(_RunList)
_DRAINING = "draining"


def encode_report_query() -> exchange.Request:
    """Encodes a call that asks a replica about its state."""
    return exchange.Request("GET", "/report", ((b"Host", b"replica"),))


def decode_leaving(head: exchange.RawResponseHead, body: bytes) -> bool:
    """Decodes from a replica's report whether it leaves."""
    if head.status != http.HTTPStatus.OK:
        return False
    try:
        report = _report_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return report.state == _DRAINING or report.leaves_ms is not None


def decode_run(head: exchange.RawResponseHead, body: bytes,
               request_id: str) -> forwarded.RunReport | None:
    """Decodes what a replica's report says of a run; None if it says nothing.
    """
    if head.status != http.HTTPStatus.OK:
        return None
    try:
        runs = _run_list_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if runs.executions is None:
        return None
    made_events = (
        made for name, _, made, _ in runs.executions if name == request_id)
    return forwarded.RunReport(max(made_events, default=None), runs.waiting)


def says_leaving(head: exchange.RawResponseHead) -> bool:
    """Returns whether the head of an answer says that its replica leaves.

    One value of 1 suffices, alone or among others. The replica that refuses a
    request for another one speaks of itself.
    """
    if head.status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return False
    return any(part.strip() == b"1"
               for value in head.get_all(LEAVING_HEADER)
               for part in value.split(b","))


def copy_location(address: str, name: str) -> str:
    """Returns the location of a run's copy.

    Args:
        address: Address of the replica that has the handle or the backup.
        name: Handle of the copy, or request id of the backup.
    """
    return f"{address}/{name}"


def encode_retry_after(delay_s: float) -> tuple[bytes, bytes]:
    """Returns the header that says when the caller may retry."""
    return b"Retry-After", f"{delay_s:.2f}".encode()


def encode_request_id(request_id: str) -> tuple[bytes, bytes]:
    """Returns the header with the request id, for a response of this daemon."""
    return b"X-Attempt-Id", request_id.encode("latin-1")


def _parse_load(value: bytes | None) -> forwarded.Load | None:
    parts = [_parse_number(part) for part in (value or b"").split(b",")]
    if len(parts) < 3 or None in parts:
        return None
    # The fourth number is the relative duration of work, in percent.
    slowness = parts[3] / 100 if len(parts) > 3 else 1.0
    return forwarded.Load(int(parts[0]), int(parts[1]), int(parts[2]), slowness)


def _parse_prefix_parts(value: bytes) -> tuple[tuple[str, int], ...]:
    parts = []
    for part in value.decode("latin-1").split(","):
        name, separator, tokens = part.strip().partition(":")
        if separator and tokens.isdigit():
            parts.append((name, int(tokens)))
    return tuple(parts)


def _parse_token_counts(value: bytes) -> tuple[int, int]:
    parts = value.split(b",")
    if len(parts) != 2 or not all(part.strip().isdigit() for part in parts):
        return 0, 0
    return int(parts[0]), int(parts[1])


def _parse_media_type(value: bytes | None) -> str | None:
    text = _decode_text(value)
    return None if text is None else text.partition(";")[0].strip().lower()


def _decode_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _parse_number(value: bytes | None) -> float | None:
    """Returns a finite number, or None if the value is missing or not one."""
    try:
        number = float(value or b"")
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _parse_rate(value: bytes | None) -> float | None:
    rate = _parse_number(value)
    return None if rate is None else max(0.0, rate)


def _parse_integer(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None
