"""Tell which attempts an upstream ended under.

The connections of an upstream that ends break one after the other, and only a refused connection or
another run in its place shows that it was its end. Until then an attempt without an answer is kept,
for as long as the upstream gives no sign of life.
"""

import math

import msgspec

from bendwind_core.attempts.messages import AttemptId, CutReason, HandOver, Header
from bendwind_core.core import Seconds
from bendwind_core.suspicion import number_request, sign_request

# Nine connections of an upstream that ended were read as broken within 1 ms; a busy node is slower.
END_SETTLING_TIME: Seconds = 0.1
# A silent end is noticed when the upstream is back or is tried next. What ended without an answer
# longer ago, as a caller that left with nothing else to do for the upstream, has no part in it.
UNANSWERED_RETENTION: Seconds = 10.0
# An upstream that takes connections and resets each request, so many one after the other, serves
# nobody: held down only once it refused connections, one was sent 388 requests in ten seconds.
RESETS_UNTIL_UNREACHABLE = 3
# More than the slots of any upstream planned for; of more, the oldest are forgotten.
MAX_UNANSWERED = 64


class UnansweredAttempt(msgspec.Struct, frozen=True):
    """Hold an attempt whose answer did not come, without its body.

    `number` is what `number_request` gives its request.
    """

    attempt: AttemptId
    service: str
    headers: tuple[Header, ...]
    signature: bytes
    ended_at: Seconds
    request_hash: int | None = None


class EndDetector(msgspec.Struct):
    """Hold the attempts that ended without an answer since the upstream's last sign of life.

    Until `settles_at`, such attempts are still those of the last end that was seen; `ends` counts
    these. `is_checked` says that the upstream is being asked whether it takes connections. `resets`
    counts those one after the other, each of an attempt that began after the one at `reset_at`.
    """

    unanswered: list[UnansweredAttempt] = msgspec.field(default_factory=list)
    end_settles_at: Seconds = 0.0
    end_count: int = 0
    is_check_pending: bool = False
    consecutive_resets: int = 0
    last_reset_at: Seconds = -math.inf


def compute_hand_over_signature(hand_over: HandOver) -> bytes:
    """Return the signature of the request that is handed over."""
    return sign_request(
        hand_over.method,
        hand_over.target,
        hand_over.headers,
        hand_over.body,
        hand_over.customer,
    )


def hash_hand_over(hand_over: HandOver) -> int | None:
    """Return what `number_request` gives the request that is handed over."""
    return number_request(hand_over.method, hand_over.target, hand_over.body)


def record_unanswered(
    detector: EndDetector, hand_over: HandOver, reason: CutReason, now: Seconds
) -> None:
    """Note that an attempt ended without its answer."""
    if reason is CutReason.FOREIGN_ANSWER:
        # The upstream did answer, though something else.
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
    """Note that a connection was reset; tell whether the upstream resets whatever it is sent."""
    if started_at >= detector.last_reset_at:
        detector.consecutive_resets += 1
        detector.last_reset_at = now
    if detector.consecutive_resets < RESETS_UNTIL_UNREACHABLE:
        return False
    detector.consecutive_resets = 0
    return True


def record_sign_of_life(detector: EndDetector, now: Seconds) -> None:
    """Note a sign of life: what ended well before it did not end the upstream."""
    if detector.unanswered:
        since = now - END_SETTLING_TIME
        detector.unanswered = [ended for ended in detector.unanswered if ended.ended_at >= since]


def pop_unanswered(detector: EndDetector, now: Seconds) -> tuple[UnansweredAttempt, ...]:
    """Return and forget the attempts that an upstream has ended under."""
    if now >= detector.end_settles_at:
        detector.end_count += 1
    detector.end_settles_at = now + END_SETTLING_TIME
    since = now - UNANSWERED_RETENTION
    under = tuple(ended for ended in detector.unanswered if ended.ended_at >= since)
    detector.unanswered = []
    return under
