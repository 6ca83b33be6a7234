"""Measure processor time, fit lines and encode messages as links send them."""

import dataclasses
import gc
import statistics
import time
from collections.abc import Callable

from bendwind_core.core import Record
from bendwind_core.messages.frame import Frame, decode_frame, encode_frame

REPEATS = 5
MICROSECONDS = 1e6
_PHYSICAL_MS = 1764685000123


@dataclasses.dataclass(slots=True)
class Point:
    """Hold one measured value for one size."""

    size: int
    value: float


@dataclasses.dataclass(slots=True)
class Slope:
    """Hold measured points, the line fitted to them and its largest relative error."""

    unit: str
    per: str
    points: list[Point]
    slope: float
    intercept: float
    worst_error: float


def fit(unit: str, per: str, points: list[Point]) -> Slope:
    """Fit a line to points by least squares."""
    sizes = [point.size for point in points]
    line = statistics.linear_regression(sizes, [point.value for point in points])
    errors = [
        abs(line.slope * point.size + line.intercept - point.value) / point.value
        for point in points
        if point.value
    ]
    return Slope(unit, per, points, line.slope, line.intercept, max(errors, default=0.0))


def time_median(work: Callable[[], int]) -> float:
    """Return the median processor time of one unit of work, in microseconds."""
    samples = []
    for _ in range(REPEATS):
        gc.collect()
        started = time.process_time()
        units = work()
        samples.append((time.process_time() - started) / units * MICROSECONDS)
    return statistics.median(samples)


def encode(message: Record) -> bytes:
    """Encode a frame that contains only this message."""
    return encode_frame(Frame(_PHYSICAL_MS, 0, (message,)))


def decode(data: bytes) -> Record:
    """Return the message of a frame that contains one."""
    return decode_frame(data).ok.messages[0]
