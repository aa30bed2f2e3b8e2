"""Stand-in for the part of an engine that executes orders.

It keeps the phase of each model, the active model and the role. It can check or
ignore fencing tokens, load models slowly, fail to load some models, and lose
the response to an order that took effect. A change of the active model or the
role would interrupt the running generations; the stand-in counts them.
"""

import threading
import time
import typing
import uuid

from cheroot import server
import msgspec

from persimmonspan.connection import engine_control


class Options(typing.NamedTuple):
    """Options of the stand-in."""

    checks_fencing: bool = True
    load_s: float = 0.5
    broken_models: frozenset[str] = frozenset()
    # Every n-th response to an order is lost; 0 loses none.
    lost_response_interval: int = 0


class Control:
    """State of the stand-in; `running` counts the running generations."""

    def __init__(self,
                 model: str,
                 options: Options,
                 running: typing.Callable[[], int] = lambda: 0) -> None:
        self.options = options
        self.incarnation = uuid.uuid4().hex
        self.active = model
        self.role = "mixed"
        self.orders: list[engine_control.OrderDocument] = []
        self.interrupted_generations = 0
        self._count_running = running
        self._models = {model: "warm"}
        self._ready_s: dict[str, float] = {}
        self._fence = 0
        self._last_order_id = ""
        self._lock = threading.Lock()

    def execute_order(self, order: engine_control.OrderDocument) -> int:
        """Executes an order and returns the HTTP status.

        A repetition of the last order is confirmed but not executed again.
        """
        with self._lock:
            if self.options.checks_fencing and order["fence"] < self._fence:
                return 409
            self._fence = max(self._fence, order["fence"])
            self.orders.append(order)
            if order["order_id"] == self._last_order_id:
                return 200
            self._last_order_id = order["order_id"]
            return 200 if self._apply_order(order["kind"],
                                            order["argument"]) else 422

    def state(self) -> engine_control.StateDocument:
        """Marks models whose load time is over as ready; returns the state."""
        with self._lock:
            for model, ready_s in list(self._ready_s.items()):
                if time.monotonic() >= ready_s:
                    self._models[model] = "ready"
                    del self._ready_s[model]
            return engine_control.StateDocument(
                incarnation=self.incarnation,
                active=self.active,
                role=self.role,
                models=dict(self._models),
                last_order_id=self._last_order_id,
                fence=self._fence)

    def is_response_lost(self) -> bool:
        """Returns whether the response to the last order is lost."""
        interval = self.options.lost_response_interval
        return interval > 0 and len(self.orders) % interval == 0

    def _apply_order(self, kind: str, argument: str) -> bool:
        if kind == "load":
            if argument in self.options.broken_models:
                self._models[argument] = "failed"
            elif self._models.get(argument) in (None, "failed"):
                self._models[argument] = "loading"
                self._ready_s[argument] = time.monotonic() + self.options.load_s
            return True
        if kind == "set_role":
            self.interrupted_generations += self._count_running()
            self.role = argument
            return True
        phase = self._models.get(argument)
        if kind == "warm_up" and phase in ("ready", "warm"):
            self._models[argument] = "warm"
        elif kind == "activate" and phase == "warm":
            self.interrupted_generations += self._count_running()
            self.active = argument
        elif kind == "unload" and argument != self.active:
            self._models.pop(argument, None)
        else:
            return False
        return True


def respond(request: server.HTTPRequest, control: Control) -> bool:
    """Responds to orders and state queries; returns False for other paths."""
    if request.path == b"/v1/state":
        _send_response(request, 200, control.state())
    elif request.path == b"/v1/orders":
        order = msgspec.json.decode(request.rfile.read(),
                                    type=engine_control.OrderDocument)
        status = control.execute_order(order)
        if control.is_response_lost():
            request.close_connection = True
            request.sent_headers = True  # cheroot sends no response.
        else:
            _send_response(request, status, {})
    else:
        return False
    return True


def make_server(address: tuple[str, int],
                control: Control) -> server.HTTPServer:
    """Returns a server for orders and state queries only."""

    class _Gateway(server.Gateway):

        def respond(self) -> None:
            """Serves one request."""
            if not respond(self.req, control):
                _send_response(self.req, 404, {})

    return server.HTTPServer(address, _Gateway, 4, 4)


def _send_response(request: server.HTTPRequest, status: int,
                   body: object) -> None:
    request.status = f"{status} status".encode()
    request.outheaders = [(b"Content-Type", b"application/json")]
    request.ensure_headers_sent()
    request.write(msgspec.json.encode(body))
