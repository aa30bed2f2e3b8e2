"""Counters per reason and latency percentiles.

The Prometheus client library keeps the counters. Latencies are recorded in HDR
histograms, from which the exposition computes the percentiles, because fixed
Prometheus buckets would round the tail.
"""

import collections.abc
import threading

import prometheus_client
from hdrh import histogram
from prometheus_client import core

from persimmonspan.connection import memory_budget

_QUANTILES = (0.5, 0.95, 0.99)
_MAX_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1e6


class LatencySummary:
    """A latency with HDR percentiles, exposed as a Prometheus summary."""

    def __init__(self, name: str, documentation: str) -> None:
        self._name = name
        self._documentation = documentation
        self._histogram = histogram.HdrHistogram(1, _MAX_LATENCY_US,
                                                 _SIGNIFICANT_DIGITS)
        self._sum_s = 0.0
        self._lock = threading.Lock()

    def observe(self, latency_s: float, count: int = 1) -> None:
        """Records a latency that was measured `count` times."""
        with self._lock:
            self._histogram.record_value(max(1, int(latency_s * _US_PER_S)),
                                         count)
            self._sum_s += latency_s * count

    def quantile_s(self, quantile: float) -> float:
        """Returns the latency at a quantile between 0 and 1, in seconds."""
        with self._lock:
            return self._histogram.get_value_at_percentile(
                quantile * 100) / _US_PER_S

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yields the summary and its quantile gauges."""
        with self._lock:
            count = self._histogram.get_total_count()
            sum_s = self._sum_s
        yield core.SummaryMetricFamily(self._name,
                                       self._documentation,
                                       count_value=count,
                                       sum_value=sum_s)
        gauge = core.GaugeMetricFamily(self._name + "_quantile",
                                       self._documentation + ", by quantile",
                                       labels=["quantile"])
        for quantile in _QUANTILES:
            gauge.add_metric([str(quantile)], self.quantile_s(quantile))
        yield gauge


class Metrics:
    """All metrics of one daemon, in a separate registry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._reason_counter = prometheus_client.Counter(
            "persimmonspan_events",
            "Refusals, retries and other counted events", ["reason"],
            registry=self.registry)
        self.tokens = prometheus_client.Counter("persimmonspan_tokens",
                                                "Tokens relayed to callers",
                                                registry=self.registry)
        self.evacuated_domains = prometheus_client.Gauge(
            "persimmonspan_evacuated_domains",
            "Failure domains that get no new requests",
            registry=self.registry)
        self.cold_targets = prometheus_client.Gauge(
            "persimmonspan_cold_targets",
            "Targets that get few requests because they have started",
            registry=self.registry)
        self.hedge_lost_seconds = prometheus_client.Counter(
            "persimmonspan_hedge_lost_seconds",
            "Time for which attempts ran that lost to another of their request",
            registry=self.registry)
        self.first_token = LatencySummary(
            "persimmonspan_first_token_seconds",
            "Time from arrival to the first token")
        self.between_tokens = LatencySummary(
            "persimmonspan_between_tokens_seconds",
            "Time between two tokens of a stream")
        self.registry.register(self.first_token)
        self.registry.register(self.between_tokens)

    def observe_memory(self, budget: memory_budget.Budget) -> None:
        """Exposes the bytes that requests hold, and their limit."""
        for name, documentation, read in (
            ("reserved", "Bytes reserved for requests in progress",
             lambda: budget.reserved_bytes),
            ("reservable", "Most bytes that requests may reserve",
             lambda: budget.max_bytes)):
            prometheus_client.Gauge(f"persimmonspan_memory_{name}_bytes",
                                    documentation,
                                    registry=self.registry).set_function(read)

    def count(self, reason: str) -> None:
        """Increments the counter of a reason."""
        self._reason_counter.labels(reason).inc()

    def counts(self) -> dict[str, int]:
        """Returns the counts by reason."""
        return {
            sample.labels["reason"]: int(sample.value)
            for metric in self._reason_counter.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        }

    def exposition(self) -> bytes:
        """Returns the Prometheus text exposition."""
        return prometheus_client.generate_latest(self.registry)
