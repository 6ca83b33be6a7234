"""Define the results of applying commands to the replicated state."""

from bendwind_core.claims import ClaimGroup
from bendwind_core.core import Record
from bendwind_core.plans.commands import DrainTarget
from bendwind_core.plans.plan import Plan, PlanOutcome


class PlanCreated(Record, frozen=True, array_like=True, tag="plan-kept"):
    """Return the plan that the request created; `is_resent` if an earlier copy created it."""

    plan: Plan
    is_resent: bool = False


class VersionMoved(Record, frozen=True, array_like=True, tag="version-moved"):
    """Refuse a plan whose base is not the active version, which `plan` made."""

    version: int
    plan: str


class RequestReused(Record, frozen=True, array_like=True, tag="request-reused"):
    """Refuse an idempotency key under which another intent already created `plan`."""

    plan: str


class TooManyPlans(Record, frozen=True, array_like=True, tag="too-many-plans"):
    """Refuse a plan because the open plans are too many or too large."""

    open: int


class UnknownPlan(Record, frozen=True, array_like=True, tag="unknown-plan"):
    """Report that no plan with this id was ever created."""

    plan: str


class EvictedPlan(Record, frozen=True, array_like=True, tag="forgotten-plan"):
    """Report that the id is older than the oldest outcome that is stored."""

    plan: str


class DrainMarked(Record, frozen=True, array_like=True, tag="marked"):
    """Return the current state of a drain mark."""

    target: DrainTarget
    name: str
    draining: bool


class TooManyMarks(Record, frozen=True, array_like=True, tag="too-many-marks"):
    """Refuse a drain mark because too many are set."""

    marks: int


class GroupChanged(Record, frozen=True, array_like=True, tag="group-changed"):
    """Return the current state of a claim group."""

    group: ClaimGroup


class GroupRefused(Record, frozen=True, array_like=True, tag="group-refused"):
    """Refuse a change of a claim group; `detail` names the rule that the change violates."""

    detail: str


class RevisionStatus(Record, frozen=True, array_like=True, tag="revision-held"):
    """Return the current revision after PutRevision; `is_new` if this command set it."""

    revision: int
    version: int
    is_new: bool


class EvacuationStatus(Record, frozen=True, array_like=True, tag="evacuation-held"):
    """Return whether a data centre is evacuated; `is_new` if this command changed that.

    `version` is that of the configuration which contains this state.
    """

    data_centre: str
    evacuated: bool
    version: int
    is_new: bool


class TooManyEvacuated(Record, frozen=True, array_like=True, tag="too-many-evacuated"):
    """Refuse an evacuation because too many data centres are evacuated."""

    evacuated: int


class RunsKept(Record, frozen=True, array_like=True, tag="runs-kept"):
    """Confirm that reported runs are kept, or something newer of the same upstreams."""


CommandResult = (
    PlanCreated
    | PlanOutcome
    | VersionMoved
    | RequestReused
    | TooManyPlans
    | UnknownPlan
    | EvictedPlan
    | DrainMarked
    | TooManyMarks
    | GroupChanged
    | GroupRefused
    | RevisionStatus
    | EvacuationStatus
    | TooManyEvacuated
    | RunsKept
)
