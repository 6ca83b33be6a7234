"""Define a plan and its outcomes."""

import enum

import msgspec

from bendwind_core.core import Record
from bendwind_core.plans.changes import Changes

_ID_PREFIX = "p"
# A log index fits into 63 bits; a text with more digits cannot be the id of a plan.
_MAX_DIGITS = 18


class PlanState(enum.StrEnum):
    """Enumerate the states of a plan."""

    PROPOSED = "proposed"
    CONFIRMED = "confirmed"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"


class Confirmed(Record, frozen=True, array_like=True, tag="confirmed"):
    """Report that the plan was confirmed and its configuration became active as `version`."""

    plan: str
    version: int


class Superseded(Record, frozen=True, array_like=True, tag="won-by"):
    """Report that another plan from the same version was confirmed first, as `version`.

    `plan` is that plan; it is empty if a revision or an evacuation made `version`.
    """

    plan: str
    version: int


class Expired(Record, frozen=True, array_like=True, tag="expired"):
    """Report that the plan was not confirmed in time."""

    plan: str


PlanOutcome = Confirmed | Superseded | Expired


class Plan(Record, frozen=True, array_like=True):
    """Hold a plan: the changes that it makes to its base version when it is confirmed.

    `request` is the operator's idempotency key and `digest` the hash of the intent sent with it.
    `changes` are dropped once there is an outcome.
    Units: `created_ms` and `expires_ms` are wall-clock milliseconds since 1970.
    """

    index: int
    request: str
    digest: bytes
    base_version: int
    created_ms: int
    expires_ms: int
    changes: Changes = Changes()
    outcome: PlanOutcome | None = None

    @property
    def id(self) -> str:
        """Return the id that operators use, which contains the log index of the creation."""
        return f"{_ID_PREFIX}{self.index}"

    @property
    def state(self) -> PlanState:
        """Return the state that follows from the outcome."""
        match self.outcome:
            case None:
                return PlanState.PROPOSED
            case Confirmed():
                return PlanState.CONFIRMED
            case Superseded():
                return PlanState.SUPERSEDED
            case Expired():
                return PlanState.EXPIRED

    def close(self, outcome: PlanOutcome) -> "Plan":
        """Return the plan with its outcome and without its changes."""
        return msgspec.structs.replace(self, outcome=outcome, changes=Changes())


def parse_plan_id(text: str) -> int | None:
    """Return the log index of the creation from a plan's id, or None if it is not an id.

    >>> parse_plan_id("p17"), parse_plan_id("17"), parse_plan_id("p017")
    (17, None, None)
    """
    digits = text.removeprefix(_ID_PREFIX)
    if digits == text or not digits.isascii() or not digits.isdecimal():
        return None
    if len(digits) > _MAX_DIGITS or digits != str(int(digits)):
        return None
    return int(digits)
