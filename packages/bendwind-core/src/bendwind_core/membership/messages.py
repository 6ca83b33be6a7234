"""Define the messages between a node and the control voter it is attached to."""

from bendwind_core.claims import ClaimGroup
from bendwind_core.core import Milliseconds, Record
from bendwind_core.world import Instance, Service, Upstream


class Heartbeat(Record, frozen=True, array_like=True, tag="beat"):
    """Renew the lease of a node and of the upstreams it announced.

    `sequence` numbers the heartbeats of one incarnation; the reply repeats it.
    `version` is the configuration the node has in force.
    """

    node: Instance
    sequence: int
    version: int


class HeartbeatReply(Record, frozen=True, array_like=True, tag="beat-reply"):
    """Confirm a heartbeat and say how fresh the voter's configuration is.

    Units: `confirmed_age_ms` is the time since the start of the last quorum round that confirmed
    `version` as the newest, in milliseconds on the voter's clock; None if there was none.
    """

    sequence: int
    version: int
    confirmed_age_ms: Milliseconds | None
    resync: bool = False


class Announce(Record, frozen=True, array_like=True, tag="announce"):
    """Register an upstream's present state with the voter; repeated after each new attachment."""

    upstream: Upstream


class Watch(Record, frozen=True, array_like=True, tag="watch"):
    """Name every service whose configuration and upstreams the node wants pushed."""

    node: str
    services: tuple[str, ...]


class WatchUpdate(Record, frozen=True, array_like=True, tag="watch-update"):
    """Push the full set of upstreams of one watched service."""

    service: str
    upstreams: tuple[Upstream, ...]


class ConfigurationChanged(Record, frozen=True, array_like=True, tag="configuration"):
    """Push the services a node watches as of a version; `removed` names those that ended."""

    version: int
    services: tuple[Service, ...]
    removed: tuple[str, ...] = ()
    claim_groups: tuple[ClaimGroup, ...] = ()


class MemberGossip(Record, frozen=True, array_like=True, tag="gossip"):
    """Carry changed upstreams, or a heartbeat digest, from one voter to another."""

    voter: str
    upstreams: tuple[Upstream, ...]
    alive: tuple[str, ...] = ()
