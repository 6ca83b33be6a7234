import unittest

from bendwind_core.limits import UrgencyQueue, urgency_queue


class UrgencyQueueTest(unittest.TestCase):
    def fill(self, *dues, capacity=10):
        queue = UrgencyQueue(capacity)
        for due in dues:
            urgency_queue.push(queue, due, f"due-{due}")
        return queue

    def test_most_urgent_that_is_still_in_time_comes_first(self):
        queue = self.fill(3.0, 1.0, 2.0)
        taken = [urgency_queue.pop(queue, 1.5) for _ in range(4)]
        self.assertEqual(taken, ["due-2.0", "due-3.0", "due-1.0", None])

    def test_of_those_that_are_late_the_least_late_comes_first(self):
        queue = self.fill(1.0, 2.0)
        self.assertEqual(urgency_queue.pop(queue, 5.0), "due-2.0")

    def test_full_queue_gives_up_the_least_urgent(self):
        queue = self.fill(1.0, 3.0, capacity=2)
        self.assertEqual(urgency_queue.push(queue, 2.0, "new"), "due-3.0")
        self.assertEqual(urgency_queue.push(queue, 9.0, "late"), "late")

    def test_equal_items_are_told_apart_when_one_is_removed(self):
        queue = UrgencyQueue(4)
        first, second = [1], [1]
        urgency_queue.push(queue, 1.0, first)
        urgency_queue.push(queue, 1.0, second)
        self.assertTrue(urgency_queue.remove(queue, second))
        self.assertFalse(urgency_queue.remove(queue, second))
        self.assertIs(urgency_queue.pop(queue, 0.0), first)


if __name__ == "__main__":
    unittest.main()
