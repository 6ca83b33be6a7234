"""Put together the hand-overs whose bodies come in parts."""

import msgspec
from expression import Error, Ok, Result
from msgspec.structs import replace

from bendwind_core.attempts import AttemptId, BodyPart, HandOver, NotRunReason
from bendwind_core.core import Seconds
from bendwind_node.calls.body_flow import ByteBudget, Inflow
from bendwind_node.calls.time_left import deduct_time

MAX_ASSEMBLING = 256


class Assembly(msgspec.Struct, eq=False):
    """Hold a hand-over whose body is still coming, and since when."""

    hand_over: HandOver
    epoch: int
    inflow: Inflow
    begun_at: Seconds


class AssemblyTable(msgspec.Struct, eq=False):
    """Hold the incomplete hand-overs of one owner node, within a number and a byte budget.

    None of them has started, so each may be refused or dropped as not run.
    """

    body_limit: int
    budget: ByteBudget
    open: dict[AttemptId, Assembly] = msgspec.field(default_factory=dict)

    def start(self, hand_over: HandOver, epoch: int, now: Seconds) -> Result[None, NotRunReason]:
        """Begin with the first part, which came with the hand-over."""
        if len(self.open) >= MAX_ASSEMBLING:
            return Error(NotRunReason.OVERLOADED)
        inflow = Inflow(self.body_limit, self.budget)
        if not inflow.append(0, hand_over.body):
            return Error(NotRunReason.OVERLOADED)
        self.open[hand_over.attempt] = Assembly(hand_over, epoch, inflow, now)
        return Ok(None)

    def add(
        self, part: BodyPart, epoch: int, now: Seconds
    ) -> Result[HandOver | None, NotRunReason] | None:
        """Add a part; return the whole hand-over once complete, None for an unknown attempt."""
        assembly = self.open.get(part.attempt)
        if assembly is None or assembly.epoch != epoch:
            return None
        if not assembly.inflow.append(part.index, part.data):
            self.drop(part.attempt)
            return Error(NotRunReason.OVERLOADED)
        if part.more:
            return Ok(None)
        self.drop(part.attempt)
        # Its body would have to come again to another owner, which takes longer than most waits.
        whole = replace(assembly.hand_over, body=assembly.inflow.join(), more=False, may_wait=True)
        # Its caller waited while the body came.
        return Ok(deduct_time(whole, now - assembly.begun_at))

    def drop(self, attempt: AttemptId) -> None:
        """Forget a hand-over and free its bytes."""
        assembly = self.open.pop(attempt, None)
        if assembly is not None:
            assembly.inflow.release()

    def drop_all_of(self, entry: str) -> None:
        """Forget every hand-over of an entry node whose link broke."""
        for attempt in [attempt for attempt in self.open if attempt.entry == entry]:
            self.drop(attempt)
