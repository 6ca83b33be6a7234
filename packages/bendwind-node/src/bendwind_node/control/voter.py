"""Run one control voter: the replica of the log, its disk and the state machine above it.

Open a voter with `open_voter`, then run `run_voter(voter)` in a nursery. Other tasks use:

- `voter.deliver(sender, message)`: hand in a ConsensusMessage of a peer; never waits, and drops the
  message when the voter is behind.
- `await voter.propose(command)`, not empty: Ok(Applied(index, value)), where value is what the
  state machine returned, or Error(NotLeader | Refused | Lost | VoterStopped). After Lost the
  command may or may not come into force: propose it again only if the state machine knows repeats.
- `await voter.barrier()`: Ok(Confirmed(index, started_at)) once everything that was committed
  anywhere before the call is applied here, or Error(Unconfirmed | VoterStopped). The age of the
  state is the time since `started_at`. Many callers share one round.
- `await voter.remove_voter(name)`: as propose.
- `await voter.wait_applied(index)`: wait until more than this index is applied.
- `voter.applied`, `voter.leader_name`, `voter.status()`.

`send(to_name, message)` is called for each outgoing message; it must not wait and may drop.
"""

import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import trio
from expression import Error, Ok, Result

from bendwind_core.consensus import (
    Apply,
    BarrierDone,
    BarrierFailed,
    BarrierRequested,
    Committed,
    ConsensusMessage,
    Effect,
    ForeignCluster,
    InstallSnapshot,
    LeaderChanged,
    Lost,
    NotLeader,
    Persist,
    Persisted,
    ProposalDone,
    Propose,
    Received,
    Refused,
    RemoveVoter,
    Replica,
    ReplicaEvent,
    ReplicaSettings,
    SaveSnapshot,
    SelfRemoved,
    Send,
    SnapshotTaken,
    TakeSnapshot,
    Tick,
    Voter,
    VotersChanged,
    create_replica,
    step,
)
from bendwind_core.core import Seconds
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.storage import (
    CorruptData,
    DiskFailed,
    Files,
    Recovered,
    Store,
    StoreError,
    open_store,
)

_INBOX_SIZE = 512
_TICKS_PER_HEARTBEAT = 2


class StateMachine(Protocol):
    """Name what the voter asks of the state above the log; none of it may wait."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its outcome."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


@dataclass(slots=True, frozen=True)
class Applied:
    """Hold the index of a committed command and what the state machine returned for it."""

    index: int
    value: object


@dataclass(slots=True, frozen=True)
class Confirmed:
    """Hold an index that holds all that was committed when the quorum round started.

    Units: `started_at` is trio's clock, in seconds.
    """

    index: int
    started_at: Seconds


@dataclass(slots=True, frozen=True)
class Unconfirmed:
    """Tell that no quorum answered in time, and who leads as far as is known."""

    leader: str | None


@dataclass(slots=True, frozen=True)
class VoterStopped:
    """Tell that the voter takes no further part, and why."""

    reason: str


ProposalError = NotLeader | Refused | Lost | VoterStopped
BarrierError = Unconfirmed | VoterStopped


@dataclass(slots=True, frozen=True)
class VoterStatus:
    """Describe a voter for operators."""

    name: str
    voter_id: int
    role: str
    term: int
    leader: str | None
    commit: int
    applied: int
    voters: tuple[Voter, ...]
    learners: tuple[Voter, ...]
    stopped: str | None


@dataclass(slots=True)
class _Waiter:
    """Hold one caller that waits for an outcome."""

    done: trio.Event = field(default_factory=trio.Event)
    result: Result | None = None


@dataclass(slots=True)
class ControlVoter:
    """Own the replica, its store and its state machine; use one from one trio loop only."""

    replica: Replica
    store: Store
    machine: StateMachine
    send: Callable[[str, ConsensusMessage], None]
    recorder: Recorder
    rng: random.Random
    inbox: trio.MemorySendChannel[ReplicaEvent]
    events: trio.MemoryReceiveChannel[ReplicaEvent]
    waiters: dict[int, _Waiter] = field(default_factory=dict)
    last_request: int = 0
    unwritten: list[Persist | SaveSnapshot] = field(default_factory=list)
    has_writes: trio.Event = field(default_factory=trio.Event)
    has_applied: trio.Event = field(default_factory=trio.Event)
    applied_values: dict[int, object] = field(default_factory=dict)
    applied: int = 0
    dropped: int = 0
    stopped: str | None = None
    last_foreign: str | None = None

    @property
    def leader_name(self) -> str | None:
        """Return the name of the leader as far as is known."""
        return self.replica.leader_name()

    @property
    def is_leader(self) -> bool:
        """Tell whether this voter leads as far as it knows."""
        return self.replica.is_leader

    def deliver(self, sender: str, message: ConsensusMessage) -> None:
        """Hand in a peer's message, or drop it when the voter is behind or has stopped."""
        try:
            self.inbox.send_nowait(Received(sender, message))
        except (trio.WouldBlock, trio.BrokenResourceError):
            self.dropped += 1

    async def propose(self, command: bytes) -> Result[Applied, ProposalError]:
        """Commit a command and return what applying it gave."""
        return await self._ask(lambda request_id: Propose(request_id, command))

    async def remove_voter(self, name: str) -> Result[Applied, ProposalError]:
        """Take a voter out of the voter set for good."""
        return await self._ask(lambda request_id: RemoveVoter(request_id, name))

    async def barrier(self) -> Result[Confirmed, BarrierError]:
        """Wait until all that was committed anywhere before this call is applied here."""
        return await self._ask(BarrierRequested)

    async def _ask(self, create_event: Callable[[int], ReplicaEvent]) -> Result:
        if self.stopped is not None:
            return Error(VoterStopped(self.stopped))
        self.last_request += 1
        request_id = self.last_request
        waiter = _Waiter()
        self.waiters[request_id] = waiter
        try:
            await self.inbox.send(create_event(request_id))
            await waiter.done.wait()
        except trio.BrokenResourceError:
            return Error(VoterStopped(self.stopped or "stopped"))
        finally:
            self.waiters.pop(request_id, None)
        return waiter.result

    async def wait_applied(self, index: int) -> int:
        """Wait until a higher index is applied, and return it."""
        while self.applied <= index:
            await self.has_applied.wait()
        return self.applied

    def status(self) -> VoterStatus:
        """Describe this voter."""
        replica = self.replica
        return VoterStatus(
            name=replica.voter.name,
            voter_id=replica.voter.voter_id,
            role=replica.role.value,
            term=replica.hard.term,
            leader=replica.leader_name(),
            commit=replica.commit,
            applied=self.applied,
            voters=replica.voters.voters,
            learners=replica.voters.learners,
            stopped=self.stopped,
        )


def open_voter(
    name: str,
    names: tuple[str, ...],
    files: Files,
    machine: StateMachine,
    send: Callable[[str, ConsensusMessage], None],
    recorder: Recorder,
    rng: random.Random,
    settings: ReplicaSettings | None = None,
) -> Result[ControlVoter, StoreError]:
    """Read the disk and make a voter; call it inside trio.run. `names` are all voters' names.

    Errors: StoreError, which is also recorded.
    """
    opened = open_store(files)
    if opened.is_error():
        _record_failure(recorder, opened.error)
        return opened
    store = opened.ok.store
    recovered = opened.ok.recovered
    _record_recovery(recorder, recovered)
    replica = create_replica(
        Voter(name, store.identity.voter_id),
        names,
        settings or ReplicaSettings(),
        trio.current_time(),
        rng,
        hard_state=recovered.hard_state,
        snapshot=recovered.snapshot,
        entries=tuple(recovered.entries),
    )
    if recovered.snapshot.index > 0:
        machine.restore(recovered.snapshot.data)
    inbox, events = trio.open_memory_channel[ReplicaEvent](_INBOX_SIZE)
    voter = ControlVoter(replica, store, machine, send, recorder, rng, inbox, events)
    voter.applied = recovered.snapshot.index
    return Ok(voter)


def _record_recovery(recorder: Recorder, recovered: Recovered) -> None:
    if recovered.cut_bytes:
        recorder.record(EventKind.LOG_TAIL_CUT, detail=f"{recovered.cut_bytes} bytes")


def _record_failure(recorder: Recorder, error: StoreError) -> None:
    match error:
        case CorruptData():
            detail = f"{error.file} at byte {error.offset}: {error.reason}"
            recorder.record(EventKind.LOG_CORRUPT, detail=detail)
        case DiskFailed():
            recorder.record(EventKind.DISK_FAILED, detail=f"{error.operation}: {error.reason}")


async def run_voter(
    voter: ControlVoter, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
) -> Result[None, StoreError]:
    """Run the voter until it is cancelled or its disk fails; callers then get VoterStopped.

    Errors: DiskFailed, which is also recorded; the voter acknowledges nothing after it.
    """
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_run_ticks, voter)
            nursery.start_soon(_run_events, voter)
            task_status.started()
            failure = await _run_writes(voter)
            _record_failure(voter.recorder, failure)
            nursery.cancel_scope.cancel()
        return Error(failure)
    finally:
        _stop(voter)


def _stop(voter: ControlVoter) -> None:
    failure = voter.store.failure
    voter.stopped = "stopped" if failure is None else f"disk failed: {failure.reason}"
    for waiter in voter.waiters.values():
        if waiter.result is None:
            waiter.result = Error(VoterStopped(voter.stopped))
        waiter.done.set()
    voter.events.close()
    voter.store.close()


async def _run_ticks(voter: ControlVoter) -> None:
    interval = voter.replica.settings.heartbeat_s / _TICKS_PER_HEARTBEAT
    while True:
        with contextlib.suppress(trio.WouldBlock):
            voter.inbox.send_nowait(Tick())
        await trio.sleep(interval)


async def _run_events(voter: ControlVoter) -> None:
    async for event in voter.events:
        _take_event(voter, event)


def _take_event(voter: ControlVoter, event: ReplicaEvent) -> None:
    effects = step(voter.replica, event, trio.current_time(), voter.rng)
    voter.applied_values.clear()
    for effect in effects:
        _carry_out(voter, effect)


async def _run_writes(voter: ControlVoter) -> DiskFailed:
    """Write what is requested, all that has gathered at a time, until the disk fails."""
    while True:
        await voter.has_writes.wait()
        voter.has_writes = trio.Event()
        batch = voter.unwritten
        voter.unwritten = []
        written = await trio.to_thread.run_sync(voter.store.write, batch)
        if written.is_error():
            return written.error
        await voter.inbox.send(Persisted(written.ok))


def _carry_out(voter: ControlVoter, effect: Effect) -> None:
    match effect:
        case Send(to=to, message=message):
            voter.send(to, message)
        case Persist() | SaveSnapshot():
            voter.unwritten.append(effect)
            voter.has_writes.set()
        case Apply():
            _apply(voter, effect)
        case TakeSnapshot(index=index):
            _take_snapshot(voter, index)
        case InstallSnapshot():
            _install(voter, effect)
        case ProposalDone():
            _end_proposal(voter, effect)
        case BarrierDone():
            confirmed = Confirmed(effect.index, effect.started_at)
            _answer(voter, effect.request_id, Ok(confirmed))
        case BarrierFailed():
            _answer(voter, effect.request_id, Error(Unconfirmed(effect.leader)))
        case _:
            _record(voter, effect)


def _apply(voter: ControlVoter, effect: Apply) -> None:
    for entry in effect.entries:
        value = voter.machine.apply(entry.index, entry.command) if entry.command else None
        voter.applied_values[entry.index] = value
    _advance_applied(voter, effect.entries[-1].index)


def _advance_applied(voter: ControlVoter, index: int) -> None:
    voter.applied = index
    voter.has_applied.set()
    voter.has_applied = trio.Event()


def _take_snapshot(voter: ControlVoter, index: int) -> None:
    data = voter.machine.snapshot()
    voter.recorder.record(EventKind.SNAPSHOT_TAKEN, detail=f"index {index}, {len(data)} bytes")
    try:
        voter.inbox.send_nowait(SnapshotTaken(index, data))
    except trio.WouldBlock:
        # Asked again with the next entry that is applied.
        voter.replica.is_snapshot_due = False


def _install(voter: ControlVoter, effect: InstallSnapshot) -> None:
    voter.machine.restore(effect.data)
    _advance_applied(voter, effect.index)
    voter.recorder.record(EventKind.SNAPSHOT_INSTALLED, detail=f"index {effect.index}")


def _end_proposal(voter: ControlVoter, effect: ProposalDone) -> None:
    match effect.outcome:
        case Committed(index=index):
            result = Ok(Applied(index, voter.applied_values.get(index)))
        case outcome:
            result = Error(outcome)
    _answer(voter, effect.request_id, result)


def _answer(voter: ControlVoter, request_id: int, result: Result) -> None:
    waiter = voter.waiters.get(request_id)
    if waiter is not None:
        waiter.result = result
        waiter.done.set()


def _record(voter: ControlVoter, effect: Effect) -> None:
    match effect:
        case LeaderChanged(leader=None):
            voter.recorder.record(EventKind.LEADER_LOST, detail=f"term {effect.term}")
        case LeaderChanged():
            detail = f"{effect.leader.name}, term {effect.term}"
            voter.recorder.record(EventKind.LEADER_ELECTED, detail=detail)
        case VotersChanged():
            names = ", ".join(sorted(member.name for member in effect.voters.voters))
            voter.recorder.record(EventKind.VOTERS_CHANGED, detail=names)
        case SelfRemoved():
            voter.recorder.record(EventKind.VOTER_REPLACED, detail=voter.replica.voter.name)
        case ForeignCluster() if effect.sender != voter.last_foreign:
            voter.last_foreign = effect.sender
            voter.recorder.record(EventKind.FOREIGN_CLUSTER, detail=effect.sender)
