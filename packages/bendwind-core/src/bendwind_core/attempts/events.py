"""Define the events and effects of a call's decisions on its entry node.

The task that carries a call feeds events to `bendwind_core.attempts.entry.step` and carries out
the effects in the order given. A timer of a finished call may still fire: it is ignored. These
classes are not frozen only because a frozen data class costs three times as much to create.
"""

import enum

import msgspec

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


class Begin(msgspec.Struct):
    """Start the call."""


class ClaimGranted(msgspec.Struct):
    """Report that the key of this call is claimed for it."""


class ClaimRefused(msgspec.Struct):
    """Report that the key cannot be claimed."""

    reason: ClaimRefusal


class ClaimHeldByOther(msgspec.Struct):
    """Report that an earlier call claimed the key; `is_recorded` if its answer can be replayed."""

    is_recorded: bool = False


class AttemptNotRun(msgspec.Struct):
    """Report the owner's proof that the attempt did not run and never will."""

    attempt: AttemptId
    reason: NotRunReason
    load: LoadSample | None = None
    wait_ms: Milliseconds | None = None


class AttemptHead(msgspec.Struct):
    """Report the head of an answer; `is_complete` if its whole body came with it."""

    attempt: AttemptId
    status: int
    is_complete: bool


class AttemptBodyPart(msgspec.Struct):
    """Report a further part of an answer's body, counted from 1."""

    attempt: AttemptId
    index: int
    more: bool


class AttemptUnknown(msgspec.Struct):
    """Report that a started attempt's answer is lost or cut."""

    attempt: AttemptId
    reason: CutReason


class OwnerLinkLost(msgspec.Struct):
    """Report that the link which carried the attempt broke before its answer was whole."""

    attempt: AttemptId


class FenceAnswered(msgspec.Struct):
    """Report the owner's answer to a fence."""

    attempt: AttemptId
    verdict: FenceVerdict


class FenceFailed(msgspec.Struct):
    """Report that the fence could not be put to the owner."""

    attempt: AttemptId


class CallerGone(msgspec.Struct):
    """Report that the caller closed its connection."""


class TimerFired(msgspec.Struct):
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
    | OwnerLinkLost
    | FenceAnswered
    | FenceFailed
    | CallerGone
    | TimerFired
)


class SendHandOver(msgspec.Struct):
    """Hand the attempt to the owner of `upstream`, which may let it wait if `may_wait`.

    Units: `remaining_ms` is the time the owner has and `target_ms` that left to the latency
    objective, None without one, in milliseconds.
    """

    attempt: AttemptId
    upstream: Upstream
    remaining_ms: Milliseconds
    accept_if_slow: bool = True
    target_ms: Milliseconds | None = None
    may_wait: bool = True


class SendCancel(msgspec.Struct):
    """Tell the owner that nobody awaits the attempt."""

    attempt: AttemptId
    upstream: Upstream


class SendFence(msgspec.Struct):
    """Ask the owner, over a new link if the old one broke, to fence the attempt."""

    attempt: AttemptId
    upstream: Upstream


class RequestClaim(msgspec.Struct):
    """Claim the call's key for it."""


class ReleaseClaim(msgspec.Struct):
    """Give the key back, or withdraw the request for it: the call did not run."""


class RecordClaim(msgspec.Struct):
    """Record the outcome of the call with its claim."""

    outcome: ClaimOutcome


class StartTimer(msgspec.Struct):
    """Feed back `TimerFired(kind)` at a time; a later effect of the same kind replaces it."""

    kind: TimerKind
    at: Seconds


class DeliverHead(msgspec.Struct):
    """Send this attempt's answer head, with the body part that came with it, to the caller.

    The task keeps the head of each attempt until the call ends, since an answer may be held.
    """

    attempt: AttemptId


class DeliverPart(msgspec.Struct):
    """Send the body part just reported to the caller."""

    attempt: AttemptId


class DeliverRecorded(msgspec.Struct):
    """Send the answer recorded with the claim to the caller; the call is over."""


class FinishDelivered(msgspec.Struct):
    """End the call: its answer was delivered whole."""

    attempt: AttemptId


class FinishNotRun(msgspec.Struct):
    """End the call: it was proven not to have run.

    Units: `retry_after_ms` is when to come back, in milliseconds.
    """

    reason: NotRunReason
    retry_after_ms: Milliseconds


class FinishUnknown(msgspec.Struct):
    """End the call: it may have run.

    Units: `retry_after_ms` is when to ask again, in milliseconds; None where asking is unsafe.
    """

    reason: CutReason
    retry_after_ms: Milliseconds | None = None


class FinishRefused(msgspec.Struct):
    """End the call: the claim on its key forbids it."""

    reason: ClaimRefusal


class FinishGone(msgspec.Struct):
    """End the call: its caller went away."""


class Cut(msgspec.Struct):
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
