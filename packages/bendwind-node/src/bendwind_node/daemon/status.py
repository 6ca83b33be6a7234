"""Provide operators with the status of this process and of the members."""

import msgspec

from bendwind_core.world import Instance, Upstream
from bendwind_node.calls.owner_node import OwnerNode
from bendwind_node.control.service import ControlService
from bendwind_node.membership import MembershipTask
from bendwind_node.operators import NodeVersion, NoticeStatus, ProcessStatus


class DaemonStatus(msgspec.Struct, eq=False):
    """Implement `operators.StatusSource`."""

    own: Instance
    membership: MembershipTask
    owner: OwnerNode
    control: ControlService | None

    def process(self) -> ProcessStatus:
        """Return the status of this process."""
        view = self.membership.view
        return ProcessStatus(
            self.own.name,
            self.own.data_centre,
            view.version,
            self.membership.confirmed_age_ms(),
            view.voter,
            self.owner.register.is_draining,
        )

    async def nodes(self) -> tuple[NodeVersion, ...]:
        """Return the nodes attached to any voter that replies.

        The result is empty if this process has no voter.
        """
        if self.control is None:
            return ()
        rows = await self.control.registry.status()
        return tuple(
            NodeVersion(row.node, row.data_centre, row.version, row.heartbeat_age_ms, row.operators)
            for row in rows
        )

    def upstreams(self) -> tuple[Upstream, ...]:
        """Return every upstream that the voter knows.

        Without a voter, return the upstreams on this instance.
        """
        if self.control is not None:
            return self.control.upstreams()
        return tuple(owned.upstream for owned in self.owner.register.owned.values())

    def notices(self) -> tuple[NoticeStatus, ...]:
        """Return the rate limits and departures announced by the upstreams on this instance."""
        states = [(name, owned.owner_state) for name, owned in self.owner.register.owned.items()]
        notices = (
            NoticeStatus(name, state.rate_limit.per_second, state.is_leaving)
            for name, state in states
        )
        return tuple(
            notice for notice in notices if notice.limit_per_s is not None or notice.is_leaving
        )
