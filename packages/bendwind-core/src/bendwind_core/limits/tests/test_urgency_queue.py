import unittest

from bendwind_core.limits import UrgencyQueue, urgency_queue


class UrgencyQueueTest(unittest.TestCase):
    def fill(self, *due_times, capacity=10):
        queue = UrgencyQueue(capacity)
        for due_at in due_times:
            urgency_queue.push(queue, due_at, f"due-{due_at}")
        return queue

    def test_earliest_item_that_can_start_in_time_comes_first(self):
        queue = self.fill(3.0, 1.0, 2.0)
        taken = [urgency_queue.pop(queue, 1.5) for _ in range(4)]
        self.assertEqual(taken, ["due-2.0", "due-3.0", "due-1.0", None])

    def test_least_late_item_comes_first_if_all_are_late(self):
        queue = self.fill(1.0, 2.0)
        self.assertEqual(urgency_queue.pop(queue, 5.0), "due-2.0")

    def test_full_queue_evicts_the_item_due_last(self):
        queue = self.fill(1.0, 3.0, capacity=2)
        self.assertEqual(urgency_queue.push(queue, 2.0, "new"), "due-3.0")
        self.assertEqual(urgency_queue.push(queue, 9.0, "late"), "late")

    def test_removal_distinguishes_equal_items(self):
        queue = UrgencyQueue(4)
        first, second = [1], [1]
        urgency_queue.push(queue, 1.0, first)
        urgency_queue.push(queue, 1.0, second)
        self.assertTrue(urgency_queue.remove(queue, second))
        self.assertFalse(urgency_queue.remove(queue, second))
        self.assertIs(urgency_queue.pop(queue, 0.0), first)


if __name__ == "__main__":
    unittest.main()
