"""Hold one value of a metric."""

import msgspec

from bendwind_node.metrics.catalogue import Metric


class Sample(msgspec.Struct, frozen=True):
    """Hold a metric's value; `labels` are the values of its labels, in their order."""

    metric: Metric
    value: float
    labels: tuple[str, ...] = ()
