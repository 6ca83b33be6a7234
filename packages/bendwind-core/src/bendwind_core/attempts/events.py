"""Define the events and effects of a call's decisions on its entry node.

The task that carries a call feeds events to `bendwind_core.attempts.entry.step` and carries out
the effects in the order given. A timer of a finished call may still fire: it is ignored. These
classes are not frozen only because a frozen data class costs three times as much to create.
"""

import enum
from dataclasses import dataclass

from bendwind_core.attempts.messages import AttemptId, CutReason, FenceVerdict, NotRunReason
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.world import LoadSample, Upstream


class TimerKind(enum.Enum):
    """Name the timers of a call."""

    EXPIRY = "expiry"
    DEADLINE = "deadline"
    HEDGE = "hedge"
    FENCE = "fence"


class ClaimRefusal(enum.StrEnum):
    """Say why a claim on an idempotency key was not granted."""

    KEY_REUSED = "key-reused"
    UNAVAILABLE = "unavailable"


class ClaimOutcome(enum.StrEnum):
    """Say what is recorded with a claim when its call ends."""

    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Begin:
    """Start the call."""


@dataclass(slots=True)
class ClaimGranted:
    """Report that the key of this call is claimed for it."""


@dataclass(slots=True)
class ClaimRefused:
    """Report that the key cannot be claimed."""

    reason: ClaimRefusal


@dataclass(slots=True)
class ClaimHeldByOther:
    """Report that an earlier call claimed the key; `is_recorded` if its answer can be replayed."""

    is_recorded: bool = False


@dataclass(slots=True)
class AttemptNotRun:
    """Report the owner's proof that the attempt did not run and never will."""

    attempt: AttemptId
    reason: NotRunReason
    load: LoadSample | None = None


@dataclass(slots=True)
class AttemptHead:
    """Report the head of an answer; `is_complete` if its whole body came with it."""

    attempt: AttemptId
    status: int
    is_complete: bool


@dataclass(slots=True)
class AttemptBodyPart:
    """Report a further part of an answer's body, counted from 1."""

    attempt: AttemptId
    index: int
    more: bool


@dataclass(slots=True)
class AttemptUnknown:
    """Report that a started attempt's answer is lost or cut."""

    attempt: AttemptId
    reason: CutReason


@dataclass(slots=True)
class OwnerLost:
    """Report that the link which carried the attempt broke before its answer was whole."""

    attempt: AttemptId


@dataclass(slots=True)
class FenceAnswered:
    """Report the owner's answer to a fence."""

    attempt: AttemptId
    verdict: FenceVerdict


@dataclass(slots=True)
class FenceFailed:
    """Report that the fence could not be put to the owner."""

    attempt: AttemptId


@dataclass(slots=True)
class CallerGone:
    """Report that the caller closed its connection."""


@dataclass(slots=True)
class TimerFired:
    """Report that a timer of this call is due."""

    kind: TimerKind


EntryEvent = (
    Begin
    | ClaimGranted
    | ClaimRefused
    | ClaimHeldByOther
    | AttemptNotRun
    | AttemptHead
    | AttemptBodyPart
    | AttemptUnknown
    | OwnerLost
    | FenceAnswered
    | FenceFailed
    | CallerGone
    | TimerFired
)


@dataclass(slots=True)
class SendHandOver:
    """Hand the attempt to the owner of `upstream`.

    Units: `remaining_ms` is the time the owner has and `target_ms` that left to the latency
    objective, None without one, in milliseconds.
    """

    attempt: AttemptId
    upstream: Upstream
    remaining_ms: Milliseconds
    insist: bool = True
    target_ms: Milliseconds | None = None


@dataclass(slots=True)
class SendCancel:
    """Tell the owner that nobody awaits the attempt."""

    attempt: AttemptId
    upstream: Upstream


@dataclass(slots=True)
class SendFence:
    """Ask the owner, over a new link if the old one broke, to fence the attempt."""

    attempt: AttemptId
    upstream: Upstream


@dataclass(slots=True)
class RequestClaim:
    """Claim the call's key for it."""


@dataclass(slots=True)
class ReleaseClaim:
    """Give the key back, or withdraw the request for it: the call did not run."""


@dataclass(slots=True)
class RecordClaim:
    """Record the outcome of the call with its claim."""

    outcome: ClaimOutcome


@dataclass(slots=True)
class StartTimer:
    """Feed back `TimerFired(kind)` at a time; a later effect of the same kind replaces it."""

    kind: TimerKind
    at: Seconds


@dataclass(slots=True)
class DeliverHead:
    """Send this attempt's answer head, with the body part that came with it, to the caller.

    The task keeps the head of each attempt until the call ends, since an answer may be held.
    """

    attempt: AttemptId


@dataclass(slots=True)
class DeliverPart:
    """Send the body part just reported to the caller."""

    attempt: AttemptId


@dataclass(slots=True)
class DeliverRecorded:
    """Send the answer recorded with the claim to the caller; the call is over."""


@dataclass(slots=True)
class FinishDelivered:
    """End the call: its answer was delivered whole."""

    attempt: AttemptId


@dataclass(slots=True)
class FinishNotRun:
    """End the call: it was proven not to have run.

    Units: `retry_after_ms` is when to come back, in milliseconds.
    """

    reason: NotRunReason
    retry_after_ms: Milliseconds


@dataclass(slots=True)
class FinishUnknown:
    """End the call: it may have run.

    Units: `retry_after_ms` is when to ask again, in milliseconds; None where asking is unsafe.
    """

    reason: CutReason
    retry_after_ms: Milliseconds | None = None


@dataclass(slots=True)
class FinishRefused:
    """End the call: the claim on its key forbids it."""

    reason: ClaimRefusal


@dataclass(slots=True)
class FinishGone:
    """End the call: its caller went away."""


@dataclass(slots=True)
class Cut:
    """End the call by aborting the caller's connection, so that a part is never taken as whole."""

    reason: CutReason


EntryEffect = (
    SendHandOver
    | SendCancel
    | SendFence
    | RequestClaim
    | ReleaseClaim
    | RecordClaim
    | StartTimer
    | DeliverHead
    | DeliverPart
    | DeliverRecorded
    | FinishDelivered
    | FinishNotRun
    | FinishUnknown
    | FinishRefused
    | FinishGone
    | Cut
)
FINAL_EFFECTS = (
    DeliverRecorded,
    FinishDelivered,
    FinishNotRun,
    FinishUnknown,
    FinishRefused,
    FinishGone,
    Cut,
)
