"""Count the requests an upstream receives under a rate limit that it reports."""

import math

import msgspec

from bendwind_core.core import Seconds

# The promise to upstreams: once ENFORCED_AFTER has passed since a limit was first reported, no
# window holds more than one and a half times the requests that the limit allows, plus five.
ENFORCED_AFTER: Seconds = 3.0
WINDOW: Seconds = 4.0
OVERAGE = 1.5
SLACK = 5.0


class LimitCount(msgspec.Struct):
    """Hold the rate limit that an upstream reports, None without one, and the requests under it.

    `fullest_window_share` is the largest number of requests in a window, divided by the number that
    a window may hold. `allowed_requests` and `counted_requests` are totals over all the time in
    which a limit had to be enforced.
    """

    per_second: float | None = None
    reported_at: Seconds = math.inf
    recent_arrivals: list[Seconds] = msgspec.field(default_factory=list)
    fullest_window_share: float = 0.0
    allowed_requests: float = 0.0
    counted_requests: int = 0

    def set_limit(self, per_second: float | None, now: Seconds) -> None:
        """Set another limit, or none."""
        enforced_from = self.reported_at + ENFORCED_AFTER
        if self.per_second is not None and now > enforced_from:
            self.allowed_requests += self.per_second * (now - enforced_from)
        self.per_second = per_second
        self.reported_at = math.inf if per_second is None else now
        self.recent_arrivals.clear()

    def record_arrival(self, now: Seconds) -> None:
        """Count a request that the upstream received."""
        if self.per_second is None:
            return
        self.recent_arrivals = [at for at in self.recent_arrivals if at > now - WINDOW]
        self.recent_arrivals.append(now)
        if now >= self.reported_at + ENFORCED_AFTER:
            self.counted_requests += 1
            max_requests = OVERAGE * self.per_second * WINDOW + SLACK
            self.fullest_window_share = max(
                self.fullest_window_share, len(self.recent_arrivals) / max_requests
            )
