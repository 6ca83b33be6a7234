"""Test which answers and keys a claim table removes, and which it keeps."""

import unittest

from bendwind_core.claims import Claim, ClaimAnswer, ClaimLimits, ClaimState
from bendwind_core.claims.table import ClaimTable, estimate_claim_bytes

ANSWER = ClaimAnswer(201, (), bytes(1000))


def make_claim(key: str, sequence: int, answer: ClaimAnswer | None = None) -> Claim:
    state = ClaimState.ANSWERED if answer else ClaimState.PENDING
    return Claim(key, b"f", f"call-{sequence}", state, 1, sequence, 0.0, answer)


class ClaimTableTest(unittest.TestCase):
    def test_old_answers_are_evicted_but_their_keys_stay(self):
        table = ClaimTable(ClaimLimits(answer_bytes=3000))
        for sequence in range(5):
            table.merge(make_claim(f"k{sequence}", sequence, ANSWER), 0.0)
        states = [table.find(f"k{sequence}").state for sequence in range(5)]
        self.assertEqual(states, [ClaimState.NOT_KEPT] * 3 + [ClaimState.ANSWERED] * 2)

    def test_a_full_table_keeps_every_key_until_its_retention_ends(self):
        table = ClaimTable(ClaimLimits(retention=10.0, claims=2))
        table.merge(make_claim("k1", 1), 0.0)
        table.merge(make_claim("k2", 2), 5.0)
        self.assertTrue(table.is_full())
        self.assertEqual([table.expire(9.9), table.expire(10.0)], [0, 1])
        self.assertFalse(table.is_full())
        self.assertIsNotNone(table.find("k2"))

    def test_a_key_claimed_again_gets_a_new_retention(self):
        table = ClaimTable(ClaimLimits(retention=10.0))
        table.merge(make_claim("k1", 1), 0.0)
        table.merge(make_claim("k2", 2), 1.0)
        table.merge(make_claim("k1", 3), 8.0)
        table.expire(12.0)
        self.assertEqual(list(table.claims), ["k1"])
        self.assertEqual(table.bytes, estimate_claim_bytes(table.find("k1")))


if __name__ == "__main__":
    unittest.main()
