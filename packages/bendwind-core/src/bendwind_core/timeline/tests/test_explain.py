import unittest

from bendwind_core.timeline import (
    explain_call,
    find_attempts,
    merge_events,
    render_event,
    render_explanation,
)
from bendwind_core.timeline.tests.samples import event

CALL = "a/1/c7"
FIRST, SECOND = "a/1/40", "a/1/41"


def entry_events():
    return [
        event(101, 1_000, call=CALL),
        event(103, 1_400, call=CALL, upstream="emisor-1", detail=FIRST),
        event(104, 2_400, call=CALL, upstream="emisor-1", detail=f"{FIRST} shed"),
        event(103, 2_500, call=CALL, upstream="emisor-2", detail=SECOND),
        event(105, 7_500, call=CALL, upstream="emisor-2", detail=SECOND),
        event(102, 7_900, call=CALL),
    ]


def owner_events():
    # The owner's monotonic clock has a different origin than the entry node's.
    return [
        event(201, 2_600_000, "b", call=SECOND, upstream="emisor-2"),
        event(202, 2_604_000, "b", call=SECOND, upstream="emisor-2"),
    ]


class TestExplainCall(unittest.TestCase):
    def test_splits_the_time_over_entry_links_and_upstream(self):
        events = merge_events([entry_events(), owner_events()])
        found = explain_call(events, CALL)
        self.assertEqual((found.total_us, found.before_us, found.after_us), (6_900, 400, 400))
        shed, answered = found.attempts
        self.assertEqual(
            (shed.total_us, shed.upstream_us, shed.end), (1000, None, "ATTEMPT_NOT_RUN")
        )
        self.assertEqual((answered.total_us, answered.upstream_us), (5_000, 4_000))
        self.assertEqual(find_attempts(events, CALL), (FIRST, SECOND))

    def test_reports_missing_times(self):
        lines = render_explanation(explain_call(entry_events()[:4], CALL))
        self.assertEqual(lines[0], f"call {CALL} at a: ? ms in all")
        self.assertIn("no end seen (? ms in the upstream)", lines[-2])
        self.assertEqual(
            render_explanation(explain_call([], CALL)), [f"call {CALL}: no events found"]
        )

    def test_never_compares_the_clocks_of_two_processes(self):
        arrived, *_ = entry_events()
        moved = event(102, 9_000_000, "b", call=CALL)
        self.assertIsNone(explain_call([arrived, moved], CALL).total_us)

    def test_formats_an_event_on_one_line(self):
        line = render_event(event(201, 1_500, "b", call=SECOND, upstream="emisor-2"))
        self.assertEqual(
            line,
            "1970-01-01T00:00:00.001Z+500 b 201 DISPATCH_STARTED call=a/1/41 upstream=emisor-2",
        )


if __name__ == "__main__":
    unittest.main()
