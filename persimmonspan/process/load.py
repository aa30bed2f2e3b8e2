"""Bounded load generator for a mix of all request kinds.

The plan (who sends what and when) is a pure function of the inventory and a
seed. Sending is bounded in time and in the number of open requests. Like the
platform's balancer, the generator sends only to daemons whose readiness page
reports that they accept new work.

A caller repeats a request with the same idempotency key while the response says
that the request was not run, or while there is no response, up to a maximum
number of tries.
"""

import collections
import collections.abc
import concurrent.futures
import contextlib
import random
import threading
import time
import typing

import msgspec
import urllib3
from hdrh import histogram

from persimmonspan import decoding
from persimmonspan import errors
from persimmonspan.version import model

_MEAN_SHORT_TOKENS = 24
_MEAN_LONG_TOKENS = 400
_READY_INTERVAL_S = 0.2
_READY_TIMEOUT_S = 1.0
_RESPONSE_TIMEOUT_S = 120.0
_MAX_OPEN_REQUESTS = 512
_REPEAT_PAUSE_S = 0.5
_US_PER_S = 1e6
_MAX_LATENCY_US = 600_000_000
_DONE = b"data: [DONE]"


class PlannedRequest(typing.NamedTuple):
    """One request of the plan."""

    at_s: float
    workspace: str
    kind: str
    path: str
    body: bytes
    idempotency_key: str
    is_streamed: bool


class Result(typing.NamedTuple):
    """Result of one planned request, as the caller observed it.

    `outcome` is `complete`, `status_<n>`, a code of `errors.Code`, `cut` for a
    stream that ended with an error event, `truncated` for one that ended
    without its end mark, or `no_answer`. `run_states` holds one state per try;
    the request id of try `n` is `request_id(planned, n)`, counted from 1.
    """

    planned: PlannedRequest
    outcome: str
    run_state: str
    first_token_s: float
    gaps_s: tuple[float, ...]
    events: tuple[bytes, ...]
    run_states: tuple[str, ...]


class Summary(typing.TypedDict):
    """Counts and percentiles of a load run."""

    requests: int
    outcomes_by_kind: dict[str, dict[str, int]]
    tokens: int
    first_token_s: dict[str, float]
    between_tokens_s: dict[str, float]


def plan(inventory: model.InventoryDocument, rate_per_s: float,
         duration_s: float, seed: int) -> list[PlannedRequest]:
    """Returns a plan with Poisson arrivals over all workspaces and kinds.

    Workspaces are drawn by share. Output lengths are heavy-tailed.
    """
    rng = random.Random(seed)
    services = {item["name"]: item for item in inventory["services"]}
    planned: list[PlannedRequest] = []
    at_s = rng.expovariate(rate_per_s)
    while at_s < duration_s:
        workspace = rng.choices(
            inventory["workspaces"],
            [item["share"] for item in inventory["workspaces"]])[0]
        kind = rng.choice(inventory["request_kinds"])
        planned.append(
            _plan_request(kind, services[kind["service"]], workspace["name"],
                          len(planned), at_s, rng))
        at_s += rng.expovariate(rate_per_s)
    return planned


def _plan_request(kind: model.RequestKindDocument,
                  service: model.ServiceDocument, workspace: str, number: int,
                  at_s: float, rng: random.Random) -> PlannedRequest:
    key = f"{kind['name']}-{rng.getrandbits(64):016x}"
    if service["kind"] == "plain":
        body = {"number": number, "key": key}
        return PlannedRequest(at_s, workspace, kind["name"],
                              service["path_prefix"] + kind["name"],
                              msgspec.json.encode(body), key, False)
    is_short = kind["size"] == "short"
    mean = _MEAN_SHORT_TOKENS if is_short else _MEAN_LONG_TOKENS
    tokens = 1 + int(mean * rng.paretovariate(1.5) / 3)
    body = {"prompt": key, "max_tokens": tokens, "stream": True}
    return PlannedRequest(at_s, workspace, kind["name"], "/v1/completions",
                          msgspec.json.encode(body), key, True)


class Balancer:
    """Picks ready daemons in turn, as the platform's balancer does."""

    def __init__(self, addresses: collections.abc.Sequence[str]) -> None:
        self._addresses = tuple(addresses)
        self._ready = tuple(addresses)
        self._next = 0
        self._stopped = threading.Event()
        self._lock = threading.Lock()

    def pick(self) -> str:
        """Returns the address of a daemon; any daemon if none is ready."""
        with self._lock:
            self._next += 1
            candidates = self._ready or self._addresses
            return candidates[self._next % len(candidates)]

    def poll(self) -> None:
        """Polls the readiness pages until `stop` is called."""
        with urllib3.PoolManager() as pool:
            while not self._stopped.wait(_READY_INTERVAL_S):
                self._ready = tuple(address for address in self._addresses
                                    if _is_ready(pool, address))

    def stop(self) -> None:
        """Ends `poll`."""
        self._stopped.set()


@contextlib.contextmanager
def running_balancer(
    addresses: collections.abc.Sequence[str]
) -> collections.abc.Iterator[Balancer]:
    """Yields a balancer that polls readiness until the block ends."""
    balancer = Balancer(addresses)
    thread = threading.Thread(target=balancer.poll, daemon=True)
    thread.start()
    try:
        yield balancer
    finally:
        balancer.stop()
        thread.join()


def _is_ready(pool: urllib3.PoolManager, address: str) -> bool:
    try:
        return pool.request("GET",
                            f"http://{address}/readyz",
                            timeout=_READY_TIMEOUT_S,
                            retries=False).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def run(planned: collections.abc.Sequence[PlannedRequest], balancer: Balancer,
        keys: dict[str, str], max_tries: int) -> list[Result]:
    """Sends the plan and returns the results in the order of the plan.

    Args:
        planned: The plan.
        balancer: Picks a daemon for each try.
        keys: Workspace key by workspace.
        max_tries: Maximum number of times that a caller sends one request.
    """
    start_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(_MAX_OPEN_REQUESTS) as pool:
        futures = []
        for item in planned:
            time.sleep(max(0.0, start_s + item.at_s - time.monotonic()))
            futures.append(
                pool.submit(_send_until_final_response, item, balancer,
                            keys[item.workspace], max_tries))
        return [future.result() for future in futures]


def _send_until_final_response(planned: PlannedRequest, balancer: Balancer,
                               key: str, max_tries: int) -> Result:
    run_states: tuple[str, ...] = ()
    while True:
        result = _send(planned, balancer.pick(), key,
                       request_id(planned,
                                  len(run_states) + 1))
        run_states += (result.run_state,)
        has_final_response = (result.outcome != "no_answer" and
                              result.run_state != errors.RunState.NOT_RUN)
        if has_final_response or len(run_states) >= max_tries:
            return result._replace(run_states=run_states)
        time.sleep(_REPEAT_PAUSE_S)


def request_id(planned: PlannedRequest, number: int) -> str:
    """Returns the request id of a try, counted from 1."""
    return f"{planned.idempotency_key}-{number}"


def _send(planned: PlannedRequest, address: str, key: str,
          sent_id: str) -> Result:
    headers = {
        "X-Request-Id": sent_id,
        "Authorization": f"Bearer {key}",
        "X-Request-Kind": planned.kind,
        "Idempotency-Key": planned.idempotency_key,
        "Content-Type": "application/json"
    }
    host, port = address.rsplit(":", 1)
    start_s = time.monotonic()
    try:
        with urllib3.HTTPConnectionPool(host,
                                        int(port),
                                        timeout=_RESPONSE_TIMEOUT_S,
                                        retries=False) as pool:
            response = pool.request("POST",
                                    planned.path,
                                    body=planned.body,
                                    headers=headers,
                                    preload_content=False)
            if response.status != 200:
                return _read_refusal(planned, response)
            return _read_response(planned, response, start_s)
    except (urllib3.exceptions.HTTPError, OSError):
        return Result(planned, "no_answer", errors.RunState.UNKNOWN, 0.0, (),
                      (), ())


def _read_refusal(planned: PlannedRequest,
                  response: urllib3.BaseHTTPResponse) -> Result:
    try:
        error = decoding.JsonDecoder().decode(response.read())["error"]
        outcome, run_state = error["code"], error["run_state"]
    except (msgspec.DecodeError, KeyError, TypeError):
        outcome = f"status_{response.status}"
        run_state = errors.RunState.UNKNOWN
    return Result(planned, outcome, run_state, 0.0, (), (), ())


def _read_response(planned: PlannedRequest, response: urllib3.BaseHTTPResponse,
                   start_s: float) -> Result:
    if not planned.is_streamed:
        data = response.read()
        return Result(planned, "complete", errors.RunState.RAN,
                      time.monotonic() - start_s, (), (data,), ())
    events: list[bytes] = []
    times_s: list[float] = []
    buffer = b""
    for chunk in response.stream(65536):
        buffer += chunk
        *complete, buffer = buffer.split(b"\n\n")
        events += complete
        times_s += [time.monotonic()] * len(complete)
    outcome = "truncated"
    if events and events[-1] == _DONE:
        outcome = "complete"
    elif events and events[-1].startswith(b"event: error"):
        outcome = "cut"
    gaps_s = tuple(
        after - before for before, after in zip(times_s, times_s[1:]))
    first_s = times_s[0] - start_s if times_s else 0.0
    return Result(planned, outcome, errors.RunState.RAN, first_s, gaps_s,
                  tuple(events), ())


def summarise(results: collections.abc.Sequence[Result]) -> Summary:
    """Returns counts per kind and outcome, and latency percentiles."""
    outcomes: dict[str, collections.Counter[str]] = {}
    for result in results:
        outcomes.setdefault(result.planned.kind,
                            collections.Counter())[result.outcome] += 1
    first = [item.first_token_s for item in results if item.first_token_s > 0]
    gaps = [gap_s for item in results for gap_s in item.gaps_s]
    return Summary(requests=len(results),
                   outcomes_by_kind={
                       kind: dict(counts) for kind, counts in outcomes.items()
                   },
                   tokens=sum(
                       max(0,
                           len(item.events) - 1)
                       for item in results
                       if item.planned.is_streamed),
                   first_token_s=_percentiles(first),
                   between_tokens_s=_percentiles(gaps))


def _percentiles(latencies_s: list[float]) -> dict[str, float]:
    recorded = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)
    for latency_s in latencies_s:
        recorded.record_value(max(1, int(latency_s * _US_PER_S)))
    return {
        f"p{percentile}":
            recorded.get_value_at_percentile(percentile) / _US_PER_S
        for percentile in (50, 95, 99)
    }
