"""Answer a leader once the log is synced."""

from bendwind_core.consensus.messages import Append, AppendReply, SnapshotChunk
from bendwind_core.consensus.replica import Replica, head_to, send_durable


def reply_append(
    replica: Replica, message: Append | SnapshotChunk, *, is_matching: bool, index: int
) -> None:
    """Confirm the log up to an index, or ask to try again from there, once all is synced."""
    leader = message.head.sender
    reply = AppendReply(head_to(replica, leader), is_matching, index, message.round)
    send_durable(replica, reply, leader)
