"""Hold the log of a replica in memory: a snapshot and the entries around and after it."""

import msgspec

from bendwind_core.consensus.records import EMPTY_SNAPSHOT, Entry, Snapshot


class Log(msgspec.Struct):
    """Hold consecutive entries; some up to the snapshot may be retained for slow followers.

    Units: `newer_bytes` counts the commands of the entries after the snapshot.
    """

    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: list[Entry] = msgspec.field(default_factory=list)
    newer_bytes: int = 0

    @property
    def first_index(self) -> int:
        """Return the index of the first retained entry, or of the next entry if there is none."""
        return self.entries[0].index if self.entries else self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or of the snapshot."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, or None if the entry is not retained."""
        if index == 0:
            return 0
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.first_index
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def find_entry(self, index: int) -> Entry:
        """Return the entry at an index, which must be retained."""
        return self.entries[index - self.first_index]

    def read_batch(self, start: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from an index on within the bounds, but at least one if any exist."""
        position = start - self.first_index
        batch: list[Entry] = []
        size = 0
        for entry in self.entries[position : position + max_entries]:
            size += len(entry.command)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entry: Entry) -> None:
        """Append the next entry."""
        if entry.index != self.last_index + 1:
            raise AssertionError(
                f"entry {entry.index} does not follow last index {self.last_index}"
            )
        self.entries.append(entry)
        self.newer_bytes += len(entry.command)

    def truncate(self, start: int) -> None:
        """Delete the entries from an index on."""
        del self.entries[max(0, start - self.first_index) :]
        self.count_bytes()

    def compact(self, snapshot: Snapshot, keep: int, keep_bytes: int) -> None:
        """Set a snapshot of the applied entries and retain only the last ones up to it.

        At most `keep` are retained, and no more than fit into `keep_bytes`.
        """
        self.snapshot = snapshot
        del self.entries[: self._count_dropped(keep, keep_bytes)]
        self.count_bytes()

    def _count_dropped(self, keep: int, keep_bytes: int) -> int:
        covered = self.snapshot.index - self.first_index + 1
        room = keep_bytes
        for position in range(covered - 1, max(covered - keep, 0) - 1, -1):
            room -= len(self.entries[position].command)
            if room < 0:
                return position + 1
        return max(covered - keep, 0)

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.snapshot = snapshot
        self.entries.clear()
        self.newer_bytes = 0

    def count_bytes(self) -> None:
        """Count the commands after the snapshot."""
        newer = self.entries[max(0, self.snapshot.index + 1 - self.first_index) :]
        self.newer_bytes = sum(len(entry.command) for entry in newer)


def create_log(snapshot: Snapshot, entries: tuple[Entry, ...]) -> Log:
    """Create the log of a stored snapshot and the entries around and after it."""
    log = Log(snapshot, list(entries))
    log.count_bytes()
    return log
