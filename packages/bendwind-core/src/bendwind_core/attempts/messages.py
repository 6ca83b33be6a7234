"""Define the messages of one call between its entry node and an upstream's owner node."""

import enum

from bendwind_core.core import Milliseconds, Record
from bendwind_core.suspicion import SuspectTold
from bendwind_core.world import LoadSample, Repeat

Header = tuple[bytes, bytes]


class AttemptId(Record, frozen=True, array_like=True):
    """Identify one attempt of one call, unique over all entry nodes and their restarts.

    `sequence` grows by one with every attempt of an entry node's incarnation.
    """

    entry: str
    incarnation: int
    sequence: int


class NotRunReason(enum.StrEnum):
    """Say why a request was proven not to have run on any upstream."""

    SHED = "shed"
    MISDIRECTED = "misdirected"
    QUEUE_FULL = "queue-full"
    DRAINING = "draining"
    NO_UPSTREAM = "no-upstream"
    STALE = "stale-configuration"
    DEADLINE = "deadline"
    FENCED = "fenced"
    CANCELLED = "cancelled"
    WRONG_OWNER = "wrong-owner"
    CONNECT_FAILED = "connect-failed"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    OVERLOADED = "overloaded"
    STALLED = "stalled"
    DEPENDENCY_FULL = "dependency-full"
    KEPT_APART = "kept-apart"
    QUARANTINED = "quarantined"
    BUSY = "busy"
    LIMITED = "limited"
    OVER_QUOTA = "over-quota"
    QUOTA_UNKNOWN = "quota-unknown"


class CutReason(enum.StrEnum):
    """Say why the result of a started request is not known."""

    LINK_LOST = "link-lost"
    UPSTREAM_RESET = "upstream-reset"
    UPSTREAM_TIMEOUT = "upstream-timeout"
    OWNER_RESTARTED = "owner-restarted"
    BODY_CUT = "body-cut"
    CANCELLED = "cancelled"
    CLAIM_PENDING = "claim-pending"
    ANSWER_NOT_KEPT = "answer-not-kept"
    DEADLINE = "deadline"
    FOREIGN_ANSWER = "foreign-answer"


class FenceVerdict(enum.StrEnum):
    """Say what the owner knows of an attempt that it was asked to fence."""

    NEVER_STARTED = "never-started"
    STARTED = "started"
    FORGOTTEN = "forgotten"


class HandOver(Record, frozen=True, array_like=True, tag="call"):
    """Hand one attempt to the upstream's owner node.

    `owner_incarnation` names the run of the owner this is meant for; any other run refuses it.
    `insist` says to take the attempt even while the upstream has stalled.
    `body` is the first part of the request body; `more` says that BodyPart messages follow.
    `route` names the route that the call came by, and `origin` the service whose upstream stands
    beside the entry node, if any. `suspicion` is what the entry node knows against the request.
    `rank` says how urgent the request is, 0 the most, and `customer` whose it is, empty where that
    is not known. An owner refuses as busy what it
    cannot start at once where `may_wait` is false. `run_rank` is the most urgent rank of what runs
    beside the entry node, None where nothing does: a call that an upstream makes is as urgent.
    `limit_per_s` is the upstream's limit as the entry node heard it last, None where it heard none:
    an owner that has just started knows nothing else of it.
    Units: `remaining_ms` is the time left to the caller's deadline and `target_ms` that left to
    the latency objective, None without one, in milliseconds; `limit_per_s` in requests a second.
    """

    attempt: AttemptId
    owner_incarnation: int
    service: str
    upstream: str
    method: str
    target: bytes
    headers: tuple[Header, ...]
    remaining_ms: Milliseconds
    repeat: Repeat
    version: int
    body: bytes = b""
    more: bool = False
    accept_if_slow: bool = True
    route: str = ""
    target_ms: Milliseconds | None = None
    origin: str = ""
    suspicion: SuspectTold | None = None
    rank: float = 0.0
    customer: str = ""
    may_wait: bool = True
    run_rank: float | None = None
    limit_per_s: float | None = None


class AnswerHead(Record, frozen=True, array_like=True, tag="answer"):
    """Carry the status, headers and first body part of an upstream's answer.

    Units: `upstream_ms` is the time to the first byte, in milliseconds, as the owner saw it.
    """

    attempt: AttemptId
    status: int
    headers: tuple[Header, ...]
    load: LoadSample
    body: bytes = b""
    more: bool = False
    upstream_ms: Milliseconds = 0.0


class BodyPart(Record, frozen=True, array_like=True, tag="body"):
    """Carry a further part of a request's or answer's body, in order.

    `index` counts parts from 1, so that a lost or repeated part is seen.
    """

    attempt: AttemptId
    index: int
    data: bytes
    more: bool


class BodyCredit(Record, frozen=True, array_like=True, tag="credit"):
    """Permit the sender of a body to send this many more bytes."""

    attempt: AttemptId
    credit: int


class NotRun(Record, frozen=True, array_like=True, tag="not-run"):
    """Prove that the attempt did not run and never will.

    `is_inner` says that the request is a call that an upstream makes while it runs another.
    Units: `wait_ms` is when the owner would take it, in milliseconds, None where it does not know.
    """

    attempt: AttemptId
    reason: NotRunReason
    load: LoadSample | None = None
    is_inner: bool = False
    wait_ms: Milliseconds | None = None


class Unknown(Record, frozen=True, array_like=True, tag="unknown"):
    """Tell that the attempt was started and its answer is lost or cut."""

    attempt: AttemptId
    reason: CutReason
    load: LoadSample | None = None


class Cancel(Record, frozen=True, array_like=True, tag="cancel"):
    """Ask the owner to give up an attempt whose answer nobody awaits."""

    attempt: AttemptId
    upstream: str


class Fence(Record, frozen=True, array_like=True, tag="fence"):
    """Ask the owner to make sure that an attempt which has not started never starts."""

    attempt: AttemptId
    owner_incarnation: int
    upstream: str


class Fenced(Record, frozen=True, array_like=True, tag="fenced"):
    """Answer a fence."""

    attempt: AttemptId
    verdict: FenceVerdict
