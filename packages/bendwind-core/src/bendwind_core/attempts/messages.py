"""Define the messages of a call between its entry node and the owner node of an upstream."""

import enum

from bendwind_core.core import Count, Finite, Incarnation, Int64, Measure, Record
from bendwind_core.suspicion import SuspectReport
from bendwind_core.world import LoadSample, Repeat

Header = tuple[bytes, bytes]


class AttemptId(Record, frozen=True, array_like=True):
    """Identify one attempt of one call uniquely across all entry nodes and their restarts.

    `sequence` increases by one with each attempt of an entry node's incarnation.
    """

    entry: str
    incarnation: Incarnation
    sequence: Count


class NotRunReason(enum.StrEnum):
    """List the reasons for which a request is proven not to have run on any upstream."""

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
    """List the reasons for which the result of a started request is unknown."""

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
    """List what an owner can report about an attempt that it was asked to fence."""

    NEVER_STARTED = "never-started"
    STARTED = "started"
    FORGOTTEN = "forgotten"


class HandOver(Record, frozen=True, array_like=True, tag="call"):
    """Hand one attempt over to the upstream's owner node.

    `owner_incarnation` is the incarnation of the owner that the message is meant for; any other
    incarnation refuses it.
    `accept_if_slow` requests the owner to accept the attempt even if the upstream has stalled, or
    could start it at once but would answer late.
    `version` is the configuration by which the entry node resolved the request.
    `body` is the first part of the request body; `more` says that BodyPart messages follow.
    `route` is the name of the route that the call matched, and `origin` the service whose upstream
    runs on the entry node's instance, if any. `suspicion` is the entry node's report on the request
    if it is suspected of ending upstreams. `rank` is the urgency of the request, 0 the most urgent,
    and `customer` the customer that it belongs to, empty if unknown. If `may_wait` is false, the
    owner refuses the attempt as busy unless it can start it at once. `run_rank` is the most urgent
    rank of the requests that run on the entry node's instance, None if none runs: a call that an
    upstream makes is as urgent as that. `limit_per_s` is the upstream's rate limit as the entry
    node received it last, None if it received none: an owner that has just started has no other
    source for it. If `may_send_again` is false, the owner does not send the request again over
    another connection: that is one more request to the service, as a retry is.
    Units: `remaining_ms` is the time left to the caller's deadline, `target_ms` the time left to
    the latency objective, None without one, and `entry_left_ms` the time left until the entry node
    gives up its calls, None unless it stops, in milliseconds; `limit_per_s` is in requests per
    second.
    """

    attempt: AttemptId
    owner_incarnation: Incarnation
    service: str
    upstream: str
    method: str
    target: bytes
    headers: tuple[Header, ...]
    remaining_ms: Finite
    repeat: Repeat
    version: Int64
    body: bytes = b""
    more: bool = False
    accept_if_slow: bool = True
    route: str = ""
    target_ms: Finite | None = None
    origin: str = ""
    suspicion: SuspectReport | None = None
    rank: Finite = 0.0
    customer: str = ""
    may_wait: bool = True
    run_rank: Finite | None = None
    limit_per_s: Measure | None = None
    entry_left_ms: Finite | None = None
    may_send_again: bool = True


class AnswerHead(Record, frozen=True, array_like=True, tag="answer"):
    """Carry the status, headers and first body part of an upstream's answer.

    `is_sent_again` says that the request was sent again over another connection.
    Units: `upstream_ms` is the time to the first byte as measured by the owner, in milliseconds.
    """

    attempt: AttemptId
    status: Count
    headers: tuple[Header, ...]
    load: LoadSample
    body: bytes = b""
    more: bool = False
    upstream_ms: Finite = 0.0
    is_sent_again: bool = False


class BodyPart(Record, frozen=True, array_like=True, tag="body"):
    """Carry a further part of the body of a request or answer, in order.

    `index` counts the parts from 1, so that a lost or repeated part is detected.
    """

    attempt: AttemptId
    index: Count
    data: bytes
    more: bool


class BodyCredit(Record, frozen=True, array_like=True, tag="credit"):
    """Permit the sender of a body to send this many more bytes."""

    attempt: AttemptId
    credit: Count


class NotRun(Record, frozen=True, array_like=True, tag="not-run"):
    """Prove that the attempt did not run and never will.

    `is_inner` says that the request is an inner call: a call that an upstream makes while it runs
    another request, and `is_sent_again` that it was sent again over another connection.
    Units: `wait_ms` is the time until the owner would accept the attempt, in milliseconds, None if
    the owner does not know it.
    """

    attempt: AttemptId
    reason: NotRunReason
    load: LoadSample | None = None
    is_inner: bool = False
    wait_ms: Measure | None = None
    is_sent_again: bool = False


class Unknown(Record, frozen=True, array_like=True, tag="unknown"):
    """Report that the attempt was started and its answer is lost or cut off.

    `is_sent_again` says that the request was sent again over another connection.
    """

    attempt: AttemptId
    reason: CutReason
    load: LoadSample | None = None
    is_sent_again: bool = False


class Cancel(Record, frozen=True, array_like=True, tag="cancel"):
    """Ask the owner to stop an attempt whose answer is no longer needed."""

    attempt: AttemptId
    upstream: str


class Fence(Record, frozen=True, array_like=True, tag="fence"):
    """Ask the owner to ensure that an attempt which has not started never starts.

    `left_ms` is the time left until the entry node gives up its calls: an attempt that should end
    by then stays in its queue, and the owner does not reply. None permits no start at all.
    """

    attempt: AttemptId
    owner_incarnation: Incarnation
    upstream: str
    left_ms: Finite | None = None


class Fenced(Record, frozen=True, array_like=True, tag="fenced"):
    """Report the owner's verdict on a fence."""

    attempt: AttemptId
    verdict: FenceVerdict
