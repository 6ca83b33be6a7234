"""Tell which attempts an upstream ended under.

The connections of an upstream that ends break one after the other, and only a refused connection or
another run in its place shows that it was its end. Until then an attempt without an answer is kept,
for as long as the upstream gives no sign of life.
"""

import math

import msgspec

from bendwind_core.attempts.messages import AttemptId, CutReason, HandOver, Header
from bendwind_core.core import Seconds
from bendwind_core.suspicion import compute_signature, hash_request

# Nine connections of an upstream that ended were read as broken within 1 ms; a busy node is slower.
SETTLING: Seconds = 0.1
# A silent end is noticed when the upstream is back or is tried next. What ended without an answer
# longer ago, as a caller that left with nothing else to do for the upstream, has no part in it.
UNANSWERED_FOR: Seconds = 10.0
# An upstream that takes connections and resets each request, so many one after the other, serves
# nobody: held down only once it refused connections, one was sent 388 requests in ten seconds.
RESETS_IN_A_ROW = 3
# More than the slots of any upstream planned for; of more, the oldest are forgotten.
MAX_UNANSWERED = 64


class Unanswered(msgspec.Struct, frozen=True):
    """Hold an attempt whose answer did not come, without its body.

    `number` is what `number_request` gives its request.
    """

    attempt: AttemptId
    service: str
    headers: tuple[Header, ...]
    signature: bytes
    ended_at: Seconds
    number: int | None = None


class EndWatch(msgspec.Struct):
    """Hold the attempts that ended without an answer since the upstream's last sign of life.

    Until `settles_at`, such attempts are still those of the last end that was seen; `ends` counts
    these. `is_checked` says that the upstream is being asked whether it takes connections. `resets`
    counts those one after the other, each of an attempt that began after the one at `reset_at`.
    """

    unanswered: list[Unanswered] = msgspec.field(default_factory=list)
    settles_at: Seconds = 0.0
    ends: int = 0
    is_checked: bool = False
    resets: int = 0
    reset_at: Seconds = -math.inf


def sign_hand_over(hand_over: HandOver) -> bytes:
    """Return the signature of the request that is handed over."""
    return compute_signature(
        hand_over.method,
        hand_over.target,
        hand_over.headers,
        hand_over.body,
        hand_over.customer,
    )


def number_hand_over(hand_over: HandOver) -> int | None:
    """Return what `number_request` gives the request that is handed over."""
    return hash_request(hand_over.method, hand_over.target, hand_over.body)


def note_unanswered(watch: EndWatch, hand_over: HandOver, reason: CutReason, now: Seconds) -> None:
    """Note that an attempt ended without its answer."""
    if reason is CutReason.FOREIGN_ANSWER:
        # The upstream did answer, though something else.
        return
    watch.unanswered.append(
        Unanswered(
            hand_over.attempt,
            hand_over.service,
            hand_over.headers,
            sign_hand_over(hand_over),
            now,
            number_hand_over(hand_over),
        )
    )
    del watch.unanswered[:-MAX_UNANSWERED]


def note_reset(watch: EndWatch, started_at: Seconds, now: Seconds) -> bool:
    """Note that a connection was reset; tell whether the upstream resets whatever it is sent."""
    if started_at >= watch.reset_at:
        watch.resets += 1
        watch.reset_at = now
    if watch.resets < RESETS_IN_A_ROW:
        return False
    watch.resets = 0
    return True


def note_alive(watch: EndWatch, now: Seconds) -> None:
    """Note a sign of life: what ended well before it did not end the upstream."""
    if watch.unanswered:
        since = now - SETTLING
        watch.unanswered = [ended for ended in watch.unanswered if ended.ended_at >= since]


def take_unanswered(watch: EndWatch, now: Seconds) -> tuple[Unanswered, ...]:
    """Return and forget the attempts that an upstream has ended under."""
    if now >= watch.settles_at:
        watch.ends += 1
    watch.settles_at = now + SETTLING
    since = now - UNANSWERED_FOR
    under = tuple(ended for ended in watch.unanswered if ended.ended_at >= since)
    watch.unanswered = []
    return under
