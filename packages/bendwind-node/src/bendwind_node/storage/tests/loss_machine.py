"""Test a fake cluster with disk, power, link and process faults and with voter changes."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_node.storage.store import open_store
from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster, Oracle
from bendwind_node.storage.tests.fake_files import CrashError

MEMBER_NUMBERS = st.integers(0, 4)
TICKS = st.integers(0, 20)
# The range includes times shorter and longer than the silence after which a voter is replaced.
LONG_TICKS = st.integers(0, 120)
DISK_SPEEDS = st.sampled_from([0.0, 0.05, 0.3, 0.8, 1.0])
ORDERS = st.sampled_from(["oldest", "newest", "leader", "fullest followers"])
CONTACT_COUNT = 3
REPLACEMENT_TICKS = 200
# During this time after a disk loss, a reply may still arrive that the lost disk has sent.
REPLY_DELAY_S = 1.0
CHECKED_SHARE = 0.2


class DurabilityOracle(Oracle):
    """Check in addition that acknowledged entries are synced on the disks of a voter quorum."""

    def __init__(self, cluster):
        super().__init__()
        self.cluster = cluster
        self.disk_lost_at = 0.0

    def record_acknowledged(self, index, command):
        super().record_acknowledged(index, command)
        is_after_replies = self.cluster.time - self.disk_lost_at > REPLY_DELAY_S
        if is_after_replies and self.cluster.rng.random() < CHECKED_SHARE:
            self.check_durable_copies(index)

    def check_durable_copies(self, index):
        leader = self.cluster.list_leaders()[-1]
        sets = [at.voters for at in leader.replica.configurations[-2:]]
        members = self.cluster.members.values()
        holders = {
            member.store.identity.voter_id for member in members if is_durable(member.files, index)
        }
        assert any(
            voters.is_quorum(holders) for voters in sets
        ), f"{index} is durable only on {holders}"


def is_durable(files, index):
    """Return whether a folder still contains an entry after the loss of all unsynced data."""
    opened = open_store(files.copy_synced())
    assert opened.is_ok(), opened
    recovered = opened.ok.recovered
    return any(entry.index == index for entry in recovered.entries) or (
        recovered.snapshot.index >= index
    )


class LossMachine(RuleBasedStateMachine):
    """Lose as many disks as the cluster must tolerate; oracle: no acknowledged command is lost."""

    size = 5
    tolerated_losses = 1

    @initialize(seed=st.integers(0, 2**32))
    def form_cluster(self, seed):
        settings = msgspec.structs.replace(SETTINGS, open_to=self.size, batch_entries=6)
        self.cluster = FakeCluster(self.size, seed, settings)
        self.cluster.oracle = DurabilityOracle(self.cluster)
        self.cluster.settle()
        # Members that start from now on join the cluster, and contact some of the members that
        # exist at that time.
        self.cluster.settings = msgspec.structs.replace(settings, may_form=False)
        self.newcomer_count = 0
        self.recovering = {}
        self.lost_disk_count = 0

    def choose_contacts(self):
        self.cluster.listed_names = tuple(
            self.cluster.rng.sample(self.cluster.names, CONTACT_COUNT)
        )

    def find_name(self, member_number):
        return self.cluster.names[member_number % len(self.cluster.names)]

    def find_member(self, member_number):
        return self.cluster.members[self.find_name(member_number)]

    def count_lost_disks(self):
        """Count the lost disks whose successors do not yet hold the data of the lost disk.

        A voter that is only down is not a loss, nor is one that was removed while its disk is
        still present.
        """
        members = self.cluster.members
        for name, required_index in list(self.recovering.items()):
            replica = members[name].replica if name in members else None
            if name not in members or (replica and replica.durable_index >= required_index):
                del self.recovering[name]
        complete_members = [
            member for name, member in members.items() if name not in self.recovering
        ]
        present = {member.store.identity.voter_id for member in complete_members}
        quorum_groups = self.cluster.oracle.voters[1].list_quorum_groups()
        present_counts = [
            len({voter.voter_id for voter in group} & present) for group in quorum_groups
        ]
        missing = self.size - min(present_counts)
        self.lost_disk_count = min(self.lost_disk_count, missing)
        return self.lost_disk_count

    def lose_disk(self, name):
        self.lost_disk_count = self.count_lost_disks() + 1
        self.recovering[name] = max(self.cluster.oracle.acknowledged, default=0)
        self.cluster.oracle.disk_lost_at = self.cluster.time
        self.cluster.replace_disk(name)

    def choose_disks(self, count, order):
        """Choose members whose disks are to be lost, up to the number that is still tolerated."""
        count = max(0, min(count, self.tolerated_losses - self.count_lost_disks()))
        members = self.cluster.members.values()
        names = {member.store.identity.voter_id: member.name for member in members}
        ids = [voter.voter_id for voter in self.cluster.oracle.voters[1].voting_members]
        listed = [names[voter_id] for voter_id in ids if voter_id in names]
        leaders = [member.name for member in self.cluster.list_leaders()[-1:]]
        if order == "newest":
            listed.reverse()
        if order == "leader":
            listed.sort(key=lambda name: name not in leaders)
        if order == "fullest followers":
            listed.sort(key=lambda name: (name in leaders, -self.find_durable_index(name)))
        return listed[:count]

    def find_durable_index(self, name):
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

    @rule(member_number=MEMBER_NUMBERS, speed=DISK_SPEEDS)
    def change_disk_speed(self, member_number, speed):
        self.find_member(member_number).disk_speed = speed

    @rule(member_number=MEMBER_NUMBERS, operations=st.integers(0, 12), is_error=st.booleans())
    def fail_disk_after_operations(self, member_number, operations, is_error):
        files = self.find_member(member_number).files
        files.operations_left = operations
        files.failure = OSError(28, "No space left on device") if is_error else CrashError()

    @rule(partition=st.sets(MEMBER_NUMBERS, max_size=3))
    def partition_network(self, partition):
        self.cluster.partition = {self.find_name(member_number) for member_number in partition}

    @rule(pairs=st.sets(st.tuples(MEMBER_NUMBERS, MEMBER_NUMBERS), max_size=6))
    def block_links(self, pairs):
        self.cluster.blocked_links = {
            (self.find_name(one), self.find_name(other)) for one, other in pairs
        }

    @rule(loss_rate=st.sampled_from([0.0, 0.05, 0.3]))
    def lose_messages(self, loss_rate):
        self.cluster.loss_rate = loss_rate

    @rule(member_number=MEMBER_NUMBERS)
    def pause(self, member_number):
        self.cluster.paused.setdefault(self.find_name(member_number), [])

    @rule(member_number=MEMBER_NUMBERS)
    def resume(self, member_number):
        self.cluster.resume(self.find_name(member_number))

    @rule(member_number=MEMBER_NUMBERS)
    def kill(self, member_number):
        if self.find_member(member_number).replica:
            self.find_member(member_number).crash()

    @rule(member_number=MEMBER_NUMBERS)
    def start(self, member_number):
        if self.find_member(member_number).replica is None:
            self.find_member(member_number).start()

    @rule()
    def lose_power_of_all(self):
        for member in self.cluster.members.values():
            member.lose_power()
        for member in self.cluster.members.values():
            member.start()

    @rule(member_number=MEMBER_NUMBERS, ticks=LONG_TICKS, is_successor_first=st.booleans())
    def replace_machine(self, member_number, ticks, is_successor_first):
        """Replace a machine by one of another name, which joins before or after the removal."""
        if not self.choose_disks(1, "oldest"):
            return
        former = self.find_name(member_number)
        self.lost_disk_count = self.count_lost_disks() + 1
        self.choose_contacts()
        self.cluster.oracle.disk_lost_at = self.cluster.time
        successor = self.create_newcomer_name()
        if is_successor_first:
            self.cluster.add_member(successor)
            self.cluster.run(ticks)
            self.cluster.oracle.disk_lost_at = self.cluster.time
            self.cluster.remove_member(former)
            return
        self.cluster.remove_member(former)
        self.cluster.run(ticks)
        self.choose_contacts()
        self.cluster.add_member(successor)

    def create_newcomer_name(self):
        self.newcomer_count += 1
        return f"x{self.newcomer_count}"

    @rule(
        member_number=MEMBER_NUMBERS,
        is_committed=st.booleans(),
        ticks=st.sampled_from([0, 0, 1, 2, 4]),
        changes=st.sampled_from([0, 0, 1, 3]),
        count=st.sampled_from([2, 2, 1, 0]),
        order=ORDERS,
        is_power_lost=st.booleans(),
    )
    def lose_disks_while_stopped_voter_is_replaced(
        self, member_number, is_committed, ticks, changes, count, order, is_power_lost
    ):
        """Stop a voter, and inject a fault while a waiting member replaces it."""
        self.cluster.settle()
        voters = self.cluster.oracle.voters[1].voters
        down = self.cluster.members[voters[member_number % self.size].name]
        down.crash()
        if len(self.cluster.names) == self.size:
            self.choose_contacts()
            self.cluster.add_member(self.create_newcomer_name())
        self.run_until_voter_leaves(down.store.identity.voter_id, is_committed)
        self.cluster.run(ticks)
        self.lose_disks_and_power_after_proposals(changes, 0, count, order, is_power_lost, False)

    def run_until_voter_leaves(self, voter_id, is_committed):
        """Run until a log has (or has committed) a voter set that the voter leaves or has left."""
        for _ in range(REPLACEMENT_TICKS):
            replicas = [m.replica for m in self.cluster.members.values() if m.replica]
            sets = [each.committed_voters if is_committed else each.voters for each in replicas]
            staying = [[voter.voter_id for voter in each.voters] for each in sets]
            if any(ids and voter_id not in ids for ids in staying):
                return
            self.cluster.run(1)

    @rule(count=st.integers(1, 2), order=ORDERS)
    def lose_disks(self, count, order):
        self.choose_contacts()
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
    def lose_disks_and_power_after_proposals(
        self, changes, ticks, count, order, is_power_lost, is_leader_stalled
    ):
        """Propose changes, lose disks soon after, and check the result.

        The members that keep their disks may lose power at the same moment.
        """
        for leader in self.cluster.list_leaders():
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
        self.choose_contacts()
        for name in chosen:
            self.lose_disk(name)
        self.cluster.settle()

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.settle()
