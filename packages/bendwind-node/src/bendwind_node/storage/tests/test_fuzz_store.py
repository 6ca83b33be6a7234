import random
import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.consensus import Entry, HardState, Persist, SaveSnapshot, Snapshot
from bendwind_node.storage.store import open_store
from bendwind_node.storage.tests.fake_files import CrashError, FakeFiles

KEPT = 2


class StoreMachine(RuleBasedStateMachine):
    """Write, crash at any file operation and reopen; oracle: the states since the last sync."""

    @initialize(seed=st.integers(0, 2**32), segment_bytes=st.sampled_from([120, 4096]))
    def open_empty_store(self, seed, segment_bytes):
        self.segment_bytes = segment_bytes
        self.files = FakeFiles(random.Random(seed))
        self.hard = HardState()
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []
        self.token = 0
        self.voter_id = None
        self.possible = [(self.hard, self.snapshot.index, ())]
        self._open()

    def _state(self):
        newer = tuple(entry for entry in self.entries if entry.index > self.snapshot.index)
        return self.hard, self.snapshot.index, newer

    def _last(self) -> int:
        return self.entries[-1].index if self.entries else self.snapshot.index

    def _open(self):
        opened = open_store(self.files, self.segment_bytes)
        assert opened.is_ok(), opened
        self.store = opened.ok.store
        assert self.voter_id in (None, self.store.identity.voter_id)
        self.voter_id = self.store.identity.voter_id
        found = opened.ok.recovered
        newer = tuple(entry for entry in found.entries if entry.index > found.snapshot.index)
        state = (found.hard_state, found.snapshot.index, newer)
        assert state in self.possible, (state, self.possible)
        self.hard, self.snapshot, self.entries = (
            found.hard_state,
            found.snapshot,
            list(found.entries),
        )
        self.possible = [state]

    def _write(self, batch):
        try:
            written = self.store.write(batch)
        except CrashError:
            self._restart()
            return
        if written.is_error():
            assert self.store.write(batch).is_error(), "a failed store accepted another write"
            self._restart()
            return
        assert written.ok == self.token
        self.possible = [self._state()]

    def _restart(self):
        self.files.crash()
        self._open()

    @rule(
        sizes=st.lists(st.tuples(st.integers(0, 3), st.integers(0, 40)), min_size=1, max_size=3),
        truncated_count=st.integers(0, 3),
        is_voting=st.booleans(),
    )
    def persist(self, sizes, truncated_count, is_voting):
        batch = []
        for count, size in sizes:
            self.token += 1
            start = max(self.snapshot.index + 1, self._last() + 1 - truncated_count)
            is_truncated = truncated_count > 0 and start <= self._last()
            if is_voting:
                self.hard = HardState(self.hard.term + 1, self.token, 7)
                self.possible.append(self._state())
            if is_truncated:
                self.entries = [entry for entry in self.entries if entry.index < start]
                self.possible.append(self._state())
            added = []
            for number in range(count):
                index = self._last() + 1
                added.append(Entry(index, self.hard.term, b"%d" % (self.token + number) * size))
                self.entries.append(added[-1])
                self.possible.append(self._state())
            truncate_from = start if is_truncated else None
            batch.append(Persist(self.token, self.hard, truncate_from, tuple(added)))
        self._write(batch)

    @rule(is_installed=st.booleans(), ahead=st.integers(1, 5))
    def save_snapshot(self, is_installed, ahead):
        self.token += 1
        index = self._last() + ahead if is_installed else self._last()
        term = self.entries[-1].term if self.entries else self.snapshot.term
        term = self.hard.term if is_installed else term
        self.snapshot = Snapshot(index, term, data=b"s" * index)
        if is_installed:
            self.entries.clear()
        self.entries = [entry for entry in self.entries if entry.index > index - KEPT]
        first = self.entries[0].index if self.entries else index + 1
        self.possible.append(self._state())
        self._write([SaveSnapshot(self.token, self.snapshot, first, is_installed)])

    @rule(operations=st.integers(0, 12), is_error=st.booleans())
    def fail_after_operations(self, operations, is_error):
        self.files.operations_left = operations
        self.files.failure = OSError(28, "No space left on device") if is_error else CrashError()

    @rule()
    def kill(self):
        self._restart()

    @rule()
    def lose_power(self):
        self.files.lose_power()
        self._open()


StoreFuzzTest = StoreMachine.TestCase

if __name__ == "__main__":
    unittest.main()
