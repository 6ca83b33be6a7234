"""Measure write time, disk use and restart time of a store by number of changes; print JSON."""

import json
import os
import random
import sys
import tempfile
import time
from pathlib import Path

import msgspec
from msgspec.structs import asdict

from bendwind_core.consensus import (
    Apply,
    Persist,
    Persisted,
    Propose,
    Replica,
    ReplicaEvent,
    ReplicaSettings,
    SaveSnapshot,
    SnapshotTaken,
    TakeSnapshot,
    Tick,
    Voter,
    create_replica,
    step,
)
from bendwind_core.core import Seconds
from bendwind_node.storage import Store, open_folder, open_store

CHANGES = (100, 1000, 10_000)
# Approximate size of the command for a service with a few rules.
COMMAND_BYTES = 400
# Number of services in the state.
SERVICES = 650
_TICK_S = 0.05


class Measurement(msgspec.Struct, frozen=True):
    """Hold the results for one number of changes.

    Units: milliseconds and bytes.
    """

    changes: int
    write_ms_per_change: float
    disk_bytes: int
    files: int
    restart_ms: float
    replayed_entries: int
    snapshot_bytes: int


class _ServiceState:
    """Keep the newest command of each service, as the control state does."""

    __slots__ = ("commands",)

    def __init__(self):
        self.commands: dict[int, bytes] = {}

    def apply(self, index: int, command: bytes) -> None:
        self.commands[index % SERVICES] = command

    def snapshot(self) -> bytes:
        return b"".join(self.commands.values())


def _commit_changes(store: Store, changes: int) -> None:
    """Commit changes one by one on a single voter; each is synced before the next."""
    rng = random.Random(1)
    voter = Voter("a", store.identity.voter_id)
    replica = create_replica(voter, ("a",), ReplicaSettings(), 0.0, rng)
    service_state = _ServiceState()
    now = 0.0
    while not replica.is_leader:
        now += _TICK_S
        _handle_event(replica, store, service_state, Tick(), now, rng)
    for number in range(changes):
        command = number.to_bytes(4, "big") * (COMMAND_BYTES // 4)
        _handle_event(replica, store, service_state, Propose(number, command), now, rng)


def _handle_event(
    replica: Replica,
    store: Store,
    service_state: _ServiceState,
    event: ReplicaEvent,
    now: Seconds,
    rng: random.Random,
) -> None:
    events = [event]
    while events:
        for effect in step(replica, events.pop(0), now, rng):
            match effect:
                case Persist() | SaveSnapshot():
                    events.append(Persisted(store.write([effect]).ok))
                case Apply(entries=entries):
                    for entry in entries:
                        service_state.apply(entry.index, entry.command)
                case TakeSnapshot(index=index):
                    events.append(SnapshotTaken(index, service_state.snapshot()))


def measure(changes: int, folder: Path) -> Measurement:
    """Write this many changes, close the store, and reopen it."""
    store = open_store(open_folder(folder)).ok.store
    started = time.perf_counter()
    _commit_changes(store, changes)
    written = time.perf_counter()
    store.close()
    sizes = [entry.stat().st_size for entry in os.scandir(folder)]
    opening = time.perf_counter()
    opened = open_store(open_folder(folder)).ok
    done = time.perf_counter()
    opened.store.close()
    return Measurement(
        changes=changes,
        write_ms_per_change=round((written - started) * 1000 / changes, 3),
        disk_bytes=sum(sizes),
        files=len(sizes),
        restart_ms=round((done - opening) * 1000, 2),
        replayed_entries=len(opened.recovered.entries),
        snapshot_bytes=len(opened.recovered.snapshot.data),
    )


def main() -> None:
    """Measure each number of changes in a separate folder."""
    measurements = []
    for changes in CHANGES:
        with tempfile.TemporaryDirectory() as folder:
            measurements.append(asdict(measure(changes, Path(folder))))
    json.dump(measurements, sys.stdout, indent=1)
    sys.stdout.write("\n")


if __name__ == "__main__":
    main()
