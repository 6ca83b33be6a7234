"""Bound the log by bytes, in memory and on disk, whatever the number of its entries."""

import random
import unittest

import msgspec

from bendwind_core.consensus import (
    Committed,
    Persist,
    Persisted,
    ProposalDone,
    Propose,
    Refused,
    ReplicaSettings,
    SaveSnapshot,
    SnapshotTaken,
    TakeSnapshot,
    Tick,
    Voter,
    create_replica,
    step,
)
from bendwind_node.storage.store import open_store
from bendwind_node.storage.tests.fake_files import FakeFiles

ENTRY_BYTES = 10_000
SETTINGS = ReplicaSettings(
    snapshot_bytes=20_000, kept_bytes=30_000, pending_bytes=40_000, chunk_bytes=1000
)
# The entries before a snapshot, those after it and those that wait.
MAX_LOG_BYTES = 30_000 + 20_000 + 40_000


class SingleVoter:
    """Run the only voter of a cluster on a fake disk; its state is the newest command."""

    def __init__(self, settings=SETTINGS):
        self.files = FakeFiles(random.Random(1))
        self.store = open_store(self.files, segment_bytes=5_000).ok.store
        own = Voter("a", self.store.identity.voter_id)
        self.now = 0.0
        self.rng = random.Random(2)
        self.replica = create_replica(own, ("a",), settings, self.now, self.rng)
        self.outcomes = {}
        self.writes = []
        self.snapshots = 0
        self.state = b""
        while not self.replica.is_leader:
            self.now += 0.1
            self.handle(Tick())
            self.write()

    def handle(self, event):
        for effect in step(self.replica, event, self.now, self.rng):
            match effect:
                case Persist() | SaveSnapshot():
                    self.snapshots += isinstance(effect, SaveSnapshot)
                    self.writes.append(effect)
                case TakeSnapshot(index=index):
                    self.handle(SnapshotTaken(index, self.state))
                case ProposalDone(request_id=request_id, outcome=outcome):
                    self.outcomes[request_id] = outcome

    def write(self):
        while self.writes:
            batch, self.writes = self.writes, []
            self.handle(Persisted(self.store.write(batch).ok))

    def propose(self, request_id, command, state=None):
        self.state = command if state is None else state
        self.handle(Propose(request_id, command))

    def count_log_bytes(self):
        return sum(len(entry.command) for entry in self.replica.log.entries)

    def count_disk_bytes(self):
        return sum(len(self.files.read(name)) for name in self.files.names())


def make_command(number):
    return number.to_bytes(4, "big") * (ENTRY_BYTES // 4)


class LogBytesTest(unittest.TestCase):
    # Guards against processes that go over their memory as large changes follow each other.
    def test_large_entries_are_retained_by_their_bytes(self):
        voter = SingleVoter()
        for number in range(150):
            voter.propose(number, make_command(number))
            voter.write()
            self.assertIsInstance(voter.outcomes[number], Committed)
            self.assertLessEqual(voter.count_log_bytes(), MAX_LOG_BYTES)
            self.assertLessEqual(voter.count_disk_bytes(), 2 * MAX_LOG_BYTES)

    def test_entries_count_after_a_restart(self):
        voter = SingleVoter(msgspec.structs.replace(SETTINGS, snapshot_bytes=10**9))
        for number in range(4):
            voter.propose(number, make_command(number))
            voter.write()
        opened = open_store(voter.files).ok.recovered
        replica = create_replica(
            voter.replica.voter,
            ("a",),
            SETTINGS,
            0.0,
            random.Random(1),
            hard_state=opened.hard_state,
            snapshot=opened.snapshot,
            entries=tuple(opened.entries),
        )
        self.assertEqual(replica.log.newer_bytes, 4 * ENTRY_BYTES)

    def test_small_entries_are_retained_by_their_number(self):
        voter = SingleVoter()
        for number in range(3 * SETTINGS.snapshot_entries):
            voter.propose(number, b"%d" % number)
            voter.write()
        self.assertGreaterEqual(len(voter.replica.log.entries), SETTINGS.kept_entries)

    def test_retained_entries_cause_no_snapshots(self):
        voter = SingleVoter()
        for number in range(20):
            voter.propose(number, make_command(number))
            voter.write()
        written = voter.snapshots
        for number in range(20, 60):
            voter.propose(number, b"small")
            voter.write()
        self.assertLessEqual(voter.snapshots, written + 1)

    def test_snapshots_stay_in_proportion_to_a_large_state(self):
        voter = SingleVoter()
        state = b"x" * 100_000
        for number in range(40):
            voter.propose(number, make_command(number), state)
            voter.write()
        self.assertLessEqual(voter.snapshots * len(state), 40 * ENTRY_BYTES + len(state))

    def test_proposals_beyond_the_bytes_that_may_wait_are_refused(self):
        voter = SingleVoter()
        for number in range(100):
            voter.propose(number, make_command(number))
            self.assertLessEqual(voter.count_log_bytes(), MAX_LOG_BYTES)
        # What was not refused is still under way, since nothing was written.
        self.assertTrue(voter.outcomes)
        self.assertTrue(all(isinstance(outcome, Refused) for outcome in voter.outcomes.values()))
        voter.write()
        voter.propose(100, make_command(100))
        voter.write()
        self.assertIsInstance(voter.outcomes[100], Committed)


if __name__ == "__main__":
    unittest.main()
