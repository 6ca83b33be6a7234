"""Provide a hybrid logical clock: wall-clock time that respects the order of cause and effect."""

from collections.abc import Callable

from bendwind_core.core import Record

# A received time that is further ahead of the local wall clock than this is ignored: the peer's
# clock is then probably wrong, and adopting its time would shift every later timestamp.
MAX_AHEAD_MS = 60_000


class HybridTime(Record, frozen=True, array_like=True, order=True):
    """Hold one reading of a hybrid logical clock.

    Units: `physical_ms` is wall-clock time in milliseconds since 1970.
    """

    physical_ms: int
    logical: int


class HybridClock:
    """Timestamp events so that an effect is always later than its cause.

    Source: Kulkarni et al., "Logical Physical Clocks", 2014.
    """

    __slots__ = ("ignored", "latest", "max_ahead_ms", "wall_ms")

    def __init__(self, wall_ms: Callable[[], int], max_ahead_ms: int = MAX_AHEAD_MS):
        self.wall_ms = wall_ms
        self.max_ahead_ms = max_ahead_ms
        self.latest = HybridTime(0, 0)
        self.ignored = 0

    def tick(self) -> HybridTime:
        """Return a time later than every time returned or observed before.

        >>> clock = HybridClock(lambda: 7)
        >>> clock.tick(), clock.tick()
        (HybridTime(physical_ms=7, logical=0), HybridTime(physical_ms=7, logical=1))
        """
        now = self.wall_ms()
        if now > self.latest.physical_ms:
            self.latest = HybridTime(now, 0)
        else:
            self.latest = HybridTime(self.latest.physical_ms, self.latest.logical + 1)
        return self.latest

    def observe(self, received: HybridTime) -> bool:
        """Advance past a received time; return False and ignore it if it is too far ahead."""
        if received.physical_ms > self.wall_ms() + self.max_ahead_ms:
            self.ignored += 1
            return False
        self.latest = max(self.latest, received)
        return True
