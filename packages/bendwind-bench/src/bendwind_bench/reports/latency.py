"""Summarize samples with high-dynamic-range histograms."""

import collections

import msgspec

from bendwind_bench.load import Outcome, Sample
from bendwind_core.core import Milliseconds

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000.0


class LatencySummary(msgspec.Struct, frozen=True):
    """Hold the number of sends by outcome and the latencies of whole answers."""

    sends: int
    outcomes: dict[str, int]
    p50_ms: Milliseconds
    p90_ms: Milliseconds
    p99_ms: Milliseconds
    p999_ms: Milliseconds
    max_ms: Milliseconds


def summarize_latency(latencies_ms: list[Milliseconds]) -> list[Milliseconds]:
    """Return the 50th, 90th, 99th and 99.9th percentiles and the maximum."""
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for latency in latencies_ms:
        histogram.record_value(max(LOWEST_US, min(HIGHEST_US, round(latency * US_PER_MS))))
    percentiles = (50.0, 90.0, 99.0, 99.9, 100.0)
    return [histogram.get_value_at_percentile(mark) / US_PER_MS for mark in percentiles]


def summarize(samples: list[Sample]) -> LatencySummary:
    """Summarize samples; only whole answers count for latencies."""
    outcomes = collections.Counter(str(sample.outcome) for sample in samples)
    whole = [sample.latency_ms for sample in samples if sample.outcome is Outcome.WHOLE]
    return LatencySummary(len(samples), dict(outcomes), *summarize_latency(whole))
