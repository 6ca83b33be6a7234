import collections
import unittest

from bendwind_bench.load import (
    LoadPlan,
    Outcome,
    RequestKind,
    Sample,
    check_guarantees,
    schedule_sends,
)

KINDS = [
    RequestKind("catastro", "/records/1"),
    RequestKind("emisor", "/certificates", "POST", marked=True, keyed=True, resend=0.5),
]


def make_plan(**keys):
    return LoadPlan("p", 0.0, 10.0, 100.0, KINDS, ["a:1", "b:2"], **keys)


def make_sample(outcome, request="r1", number=0, marked=True):
    return Sample(0.0, 1.0, "emisor", outcome, 200, "", request, number, "a:1", marked=marked)


class ScheduleTests(unittest.TestCase):
    def test_sends_depend_only_on_seed(self):
        self.assertEqual(schedule_sends(make_plan(seed=1)), schedule_sends(make_plan(seed=1)))
        self.assertNotEqual(schedule_sends(make_plan(seed=1)), schedule_sends(make_plan(seed=2)))

    def test_only_keyed_requests_are_resent_with_the_same_id(self):
        sends = schedule_sends(make_plan())
        numbers = collections.Counter(send.request for send in sends)
        kinds = {send.request: KINDS[send.kind] for send in sends}
        again = [request for request, count in numbers.items() if count > 1]
        self.assertTrue(again)
        self.assertTrue(all(kinds[request].keyed for request in again))
        self.assertEqual(sends, sorted(sends, key=lambda send: send.at_s))


class GuaranteeTests(unittest.TestCase):
    def count_violations(self, samples, runs):
        return len(check_guarantees(samples, collections.Counter(runs)).violations)

    def test_kept_guarantees_give_no_violation(self):
        samples = [
            make_sample(Outcome.WHOLE),
            make_sample(Outcome.UNKNOWN, number=1),
            make_sample(Outcome.NOT_RUN, "r2"),
            make_sample(Outcome.UNKNOWN, "r3"),
        ]
        self.assertEqual(self.count_violations(samples, {("r1", 0): 1}), 0)

    def test_not_run_request_that_ran_is_a_violation(self):
        self.assertEqual(self.count_violations([make_sample(Outcome.NOT_RUN)], {("r1", 0): 1}), 1)

    def test_marked_request_run_by_two_sends_is_a_violation(self):
        samples = [make_sample(Outcome.WHOLE), make_sample(Outcome.WHOLE, number=1)]
        self.assertEqual(self.count_violations(samples, {("r1", 0): 1, ("r1", 1): 1}), 1)

    def test_unmarked_request_may_run_twice(self):
        self.assertEqual(
            self.count_violations([make_sample(Outcome.WHOLE, marked=False)], {("r1", 0): 2}), 0
        )

    def test_wrong_answer_and_answer_without_run_are_violations(self):
        self.assertEqual(self.count_violations([make_sample(Outcome.BROKEN)], {("r1", 0): 1}), 1)
        self.assertEqual(self.count_violations([make_sample(Outcome.WHOLE)], {}), 1)

    def test_not_run_answer_to_resend_after_first_send_ran_is_misleading(self):
        samples = [make_sample(Outcome.WHOLE), make_sample(Outcome.NOT_RUN, number=1)]
        guarantees = check_guarantees(samples, collections.Counter({("r1", 0): 1}))
        self.assertEqual((guarantees.is_ok, guarantees.misleading_not_run), (True, 1))
