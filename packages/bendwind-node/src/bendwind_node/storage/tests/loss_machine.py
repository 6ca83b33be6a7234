"""Drive a fake cluster by faults of disks, power, links and processes, and by changes of voters."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_node.storage.store import open_store
from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster, Oracle
from bendwind_node.storage.tests.fake_files import CrashError

WHICH = st.integers(0, 4)
TICKS = st.integers(0, 20)
# Some are longer than the silence after which a voter is replaced, and some are not.
LONG_TICKS = st.integers(0, 120)
DISK_SPEEDS = st.sampled_from([0.0, 0.05, 0.3, 0.8, 1.0])
ORDERS = st.sampled_from(["oldest", "newest", "leader", "fullest followers"])
SEEDS = 3
REPLACED_TICKS = 200
# A reply may be under way from a disk that is lost meanwhile.
REPLY_S = 1.0
CHECKED_SHARE = 0.2


class CopiesOracle(Oracle):
    """Look, besides, whether what is acknowledged is synced on the disks of a quorum of voters."""

    def __init__(self, cluster):
        super().__init__()
        self.cluster = cluster
        self.disk_lost_at = 0.0

    def accept(self, index, command):
        super().accept(index, command)
        is_calm = self.cluster.time - self.disk_lost_at > REPLY_S
        if is_calm and self.cluster.rng.random() < CHECKED_SHARE:
            self.check_copies(index)

    def check_copies(self, index):
        leader = self.cluster.leaders()[-1]
        sets = [at.voters for at in leader.replica.configurations[-2:]]
        members = self.cluster.members.values()
        holders = {
            member.store.identity.voter_id for member in members if is_held(member.files, index)
        }
        assert any(voters.is_quorum(holders) for voters in sets), f"{index} is held by {holders}"


def is_held(files, index):
    """Tell whether a folder holds an entry though all that was not synced is lost."""
    opened = open_store(files.copy_synced())
    assert opened.is_ok(), opened
    recovered = opened.ok.recovered
    return any(entry.index == index for entry in recovered.entries) or (
        recovered.snapshot.index >= index
    )


class LossMachine(RuleBasedStateMachine):
    """Lose disks of as many voters as must be borne; oracle: what was acknowledged is all there."""

    size = 5
    borne = 1

    @initialize(seed=st.integers(0, 2**32))
    def form(self, seed):
        settings = msgspec.structs.replace(SETTINGS, open_to=self.size, batch_entries=6)
        self.cluster = FakeCluster(self.size, seed, settings)
        self.cluster.oracle = CopiesOracle(self.cluster)
        self.cluster.settle()
        # What starts from now on joins, and asks some of those that are there at the time.
        self.cluster.settings = msgspec.structs.replace(settings, may_form=False)
        self.added = 0
        self.unproven = {}
        self.disks_lost = 0

    def list_seeds(self):
        self.cluster.listed = tuple(self.cluster.rng.sample(self.cluster.names, SEEDS))

    def name(self, which):
        return self.cluster.names[which % len(self.cluster.names)]

    def member(self, which):
        return self.cluster.members[self.name(which)]

    def lost(self):
        """Count the disks that were lost and whose successors do not yet hold what they held.

        A voter that is only down, or was taken out though its disk is in place, is no loss.
        """
        members = self.cluster.members
        for name, floor in list(self.unproven.items()):
            replica = members[name].replica if name in members else None
            if name not in members or (replica and replica.durable_index >= floor):
                del self.unproven[name]
        proven = [member for name, member in members.items() if name not in self.unproven]
        present = {member.store.identity.voter_id for member in proven}
        halves = self.cluster.oracle.voters[1].list_quorum_groups()
        held = [len({voter.voter_id for voter in half} & present) for half in halves]
        missing = self.size - min(held)
        self.disks_lost = min(self.disks_lost, missing)
        return self.disks_lost

    def lose_disk(self, name):
        self.disks_lost = self.lost() + 1
        self.unproven[name] = max(self.cluster.oracle.accepted, default=0)
        self.cluster.oracle.disk_lost_at = self.cluster.time
        self.cluster.replace_disk(name)

    def choose_disks(self, count, order):
        """Name the members whose disks are lost: as many as may still be, and no more."""
        count = max(0, min(count, self.borne - self.lost()))
        members = self.cluster.members.values()
        names = {member.store.identity.voter_id: member.name for member in members}
        ids = [voter.voter_id for voter in self.cluster.oracle.voters[1].voting_members]
        listed = [names[voter_id] for voter_id in ids if voter_id in names]
        leaders = [member.name for member in self.cluster.leaders()[-1:]]
        if order == "newest":
            listed.reverse()
        if order == "leader":
            listed.sort(key=lambda name: name not in leaders)
        if order == "fullest followers":
            listed.sort(key=lambda name: (name in leaders, -self.held(name)))
        return listed[:count]

    def held(self, name):
        replica = self.cluster.members[name].replica
        return replica.durable_index if replica else 0

    @rule(ticks=LONG_TICKS)
    def run_on(self, ticks):
        self.cluster.run(ticks)

    @rule(count=st.integers(1, 8), ticks=st.integers(0, 4))
    def propose(self, count, ticks):
        for _ in range(count):
            for name in self.cluster.names:
                self.cluster.propose(name)
            self.cluster.run(ticks)

    @rule(which=WHICH, speed=DISK_SPEEDS)
    def slow_or_stall_disk(self, which, speed):
        self.member(which).disk_speed = speed

    @rule(which=WHICH, operations=st.integers(0, 12), is_error=st.booleans())
    def fail_disk_soon(self, which, operations, is_error):
        files = self.member(which).files
        files.budget = operations
        files.failure = OSError(28, "No space left on device") if is_error else CrashError()

    @rule(cut=st.sets(WHICH, max_size=3))
    def cut_in_two(self, cut):
        self.cluster.cut = {self.name(which) for which in cut}

    @rule(pairs=st.sets(st.tuples(WHICH, WHICH), max_size=6))
    def cut_one_way(self, pairs):
        self.cluster.cut_one_way = {(self.name(one), self.name(other)) for one, other in pairs}

    @rule(loss=st.sampled_from([0.0, 0.05, 0.3]))
    def lose_messages(self, loss):
        self.cluster.loss = loss

    @rule(which=WHICH)
    def stand_still(self, which):
        self.cluster.still.setdefault(self.name(which), [])

    @rule(which=WHICH)
    def go_on(self, which):
        self.cluster.go_on(self.name(which))

    @rule(which=WHICH)
    def kill(self, which):
        if self.member(which).replica:
            self.member(which).crash()

    @rule(which=WHICH)
    def start(self, which):
        if self.member(which).replica is None:
            self.member(which).start()

    @rule()
    def lose_power_of_all(self):
        for member in self.cluster.members.values():
            member.lose_power()
        for member in self.cluster.members.values():
            member.start()

    @rule(which=WHICH, ticks=LONG_TICKS, is_successor_first=st.booleans())
    def replace_for_good(self, which, ticks, is_successor_first):
        """Remove a machine and add one of another name, before or after."""
        if not self.choose_disks(1, "oldest"):
            return
        former = self.name(which)
        self.disks_lost = self.lost() + 1
        self.list_seeds()
        self.cluster.oracle.disk_lost_at = self.cluster.time
        successor = self.name_newcomer()
        if is_successor_first:
            self.cluster.join(successor)
            self.cluster.run(ticks)
            self.cluster.oracle.disk_lost_at = self.cluster.time
            self.cluster.lose(former)
            return
        self.cluster.lose(former)
        self.cluster.run(ticks)
        self.list_seeds()
        self.cluster.join(successor)

    def name_newcomer(self):
        self.added += 1
        return f"x{self.added}"

    @rule(
        which=WHICH,
        is_committed=st.booleans(),
        ticks=st.sampled_from([0, 0, 1, 2, 4]),
        changes=st.sampled_from([0, 0, 1, 3]),
        count=st.sampled_from([2, 2, 1, 0]),
        order=ORDERS,
        is_power_lost=st.booleans(),
    )
    def lose_disks_while_a_voter_that_is_down_is_replaced(
        self, which, is_committed, ticks, changes, count, order, is_power_lost
    ):
        """End a voter, let whoever waits take its place, and bring a fault about on the way."""
        self.cluster.settle()
        voters = self.cluster.oracle.voters[1].voters
        down = self.cluster.members[voters[which % self.size].name]
        down.crash()
        if len(self.cluster.names) == self.size:
            self.list_seeds()
            self.cluster.join(self.name_newcomer())
        self.run_to_change(down.store.identity.voter_id, is_committed)
        self.cluster.run(ticks)
        self.final_fault(changes, 0, count, order, is_power_lost, False)

    def run_to_change(self, voter_id, is_committed):
        """Run until a log holds, or commits, a set that a voter has left or is leaving."""
        for _ in range(REPLACED_TICKS):
            replicas = [m.replica for m in self.cluster.members.values() if m.replica]
            sets = [each.committed_voters if is_committed else each.voters for each in replicas]
            staying = [[voter.voter_id for voter in each.voters] for each in sets]
            if any(ids and voter_id not in ids for ids in staying):
                return
            self.cluster.run(1)

    @rule(count=st.integers(1, 2), order=ORDERS)
    def lose_disks(self, count, order):
        self.list_seeds()
        for name in self.choose_disks(count, order):
            self.lose_disk(name)

    @rule(
        changes=st.integers(0, 4),
        ticks=TICKS,
        count=st.integers(0, 2),
        order=ORDERS,
        is_power_lost=st.booleans(),
        is_leader_stalled=st.booleans(),
    )
    def final_fault(self, changes, ticks, count, order, is_power_lost, is_leader_stalled):
        """Send changes, lose disks soon after, end all others at that moment, and look."""
        for leader in self.cluster.leaders():
            leader.disk_speed = 0.0 if is_leader_stalled else leader.disk_speed
        for _ in range(changes):
            for name in self.cluster.names:
                self.cluster.propose(name)
            self.cluster.run(1)
        self.cluster.run(ticks)
        chosen = self.choose_disks(count, order)
        for name, member in self.cluster.members.items():
            if is_power_lost and name not in chosen:
                member.lose_power()
        self.list_seeds()
        for name in chosen:
            self.lose_disk(name)
        self.cluster.settle()

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.settle()
