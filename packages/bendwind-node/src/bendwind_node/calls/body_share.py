"""Limit the share of an instance's network link that the bodies of requests may fill.

Everything that a process exchanges with its peers crosses the same network link. Heartbeat replies,
configurations and pongs wait there behind the bodies that were sent before them.
"""

import math

import msgspec
import trio

from bendwind_core.attempts import AttemptId
from bendwind_core.core import Seconds
from bendwind_node.calls.body_flow import PART_BYTES, WINDOW_BYTES
from bendwind_node.links.link import BYTES_PER_MEGABIT

# How long the bodies under way to an instance may occupy its network link. A node leaves its voter
# after 0.75 s without a reply at the shortest leases in use.
MAX_BODY_DELAY: Seconds = 0.15
# A part occupies the network link for this long, since what is sent after it waits for all of it.
PART_DURATION: Seconds = 0.03
MIN_PART_BYTES = 8 * 1024


def find_part_bytes(link_mbps: float) -> int:
    """Return the size of the parts in which bodies are sent over a network link of this rate."""
    wanted = int(link_mbps * BYTES_PER_MEGABIT * PART_DURATION)
    return min(PART_BYTES, max(MIN_PART_BYTES, wanted))


class BodyShare(msgspec.Struct, eq=False):
    """Divide what may be under way to this instance among the bodies that it waits for.

    `limit` is the number of bytes that may be under way to this instance, `share` how many of them
    one body may have, `unit` the smallest credit. `credits` holds the unused credit of each body,
    the oldest body first; it is negative after a part that is longer than the credit was.
    Units: bytes.
    """

    limit: int
    share: int
    unit: int
    credits: dict[AttemptId, int] = msgspec.field(default_factory=dict)

    def open(self, attempt: AttemptId) -> None:
        """Add a body, which has no credit yet."""
        self.credits[attempt] = 0

    def record_arrival(self, attempt: AttemptId, size: int) -> None:
        """Take the credit back that a part of a body has used."""
        if attempt in self.credits:
            self.credits[attempt] -= size

    def close(self, attempt: AttemptId) -> None:
        """Take back the credit of a body that is complete or given up."""
        self.credits.pop(attempt, None)

    def grant(self) -> list[tuple[AttemptId, int]]:
        """Grant what is free, to the oldest bodies first, and return the credit of each."""
        free = self.limit - sum(max(0, held) for held in self.credits.values())
        granted = []
        for attempt, held in self.credits.items():
            credit = min(self.share - held, free) // self.unit * self.unit
            if credit > 0:
                self.credits[attempt] = held + credit
                free -= credit
                granted.append((attempt, credit))
            if free < self.unit:
                break
        return granted


def create_body_share(link_mbps: float) -> BodyShare:
    """Return the share of a network link of this rate."""
    unit = find_part_bytes(link_mbps)
    limit = max(2 * unit, int(link_mbps * BYTES_PER_MEGABIT * MAX_BODY_DELAY))
    return BodyShare(limit, min(WINDOW_BYTES, max(unit, limit // 2)), unit)


class BodyPacer(msgspec.Struct, eq=False):
    """Send parts of bodies no faster than the network link takes them.

    Units: `free_at` is the time, of trio's clock, at which the network link has sent all parts.
    """

    bytes_per_s: float = math.inf
    part_bytes: int = PART_BYTES
    free_at: Seconds = 0.0

    async def wait(self, size: int) -> None:
        """Wait until the network link is free for a part of this size, and reserve its time."""
        now = trio.current_time()
        starts_at = max(now, self.free_at)
        self.free_at = starts_at + size / self.bytes_per_s
        if starts_at > now:
            await trio.sleep_until(starts_at)


def create_body_pacer(link_mbps: float) -> BodyPacer:
    """Return the pacer of a network link of this rate."""
    return BodyPacer(link_mbps * BYTES_PER_MEGABIT, find_part_bytes(link_mbps))
