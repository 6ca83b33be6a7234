"""Find which attempts an upstream was running when it ended.

When an upstream ends, its connections break one after the other. Only a refused connection, or
another run in its place, shows that the upstream has ended. Until then an attempt without an answer
is kept, as long as nothing proves that the upstream is alive.
"""

import math

import msgspec

from bendwind_core.attempts.messages import AttemptId, CutReason, HandOver, Header
from bendwind_core.core import Seconds
from bendwind_core.suspicion import compute_signature, hash_request

# Attempts that fail within this time of an end belong to the same end. Nine connections of an
# upstream that ended were read as broken within 1 ms; a busy node is slower.
END_SETTLING_TIME: Seconds = 0.1
# A silent end is detected only when the upstream is back or is tried next. An attempt that ended
# without an answer longer ago is not related to it; for example, its caller may have left while the
# upstream had nothing else to do.
UNANSWERED_RETENTION: Seconds = 10.0
# An upstream that accepts connections but resets this many requests one after the other serves
# nobody, and is treated as unreachable. When only refused connections counted, such an upstream was
# sent 388 requests in ten seconds.
RESETS_UNTIL_UNREACHABLE = 3
# More than the slots of any planned upstream; beyond this, the oldest attempts are evicted.
MAX_UNANSWERED = 64


class UnansweredAttempt(msgspec.Struct, frozen=True):
    """Hold an attempt without an answer, without the body of its request.

    `request_hash` is equal for equal requests within this process, None for a long request.
    """

    attempt: AttemptId
    service: str
    headers: tuple[Header, ...]
    signature: bytes
    ended_at: Seconds
    request_hash: int | None = None


class EndDetector(msgspec.Struct):
    """Hold the attempts that ended without an answer since the upstream last proved to be alive.

    Until `end_settles_at`, such attempts belong to the last end that was detected; `end_count`
    counts the ends. `is_check_pending` says that a check whether the upstream accepts connections
    is under way. `consecutive_resets` counts resets one after the other, each of an attempt
    that started after the previous counted reset, at `last_reset_at`.
    """

    unanswered: list[UnansweredAttempt] = msgspec.field(default_factory=list)
    end_settles_at: Seconds = 0.0
    end_count: int = 0
    is_check_pending: bool = False
    consecutive_resets: int = 0
    last_reset_at: Seconds = -math.inf


def compute_hand_over_signature(hand_over: HandOver) -> bytes:
    """Return the signature of a hand-over's request."""
    return compute_signature(
        hand_over.method,
        hand_over.target,
        hand_over.headers,
        hand_over.body,
        hand_over.customer,
    )


def hash_hand_over(hand_over: HandOver) -> int | None:
    """Return a hash of a hand-over's request, valid in this process; None for a long request."""
    return hash_request(hand_over.method, hand_over.target, hand_over.body)


def record_unanswered(
    detector: EndDetector, hand_over: HandOver, reason: CutReason, now: Seconds
) -> None:
    """Record that an attempt ended without an answer."""
    if reason is CutReason.FOREIGN_ANSWER:
        # The upstream did send an answer, although a foreign one.
        return
    detector.unanswered.append(
        UnansweredAttempt(
            hand_over.attempt,
            hand_over.service,
            hand_over.headers,
            compute_hand_over_signature(hand_over),
            now,
            hash_hand_over(hand_over),
        )
    )
    del detector.unanswered[:-MAX_UNANSWERED]


def record_reset(detector: EndDetector, started_at: Seconds, now: Seconds) -> bool:
    """Record a connection reset; return whether the upstream resets every request."""
    if started_at >= detector.last_reset_at:
        detector.consecutive_resets += 1
        detector.last_reset_at = now
    if detector.consecutive_resets < RESETS_UNTIL_UNREACHABLE:
        return False
    detector.consecutive_resets = 0
    return True


def record_liveness(detector: EndDetector, now: Seconds) -> None:
    """Record that the upstream is alive: attempts that ended well before did not end it."""
    if detector.unanswered:
        since = now - END_SETTLING_TIME
        detector.unanswered = [ended for ended in detector.unanswered if ended.ended_at >= since]


def pop_unanswered(detector: EndDetector, now: Seconds) -> tuple[UnansweredAttempt, ...]:
    """Record an end of the upstream; return and remove the attempts that it had not answered."""
    if now >= detector.end_settles_at:
        detector.end_count += 1
    detector.end_settles_at = now + END_SETTLING_TIME
    since = now - UNANSWERED_RETENTION
    unanswered = tuple(ended for ended in detector.unanswered if ended.ended_at >= since)
    detector.unanswered = []
    return unanswered
