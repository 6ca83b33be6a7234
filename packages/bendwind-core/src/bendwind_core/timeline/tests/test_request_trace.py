import unittest

import msgspec

from bendwind_core.timeline import (
    AttemptFacts,
    CallFacts,
    DispatchFacts,
    EndFacts,
    LogLine,
    RefusalFacts,
    UnansweredFacts,
)
from bendwind_core.timeline.diagnosis import diagnose
from bendwind_core.timeline.request_trace import find_trace

FULL = RefusalFacts("r", 190.0, 190.0, 60.0, running=4, waiting=3, slots=4)
SLOWED = RefusalFacts("r", 190.0, 190.0, 60.0, 1, 0, 4, slow_factor=4.0, report_age_ms=12.0)


def write(line, prefix=""):
    return prefix + msgspec.json.encode(line).decode() + "\n"


def end_call(detail, *attempts, status=200, ms=20.0, request="q1", at=1000):
    facts = CallFacts("s", "r", status, ms, 800.0, 200.0, 7, 120.0, attempts)
    return LogLine(
        "info", "entry", at, "CALL_FINISHED", 102, call="c1", detail=detail, request=request,
        facts=facts,
    )  # fmt: skip


def owner_line(name, upstream, facts, detail="", at=990, request="q1"):
    return LogLine(
        "info", f"owner-{upstream}", at, name, 1, upstream=upstream, detail=detail,
        request=request, facts=facts,
    )  # fmt: skip


def process_line(instance, name, at):
    return LogLine("info", instance, at, name, 601)


class RequestTraceTest(unittest.TestCase):
    def test_lines_of_many_processes_in_any_order_are_combined(self):
        first = AttemptFacts("u1", 0.2, "not-run: queue-full", 1.0)
        second = AttemptFacts("u2", 1.3, "200", 18.0)
        lines = [
            owner_line("DISPATCH_FINISHED", "u2", DispatchFacts("r", 1.0, 17.0), "answered", 995),
            end_call("answered", first, second),
            owner_line("ATTEMPT_REFUSED", "u1", FULL, "queue-full", 991),
            owner_line("ATTEMPT_REFUSED", "u2", FULL, "queue-full", 500, request="other"),
        ]
        trace = find_trace("q1", (write(line, "12.5 node-1 ") for line in lines))
        self.assertEqual([step.owner.instance for step in trace.steps], ["owner-u1", "owner-u2"])
        self.assertEqual(trace.unread, 0)
        self.assertEqual(diagnose(trace), "answered in time")

    def test_upstream_ends_during_equivalent_requests_are_found_by_request_id(self):
        def end_upstream(upstream, at, *requests):
            facts = EndFacts(tuple(UnansweredFacts(*unanswered) for unanswered in requests))
            return owner_line("UPSTREAM_ENDED", upstream, facts, at=at, request="")

        lines = [
            end_upstream("u2", 300, ("5a", "q1"), ("77", "q4")),
            end_upstream("u1", 200, ("5a", "q0")),
            end_upstream("u3", 250, ("77", "q3")),
            end_call("answered", AttemptFacts("u1", 0.1, "200", 9.0)),
        ]
        trace = find_trace("q1", (write(line) for line in lines))
        self.assertEqual([line.upstream for line in trace.upstream_ends], ["u1", "u2"])

    def test_truncated_and_foreign_lines_are_counted_and_skipped(self):
        whole = write(end_call("answered", AttemptFacts("u1", 0.1, "200", 9.0)))
        trace = find_trace("q1", [whole[:40], "no log line", "", '{"a": 1}', whole])
        self.assertEqual((trace.unread, trace.end.call), (3, "c1"))

    def test_context_holds_what_the_processes_of_the_request_logged_shortly_before(self):
        lines = [
            end_call("answered", AttemptFacts("u1", 0.1, "200", 9.0), at=10_000),
            owner_line("DISPATCH_FINISHED", "u1", DispatchFacts("r"), "answered", 9_990),
            process_line("owner-u1", "UPSTREAM_READY", 9_000),
            process_line("entry", "VOTER_CHANGED", 8_000),
            process_line("entry", "LINK_OPENED", 8_500),
            process_line("entry", "FRESHNESS_LOST", 2_000),
            process_line("stranger", "LINK_CLOSED", 9_500),
            process_line("entry", "LINK_CLOSED", 10_500),
        ]
        trace = find_trace("q1", map(write, lines))
        names = [line.name for line in trace.context]
        self.assertEqual(names, ["VOTER_CHANGED", "UPSTREAM_READY"])


class DiagnosisTest(unittest.TestCase):
    def diagnose(self, *lines):
        return diagnose(find_trace("q1", map(write, lines)))

    def test_missing_log_lines_are_reported(self):
        self.assertIn("no line of an entry node", self.diagnose(end_call("answered", request="q2")))

    def test_request_refused_before_any_attempt(self):
        diagnosis = self.diagnose(end_call("no-route", status=404))
        self.assertIn("no route", diagnosis)

    def test_refusals_are_counted_by_the_state_of_their_owners(self):
        diagnosis = self.diagnose(
            end_call(
                "not-run: queue-full",
                AttemptFacts("u1", 0.1, "not-run: stalled", 1.0),
                AttemptFacts("u2", 1.1, "not-run: queue-full", 1.0),
                status=503,
            ),
            owner_line("ATTEMPT_REFUSED", "u1", SLOWED, "stalled"),
            owner_line("ATTEMPT_REFUSED", "u2", FULL, "queue-full"),
        )
        self.assertIn("of 2 attempts", diagnosis)
        self.assertIn("1 refused by an upstream that was slowed", diagnosis)
        self.assertIn("1 refused (queue-full) by an upstream with its slots taken", diagnosis)

    def test_refusal_by_the_limit_of_an_upstream_names_the_limit(self):
        facts = msgspec.structs.replace(SLOWED, limit_per_s=6.2)
        diagnosis = self.diagnose(
            end_call("not-run: limited", AttemptFacts("u1", 0.1, "not-run: limited"), status=503),
            owner_line("ATTEMPT_REFUSED", "u1", facts, "limited"),
        )
        self.assertIn("1 refused by the limit of its upstream, 6.2 a second", diagnosis)

    def test_late_answer_names_the_largest_parts_of_its_time(self):
        dispatch = DispatchFacts("r", 10.0, 240.0, 190.0, 1, 4, 4.0, 5.0)
        diagnosis = self.diagnose(
            end_call("answered", AttemptFacts("u1", 0.1, "200", 252.0), ms=255.0),
            owner_line("DISPATCH_FINISHED", "u1", dispatch, "answered"),
        )
        self.assertIn("55.0 ms late: it took 240.0 ms in the upstream", diagnosis)
        self.assertIn("4 times as long", diagnosis)

    def test_unknown_outcome_is_explained_by_the_attempt_that_ran_not_by_a_later_refusal(self):
        diagnosis = self.diagnose(
            end_call(
                "unknown: upstream-timeout",
                AttemptFacts("u1", 0.1, "unknown: upstream-timeout", 140.0),
                AttemptFacts("u2", 141.0, "not-run: queue-full", 1.0),
                status=502,
            ),
            owner_line("DISPATCH_FINISHED", "u1", DispatchFacts("r", 1.0, 138.0), "unknown: x"),
            owner_line("ATTEMPT_REFUSED", "u2", FULL, "queue-full"),
        )
        self.assertIn("ran 138.0 ms", diagnosis)

    def test_attempt_whose_owner_logged_no_end(self):
        attempt = AttemptFacts("u1", 0.1, "unknown: link-lost", 30.0)
        diagnosis = self.diagnose(end_call("unknown: link-lost", attempt, status=502))
        self.assertIn("the owner node logged no end of it", diagnosis)


if __name__ == "__main__":
    unittest.main()
