"""Test that messages about quotas are decoded as they were encoded."""

import unittest

from bendwind_core.messages import decode_message, encode_message
from bendwind_core.quotas import (
    QuotaDemand,
    QuotaGrant,
    QuotaLoan,
    QuotaLoanRequest,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    QuotaUnused,
)

# Runs are milliseconds since 1970, and numbers of quota requests begin at 2^20 times that.
RUN = 1_764_685_000_123
MESSAGES = (
    QuotaRequest(RUN << 20, (QuotaDemand("maria", 3, 2, 1, (7, 8)), QuotaDemand("ana", 1))),
    QuotaReply(RUN << 20, RUN, (QuotaGrant("maria", 9, 3, 250.0, (7,)), QuotaGrant("ana", 0, 0))),
    QuotaReturn(RUN, (QuotaUnused(9, 1), QuotaUnused(10, 0.25))),
    QuotaLoanRequest(RUN << 20, "maria", 1.75),
    QuotaLoan(RUN << 20, RUN, "maria", 11, 1.5, 0.25),
)


class TestMessages(unittest.TestCase):
    def test_each_message_is_decoded_as_it_was_encoded(self):
        for message in MESSAGES:
            with self.subTest(type(message).__name__):
                self.assertEqual(decode_message(encode_message(message)).ok, message)

    def test_a_message_with_an_invalid_field_is_rejected(self):
        broken = encode_message(MESSAGES[3]).replace(b"maria", b"\xff\xff\xff\xff\xff")
        self.assertTrue(decode_message(broken).is_error())


if __name__ == "__main__":
    unittest.main()
