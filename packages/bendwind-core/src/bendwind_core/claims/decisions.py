"""Define the possible decisions on a claim request at its entry node."""

import msgspec

from bendwind_core.claims.messages import ClaimAnswer, RefusalReason


class Granted(msgspec.Struct, frozen=True):
    """Permit the call to run its request."""


class Recorded(msgspec.Struct, frozen=True):
    """Return the stored answer of the call that ran the request."""

    answer: ClaimAnswer


class AnswerNotKept(msgspec.Struct, frozen=True):
    """Report that the request ran, but its answer was too large to keep."""


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """Report that the request may have run, and that its outcome will never be known."""


class StillPending(msgspec.Struct, frozen=True):
    """Report that the request of the call that holds the key was still running at the deadline."""


class KeyConflict(msgspec.Struct, frozen=True):
    """Report that the key was used for a different request."""


class ClaimRefused(msgspec.Struct, frozen=True):
    """Report that the call does not hold the key and must not run its request."""

    reason: RefusalReason


ClaimDecision = (
    Granted | Recorded | AnswerNotKept | OutcomeUnknown | StillPending | KeyConflict | ClaimRefused
)
