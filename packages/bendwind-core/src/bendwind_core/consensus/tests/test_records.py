import itertools
import unittest

import msgspec

from bendwind_core.consensus import Voter, VoterSet

VOTERS = tuple(Voter(name, number) for number, name in enumerate("abcdex", 1))
ALL_IDS = [voter.voter_id for voter in VOTERS]


def joint(size):
    """Make the set in which the last of some voters is replaced by another."""
    return VoterSet(7, VOTERS[: size - 1], leaving=(VOTERS[size - 1],), joining=(VOTERS[5],))


def subsets():
    for count in range(len(ALL_IDS) + 1):
        yield from map(set, itertools.combinations(ALL_IDS, count))


def is_majority(ids, voters):
    return 2 * sum(voter.voter_id in ids for voter in voters) > len(voters)


class VoterSetTest(unittest.TestCase):
    """Decide who is a majority in one place, for plain and for joint sets."""

    def test_plain_set_asks_for_more_than_half(self):
        for size in range(1, 7):
            voters = VoterSet(7, VOTERS[:size])
            for ids in subsets():
                self.assertEqual(voters.is_quorum(ids), is_majority(ids, VOTERS[:size]))

    def test_joint_set_asks_for_a_majority_of_each_half(self):
        for size in (3, 5):
            voters = joint(size)
            for ids in subsets():
                expected = is_majority(ids, voters.old_voters) and is_majority(
                    ids, voters.new_voters
                )
                self.assertEqual(voters.is_quorum(ids), expected)

    def test_agreed_value_is_what_a_quorum_has_reached_and_no_more(self):
        for voters in (VoterSet(7, VOTERS[:4]), joint(3), joint(5)):
            for values in itertools.product(range(3), repeat=len(ALL_IDS)):
                reached = dict(zip(ALL_IDS, values, strict=True))
                agreed = voters.find_agreed(reached)
                self.assertTrue(voters.is_quorum([i for i in ALL_IDS if reached[i] >= agreed]))
                self.assertFalse(voters.is_quorum([i for i in ALL_IDS if reached[i] > agreed]))

    def test_nobody_is_a_quorum_of_no_voters(self):
        self.assertFalse(VoterSet().is_quorum(ALL_IDS))

    def test_two_of_five_disks_and_a_third_voter_are_borne_by_a_joint_set(self):
        voters = joint(5)
        for lost in itertools.combinations(ALL_IDS, 2):
            self.assertTrue(voters.is_quorum([i for i in ALL_IDS if i not in lost]))

    def test_former_form_without_joint_sets_is_read(self):
        former = msgspec.convert([7, [["a", 1]], [["b", 2]], [3]], VoterSet)
        self.assertEqual(former, VoterSet(7, (Voter("a", 1),), (Voter("b", 2),), (3,)))

    def test_whoever_knows_no_joint_sets_asks_for_no_less(self):
        # It reads the voters that stay, and takes a majority of these for enough.
        for size in (3, 5):
            voters = joint(size)
            for ids in subsets():
                if is_majority(ids, voters.voters):
                    self.assertTrue(voters.is_quorum(ids))


if __name__ == "__main__":
    unittest.main()
