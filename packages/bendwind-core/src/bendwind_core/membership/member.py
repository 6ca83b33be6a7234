"""Merge the states that voters register for nodes."""

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.membership.digest import digest_record, digest_text
from bendwind_core.membership.messages import MemberState

BUCKET_COUNT = 256


class Member(msgspec.Struct):
    """Hold the merged state of a node, its digest, and whether this voter considers it alive.

    `is_visible` is true while this voter considers the node alive.
    Units: `changed_at` in seconds of the voter's clock.
    """

    state: MemberState
    changed_at: Seconds
    is_visible: bool = False
    digest: int = 0


def find_bucket(name: str) -> int:
    """Return the index of the bucket that holds the node of a name."""
    return digest_text(name) % BUCKET_COUNT


def liveness_order(state: MemberState) -> tuple[int, int, bool]:
    """Return the sort key of a report on whether a node is alive; the highest is the newest."""
    return state.node.incarnation, state.beat, not state.is_alive


def content_order(state: MemberState) -> tuple[int, int]:
    """Return the sort key of a report on a node's upstreams; the highest is the newest."""
    return state.node.incarnation, state.announced


def merge_states(ours: MemberState, theirs: MemberState) -> MemberState:
    """Return the newest liveness and the newest content of two states.

    The result does not depend on the order in which states are merged or on repeated merges.

    >>> from bendwind_core.world import Instance
    >>> node = Instance("n", "a", "", 0, 1)
    >>> dead = MemberState(node, "v1", 7, False)
    >>> merge(dead, MemberState(node, "v2", 7)) == merge(MemberState(node, "v2", 7), dead) == dead
    True
    """
    if ours.node.incarnation != theirs.node.incarnation:
        return max(ours, theirs, key=liveness_order)
    # The home voter breaks the tie if two voters registered the same heartbeat.
    alive = max(ours, theirs, key=lambda state: (*liveness_order(state), state.home))
    content = max(ours, theirs, key=content_order)
    return MemberState(
        alive.node, alive.home, alive.beat, alive.is_alive, content.announced, content.upstreams
    )


def put_state(member: Member, state: MemberState, now: Seconds) -> int:
    """Replace the state of a member and return the value to XOR into its bucket's digest."""
    change = member.digest
    member.state = state
    member.changed_at = now
    member.digest = digest_record(state)
    return change ^ member.digest
