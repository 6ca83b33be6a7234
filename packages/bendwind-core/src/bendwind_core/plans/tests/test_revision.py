import math
import unittest

import msgspec

from bendwind_core.plans import (
    Changes,
    ConfirmPlan,
    ControlState,
    CreatePlan,
    MarkEvacuated,
    PutRevision,
    RevisionFaultKind,
    RevisionStatus,
    Superseded,
    encode_command,
    find_revision_fault,
)
from bendwind_core.plans.customer_faults import CustomerFaultKind
from bendwind_core.world import Customer, Route, Routing, Rule, Service, SplitPart, digest_key

ONE_PART = (SplitPart("s"),)


def make_put(revision, document=b"", routes=(), services=("s",)):
    named = tuple(Service(name, ("*",)) for name in services)
    return PutRevision(named, Routing(revision, tuple(routes)), document)


def make_route(host="h", prefix="/a/", parts=ONE_PART, rule=None):
    return Route("r", host, prefix, tuple(parts), rule or Rule("*", longest_wait_ms=100.0))


class PutRevisionTest(unittest.TestCase):
    def setUp(self):
        self.state = ControlState()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.state.apply(self.index, encode_command(command).ok)

    def test_highest_revision_is_active_regardless_of_order(self):
        for revision in (5, 3, 9, 9, 7):
            self.apply(make_put(revision, b"%d" % revision))
        self.assertEqual(self.state.configuration.routing.revision, 9)
        self.assertEqual(self.state.document, b"9")

    def test_other_content_under_the_current_revision_is_ignored(self):
        self.apply(make_put(5, b"first", services=("s",)))
        result = self.apply(make_put(5, b"second", services=("t",)))
        self.assertEqual(result, RevisionStatus(5, 1, is_new=False))
        self.assertEqual(self.state.document, b"first")
        self.assertIsNotNone(self.state.configuration.find_service("s"))

    def test_snapshot_restores_routes_and_document(self):
        self.apply(make_put(5, b"text", [make_route()]))
        other = ControlState()
        other.restore(self.state.snapshot())
        self.assertEqual(other.configuration, self.state.configuration)
        self.assertEqual(other.document, b"text")

    def test_revision_supersedes_open_plans_and_later_plans_keep_its_routes(self):
        changes = Changes((Service("t", ("*",)),))
        self.apply(CreatePlan("k1", b"d", 0, changes, 0, 60_000))
        self.apply(make_put(5, b"text", [make_route()]))
        self.assertIsInstance(self.apply(ConfirmPlan(1, 1)), Superseded)
        self.apply(CreatePlan("k2", b"d", 2, changes, 0, 60_000))
        self.apply(ConfirmPlan(4, 1))
        self.assertIsNotNone(self.state.configuration.find_service("t"))
        self.assertEqual(self.state.configuration.routing.routes, (make_route(),))

    def test_customers_stay_sorted_by_name_after_plans_evacuations_and_snapshots(self):
        customers = (Customer("sul", (digest_key(b"b"),), 1, 5.0, 2.0), Customer("norte"))
        self.apply(msgspec.structs.replace(make_put(5), customers=customers))
        self.apply(CreatePlan("k", b"d", 1, Changes((Service("t", ("*",)),)), 0, 60_000))
        self.apply(ConfirmPlan(2, 1))
        self.apply(MarkEvacuated("dc", True))
        other = ControlState()
        other.restore(self.state.snapshot())
        self.assertEqual(other.configuration.version, 4)
        self.assertEqual(other.configuration.customers, customers[::-1])
        self.apply(make_put(6))
        self.assertIsNone(self.state.configuration.customers)


class RevisionFaultTest(unittest.TestCase):
    def test_each_fault_is_reported(self):
        kinds = RevisionFaultKind
        wait = Rule("*", longest_wait_ms=100.0)
        cases = {
            kinds.NO_HOST: make_route(host=""),
            kinds.BAD_PREFIX: make_route(prefix="a/"),
            kinds.NO_SERVICE: make_route(parts=()),
            kinds.UNKNOWN_SERVICE: make_route(parts=(SplitPart("t"),)),
            kinds.NO_WEIGHT: make_route(parts=(SplitPart("s", 0),)),
            kinds.NO_TIMEOUT: make_route(rule=Rule("*", longest_wait_ms=0.0)),
            kinds.NO_ATTEMPTS: make_route(rule=Rule("*", longest_wait_ms=1.0, attempts=0)),
        }
        for kind, route in cases.items():
            self.assertEqual(find_revision_fault(make_put(1, routes=[route])).kind, kind)
        duplicate = make_put(1, routes=[make_route(rule=wait), make_route(rule=wait)])
        self.assertEqual(find_revision_fault(duplicate).kind, kinds.DUPLICATE_PLACE)
        same = make_put(1, services=("s", "s"))
        self.assertEqual(find_revision_fault(same).kind, kinds.DUPLICATE_SERVICE)
        self.assertEqual(find_revision_fault(make_put(0)).kind, kinds.BAD_REVISION)
        self.assertIsNone(find_revision_fault(make_put(1, routes=[make_route()])))

    def test_configuration_too_large_for_one_message_is_refused(self):
        fault = find_revision_fault(make_put(1, b"x" * (7 << 19)))
        self.assertEqual(fault.kind, RevisionFaultKind.TOO_LARGE)
        self.assertIsNone(find_revision_fault(make_put(1, b"x" * (3 << 20))))

    def test_number_that_no_entry_can_hold_is_refused_as_invalid(self):
        for number in (2**64, -(2**70), 10**5000):
            rule = Rule("*", longest_wait_ms=1.0, priority=number)
            fault = find_revision_fault(make_put(1, routes=[make_route(rule=rule)]))
            self.assertEqual(fault.kind, RevisionFaultKind.UNENCODABLE)

    def test_timeout_that_never_ends_is_refused(self):
        for timeout_ms in (math.inf, math.nan):
            rule = Rule("*", longest_wait_ms=timeout_ms)
            fault = find_revision_fault(make_put(1, routes=[make_route(rule=rule)]))
            self.assertEqual(fault.kind, RevisionFaultKind.NO_TIMEOUT)

    def find_customer_fault(self, *customers):
        put = msgspec.structs.replace(make_put(1), customers=customers)
        return find_revision_fault(put)

    def test_each_customer_fault_is_reported_without_the_key(self):
        kinds = CustomerFaultKind
        key, other = digest_key(b"secret"), digest_key(b"else")
        cases = (
            (kinds.BAD_NAME, Customer("")),
            (kinds.BAD_NAME, Customer("a b")),
            (kinds.BAD_NAME, Customer("a\r\nx: y")),
            (kinds.BAD_NAME, Customer("é")),
            (kinds.BAD_NAME, Customer("x" * 65)),
            (kinds.EMPTY_KEY, Customer("a", (digest_key(b""),))),
            (kinds.DUPLICATE_KEY, Customer("a", (key, other, key))),
            (kinds.BAD_RANK, Customer("a", rank=-1)),
            (kinds.BAD_RANK, Customer("a", rank=100)),
            (kinds.BAD_RATE, Customer("a", rate_per_s=-0.5)),
            (kinds.BAD_RATE, Customer("a", rate_per_s=math.inf)),
            (kinds.BAD_BURST, Customer("a", burst=-1.0)),
            (kinds.BAD_BURST, Customer("a", burst=math.nan)),
        )
        for kind, customer in cases:
            self.assertEqual(self.find_customer_fault(customer).kind, kind)
        duplicate = self.find_customer_fault(Customer("a", (key,)), Customer("a", (other,)))
        self.assertEqual(duplicate.kind, kinds.DUPLICATE_NAME)
        shared = self.find_customer_fault(Customer("a", (key,)), Customer("b", (other, key)))
        self.assertEqual(str(shared), "shared-key: a and b")

    def test_numbers_of_customers_and_keys_are_bounded(self):
        many = tuple(Customer(f"c{index}", (b"%d" % index,)) for index in range(20_000))
        self.assertIsNone(self.find_customer_fault(*many))
        self.assertIsNone(self.find_customer_fault())
        more = self.find_customer_fault(*many, Customer("x"))
        self.assertEqual(more.kind, CustomerFaultKind.TOO_MANY_CUSTOMERS)
        keys = tuple(b"%d" % index for index in range(60_001))
        fault = self.find_customer_fault(Customer("a", keys))
        self.assertEqual(fault.kind, CustomerFaultKind.TOO_MANY_KEYS)


if __name__ == "__main__":
    unittest.main()
