"""Apply the effects of a replica to its voter."""

import trio
from expression import Error, Ok, Result

from bendwind_core.consensus import (
    Apply,
    BarrierDone,
    BarrierFailed,
    Committed,
    Effect,
    ForeignCluster,
    InstallSnapshot,
    LeaderChanged,
    Persist,
    ProposalDone,
    SaveSnapshot,
    SelfRemoved,
    Send,
    SnapshotTaken,
    TakeSnapshot,
    VotersChanged,
    VoterSet,
)
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.control.control_voter import ControlVoter
from bendwind_node.control.voter_outcomes import Applied, Confirmed, Unconfirmed
from bendwind_node.storage import (
    CorruptData,
    DiskFailed,
    StoreError,
)


def record_failure(recorder: Recorder, error: StoreError) -> None:
    """Record the event for a failure of the store."""
    match error:
        case CorruptData():
            detail = f"{error.file} at byte {error.offset}: {error.reason}"
            recorder.record(EventKind.LOG_CORRUPT, detail=detail)
        case DiskFailed():
            recorder.record(EventKind.DISK_FAILED, detail=f"{error.operation}: {error.reason}")


def apply_effect(voter: ControlVoter, effect: Effect) -> None:
    """Apply one effect without waiting."""
    match effect:
        case Send(to=to, message=message):
            voter.send(to, message)
        case Persist() | SaveSnapshot():
            voter.unwritten.append(effect)
            voter.has_writes.set()
        case Apply():
            _apply_entries(voter, effect)
        case TakeSnapshot(index=index):
            _take_snapshot(voter, index)
        case InstallSnapshot():
            _install_snapshot(voter, effect)
        case ProposalDone():
            _complete_proposal(voter, effect)
        case BarrierDone():
            confirmed = Confirmed(effect.index, effect.started_at)
            _complete_request(voter, effect.request_id, Ok(confirmed))
        case BarrierFailed():
            _complete_request(voter, effect.request_id, Error(Unconfirmed(effect.leader)))
        case _:
            _record_effect(voter, effect)


def _apply_entries(voter: ControlVoter, effect: Apply) -> None:
    # After a voter has reopened its disk, the replica reports entries again that were already
    # applied.
    entries = [entry for entry in effect.entries if entry.index > voter.applied]
    if not entries:
        return
    for entry in entries:
        value = voter.state_machine.apply(entry.index, entry.command) if entry.command else None
        voter.applied_values[entry.index] = value
    _advance_applied(voter, entries[-1].index)


def _advance_applied(voter: ControlVoter, index: int) -> None:
    voter.applied = index
    voter.has_applied.set()
    voter.has_applied = trio.Event()


def _take_snapshot(voter: ControlVoter, index: int) -> None:
    if index != voter.applied:
        # The state is ahead of a replica that has reopened its disk; the replica requests the
        # snapshot again later.
        voter.replica.is_snapshot_due = False
        return
    data = voter.state_machine.snapshot()
    voter.recorder.record(EventKind.SNAPSHOT_TAKEN, detail=f"index {index}, {len(data)} bytes")
    try:
        voter.inbox.send_nowait(SnapshotTaken(index, data))
    except trio.WouldBlock:
        # The replica requests the snapshot again with the next applied entry.
        voter.replica.is_snapshot_due = False


def _install_snapshot(voter: ControlVoter, effect: InstallSnapshot) -> None:
    if effect.index <= voter.applied:
        return
    voter.state_machine.restore(effect.data)
    _advance_applied(voter, effect.index)
    voter.recorder.record(EventKind.SNAPSHOT_INSTALLED, detail=f"index {effect.index}")


def _complete_proposal(voter: ControlVoter, effect: ProposalDone) -> None:
    match effect.outcome:
        case Committed(index=index):
            result = Ok(Applied(index, voter.applied_values.get(index)))
        case outcome:
            result = Error(outcome)
    _complete_request(voter, effect.request_id, result)


def _complete_request(voter: ControlVoter, request_id: int, result: Result) -> None:
    waiter = voter.waiters.get(request_id)
    if waiter is not None:
        waiter.result = result
        waiter.done.set()


def _record_voters(voter: ControlVoter, voters: VoterSet) -> None:
    for member in voters.members:
        voter.update_member_address(member)
    detail = ", ".join(sorted(member.name for member in voters.voters))
    voter.recorder.record(EventKind.VOTERS_CHANGED, detail=detail)


def record_replacement(voter: ControlVoter) -> None:
    """Record when this process first observes the replacement of a voter.

    It reads the voter set, so that it does not matter how the process learnt of the replacement.
    """
    voters = voter.replica.voters
    if not voters.is_joint:
        voter.replacing_since = None
    elif voter.replacing_since is None:
        voter.replacing_since = trio.current_time()
        leaving, joining = voters.leaving[0].name, voters.joining[0].name
        voter.recorder.record(EventKind.VOTER_REPLACEMENT_BEGUN, detail=f"{leaving} by {joining}")


def _record_effect(voter: ControlVoter, effect: Effect) -> None:
    match effect:
        case LeaderChanged(leader=None):
            voter.recorder.record(EventKind.LEADER_LOST, detail=f"term {effect.term}")
        case LeaderChanged():
            detail = f"{effect.leader.name}, term {effect.term}"
            voter.recorder.record(EventKind.LEADER_ELECTED, detail=detail)
        case VotersChanged():
            _record_voters(voter, effect.voters)
        case SelfRemoved():
            voter.recorder.record(EventKind.VOTER_REPLACED, detail=voter.replica.voter.name)
            if voter.replica.settings.open_to:
                voter.is_removed = True
                voter.has_writes.set()
        case ForeignCluster() if effect.sender != voter.last_foreign_sender:
            voter.last_foreign_sender = effect.sender
            voter.recorder.record(EventKind.FOREIGN_CLUSTER, detail=effect.sender)
