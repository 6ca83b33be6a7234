"""Decide when an upstream has to prove that it is warm, and what its proof is worth.

A proof is an answer to a query that was sent after the requests in question had reached the
upstream. Announcements prove nothing: they may be old. An answer also does not show that the
upstream was warm before, since it may just have warmed up. Two proofs that are less than a warm-up
apart do: it cannot have turned cold and warm again between them. So requests sent between them do
not count towards the limit of a cold upstream any more.
"""

import math

import msgspec

from bendwind_core.admission.send_window import (
    SPACING_WINDOW,
    SendWindow,
    count_earlier_sends,
    drop_old_sends,
    drop_sends_between,
    find_send,
)
from bendwind_core.core import Seconds
from bendwind_core.world import WarmUpRule

# A request takes at most this long to reach the upstream, which is on the same instance.
ARRIVAL_MARGIN: Seconds = 0.05
# A query without an answer, or with the answer that the upstream is cold, is repeated after this
# time.
QUERY_INTERVAL: Seconds = 0.2
# The next query after a proof comes no sooner: queries are work for the upstream too.
QUERY_INTERVAL_MIN: Seconds = 0.02
# An upstream is queried once it was sent this share of what a cold one bears in a second: early
# enough for the answer to arrive before the limit, and never at a low load.
QUERY_SHARE = 0.5
# Two proofs that are this close belong together whatever the warm-up time: no process starts and
# warms up within it.
MIN_PROOF_GAP: Seconds = 0.4


class WarmUpProof(msgspec.Struct):
    """Hold the last query for a proof, and the period for which the upstream is proven warm.

    `queried_at` is when the upstream was last queried, `is_answered` whether there was an answer to
    that query, and `unanswered_since` when the first of the queries without an answer was sent. The
    upstream was warm without a break from `warm_since` to `proved_at`.
    """

    queried_at: Seconds = -math.inf
    unanswered_since: Seconds = -math.inf
    is_answered: bool = True
    warm_since: Seconds = math.inf
    proved_at: Seconds = -math.inf


def record_query(proof: WarmUpProof, now: Seconds) -> None:
    """Record that the upstream is queried now."""
    if proof.is_answered:
        proof.unanswered_since = now
    proof.is_answered = False
    proof.queried_at = now


def record_answer(proof: WarmUpProof, asked_at: Seconds) -> None:
    """Record an answer to a query that was sent at `asked_at`."""
    if asked_at >= proof.queried_at:
        proof.is_answered = True


def is_query_overdue(proof: WarmUpProof, now: Seconds) -> bool:
    """Return whether the upstream has not answered queries for some time."""
    return not proof.is_answered and now >= proof.unanswered_since + QUERY_INTERVAL


def record_proof(
    proof: WarmUpProof,
    window: SendWindow,
    rule: WarmUpRule | None,
    asked_at: Seconds,
    now: Seconds,
) -> None:
    """Record that the upstream was warm when it answered a query that was sent at `asked_at`."""
    if not _is_proof_current(proof, rule, now):
        # It may have warmed up at any moment before its answer.
        proof.warm_since = now
    proof.proved_at = max(proof.proved_at, asked_at)
    drop_sends_between(window, proof.warm_since, asked_at - ARRIVAL_MARGIN)


def forget_proof(proof: WarmUpProof) -> None:
    """Forget the last proof, since the upstream is cold."""
    proof.proved_at = -math.inf


def _is_proof_current(proof: WarmUpProof, rule: WarmUpRule | None, now: Seconds) -> bool:
    """Return whether a proof now shows that the upstream was warm since the last proof."""
    # Some upstreams warm up faster than their rule states, but hardly within the time that counts.
    # The bounds are the first operands, so that they replace what is not a number.
    warm_up_time = SPACING_WINDOW if rule is None else min(SPACING_WINDOW, rule.seconds)
    return now < proof.proved_at + max(MIN_PROOF_GAP, warm_up_time - ARRIVAL_MARGIN)


def find_next_query_at(proof: WarmUpProof, now: Seconds) -> Seconds:
    """Return when the upstream may be queried again."""
    is_proven = proof.is_answered and proof.proved_at > -math.inf
    return max(now, proof.queried_at + (QUERY_INTERVAL_MIN if is_proven else QUERY_INTERVAL))


def find_query_at(
    proof: WarmUpProof,
    window: SendWindow,
    unsent: int,
    limit: int,
    rule: WarmUpRule | None,
    now: Seconds,
) -> Seconds | None:
    """Return when the upstream has to be queried for a proof, None as long as no proof is needed.

    It is also None if a proof would show too little; this changes with further requests.
    """
    drop_old_sends(window, now)
    count = len(window.sent_at) + unsent
    limit -= count_earlier_sends(window, limit, now)
    if count < limit * QUERY_SHARE:
        return None
    retry_at = find_next_query_at(proof, now)
    if not _is_proof_current(proof, rule, retry_at):
        return retry_at
    # The less room is left, the fewer requests have to be proven to make a query worthwhile.
    worthwhile = max(1, (limit - count + 1) // 2)
    sent_at = find_send(window, proof.warm_since, worthwhile)
    return None if sent_at is None else max(retry_at, sent_at + ARRIVAL_MARGIN)
