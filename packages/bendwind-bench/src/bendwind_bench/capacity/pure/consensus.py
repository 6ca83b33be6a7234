"""Measure the cost of the control log for its leader and its followers."""

import random
import time

from bendwind_bench.capacity.slope import (
    MICROSECONDS,
    Slope,
    decode,
    encode,
    fit,
    measure_allocation,
)
from bendwind_core.consensus import (
    Entry,
    Persist,
    Persisted,
    Propose,
    Received,
    Replica,
    ReplicaSettings,
    SaveSnapshot,
    Send,
    Tick,
    Voter,
    create_replica,
    step,
)

ENTRY_BYTES = (256, 1024, 4096, 16384)
LOG_SIZES = (250, 500, 1000, 2000)
PROPOSALS = 60
VOTERS = 5
_TICK_S = 0.05
_ELECTION_TICKS = 200


class ReplicaCluster:
    """Hold replicas whose messages and disk writes take no time."""

    def __init__(self, size: int):
        self.now = 0.0
        self.rng = random.Random(1)
        names = tuple(f"voter-{index}" for index in range(size))
        # Snapshots are measured elsewhere, so these settings prevent them here.
        settings = ReplicaSettings(snapshot_entries=10**9, snapshot_bytes=10**12)
        self.replicas: dict[str, Replica] = {
            name: create_replica(Voter(name, index + 1), names, settings, 0.0, self.rng)
            for index, name in enumerate(names)
        }
        self.processor_s = dict.fromkeys(names, 0.0)

    def deliver(self, name: str, event) -> None:
        """Deliver an event to a replica and all resulting messages to the others, encoded."""
        pending = [(name, event)]
        while pending:
            to, event = pending.pop(0)
            started = time.process_time()
            sent = [
                (effect.to, to, encode(effect.message) if isinstance(effect, Send) else effect)
                for effect in self._step(to, event)
            ]
            self.processor_s[to] += time.process_time() - started
            pending += [self._decode(receiver, sender, data) for receiver, sender, data in sent]

    def _decode(self, receiver: str, sender: str, data: bytes):
        started = time.process_time()
        message = decode(data)
        self.processor_s[receiver] += time.process_time() - started
        return receiver, Received(sender, message)

    def _step(self, name: str, event) -> list[Send]:
        sends = []
        pending = [event]
        while pending:
            effects = step(self.replicas[name], pending.pop(0), self.now, self.rng)
            sends += [effect for effect in effects if isinstance(effect, Send)]
            pending += [
                Persisted(effect.token)
                for effect in effects
                if isinstance(effect, (Persist, SaveSnapshot))
            ]
        return sends

    def tick(self) -> None:
        """Deliver a tick to every replica."""
        self.now += _TICK_S
        for name in self.replicas:
            self.deliver(name, Tick())

    def elect(self) -> str:
        """Tick until a leader is elected and return its name."""
        for _ in range(_ELECTION_TICKS):
            self.tick()
            leaders = [name for name, replica in self.replicas.items() if replica.is_leader]
            if leaders:
                for _ in range(10):
                    self.tick()
                return leaders[0]
        raise AssertionError("no leader was elected")


def measure_proposals() -> dict[str, Slope]:
    """Measure leader and followers for growing entries, codec included."""
    leader_us, follower_us = [], []
    for size in ENTRY_BYTES:
        cluster = ReplicaCluster(VOTERS)
        leader = cluster.elect()
        cluster.processor_s = dict.fromkeys(cluster.processor_s, 0.0)
        for number in range(PROPOSALS):
            cluster.deliver(leader, Propose(number + 1, b"x" * size))
        processor_s = cluster.processor_s.pop(leader)
        leader_us.append((size, processor_s / PROPOSALS * MICROSECONDS))
        follower_s = sum(cluster.processor_s.values()) / len(cluster.processor_s)
        follower_us.append((size, follower_s / PROPOSALS * MICROSECONDS))
    return {
        "leader_proposal_us": fit(
            f"Leader's time for a proposal, {VOTERS} voters", "us", "byte of the entry", leader_us
        ),
        "follower_proposal_us": fit(
            "Follower's time for a proposal", "us", "byte of the entry", follower_us
        ),
    }


def measure_idle_log() -> dict[str, float]:
    """Measure the processor time per second of leader and followers without proposals."""
    cluster = ReplicaCluster(VOTERS)
    leader = cluster.elect()
    cluster.processor_s = dict.fromkeys(cluster.processor_s, 0.0)
    seconds = 10.0
    for _ in range(round(seconds / _TICK_S)):
        cluster.tick()
    processor_s = cluster.processor_s.pop(leader)
    follower_s = sum(cluster.processor_s.values()) / len(cluster.processor_s)
    return {
        "leader_idle_us_per_s": processor_s / seconds * MICROSECONDS,
        "follower_idle_us_per_s": follower_s / seconds * MICROSECONDS,
    }


def measure_log() -> dict[str, Slope]:
    """Measure the memory of log entries."""
    memory = []
    for count in LOG_SIZES:
        _, size = measure_allocation(
            lambda count=count: [Entry(i, 7, bytes(512)) for i in range(1, count)]
        )
        memory.append((count, size))
    return {"log_entry_bytes": fit("Memory of log entries of 512 bytes", "bytes", "entry", memory)}
