"""Define a control voter and its operations for other tasks."""

import contextlib
import random
from collections.abc import Callable

import msgspec
import trio
from expression import Error, Result

from bendwind_core.consensus import (
    BarrierRequested,
    ConsensusMessage,
    JoinRequest,
    Persist,
    Propose,
    Received,
    RemoveVoter,
    Replica,
    ReplicaEvent,
    SaveSnapshot,
    TransferLeadership,
    Voter,
    list_unconfirmed_voters,
)
from bendwind_core.core import Seconds
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.control.voter_outcomes import (
    Applied,
    BarrierError,
    Confirmed,
    ProposalError,
    StateMachine,
    VoterStatus,
    VoterStopped,
)
from bendwind_node.storage import (
    Store,
)


class Waiter(msgspec.Struct):
    """Hold one task that waits for the outcome of its request to the replica."""

    done: trio.Event = msgspec.field(default_factory=trio.Event)
    result: Result | None = None


class ControlVoter(msgspec.Struct):
    """Hold the replica, its store and its state machine.

    All uses of one voter must run in the same trio loop.
    """

    replica: Replica
    store: Store
    state_machine: StateMachine
    send: Callable[[str, ConsensusMessage], None]
    recorder: Recorder
    rng: random.Random
    inbox: trio.MemorySendChannel[ReplicaEvent]
    events: trio.MemoryReceiveChannel[ReplicaEvent]
    waiters: dict[int, Waiter] = msgspec.field(default_factory=dict)
    last_request_id: int = 0
    unwritten: list[Persist | SaveSnapshot] = msgspec.field(default_factory=list)
    has_writes: trio.Event = msgspec.field(default_factory=trio.Event)
    has_applied: trio.Event = msgspec.field(default_factory=trio.Event)
    applied_values: dict[int, object] = msgspec.field(default_factory=dict)
    applied: int = 0
    is_inbox_full: bool = False
    stopped: str | None = None
    is_removed: bool = False
    update_member_address: Callable[[Voter], None] = lambda member: None
    last_foreign_sender: str | None = None
    replacing_since: Seconds | None = None

    @property
    def leader_name(self) -> str | None:
        """Return the name of the leader that this voter knows, or None."""
        return self.replica.leader_name()

    @property
    def is_leader(self) -> bool:
        """Return whether this voter is the leader according to its own state."""
        return self.replica.is_leader

    def deliver(self, sender: str, message: ConsensusMessage) -> None:
        """Enqueue a peer's message; drop it if the queue is full or the voter has stopped."""
        if isinstance(message, JoinRequest):
            # Another voter may have forwarded the offer. The leader needs the sender's address to
            # reply to it.
            self.update_member_address(message.sender)
        try:
            self.inbox.send_nowait(Received(sender, message))
            self.is_inbox_full = False
        except trio.WouldBlock:
            self._record_full_inbox()
        except trio.BrokenResourceError:
            # The voter has stopped, which was recorded.
            return

    def _record_full_inbox(self) -> None:
        """Record the first of a series of dropped messages; their senders repeat them."""
        if not self.is_inbox_full:
            self.is_inbox_full = True
            self.recorder.record(EventKind.INBOX_FULL, detail="voter")

    async def propose(self, command: bytes) -> Result[Applied, ProposalError]:
        """Commit a command and return the result of applying it."""
        return await self._submit(lambda request_id: Propose(request_id, command))

    async def remove_voter(self, name: str) -> Result[Applied, ProposalError]:
        """Remove a voter from the voter set permanently."""
        return await self._submit(lambda request_id: RemoveVoter(request_id, name))

    async def barrier(self) -> Result[Confirmed, BarrierError]:
        """Wait until every entry committed on any voter before this call is applied here."""
        return await self._submit(BarrierRequested)

    async def _submit(self, create_event: Callable[[int], ReplicaEvent]) -> Result:
        if self.stopped is not None:
            return Error(VoterStopped(self.stopped))
        self.last_request_id += 1
        request_id = self.last_request_id
        waiter = Waiter()
        self.waiters[request_id] = waiter
        try:
            await self.inbox.send(create_event(request_id))
            await waiter.done.wait()
        except trio.BrokenResourceError:
            return Error(VoterStopped(self.stopped or "stopped"))
        finally:
            self.waiters.pop(request_id, None)
        return waiter.result

    async def transfer_leadership(self) -> None:
        """Transfer leadership before a planned stop; stop trying after an election timeout."""
        limit = self.replica.settings.election_s
        with trio.move_on_after(limit), contextlib.suppress(trio.BrokenResourceError):
            while self.is_leader and self.stopped is None:
                await self.inbox.send(TransferLeadership())
                await trio.sleep(self.replica.settings.heartbeat_s)

    async def wait_applied(self, index: int) -> int:
        """Wait until an index higher than the given one is applied, and return it."""
        while self.applied <= index:
            await self.has_applied.wait()
        return self.applied

    def status(self) -> VoterStatus:
        """Return the status of this voter."""
        replica = self.replica
        return VoterStatus(
            name=replica.voter.name,
            voter_id=replica.voter.voter_id,
            role=replica.role.value,
            term=replica.hard_state.term,
            leader=replica.leader_name(),
            commit=replica.commit,
            applied=self.applied,
            voters=replica.voters,
            awaited=list_unconfirmed_voters(replica),
            replacing_since=self.replacing_since,
            stopped=self.stopped,
        )
