"""Read the clock of leases, fences, deadlines and expiries, which also counts suspended time.

A machine may be suspended for seconds. Python's steady clocks do not count that time: a node that
resumes would treat its proof of freshness, its leases and its callers' deadlines as if no time had
passed. CLOCK_BOOTTIME counts it.

Other clocks are read only for these purposes: times shown to people and incarnation numbers (wall
clock, `daemon.build`), the duration of disk operations (`storage.measure`), and how long the
command line waits for an answer.
"""

import time

# Systems without CLOCK_BOOTTIME use their steady clock.
STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
_NANOSECONDS_PER_MICROSECOND = 1_000


def read_steady_clock() -> float:
    """Return the seconds since the machine started, including suspended time."""
    return time.clock_gettime(STEADY_CLOCK)


def read_steady_clock_us() -> int:
    """Return the microseconds since the machine started, including suspended time."""
    return time.clock_gettime_ns(STEADY_CLOCK) // _NANOSECONDS_PER_MICROSECOND


class SteadyClock:
    """Make trio use the steady clock; implements `trio.abc.Clock`, which is expensive to import.

    The kernel waits by a clock that stops while the machine is suspended. After a suspension, a
    task may therefore wake up late, by at most the rest of its wait, and then reads the true time.
    """

    __slots__ = ()

    def start_clock(self) -> None:
        """Start a run of trio; the clock needs no preparation."""

    def current_time(self) -> float:
        """Return the time for `trio.current_time`."""
        return read_steady_clock()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - read_steady_clock()
