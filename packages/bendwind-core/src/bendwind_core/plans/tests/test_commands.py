import unittest

from bendwind_core.plans import (
    MAX_COMMAND_BYTES,
    ConfirmPlan,
    DrainTarget,
    MarkDraining,
    RecordRuns,
    decode_command,
    divide_records,
    encode_command,
)
from bendwind_core.runs import RunRecord

LARGEST, SMALLEST = 2**64 - 1, -(2**63)


class EncodeCommandTest(unittest.TestCase):
    def test_numbers_of_64_bits_are_encoded_and_decoded(self):
        for number in (LARGEST, SMALLEST):
            command = ConfirmPlan(number, number)
            self.assertEqual(decode_command(encode_command(command).ok), command)

    def test_what_no_entry_can_hold_is_refused(self):
        commands = (
            ConfirmPlan(LARGEST + 1, 0),
            ConfirmPlan(0, SMALLEST - 1),
            MarkDraining(DrainTarget.UPSTREAM, "\ud800", True),
            MarkDraining(DrainTarget.UPSTREAM, object(), True),
        )
        for command in commands:
            encoded = encode_command(command)
            self.assertTrue(encoded.is_error(), command)
            self.assertFalse(encoded.error.is_too_large)

    def test_what_voters_could_not_decode_is_refused(self):
        for command in (
            ConfirmPlan(0.5, 0),
            MarkDraining("rack", "a", True),
            RecordRuns(0, (RunRecord("i", None),)),
        ):
            self.assertTrue(encode_command(command).is_error(), command)

    def test_every_command_has_the_size_limit(self):
        text = "n" * MAX_COMMAND_BYTES
        encoded = encode_command(MarkDraining(DrainTarget.UPSTREAM, text, True))
        self.assertTrue(encoded.error.is_too_large)
        self.assertLess(len(str(encoded.error)), 300)


class DivideRecordsTest(unittest.TestCase):
    def test_records_keep_their_order_and_none_is_lost(self):
        good = [RunRecord("i", f"u{number}", "s" * 9_000) for number in range(1_000)]
        bad = RunRecord("i", "bad", born_ms=LARGEST + 1)
        divided = divide_records((*good[:500], bad, *good[500:]), 1)
        self.assertEqual([r for part in divided.parts for r in part.records], good)
        self.assertEqual(list(divided.refused), [bad])
        for part in divided.parts:
            self.assertEqual(decode_command(part.command), RecordRuns(1, part.records))
            self.assertLessEqual(len(part.command), MAX_COMMAND_BYTES)
        self.assertLess(len(divided.parts), 6)


if __name__ == "__main__":
    unittest.main()
