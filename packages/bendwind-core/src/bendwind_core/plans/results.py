"""Define what the replicated state answers to a command."""

from bendwind_core.claims import ClaimGroup
from bendwind_core.core import Record
from bendwind_core.plans.commands import DrainTarget
from bendwind_core.plans.plan import Plan, PlanOutcome


class PlanCreated(Record, frozen=True, array_like=True, tag="plan-kept"):
    """Give the plan that the request made; `resent` tells that it was made before."""

    plan: Plan
    is_resent: bool = False


class VersionMoved(Record, frozen=True, array_like=True, tag="version-moved"):
    """Refuse a plan whose base is not the version in force, which `plan` made."""

    version: int
    plan: str


class RequestReused(Record, frozen=True, array_like=True, tag="request-reused"):
    """Refuse an idempotency key that made another plan out of another intent."""

    plan: str


class TooManyPlans(Record, frozen=True, array_like=True, tag="too-many-plans"):
    """Refuse a plan because too many, or too large ones, are open."""

    open: int


class UnknownPlan(Record, frozen=True, array_like=True, tag="unknown-plan"):
    """Tell that no plan of this id was ever made."""

    plan: str


class EvictedPlan(Record, frozen=True, array_like=True, tag="forgotten-plan"):
    """Tell that the id is older than the oldest outcome that is remembered."""

    plan: str


class DrainMarked(Record, frozen=True, array_like=True, tag="marked"):
    """Give a drain mark as it now stands."""

    target: DrainTarget
    name: str
    draining: bool


class TooManyMarks(Record, frozen=True, array_like=True, tag="too-many-marks"):
    """Refuse a drain mark because too many are set."""

    marks: int


class GroupChanged(Record, frozen=True, array_like=True, tag="group-changed"):
    """Give a claim group as it now stands."""

    group: ClaimGroup


class GroupRefused(Record, frozen=True, array_like=True, tag="group-refused"):
    """Refuse a change of a claim group; `detail` names the rule that it would break."""

    detail: str


class RevisionStatus(Record, frozen=True, array_like=True, tag="revision-held"):
    """Give the revision held after a whole configuration was put; `is_new` if this put it there."""

    revision: int
    version: int
    is_new: bool


class EvacuationStatus(Record, frozen=True, array_like=True, tag="evacuation-held"):
    """Give whether a data centre is evacuated, as of a version; `is_new` if this made it so."""

    data_centre: str
    evacuated: bool
    version: int
    is_new: bool


class TooManyEvacuated(Record, frozen=True, array_like=True, tag="too-many-evacuated"):
    """Refuse an evacuation because too many data centres are evacuated."""

    evacuated: int


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
)
