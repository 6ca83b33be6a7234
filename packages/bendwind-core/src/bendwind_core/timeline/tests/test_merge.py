import unittest

from bendwind_core.timeline import EventFilter, EventKind, find_kind, select_events
from bendwind_core.timeline.tests.samples import event


class TestFilter(unittest.TestCase):
    def test_selects_by_each_field(self):
        events = [
            event(101, 10_000, call="c1"),
            event(201, 20_000, call="c1", upstream="emisor-1"),
            event(801, 30_000, plan="p1"),
        ]
        cases = [
            (EventFilter(), 3),
            (EventFilter(call="c1"), 2),
            (EventFilter(call="c1", upstream="emisor-1"), 1),
            (EventFilter(plan="p1"), 1),
            (EventFilter(kind=EventKind.CALL_ARRIVED), 1),
            (EventFilter(since_ms=20), 2),
            (EventFilter(call="c2"), 0),
        ]
        for wanted, count in cases:
            with self.subTest(wanted):
                self.assertEqual(len(select_events(events, wanted)), count)

    def test_finds_kinds_by_number_and_name(self):
        self.assertIs(find_kind("101"), EventKind.CALL_ARRIVED)
        self.assertIs(find_kind("call-arrived"), EventKind.CALL_ARRIVED)
        self.assertIsNone(find_kind("1"))
        self.assertIsNone(find_kind("nothing"))

    def test_finds_no_kind_by_a_text_that_is_no_number(self):
        for text in ("²", "９", "9" * 5000, "-101", "", "1e2"):
            self.assertIsNone(find_kind(text), text[:9])


if __name__ == "__main__":
    unittest.main()
