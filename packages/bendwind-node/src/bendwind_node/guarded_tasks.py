"""Start tasks whose fault ends neither the process nor its other tasks.

What only reports to the log or proposes to it is started here too: until the log has accepted a
command, nothing has been applied, and what is proposed next is found anew from state that the fault
left whole. Such a task handles each of its items by itself, so that a faulty one keeps none back.

What must end the process is started in its nursery directly: the control voter, which applies what
the log has accepted, so that its state would differ from that of others, and the links, membership,
claims held, quotas and clocks, whose state may be half changed. Every process that starts again
reads that state anew, and meets the same fault again if it lies in what the state holds. What is
applied is therefore checked before it is proposed, and applied without faults whatever it holds.
"""

from collections.abc import Awaitable, Callable

import trio

from bendwind_core.core import Seconds
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.failure import describe_failure, describe_task

# A task that always fails costs next to nothing, and one that failed once is soon back.
RESTART_DELAY: Seconds = 1.0


class GuardedNursery:
    """Start tasks in a nursery; a task that raises is recorded, and the others go on."""

    __slots__ = ("nursery", "recorder")

    def __init__(self, nursery: trio.Nursery, recorder: Recorder):
        self.nursery = nursery
        self.recorder = recorder

    def start_soon(self, run: Callable[..., Awaitable[object]], *arguments: object) -> None:
        """Start a task that ends by itself."""
        self.nursery.start_soon(self._run_once, run, arguments)

    def start_repeatedly(self, run: Callable[..., Awaitable[object]], *arguments: object) -> None:
        """Start a task that runs as long as the process; one that raises is started again."""
        self.nursery.start_soon(self._run_again, run, arguments)

    async def _run_once(self, run: Callable[..., Awaitable[object]], arguments: tuple) -> bool:
        try:
            await run(*arguments)
        except Exception as error:
            record_task_failure(self.recorder, error, describe_task(run))
            return False
        return True

    async def _run_again(self, run: Callable[..., Awaitable[object]], arguments: tuple) -> None:
        while not await self._run_once(run, arguments):
            await trio.sleep(RESTART_DELAY)


def record_task_failure(recorder: Recorder, error: BaseException, task: str = "") -> None:
    """Record an exception that ended a task or a request, but not the process."""
    detail = describe_failure(error)
    recorder.record(EventKind.TASK_FAILED, detail=f"{task}: {detail}" if task else detail)
