"""Count the requests that a believed upstream may still receive after it has turned cold.

An upstream that cannot be queried is believed to be warm until it is told that it may be cold. What
it was sent shortly before has not arrived yet by then, and it may have been cold until a moment
ago. So a request counts for the whole period if it was sent while the upstream counted as cold, and
for as long as it takes to arrive if it was sent since.
"""

import collections

from bendwind_core.admission.send_window import SendWindow, find_room_at
from bendwind_core.admission.warm_up_proof import ARRIVAL_MARGIN
from bendwind_core.core import Seconds


def _may_arrive_cold(sent_at: Seconds, warm_since: Seconds, now: Seconds) -> bool:
    return sent_at < warm_since or sent_at + ARRIVAL_MARGIN > now


def count_believed_sends(window: SendWindow, warm_since: Seconds, now: Seconds) -> int:
    """Return how many requests of the window count for an upstream that is believed to be warm."""
    return sum(_may_arrive_cold(at, warm_since, now) for at in window.sent_at)


def find_believed_room_at(
    window: SendWindow, unsent: int, ahead: int, limit: int, warm_since: Seconds, now: Seconds
) -> Seconds:
    """Return when a request may be sent to an upstream that is believed to be warm.

    The time is never too late, and may be too early. What an earlier run of this process sent does
    not count: after a start, the upstream counts as cold for longer.
    """
    sent_at = [at for at in window.sent_at if _may_arrive_cold(at, warm_since, now)]
    counted = SendWindow(collections.deque(sent_at))
    room_at = find_room_at(counted, unsent, ahead, limit, now)
    first = next((at for at in sent_at if at >= warm_since), None)
    if first is None and not ahead:
        return room_at
    # The first one to arrive makes room, and so do those ahead, a limit at a time.
    arrived_at = (now if first is None else first) + ARRIVAL_MARGIN * (1 + ahead // limit)
    return min(room_at, max(now, arrived_at))
