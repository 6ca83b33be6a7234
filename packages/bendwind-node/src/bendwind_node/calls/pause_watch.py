"""Notice that a process stood still, and allow for it in what it reads next."""

import math

import msgspec
from msgspec.structs import replace

from bendwind_core.attempts import HandOver
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds

# Whoever keeps the watch looks at the clock twice a second: if it is so much later, the process
# stood still meanwhile.
LONGEST_PAUSE: Seconds = 1.0
# What came in during a pause is read within this time. Without it a request that was handed over
# in a pause of four seconds ran after its caller had gone.
CATCH_UP: Seconds = 0.1


class PauseWatch(msgspec.Struct):
    """Hold when the process was last seen to run, and how long it had stood still before."""

    seen_at: Seconds = math.inf
    stood_still: Seconds = 0.0
    catches_up_until: Seconds = 0.0

    def tick(self, now: Seconds) -> None:
        """Note that the process runs."""
        self._look(now)
        self.seen_at = now

    def _look(self, now: Seconds) -> None:
        pause = now - self.seen_at
        if pause > LONGEST_PAUSE:
            self.seen_at = now
            self.stood_still = pause
            self.catches_up_until = now + CATCH_UP

    def allow(self, hand_over: HandOver, now: Seconds) -> HandOver:
        """Take from a hand-over's time what it may have waited while the process stood still."""
        self._look(now)
        if now >= self.catches_up_until:
            return hand_over
        pause_ms = self.stood_still * MILLISECONDS_PER_SECOND
        target_ms = hand_over.target_ms
        return replace(
            hand_over,
            remaining_ms=hand_over.remaining_ms - pause_ms,
            target_ms=None if target_ms is None else max(0.0, target_ms - pause_ms),
        )
