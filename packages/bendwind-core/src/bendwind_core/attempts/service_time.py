"""Average an upstream's service time and error rate as observed by its owner node."""

import msgspec

from bendwind_core.core import Milliseconds

TIME_WEIGHT = 0.2
ERROR_WEIGHT = 0.1


class ServiceTime(msgspec.Struct):
    """Hold moving averages over the last few answers."""

    average_ms: Milliseconds = 0.0
    error_rate: float = 0.0


def record_time(times: ServiceTime, upstream_ms: Milliseconds) -> None:
    """Add the time to the first byte of one answer."""
    if times.average_ms == 0.0:
        times.average_ms = upstream_ms
    else:
        times.average_ms += TIME_WEIGHT * (upstream_ms - times.average_ms)


def record_result(times: ServiceTime, *, is_error: bool) -> None:
    """Add one answer or failure to the error rate."""
    times.error_rate += ERROR_WEIGHT * ((1.0 if is_error else 0.0) - times.error_rate)
