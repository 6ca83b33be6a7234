"""Drive a fake cluster by random rules."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.consensus import TransferLeadership
from bendwind_node.storage.tests.fake_cluster import FakeCluster
from bendwind_node.storage.tests.fake_files import CrashError

WHICH = st.integers(0, 4)


class ClusterMachine(RuleBasedStateMachine):
    """Commit changes under faults; oracle: nothing accepted is ever lost, reverted or reordered."""

    size = 3

    @initialize(seed=st.integers(0, 2**32), is_formed=st.booleans())
    def prepare(self, seed, is_formed):
        self.cluster = FakeCluster(self.size, seed)
        if is_formed:
            self.cluster.settle()

    def name(self, which):
        return self.cluster.names[which % self.size]

    @rule(ticks=st.integers(1, 60))
    def run_on(self, ticks):
        self.cluster.run(ticks)

    @rule(count=st.integers(1, 8), ticks=st.integers(0, 10))
    def propose(self, count, ticks):
        for _ in range(count):
            for name in self.cluster.names:
                self.cluster.propose(name)
            self.cluster.run(ticks)

    @rule(which=WHICH, ticks=st.integers(0, 10))
    def barrier(self, which, ticks):
        self.cluster.barrier(self.name(which))
        self.cluster.run(ticks)

    @rule(which=WHICH, speed=st.sampled_from([0.05, 0.3, 0.8]))
    def change_disk_speed(self, which, speed):
        self.cluster.members[self.name(which)].disk_speed = speed

    @rule(
        delays=st.lists(
            st.tuples(st.sampled_from([0, 0, 1, 3, 6, 7, 8]), st.sampled_from([0, 1, 8])),
            min_size=3,
            max_size=5,
        ),
        is_alone=st.booleans(),
    )
    def cut_off_each_leader_as_it_appears(self, delays, is_alone):
        """Leave each new leader with proposals that only it, or also one other, holds."""
        self.cluster.cut.clear()
        self.cluster.run(20)
        found = self.cluster.leaders()
        leader = found[-1].name if found else None
        for ticks, count in delays:
            if leader is not None:
                self.cluster.run(ticks)
                for name in self.cluster.names:
                    self.cluster.barrier(name)
                other = self.cluster.rng.choice(self.cluster.names)
                self.cluster.cut = {leader} if is_alone else {leader, other}
                for _ in range(count):
                    self.cluster.propose(leader)
                self.cluster.run(3)
            leader = self.cluster.run_to_new_leader()

    @rule(which=WHICH, next_cut=WHICH, ticks=st.integers(1, 12), is_killed=st.booleans())
    def move_the_quorum(self, which, next_cut, ticks, is_killed):
        """Commit without one member, end the others, and go on with it but without another."""
        self.cluster.cut = {self.name(which)}
        self.cluster.run(40)
        self.cluster.run_busy(ticks)
        self.cluster.cut = {self.name(next_cut)}
        for name, member in self.cluster.members.items():
            if is_killed and member.replica and name != self.name(which):
                member.crash()
                member.start()
        self.cluster.run_busy(60)

    @rule(which=WHICH)
    def kill(self, which):
        member = self.cluster.members[self.name(which)]
        if member.replica:
            member.crash()

    @rule(which=WHICH)
    def start(self, which):
        member = self.cluster.members[self.name(which)]
        if member.replica is None:
            member.start()

    @rule(which=WHICH, operations=st.integers(0, 15), is_error=st.booleans())
    def fail_disk_soon(self, which, operations, is_error):
        files = self.cluster.members[self.name(which)].files
        files.budget = operations
        files.failure = OSError(28, "No space left on device") if is_error else CrashError()

    @rule(cut=st.sets(WHICH, max_size=2))
    def cut_off(self, cut):
        self.cluster.cut = {self.name(which) for which in cut}

    @rule(loss=st.sampled_from([0.0, 0.05, 0.3]))
    def lose_messages(self, loss):
        self.cluster.loss = loss

    @precondition(lambda self: self.cluster.is_whole())
    @rule(which=WHICH)
    def replace_disk(self, which):
        self.cluster.replace_disk(self.name(which))

    @precondition(lambda self: any(m.retired for m in self.cluster.members.values()))
    @rule(which=WHICH, ticks=st.integers(1, 60))
    def bring_back_former_disk(self, which, ticks):
        name = self.name(which)
        if self.cluster.members[name].retired:
            self.cluster.swap_disk(name, ticks)

    @precondition(lambda self: self.cluster.is_whole())
    @rule(which=WHICH, ticks=st.integers(5, 30))
    def bring_back_former_disk_while_its_successor_learns(self, which, ticks):
        name = self.name(which)
        self.cluster.replace_disk(name)
        self.cluster.run(ticks)
        found = self.cluster.leaders()
        if found:
            self.cluster.cut = {found[-1].name, name}
            self.cluster.run_busy(5)
            self.cluster.cut = {found[-1].name}
        self.cluster.swap_disk(name, 60)

    @rule(which=WHICH, ticks=st.integers(0, 8))
    def transfer_leadership(self, which, ticks):
        self.cluster.members[self.name(which)].handle(TransferLeadership())
        self.cluster.run_busy(ticks)

    @rule()
    def settle(self):
        self.cluster.settle()

    @rule(first=WHICH, distance=st.integers(1, 4))
    def lose_a_second_voter_right_after_the_repair_of_the_first(self, first, distance):
        self.cluster.settle()
        for which in (first, first + distance):
            self.cluster.replace_disk(self.name(which))
            for _ in range(400):
                self.cluster.run(5)
                if self.cluster.is_whole():
                    break
            assert self.cluster.is_whole(), f"no repair: {self.cluster.describe()}"

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.settle()
