import copy
import itertools
import os
import unittest

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_node.storage.tests.fake_cluster import form_cluster

IS_FUZZED = os.environ.get("HYPOTHESIS_PROFILE") == "fuzz"
SEEDS = 40 if IS_FUZZED else 6
# Each seed covers every tick. Only some pairs of disks are lost at each tick, in rotation; the fuzz
# profile covers all pairs.
PAIRS_PER_TICK = 15 if IS_FUZZED else 3
LEADER_TICKS = 1000
CHANGE_TICKS = 200


def list_voter_sets(cluster):
    """List the newest voter set in the log of each running process."""
    return [member.replica.voters for member in cluster.members.values() if member.replica]


def has_removed(voters, name):
    """Return whether a formed voter set has removed a name, or is about to remove it."""
    return bool(voters.voting_members) and name not in [voter.name for voter in voters.voters]


def is_replaced(cluster, name):
    """Return whether all running members know a committed set of five without the name."""
    replicas = [member.replica for member in cluster.members.values() if member.replica]
    return all(
        len(replica.committed_voters.voters) == 5 and has_removed(replica.committed_voters, name)
        for replica in replicas
    )


class ReplacementLossesTest(unittest.TestCase):
    """Lose as many disks as must be tolerated, and all power, at each tick of a voter change."""

    def test_losing_two_disks_at_any_tick_of_a_replacement_loses_no_data(self):
        # Guards against a replacement in two changes: between the removal of the silent voter and
        # the addition of its successor, three of four voters are needed for a quorum, and the
        # voter that was only down cannot vote any more.
        pairs = itertools.cycle(itertools.combinations("abcdex", 2))
        for seed, down in itertools.product(range(SEEDS), "abcde"):
            cluster = form_cluster(seed)
            cluster.run_with_requests(5)
            cluster.members[down].crash()
            cluster.add_member("x")
            for moment in self.iterate_replacement(cluster, down):
                for pair in itertools.islice(pairs, PAIRS_PER_TICK):
                    with self.subTest(seed=seed, down=down, pair=pair, time=moment.time):
                        self.lose_disks_and_power(copy.deepcopy(moment), pair, down)

    def test_losing_two_disks_after_the_replaced_voter_restarted_loses_no_data(self):
        # The replaced voter votes again until it learns of its removal.
        pairs = itertools.cycle(itertools.combinations("abcdex", 2))
        for seed, down in itertools.product(range(SEEDS // 2), "abcde"):
            cluster = form_cluster(seed)
            cluster.run_with_requests(5)
            cluster.members[down].crash()
            cluster.add_member("x")
            for moment in self.iterate_replacement(cluster, down):
                if moment.members[down].replica is None:
                    moment.members[down].start()
                for pair in itertools.islice(pairs, PAIRS_PER_TICK):
                    with self.subTest(seed=seed, down=down, pair=pair, time=moment.time):
                        self.lose_disks_and_power(copy.deepcopy(moment), pair, "")

    def test_losing_two_disks_while_a_learner_replaces_a_removed_voter_loses_no_data(self):
        # Guards against two failures. If an operator's removal takes the voter out before the
        # learner is added, three of the four voters left are needed, although the removed voter is
        # healthy. If the removed voter is the leader, it may be the only one with the voter set
        # that excludes it: it then votes for no member whose log is outdated, and is not a
        # candidate itself.
        pairs = itertools.cycle(itertools.combinations("abcdex", 2))
        for seed, removed in itertools.product(range(SEEDS), "abcde"):
            cluster = form_cluster(seed)
            cluster.add_member("x")
            cluster.run_with_requests(60)
            cluster.remove_voter(cluster.list_leaders()[-1].name, removed)
            for moment in self.iterate_until(
                cluster, lambda c=cluster, name=removed: is_replaced(c, name)
            ):
                for pair in itertools.islice(pairs, PAIRS_PER_TICK):
                    with self.subTest(seed=seed, removed=removed, pair=pair, time=moment.time):
                        self.lose_disks_and_power(copy.deepcopy(moment), pair, "")

    def test_losing_one_disk_while_three_voters_become_five_loses_no_data(self):
        # Three voters, four voters and the joint set between them tolerate one loss, also while
        # another voter is down.
        downs = itertools.cycle("abcxy")
        for seed in range(SEEDS):
            cluster = form_cluster(seed, size=3)
            for newcomer in "xy":
                cluster.add_member(newcomer)
                is_voter = lambda c=cluster, name=newcomer: name in c.voter_names()  # noqa: E731
                for moment in self.iterate_until(cluster, is_voter):
                    lost, down = next(downs), next(downs)
                    if {lost, down} <= moment.voter_names():
                        with self.subTest(seed=seed, lost=lost, down=down, time=moment.time):
                            self.lose_disks_and_power(copy.deepcopy(moment), (lost,), down)

    def iterate_until(self, cluster, is_done):
        """Yield the cluster at each tick until the condition holds."""
        for _ in range(CHANGE_TICKS):
            if is_done():
                return
            yield cluster
            cluster.run_with_requests(1)
        self.fail(cluster.describe())

    def iterate_replacement(self, cluster, down):
        """Yield the cluster at each tick from the first to the last change of a replacement."""
        for _ in range(600):
            cluster.run_with_requests(1)
            if any(has_removed(voters, down) for voters in list_voter_sets(cluster)):
                yield cluster
            if is_replaced(cluster, down):
                return
        self.fail(cluster.describe())

    def lose_disks_and_power(self, cluster, pair, down):
        left = [name for name in cluster.names if name not in pair]
        cluster.listed_names = tuple(left)
        for name in pair:
            cluster.replace_disk(name)
        for name in left:
            cluster.members[name].lose_power()
            if name != down:
                cluster.members[name].start()
        cluster.run(5)
        if down in left:
            # The voter that was down all the time restarts only now.
            cluster.members[down].start()
        newest = max(cluster.oracle.acknowledged)
        for _ in range(LEADER_TICKS):
            cluster.run(1)
            if any(leader.applied >= newest for leader in cluster.list_leaders()):
                break
        self.assertTrue(cluster.list_leaders(), cluster.describe())
        held = {command for _, command in cluster.list_leaders()[-1].state}
        self.assertGreaterEqual(held, set(cluster.oracle.acknowledged.values()))


if __name__ == "__main__":
    unittest.main()
