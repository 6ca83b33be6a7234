import copy
import itertools
import os
import unittest

import msgspec

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster

OPEN_TO_FIVE = msgspec.structs.replace(SETTINGS, open_to=5)
IS_FUZZED = os.environ.get("HYPOTHESIS_PROFILE") == "fuzz"
SEEDS = 40 if IS_FUZZED else 6
# Each seed walks every tick; only some pairs of disks are lost at each, in turn, but for the fuzz.
PAIRS_EACH = 15 if IS_FUZZED else 3
LEADER_TICKS = 1000


def form(seed):
    cluster = FakeCluster(5, seed, OPEN_TO_FIVE)
    cluster.settle()
    cluster.settings = msgspec.structs.replace(OPEN_TO_FIVE, may_form=False)
    for member in cluster.members.values():
        member.disk_speed = 1.0
    return cluster


def list_sets(cluster):
    """List the newest voter set in each log of a process that runs."""
    return [member.replica.voters for member in cluster.members.values() if member.replica]


def concerns(voters, name):
    """Tell whether a formed voter set has a name no longer among those that stay."""
    return bool(voters.voting) and name not in [voter.name for voter in voters.voters]


def is_over(cluster, name):
    """Tell whether all who run know a committed set of five without a name."""
    replicas = [member.replica for member in cluster.members.values() if member.replica]
    return all(
        len(replica.committed_voters.voters) == 5 and concerns(replica.committed_voters, name)
        for replica in replicas
    )


class ReplacementLossesTest(unittest.TestCase):
    """Lose two disks and all power at each tick of a replacement, while a third voter is down."""

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
