"""Define what a request for a claim may come to at its entry node."""

from dataclasses import dataclass

from bendwind_core.claims.messages import ClaimAnswer, RefusalReason


@dataclass(slots=True, frozen=True)
class Granted:
    """Permit the call to run its request."""


@dataclass(slots=True, frozen=True)
class Recorded:
    """Repeat the answer of the call that ran the request."""

    answer: ClaimAnswer


@dataclass(slots=True, frozen=True)
class AnswerNotKept:
    """Tell that the request ran and its answer was too large to keep."""


@dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """Tell that the request may have run and that nobody will learn whether it did."""


@dataclass(slots=True, frozen=True)
class StillPending:
    """Tell that the request of the call that holds the key was still running at the deadline."""


@dataclass(slots=True, frozen=True)
class KeyConflict:
    """Tell that the key was used for a different request."""


@dataclass(slots=True, frozen=True)
class ClaimRefused:
    """Tell that the call does not hold the key and must not run its request."""

    reason: RefusalReason


ClaimDecision = (
    Granted | Recorded | AnswerNotKept | OutcomeUnknown | StillPending | KeyConflict | ClaimRefused
)
