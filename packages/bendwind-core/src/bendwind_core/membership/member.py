"""Merge what voters register of the nodes."""

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.membership.digest import digest_record, digest_text
from bendwind_core.membership.messages import MemberState

BUCKET_COUNT = 256


class Member(msgspec.Struct):
    """Hold a node's merged state, whether this voter counts it as alive, and its digest.

    Units: `changed_at` in seconds of the voter's clock.
    """

    state: MemberState
    changed_at: Seconds
    is_visible: bool = False
    digest: int = 0


def find_bucket(name: str) -> int:
    """Return the bucket that holds a node of this name."""
    return digest_text(name) % BUCKET_COUNT


def liveness_order(state: MemberState) -> tuple[int, int, bool]:
    """Return what orders two reports on whether a node is alive."""
    return state.node.incarnation, state.beat, not state.is_alive


def content_order(state: MemberState) -> tuple[int, int]:
    """Return what orders two reports on a node's upstreams."""
    return state.node.incarnation, state.announced


def merge_states(ours: MemberState, theirs: MemberState) -> MemberState:
    """Return the newest of both in liveness and in content; neither order nor repeats matter.

    >>> from bendwind_core.world import Instance
    >>> node = Instance("n", "a", "", 0, 1)
    >>> dead = MemberState(node, "v1", 7, False)
    >>> merge(dead, MemberState(node, "v2", 7)) == merge(MemberState(node, "v2", 7), dead) == dead
    True
    """
    if ours.node.incarnation != theirs.node.incarnation:
        return max(ours, theirs, key=liveness_order)
    # The home breaks the tie of two voters that registered one heartbeat.
    alive = max(ours, theirs, key=lambda state: (*liveness_order(state), state.home))
    content = max(ours, theirs, key=content_order)
    return MemberState(
        alive.node, alive.home, alive.beat, alive.is_alive, content.announced, content.upstreams
    )


def put_state(member: Member, state: MemberState, now: Seconds) -> int:
    """Replace a member's state and return the change of its bucket's digest."""
    change = member.digest
    member.state = state
    member.changed_at = now
    member.digest = digest_record(state)
    return change ^ member.digest
