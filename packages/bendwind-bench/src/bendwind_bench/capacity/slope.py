"""Time work, weigh objects and fit lines through what was measured."""

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

LEAST_SIZES = 4

Made = TypeVar("Made")

__all__ = [
    "MICROSECONDS",
    "REPEATS",
    "Point",
    "Slope",
    "decode",
    "encode",
    "fit",
    "time_median",
    "weigh",
]


class Point(msgspec.Struct, frozen=True):
    """Hold one measured value at one size."""

    size: float
    value: float


class Slope(msgspec.Struct, frozen=True):
    """Hold measured points and the line through them.

    Units: `unit` is that of the values, `per` names what the sizes count; `slope_error` is the
    standard error of `slope`.
    """

    title: str
    unit: str
    per: str
    points: tuple[Point, ...]
    slope: float
    slope_error: float
    intercept: float
    r_squared: float

    def at(self, size: float) -> float:
        """Return the line's value at a size, never below zero."""
        return max(0.0, self.intercept + self.slope * size)


def fit(title: str, unit: str, per: str, pairs: Iterable[tuple[float, float]]) -> Slope:
    """Fit a line by least squares; the standard error needs more than two points.

    >>> line = fit("", "bytes", "item", [(1, 3), (2, 5), (3, 7), (4, 9)])
    >>> line.slope, line.intercept, line.slope_error, line.r_squared
    (2.0, 1.0, 0.0, 1.0)
    """
    points = tuple(Point(float(size), float(value)) for size, value in pairs)
    if len({point.size for point in points}) < LEAST_SIZES:
        raise ValueError(f"{title}: a slope needs {LEAST_SIZES} sizes")
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    line = statistics.linear_regression(sizes, values)
    left = sum((line.intercept + line.slope * s - v) ** 2 for s, v in zip(sizes, values, strict=1))
    spread = sum((size - statistics.fmean(sizes)) ** 2 for size in sizes)
    total = sum((value - statistics.fmean(values)) ** 2 for value in values)
    error = math.sqrt(left / (len(points) - 2) / spread)
    r_squared = 1 - left / total if total else 1.0
    return Slope(title, unit, per, points, line.slope, error, line.intercept, r_squared)


def weigh(make: Callable[[], Made]) -> tuple[Made, float]:
    """Return what `make` returns and the memory that it keeps.

    Units: bytes.
    """
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, float(size)
