"""Limit the request rate to a cold upstream, and find when the next request may be sent to it.

Load pattern: all upstreams of a service restart together and are cold, while callers send at their
full rate. Under the load of a warm upstream they crash, restart cold and crash again, so that the
service never recovers.

The node beside an upstream is the only one that sends to it, so that this node can enforce the
limit exactly. An upstream that is not known to be warm counts as cold: it may just have started,
and it may turn cold at any moment without a word. So in any second it is sent no more than a cold
one bears, unless its own answer proves within that second that it is warm (`warm_up_proof`).

Requests to an upstream that counts as cold are spaced evenly. After its own start, a process sends
it only what an earlier run has left of the limit (`send_window`). A proof does not lift this: the
upstream may have been cold just before it.

An upstream that cannot be queried is believed: its announcements and the events at its connections
tell whether it is cold. What may still arrive after it has turned cold counts (`believed_sends`).
"""

import math

import msgspec

from bendwind_core.admission.believed_sends import count_believed_sends, find_believed_room_at
from bendwind_core.admission.send_window import (
    SPACING_WINDOW,
    SendWindow,
    count_sends_in_last_second,
    find_earlier_room_at,
    find_room_at,
    find_step_limit,
    has_earlier_sends,
    record_send,
)
from bendwind_core.admission.warm_up_limits import WarmUpLimits, find_limit, find_spacing
from bendwind_core.admission.warm_up_proof import (
    ARRIVAL_MARGIN,
    WarmUpProof,
    find_next_query_at,
    find_query_at,
    forget_proof,
    is_query_overdue,
    record_answer,
    record_proof,
)
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.world import WarmUpRule


class WarmUpState(msgspec.Struct):
    """Hold whether an upstream is cold, and when requests were sent to it.

    `is_rule_known` is false if this process does not know whether there is a `rule`, and
    `is_queryable` is true if the upstream can be queried for its remaining warm-up time.
    `assumed_cold_at` is when the upstream was last assumed to be cold without a report from it, and
    None once it has reported. The initial value of `last_sent_at` is the start of this process,
    since its previous run may have sent requests just before. What was sent while there was no
    limit counts until `unlimited_until`. `sends` holds the requests sent in the last second, and
    `unsent` is the number of those that wait for a connection and may be sent at any moment.
    `cold_from` is when the upstream turned cold, as far as it is known. `cold_peak` is the largest
    number of requests that were sent in a second of a time for which the upstream counted as cold,
    then or by a later report, and `reported_peak` the last one that was looked at. `cold_heard_at`
    is when it was last heard that the upstream is cold, and `replied_until` how long it stays so by
    its last reply to a query. `limit` is how many requests a cold upstream may be sent in any
    second, None if there is no limit.
    """

    limits: WarmUpLimits = WarmUpLimits()
    rule: WarmUpRule | None = None
    cold_until: Seconds = -math.inf
    assumed_cold_at: Seconds | None = None
    last_sent_at: Seconds = -math.inf
    is_rule_known: bool = True
    is_queryable: bool = False
    sends: SendWindow = msgspec.field(default_factory=SendWindow)
    unsent: int = 0
    cold_from: Seconds = math.inf
    cold_peak: int = 0
    reported_peak: int = 0
    cold_heard_at: Seconds = -math.inf
    replied_until: Seconds = -math.inf
    proof: WarmUpProof = msgspec.field(default_factory=WarmUpProof)
    limit: int | None = None
    unlimited_until: Seconds = -math.inf

    def __post_init__(self) -> None:
        """Derive the limit from the rule, and until when an earlier run may have sent requests."""
        self.sends.earlier_until = self.last_sent_at
        self.limit = _find_limit(self)


def _find_limit(warm_up: WarmUpState) -> int | None:
    if warm_up.rule is None and warm_up.is_rule_known:
        return None
    return find_limit(warm_up.rule, warm_up.limits)


def configure_warm_up(
    warm_up: WarmUpState,
    rule: WarmUpRule | None,
    now: Seconds,
    *,
    is_known: bool,
    is_queryable: bool,
) -> None:
    """Set the warm-up rule of the upstream's service, and what is known of it."""
    had_limit = warm_up.limit is not None
    warm_up.rule = rule
    warm_up.is_rule_known = is_known
    warm_up.is_queryable = is_queryable
    warm_up.limit = _find_limit(warm_up)
    if warm_up.limit is None:
        warm_up.sends.sent_at.clear()
    elif not had_limit:
        # Nothing was counted before, nor was anything left to a following run.
        warm_up.unlimited_until = now + SPACING_WINDOW


def assume_cold(warm_up: WarmUpState, now: Seconds) -> None:
    """Assume that an upstream is cold until it reports otherwise or its warm-up time has passed."""
    _record_cold_from(warm_up, now, now)
    warm_up.assumed_cold_at = now


def record_cold_announcement(warm_up: WarmUpState, left_ms: Milliseconds, now: Seconds) -> None:
    """Record how much longer the upstream stays cold, from a message that may be old.

    A delayed message makes the time too long, never too short, so that the latest end holds.
    """
    until = now + left_ms / MILLISECONDS_PER_SECOND
    if left_ms > 0:
        seconds = math.inf if warm_up.rule is None else warm_up.rule.seconds
        _record_cold_from(warm_up, until - seconds, now)
        warm_up.cold_heard_at = now
    warm_up.cold_until = max(warm_up.cold_until, until)
    _record_cold_peak(warm_up, now)


def _record_cold_from(warm_up: WarmUpState, cold_from: Seconds, now: Seconds) -> None:
    if not is_cold(warm_up, now):
        warm_up.cold_from = math.inf
    warm_up.cold_from = min(warm_up.cold_from, cold_from)


def _record_cold_peak(warm_up: WarmUpState, now: Seconds) -> None:
    if is_cold(warm_up, now):
        count = count_sends_in_last_second(warm_up.sends, warm_up.cold_from, now)
        warm_up.cold_peak = max(warm_up.cold_peak, count)


def record_cold_reply(
    warm_up: WarmUpState, left_ms: Milliseconds, asked_at: Seconds, now: Seconds
) -> None:
    """Record how much longer the upstream stays cold, from its reply to a query.

    The reply is newer than what was heard before the query.
    """
    if asked_at >= warm_up.cold_heard_at:
        warm_up.cold_until = -math.inf
    warm_up.replied_until = now + left_ms / MILLISECONDS_PER_SECOND
    record_cold_announcement(warm_up, left_ms, now)
    if warm_up.assumed_cold_at is not None and asked_at >= warm_up.assumed_cold_at:
        warm_up.assumed_cold_at = None
    record_answer(warm_up.proof, asked_at)
    if left_ms > 0:
        forget_proof(warm_up.proof)
        return
    record_proof(warm_up.proof, warm_up.sends, warm_up.rule, asked_at, now)
    if asked_at >= _find_unlimited_arrived_at(warm_up):
        warm_up.unlimited_until = -math.inf


def _find_unlimited_arrived_at(warm_up: WarmUpState) -> Seconds:
    """Return when all that was sent while there was no limit has reached the upstream."""
    return warm_up.unlimited_until - SPACING_WINDOW + ARRIVAL_MARGIN


def is_assumed_cold(warm_up: WarmUpState, now: Seconds) -> bool:
    """Return whether the upstream counts as cold only because it has not reported yet."""
    return warm_up.limit is not None and now < _find_assumed_until(warm_up)


def is_cold(warm_up: WarmUpState, now: Seconds) -> bool:
    """Return whether the upstream counts as cold, so that requests to it are spaced."""
    return warm_up.limit is not None and now < _find_warm_at(warm_up)


def _find_assumed_until(warm_up: WarmUpState) -> Seconds:
    if not warm_up.is_rule_known and not warm_up.is_queryable:
        # Nothing that can be known of this upstream shows that it bears more.
        return math.inf
    if warm_up.assumed_cold_at is None:
        return -math.inf
    return math.inf if warm_up.rule is None else warm_up.assumed_cold_at + warm_up.rule.seconds


def _find_warm_at(warm_up: WarmUpState) -> Seconds:
    return max(warm_up.cold_until, _find_assumed_until(warm_up))


def record_dispatched(warm_up: WarmUpState) -> None:
    """Record a request that waits for a connection and may be sent at any moment."""
    warm_up.unsent += 1


def record_no_longer_unsent(warm_up: WarmUpState) -> None:
    """Record that a request has been sent, or will never be."""
    warm_up.unsent -= 1


def record_request_sent(warm_up: WarmUpState, now: Seconds) -> None:
    """Record that a request was sent, also to a warm upstream: it may turn cold at any moment."""
    warm_up.last_sent_at = now
    if warm_up.limit is not None:
        record_send(warm_up.sends, warm_up.limit, now)
        _record_cold_peak(warm_up, now)


def must_wait(warm_up: WarmUpState, now: Seconds) -> bool:
    """Return whether it takes a closer look to know if a request may be sent now."""
    limit = warm_up.limit
    if limit is None:
        return False
    return is_cold(warm_up, now) or _is_room_unsure(warm_up, now)


def _is_room_unsure(warm_up: WarmUpState, now: Seconds) -> bool:
    step_limit = find_step_limit(warm_up.limit)
    count = len(warm_up.sends.sent_at) + warm_up.unsent
    if count >= step_limit and not warm_up.is_queryable:
        believed = count_believed_sends(warm_up.sends, _find_warm_at(warm_up), now)
        count = believed + warm_up.unsent
    return (
        count >= step_limit
        or now < warm_up.unlimited_until
        or has_earlier_sends(warm_up.sends, now)
    )


def _find_room_at(warm_up: WarmUpState, ahead: int, now: Seconds) -> Seconds:
    sends, unsent, limit = warm_up.sends, warm_up.unsent, warm_up.limit
    if warm_up.is_queryable or is_cold(warm_up, now):
        return max(find_room_at(sends, unsent, ahead, limit, now), warm_up.unlimited_until)
    warm_at = _find_warm_at(warm_up)
    room_at = find_believed_room_at(sends, unsent, ahead, limit, warm_at, now)
    return max(room_at, _find_unlimited_arrived_at(warm_up))


def find_permitted_send_at(warm_up: WarmUpState, ahead: int, now: Seconds) -> Seconds:
    """Return when a request may be sent that has `ahead` others before it."""
    if warm_up.limit is None:
        return now
    room_at = _find_room_at(warm_up, ahead, now)
    if not is_cold(warm_up, now):
        return room_at
    return max(room_at, find_cold_send_at(warm_up, ahead, now))


def has_room_again(warm_up: WarmUpState, now: Seconds) -> bool:
    """Return whether a request may be sent again without more than the limit in any second.

    It needs no space to the last request: it takes the place of one that was already spaced.
    """
    return warm_up.limit is None or _find_room_at(warm_up, 0, now) <= now


def find_expected_send_at(warm_up: WarmUpState, ahead: int, now: Seconds) -> Seconds:
    """Return when a request is likely to be sent that has `ahead` others before it.

    An upstream that is not known to be cold is expected to prove that it is warm. One proof gives
    room for no more requests than may be sent in a step of the window.
    """
    permitted_at = find_permitted_send_at(warm_up, ahead, now)
    if permitted_at <= now or not warm_up.is_queryable:
        return permitted_at
    if ahead >= find_step_limit(warm_up.limit):
        return permitted_at
    if is_query_overdue(warm_up.proof, now):
        return permitted_at
    proof_at = _find_warm_at(warm_up) if is_cold(warm_up, now) else now
    earlier_room_at = find_earlier_room_at(warm_up.sends, warm_up.limit)
    return min(permitted_at, max(now, proof_at, earlier_room_at))


def find_warm_up_query_at(warm_up: WarmUpState, now: Seconds) -> Seconds | None:
    """Return when the upstream has to be queried for a proof that it is warm, or None."""
    if warm_up.limit is None or not warm_up.is_queryable:
        return None
    if now < warm_up.unlimited_until:
        query_at = max(find_next_query_at(warm_up.proof, now), _find_unlimited_arrived_at(warm_up))
    else:
        query_at = find_query_at(
            warm_up.proof, warm_up.sends, warm_up.unsent, warm_up.limit, warm_up.rule, now
        )
    # While it is cold by its last reply, the next one would prove nothing. An announcement that it
    # is cold may be late.
    return None if query_at is None else max(query_at, warm_up.replied_until)


def find_cold_send_at(warm_up: WarmUpState, ahead: int, now: Seconds) -> Seconds:
    """Return when a request may be sent by the spacing of requests to a cold upstream."""
    if not is_cold(warm_up, now):
        return now
    spacing = find_spacing(warm_up.rule, warm_up.limits)
    last = now if warm_up.unsent else warm_up.last_sent_at
    send_at = max(now, last + spacing) + ahead * spacing
    return min(send_at, max(now, _find_warm_at(warm_up)))
