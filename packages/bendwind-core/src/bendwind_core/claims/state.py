"""Define the state of one run of a node as a holder of one service's claims."""

import collections

import msgspec

from bendwind_core.claims.group import ClaimGroup
from bendwind_core.claims.messages import Claim, ClaimOutcome, ClaimRelease, ClaimRequest
from bendwind_core.claims.table import ClaimLimits, ClaimTable
from bendwind_core.core import Seconds


class Write(msgspec.Struct):
    """Hold a claim, or a chunk of a copy, that some members have not confirmed yet.

    `is_joining_unconfirmed` is set until the joining member confirms an ordinary write. If the
    write finishes before that, its key is added to the keys to copy again.
    """

    claims: tuple[Claim, ...]
    unconfirmed_members: set[str]
    sent_at: Seconds
    requests: list[ClaimRequest] = msgspec.field(default_factory=list)
    settlements: list[ClaimOutcome | ClaimRelease] = msgspec.field(default_factory=list)
    is_copy: bool = False
    is_joining_unconfirmed: bool = False


class Waiter(msgspec.Struct, frozen=True):
    """Hold a request that waits for the outcome of another call that holds its key."""

    request: ClaimRequest
    until: Seconds


class ClaimHolder(msgspec.Struct):
    """Hold the state of one run of a node as a member of one service's claim group.

    `writes` is keyed by sequence; `write_sequences` maps a key to its unconfirmed write's sequence.
    `finished_writes` holds the writes that every member confirmed and that have no replies yet.
    `keys_to_copy` are the keys that the joining member still lacks; None when no copy runs.
    `is_copy_complete` is set from the end of the copy until the next epoch; while it is set, a
    grant needs the joining member's confirmation too.
    """

    member: str
    service: str
    table: ClaimTable
    group: ClaimGroup | None = None
    fresh_until: Seconds = 0.0
    sequence: int = 0
    writes: dict[int, Write] = msgspec.field(default_factory=dict)
    write_sequences: dict[str, int] = msgspec.field(default_factory=dict)
    waiters: dict[str, list[Waiter]] = msgspec.field(default_factory=dict)
    waiter_count: int = 0
    keys_to_copy: list[str] | None = None
    is_copy_complete: bool = False
    finished_writes: collections.deque[Write] = msgspec.field(default_factory=collections.deque)

    def is_member(self) -> bool:
        """Return whether this run of the node is a member of the group."""
        return self.group is not None and self.member in self.group.members

    def is_primary(self) -> bool:
        """Return whether this run of the node is the primary of a group that is not lost."""
        group = self.group
        return group is not None and group.members[0] == self.member and not group.lost

    def is_member_or_joining(self) -> bool:
        """Return whether this run of the node is a member or is joining."""
        return self.is_member() or (self.group is not None and self.group.joining == self.member)


def create_holder(member: str, service: str, limits: ClaimLimits) -> ClaimHolder:
    """Create a holder without a group and without claims."""
    return ClaimHolder(member, service, ClaimTable(limits))
