"""Assemble the hand-overs whose bodies arrive in parts."""

import msgspec
from expression import Error, Ok, Result
from msgspec.structs import replace

from bendwind_core.attempts import AttemptId, BodyPart, HandOver, NotRunReason
from bendwind_core.core import Seconds
from bendwind_node.calls.body_flow import ByteBudget, Inflow
from bendwind_node.calls.time_left import deduct_time

MAX_INCOMPLETE_HAND_OVERS = 256


class Assembly(msgspec.Struct, eq=False):
    """Hold a hand-over whose body is incomplete, and the time at which it arrived."""

    hand_over: HandOver
    epoch: int
    inflow: Inflow
    started_at: Seconds


class AssemblyTable(msgspec.Struct, eq=False):
    """Hold the incomplete hand-overs of one owner node, limited in number and in bytes.

    None of them has started, so each may be refused as not run or dropped.
    """

    body_limit: int
    budget: ByteBudget
    open: dict[AttemptId, Assembly] = msgspec.field(default_factory=dict)

    def start(self, hand_over: HandOver, epoch: int, now: Seconds) -> Result[None, NotRunReason]:
        """Start an assembly with the first part of the body, which the hand-over contains."""
        if len(self.open) >= MAX_INCOMPLETE_HAND_OVERS:
            return Error(NotRunReason.OVERLOADED)
        inflow = Inflow(self.body_limit, self.budget)
        if not inflow.append(0, hand_over.body):
            return Error(NotRunReason.OVERLOADED)
        self.open[hand_over.attempt] = Assembly(hand_over, epoch, inflow, now)
        return Ok(None)

    def add(
        self, part: BodyPart, epoch: int, now: Seconds
    ) -> Result[HandOver | None, NotRunReason] | None:
        """Add a part; return the hand-over once it is complete, None for an unknown attempt."""
        assembly = self.open.get(part.attempt)
        if assembly is None or assembly.epoch != epoch:
            return None
        if not assembly.inflow.append(part.index, part.data):
            self.drop(part.attempt)
            return Error(NotRunReason.OVERLOADED)
        if part.more:
            return Ok(None)
        self.drop(part.attempt)
        # The attempt may wait in the queue now: after a refusal its body would have to be sent
        # again to another owner, which takes longer than most waits.
        whole = replace(assembly.hand_over, body=assembly.inflow.join(), more=False, may_wait=True)
        # The caller's time was running while the body arrived.
        return Ok(deduct_time(whole, now - assembly.started_at))

    def drop(self, attempt: AttemptId) -> None:
        """Remove a hand-over and free its bytes."""
        assembly = self.open.pop(attempt, None)
        if assembly is not None:
            assembly.inflow.release()

    def drop_by_entry(self, entry: str) -> None:
        """Remove all hand-overs of an entry node whose link broke."""
        for attempt in [attempt for attempt in self.open if attempt.entry == entry]:
            self.drop(attempt)
