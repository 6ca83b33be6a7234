"""Hold the durations that membership is tuned by."""

import msgspec

from bendwind_core.core import Seconds

# Two clocks that measure the same duration may differ by this share of it (1,000 ppm).
CLOCK_RATE_BOUND = 0.001


class LeaseTimes(msgspec.Struct, frozen=True):
    """Hold how often nodes renew and for how long a renewal counts.

    Units: seconds.
    """

    heartbeat: Seconds = 1.0
    lease: Seconds = 4.0

    @property
    def reply_timeout(self) -> Seconds:
        """Return how long a node waits for a reply before it moves to another voter."""
        return max(1.25 * self.heartbeat, 0.375 * self.lease)

    @property
    def confirmation_limit(self) -> Seconds:
        """Return the age of a voter's confirmation beyond which a node moves on."""
        return 0.5 * self.lease

    @property
    def provable_lease(self) -> Seconds:
        """Return the lease less what the clocks of node and voter may be wrong by."""
        return self.lease * (1 - CLOCK_RATE_BOUND)
