"""Measure processor time and memory, and fit lines to the results."""

import gc
import math
import statistics
import tracemalloc
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from bendwind_bench.slopes_membership.slope import (
    MICROSECONDS,
    REPEATS,
    decode,
    encode,
    time_median,
)

MIN_SIZES = 4

Result = TypeVar("Result")

__all__ = [
    "MICROSECONDS",
    "REPEATS",
    "Point",
    "Slope",
    "decode",
    "encode",
    "fit",
    "measure_allocation",
    "time_median",
]


class Point(msgspec.Struct, frozen=True):
    """Hold one measured value for one size."""

    size: float
    value: float


class Slope(msgspec.Struct, frozen=True):
    """Hold measured points and the line fitted to them.

    Units: `unit` is the unit of the values and `per` names what the sizes count; `slope_error` is
    the standard error of `slope`.
    """

    title: str
    unit: str
    per: str
    points: tuple[Point, ...]
    slope: float
    slope_error: float
    intercept: float
    r_squared: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size, but not less than zero."""
        return max(0.0, self.intercept + self.slope * size)


def fit(title: str, unit: str, per: str, pairs: Iterable[tuple[float, float]]) -> Slope:
    """Fit a line by least squares; its standard error is defined for more than two points.

    >>> line = fit("", "bytes", "item", [(1, 3), (2, 5), (3, 7), (4, 9)])
    >>> line.slope, line.intercept, line.slope_error, line.r_squared
    (2.0, 1.0, 0.0, 1.0)
    """
    points = tuple(Point(float(size), float(value)) for size, value in pairs)
    if len({point.size for point in points}) < MIN_SIZES:
        raise ValueError(f"{title}: a slope needs {MIN_SIZES} sizes")
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    line = statistics.linear_regression(sizes, values)
    residual = sum(
        (line.intercept + line.slope * s - v) ** 2 for s, v in zip(sizes, values, strict=1)
    )
    spread = sum((size - statistics.fmean(sizes)) ** 2 for size in sizes)
    total = sum((value - statistics.fmean(values)) ** 2 for value in values)
    error = math.sqrt(residual / (len(points) - 2) / spread)
    r_squared = 1 - residual / total if total else 1.0
    return Slope(title, unit, per, points, line.slope, error, line.intercept, r_squared)


def measure_allocation(make: Callable[[], Result]) -> tuple[Result, float]:
    """Return the result of `make` and the memory that the result occupies.

    Units: bytes.
    """
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, float(size)
