"""Notice that a process stood still, and allow for it in what it reads next."""

import math

import msgspec

from bendwind_core.attempts import HandOver
from bendwind_core.core import Seconds
from bendwind_node.calls.time_left import deduct_time

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
        return deduct_time(hand_over, self.stood_still)
