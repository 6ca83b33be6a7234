"""Provide the metrics of the process."""

from bendwind_node.metrics.catalogue import Metric, MetricKind
from bendwind_node.metrics.sample import Sample
from bendwind_node.metrics.scrape import Metrics, Rendered

__all__ = ["Metric", "MetricKind", "Metrics", "Rendered", "Sample"]
