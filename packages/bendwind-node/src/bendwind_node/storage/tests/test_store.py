import itertools
import random
import unittest

from bendwind_core.consensus import Entry, HardState, Persist, SaveSnapshot, Snapshot
from bendwind_node.storage.errors import CorruptData
from bendwind_node.storage.store import Store, open_store
from bendwind_node.storage.tests.fake_files import CrashError, FakeFiles


def write_log(segment_bytes: int = 200) -> FakeFiles:
    files = FakeFiles(random.Random(1))
    store: Store = open_store(files, segment_bytes).ok.store
    for index in range(1, 13):
        entry = Entry(index, 1, b"command %d" % index)
        store.write([Persist(index, HardState(1, 0, 9), None, (entry,))])
        if index == 6:
            snapshot = Snapshot(index, 1, data=b"state")
            store.write([SaveSnapshot(index, snapshot, 5, False)])
    return files


def write_unsynced() -> FakeFiles:
    """Sync the entries 1 to 3, and end the process while it syncs the entries 4 and 5."""
    files = FakeFiles(random.Random(1))
    store: Store = open_store(files).ok.store
    requests = [
        Persist(index, HardState(1, 0, 9), None, (Entry(index, 1, b"command %d" % index),))
        for index in range(1, 6)
    ]
    store.write(requests[:3])
    files.budget = 2
    try:
        store.write(requests[3:])
    except CrashError:
        files.budget = None
    return files


def kill_while_saving(files: FakeFiles, snapshot: Snapshot) -> None:
    """End the process between the new snapshot's rename and the sync of its folder."""
    store: Store = open_store(files, 200).ok.store
    files.budget = 4
    try:
        store.write([SaveSnapshot(13, snapshot, 11, False)])
    except CrashError:
        files.budget = None
    assert "new" not in files.names()


def read_entries(files: FakeFiles):
    return open_store(files, 200).ok.recovered.entries


class StoreTest(unittest.TestCase):
    def test_damage_of_any_synced_byte_is_refused_and_never_skipped(self):
        whole = read_entries(write_log())
        names = [name for name in write_log().names()]
        for name in names:
            for position in range(len(write_log().read(name))):
                files = write_log()
                data = bytearray(files.read(name))
                data[position] ^= 0x10
                files.present[name].data = bytes(data)
                opened = open_store(files, 200)
                if opened.is_ok():
                    # Only the mark after the last sync may go: nothing was promised of it.
                    self.assertEqual(opened.ok.recovered.entries, whole, (name, position))
                    self.assertEqual(opened.ok.recovered.snapshot.index, 6)
                else:
                    self.assertIsInstance(opened.error, CorruptData)

    def test_a_missing_file_is_refused(self):
        for name in write_log().names():
            files = write_log()
            last = max(kept for kept in files.names() if kept.startswith("log-"))
            if name == last:
                continue
            files.remove(name)
            self.assertIsInstance(open_store(files, 200).error, CorruptData, name)

    def test_compaction_removes_segments_below_the_snapshot(self):
        indexes = [entry.index for entry in read_entries(write_log())]
        self.assertGreater(indexes[0], 1)
        self.assertLessEqual(indexes[0], 5)
        self.assertEqual(indexes[-1], 12)

    def test_a_torn_tail_is_cut_and_counted(self):
        files = write_log()
        last = max(name for name in files.names() if name.startswith("log-"))
        files.append(last, b"\x83\x01torn")
        recovered = open_store(files, 200).ok.recovered
        self.assertEqual(recovered.cut_bytes, 6)
        self.assertEqual(recovered.entries[-1].index, 12)

    def test_writes_that_were_not_synced_may_be_lost_one_without_the_other(self):
        # Power is lost while a voter syncs. The mark of the sync before and each of the new
        # records reach the disk or do not, each by itself. A voter that took the gap for damage
        # refused to start, for good, and those that this met at once were a majority.
        for kept in itertools.product((False, True), repeat=3):
            files = write_unsynced()
            (file,) = (files.present[name] for name in files.names() if name.startswith("log-"))
            self.assertEqual(len(file.writes), 3)
            file.rebuild(list(itertools.compress(file.writes, kept)))
            opened = open_store(files)
            self.assertTrue(opened.is_ok(), (kept, opened))
            indexes = [entry.index for entry in opened.ok.recovered.entries]
            whole = sum(itertools.takewhile(bool, kept[1:])) if kept[0] else 0
            self.assertEqual(indexes, list(range(1, 4 + whole)), kept)

    def test_power_lost_at_a_start_after_a_kill_during_a_snapshot_leaves_one_snapshot(self):
        # A process is killed as the new snapshot has its name and the folder is not yet synced.
        # The next start removed the older snapshot at once; with the power lost just then neither
        # had a name, and the rest of the log alone was refused.
        for operations, seed in itertools.product(range(9), range(24)):
            files = write_log()
            files.rng.seed(seed)
            kill_while_saving(files, Snapshot(12, 1, data=b"later"))
            files.budget = operations
            try:
                open_store(files, 200)
            except CrashError:
                pass
            files.lose_power()
            opened = open_store(files, 200)
            self.assertTrue(opened.is_ok(), (operations, seed, opened))
            recovered = opened.ok.recovered
            held = max([recovered.snapshot.index, *(entry.index for entry in recovered.entries)])
            self.assertEqual(held, 12)


if __name__ == "__main__":
    unittest.main()
