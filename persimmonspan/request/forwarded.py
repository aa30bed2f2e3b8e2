"""Types of forwarded requests and responses, and the platform's wire interface.

`Wire` is the interface to the formats of a platform: it converts between bytes
and headers and these types.

See Also:
    `persimmonspan.request.forwarding`: serves a forwarded request.
"""

import socket
import typing

from persimmonspan.connection import exchange
from persimmonspan.connection import memory_budget
from persimmonspan.version import routes

# Time reserved for the response to reach the caller before its deadline.
_RESPONSE_MARGIN_S = 0.05
_OK = 200


class Call(typing.NamedTuple):
    """A caller's request."""

    request_id: str
    method: str
    target: str  # Path and query, as sent.
    host: str
    headers: exchange.Headers  # Without those that the system sets itself.
    key: str | None = None
    time_left_s: float | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    prefix_parts: tuple[tuple[str, int], ...] = ()
    last_event_id: int | None = None
    body: bytes | bytearray = b""
    resumes: str | None = None  # Id of the call that brought the first event.

    @property
    def is_take_up(self) -> bool:
        """Whether the caller has events of an earlier call already."""
        return self.resumes is not None or self.last_event_id is not None

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


class Attempt(typing.NamedTuple):
    """What one target receives in addition to the caller's request."""

    target: str
    time_left_s: float
    workspace: str | None = None
    priority: int | None = None
    last_event_id: int | None = None
    backup_address: str | None = None
    resume_from: str | None = None


class Load(typing.NamedTuple):
    """Load that a target reported in a response; slowness 1 is usual."""

    running: int
    waiting: int
    slots: int
    slowness: float


class ResponseHead(typing.NamedTuple):
    """Head of a target's response."""

    status: int
    headers: exchange.Headers
    request_id: str | None
    is_not_run: bool
    is_other_target: bool
    is_signed: bool
    is_encoded: bool
    load: Load | None
    max_requests_per_s: float | None = None  # From all daemons together.
    media_type: str | None = None  # In lower case, without parameters.
    is_leaving: bool = False  # Whether the target says that it leaves.
    retry_after_s: float | None = None  # The target wants nothing for so long.
    cold_s: float | None = None  # It is cold for so long; None: it did not say.


class MoveResponse(typing.NamedTuple):
    """Response to a call that copies a run to another target."""

    status: int
    handle: str | None

    @property
    def is_done(self) -> bool:
        """Whether the copy is complete."""
        return self.status == _OK


class RunReport(typing.NamedTuple):
    """What a target reports of one run, as of some hundred milliseconds ago.

    Attributes:
        made_events: Number of events made so far; None: it is not listed.
        waiting: Number of requests that wait at the target.
    """

    made_events: int | None
    waiting: int


class Response(typing.NamedTuple):
    """A complete response."""

    status: int
    headers: exchange.Headers
    body: bytes | bytearray


class Wire(typing.Protocol):
    """Formats of a platform, see `persimmonspan.platform.wire`."""

    def decode_call(self, method: str, target: str,
                    headers: typing.Mapping[bytes, bytes]) -> Call:
        """Decodes the head of a caller's request."""

    def encode_order(self, call: Call, attempt: Attempt) -> exchange.Request:
        """Encodes a request to a target."""

    def decode_response_head(self,
                             head: exchange.RawResponseHead) -> ResponseHead:
        """Decodes the head of a target's response."""

    def encode_move(self, request_id: str, to_address: str) -> exchange.Request:
        """Encodes a call that copies a run to another target."""

    def decode_move(self, head: exchange.RawResponseHead,
                    body: bytes) -> MoveResponse:
        """Decodes the response to a call that copies a run."""

    def encode_stop(self, request_id: str, to_address: str) -> exchange.Request:
        """Encodes a call that stops a run and then copies it elsewhere."""

    def decode_run(self, head: exchange.RawResponseHead, body: bytes,
                   request_id: str) -> RunReport | None:
        """Decodes what a target reports of a run; None if it tells nothing."""

    def encode_drop(self, handle: str) -> exchange.Request:
        """Encodes a call that frees the memory that was copied."""

    def encode_report_query(self) -> exchange.Request:
        """Encodes a call that asks a target about its state."""

    def decode_leaving(self, head: exchange.RawResponseHead,
                       body: bytes) -> bool:
        """Decodes from the response to this call whether a target leaves."""

    def says_leaving(self, head: exchange.RawResponseHead) -> bool:
        """Returns whether the head of an answer says that its target leaves."""

    def decode_retry_after(self,
                           head: exchange.RawResponseHead) -> float | None:
        """Decodes for how long a target that turns a call away wants none."""

    def decode_cold_start(self, head: exchange.RawResponseHead) -> float | None:
        """Decodes for how long a target is still cold, if it says so."""

    def copy_location(self, address: str, name: str) -> str:
        """Returns the location of a copy, named by request id or by handle."""

    def encode_retry_after(self, delay_s: float) -> tuple[bytes, bytes]:
        """Returns the header that says when to repeat the request."""

    def encode_request_id(self, request_id: str) -> tuple[bytes, bytes]:
        """Returns the header with the request id of an own response."""


class Responder(typing.Protocol):
    """Writes the response to the caller."""

    caller: socket.socket
    account: memory_budget.Account  # Of the memory of this request.
    arrived_s: float  # When the request arrived, on the monotonic clock.

    def stream_head(self, status: int, headers: exchange.Headers) -> bytes:
        """Returns the head of a streamed response and marks it as sent."""

    def frame(self, data: bytes) -> bytes:
        """Returns a part of a streamed body, framed for the wire."""

    def abort(self) -> None:
        """Closes the connection before the response is complete."""


class RoutedCall(typing.NamedTuple):
    """A call with its route and workspace."""

    request_id: str  # Unique even if a caller repeats an id.
    call: Call
    route: routes.Route
    service: str
    workspace: routes.Workspace | None
    arrived_s: float
    end_s: float
    # That began the stream which this call takes up; empty if any may run it.
    software_version: str = ""


def compute_end_s(call: Call, route: routes.Route, arrived_s: float) -> float:
    """Returns the time by which a call must have its response."""
    wait_s = route.timeout_s
    if call.time_left_s is not None:
        wait_s = min(wait_s, call.time_left_s - _RESPONSE_MARGIN_S)
    return arrived_s + wait_s


def route_kind(route: routes.Route) -> str:
    """Returns the request kind of a route; routes with the same terms share it.

    Output lengths are learned per kind, so a route that was just added uses
    the lengths of similar routes.
    """
    return (f"{route.kind}/{route.is_resumable}/{route.timeout_s:g}/"
            f"{route.latency_objective_s:g}")
