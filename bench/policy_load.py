"""Load of the policy benchmark, drawn from a sample inventory.

Lengths are lognormal with a heavy tail, with a median per kind and workspace
that the scheduler is not told. Demand swings between a trough and crests that
rise within two seconds. One large workspace sends three times its share.
"""

import json
import math
import pathlib
import random
import typing

from bench import engine_model
from persimmonspan.request import events

_SAMPLES = pathlib.Path(__file__).parent.parent / "samples"
_MAX_OUTPUT_TOKENS = 30_000
_MAX_PROMPT_TOKENS = 16_384
_TROUGH = 0.5
_CREST_S = (10.0, 25.0)
_TROUGH_S = (8.0, 20.0)
_RAMP_S = 2.0
_GREEDY_FACTOR = 3.0
_WORKSPACE_SIGMA = 0.6
_CALIBRATION_SEED = 99
_LONGEST_AWAITED_TOKENS = 8_000  # Callers leave before longer texts end.
_USABLE_KV = 0.9  # The rest is lost to blocks and to turnover.
PLAIN_MEAN_S = 0.4
PLAIN_LIMIT = 4


class Length(typing.NamedTuple):
    """Distribution of a kind: share of requests, output and prompt tokens."""

    weight: float
    median: float
    sigma: float
    prompt_median: float
    prefix_tokens: int


# The sample kinds with the lengths of their texts: a lookup answers in a few
# tokens, a draft in up to tens of thousands.
_LENGTHS = {
    "permit-draft": Length(0.25, 900, 1.1, 1200, 600),
    "amendment-check": Length(0.75, 40, 0.9, 600, 400),
    "quotation": Length(0.7, 120, 0.8, 500, 300),
    "specification-letter": Length(0.18, 900, 1.0, 900, 500),
    "dossier-summary": Length(0.12, 600, 1.2, 5000, 200),
}
_PLAIN_WEIGHTS = {
    "fee-payment": 0.2,
    "plot-booking": 0.2,
    "status-lookup": 0.6,
    "order-confirmation": 0.3,
    "stock-lookup": 0.7,
}


class Job(typing.NamedTuple):
    """A request with what only the target knows."""

    arrived_s: float
    event: events.Arrived
    output_tokens: int
    service_s: float  # Plain services.
    prefix: tuple[int, int]
    daemon: int


class Deployment(typing.NamedTuple):
    """A sample inventory as the scheduler sees it."""

    name: str
    targets: tuple[events.Target, ...]
    kinds: tuple[events.KindPolicy, ...]
    workspaces: tuple[events.WorkspaceShare, ...]

    @property
    def changed(self) -> events.TargetsChanged:
        """Returns the event that announces the deployment."""
        return events.TargetsChanged(1, self.targets, self.kinds,
                                     self.workspaces)


def deployment(name: str, engines: int) -> Deployment:
    """Reads a sample inventory."""
    document = json.loads((_SAMPLES / f"{name}-inventory.json").read_text())
    targets = []
    for service in document["services"]:
        replicas = service["replicas"]
        is_model = service["kind"] == "model"
        for i in range(engines if is_model else len(replicas)):
            item = replicas[i % len(replicas)]
            targets.append(
                events.Target(f"{service['name']}-{i + 1}", service["name"],
                              item["address"], item["failure_domain"],
                              item.get("kv_capacity_tokens", 0),
                              item.get("max_running", PLAIN_LIMIT)))
    kinds = tuple(
        events.KindPolicy(item["name"], item["service"], item["worth"],
                          item["size"] == "short", item["idempotent"],
                          item["deadline_ms"] / 1000)
        for item in document["request_kinds"])
    workspaces = tuple(
        events.WorkspaceShare(item["name"], item["share"])
        for item in document["workspaces"])
    return Deployment(name, tuple(targets), kinds, workspaces)


def demand(duration_s: float,
           rng: random.Random) -> typing.Callable[[float], float]:
    """Returns the share of the crest rate at a time."""
    points = [(0.0, _TROUGH)]
    at_s = rng.uniform(3.0, 8.0)
    while at_s < duration_s:
        length_s = rng.uniform(*_CREST_S)
        points += [(at_s, _TROUGH), (at_s + _RAMP_S, 1.0),
                   (at_s + length_s, 1.0), (at_s + length_s + _RAMP_S, _TROUGH)]
        at_s += length_s + _RAMP_S + rng.uniform(*_TROUGH_S)

    def _rate(now_s: float) -> float:
        low = points[0]
        for point in points:
            if point[0] > now_s:
                part = (now_s - low[0]) / max(1e-9, point[0] - low[0])
                return low[1] + part * (point[1] - low[1])
            low = point
        return points[-1][1]

    return _rate


def jobs(place: Deployment, crest_rate: float, plain_rate: float,
         duration_s: float, daemons: int, seed: int) -> list[Job]:
    """Draws the requests of a run.

    Args:
        place: The deployment.
        crest_rate: Model requests per second at the crest.
        plain_rate: Calls of plain services per second at the crest.
        duration_s: How long requests arrive.
        daemons: Daemons among which the balancer spreads requests.
        seed: Seed of all draws.
    """
    rng = random.Random(seed)
    rate = demand(duration_s, rng)
    shares = [item.share for item in place.workspaces]
    shares[0] *= _GREEDY_FACTOR
    factors = {
        item.name: math.exp(rng.gauss(0, _WORKSPACE_SIGMA))
        for item in place.workspaces
    }
    groups = [([kind
                for kind in place.kinds
                if kind.name in weights], weights, total)
              for weights, total in ((dict(
                  (k, v.weight) for k, v in _LENGTHS.items()), crest_rate),
                                     (_PLAIN_WEIGHTS, plain_rate))]
    drawn: list[Job] = []
    for kinds, weights, total in groups:
        at_s = 0.0
        while total > 0:
            at_s += rng.expovariate(total)
            if at_s > duration_s:
                break
            if rng.random() > rate(at_s):
                continue
            kind = rng.choices(kinds, [weights[k.name] for k in kinds])[0]
            workspace = rng.choices(place.workspaces, shares)[0].name
            drawn.append(
                _job(at_s, kind, workspace, factors[workspace],
                     rng.randrange(daemons), rng))
    drawn.sort(key=lambda item: item.arrived_s)
    return [
        item._replace(event=item.event._replace(request_id=f"r{i}"))
        for i, item in enumerate(drawn)
    ]


def _job(at_s: float, kind: events.KindPolicy, workspace: str, factor: float,
         daemon: int, rng: random.Random) -> Job:
    length = _LENGTHS.get(kind.name)
    if length is None:
        service_s = rng.lognormvariate(math.log(PLAIN_MEAN_S) - 0.125, 0.5)
        output, prompt, prefix = 0, 0, (0, 0)
    else:
        service_s = 0.0
        output = int(
            rng.lognormvariate(math.log(length.median * factor), length.sigma))
        output = min(_MAX_OUTPUT_TOKENS, max(1, output))
        prompt = int(rng.lognormvariate(math.log(length.prompt_median), 0.5))
        prompt = min(_MAX_PROMPT_TOKENS, max(length.prefix_tokens, prompt))
        prefix = (sum(map(ord, workspace + kind.name)), length.prefix_tokens)
    event = events.Arrived("", workspace, kind.name, kind.service, prompt,
                           32_768, at_s + kind.deadline_s, f"{rng.random()}",
                           prefix[:1], kind.is_idempotent)
    return Job(at_s, event, output, service_s, prefix, daemon)


def capacity_rate(place: Deployment, engine: engine_model.Options) -> float:
    """Returns the model requests per second that the engines can sustain.

    The memory in use multiplied by the time it is held is the scarce resource:
    a request holds `prompt + i` tokens during its step `i`.
    """
    sample = jobs(place, 400.0, 0.0, 100.0, 1, _CALIBRATION_SEED)
    area = output = prefill = 0.0
    for item in sample:
        tokens = min(item.output_tokens, _LONGEST_AWAITED_TOKENS)
        area += (item.event.prompt_tokens + tokens / 2) * tokens / len(sample)
        output += tokens / len(sample)
        prefill += (item.event.prompt_tokens - item.prefix[1]) / len(sample)
    kv_tokens = _USABLE_KV * engine.kv_capacity_tokens
    batch = kv_tokens * output / area
    step_s = (engine.base_s + engine.per_sequence_s * batch +
              engine.per_kv_token_s * kv_tokens)
    rate = batch / (output * step_s)
    rate /= 1 + rate * prefill * engine.per_prefill_token_s
    engines = sum(item.kv_capacity_tokens > 0 for item in place.targets)
    return engines * rate
