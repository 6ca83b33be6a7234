"""Ask other voters for what is new while a node cannot rely on the voter that it is attached to.

A change has to be in force in time whichever voter, or link to it, carries nothing. A query costs
its voter no state, and the node stays attached until another voter has proven useful.
"""

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.membership.attachment import SentHeartbeat
from bendwind_core.membership.configuration import (
    apply_configuration,
    apply_stated_version,
    customers_version,
    record_proof,
    reported_version,
)
from bendwind_core.membership.events import ConfigurationFetched, SendTo, ViewEffect
from bendwind_core.membership.messages import ConfigurationAnswer, ConfigurationQuery
from bendwind_core.membership.view import NodeView

# Units: heartbeat intervals.
# Without a good reply for this long, one heartbeat or its reply is overdue.
_MAX_REPLY_GAP = 1.3
# A push takes much less than this, on all but the slowest links.
_MAX_PUSH_DELAY = 0.5
_QUERY_INTERVAL = 0.5
_MAX_UNANSWERED = 8


def is_recently_confirmed(view: NodeView, age_ms: Milliseconds | None) -> bool:
    """Return whether the age that a voter reports is that of a voter in contact with a quorum."""
    # The age is the one the voter reports. By this node's clock it would include the delay of the
    # node's own link.
    limit_ms = view.times.confirmation_limit * MILLISECONDS_PER_SECOND
    return age_ms is not None and age_ms < limit_ms


def is_good_reply(
    view: NodeView, age_ms: Milliseconds | None, sent_at: Seconds, now: Seconds
) -> bool:
    """Return whether a reply came in time from a voter in contact with a quorum."""
    return is_recently_confirmed(view, age_ms) and now - sent_at < view.times.confirmation_limit


def send_due_query(view: NodeView, effects: list[ViewEffect], now: Seconds) -> None:
    """Query the next voter if the one in use may keep something from this node."""
    if now < view.queries.next_at or not _is_in_doubt(view, now):
        return
    others = [name for name in view.attachment.order if name != view.voter]
    if not others:
        return
    view.queries.position += 1
    _send_query(view, others[view.queries.position % len(others)], effects, now)


def query_preferred_voter(view: NodeView, effects: list[ViewEffect], now: Seconds) -> None:
    """Query the preferred voter, to which the node returns once it answers."""
    view.queries.is_returning = True
    _send_query(view, view.attachment.order[0], effects, now)


def _is_in_doubt(view: NodeView, now: Seconds) -> bool:
    last_good_reply_at = view.attachment.last_good_reply_at
    if not last_good_reply_at:
        # While all processes start, nodes that query two voters at a time would only delay them.
        return False
    heartbeat = view.times.heartbeat
    if now - last_good_reply_at > _MAX_REPLY_GAP * heartbeat:
        return True
    times = (view.overtaken_since, view.incomplete_since)
    return any(since is not None and now - since > _MAX_PUSH_DELAY * heartbeat for since in times)


def _send_query(view: NodeView, voter: str, effects: list[ViewEffect], now: Seconds) -> None:
    queries = view.queries
    queries.next_at = now + _QUERY_INTERVAL * view.times.heartbeat
    queries.number += 1
    if len(queries.unanswered) >= _MAX_UNANSWERED:
        queries.unanswered.pop(next(iter(queries.unanswered)))
    customers = customers_version(view)
    sent = SentHeartbeat(now, view.watch_sequence, customers, voter)
    queries.unanswered[queries.number] = sent
    query = ConfigurationQuery(
        view.instance.name,
        queries.number,
        reported_version(view),
        customers,
        view.watch_sequence,
        tuple(view.cache.watched),
    )
    effects.append(SendTo(voter, query))


def apply_answer(
    view: NodeView,
    sender: str,
    answer: ConfigurationAnswer,
    effects: list[ViewEffect],
    now: Seconds,
) -> bool:
    """Apply the answer to a query; return whether it shows that the voter is of use."""
    sent = view.queries.unanswered.get(answer.number)
    if sent is None or sent.voter != sender:
        return False
    del view.queries.unanswered[answer.number]
    if sender == view.attachment.order[0]:
        view.queries.is_returning = False
    version = view.version
    if answer.change is not None:
        apply_configuration(view, answer.change, effects, now)
    apply_stated_version(view, answer, sent, effects, now)
    if view.version > version:
        effects.append(ConfigurationFetched(view.version, sender))
    if answer.confirmed_age_ms is not None:
        record_proof(view, answer.version, answer.confirmed_age_ms, sent.sent_at)
    is_good = is_good_reply(view, answer.confirmed_age_ms, sent.sent_at, now)
    if is_good:
        view.attachment.useful_voter = sender
        view.attachment.useful_at = now
    return is_good
