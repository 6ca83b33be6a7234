"""Describe a plan and how it ended."""

import enum

import msgspec

from bendwind_core.core import Record
from bendwind_core.plans.changes import Changes

_ID_PREFIX = "p"
# The index of a log entry fits in 63 bits; longer digits were never an id.
_MAX_DIGITS = 18


class PlanState(enum.StrEnum):
    """Say how far a plan has come."""

    PROPOSED = "proposed"
    CONFIRMED = "confirmed"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"


class Confirmed(Record, frozen=True, array_like=True, tag="confirmed"):
    """Tell that the plan was confirmed and its configuration is in force as of `version`."""

    plan: str
    version: int


class Superseded(Record, frozen=True, array_like=True, tag="won-by"):
    """Tell that another plan from the same version was confirmed first, as `version`."""

    plan: str
    version: int


class Expired(Record, frozen=True, array_like=True, tag="expired"):
    """Tell that the plan was not confirmed in time."""

    plan: str


PlanOutcome = Confirmed | Superseded | Expired


class Plan(Record, frozen=True, array_like=True):
    """Hold a plan: the changes it would make to the version it starts from.

    `request` is the operator's idempotency key and `digest` the hash of what was asked under it.
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
        """Return the name operators use, which carries the log index of the creation."""
        return f"{_ID_PREFIX}{self.index}"

    @property
    def state(self) -> PlanState:
        """Return how far the plan has come."""
        match self.outcome:
            case None:
                return PlanState.PROPOSED
            case Confirmed():
                return PlanState.CONFIRMED
            case Superseded():
                return PlanState.SUPERSEDED
            case Expired():
                return PlanState.EXPIRED

    def decide(self, outcome: PlanOutcome) -> "Plan":
        """Return the plan with its outcome and without its changes."""
        return msgspec.structs.replace(self, outcome=outcome, changes=Changes())


def parse_plan_id(text: str) -> int | None:
    """Return the creation index that a plan's id carries, or None if it is no id.

    >>> parse_plan_id("p17"), parse_plan_id("17"), parse_plan_id("p017")
    (17, None, None)
    """
    digits = text.removeprefix(_ID_PREFIX)
    if digits == text or not digits.isascii() or not digits.isdecimal():
        return None
    if len(digits) > _MAX_DIGITS or digits != str(int(digits)):
        return None
    return int(digits)
