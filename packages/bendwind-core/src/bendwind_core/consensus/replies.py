"""Reply to a leader once the log is synced."""

from bendwind_core.consensus.messages import Append, AppendReply, SnapshotChunk
from bendwind_core.consensus.replica import Replica, create_head, send_durable


def reply_append(
    replica: Replica, message: Append | SnapshotChunk, *, is_matching: bool, index: int
) -> None:
    """Confirm the log up to an index, or request a retry from there, once all writes are synced."""
    leader = message.head.sender
    reply = AppendReply(create_head(replica, leader), is_matching, index, message.round)
    send_durable(replica, reply, leader)
