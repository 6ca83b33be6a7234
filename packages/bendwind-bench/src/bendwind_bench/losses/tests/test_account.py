import contextlib
import io
import tempfile
import unittest
from pathlib import Path

import msgspec

from bendwind_bench.losses import (
    By,
    Fate,
    aggregate_rows,
    group_rows,
    list_rows,
    render_account,
    report_losses,
)
from bendwind_bench.losses.account import MAX_GROUPS, REMAINING_GROUPS
from bendwind_bench.losses.tests.test_free import run, start
from bendwind_bench.losses.tests.test_losses import read
from bendwind_core.timeline import AttemptFacts, CallFacts, LogLine


def call(request, end_ms=1000, detail="answered", ends=("200",), number=1, instance="e", **more):
    """Make the line of a finished call whose attempts took 50 ms each, one after the other."""
    attempts = tuple(
        AttemptFacts("u" if i == len(ends) - 1 else f"u{i}", 5.0 + 50 * i, end, 50.0)
        for i, end in enumerate(ends)
    )
    fields = {"status": 200, "ms": 10.0 + 50 * len(ends), "target_ms": 2000.0, **more}
    facts = CallFacts(**{"service": "s", "route": "r", "attempts": attempts, **fields})
    line = LogLine("info", instance, end_ms, "CALL_FINISHED", 102)
    return msgspec.structs.replace(
        line, call=f"e/1/c{number}", request=request, detail=detail, facts=facts
    )


def dispatch(request, end_ms, ms, waited_ms, upstream="u", **more):
    line = run(upstream, end_ms, ms, waited_ms, **more)
    return msgspec.structs.replace(line, request=request)


class AccountTest(unittest.TestCase):
    def only(self, *lines):
        (row,) = list_rows(read(*lines))
        return row

    def test_time_is_split_into_stages_that_add_up(self):
        ends = ("not-run: queue-full", "200")
        row = self.only(call("a", ends=ends), dispatch("a", 990, 20.0, 15.0))
        stages = msgspec.structs.asdict(row.stages)
        self.assertEqual(stages["sent_back"], 50.0)
        self.assertEqual((stages["waiting"], stages["running"]), (15.0, 20.0))
        self.assertEqual(stages["on_the_way"], 15.0)
        self.assertEqual(sum(stages.values()), row.call.facts.ms)
        self.assertEqual(row.sent_back, 1)

    def test_running_time_is_capped_when_owner_records_end_after_answer(self):
        row = self.only(call("a"), dispatch("a", 990, 45.0, 15.0))
        self.assertEqual((row.stages.waiting, row.stages.running), (15.0, 35.0))
        self.assertEqual(row.stages.on_the_way, 0.0)

    def test_wait_counts_as_free_while_another_upstream_was_free(self):
        waits = dispatch("a", 990, 100.0, 200.0)
        long = call("a", ms=400.0)
        other = dispatch("b", 750, 50.0, 0.0, "v")
        other_call = call(
            "b", 750, ms=50.0, attempts=(AttemptFacts("v", 0.0, "200", 50.0),), number=2
        )
        rows = list_rows(read(long, waits, other, other_call))
        row = next(row for row in rows if row.call.request == "a")
        # The attempt waited from 690 to 890, and the other upstream ran a request from 700 to 750.
        self.assertEqual((row.waited_ms, row.waited_free_ms), (200.0, 150.0))
        account = aggregate_rows(rows)
        self.assertEqual((account.waited, account.waited_free, account.waited_near), (1, 1, 1))
        self.assertEqual(account.waited_free_ms, 150.0)

    def test_fates_and_refusal_reasons_are_counted(self):
        rows = list_rows(
            read(
                call("a"),
                call("b", ms=3000.0, number=2),
                call("c", detail="not-run: queue-full", status=503, number=3),
                call("d", detail="unknown: link-lost", status=502, number=4),
                call("e", detail="caller gone", status=0, number=5),
                call("f", status=500, number=6),
            )
        )
        account = aggregate_rows(rows)
        self.assertEqual(account.fates[Fate.FAILED], 2)
        self.assertEqual(
            {fate: account.fates[fate] for fate in Fate if fate is not Fate.FAILED},
            dict.fromkeys((Fate.IN_TIME, Fate.LATE, Fate.REFUSED, Fate.CALLER_GONE), 1),
        )
        self.assertEqual(dict(account.reasons), {"queue-full": 1})
        self.assertEqual(account.served, 2)

    def test_run_is_for_nothing_if_its_inner_call_was_refused(self):
        outer = call("a", status=500, ends=("500",))
        ran = dispatch("a", 990, 400.0, 0.0)
        refused = call("a.1", 900, "not-run: shed", status=503, service="t", number=2)
        row = next(row for row in list_rows(read(outer, ran, refused)) if not row.is_inner)
        self.assertTrue(row.is_for_nothing)
        self.assertEqual(row.failed_run.inner.facts.service, "t")
        text = render_account(list_rows(read(outer, ran, refused)), By.SERVICE)
        self.assertRegex(text, r"s r +t r +not-run: shed +1")

    def test_run_without_a_refused_inner_call_during_it_is_not_for_nothing(self):
        outer = call("a", status=500, ends=("500",))
        ran = dispatch("a", 990, 100.0, 0.0)
        early = call("a.1", 500, "not-run: shed", status=503, number=2)
        lost = call("a.2", 950, "unknown: link-lost", status=502, number=3)
        for inner in ((), (early,), (early, lost)):
            rows = list_rows(read(outer, ran, *inner))
            self.assertEqual(aggregate_rows(rows).for_nothing, 0, inner)

    def test_calls_without_a_request_id_are_not_inner_calls(self):
        outer = call("", status=500, ends=("500",))
        refused = call("", 1005, "not-run: shed", status=503, number=2)
        rows = list_rows(read(outer, dispatch("", 990, 400.0, 0.0), refused))
        self.assertEqual([row.is_inner for row in rows], [False, False])
        self.assertEqual(aggregate_rows(rows).for_nothing, 0)

    def test_calls_are_grouped_by_rank_customer_service_and_data_centre(self):
        rows = list_rows(
            read(
                start("e", "north"),
                call("a", rank=2, customer="mill"),
                call("b", number=2, instance="f", service="t"),
            )
        )
        self.assertEqual(set(group_rows(rows, By.RANK)), {"rank 0", "rank 2"})
        self.assertEqual(set(group_rows(rows, By.CUSTOMER)), {"mill", "unnamed"})
        self.assertEqual(set(group_rows(rows, By.SERVICE)), {"s", "t"})
        self.assertEqual(set(group_rows(rows, By.DATA_CENTRE)), {"north", "unknown"})

    def test_customers_beyond_the_largest_ten_share_a_group(self):
        calls = [
            call(f"{i}-{j}", customer=f"c{i}", number=100 * i + j)
            for i in range(MAX_GROUPS + 3)
            for j in range(20 - i)
        ]
        groups = group_rows(list_rows(read(*calls)), By.CUSTOMER)
        self.assertEqual(list(groups), [*(f"c{i}" for i in range(MAX_GROUPS)), REMAINING_GROUPS])
        self.assertEqual(sum(map(len, groups.values())), len(calls))

    def test_refusal_while_another_upstream_was_free_is_counted(self):
        refused = call("a", detail="not-run: queue-full", status=503)
        free = call("b", 2000, ms=1900.0, number=2)
        self.assertEqual(aggregate_rows(list_rows(read(refused, free))).refused_free, 0)
        known = dispatch("c", 500, 10.0, 0.0)
        self.assertEqual(aggregate_rows(list_rows(read(refused, free, known))).refused_free, 1)
        full = dispatch("c", 1500, 1400.0, 0.0)
        self.assertEqual(
            aggregate_rows(list_rows(read(refused, free, known, full))).refused_free, 0
        )


class CommandTest(unittest.TestCase):
    def account(self, *files, by="route", plot="", place=""):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = report_losses(files, by, plot, place)
        return code, out.getvalue(), err.getvalue()

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "day.txt"
        lines = (call("a", instance="e"), dispatch("a", 990, 20.0, 15.0))
        texts = [f"0.1 north-7 {msgspec.json.encode(line).decode()}\n" for line in lines]
        self.file.write_text("".join(texts))

    def test_command_prints_agreement_with_owners_and_writes_plot(self):
        plot = self.file.with_suffix(".png")
        code, out, err = self.account(str(self.file), plot=str(plot))
        self.assertEqual(code, 0, err)
        self.assertIn("at 1 of 1 starts", out)
        self.assertGreater(plot.stat().st_size, 1000)

    def test_data_centre_is_read_from_the_collector_prefix(self):
        _, out, _ = self.account(str(self.file), by="data-centre", place=r"(\w+)-\d+ $")
        self.assertRegex(out, r"(?m)^north +1 ")

    def test_bad_input_prints_one_line_with_the_expected_value(self):
        name = str(self.file)
        cases = (
            ((), {}),
            (("nowhere",), {}),
            ((name,), {"by": "colour"}),
            ((name,), {"place": "("}),
            ((name,), {"place": "north"}),
        )
        for files, options in cases:
            code, out, err = self.account(*files, **options)
            self.assertEqual((code, out, err.count("\n")), (2, "", 1), (files, options))
            self.assertIn("expected", err)


if __name__ == "__main__":
    unittest.main()
