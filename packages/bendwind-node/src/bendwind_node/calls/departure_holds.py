"""Hold off later runs of an upstream after a departure that did not name the run that left.

Which run left is then unknown. If nothing of it had arrived, its late announcements look like those
of the next run, until that run answers on the health path or none of them can arrive any more.
"""

import msgspec
import trio

from bendwind_core.core import Seconds
from bendwind_core.runs import MAX_RUNS_PER_INSTANCE
from bendwind_core.timeline import EventKind
from bendwind_core.world import UpstreamState
from bendwind_node.calls.health_check import HealthAnswer, shows_serving
from bendwind_node.calls.owned_upstream import Announcement, find_order
from bendwind_node.calls.upstream_queries import HEALTH_QUERY_INTERVAL, QueriedRegister

# Announcements may arrive seconds late. A run that has really started waits no longer than this,
# also if its health answers are false.
HOLD_TIME: Seconds = 10.0


class DepartureHold(msgspec.Struct, eq=False):
    """Hold until when later runs of an upstream are held off, and the newest announcement of one.

    `is_queried` says that the health path at the address of one is being queried.
    """

    until: Seconds
    newest: Announcement | None = None
    is_queried: bool = False


class DepartureHolds(msgspec.Struct, eq=False):
    """Hold the upstreams of a register whose departure named no run, by name, the oldest first."""

    register: QueriedRegister
    by_name: dict[str, DepartureHold] = msgspec.field(default_factory=dict)

    def begin(self, name: str) -> None:
        """Begin to hold off the later runs of an upstream whose departure named no run."""
        self.by_name.pop(name, None)
        if len(self.by_name) >= MAX_RUNS_PER_INSTANCE:
            del self.by_name[next(iter(self.by_name))]
        self.by_name[name] = DepartureHold(trio.current_time() + HOLD_TIME)

    def hold_off(self, announcement: Announcement) -> bool:
        """Return whether an announcement of a later run may be one of the run that left.

        Its sender is then queried. Where it cannot be queried, a departure counts as that of the
        run that was known.
        """
        hold = self._find(announcement.name)
        if hold is None or not announcement.born_ms:
            return False
        can_query = self.register.queries.can_query_name(announcement.service)
        if not can_query and self._is_heard(announcement.name):
            return False
        if announcement.state is UpstreamState.DRAINING:
            # Its sender is told that it gets nothing new.
            self.register.runs.note(announcement, announcement.born_ms)
            return True
        self._keep(hold, announcement)
        if can_query and not hold.is_queried:
            hold.is_queried = True
            self.register.nursery.start_soon(self._query, hold, announcement)
        return True

    def _find(self, name: str) -> DepartureHold | None:
        hold = self.by_name.get(name)
        if hold is not None and trio.current_time() >= hold.until:
            del self.by_name[name]
            return None
        return hold

    def _is_heard(self, name: str) -> bool:
        return name in self.register.owned or self.register.runs.is_heard(name)

    def _keep(self, hold: DepartureHold, announcement: Announcement) -> None:
        if hold.newest is None:
            self.register.recorder.record(
                EventKind.RUN_HELD_OFF,
                upstream=announcement.name,
                detail=str(announcement.born_ms),
            )
        if hold.newest is None or find_order(hold.newest) < find_order(announcement):
            hold.newest = announcement

    async def _query(self, hold: DepartureHold, announcement: Announcement) -> None:
        answer = await self.register.queries.query_sender(announcement)
        while answer is None and self._find(announcement.name) is hold:
            # The configuration may not name the path yet, or the upstream may be busy.
            await trio.sleep(HEALTH_QUERY_INTERVAL)
            answer = await self.register.queries.query_sender(announcement)
        self.handle_answer(hold, announcement, answer)

    def handle_answer(
        self, hold: DepartureHold, announcement: Announcement, answer: HealthAnswer | None
    ) -> None:
        """Register the run that serves at the address of an announcement that was held off.

        An answer that came before another departure says nothing of what came after it.
        """
        hold.is_queried = False
        if self._find(announcement.name) is not hold:
            return
        newest = hold.newest
        is_same_address = (newest.host, newest.port) == (announcement.host, announcement.port)
        if is_same_address and shows_serving(answer, announcement.name):
            del self.by_name[announcement.name]
            self.register.handle_announcement(newest)
