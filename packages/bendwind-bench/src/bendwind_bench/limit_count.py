"""Count what an upstream gets while it names a limit of its rate, against what that allows."""

import math

import msgspec

from bendwind_core.core import Seconds

# What upstreams are promised: from so long after it was first named, no window holds more than
# one and a half times what the limit allows and five requests.
KEPT_FROM: Seconds = 3.0
WINDOW: Seconds = 4.0
OVERAGE = 1.5
SLACK = 5.0


class LimitCount(msgspec.Struct):
    """Hold the limit that an upstream names, None without one, and what came meanwhile.

    `worst` is the fullest window as a part of what it may hold; `allowed` and `taken` are requests
    over all the time that a limit was to be kept.
    """

    per_second: float | None = None
    named_at: Seconds = math.inf
    arrived: list[Seconds] = msgspec.field(default_factory=list)
    worst: float = 0.0
    allowed: float = 0.0
    taken: int = 0

    def name(self, per_second: float | None, now: Seconds) -> None:
        """Name another limit, or none."""
        kept_from = self.named_at + KEPT_FROM
        if self.per_second is not None and now > kept_from:
            self.allowed += self.per_second * (now - kept_from)
        self.per_second = per_second
        self.named_at = math.inf if per_second is None else now
        self.arrived.clear()

    def note_arrival(self, now: Seconds) -> None:
        """Count a request that came."""
        if self.per_second is None:
            return
        self.arrived = [at for at in self.arrived if at > now - WINDOW]
        self.arrived.append(now)
        if now >= self.named_at + KEPT_FROM:
            self.taken += 1
            most = OVERAGE * self.per_second * WINDOW + SLACK
            self.worst = max(self.worst, len(self.arrived) / most)
