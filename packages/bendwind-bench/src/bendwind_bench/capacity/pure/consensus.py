"""Measure what the control log costs its leader and its followers."""

import random
import time

from bendwind_bench.capacity.slope import MICROSECONDS, Slope, decode, encode, fit, weigh
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


class Cluster:
    """Hold replicas that hear each other at once and whose disks never wait."""

    def __init__(self, size: int):
        self.now = 0.0
        self.rng = random.Random(1)
        names = tuple(f"voter-{index}" for index in range(size))
        # Snapshots are measured elsewhere: here none may be due.
        settings = ReplicaSettings(snapshot_entries=10**9, snapshot_bytes=10**12)
        self.replicas: dict[str, Replica] = {
            name: create_replica(Voter(name, index + 1), names, settings, 0.0, self.rng)
            for index, name in enumerate(names)
        }
        self.spent = dict.fromkeys(names, 0.0)

    def feed(self, name: str, event) -> None:
        """Give a replica an event, and all that follows from it, as bytes, to the others."""
        waiting = [(name, event)]
        while waiting:
            to, event = waiting.pop(0)
            started = time.process_time()
            sent = [
                (effect.to, to, encode(effect.message) if isinstance(effect, Send) else effect)
                for effect in self._step(to, event)
            ]
            self.spent[to] += time.process_time() - started
            waiting += [self._deliver(receiver, sender, data) for receiver, sender, data in sent]

    def _deliver(self, receiver: str, sender: str, data: bytes):
        started = time.process_time()
        message = decode(data)
        self.spent[receiver] += time.process_time() - started
        return receiver, Received(sender, message)

    def _step(self, name: str, event) -> list[Send]:
        sends = []
        waiting = [event]
        while waiting:
            effects = step(self.replicas[name], waiting.pop(0), self.now, self.rng)
            sends += [effect for effect in effects if isinstance(effect, Send)]
            waiting += [
                Persisted(effect.token)
                for effect in effects
                if isinstance(effect, (Persist, SaveSnapshot))
            ]
        return sends

    def tick(self) -> None:
        """Let a tick pass at every replica."""
        self.now += _TICK_S
        for name in self.replicas:
            self.feed(name, Tick())

    def elect(self) -> str:
        """Tick until a leader is known and return it."""
        for _ in range(_ELECTION_TICKS):
            self.tick()
            leaders = [name for name, replica in self.replicas.items() if replica.is_leader]
            if leaders:
                for _ in range(10):
                    self.tick()
                return leaders[0]
        raise AssertionError("no leader")


def measure_proposals() -> dict[str, Slope]:
    """Measure leader and follower over growing entries, messages as bytes included."""
    leader_us, follower_us = [], []
    for size in ENTRY_BYTES:
        cluster = Cluster(VOTERS)
        leader = cluster.elect()
        cluster.spent = dict.fromkeys(cluster.spent, 0.0)
        for number in range(PROPOSALS):
            cluster.feed(leader, Propose(number + 1, b"x" * size))
        spent = cluster.spent.pop(leader)
        leader_us.append((size, spent / PROPOSALS * MICROSECONDS))
        others = sum(cluster.spent.values()) / len(cluster.spent)
        follower_us.append((size, others / PROPOSALS * MICROSECONDS))
    return {
        "leader_proposal_us": fit(
            f"Leader's time for a proposal, {VOTERS} voters", "us", "byte of the entry", leader_us
        ),
        "follower_proposal_us": fit(
            "Follower's time for a proposal", "us", "byte of the entry", follower_us
        ),
    }


def measure_idle_log() -> dict[str, float]:
    """Measure what a second without proposals costs leader and follower."""
    cluster = Cluster(VOTERS)
    leader = cluster.elect()
    cluster.spent = dict.fromkeys(cluster.spent, 0.0)
    seconds = 10.0
    for _ in range(round(seconds / _TICK_S)):
        cluster.tick()
    spent = cluster.spent.pop(leader)
    others = sum(cluster.spent.values()) / len(cluster.spent)
    return {
        "leader_idle_us_per_s": spent / seconds * MICROSECONDS,
        "follower_idle_us_per_s": others / seconds * MICROSECONDS,
    }


def measure_log() -> dict[str, Slope]:
    """Measure the memory of log entries."""
    weights = []
    for count in LOG_SIZES:
        _, size = weigh(lambda count=count: [Entry(i, 7, bytes(512)) for i in range(1, count)])
        weights.append((count, size))
    return {"log_entry_bytes": fit("Memory of log entries of 512 bytes", "bytes", "entry", weights)}
