"""Measures of one run of the policy benchmark."""

import collections
import typing

import numpy

from bench import policy_load
from bench import policy_sim

STALL_S = 0.25  # A longer gap between tokens is seen as a stall.

Measures = dict[str, typing.Any]


def measure(run: policy_sim.Run, place: policy_load.Deployment) -> Measures:
    """Returns the figures of a run."""
    kinds = {item.name: item for item in place.kinds}
    records = list(run.records.values())
    model = {item.service for item in place.targets if item.kv_capacity_tokens}
    texts = [r for r in records if r.job.event.service in model]
    short = [r for r in texts if kinds[r.job.event.kind].is_short]
    long = [r for r in texts if not kinds[r.job.event.kind].is_short]
    gaps, weights = _gaps(run)
    started = [r for r in texts if r.first_s is not None]
    first_s = [(r.first_s or 0) - r.job.arrived_s for r in started]
    waits = [_wait_s(r) for r in short]
    long_s = [(r.ended_s or 0) - r.job.arrived_s
              for r in long
              if r.status == "completed"]
    stall_s = float((gaps * weights)[gaps > STALL_S].sum())
    engines = run.engines.values()
    useful = sum(r.tokens for r in texts if _in_time(r))
    spent = sum(r.tokens + r.lost_tokens for r in texts)
    return {
        "requests":
            len(records),
        "preemptions":
            sum(item.preemptions for item in engines),
        "stall_s":
            stall_s,
        "gap_ms":
            _weighted_percentiles(gaps, weights),
        "first_token_s":
            _percentiles(first_s),
        "short_wait_s":
            _percentiles(waits),
        "long_completion_s":
            float(numpy.mean(long_s or [0.0])),
        "long_completed":
            len(long_s),
        "worth":
            _worth(records, kinds),
        "worth_model":
            _worth(texts, kinds),
        "worth_by_kind": {
            name:
                _worth([r for r in records if r.job.event.kind == name], kinds)
            for name in kinds
        },
        "jain":
            jain(texts, place),
        "wasted_tokens":
            spent - useful + sum(item.recomputed_tokens for item in engines),
        "useful_tokens":
            useful,
        "kv_use":
            float(numpy.mean(run.kv_use or [0.0])),
        "status":
            dict(collections.Counter(r.status for r in records)),
        "reasons":
            dict(collections.Counter(
                str(r.reason) for r in records if r.reason)),
    }


def _in_time(record: policy_sim.Record) -> bool:
    return (record.status == "completed" and
            (record.ended_s or 0) <= record.job.event.deadline_s)


def _wait_s(record: policy_sim.Record) -> float:
    # A request that got no token counts with all the time it had.
    if record.first_s is None:
        return record.job.event.deadline_s - record.job.arrived_s
    return record.first_s - record.job.arrived_s


def _worth(records: list[policy_sim.Record],
           kinds: dict[str, typing.Any]) -> list[float]:
    offered = sum(kinds[r.job.event.kind].worth for r in records)
    served = sum(kinds[r.job.event.kind].worth for r in records if _in_time(r))
    return [served, offered]


def _gaps(run: policy_sim.Run) -> tuple[numpy.ndarray, numpy.ndarray]:
    total: collections.Counter[float] = collections.Counter()
    for engine in run.engines.values():
        total.update(engine.gaps)
    for gap_s in run.resumed_gaps_s:
        total[gap_s] += 1
    ordered = sorted(total.items()) or [(0.0, 1)]
    return (numpy.array([item[0] for item in ordered]),
            numpy.array([item[1] for item in ordered]))


def _weighted_percentiles(values: numpy.ndarray,
                          weights: numpy.ndarray) -> list[float]:
    edges = numpy.cumsum(weights) / weights.sum()
    return [
        float(values[min(len(values) - 1, numpy.searchsorted(edges, q))]) * 1e3
        for q in (0.5, 0.95, 0.99)
    ]


def _percentiles(values: list[float]) -> list[float]:
    return [
        float(item) for item in numpy.percentile(values or [0.0], [50, 95, 99])
    ]


def jain(records: list[policy_sim.Record],
         place: policy_load.Deployment) -> float:
    """Returns the Jain index of service relative to the max-min fair service.

    Service is worth served in time. Each workspace is entitled to its share,
    of which it can use no more than it asked for; what it leaves is lent.
    """
    worth = {item.name: item.worth for item in place.kinds}
    asked: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    for record in records:
        event = record.job.event
        asked[event.workspace] += worth[event.kind]
        served[event.workspace] += worth[event.kind] * _in_time(record)
    shares = {item.name: item.share for item in place.workspaces}
    fair = water_fill(dict(asked), shares, sum(served.values()))
    ratios = [min(1.0, served[k] / v) for k, v in fair.items() if v > 0]
    if not any(ratios):
        return 1.0
    return sum(ratios)**2 / (len(ratios) * sum(item**2 for item in ratios))


def water_fill(asked: dict[str, float], shares: dict[str, float],
               total: float) -> dict[str, float]:
    """Returns the weighted max-min fair division of a total.

    >>> water_fill({"a": 1.0, "b": 9.0}, {"a": 1.0, "b": 1.0}, 6.0)
    {'a': 1.0, 'b': 5.0}
    """
    fair = {}
    left = dict(asked)
    while left:
        level = total / sum(shares[k] for k in left)
        full = {k: v for k, v in left.items() if v <= level * shares[k]}
        if not full:
            return fair | {k: level * shares[k] for k in left}
        for name, amount in full.items():
            fair[name] = amount
            total -= amount
            del left[name]
    return fair
