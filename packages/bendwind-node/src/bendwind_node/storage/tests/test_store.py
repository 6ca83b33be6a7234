import itertools
import random
import unittest

import cbor2

from bendwind_core.consensus import Entry, HardState, Persist, SaveSnapshot, Snapshot
from bendwind_node.storage.errors import CorruptData
from bendwind_node.storage.frames import encode_frame
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


def write_unsynced_entries() -> FakeFiles:
    """Sync the entries 1 to 3, and crash the process while it syncs the entries 4 and 5."""
    files = FakeFiles(random.Random(1))
    store: Store = open_store(files).ok.store
    requests = [
        Persist(index, HardState(1, 0, 9), None, (Entry(index, 1, b"command %d" % index),))
        for index in range(1, 6)
    ]
    store.write(requests[:3])
    files.operations_left = 2
    try:
        store.write(requests[3:])
    except CrashError:
        files.operations_left = None
    return files


def kill_while_saving_snapshot(files: FakeFiles, snapshot: Snapshot) -> None:
    """Crash the process between the rename of the new snapshot and the sync of its folder."""
    store: Store = open_store(files, 200).ok.store
    files.operations_left = 4
    try:
        store.write([SaveSnapshot(13, snapshot, 11, False)])
    except CrashError:
        files.operations_left = None
    assert "new" not in files.names()


def read_entries(files: FakeFiles):
    return open_store(files, 200).ok.recovered.entries


class ForeignRecordTest(unittest.TestCase):
    def test_record_with_a_right_checksum_that_no_store_writes_is_corrupt_data(self):
        payloads = (
            b"\x81" * 100_000,
            b"",
            b"\xd8\x1c\x81\xd8\x1d\x00",
            cbor2.dumps(["truncate", 2**64]),
            cbor2.dumps(["truncate", -1]),
            cbor2.dumps(["entry", [2**63, 1, b"", None]]),
            cbor2.dumps(["head", [[float("nan"), 0, 0]]]),
            cbor2.dumps("identity"),
            cbor2.dumps(["nothing"]),
        )
        names = ("identity", *(name for name in write_log().names() if "-" in name))
        for name in names:
            for payload in payloads:
                files = write_log()
                sequence = int(name.removeprefix("log-")) if name.startswith("log-") else 0
                files.current[name].data = encode_frame(sequence, payload)
                opened = open_store(files, 200)
                self.assertIsInstance(opened.error, CorruptData, (name, payload[:20]))

    def test_file_with_the_record_of_another_is_corrupt_data(self):
        identity = write_log().read("identity")
        for name in write_log().names():
            if name.startswith("snapshot-"):
                files = write_log()
                files.current[name].data = identity
                self.assertIsInstance(open_store(files, 200).error, CorruptData)

    def test_segment_whose_name_is_no_number_is_corrupt_data(self):
        for suffix in ("", "²", "9" * 5000, "-1", "x"):
            files = write_log()
            name = next(name for name in sorted(files.names()) if name.startswith("log-"))
            files.current[f"log-{suffix}"] = files.current.pop(name)
            opened = open_store(files, 200)
            self.assertIsInstance(opened.error, CorruptData, suffix[:5])


class StoreTest(unittest.TestCase):
    def test_damage_to_any_synced_byte_is_refused_and_never_skipped(self):
        whole = read_entries(write_log())
        names = [name for name in write_log().names()]
        for name in names:
            for position in range(len(write_log().read(name))):
                files = write_log()
                data = bytearray(files.read(name))
                data[position] ^= 0x10
                files.current[name].data = bytes(data)
                opened = open_store(files, 200)
                if opened.is_ok():
                    # Only the unsynced mark after the last sync may be lost without an error.
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

    def test_unsynced_writes_may_be_lost_independently_of_each_other(self):
        # The power fails while a voter syncs. The mark of the previous sync and each of the new
        # records reach the disk, or are lost, independently. A voter that treats the gap as damage
        # never starts again, and a power failure can affect a majority of the voters at once.
        for kept in itertools.product((False, True), repeat=3):
            files = write_unsynced_entries()
            (file,) = (files.current[name] for name in files.names() if name.startswith("log-"))
            self.assertEqual(len(file.writes), 3)
            file.rebuild(list(itertools.compress(file.writes, kept)))
            opened = open_store(files)
            self.assertTrue(opened.is_ok(), (kept, opened))
            indexes = [entry.index for entry in opened.ok.recovered.entries]
            whole = sum(itertools.takewhile(bool, kept[1:])) if kept[0] else 0
            self.assertEqual(indexes, list(range(1, 4 + whole)), kept)

    def test_power_loss_at_start_after_a_kill_during_a_snapshot_keeps_one_snapshot(self):
        # A process is killed after the new snapshot was renamed and before the folder is synced.
        # If the next start removed the older snapshot without a sync, a power loss at that moment
        # could remove both names, and the rest of the log alone would be refused.
        for operations, seed in itertools.product(range(9), range(24)):
            files = write_log()
            files.rng.seed(seed)
            kill_while_saving_snapshot(files, Snapshot(12, 1, data=b"later"))
            files.operations_left = operations
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
