"""Assemble the hand-overs whose bodies arrive in parts."""

import msgspec
from expression import Error, Ok, Result
from msgspec.structs import replace

from bendwind_core.attempts import AttemptId, BodyPart, HandOver, NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_node.calls.body_flow import ByteBudget, Inflow
from bendwind_node.calls.body_share import BodyShare, create_body_share
from bendwind_node.calls.time_left import deduct_time
from bendwind_node.links.link import DEFAULT_LINK_MBPS

MAX_INCOMPLETE_HAND_OVERS = 256


class Assembly(msgspec.Struct, eq=False):
    """Hold a hand-over whose body is incomplete, and the time at which it arrived."""

    hand_over: HandOver
    epoch: int
    inflow: Inflow
    started_at: Seconds

    @property
    def expires_at(self) -> Seconds:
        """Return the time at which the caller's time ends."""
        return self.started_at + self.hand_over.remaining_ms / MILLISECONDS_PER_SECOND


class AssemblyTable(msgspec.Struct, eq=False):
    """Hold the incomplete hand-overs of one owner node, limited in number and in bytes.

    None of them has started, so each may be refused as not run or dropped. `share` limits how much
    of their bodies may be under way.
    """

    body_limit: int
    budget: ByteBudget
    open: dict[AttemptId, Assembly] = msgspec.field(default_factory=dict)
    share: BodyShare = msgspec.field(default_factory=lambda: create_body_share(DEFAULT_LINK_MBPS))

    def start(self, hand_over: HandOver, epoch: int, now: Seconds) -> Result[None, NotRunReason]:
        """Start an assembly with the first part of the body, which the hand-over contains."""
        if len(self.open) >= MAX_INCOMPLETE_HAND_OVERS:
            return Error(NotRunReason.OVERLOADED)
        inflow = Inflow(self.body_limit, self.budget)
        if not inflow.append(0, hand_over.body):
            return Error(NotRunReason.OVERLOADED)
        self.open[hand_over.attempt] = Assembly(hand_over, epoch, inflow, now)
        if not hand_over.body:
            self.share.open(hand_over.attempt)
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
        self.share.record_arrival(part.attempt, len(part.data))
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
        self.share.close(attempt)
        if assembly is not None:
            assembly.inflow.release()

    def is_credited_by_share(self, attempt: AttemptId) -> bool:
        """Return whether the entry node sends a body only as the share permits."""
        return attempt in self.share.credits

    def grant_credits(self) -> list[tuple[Assembly, int]]:
        """Return the hand-overs whose bodies may go on, with the credit of each."""
        return [(self.open[attempt], credit) for attempt, credit in self.share.grant()]

    def pop_expired(self, now: Seconds) -> list[Assembly]:
        """Remove and return the hand-overs whose time has ended before their body was complete."""
        expired = [assembly for assembly in self.open.values() if now >= assembly.expires_at]
        for assembly in expired:
            self.drop(assembly.hand_over.attempt)
        return expired

    def drop_by_entry(self, entry: str) -> None:
        """Remove all hand-overs of an entry node whose link broke."""
        for attempt in [attempt for attempt in self.open if attempt.entry == entry]:
            self.drop(attempt)
