"""Adapter of the engine's control requests: orders and state.

The outcome distinguishes orders that the engine rejected because of a stale
fencing token, orders that failed, and orders whose response was lost, because
each needs a different reaction.

See Also:
    `persimmonspan.process.orders`: decides which order is sent.
    `persimmonspan.connection.engine`: requests for generations.
"""

import http
import http.client
import typing

import immutables
import msgspec
import urllib3

from persimmonspan import errors
from persimmonspan.process import orders

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


_state_decoder = msgspec.json.Decoder(StateDocument)


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
    host, port = address.rsplit(":", 1)
    connection = urllib3.connection.HTTPConnection(host,
                                                   int(port),
                                                   timeout=timeout_s)
    try:
        connection.request("GET", "/v1/state")
        state = _state_decoder.decode(connection.getresponse().data)
        # A second connection could reach a restarted engine, so the order is
        # not sent if the engine closed the first one.
        if state["incarnation"] != order.incarnation or connection.sock is None:
            return "unknown"
        connection.auto_open = 0
        connection.request("POST", "/v1/orders", body=msgspec.json.encode(body))
        status = connection.getresponse().status
    except (urllib3.exceptions.HTTPError, OSError, http.client.HTTPException,
            msgspec.DecodeError):
        return "unknown"
    finally:
        connection.close()
    return _OUTCOME_BY_STATUS.get(status, "unknown")


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
