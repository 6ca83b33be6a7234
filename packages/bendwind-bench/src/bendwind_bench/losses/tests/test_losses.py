import tempfile
import unittest
from pathlib import Path

import msgspec

from bendwind_bench.losses import (
    By,
    Cause,
    Fate,
    list_rows,
    read_logs,
    render_account,
    write_account_plot,
)
from bendwind_core.timeline import AttemptFacts, CallFacts, DispatchFacts, LogLine, RefusalFacts


def read(*lines):
    return read_logs(msgspec.json.encode(line).decode() for line in lines)


def call(request, detail="answered", status=200, ms=100.0, target_ms=200.0, **more):
    facts = CallFacts("s", "r", status, ms, 4000.0, target_ms, **more)
    line = LogLine("info", "n", 1000, "CALL_FINISHED", 102, request=request, detail=detail)
    return msgspec.structs.replace(line, facts=facts)


def owner(request, facts, upstream="u"):
    line = LogLine("info", "o", 900, "X", 202, call="/1", request=request, upstream=upstream)
    return msgspec.structs.replace(line, facts=facts)


SENT = (AttemptFacts("u", 1.0, "200", 90.0),)


class LossesTest(unittest.TestCase):
    def list_rows(self, *lines):
        return list_rows(read(*lines))

    def cause(self, *lines):
        (row,) = self.list_rows(*lines)
        return row.cause

    def test_answer_within_the_objective_is_no_loss(self):
        self.assertIs(self.cause(call("a")), Cause.NONE)

    def test_cause_of_lateness_is_the_part_that_took_long(self):
        late = call("a", ms=300.0, attempts=SENT)
        waited = owner("a", DispatchFacts("r", waited_ms=100.0))
        slow = owner("a", DispatchFacts("r", slow_factor=4.0))
        self.assertIs(self.cause(late, waited), Cause.WAITED)
        self.assertIs(self.cause(late, slow), Cause.STARTED_SLOW)
        self.assertIs(self.cause(late), Cause.RAN_LONG)
        again = call("a", ms=300.0, attempts=(AttemptFacts("u", 150.0, "200", 90.0),))
        self.assertIs(self.cause(again), Cause.RETRIED)
        back = call("a", ms=300.0, target_ms=-10.0, tried_ms=210.0, attempts=SENT)
        self.assertIs(self.cause(back), Cause.LATE_ON_ARRIVAL)

    def test_cause_of_refusal_follows_from_the_owners_lines(self):
        full = call("a", "not-run: queue-full", 503)
        free = owner("a", RefusalFacts("r", running=2, slots=9))
        taken = owner("a", RefusalFacts("r", running=9, slots=9))
        slowed = owner("a", RefusalFacts("r", running=2, slots=9, slow_factor=4.0))
        self.assertIs(self.cause(full, free, taken), Cause.FREE_SLOT)
        shared = owner("a", RefusalFacts("r", running=2, slots=9, limit=2))
        self.assertIs(self.cause(full, shared, taken), Cause.FULL)
        self.assertIs(self.cause(full, taken, slowed), Cause.FULL)
        self.assertIs(self.cause(full, slowed), Cause.SLOWED)
        self.assertIs(self.cause(call("a", "not-run: no-upstream", 503)), Cause.NO_UPSTREAM)
        self.assertIs(self.cause(call("a", "not-run: shed", 503)), Cause.SHED)

    def test_cause_of_refusal_before_any_attempt_is_its_reason(self):
        over = call("a", "over-quota", 429)
        self.assertIs(self.cause(over), Cause.OVER_QUOTA)
        unknown = msgspec.structs.replace(over, facts=CallFacts(status=503), detail="overloaded")
        (row,) = self.list_rows(unknown)
        self.assertIs(row.fate, Fate.REFUSED)
        nowhere = msgspec.structs.replace(unknown, detail="no-route")
        self.assertEqual(self.list_rows(nowhere), [])

    def test_failed_unknown_and_caller_gone_have_their_own_causes(self):
        self.assertIs(self.cause(call("a", status=500)), Cause.FAILED)
        self.assertIs(self.cause(call("a", "unknown: link-lost", 502)), Cause.RESULT_UNKNOWN)
        self.assertIs(self.cause(call("a", "caller gone", 0)), Cause.CALLER_GONE)

    def test_report_has_tables_and_plot(self):
        rows = self.list_rows(call("a"), call("b", "not-run: shed", 503))
        text = render_account(rows, By.ROUTE)
        self.assertIn("refused by the upstream itself", text)
        self.assertIn("0.500", text)
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "losses.png"
            write_account_plot(rows, By.ROUTE, file)
            self.assertGreater(file.stat().st_size, 1000)

    def test_lines_that_are_not_log_lines_are_counted_and_skipped(self):
        self.assertEqual(read_logs(["", "not a log line"]).unread, 1)


if __name__ == "__main__":
    unittest.main()
