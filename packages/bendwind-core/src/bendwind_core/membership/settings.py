"""Define the heartbeat, lease and timeout durations of membership."""

import msgspec

from bendwind_core.core import Seconds

# Maximum relative difference between two clocks that measure the same duration (1,000 ppm).
CLOCK_RATE_BOUND = 0.001


class LeaseTimes(msgspec.Struct, frozen=True):
    """Hold the heartbeat interval of nodes and the duration of the lease that one renews.

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
        """Return the age of a voter's confirmation at which a node moves to another voter."""
        return 0.5 * self.lease

    @property
    def provable_lease(self) -> Seconds:
        """Return the lease minus the possible clock rate difference between node and voter."""
        return self.lease * (1 - CLOCK_RATE_BOUND)
