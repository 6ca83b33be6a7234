"""Find the times of a planned stop, all from the moment at which it was requested."""

import msgspec

from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_node.settings.tables import StopTable

LEADERSHIP_TRANSFER_TIMEOUT: Seconds = 2.0
# The same once the calls in flight have taken all the time of the stop: a transfer that succeeds
# takes a round trip and an election between voters that are in touch.
LATE_TRANSFER_TIMEOUT: Seconds = 0.15


class StopTimes(msgspec.Struct, frozen=True):
    """Hold by when the phases of a planned stop end.

    A process that was suspended, or is busy, passes such a time late. Its next phase is then
    shorter: whoever requested the stop waits no longer for it.
    """

    notice_ends_at: Seconds
    claims_end_at: Seconds
    ends_at: Seconds
    drain_time: Seconds

    @property
    def earliest_end(self) -> Seconds:
        """Return when the drain ends if claims are handed over at once."""
        return self.notice_ends_at + self.drain_time

    def find_drain_end(self, now: Seconds) -> Seconds:
        """Return by when the calls in flight have to end, if the other phases have ended now."""
        return min(self.ends_at, now + self.drain_time)

    def find_transfer_end(self, now: Seconds) -> Seconds:
        """Return by when leadership has to be handed over, if all calls have ended now."""
        late_end = max(self.ends_at, now) + LATE_TRANSFER_TIMEOUT
        return min(late_end, now + LEADERSHIP_TRANSFER_TIMEOUT)


def find_stop_times(limits: StopTable, now: Seconds) -> StopTimes:
    """Return the times of a stop that is requested now."""
    notice_ends_at = now + limits.notice_ms / MILLISECONDS_PER_SECOND
    claims_end_at = notice_ends_at + limits.claims_ms / MILLISECONDS_PER_SECOND
    drain_time = limits.drain_ms / MILLISECONDS_PER_SECOND
    return StopTimes(notice_ends_at, claims_end_at, claims_end_at + drain_time, drain_time)
