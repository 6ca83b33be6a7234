"""Define claim messages: entry node to primary, primary to members, primary to control."""

import enum

from bendwind_core.core import Count, Finite, Record, Storable

MAX_KEPT_ANSWER_BYTES = 16 * 1024
MAX_KEY_CHARACTERS = 255


class ClaimState(enum.StrEnum):
    """Define the known states of the request that holds a key."""

    PENDING = "pending"
    ANSWERED = "answered"
    NOT_KEPT = "not-kept"
    UNKNOWN = "unknown"
    RELEASED = "released"


class RefusalReason(enum.StrEnum):
    """Define why a claim request is neither granted nor answered from an existing claim."""

    NOT_PRIMARY = "not-primary"
    STALE = "stale"
    REPLICATING = "replicating"
    FULL = "full"
    LOST = "lost"
    NO_GROUP = "no-group"
    RELEASED = "released"
    DEADLINE = "deadline"


class ClaimAnswer(Record, frozen=True, array_like=True):
    """Hold an upstream's complete answer."""

    status: Count
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Claim(Record, frozen=True, array_like=True):
    """Hold the known state of one key.

    `epoch` and `sequence` order the states of one key: the highest pair is the newest.
    Units: `pending_timeout_ms` is the time in milliseconds after which a pending claim counts as
    unknown.
    """

    key: str
    fingerprint: bytes
    call: str
    state: ClaimState
    epoch: Storable
    sequence: Count
    pending_timeout_ms: Finite = 0.0
    answer: ClaimAnswer | None = None


class ClaimRequest(Record, frozen=True, array_like=True, tag="claim-request"):
    """Ask the primary for the right to run the request of a key.

    `entry` is the requesting member (`name#incarnation`); `call` is unique across all entry nodes.
    The request is idempotent: a repetition with the same `call` has no further effect.
    Units: `remaining_ms` is the time left until the caller's deadline, in milliseconds.
    """

    service: str
    key: str
    fingerprint: bytes
    call: str
    entry: str
    remaining_ms: Finite


class ClaimGranted(Record, frozen=True, array_like=True, tag="claim-granted"):
    """Permit exactly one call to run the request of a key."""

    service: str
    key: str
    call: str
    epoch: Storable


class ClaimHeld(Record, frozen=True, array_like=True, tag="claim-held"):
    """Report that another call holds the key, and the state and kept answer of its request."""

    service: str
    key: str
    call: str
    state: ClaimState
    answer: ClaimAnswer | None = None


class ClaimConflict(Record, frozen=True, array_like=True, tag="claim-conflict"):
    """Report that the key was used for a different request."""

    service: str
    key: str
    call: str


class ClaimUnavailable(Record, frozen=True, array_like=True, tag="claim-unavailable"):
    """Report that the key was not granted to this call."""

    service: str
    key: str
    call: str
    reason: RefusalReason


class ClaimOutcome(Record, frozen=True, array_like=True, tag="claim-outcome"):
    """Report the final outcome of the call that was granted the key."""

    service: str
    key: str
    call: str
    entry: str
    state: ClaimState
    answer: ClaimAnswer | None = None


class ClaimRelease(Record, frozen=True, array_like=True, tag="claim-release"):
    """Release a key after proof that the request of this call did not run and never will."""

    service: str
    key: str
    call: str
    entry: str


class ClaimSettled(Record, frozen=True, array_like=True, tag="claim-settled"):
    """Confirm that every member stores the outcome or the release of a call."""

    service: str
    key: str
    call: str


class ClaimAppend(Record, frozen=True, array_like=True, tag="claim-append"):
    """Replicate claims to one member, in an ordinary write or as a chunk of a copy.

    `receiver` names the run of the destination node; any other run ignores the message.
    Units: `ages_ms` holds the time since each claim was created, in milliseconds.
    """

    service: str
    epoch: Storable
    sequence: Count
    sender: str
    receiver: str
    claims: tuple[Claim, ...]
    ages_ms: tuple[Finite, ...]


class ClaimAppended(Record, frozen=True, array_like=True, tag="claim-appended"):
    """Confirm that a member stores the claims of an append."""

    service: str
    epoch: Storable
    sequence: Count
    member: str


class ClaimCopied(Record, frozen=True, array_like=True, tag="claim-copied"):
    """Report to control that the joining member of this epoch stores every claim."""

    service: str
    epoch: Storable
    joining: str


class ClaimLeave(Record, frozen=True, array_like=True, tag="claim-leave"):
    """Ask control to replace a member that is about to stop."""

    member: str


ClaimMessage = (
    ClaimRequest
    | ClaimGranted
    | ClaimHeld
    | ClaimConflict
    | ClaimUnavailable
    | ClaimOutcome
    | ClaimRelease
    | ClaimSettled
    | ClaimAppend
    | ClaimAppended
    | ClaimCopied
    | ClaimLeave
)

ClaimReply = ClaimGranted | ClaimHeld | ClaimConflict | ClaimUnavailable
