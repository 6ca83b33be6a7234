"""Run the claims of one node, which acts as an entry node and as a holder."""

import collections
from collections.abc import Callable

import msgspec
import trio

from bendwind_core.claims import (
    ClaimAnswer,
    ClaimCopied,
    ClaimDecision,
    ClaimGroup,
    ClaimLeave,
    ClaimLimits,
    ClaimMessage,
    ClaimOutcome,
    ClaimRefused,
    ClaimRelease,
    ClaimRequest,
    ClaimState,
    Granted,
    RefusalReason,
    create_holder,
    format_member,
    parse_node_name,
)
from bendwind_core.claims.entry import (
    AbandonClaim,
    Decide,
    EntryClaims,
    EntryEvent,
    EntryTick,
    GroupReceived,
    ReplyReceived,
    SettleClaim,
    StartClaim,
    step_entry,
)
from bendwind_core.claims.events import (
    GroupChanged,
    HolderEvent,
    LeaseRenewed,
    Received,
    Send,
    SendToControl,
    Tick,
)
from bendwind_core.claims.holder import step_holder
from bendwind_core.claims.messages import (
    ClaimAppend,
    ClaimAppended,
    ClaimConflict,
    ClaimGranted,
    ClaimHeld,
    ClaimSettled,
    ClaimUnavailable,
)
from bendwind_core.claims.state import ClaimHolder
from bendwind_core.core import Seconds
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance
from bendwind_node.failure import HandledInput

TICK: Seconds = 0.1
IDLE_TICK: Seconds = 0.5
INBOX_MESSAGES = 1024
DEFAULT_LIMITS = ClaimLimits()

_TO_ENTRY = (ClaimGranted, ClaimHeld, ClaimConflict, ClaimUnavailable, ClaimSettled)
_TO_HOLDER = (ClaimRequest, ClaimOutcome, ClaimRelease, ClaimAppend, ClaimAppended)


class PeerClaimMessage(msgspec.Struct, frozen=True):
    """Carry a claim message and the name of the node that sent it."""

    sender: str
    message: ClaimMessage


class LeaseProven(msgspec.Struct, frozen=True):
    """Carry the time, on this node's clock, until which its configuration is proven fresh."""

    until: Seconds


ClaimInput = PeerClaimMessage | LeaseProven


class _PendingClaim(msgspec.Struct):
    decided: trio.Event = msgspec.field(default_factory=trio.Event)
    decision: ClaimDecision | None = None


class ClaimTask:
    """Own the holders and the pending claim requests of one node.

    `send` passes a message to the link to a node and must not block; a lost message is sent again.
    `watch` requests the configuration of a service for which this node became a claim holder.
    """

    __slots__ = (
        "entry",
        "fresh_until",
        "has_holders",
        "has_work",
        "holders",
        "inbox",
        "inbox_receiver",
        "instance",
        "is_handling_local",
        "limits",
        "local_messages",
        "member",
        "pending",
        "recorder",
        "send",
        "voters",
        "watch",
    )

    def __init__(
        self,
        instance: Instance,
        voters: tuple[str, ...],
        send: Callable[[str, ClaimMessage], object],
        watch: Callable[[str], object],
        recorder: Recorder,
        limits: ClaimLimits,
    ):
        self.instance = instance
        self.member = format_member(instance)
        self.voters = voters
        self.send = send
        self.watch = watch
        self.recorder = recorder
        self.limits = limits
        self.entry = EntryClaims()
        self.holders: dict[str, ClaimHolder] = {}
        self.fresh_until: Seconds = 0.0
        self.pending: dict[str, _PendingClaim] = {}
        self.local_messages: collections.deque[ClaimMessage] = collections.deque()
        self.is_handling_local = False
        self.has_work = trio.Event()
        self.has_holders = trio.Event()
        self.inbox, self.inbox_receiver = trio.open_memory_channel[ClaimInput](INBOX_MESSAGES)

    # Methods for the entry task.

    async def claim(
        self, service: str, key: str, fingerprint: bytes, call: str, deadline: Seconds
    ) -> ClaimDecision:
        """Ask for the right to run a request; only Granted permits it.

        Units: `deadline` is on trio's clock.
        """
        request = ClaimRequest(service, key, fingerprint, call, self.member, 0.0)
        pending = _PendingClaim()
        self.pending[call] = pending
        is_delivered = False
        try:
            self._apply_entry(StartClaim(request, deadline))
            with trio.move_on_at(deadline):
                await pending.decided.wait()
            is_delivered = True
        finally:
            self._end_claim(request, pending, is_delivered)
        return pending.decision or ClaimRefused(RefusalReason.DEADLINE)

    def report_outcome(
        self,
        service: str,
        key: str,
        call: str,
        state: ClaimState,
        answer: ClaimAnswer | None = None,
    ) -> None:
        """Report the final outcome of a granted call until every member stores it."""
        self._apply_entry(SettleClaim(ClaimOutcome(service, key, call, self.member, state, answer)))

    def release(self, service: str, key: str, call: str) -> None:
        """Release the key of a granted call after proof that its request did not run."""
        self._apply_entry(SettleClaim(ClaimRelease(service, key, call, self.member)))

    def _end_claim(self, request: ClaimRequest, pending: _PendingClaim, is_delivered: bool) -> None:
        del self.pending[request.call]
        self._apply_entry(AbandonClaim(request.call))
        if isinstance(pending.decision, Granted) and not is_delivered:
            self.release(request.service, request.key, request.call)

    # Methods for the node's other tasks.

    async def leave_groups(self) -> None:
        """Ask control to replace this node in its groups, and wait until it is in no group.

        The wait has no time limit; use a cancel scope to set one.
        """
        while self.has_memberships():
            for voter in self.voters:
                self._deliver(voter, ClaimLeave(self.member))
            await trio.sleep(TICK)

    def update_groups(self, groups: tuple[ClaimGroup, ...]) -> None:
        """Apply pushed groups immediately, so that a full inbox cannot lose them."""
        for group in groups:
            self._update_group(group)

    def has_memberships(self) -> bool:
        """Return whether this node is a member, or a joining member, of any group."""
        return any(holder.is_member_or_joining() for holder in self.holders.values())

    async def run(self) -> None:
        """Handle the inbox and the periodic ticks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_ticks)
            async for item in self.inbox_receiver:
                self._handle(item)

    async def _run_ticks(self) -> None:
        while True:
            await self.has_work.wait()
            is_idle = not self.entry.pending_requests and not self.entry.pending_settlements
            if is_idle and not self.holders:
                # A node whose services use no keys needs no ticks.
                self.has_work = trio.Event()
                continue
            await trio.sleep(IDLE_TICK if is_idle else TICK)
            self._apply_entry(EntryTick())
            for holder in self.holders.values():
                self._apply_holder(holder, Tick())

    def _handle(self, item: ClaimInput) -> None:
        match item:
            case PeerClaimMessage(sender, message):
                with HandledInput(message, sender):
                    self._receive(message)
            case LeaseProven(until):
                self.fresh_until = max(self.fresh_until, until)
                for holder in self.holders.values():
                    self._apply_holder(holder, LeaseRenewed(until))
        self._handle_local_messages()

    def _receive(self, message: ClaimMessage) -> None:
        if isinstance(message, _TO_ENTRY):
            self._apply_entry(ReplyReceived(message))
        elif isinstance(message, _TO_HOLDER):
            self._apply_holder(self._find_or_create_holder(message.service), Received(message))

    def _find_or_create_holder(self, service: str) -> ClaimHolder:
        holder = self.holders.get(service)
        if holder is None:
            holder = create_holder(self.member, service, self.limits)
            holder.fresh_until = self.fresh_until
            self.holders[service] = holder
            self.has_holders.set()
            self.has_work.set()
            self.watch(service)
        return holder

    def _update_group(self, group: ClaimGroup) -> None:
        self._apply_entry(GroupReceived(group))
        is_named = self.member in group.members or self.member == group.joining
        if group.service not in self.holders and not is_named:
            return
        holder = self._find_or_create_holder(group.service)
        is_new = holder.group is None or holder.group.epoch < group.epoch
        self._apply_holder(holder, GroupChanged(group))
        if is_new:
            kind = EventKind.CLAIM_GROUP_LOST if group.lost else EventKind.CLAIM_GROUP_CHANGED
            self.recorder.record(kind, detail=_describe(group))

    # Effects.

    def _apply_entry(self, event: EntryEvent) -> None:
        if isinstance(event, StartClaim | SettleClaim):
            self.has_work.set()
        for effect in step_entry(self.entry, event, trio.current_time()):
            match effect:
                case Send(to, message):
                    self._deliver(to, message)
                case Decide(call, decision):
                    self._decide(call, decision)
        self._handle_local_messages()

    def _apply_holder(self, holder: ClaimHolder, event: HolderEvent) -> None:
        for effect in step_holder(holder, event, trio.current_time()):
            match effect:
                case Send(to, message):
                    self._deliver(to, message)
                case SendToControl(message):
                    for voter in self.voters:
                        self._deliver(voter, message)
        self._handle_local_messages()

    def _decide(self, call: str, decision: ClaimDecision) -> None:
        pending = self.pending.get(call)
        if pending is None:
            return
        pending.decision = decision
        pending.decided.set()
        if isinstance(decision, Granted):
            self.recorder.record(EventKind.CLAIM_GRANTED, call=call)
        else:
            self.recorder.record(
                EventKind.CLAIM_NOT_GRANTED, call=call, detail=type(decision).__name__
            )

    def _deliver(self, to: str, message: ClaimMessage) -> None:
        is_local = to == self.instance.name and not isinstance(message, ClaimCopied | ClaimLeave)
        if is_local:
            self.local_messages.append(message)
        else:
            self.send(to, message)

    def _handle_local_messages(self) -> None:
        # Messages that result from handling a message are handled by the outer call's loop, which
        # bounds the depth of the recursion.
        if self.is_handling_local:
            return
        self.is_handling_local = True
        try:
            while self.local_messages:
                self._receive(self.local_messages.popleft())
        finally:
            self.is_handling_local = False


def _describe(group: ClaimGroup) -> str:
    members = ",".join(parse_node_name(member) for member in group.members)
    return f"{group.service} epoch {group.epoch} members {members} joining {group.joining}"


def create_claim_task(
    instance: Instance,
    voters: tuple[str, ...],
    send: Callable[[str, ClaimMessage], object],
    watch: Callable[[str], object],
    recorder: Recorder,
    limits: ClaimLimits = DEFAULT_LIMITS,
) -> ClaimTask:
    """Create the claim task of a node; `limits` applies to the claims of each service."""
    return ClaimTask(instance, voters, send, watch, recorder, limits)
