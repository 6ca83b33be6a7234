"""Record the bounds and durations of the design that a result was measured with."""

import msgspec

from bendwind_core.claims import ClaimLimits
from bendwind_core.claims.placement import REQUIRED_MEMBERS
from bendwind_core.consensus import ReplicaSettings
from bendwind_core.core import Seconds
from bendwind_core.membership import LeaseTimes
from bendwind_core.membership.registration import MAX_WATCHED
from bendwind_core.routing.subset import SUBSET_SIZE
from bendwind_node.claims.placer import PLACEMENT_INTERVAL
from bendwind_node.links.hub import PING_INTERVAL_S
from bendwind_node.links.traffic import IDLE_LINK_TIMEOUT


class Design(msgspec.Struct, frozen=True):
    """Hold the constants that the model uses, as they were at the time of the measurement.

    The page therefore does not change with the code until the next measurement."""

    ping_s: Seconds
    idle_link_s: Seconds
    subset: int
    watched_most: int
    claims: int
    claim_bytes: int
    claim_answer_bytes: int
    claim_retention_s: Seconds
    claim_members: int
    place_s: Seconds
    round_s: Seconds
    log_entries: int
    heartbeat_s: Seconds
    lease_s: Seconds


def read_design() -> Design:
    """Return the current bounds and durations of the code."""
    claims, log, lease = ClaimLimits(), ReplicaSettings(), LeaseTimes()
    return Design(
        ping_s=PING_INTERVAL_S,
        idle_link_s=IDLE_LINK_TIMEOUT,
        subset=SUBSET_SIZE,
        watched_most=MAX_WATCHED,
        claims=claims.claims,
        claim_bytes=claims.bytes,
        claim_answer_bytes=claims.answer_bytes,
        claim_retention_s=claims.retention,
        claim_members=REQUIRED_MEMBERS,
        place_s=PLACEMENT_INTERVAL,
        round_s=log.heartbeat_s,
        log_entries=log.snapshot_entries,
        heartbeat_s=lease.heartbeat,
        lease_s=lease.lease,
    )
