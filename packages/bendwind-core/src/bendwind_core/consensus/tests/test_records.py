import itertools
import unittest

import msgspec

from bendwind_core.consensus import Voter, VoterSet

VOTERS = tuple(Voter(name, number) for number, name in enumerate("abcdex", 1))
ALL_IDS = [voter.voter_id for voter in VOTERS]


def joint(size):
    """Create the joint set in which the last of `size` voters is being replaced."""
    return VoterSet(7, VOTERS[: size - 1], leaving=(VOTERS[size - 1],), joining=(VOTERS[5],))


def subsets():
    for count in range(len(ALL_IDS) + 1):
        yield from map(set, itertools.combinations(ALL_IDS, count))


def is_majority(ids, voters):
    return 2 * sum(voter.voter_id in ids for voter in voters) > len(voters)


class VoterSetTest(unittest.TestCase):
    """Test the quorum rules of plain and joint voter sets."""

    def test_plain_set_needs_more_than_half(self):
        for size in range(1, 7):
            voters = VoterSet(7, VOTERS[:size])
            for ids in subsets():
                self.assertEqual(voters.is_quorum(ids), is_majority(ids, VOTERS[:size]))

    def test_joint_set_needs_a_majority_of_each_group(self):
        for size in (3, 5):
            voters = joint(size)
            for ids in subsets():
                expected = is_majority(ids, voters.old_voters) and is_majority(
                    ids, voters.new_voters
                )
                self.assertEqual(voters.is_quorum(ids), expected)

    def test_majority_value_is_the_highest_value_reached_by_a_quorum(self):
        for voters in (VoterSet(7, VOTERS[:4]), joint(3), joint(5)):
            for values in itertools.product(range(3), repeat=len(ALL_IDS)):
                reached = dict(zip(ALL_IDS, values, strict=True))
                majority_value = voters.find_majority_value(reached)
                self.assertTrue(
                    voters.is_quorum([i for i in ALL_IDS if reached[i] >= majority_value])
                )
                self.assertFalse(
                    voters.is_quorum([i for i in ALL_IDS if reached[i] > majority_value])
                )

    def test_empty_voter_set_has_no_quorum(self):
        self.assertFalse(VoterSet().is_quorum(ALL_IDS))

    def test_joint_set_of_five_has_a_quorum_after_the_loss_of_any_two_disks(self):
        voters = joint(5)
        for lost in itertools.combinations(ALL_IDS, 2):
            self.assertTrue(voters.is_quorum([i for i in ALL_IDS if i not in lost]))

    def test_record_without_joint_fields_is_decoded(self):
        decoded = msgspec.convert([7, [["a", 1]], [["b", 2]], [3]], VoterSet)
        self.assertEqual(decoded, VoterSet(7, (Voter("a", 1),), (Voter("b", 2),), (3,)))

    def test_majority_seen_by_processes_without_joint_sets_is_a_quorum(self):
        # Such a process only reads `voters`, and accepts a majority of them as a quorum.
        for size in (3, 5):
            voters = joint(size)
            for ids in subsets():
                if is_majority(ids, voters.voters):
                    self.assertTrue(voters.is_quorum(ids))


if __name__ == "__main__":
    unittest.main()
