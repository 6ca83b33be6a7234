"""Notice that a process stood still, and allow for it in what it reads next."""

import math

import msgspec

from bendwind_core.attempts import HandOver
from bendwind_core.core import Seconds
from bendwind_node.calls.time_left import deduct_time

# Whoever keeps the watch looks at the clock twice a second: if it is so much later, the process
# stood still meanwhile.
PAUSE_THRESHOLD: Seconds = 1.0
# What came in during a pause is read within this time. Without it a request that was handed over
# in a pause of four seconds ran after its caller had gone.
DEDUCTION_PERIOD: Seconds = 0.1


class PauseDetector(msgspec.Struct):
    """Hold when the process was last seen to run, and how long it had stood still before."""

    last_tick_at: Seconds = math.inf
    last_pause: Seconds = 0.0
    deducts_until: Seconds = 0.0

    def tick(self, now: Seconds) -> None:
        """Note that the process runs."""
        self._detect_pause(now)
        self.last_tick_at = now

    def _detect_pause(self, now: Seconds) -> None:
        pause = now - self.last_tick_at
        if pause > PAUSE_THRESHOLD:
            self.last_tick_at = now
            self.last_pause = pause
            self.deducts_until = now + DEDUCTION_PERIOD

    def deduct_pause(self, hand_over: HandOver, now: Seconds) -> HandOver:
        """Take from a hand-over's time what it may have waited while the process stood still."""
        self._detect_pause(now)
        if now >= self.deducts_until:
            return hand_over
        return deduct_time(hand_over, self.last_pause)
