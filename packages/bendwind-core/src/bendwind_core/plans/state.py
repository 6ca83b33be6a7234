"""Apply the commands of the control log to the configuration, plans, drain marks and runs."""

import msgspec
from msgspec.structs import replace

from bendwind_core.claims import ChangeClaimGroup, ClaimGroup, apply_group_change
from bendwind_core.core import Record, describe_reason
from bendwind_core.plans.changes import apply_changes
from bendwind_core.plans.commands import (
    Command,
    ConfirmPlan,
    CreatePlan,
    DrainTarget,
    MarkDraining,
    MarkEvacuated,
    PutRevision,
    RecordRuns,
    decode_command,
)
from bendwind_core.plans.customer_faults import sort_customers
from bendwind_core.plans.plan import Confirmed, Plan, PlanOutcome, parse_plan_id
from bendwind_core.plans.plan_table import PlanTable, create_plan_table
from bendwind_core.plans.results import (
    CommandResult,
    DrainMarked,
    EvacuationStatus,
    EvictedPlan,
    GroupChanged,
    GroupRefused,
    PlanCreated,
    RequestReused,
    RevisionStatus,
    RunsKept,
    TooManyEvacuated,
    TooManyMarks,
    TooManyPlans,
    UnknownPlan,
    VersionMoved,
)
from bendwind_core.runs import KeptRun, RunTable, create_run_table, list_kept, put_runs
from bendwind_core.world import EMPTY_CONFIGURATION, Configuration

# The numbers that a snapshot can hold. Sums of numbers of commands are kept within them: a state
# that cannot be saved would end every voter, at each start anew. Entries are not refused for it,
# since voters of other releases may accept them.
_SMALLEST_NUMBER, _LARGEST_NUMBER = -(2**63), 2**64 - 1
MAX_DRAIN_MARKS = 4_096
# Several times the number of data centres of the largest planned deployment, which has seven.
MAX_EVACUATED_DATA_CENTRES = 64


class _Snapshot(Record, frozen=True, array_like=True):
    applied: int
    configuration: Configuration
    configuration_plan: str
    open_plans: tuple[Plan, ...]
    closed_plans: tuple[Plan, ...]
    newest_evicted: int
    claim_groups: tuple[ClaimGroup, ...]
    draining_instances: tuple[str, ...]
    draining_upstreams: tuple[str, ...]
    document: bytes = b""
    runs: tuple[KeptRun, ...] = ()
    runs_clock_ms: int = 0
    drain_marks_version: int | None = None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Snapshot)


class EntryError(Exception):
    """Report the entry that a voter cannot apply, so that it has to stop."""

    def __init__(self, index: int, size: int, error: Exception):
        reason = describe_reason(error)
        super().__init__(f"entry {index} of {size} bytes: {type(error).__name__}: {reason}")


def _find_expiry_ms(command: CreatePlan) -> int:
    return max(_SMALLEST_NUMBER, min(_LARGEST_NUMBER, command.now_ms + command.ttl_ms))


class ControlState(msgspec.Struct):
    """Hold the state that the control log determines; equal logs give equal states on all voters.

    The version of a configuration is the log index of its confirmation, that of the drain marks the
    index of their last change, None after a snapshot of a former release. No method reads a clock:
    times are part of the commands, set by the leader that proposed them.
    """

    applied: int = 0
    configuration: Configuration = EMPTY_CONFIGURATION
    configuration_plan: str = ""
    plans: PlanTable = msgspec.field(default_factory=PlanTable)
    claim_groups: dict[str, ClaimGroup] = msgspec.field(default_factory=dict)
    draining_instances: dict[str, None] = msgspec.field(default_factory=dict)
    draining_upstreams: dict[str, None] = msgspec.field(default_factory=dict)
    drain_marks_version: int | None = 0
    document: bytes = b""
    runs: RunTable = msgspec.field(default_factory=RunTable)

    def apply(self, index: int, command: bytes) -> CommandResult | None:
        """Apply the log entry at an index; an empty command only advances the index.

        Errors: raises EntryError on an entry that cannot be applied, which changes nothing if it
        cannot be decoded; raises ValueError on an index out of order.
        """
        if index <= self.applied:
            raise ValueError(f"entry {index} applied after entry {self.applied}")
        try:
            result = self._apply_command(index, decode_command(command)) if command else None
        except Exception as error:
            raise EntryError(index, len(command), error) from error
        self.applied = index
        return result

    def _apply_command(self, index: int, command: Command) -> CommandResult:
        match command:
            case CreatePlan() as create:
                return self._create_plan(index, create)
            case ConfirmPlan() as confirm:
                return self._confirm_plan(index, confirm)
            case MarkDraining() as mark:
                return self._mark_draining(index, mark)
            case ChangeClaimGroup() as change:
                return self._change_claim_group(change)
            case PutRevision() as put:
                return self._put_revision(index, put)
            case MarkEvacuated() as mark:
                return self._mark_evacuated(index, mark)
            case RecordRuns(now_ms=now_ms, records=records):
                put_runs(self.runs, records, now_ms)
                return RunsKept()

    def find_plan(self, plan_id: str) -> Plan | UnknownPlan | EvictedPlan:
        """Return a plan by the id that operators use."""
        index = parse_plan_id(plan_id)
        if index is None:
            return UnknownPlan(plan_id)
        found = self.plans.find(index)
        return self.plans.explain_missing(plan_id, index) if found is None else found

    def _create_plan(self, index: int, command: CreatePlan) -> CommandResult:
        existing = self.plans.find_request(command.request)
        if existing is not None and existing.digest != command.digest:
            return RequestReused(existing.id)
        if existing is not None:
            return PlanCreated(existing, is_resent=True)
        if command.base_version != self.configuration.version:
            return VersionMoved(self.configuration.version, self.configuration_plan)
        self.plans.expire(command.now_ms)
        if not self.plans.has_capacity_for(command.changes):
            return TooManyPlans(len(self.plans.open))
        plan = Plan(
            index,
            command.request,
            command.digest,
            command.base_version,
            command.now_ms,
            _find_expiry_ms(command),
            command.changes,
        )
        self.plans.add(plan)
        return PlanCreated(plan)

    def _confirm_plan(
        self, index: int, command: ConfirmPlan
    ) -> PlanOutcome | UnknownPlan | EvictedPlan:
        self.plans.expire(command.now_ms)
        plan = self.find_plan(f"p{command.index}")
        if not isinstance(plan, Plan):
            return plan
        if plan.outcome is not None:
            return plan.outcome
        return self._activate_plan(index, plan)

    def _activate_plan(self, version: int, plan: Plan) -> PlanOutcome:
        # Every open plan is based on the active version, so a confirmation supersedes the others.
        assert plan.base_version == self.configuration.version
        outcome = Confirmed(plan.id, version)
        self.configuration = apply_changes(self.configuration, plan.changes, version)
        self.configuration_plan = plan.id
        self.plans.close(plan.index, outcome)
        self.plans.supersede_open(plan, version)
        return outcome

    def _put_revision(self, index: int, command: PutRevision) -> RevisionStatus:
        current = self.configuration.routing.revision
        if command.routing.revision <= current:
            return RevisionStatus(current, self.configuration.version, is_new=False)
        self.configuration = Configuration(
            index,
            command.services,
            command.routing,
            self.configuration.evacuated,
            sort_customers(command.customers),
        )
        self.configuration_plan = ""
        self.document = command.document
        self.plans.invalidate_open(index)
        return RevisionStatus(command.routing.revision, index, is_new=True)

    def _mark_evacuated(
        self, index: int, command: MarkEvacuated
    ) -> EvacuationStatus | TooManyEvacuated:
        current = self.configuration
        name = command.data_centre
        if (name in current.evacuated) == command.evacuated:
            return EvacuationStatus(name, command.evacuated, current.version, is_new=False)
        if command.evacuated and len(current.evacuated) >= MAX_EVACUATED_DATA_CENTRES:
            return TooManyEvacuated(len(current.evacuated))
        changed = {*current.evacuated, name} if command.evacuated else {*current.evacuated} - {name}
        self.configuration = replace(current, version=index, evacuated=tuple(sorted(changed)))
        self.configuration_plan = ""
        # Open plans were computed for the capacity that was available before this change.
        self.plans.invalidate_open(index)
        return EvacuationStatus(name, command.evacuated, index, is_new=True)

    def _mark_draining(self, index: int, command: MarkDraining) -> DrainMarked | TooManyMarks:
        marks = self._get_drain_marks(command.target)
        is_marked = command.name in marks
        if command.draining and command.name not in marks:
            if len(marks) >= MAX_DRAIN_MARKS:
                return TooManyMarks(len(marks))
            marks[command.name] = None
        if not command.draining:
            marks.pop(command.name, None)
        if is_marked != command.draining:
            self.drain_marks_version = index
        return DrainMarked(command.target, command.name, command.draining)

    def _change_claim_group(self, command: ChangeClaimGroup) -> GroupChanged | GroupRefused:
        # A group is kept after its service is removed: its claims must be found if the service
        # returns.
        changed = apply_group_change(self.claim_groups, command)
        return GroupChanged(changed.ok) if changed.is_ok() else GroupRefused(changed.error)

    def _get_drain_marks(self, target: DrainTarget) -> dict[str, None]:
        match target:
            case DrainTarget.INSTANCE:
                return self.draining_instances
            case DrainTarget.UPSTREAM:
                return self.draining_upstreams

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        return _ENCODER.encode(
            _Snapshot(
                self.applied,
                self.configuration,
                self.configuration_plan,
                tuple(self.plans.open.values()),
                tuple(self.plans.closed.values()),
                self.plans.newest_evicted,
                tuple(self.claim_groups.values()),
                tuple(self.draining_instances),
                tuple(self.draining_upstreams),
                self.document,
                list_kept(self.runs),
                self.runs.clock_ms,
                self.drain_marks_version,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        Errors: raises msgspec.DecodeError on anything that is not a snapshot; storage has already
        checked the bytes.
        """
        snapshot = _DECODER.decode(data)
        self.applied = snapshot.applied
        self.configuration = snapshot.configuration
        self.configuration_plan = snapshot.configuration_plan
        self.plans = create_plan_table(
            snapshot.open_plans, snapshot.closed_plans, snapshot.newest_evicted
        )
        self.claim_groups = {group.service: group for group in snapshot.claim_groups}
        self.draining_instances = dict.fromkeys(snapshot.draining_instances)
        self.draining_upstreams = dict.fromkeys(snapshot.draining_upstreams)
        self.drain_marks_version = snapshot.drain_marks_version
        self.document = snapshot.document
        self.runs = create_run_table(snapshot.runs, snapshot.runs_clock_ms)
