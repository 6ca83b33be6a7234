"""Provide intents, plans and the state that the control log replicates."""

from bendwind_core.plans.changes import Changes, apply_changes, compute_changes
from bendwind_core.plans.commands import (
    MAX_COMMAND_BYTES,
    Command,
    CommandFault,
    ConfirmPlan,
    CreatePlan,
    DrainTarget,
    MarkDraining,
    MarkEvacuated,
    PutRevision,
    RecordRuns,
    decode_command,
    encode_command,
)
from bendwind_core.plans.customer_differences import compute_customer_differences
from bendwind_core.plans.customer_faults import CustomerFault, find_customer_fault
from bendwind_core.plans.customer_warnings import find_customer_warnings
from bendwind_core.plans.difference import Difference, DifferenceKind, compute_differences
from bendwind_core.plans.evacuation import find_evacuation_warnings
from bendwind_core.plans.intent import Intent, parse_intent
from bendwind_core.plans.plan import (
    Confirmed,
    Expired,
    Plan,
    PlanOutcome,
    PlanState,
    Superseded,
    parse_plan_id,
)
from bendwind_core.plans.plan_table import PlanTable
from bendwind_core.plans.recorded_parts import DividedRecords, RecordedPart, divide_records
from bendwind_core.plans.render import render_plan
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
from bendwind_core.plans.revision import (
    RevisionFault,
    RevisionFaultKind,
    encode_revision,
    find_revision_fault,
)
from bendwind_core.plans.revision_file import parse_revision
from bendwind_core.plans.state import ControlState, EntryError
from bendwind_core.plans.warning import (
    Affected,
    PlanWarning,
    WarningKind,
    find_affected,
    find_warnings,
)

__all__ = [
    "MAX_COMMAND_BYTES",
    "Affected",
    "Changes",
    "Command",
    "CommandFault",
    "CommandResult",
    "ConfirmPlan",
    "Confirmed",
    "ControlState",
    "CreatePlan",
    "CustomerFault",
    "Difference",
    "DifferenceKind",
    "DividedRecords",
    "DrainMarked",
    "DrainTarget",
    "EntryError",
    "EvacuationStatus",
    "EvictedPlan",
    "Expired",
    "GroupChanged",
    "GroupRefused",
    "Intent",
    "MarkDraining",
    "MarkEvacuated",
    "Plan",
    "PlanCreated",
    "PlanOutcome",
    "PlanState",
    "PlanTable",
    "PlanWarning",
    "PutRevision",
    "RecordRuns",
    "RecordedPart",
    "RequestReused",
    "RevisionFault",
    "RevisionFaultKind",
    "RevisionStatus",
    "RunsKept",
    "Superseded",
    "TooManyEvacuated",
    "TooManyMarks",
    "TooManyPlans",
    "UnknownPlan",
    "VersionMoved",
    "WarningKind",
    "apply_changes",
    "compute_changes",
    "compute_customer_differences",
    "compute_differences",
    "decode_command",
    "divide_records",
    "encode_command",
    "encode_revision",
    "find_affected",
    "find_customer_fault",
    "find_customer_warnings",
    "find_evacuation_warnings",
    "find_revision_fault",
    "find_warnings",
    "parse_intent",
    "parse_plan_id",
    "parse_revision",
    "render_plan",
]
