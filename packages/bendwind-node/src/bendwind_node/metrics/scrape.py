"""Render metrics with aioprometheus at each scrape."""

from collections.abc import Callable, Iterable

import msgspec

from bendwind_node.metrics.catalogue import MetricKind
from bendwind_node.metrics.sample import Sample


class Rendered(msgspec.Struct, frozen=True):
    """Hold a rendered body and its content type."""

    body: bytes
    content_type: str


class Metrics(msgspec.Struct):
    """Read the state of the process at each scrape, so that calls bear no cost in between."""

    read: Callable[[], Iterable[Sample]]

    def render(self, accept: str = "") -> Rendered:
        """Render every metric in the format that an Accept header requests."""
        # aioprometheus is large; a process that is never scraped does not load it.
        import aioprometheus

        registry = aioprometheus.Registry()
        collectors = {}
        for sample in self.read():
            metric = sample.metric.value
            collector = collectors.get(metric.name)
            if collector is None:
                is_counter = metric.kind is MetricKind.COUNTER
                kind = aioprometheus.Counter if is_counter else aioprometheus.Gauge
                collector = kind(metric.name, metric.meaning, registry=registry)
                collectors[metric.name] = collector
            collector.set(dict(zip(metric.labels, sample.labels, strict=True)), sample.value)
        accepted = [accept] if accept else []
        body, headers = aioprometheus.render(registry, accepted)
        return Rendered(body, headers["Content-Type"])
