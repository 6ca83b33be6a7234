"""Use upstreams again whose announcements are late by their number alone.

A run that fell silent leaves its number, which the next run may take long to reach, and another
sender may have announced a large one under the name. A healthy answer shows who is there.
"""

import msgspec
import trio

from bendwind_core.core import MILLISECONDS_PER_SECOND
from bendwind_core.world import UpstreamState
from bendwind_node.calls.departure_holds import HOLD_TIME
from bendwind_node.calls.health_check import HealthAnswer, shows_serving
from bendwind_node.calls.owned_upstream import Announcement, OwnedUpstream
from bendwind_node.calls.upstream_queries import QueriedRegister

# An upstream that announces itself several times in a lease has its numbers checked before the
# lease expires, and a late announcement beside newer ones costs no query.
_SILENT_SHARE = 0.5


class NumberChecks(msgspec.Struct, eq=False):
    """Hold the announcements of a register's upstreams whose senders are being queried, by name."""

    register: QueriedRegister
    queried: dict[str, Announcement] = msgspec.field(default_factory=dict)

    def accepts(self, announcement: Announcement) -> bool:
        """Return whether an announcement that is late by its number is used all the same.

        Its sender is queried otherwise, and used once it has answered. A draining is used at once:
        its sender is told that it gets nothing new.
        """
        if not self._may_be_renumbered(announcement):
            return False
        owned = self.register.owned.get(announcement.name)
        is_draining = announcement.state is UpstreamState.DRAINING
        if is_draining or (owned is not None and _can_nothing_be_late(owned)):
            self._forget_number(announcement.name)
            return True
        self._start_query(announcement)
        return False

    def _may_be_renumbered(self, announcement: Announcement) -> bool:
        """Return whether nothing newer holds than that an upstream was ready some time ago."""
        name = announcement.name
        owned = self.register.owned.get(name)
        record = self.register.runs.find(name)
        if record is not None and record.state is not UpstreamState.READY:
            return False
        if owned is None:
            return record is not None and announcement.born_ms in (0, record.born_ms)
        is_final = owned.has_left or owned.owner_state.is_leaving
        return not is_final and self._is_silent(owned)

    def _is_silent(self, owned: OwnedUpstream) -> bool:
        lease = self.register.lease_ms / MILLISECONDS_PER_SECOND
        return trio.current_time() >= owned.lease_until - lease * _SILENT_SHARE

    def _forget_number(self, name: str) -> None:
        self.register.runs.forget(name)
        owned = self.register.owned.get(name)
        if owned is not None:
            owned.last_sequence = None

    def _start_query(self, announcement: Announcement) -> None:
        can_query = self.register.queries.can_query_name(announcement.service)
        if can_query and announcement.name not in self.queried:
            self.queried[announcement.name] = announcement
            self.register.nursery.start_soon(self._query, announcement)

    async def _query(self, announcement: Announcement) -> None:
        answer = await self.register.queries.query_sender(announcement)
        self.handle_answer(announcement, answer)

    def handle_answer(self, announcement: Announcement, answer: HealthAnswer | None) -> None:
        """Use an announcement if its sender serves and nothing newer has arrived meanwhile."""
        if self.queried.get(announcement.name) is not announcement:
            return
        del self.queried[announcement.name]
        is_serving = shows_serving(answer, announcement.name)
        if is_serving and self._may_be_renumbered(announcement):
            self._forget_number(announcement.name)
            self.register.handle_announcement(announcement)


def _can_nothing_be_late(owned: OwnedUpstream) -> bool:
    """Return whether no announcement can arrive any more of a run that fell silent."""
    return trio.current_time() >= owned.lease_until + HOLD_TIME
