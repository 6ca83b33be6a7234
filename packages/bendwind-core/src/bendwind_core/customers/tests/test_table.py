import unittest

from bendwind_core.customers import change_customers, create_customer_table, find_customer
from bendwind_core.world import Customer, digest_key


def make_customer(name, *keys, **settings):
    return Customer(name, tuple(digest_key(key) for key in keys), **settings)


class CustomerTableTest(unittest.TestCase):
    def find(self, key):
        found = find_customer(self.table, key)
        return found and found.name

    def setUp(self):
        self.table = create_customer_table(
            [make_customer("norte", b"k1", b"k2"), make_customer("sul", b"k3")]
        )

    def test_each_key_identifies_its_customer_and_other_keys_none(self):
        self.assertEqual([self.find(key) for key in (b"k1", b"k2", b"k3")], ["norte"] * 2 + ["sul"])
        self.assertEqual([self.find(key) for key in (b"k4", b"", b"norte")], [None] * 3)

    def test_withdrawn_keys_are_unknown_immediately(self):
        change_customers(self.table, [make_customer("norte", b"k2")], ["sul"])
        self.assertEqual([self.find(key) for key in (b"k1", b"k2", b"k3")], [None, "norte", None])
        self.assertEqual((list(self.table.by_name), len(self.table.by_key)), (["norte"], 1))

    def test_key_that_moves_belongs_to_its_new_customer_in_any_order_of_changes(self):
        changed = [make_customer("norte", b"k3"), make_customer("sul", b"k1")]
        for order in (changed, changed[::-1]):
            self.setUp()
            change_customers(self.table, order, ())
            self.assertEqual(
                [self.find(key) for key in (b"k1", b"k2", b"k3")], ["sul", None, "norte"]
            )

    def test_key_of_a_removed_customer_may_move_to_another_in_the_same_change(self):
        change_customers(self.table, [make_customer("norte", b"k3")], ["sul"])
        self.assertEqual(self.find(b"k3"), "norte")


if __name__ == "__main__":
    unittest.main()
