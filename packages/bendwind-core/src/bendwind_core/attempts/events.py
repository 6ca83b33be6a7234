"""Define the events and effects of a call's state machine on its entry node.

The task that handles a call passes events to `bendwind_core.attempts.entry.step` and carries out
the returned effects in order. A timer of a finished call may still fire; it is ignored. These
classes are not frozen only because a frozen data class costs three times as much to create.
"""

import enum

import msgspec

from bendwind_core.attempts.messages import AttemptId, CutReason, FenceVerdict, NotRunReason
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.world import LoadSample, Upstream


class TimerKind(enum.Enum):
    """List the timers of a call."""

    EXPIRY = "expiry"
    DEADLINE = "deadline"
    HEDGE = "hedge"
    FENCE = "fence"


class ClaimRefusal(enum.StrEnum):
    """List the reasons for which a claim on an idempotency key is not granted."""

    KEY_REUSED = "key-reused"
    UNAVAILABLE = "unavailable"


class ClaimOutcome(enum.StrEnum):
    """List the outcomes that are recorded with a claim when its call ends."""

    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Begin(msgspec.Struct):
    """Start the call."""


class ClaimGranted(msgspec.Struct):
    """Report that the call's idempotency key is claimed for it."""


class ClaimRefused(msgspec.Struct):
    """Report that the idempotency key cannot be claimed."""

    reason: ClaimRefusal


class ClaimHeldByOther(msgspec.Struct):
    """Report that an earlier call claimed the key.

    `is_recorded` says that the answer of that call can be replayed.
    """

    is_recorded: bool = False


class AttemptNotRun(msgspec.Struct):
    """Report the owner's proof that the attempt did not run and never will."""

    attempt: AttemptId
    reason: NotRunReason
    load: LoadSample | None = None
    wait_ms: Milliseconds | None = None


class AttemptHead(msgspec.Struct):
    """Report the head of an answer; `is_complete` says that its whole body came with it."""

    attempt: AttemptId
    status: int
    is_complete: bool


class AttemptBodyPart(msgspec.Struct):
    """Report a further part of an answer's body; `index` counts from 1."""

    attempt: AttemptId
    index: int
    more: bool


class AttemptUnknown(msgspec.Struct):
    """Report that a started attempt's answer is lost or cut off."""

    attempt: AttemptId
    reason: CutReason


class OwnerLinkLost(msgspec.Struct):
    """Report that the link which carried the attempt broke before its answer was complete."""

    attempt: AttemptId


class FenceAnswered(msgspec.Struct):
    """Report the owner's verdict on a fence."""

    attempt: AttemptId
    verdict: FenceVerdict


class FenceFailed(msgspec.Struct):
    """Report that the fence could not be sent to the owner."""

    attempt: AttemptId


class StartsEnded(msgspec.Struct):
    """Report that this process stops and sends no more attempts of the call."""


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
    | StartsEnded
    | CallerGone
    | TimerFired
)


class SendHandOver(msgspec.Struct):
    """Hand the attempt over to the owner of `upstream`, which may queue it if `may_wait` is true.

    `may_send_again` permits the owner to send the request again over another connection.
    Units: `remaining_ms` is the time that the owner has and `target_ms` the time left to the
    latency objective, None without one, in milliseconds.
    """

    attempt: AttemptId
    upstream: Upstream
    remaining_ms: Milliseconds
    accept_if_slow: bool = True
    target_ms: Milliseconds | None = None
    may_wait: bool = True
    may_send_again: bool = True


class SendCancel(msgspec.Struct):
    """Notify the owner that the attempt's answer is no longer needed."""

    attempt: AttemptId
    upstream: Upstream


class SendFence(msgspec.Struct):
    """Ask the owner, over a new link if the old one broke, to fence the attempt.

    `may_end` says that it may still start if it ends before this process does.
    """

    attempt: AttemptId
    upstream: Upstream
    may_end: bool = False


class RequestClaim(msgspec.Struct):
    """Request a claim on the call's idempotency key."""


class ReleaseClaim(msgspec.Struct):
    """Release the claim, or withdraw the request for it, because the call did not run."""


class RecordClaim(msgspec.Struct):
    """Record the outcome of the call with its claim."""

    outcome: ClaimOutcome


class StartTimer(msgspec.Struct):
    """Schedule `TimerFired(kind)` for a time; a later effect of the same kind replaces it."""

    kind: TimerKind
    at: Seconds


class DeliverHead(msgspec.Struct):
    """Send the head of the attempt's answer, with the body part that came with it, to the caller.

    The task keeps the head of each attempt until the call ends, since an answer may be held back.
    """

    attempt: AttemptId


class DeliverPart(msgspec.Struct):
    """Send the body part that the current event reports to the caller."""

    attempt: AttemptId


class DeliverRecorded(msgspec.Struct):
    """End the call by sending the answer recorded with the claim to the caller."""


class FinishDelivered(msgspec.Struct):
    """End the call after its whole answer was delivered."""

    attempt: AttemptId


class FinishNotRun(msgspec.Struct):
    """End the call, which is proven not to have run.

    Units: `retry_after_ms` is the time after which the caller should retry, in milliseconds.
    """

    reason: NotRunReason
    retry_after_ms: Milliseconds


class FinishUnknown(msgspec.Struct):
    """End the call, which may have run.

    Units: `retry_after_ms` is the time after which the caller may send the call again, in
    milliseconds; None if sending it again is unsafe.
    """

    reason: CutReason
    retry_after_ms: Milliseconds | None = None


class FinishRefused(msgspec.Struct):
    """End the call because its idempotency key could not be claimed."""

    reason: ClaimRefusal


class FinishGone(msgspec.Struct):
    """End the call because its caller closed the connection."""


class Cut(msgspec.Struct):
    """End the call by aborting the caller's connection.

    Otherwise the caller could take a partial answer for a complete one.
    """

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
