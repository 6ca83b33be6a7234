import unittest

from bendwind_core.plans import (
    WarningKind,
    apply_changes,
    compute_changes,
    compute_customer_differences,
    compute_differences,
    find_affected,
    find_customer_warnings,
    find_warnings,
    parse_intent,
    parse_revision,
    render_plan,
)
from bendwind_core.world import Configuration, Customer, Rule, Service, digest_key

SECRET = "k-secret"
DIGEST = digest_key(SECRET.encode())
OTHER = digest_key(b"other")
NORTE = Customer("norte", (DIGEST, OTHER), 1, 5.0, 2.0)
SUL = Customer("sul", (digest_key(b"s"),))


def parse(text):
    read = parse_intent("partial = true\n" + text, "f")
    assert read.is_ok(), read.error
    return read.ok


class Change:
    """Compute what an intent does to the current customers."""

    def __init__(self, current, text, is_partial=True):
        before = Configuration(1, customers=current)
        read = parse_intent(("partial = true\n" if is_partial else "services = []\n") + text, "f")
        assert read.is_ok(), read.error
        changes = compute_changes(before, read.ok)
        self.after = apply_changes(before, changes, 2).customers
        differences = compute_customer_differences(current, changes.customers)
        self.warnings = find_customer_warnings(current, changes.customers)
        self.lines = render_plan(tuple(differences), self.warnings)
        self.affected = find_affected(changes, ()).customers

    @property
    def kinds(self):
        return [warning.kind for warning in self.warnings]


class CustomerIntentTest(unittest.TestCase):
    def test_keys_are_parsed_to_digests(self):
        text = f"""[[customers]]
        name = "norte"
        keys = ["{SECRET}"]
        key_digests = ["{OTHER.hex()}"]
        rank = 1
        rate_per_s = 5
        burst = 2"""
        self.assertEqual(parse(text).customers, (NORTE,))

    def test_errors_name_the_fault_without_the_key(self):
        norte = f'[[customers]]\nname = "norte"\nkeys = ["{SECRET}"]\n'
        faulty = {
            norte + norte: "customers",
            norte + norte.replace("norte", "sul"): "customers",
            norte + f'key_digests = ["{DIGEST.hex()}"]': "customers",
            norte.replace(SECRET, SECRET + " x"): "customers[0].keys[0]",
            norte + 'key_digests = ["0a"]': "customers[0].key_digests[0]",
            norte + "rate_per_s = -1": "customers[0].rate_per_s",
            norte + "burst = nan": "customers[0].burst",
            norte + "rank = 100": "customers[0].rank",
            norte + "quota = 1": "customers[0].quota",
            norte.replace("norte", "n o"): "customers[0].name",
            "end_customers = true\n" + norte: "end_customers",
            'remove_customers = ["norte"]\n' + norte: "customers",
        }
        for text, key in faulty.items():
            error = parse_intent("partial = true\n" + text, "f").error
            self.assertEqual(error.key, key, (text, error))
            self.assertNotIn(SECRET, str(error))
            self.assertNotIn(DIGEST.hex(), str(error))
        alone = parse_intent('services = []\nremove_customers = ["a"]', "f").error
        self.assertEqual(alone.key, "remove_customers")

    def test_revision_file_holds_customers_and_open_routes(self):
        text = f"""revision = 3
        [[services]]
        name = "s"
        [[routes]]
        name = "r"
        host = "h"
        path_prefix = "/"
        parts = [{{ service = "s" }}]
        timeout_ms = 100
        open = true
        [[customers]]
        name = "norte"
        keys = ["{SECRET}"]"""
        command = parse_revision(text.encode(), "f").ok
        self.assertEqual(command.customers, (Customer("norte", (DIGEST,)),))
        self.assertTrue(command.routing.routes[0].is_open)
        shared = text + f'\n[[customers]]\nname = "sul"\nkeys = ["{SECRET}"]'
        refused = parse_revision(shared.encode(), "f").error
        self.assertIn("shared-key", str(refused))
        self.assertNotIn(SECRET, str(refused))


class CustomerChangeTest(unittest.TestCase):
    def test_file_without_customers_changes_none(self):
        for current in (None, (), (NORTE, SUL)):
            for is_partial in (False, True):
                change = Change(current, "", is_partial)
                self.assertEqual((change.after, change.lines), (current, ("no changes",)))

    def test_full_list_removes_other_customers_and_partial_list_keeps_them(self):
        text = '[[customers]]\nname = "leste"\nkeys = ["l"]'
        whole = Change((NORTE, SUL), text, is_partial=False)
        self.assertEqual([customer.name for customer in whole.after], ["leste"])
        self.assertEqual(whole.kinds, [WarningKind.CUSTOMER_ENDED] * 2)
        self.assertEqual(whole.affected, ("leste", "norte", "sul"))
        part = Change((NORTE, SUL), text)
        self.assertEqual([customer.name for customer in part.after], ["leste", "norte", "sul"])
        self.assertEqual(part.lines, ("+ customer leste (1 key)",))

    def test_adding_first_customers_and_ending_all_give_warnings(self):
        first = Change(None, "customers = []")
        self.assertEqual((first.after, first.kinds), ((), [WarningKind.KEYS_NEEDED]))
        self.assertEqual(first.lines[0], "~ keys: not needed -> needed")
        end = Change((NORTE,), "end_customers = true")
        self.assertIsNone(end.after)
        self.assertEqual(end.kinds, [WarningKind.KEYS_NOT_NEEDED])
        self.assertEqual(
            end.lines[:2],
            (
                "~ keys: needed -> not needed",
                "- customer norte (2 keys, rank 1, 5 requests/s, burst 2)",
            ),
        )
        self.assertIsNone(Change(None, "end_customers = true").after)

    def test_plan_lists_changes_by_customer_without_keys(self):
        text = f"""[[customers]]
        name = "norte"
        key_digests = ["{DIGEST.hex()}"]
        keys = ["new-1", "new-2"]
        rate_per_s = 3
        burst = 2
        [[customers]]
        name = "sul"
        rate_per_s = 1"""
        change = Change((NORTE, SUL), text)
        self.assertEqual(
            change.lines,
            (
                "~ customer norte",
                "    + 2 keys",
                "    - 1 key",
                "    ~ rank: 1 -> none",
                "    ~ rate_per_s: 5 -> 3",
                "~ customer sul",
                "    - 1 key",
                "    ~ rate_per_s: 0 -> 1",
                "warning: customer norte: rate-lowered: "
                "5 requests/s, burst 2 -> 3 requests/s, burst 2",
                "warning: customer sul: no-key: it has no key left",
                "warning: customer sul: rate-lowered: no limit -> 1 requests/s, burst 0",
            ),
        )

    def test_removed_customers_are_listed_as_affected(self):
        change = Change((NORTE, SUL), 'remove_customers = ["sul", "nobody"]')
        self.assertEqual(change.after, (NORTE,))
        self.assertEqual(change.affected, ("sul",))

    def test_rule_that_becomes_open_is_reported_as_loosened(self):
        before = Service("s", ("*",), rules=(Rule("/a"),))
        configuration = Configuration(1, (before,))
        text = """[[services]]
        name = "s"
        upstreams = ["*"]
        [[services.rules]]
        path = "/a"
        open = true"""
        changes = compute_changes(configuration, parse(text))
        self.assertTrue(changes.put[0].rules[0].is_open)
        differences = compute_differences(configuration, changes)
        kinds = [w.kind for w in find_warnings(configuration, changes, differences, ())]
        self.assertIn(WarningKind.RULE_LOOSENED, kinds)


if __name__ == "__main__":
    unittest.main()
