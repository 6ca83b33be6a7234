"""Test a fake cluster with random rules."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.consensus import TransferLeadership
from bendwind_node.storage.tests.fake_cluster import FakeCluster
from bendwind_node.storage.tests.fake_files import CrashError

MEMBER_NUMBERS = st.integers(0, 4)


class ClusterMachine(RuleBasedStateMachine):
    """Commit changes under faults; oracle: no acknowledged one is lost, reverted or reordered."""

    size = 3

    @initialize(seed=st.integers(0, 2**32), is_formed=st.booleans())
    def create_cluster(self, seed, is_formed):
        self.cluster = FakeCluster(self.size, seed)
        if is_formed:
            self.cluster.settle()

    def find_name(self, member_number):
        return self.cluster.names[member_number % self.size]

    @rule(ticks=st.integers(1, 60))
    def run_on(self, ticks):
        self.cluster.run(ticks)

    @rule(count=st.integers(1, 8), ticks=st.integers(0, 10))
    def propose(self, count, ticks):
        for _ in range(count):
            for name in self.cluster.names:
                self.cluster.propose(name)
            self.cluster.run(ticks)

    @rule(member_number=MEMBER_NUMBERS, ticks=st.integers(0, 10))
    def request_barrier(self, member_number, ticks):
        self.cluster.request_barrier(self.find_name(member_number))
        self.cluster.run(ticks)

    @rule(member_number=MEMBER_NUMBERS, speed=st.sampled_from([0.05, 0.3, 0.8]))
    def change_disk_speed(self, member_number, speed):
        self.cluster.members[self.find_name(member_number)].disk_speed = speed

    @rule(
        delays=st.lists(
            st.tuples(st.sampled_from([0, 0, 1, 3, 6, 7, 8]), st.sampled_from([0, 1, 8])),
            min_size=3,
            max_size=5,
        ),
        is_alone=st.booleans(),
    )
    def isolate_each_new_leader(self, delays, is_alone):
        """Isolate each new leader with proposals that only it, or one other member too, holds."""
        self.cluster.partition.clear()
        self.cluster.run(20)
        found = self.cluster.list_leaders()
        leader = found[-1].name if found else None
        for ticks, count in delays:
            if leader is not None:
                self.cluster.run(ticks)
                for name in self.cluster.names:
                    self.cluster.request_barrier(name)
                other = self.cluster.rng.choice(self.cluster.names)
                self.cluster.partition = {leader} if is_alone else {leader, other}
                for _ in range(count):
                    self.cluster.propose(leader)
                self.cluster.run(3)
            leader = self.cluster.run_until_new_leader()

    @rule(
        member_number=MEMBER_NUMBERS,
        next_isolated=MEMBER_NUMBERS,
        ticks=st.integers(1, 12),
        is_killed=st.booleans(),
    )
    def move_quorum(self, member_number, next_isolated, ticks, is_killed):
        """Commit without one member, and continue with that member but without another one.

        The other members may be killed and restarted in between.
        """
        self.cluster.partition = {self.find_name(member_number)}
        self.cluster.run(40)
        self.cluster.run_with_requests(ticks)
        self.cluster.partition = {self.find_name(next_isolated)}
        for name, member in self.cluster.members.items():
            if is_killed and member.replica and name != self.find_name(member_number):
                member.crash()
                member.start()
        self.cluster.run_with_requests(60)

    @rule(member_number=MEMBER_NUMBERS)
    def kill(self, member_number):
        member = self.cluster.members[self.find_name(member_number)]
        if member.replica:
            member.crash()

    @rule(member_number=MEMBER_NUMBERS)
    def start(self, member_number):
        member = self.cluster.members[self.find_name(member_number)]
        if member.replica is None:
            member.start()

    @rule(member_number=MEMBER_NUMBERS, operations=st.integers(0, 15), is_error=st.booleans())
    def fail_disk_after_operations(self, member_number, operations, is_error):
        files = self.cluster.members[self.find_name(member_number)].files
        files.operations_left = operations
        files.failure = OSError(28, "No space left on device") if is_error else CrashError()

    @rule(partition=st.sets(MEMBER_NUMBERS, max_size=2))
    def partition_network(self, partition):
        self.cluster.partition = {self.find_name(member_number) for member_number in partition}

    @rule(loss_rate=st.sampled_from([0.0, 0.05, 0.3]))
    def lose_messages(self, loss_rate):
        self.cluster.loss_rate = loss_rate

    @precondition(lambda self: self.cluster.has_full_voter_set())
    @rule(member_number=MEMBER_NUMBERS)
    def replace_disk(self, member_number):
        self.cluster.replace_disk(self.find_name(member_number))

    @precondition(lambda self: any(m.former_disks for m in self.cluster.members.values()))
    @rule(member_number=MEMBER_NUMBERS, ticks=st.integers(1, 60))
    def start_on_former_disk(self, member_number, ticks):
        name = self.find_name(member_number)
        if self.cluster.members[name].former_disks:
            self.cluster.run_on_former_disk(name, ticks)

    @precondition(lambda self: self.cluster.has_full_voter_set())
    @rule(member_number=MEMBER_NUMBERS, ticks=st.integers(5, 30))
    def start_on_former_disk_while_successor_is_learner(self, member_number, ticks):
        name = self.find_name(member_number)
        self.cluster.replace_disk(name)
        self.cluster.run(ticks)
        found = self.cluster.list_leaders()
        if found:
            self.cluster.partition = {found[-1].name, name}
            self.cluster.run_with_requests(5)
            self.cluster.partition = {found[-1].name}
        self.cluster.run_on_former_disk(name, 60)

    @rule(member_number=MEMBER_NUMBERS, ticks=st.integers(0, 8))
    def transfer_leadership(self, member_number, ticks):
        self.cluster.members[self.find_name(member_number)].handle(TransferLeadership())
        self.cluster.run_with_requests(ticks)

    @rule()
    def settle(self):
        self.cluster.settle()

    @rule(first=MEMBER_NUMBERS, distance=st.integers(1, 4))
    def lose_second_voter_after_repair_of_first(self, first, distance):
        self.cluster.settle()
        for member_number in (first, first + distance):
            self.cluster.replace_disk(self.find_name(member_number))
            for _ in range(400):
                self.cluster.run(5)
                if self.cluster.has_full_voter_set():
                    break
            assert (
                self.cluster.has_full_voter_set()
            ), f"voter set was not repaired: {self.cluster.describe()}"

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.settle()
