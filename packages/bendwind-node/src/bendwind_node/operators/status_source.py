"""Define the interface through which the operators' API reads process and member status."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from bendwind_core.core import Milliseconds
from bendwind_core.world import Upstream


class ProcessStatus(msgspec.Struct, frozen=True):
    """Describe the process that answers.

    Units: `confirmed_age_ms` is the age of its proof that `version` is the newest, in
    milliseconds; None without a proof.
    """

    name: str
    data_centre: str
    version: int
    confirmed_age_ms: Milliseconds | None = None
    attached_to: str | None = None
    stopping: bool = False


class NodeVersion(msgspec.Struct, frozen=True):
    """Describe which version a node has in force, by its last report.

    `operators` is the address where operators reach the node, empty if it is not known.
    Units: `last_heard_ms` is the time since its last heartbeat, in milliseconds.
    """

    name: str
    data_centre: str
    version: int
    last_heard_ms: Milliseconds | None = None
    operators: str = ""


class NoticeStatus(msgspec.Struct, frozen=True):
    """Describe what an upstream of this process has reported about itself in its answers.

    Units: `limit_per_s` is its rate limit in requests per second, None without one.
    """

    upstream: str
    limit_per_s: float | None = None
    is_leaving: bool = False


class StatusSource(Protocol):
    """Provide the status of the process and of the members that it knows."""

    def process(self) -> ProcessStatus:
        """Return the status of this process."""
        ...

    async def nodes(self) -> Sequence[NodeVersion]:
        """Return the nodes attached to any voter that replies; none on a non-voter."""
        ...

    def upstreams(self) -> Sequence[Upstream]:
        """Return the upstreams that this process knows; a voter knows all of them."""
        ...

    def notices(self) -> Sequence[NoticeStatus]:
        """Return the notices of those upstreams of this process that have sent one."""
        ...
