"""Run replicas on fake disks and a lossy network in one thread, and judge what they apply."""

import collections
import random

import cbor2
import msgspec

from bendwind_core.consensus import (
    Apply,
    BarrierDone,
    BarrierFailed,
    BarrierRequested,
    Committed,
    IdentityRenewed,
    InstallSnapshot,
    LeaderChanged,
    Persist,
    Persisted,
    ProposalDone,
    Propose,
    Received,
    RemoveVoter,
    ReplicaSettings,
    SaveSnapshot,
    SelfRemoved,
    Send,
    SnapshotTaken,
    TakeSnapshot,
    Tick,
    Voter,
    VotersChanged,
    create_replica,
    step,
)
from bendwind_node.storage.errors import DiskFailed
from bendwind_node.storage.store import open_store
from bendwind_node.storage.tests.fake_files import CrashError, FakeFiles

TICK_S = 0.02
SETTINGS = ReplicaSettings(
    heartbeat_s=0.04,
    election_s=0.2,
    barrier_s=1.0,
    batch_entries=3,
    chunk_bytes=512,
    snapshot_entries=6,
    kept_entries=2,
)

OPEN_TO_FIVE = msgspec.structs.replace(SETTINGS, open_to=5)


class Oracle:
    """Remember what was committed, and refuse anything that contradicts it."""

    def __init__(self):
        self.log = {}
        self.accepted = {}
        self.leaders = {}
        self.floor = 0
        self.voters = None

    def commit(self, entry):
        known = self.log.setdefault(entry.index, (entry.term, entry.command))
        assert known == (entry.term, entry.command), f"index {entry.index} reverted from {known}"
        self.floor = max(self.floor, entry.index)

    def accept(self, index, command):
        assert self.log[index][1] == command, f"accepted {command} is not at {index}"
        self.accepted[index] = command

    def lead(self, term, voter):
        known = self.leaders.setdefault(term, voter)
        assert known == voter, f"two leaders of term {term}: {known} and {voter}"

    def commands(self, index):
        return [self.log[at] for at in range(1, index + 1)]


class Member:
    """Hold one process: its replica, store and state machine, or nothing while it is down."""

    def __init__(self, name, cluster):
        self.name = name
        self.cluster = cluster
        self.files = FakeFiles(cluster.rng)
        self.skew = cluster.rng.uniform(0.5, 2.0)
        self.disk_speed = 0.8
        self.offset = cluster.rng.uniform(0, 1000)
        self.replica = None
        self.retired = []
        self.removals = {}

    def now(self):
        return self.offset + self.cluster.time * self.skew

    def change_skew(self, skew):
        """Let the clock run at another pace from now on."""
        self.offset += self.cluster.time * (self.skew - skew)
        self.skew = skew

    def open(self):
        """Open the store, over again when the disk fails at that too."""
        while True:
            try:
                opened = open_store(self.files, segment_bytes=200)
            except CrashError:
                opened = None
            if opened is not None and opened.is_ok():
                return opened
            assert opened is None or isinstance(opened.error, DiskFailed), opened
            self.files.crash()

    def start(self):
        opened = self.open()
        self.store = opened.ok.store
        found = opened.ok.recovered
        self.replica = create_replica(
            Voter(self.name, self.store.identity.voter_id),
            self.cluster.listed,
            self.cluster.settings,
            self.now(),
            self.cluster.rng,
            hard_state=found.hard_state,
            snapshot=found.snapshot,
            entries=tuple(found.entries),
        )
        self.applied = 0
        self.state = []
        self.writes = []
        self.events = collections.deque()
        self.proposed = {}
        self.floors = {}
        if found.snapshot.index:
            self.restore(found.snapshot.index, found.snapshot.data)

    def restore(self, index, data):
        self.state = [tuple(item) for item in cbor2.loads(data)]
        self.applied = index
        assert self.state == self.cluster.oracle.commands(index), "snapshot differs"

    def crash(self):
        self.replica = None
        self.files.crash()

    def lose_power(self):
        self.replica = None
        self.files.lose_power()

    def handle(self, event):
        """Take an event, and then those that it causes here, as the voter's task does."""
        self.events.append(event)
        while self.events and self.replica is not None:
            effects = step(self.replica, self.events.popleft(), self.now(), self.cluster.rng)
            for effect in effects:
                if self.replica is not None:
                    self.carry_out(effect)

    def carry_out(self, effect):
        oracle = self.cluster.oracle
        match effect:
            case Send():
                self.cluster.network.append((self.name, effect.to, effect.message))
            case Persist() | SaveSnapshot():
                self.writes.append(effect)
            case Apply(entries=entries):
                for entry in entries:
                    assert entry.index == self.applied + 1, "gap in what is applied"
                    oracle.commit(entry)
                    self.applied = entry.index
                    self.state.append((entry.term, entry.command))
            case TakeSnapshot(index=index):
                self.events.append(SnapshotTaken(index, cbor2.dumps(self.state)))
            case InstallSnapshot(index=index, data=data):
                assert index > self.applied, "snapshot older than what is applied"
                self.restore(index, data)
            case ProposalDone(request_id=request_id, outcome=outcome) if (
                request_id in self.removals
            ):
                self.removals[request_id] = outcome
            case ProposalDone(request_id=request_id, outcome=outcome):
                command = self.proposed.pop(request_id)
                if isinstance(outcome, Committed):
                    oracle.accept(outcome.index, command)
            case BarrierDone():
                floor = self.floors.pop(effect.request_id)
                assert effect.index >= floor, f"barrier {effect.index} is older than {floor}"
                assert self.applied >= effect.index, "barrier ended before it was applied"
            case BarrierFailed():
                self.floors.pop(effect.request_id)
            case VotersChanged(index=index, voters=voters):
                if oracle.voters is None or index > oracle.voters[0]:
                    oracle.voters = (index, voters)
            case SelfRemoved() if self.cluster.settings.open_to:
                self.renew_identity()
            case LeaderChanged(leader=leader) if leader == self.replica.voter:
                oracle.lead(effect.term, leader)

    def renew_identity(self):
        """Take a new identity; a disk that refuses it ends the process, which asks again later."""
        try:
            renewed = self.store.renew_identity()
        except CrashError:
            self.crash()
            return
        if renewed.is_error():
            self.crash()
            return
        self.events.append(IdentityRenewed(Voter(self.name, renewed.ok)))

    def write(self):
        """Write some of what is requested; a fault in the middle ends the process."""
        count = self.cluster.rng.randint(1, len(self.writes))
        batch, self.writes = self.writes[:count], self.writes[count:]
        try:
            written = self.store.write(batch)
        except CrashError:
            self.crash()
            return
        if written.is_error():
            self.crash()
            return
        self.handle(Persisted(written.ok))


class FakeCluster:
    """Own the members, the messages between them and the time."""

    def __init__(self, size, seed, settings=SETTINGS):
        self.rng = random.Random(seed)
        self.names = tuple("abcde"[:size])
        self.listed = self.names
        self.settings = settings
        self.time = 0.0
        self.network = []
        self.oracle = Oracle()
        self.cut = set()
        self.cut_one_way = set()
        self.still = {}
        self.read_by = {}
        self.loss = 0.0
        self.request = 0
        self.members = {name: Member(name, self) for name in self.names}
        for member in self.members.values():
            member.start()

    def join(self, name):
        """Start a member that no settings list; it knows the listed ones."""
        self.names = (*self.names, name)
        self.members[name] = Member(name, self)
        self.members[name].start()

    def lose(self, name):
        """Take a member away for good."""
        self.names = tuple(kept for kept in self.names if kept != name)
        self.members[name].replica = None
        del self.members[name]

    def voter_names(self):
        """Return the names of all whose votes count in the newest committed voter set."""
        return {voter.name for voter in self.oracle.voters[1].voting_members}

    def run(self, ticks):
        for _ in range(ticks):
            self.time += TICK_S
            for member in self.members.values():
                if member.name in self.still:
                    continue
                member.handle(Tick())
                if member.replica and member.writes and self.rng.random() < member.disk_speed:
                    member.write()
            self.deliver()

    def run_busy(self, ticks):
        """Run with a proposal and now and then a barrier on everyone."""
        for _ in range(ticks):
            self.run(1)
            for name in self.names:
                self.propose(name)
                if self.rng.random() < 0.2:
                    self.barrier(name)

    def leaders(self):
        """List who leads, the one of the newest term last."""
        members = [member for member in self.members.values() if member.replica]
        found = [member for member in members if member.replica.is_leader]
        return sorted(found, key=lambda member: member.replica.hard_state.term)

    def run_to_new_leader(self):
        """Run until someone leads a term that nobody led before, and return its name."""
        newest = max(self.oracle.leaders, default=0)
        for _ in range(80):
            found = self.leaders()
            if found and found[-1].replica.hard_state.term > newest:
                return found[-1].name
            self.run(1)
        return None

    def deliver(self):
        """Deliver most messages in random order; lose, keep back or repeat the others."""
        pending, self.network = self.network, []
        self.rng.shuffle(pending)
        for message in pending:
            sender, to, content = message
            if (sender in self.cut) != (to in self.cut) or self.rng.random() < self.loss:
                continue
            if (sender, to) in self.cut_one_way:
                continue
            if to in self.still:
                self.still[to].append(message)
                continue
            if self.rng.random() < self.loss + 0.1:
                self.network.append(message)
                if self.rng.random() < 0.5:
                    continue
            if to in self.members:
                read = self.read_by.get(to, lambda message: message)
                self.members[to].handle(Received(sender, read(content)))

    def go_on(self, name):
        """Let a process that stood still go on, with all that was sent to it in order."""
        for sender, to, content in self.still.pop(name, ()):
            if to in self.members:
                self.members[to].handle(Received(sender, content))

    def propose(self, name):
        member = self.members[name]
        self.request += 1
        if member.replica:
            member.proposed[self.request] = b"%d" % self.request
            member.handle(Propose(self.request, b"%d" % self.request))

    def remove_voter(self, leader, name):
        """Ask a leader to remove a voter, and return the request's id."""
        member = self.members[leader]
        self.request += 1
        member.removals[self.request] = None
        member.handle(RemoveVoter(self.request, name))
        return self.request

    def barrier(self, name):
        member = self.members[name]
        self.request += 1
        if member.replica:
            member.floors[self.request] = self.oracle.floor
            member.handle(BarrierRequested(self.request))

    def is_whole(self):
        """Tell whether the committed voters are disks in place, as many as there may be."""
        if self.oracle.voters is None:
            return False
        present = {member.store.identity.voter_id for member in self.members.values()}
        voting = {voter.voter_id for voter in self.oracle.voters[1].voting_members}
        limit = self.settings.open_to or len(present)
        is_settled = not self.oracle.voters[1].is_joint
        return is_settled and voting <= present and len(voting) == min(limit, len(present))

    def replace_disk(self, name):
        """Lose a disk that the others can do without, and start on an empty one."""
        member = self.members[name]
        member.replica = None
        member.retired.append(member.files)
        member.files = FakeFiles(self.rng)
        member.start()

    def swap_disk(self, name, ticks):
        """Start the process on its former disk for a while, then on its present one."""
        member = self.members[name]
        present = member.files
        for files in (member.retired[-1], present):
            if member.replica:
                member.crash()
            member.files = files
            member.start()
            self.run_busy(ticks)

    def heal(self):
        self.cut.clear()
        self.cut_one_way.clear()
        for name in list(self.still):
            self.go_on(name)
        self.loss = 0.0
        for member in self.members.values():
            member.files.budget = None
            member.disk_speed = 0.8
            if member.replica is None:
                member.start()

    def is_settled(self):
        members = list(self.members.values())
        newest = max(self.oracle.accepted, default=0)
        return (
            self.is_whole()
            and any(member.replica.is_leader for member in members)
            and len({member.applied for member in members}) == 1
            and members[0].applied >= newest
        )

    def settle(self):
        """Heal all and run until everyone holds the same log with all that was accepted."""
        self.heal()
        accepted = len(self.oracle.accepted)
        for _ in range(100):
            self.run(10)
            self.heal()
            for name in self.names:
                self.propose(name)
            self.run(20)
            if len(self.oracle.accepted) > accepted and self.is_settled():
                break
        else:
            raise AssertionError(f"no progress after healing: {self.describe()}")
        for member in self.members.values():
            assert member.state == self.oracle.commands(member.applied)
            held = {command for _, command in member.state}
            assert held >= set(self.oracle.accepted.values()), "an accepted command is lost"

    def describe(self):
        return [
            (
                member.name,
                str(member.replica.role),
                member.replica.hard_state.term,
                member.replica.commit,
                member.applied,
                member.replica.voters,
            )
            for member in self.members.values()
            if member.replica
        ]


def form(seed, size=5, settings=OPEN_TO_FIVE):
    """Make a cluster that has formed and forms no other; disks write at once."""
    cluster = FakeCluster(size, seed, settings)
    cluster.settle()
    cluster.settings = msgspec.structs.replace(settings, may_form=False)
    for member in cluster.members.values():
        member.disk_speed = 1.0
    return cluster
