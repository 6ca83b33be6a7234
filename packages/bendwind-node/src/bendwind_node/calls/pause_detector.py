"""Detect that the process was suspended: what it read or knew before may be out of date."""

import math

import msgspec

from bendwind_core.attempts import HandOver
from bendwind_core.core import Seconds
from bendwind_node.calls.time_left import deduct_time

# The detector reads the clock twice a second. If more time than this has passed in between, the
# process was suspended.
PAUSE_THRESHOLD: Seconds = 1.0
# Messages that arrived during a pause are read within this time after it. Without the deduction, a
# request that was handed over in a pause of four seconds ran after its caller had gone.
DEDUCTION_PERIOD: Seconds = 0.1


class PauseDetector(msgspec.Struct):
    """Hold when the process last ran, and the length of its last pause.

    `has_untold_pause` is true from a pause until `take_pause` has told it.
    """

    last_tick_at: Seconds = math.inf
    last_pause: Seconds = 0.0
    deducts_until: Seconds = 0.0
    has_untold_pause: bool = False

    def tick(self, now: Seconds) -> None:
        """Record that the process runs."""
        self._detect_pause(now)
        self.last_tick_at = now

    def _detect_pause(self, now: Seconds) -> None:
        pause = now - self.last_tick_at
        if pause > PAUSE_THRESHOLD:
            self.last_tick_at = now
            self.last_pause = pause
            self.deducts_until = now + DEDUCTION_PERIOD
            self.has_untold_pause = True

    def take_pause(self, now: Seconds) -> bool:
        """Return, once for each pause, whether the process was suspended."""
        self._detect_pause(now)
        has_paused, self.has_untold_pause = self.has_untold_pause, False
        return has_paused

    def deduct_pause(self, hand_over: HandOver, now: Seconds) -> HandOver:
        """Deduct from a hand-over's remaining time what it may have waited during a pause."""
        self._detect_pause(now)
        if now >= self.deducts_until:
            return hand_over
        return deduct_time(hand_over, self.last_pause)
