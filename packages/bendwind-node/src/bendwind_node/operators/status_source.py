"""Describe what the operators' API needs to know of the process and of the members."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from bendwind_core.core import Milliseconds
from bendwind_core.world import Upstream


class ProcessStatus(msgspec.Struct, frozen=True):
    """Say what the process asked knows of itself.

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
    """Say which version a node has in force, as it last told.

    `operators` is the address that operators reach it at, empty where it is not known.
    Units: `last_heard_ms` is the time since its last heartbeat, in milliseconds.
    """

    name: str
    data_centre: str
    version: int
    last_heard_ms: Milliseconds | None = None
    operators: str = ""


class NoticeStatus(msgspec.Struct, frozen=True):
    """Say what an upstream beside the process has said of itself in its answers.

    Units: `limit_per_s` is its rate limit in requests a second, None without one.
    """

    upstream: str
    limit_per_s: float | None = None
    is_leaving: bool = False


class StatusSource(Protocol):
    """Tell the process's own status and the members it knows."""

    def process(self) -> ProcessStatus:
        """Return the status of this process."""
        ...

    async def nodes(self) -> Sequence[NodeVersion]:
        """Return the nodes attached to any voter that answers; none on another process."""
        ...

    def upstreams(self) -> Sequence[Upstream]:
        """Return the upstreams this process knows; all of them on a voter."""
        ...

    def notices(self) -> Sequence[NoticeStatus]:
        """Return what upstreams beside this process have said of themselves, of those that did."""
        ...
