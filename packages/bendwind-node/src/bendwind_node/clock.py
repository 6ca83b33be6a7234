"""Tell the time that leases, fences, deadlines and expiries go by: it counts while suspended.

A machine may stand still for seconds. Python's steady clocks leave that time out, so that a node
which wakes up would take its proof of freshness, its leases and its callers' deadlines for as young
as they were. CLOCK_BOOTTIME counts it.

Other clocks are read only for: what people read and numbers of runs (wall clock, `daemon.build`),
the time that a disk takes (`storage.measure`), how long the command line waits for an answer.
"""

import time

# Where a system has no such clock, its steady one has to do.
STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
_NANOSECONDS_PER_MICROSECOND = 1_000


def read_steady_clock() -> float:
    """Return the seconds since the machine started, suspended ones included."""
    return time.clock_gettime(STEADY_CLOCK)


def read_steady_clock_us() -> int:
    """Return the microseconds since the machine started, suspended ones included."""
    return time.clock_gettime_ns(STEADY_CLOCK) // _NANOSECONDS_PER_MICROSECOND


class SteadyClock:
    """Have trio go by the steady clock; implements `trio.abc.Clock`, which is heavy to import.

    The kernel waits by a clock that stands still with the machine. After a suspension a task may so
    wake up late, by what was left of its wait, and then reads the true time.
    """

    __slots__ = ()

    def start_clock(self) -> None:
        """Begin a run; there is nothing to set."""

    def current_time(self) -> float:
        """Return the time that `trio.current_time` gives."""
        return read_steady_clock()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to wait for a deadline."""
        return deadline - read_steady_clock()
