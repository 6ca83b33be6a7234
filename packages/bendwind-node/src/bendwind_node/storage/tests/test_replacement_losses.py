import copy
import itertools
import os
import unittest

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_node.storage.tests.fake_cluster import form

IS_FUZZED = os.environ.get("HYPOTHESIS_PROFILE") == "fuzz"
SEEDS = 40 if IS_FUZZED else 6
# Each seed walks every tick; only some pairs of disks are lost at each, in turn, but for the fuzz.
PAIRS_EACH = 15 if IS_FUZZED else 3
LEADER_TICKS = 1000
CHANGE_TICKS = 200


def list_sets(cluster):
    """List the newest voter set in each log of a process that runs."""
    return [member.replica.voters for member in cluster.members.values() if member.replica]


def concerns(voters, name):
    """Tell whether a formed voter set has a name no longer among those that stay."""
    return bool(voters.voting_members) and name not in [voter.name for voter in voters.voters]


def is_over(cluster, name):
    """Tell whether all who run know a committed set of five without a name."""
    replicas = [member.replica for member in cluster.members.values() if member.replica]
    return all(
        len(replica.committed_voters.voters) == 5 and concerns(replica.committed_voters, name)
        for replica in replicas
    )


class ReplacementLossesTest(unittest.TestCase):
    """Lose as many disks as must be borne, and all power, at each tick of a change of voters."""

    def test_two_disks_lost_at_any_moment_of_a_replacement_lose_nothing(self):
        # Between the change that took a silent voter out and the one that added its successor,
        # four voters needed three, and the voter that was only down could no longer help.
        pairs = itertools.cycle(itertools.combinations("abcdex", 2))
        for seed, down in itertools.product(range(SEEDS), "abcde"):
            cluster = form(seed)
            cluster.run_busy(5)
            cluster.members[down].crash()
            cluster.join("x")
            for moment in self.walk_replacement(cluster, down):
                for pair in itertools.islice(pairs, PAIRS_EACH):
                    with self.subTest(seed=seed, down=down, pair=pair, time=moment.time):
                        self.lose(copy.deepcopy(moment), pair, down)

    def test_two_disks_lost_after_the_replaced_voter_came_back_lose_nothing(self):
        # It votes again, until it learns that it was taken out.
        pairs = itertools.cycle(itertools.combinations("abcdex", 2))
        for seed, down in itertools.product(range(SEEDS // 2), "abcde"):
            cluster = form(seed)
            cluster.run_busy(5)
            cluster.members[down].crash()
            cluster.join("x")
            for moment in self.walk_replacement(cluster, down):
                if moment.members[down].replica is None:
                    moment.members[down].start()
                for pair in itertools.islice(pairs, PAIRS_EACH):
                    with self.subTest(seed=seed, down=down, pair=pair, time=moment.time):
                        self.lose(copy.deepcopy(moment), pair, "")

    def test_two_disks_lost_while_an_order_takes_a_voter_out_for_a_learner_lose_nothing(self):
        # Taken out first, the voter left four of which three were needed, though it was well. As a
        # leader it was left alone with the set that it is not in: it voted for nobody whose log
        # was behind, and did not stand itself.
        pairs = itertools.cycle(itertools.combinations("abcdex", 2))
        for seed, removed in itertools.product(range(SEEDS), "abcde"):
            cluster = form(seed)
            cluster.join("x")
            cluster.run_busy(60)
            cluster.remove_voter(cluster.leaders()[-1].name, removed)
            for moment in self.walk(cluster, lambda c=cluster, name=removed: is_over(c, name)):
                for pair in itertools.islice(pairs, PAIRS_EACH):
                    with self.subTest(seed=seed, removed=removed, pair=pair, time=moment.time):
                        self.lose(copy.deepcopy(moment), pair, "")

    def test_one_disk_lost_while_three_voters_become_five_loses_nothing(self):
        # Three, four and the state between bear one loss, also while another voter is down.
        downs = itertools.cycle("abcxy")
        for seed in range(SEEDS):
            cluster = form(seed, size=3)
            for newcomer in "xy":
                cluster.join(newcomer)
                is_voter = lambda c=cluster, name=newcomer: name in c.voter_names()  # noqa: E731
                for moment in self.walk(cluster, is_voter):
                    lost, down = next(downs), next(downs)
                    if {lost, down} <= moment.voter_names():
                        with self.subTest(seed=seed, lost=lost, down=down, time=moment.time):
                            self.lose(copy.deepcopy(moment), (lost,), down)

    def walk(self, cluster, is_done):
        """Yield the cluster at each tick until something is so."""
        for _ in range(CHANGE_TICKS):
            if is_done():
                return
            yield cluster
            cluster.run_busy(1)
        self.fail(cluster.describe())

    def walk_replacement(self, cluster, down):
        """Yield the cluster at each tick from the first change of the voter to the last."""
        for _ in range(600):
            cluster.run_busy(1)
            if any(concerns(voters, down) for voters in list_sets(cluster)):
                yield cluster
            if is_over(cluster, down):
                return
        self.fail(cluster.describe())

    def lose(self, cluster, pair, down):
        left = [name for name in cluster.names if name not in pair]
        cluster.listed = tuple(left)
        for name in pair:
            cluster.replace_disk(name)
        for name in left:
            cluster.members[name].lose_power()
            if name != down:
                cluster.members[name].start()
        cluster.run(5)
        if down in left:
            # It was down all the while, and is back only now.
            cluster.members[down].start()
        newest = max(cluster.oracle.accepted)
        for _ in range(LEADER_TICKS):
            cluster.run(1)
            if any(leader.applied >= newest for leader in cluster.leaders()):
                break
        self.assertTrue(cluster.leaders(), cluster.describe())
        held = {command for _, command in cluster.leaders()[-1].state}
        self.assertGreaterEqual(held, set(cluster.oracle.accepted.values()))


if __name__ == "__main__":
    unittest.main()
