"""Define the value of a metric at one time."""

import msgspec

from bendwind_node.metrics.catalogue import Metric


class Sample(msgspec.Struct, frozen=True):
    """Hold the value of a metric; `labels` are its label values, in the order of its labels."""

    metric: Metric
    value: float
    labels: tuple[str, ...] = ()
