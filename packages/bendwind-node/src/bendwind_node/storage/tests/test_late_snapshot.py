import random
import unittest

from bendwind_core.consensus import (
    Append,
    AppendReply,
    Entry,
    HardState,
    Head,
    InstallSnapshot,
    Persist,
    Persisted,
    Received,
    ReplicaSettings,
    SaveSnapshot,
    Send,
    Snapshot,
    SnapshotChunk,
    Voter,
    VoterSet,
    create_replica,
    step,
)

OWN = Voter("b", 2)
LEADER = Voter("a", 1)
VOTERS = VoterSet(7, (LEADER, OWN, Voter("c", 3)))
TERM = 4


def create_follower():
    """Create a follower with the entries 1 to 6, which knows only the first to be committed."""
    entries = tuple(Entry(index, 1, b"%d" % index) for index in range(2, 7))
    return create_replica(
        OWN,
        ("a", "b", "c"),
        ReplicaSettings(),
        0.0,
        random.Random(1),
        hard_state=HardState(TERM, 0, 7),
        snapshot=Snapshot(1, 1, VOTERS),
        entries=entries,
    )


def make_head():
    return Head(7, LEADER, OWN.voter_id, TERM)


def send_chunk(index, term):
    return SnapshotChunk(make_head(), index, term, VOTERS, 0, 5, b"state", 1)


class LateSnapshotTest(unittest.TestCase):
    """A snapshot that arrives after entries were confirmed must not remove any of them."""

    def deliver_and_sync(self, replica, message):
        """Deliver a message, sync all writes that it causes, and return all effects."""
        effects = step(replica, Received(message.head.sender.name, message), 1.0, random.Random(1))
        writes = [effect for effect in effects if isinstance(effect, Persist | SaveSnapshot)]
        for write in writes:
            effects += step(replica, Persisted(write.token), 1.0, random.Random(1))
        return effects

    def list_append_replies(self, effects):
        sent = [effect.message for effect in effects if isinstance(effect, Send)]
        return [reply for reply in sent if isinstance(reply, AppendReply)]

    def test_entries_after_a_matching_snapshot_are_kept(self):
        # A follower has confirmed entries that are needed for a quorum. A snapshot of an earlier
        # index arrives late, because the leader sent it when the follower seemed to lag. If the
        # snapshot replaced the whole log, acknowledged entries would be on fewer disks than a
        # quorum.
        replica = create_follower()
        confirmed = Append(make_head(), 6, 1, (Entry(7, TERM, b"7"),), 1, 1)
        (reply,) = self.list_append_replies(self.deliver_and_sync(replica, confirmed))
        self.assertEqual((reply.is_matching, reply.index), (True, 7))
        (reply,) = self.list_append_replies(self.deliver_and_sync(replica, send_chunk(4, 1)))
        self.assertTrue(reply.is_matching)
        self.assertEqual(replica.log.last_index, 7)
        self.assertEqual(replica.durable_index, 7)
        self.assertEqual(replica.commit, 4)
        self.assertEqual(replica.applied, 4)

    def test_conflicting_log_is_replaced_by_the_snapshot(self):
        replica = create_follower()
        self.deliver_and_sync(replica, send_chunk(4, 2))
        self.assertEqual(replica.log.last_index, 4)
        self.assertEqual(replica.log.last_term, 2)
        self.assertEqual((replica.commit, replica.applied), (4, 4))

    def test_a_snapshot_beyond_the_log_is_installed(self):
        replica = create_follower()
        (reply,) = self.list_append_replies(self.deliver_and_sync(replica, send_chunk(9, 2)))
        self.assertEqual((reply.is_matching, reply.index), (True, 9))
        self.assertEqual(replica.log.last_index, 9)

    # Guards against joining parts of the snapshots of two leaders, which may encode the same state
    # differently where one of them runs another release.
    def test_parts_from_two_leaders_are_not_joined(self):
        replica = create_follower()
        first = SnapshotChunk(make_head(), 9, 2, VOTERS, 0, 10, b"state", 1)
        self.deliver_and_sync(replica, first)
        other = Head(7, Voter("c", 3), OWN.voter_id, TERM + 1)
        second = SnapshotChunk(other, 9, 2, VOTERS, 5, 10, b"-two-", 1)
        effects = self.deliver_and_sync(replica, second)
        self.assertFalse([effect for effect in effects if isinstance(effect, InstallSnapshot)])
        [reply] = [effect.message for effect in effects if isinstance(effect, Send)]
        self.assertEqual((reply.index, reply.offset), (9, 0))


if __name__ == "__main__":
    unittest.main()
