"""Adapter of the engine's control requests: orders and state.

The outcome distinguishes orders that the engine rejected because of a stale
fencing token, orders that failed, and orders whose response was lost, because
each needs a different reaction.

See Also:
    `persimmonspan.process.orders`: decides which order is sent.
    `persimmonspan.connection.engine`: requests for generations.
"""

import http
import socket
import time
import typing

import immutables
import msgspec
import urllib3

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.process import orders

_MAX_BODY_BYTES = 64 * 1024

Outcome = typing.Literal["accepted", "stale", "failed", "unknown"]

_OUTCOME_BY_STATUS: dict[int, Outcome] = {
    http.HTTPStatus.OK: "accepted",
    http.HTTPStatus.CONFLICT: "stale",
    http.HTTPStatus.UNPROCESSABLE_ENTITY: "failed",
}


class OrderDocument(typing.TypedDict):
    """Body of `POST /v1/orders`."""

    order_id: str
    fence: int
    kind: str
    argument: str


class StateDocument(typing.TypedDict):
    """Response to `GET /v1/state`; `models` maps a model to its phase."""

    incarnation: str
    active: str
    role: str
    models: dict[str, str]
    last_order_id: str
    fence: int


_state_decoder = decoding.JsonDecoder(StateDocument)


def send_order(address: str, order: orders.Order, timeout_s: float) -> Outcome:
    """Sends an order to the engine at an address and port.

    The function first reads the state over the same connection. If the engine
    restarted after the order was decided, its incarnation differs and the order
    is not sent: it could unload the model that the new process serves. An
    engine must therefore keep the connection open after it sent its state.

    Returns:
        The outcome; `unknown` if the engine may have received the order or if
        the order was not sent.
    """
    body = OrderDocument(order_id=order.order_id,
                         fence=order.fence,
                         kind=order.kind,
                         argument=order.argument)
    try:
        with exchange.open_socket(address, timeout_s) as sock:
            _, data = _ask(sock, "GET", "/v1/state", b"", timeout_s)
            state = _state_decoder.decode(data)
            # A second connection could reach a restarted engine, so the order
            # is not sent if the engine closed the first one. Bytes that came
            # uncalled could be taken for the response to the order.
            if (state["incarnation"] != order.incarnation or
                    exchange.has_input(sock)):
                return "unknown"
            status, _ = _ask(sock, "POST", "/v1/orders",
                             msgspec.json.encode(body), timeout_s)
    except (errors.TargetError, msgspec.DecodeError):
        return "unknown"
    return _OUTCOME_BY_STATUS.get(status, "unknown")


def _ask(sock: socket.socket, method: str, path: str, body: bytes,
         timeout_s: float) -> tuple[int, bytes]:
    """Returns status and body of the response to a request.

    Raises:
        errors.TargetError: No whole response arrived in time, or other bytes
            followed it.
    """
    request = exchange.Request(method, path, ((b"Host", b"engine"),), body)
    exchange.send(sock, exchange.encode(request), timeout_s)
    reader, data = exchange.receive(sock, method,
                                    time.monotonic() + timeout_s,
                                    _MAX_BODY_BYTES)
    if reader.has_trailing_bytes:
        raise exchange.BrokenResponseError(errors.Code.TARGET_FAILED,
                                           "other bytes follow the response")
    return reader.head.status, data


def read_state(address: str, timeout_s: float) -> orders.ReportedState:
    """Reads the state of the engine at an address and port.

    Raises:
        errors.TargetError: The engine did not respond with its state.
    """
    try:
        status, data = _call(address, "GET", "/v1/state", None, timeout_s)
        if status != http.HTTPStatus.OK:
            raise errors.TargetError(
                errors.Code.TARGET_FAILED,
                f"engine {address} returned status {status} for its state")
        document = _state_decoder.decode(data)
    except (urllib3.exceptions.HTTPError, OSError,
            msgspec.DecodeError) as error:
        raise errors.TargetError(errors.Code.TARGET_FAILED,
                                 f"no state from {address}") from error
    return orders.ReportedState(document["incarnation"], document["active"],
                                document["role"],
                                immutables.Map(document["models"]),
                                document["last_order_id"])


def _call(address: str, method: str, path: str, body: bytes | None,
          timeout_s: float) -> tuple[int, bytes]:
    host, port = address.rsplit(":", 1)
    with urllib3.HTTPConnectionPool(host,
                                    int(port),
                                    timeout=timeout_s,
                                    retries=False) as pool:
        response = pool.request(method, path, body=body)
        return response.status, response.data
