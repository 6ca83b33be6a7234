"""Define the messages of claims: entry node to primary, primary to members, primary to control."""

import enum

from bendwind_core.core import Milliseconds, Record

MAX_KEPT_ANSWER_BYTES = 16 * 1024
MAX_KEY_CHARACTERS = 255


class ClaimState(enum.StrEnum):
    """Say what is known of the request that holds a key."""

    PENDING = "pending"
    ANSWERED = "answered"
    NOT_KEPT = "not-kept"
    UNKNOWN = "unknown"
    RELEASED = "released"


class RefusalReason(enum.StrEnum):
    """Say why a claim was neither granted nor found."""

    NOT_PRIMARY = "not-primary"
    STALE = "stale"
    REPLICATING = "replicating"
    FULL = "full"
    LOST = "lost"
    NO_GROUP = "no-group"
    RELEASED = "released"
    DEADLINE = "deadline"


class ClaimAnswer(Record, frozen=True, array_like=True):
    """Hold an upstream's whole answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Claim(Record, frozen=True, array_like=True):
    """Hold what is known of one key.

    `epoch` and `sequence` order the states of one key: the highest pair is the newest.
    Units: `patience_ms` is the time after which a pending claim counts as unknown.
    """

    key: str
    fingerprint: bytes
    call: str
    state: ClaimState
    epoch: int
    sequence: int
    pending_timeout_ms: Milliseconds = 0.0
    answer: ClaimAnswer | None = None


class ClaimRequest(Record, frozen=True, array_like=True, tag="claim-request"):
    """Ask the primary for the right to run the request of a key.

    `entry` is the asking member (`name#incarnation`); `call` is unique over all entry nodes.
    Asking again with the same call has the effect of asking once.
    Units: `remaining_ms` is the time left to the caller's deadline, in milliseconds.
    """

    service: str
    key: str
    fingerprint: bytes
    call: str
    entry: str
    remaining_ms: Milliseconds


class ClaimGranted(Record, frozen=True, array_like=True, tag="claim-granted"):
    """Permit one call, and no other, to run the request of a key."""

    service: str
    key: str
    call: str
    epoch: int


class ClaimHeld(Record, frozen=True, array_like=True, tag="claim-held"):
    """Tell that another call holds the key, and what became of its request."""

    service: str
    key: str
    call: str
    state: ClaimState
    answer: ClaimAnswer | None = None


class ClaimConflict(Record, frozen=True, array_like=True, tag="claim-conflict"):
    """Tell that the key was used for a different request."""

    service: str
    key: str
    call: str


class ClaimUnavailable(Record, frozen=True, array_like=True, tag="claim-unavailable"):
    """Tell that the key was not granted to this call."""

    service: str
    key: str
    call: str
    reason: RefusalReason


class ClaimOutcome(Record, frozen=True, array_like=True, tag="claim-outcome"):
    """Record the final outcome of the call that was granted the key."""

    service: str
    key: str
    call: str
    entry: str
    state: ClaimState
    answer: ClaimAnswer | None = None


class ClaimRelease(Record, frozen=True, array_like=True, tag="claim-release"):
    """Free a key after a proof that the request of this call did not run and never will."""

    service: str
    key: str
    call: str
    entry: str


class ClaimSettled(Record, frozen=True, array_like=True, tag="claim-settled"):
    """Confirm that every member holds the outcome or the release of a call."""

    service: str
    key: str
    call: str


class ClaimAppend(Record, frozen=True, array_like=True, tag="claim-append"):
    """Replicate claims to one member, in an ordinary write or as a chunk of a copy.

    `receiver` names the run of the node this is meant for; any other run ignores it.
    Units: `ages_ms` holds the time since each claim was made, in milliseconds.
    """

    service: str
    epoch: int
    sequence: int
    sender: str
    receiver: str
    claims: tuple[Claim, ...]
    ages_ms: tuple[Milliseconds, ...]


class ClaimAppended(Record, frozen=True, array_like=True, tag="claim-appended"):
    """Confirm that a member holds the claims of an append."""

    service: str
    epoch: int
    sequence: int
    member: str


class ClaimCopied(Record, frozen=True, array_like=True, tag="claim-copied"):
    """Tell control that the joining member of this epoch holds every claim."""

    service: str
    epoch: int
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
