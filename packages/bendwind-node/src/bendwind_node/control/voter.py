"""Run one control voter: a replica of the log, its store and the state machine of the log.

Open a voter with `open_voter`, then run `run_voter(voter)` in a nursery. Other tasks use:

- `voter.deliver(sender, message)`: enqueue a peer's ConsensusMessage. It never waits, and drops the
  message if the voter's queue is full.
- `await voter.propose(command)`: commit a command, which must not be empty. The result is
  Ok(Applied(index, value)), where value is what the state machine returned, or
  Error(NotLeader | Refused | LeadershipLost | VoterStopped). After LeadershipLost the command may
  still be committed: propose it again only if the state machine detects duplicates.
- `await voter.barrier()`: Ok(Confirmed(index, started_at)) once every entry committed on any voter
  before the call is applied here, or Error(Unconfirmed | VoterStopped). The age of the state is the
  time since `started_at`. Concurrent calls share one quorum round.
- `await voter.remove_voter(name)`: remove a voter; the results are those of propose.
- `await voter.transfer_leadership()`: make another voter the leader before a planned stop.
- `await voter.wait_applied(index)`: wait until an index higher than this one is applied.
- `voter.applied`, `voter.leader_name`, `voter.status()`.

`send(to_name, message)` is called for each outgoing message; it must not wait and may drop the
message.
"""

import contextlib
import random
from collections.abc import Callable

import msgspec
import trio
from expression import Error, Ok, Result

from bendwind_core.consensus import (
    ConsensusMessage,
    IdentityRenewed,
    Persisted,
    Replica,
    ReplicaEvent,
    ReplicaSettings,
    Tick,
    Voter,
    create_replica,
    step,
)
from bendwind_core.core import Seconds
from bendwind_core.membership import VoterPlace
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.control.control_voter import ControlVoter
from bendwind_node.control.voter_effects import apply_effect, record_failure, record_replacement
from bendwind_node.control.voter_outcomes import (
    Applied,
    BarrierError,
    Confirmed,
    ProposalError,
    StateMachine,
    Unconfirmed,
    VoterStatus,
    VoterStopped,
)
from bendwind_node.storage import (
    CorruptData,
    DiskFailed,
    Files,
    OpenedStore,
    RecoveredState,
    StoreError,
    open_store,
)

__all__ = [
    "Applied",
    "BarrierError",
    "Confirmed",
    "ControlVoter",
    "ProposalError",
    "StateMachine",
    "Unconfirmed",
    "VoterStatus",
    "VoterStopped",
    "open_voter",
    "run_voter",
]

# Each attempt to reopen the store reads the whole log.
REOPEN_INTERVAL: Seconds = 1.0
_INBOX_SIZE = 512
_TICKS_PER_HEARTBEAT = 2


def open_voter(
    own: VoterPlace,
    names: tuple[str, ...],
    files: Files,
    state_machine: StateMachine,
    send: Callable[[str, ConsensusMessage], None],
    recorder: Recorder,
    rng: random.Random,
    settings: ReplicaSettings | None = None,
) -> Result[ControlVoter, StoreError]:
    """Read the disk and create a voter; call it inside trio.run.

    `names` are the voters that the settings name.
    Errors: StoreError, which is also recorded.
    """
    settings = settings or ReplicaSettings()
    opened = open_store(files, is_first_start=settings.may_form)
    if opened.is_error():
        record_failure(recorder, opened.error)
        return opened
    store = opened.ok.store
    recovered = opened.ok.recovered
    _record_recovery(recorder, recovered)
    identity = Voter(own.name, store.identity.voter_id, own.host, own.port, own.data_centre)
    is_first_starter = store.identity.is_first_starter
    replica = _create_replica(identity, names, settings, recovered, rng, is_first_starter)
    if recovered.snapshot.index > 0:
        state_machine.restore(recovered.snapshot.data)
    inbox, events = trio.open_memory_channel[ReplicaEvent](_INBOX_SIZE)
    voter = ControlVoter(replica, store, state_machine, send, recorder, rng, inbox, events)
    voter.applied = recovered.snapshot.index
    return Ok(voter)


def _create_replica(
    own: Voter,
    names: tuple[str, ...],
    settings: ReplicaSettings,
    recovered: RecoveredState,
    rng: random.Random,
    is_first_starter: bool,
) -> Replica:
    return create_replica(
        own,
        names,
        settings,
        trio.current_time(),
        rng,
        hard_state=recovered.hard_state,
        snapshot=recovered.snapshot,
        entries=tuple(recovered.entries),
        is_first_starter=is_first_starter,
    )


def _record_recovery(recorder: Recorder, recovered: RecoveredState) -> None:
    if recovered.cut_bytes:
        recorder.record(EventKind.LOG_TAIL_CUT, detail=f"{recovered.cut_bytes} bytes")


async def run_voter(
    voter: ControlVoter, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
) -> Result[None, CorruptData]:
    """Run the voter until cancelled; requests get VoterStopped while its disk refuses writes.

    Errors: CorruptData, which is also recorded, if a failed disk can no longer be read.
    """
    try:
        while True:
            await _run_until_failure(voter, task_status)
            task_status = trio.TASK_STATUS_IGNORED
            reopened = await _reopen(voter)
            if reopened.is_error():
                return reopened
    finally:
        voter.store.close()


async def _run_until_failure(voter: ControlVoter, task_status: trio.TaskStatus) -> None:
    """Run until the disk refuses a write; nothing is acknowledged after that write."""
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_run_ticks, voter)
            nursery.start_soon(_run_events, voter)
            task_status.started()
            failure = await _run_writes(voter)
            record_failure(voter.recorder, failure)
            nursery.cancel_scope.cancel()
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


async def _reopen(voter: ControlVoter) -> Result[None, CorruptData]:
    """Wait until the disk accepts writes again, then resume from its data as after a restart.

    A voter that did not resume would count as lost until its process ends.
    """
    store = voter.store
    while True:
        await trio.sleep(REOPEN_INTERVAL)
        opened = await trio.to_thread.run_sync(open_store, store.files, store.segment_bytes)
        if opened.is_ok():
            _resume(voter, opened.ok)
            return Ok(None)
        if isinstance(opened.error, CorruptData):
            record_failure(voter.recorder, opened.error)
            return Error(opened.error)


def _resume(voter: ControlVoter, opened: OpenedStore) -> None:
    """Restart from the data on disk; entries that were applied before are not applied again."""
    _record_recovery(voter.recorder, opened.recovered)
    previous = voter.replica
    own = msgspec.structs.replace(previous.voter, voter_id=opened.store.identity.voter_id)
    voter.replica = _create_replica(
        own,
        previous.names,
        previous.settings,
        opened.recovered,
        voter.rng,
        opened.store.identity.is_first_starter,
    )
    voter.store = opened.store
    voter.inbox, voter.events = trio.open_memory_channel[ReplicaEvent](_INBOX_SIZE)
    voter.unwritten = []
    voter.has_writes = trio.Event()
    voter.is_removed = False
    voter.stopped = None
    voter.recorder.record(EventKind.DISK_RECOVERED, detail=f"index {voter.replica.log.last_index}")


async def _run_ticks(voter: ControlVoter) -> None:
    interval = voter.replica.settings.heartbeat_s / _TICKS_PER_HEARTBEAT
    while True:
        with contextlib.suppress(trio.WouldBlock):
            voter.inbox.send_nowait(Tick())
        await trio.sleep(interval)


async def _run_events(voter: ControlVoter) -> None:
    async for event in voter.events:
        _handle_event(voter, event)


def _handle_event(voter: ControlVoter, event: ReplicaEvent) -> None:
    effects = step(voter.replica, event, trio.current_time(), voter.rng)
    voter.applied_values.clear()
    for effect in effects:
        apply_effect(voter, effect)
    record_replacement(voter)


async def _renew_identity(voter: ControlVoter) -> Result[int, DiskFailed]:
    voter.is_removed = False
    renewed = await trio.to_thread.run_sync(voter.store.renew_identity)
    if renewed.is_ok():
        identity = msgspec.structs.replace(voter.replica.voter, voter_id=renewed.ok)
        await voter.inbox.send(IdentityRenewed(identity))
    return renewed


async def _run_writes(voter: ControlVoter) -> DiskFailed:
    """Write the pending writes, all that have accumulated as one batch, until the disk fails."""
    while True:
        await voter.has_writes.wait()
        voter.has_writes = trio.Event()
        batch = voter.unwritten
        voter.unwritten = []
        if voter.is_removed:
            renewed = await _renew_identity(voter)
            if renewed.is_error():
                return renewed.error
        if not batch:
            continue
        written = await trio.to_thread.run_sync(voter.store.write, batch)
        if written.is_error():
            return written.error
        await voter.inbox.send(Persisted(written.ok))
