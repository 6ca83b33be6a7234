"""Hold one value of a metric."""

from dataclasses import dataclass

from bendwind_node.metrics.catalogue import Metric


@dataclass(frozen=True, slots=True)
class Sample:
    """Hold a metric's value; `labels` are the values of its labels, in their order."""

    metric: Metric
    value: float
    labels: tuple[str, ...] = ()
