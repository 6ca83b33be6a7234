import unittest

import trio
import trio.testing

from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.guarded_tasks import RESTART_DELAY, GuardedNursery


class GuardedNurseryTest(unittest.TestCase):
    def setUp(self):
        self.recorder = Recorder("n1", lambda: 0, 1000)
        self.runs = []

    async def fail(self, text):
        self.runs.append(trio.current_time())
        raise ValueError(text)

    def run_with(self, check):
        async def main():
            async with trio.open_nursery() as nursery:
                await check(GuardedNursery(nursery, self.recorder))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))

    def test_task_that_raises_is_recorded_and_the_others_go_on(self):
        async def check(guarded):
            ended = trio.Event()

            async def end():
                ended.set()

            guarded.start_soon(self.fail, "broken")
            guarded.start_soon(end)
            await ended.wait()
            await trio.testing.wait_all_tasks_blocked()
            (event,) = self.recorder.events
            self.assertIs(event.kind, EventKind.TASK_FAILED)
            self.assertIn("GuardedNurseryTest.fail: ValueError: broken", event.detail)

        self.run_with(check)

    def test_task_of_the_process_is_started_again_after_a_delay(self):
        async def check(guarded):
            guarded.start_repeatedly(self.fail, "broken")
            await trio.sleep(2.5 * RESTART_DELAY)
            self.assertEqual(len(self.runs), 3)
            self.assertEqual(len(self.recorder.events), 3)

        self.run_with(check)

    def test_cancelled_task_is_no_failure(self):
        async def check(guarded):
            guarded.start_repeatedly(trio.sleep_forever)
            await trio.testing.wait_all_tasks_blocked()

        self.run_with(check)
        self.assertEqual(len(self.recorder.events), 0)


if __name__ == "__main__":
    unittest.main()
