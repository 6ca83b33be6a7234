"""Apply events to a node's view: its voter, the applied configuration and its freshness."""

import random

from bendwind_core.core import MILLISECONDS_PER_SECOND, Record, Seconds
from bendwind_core.membership import watch_cache
from bendwind_core.membership.attachment import (
    NO_REPLY,
    SentHeartbeat,
    discard_heartbeats,
    discard_other_heartbeats,
    find_reason_to_move,
    is_reply_expected,
    order_voters,
    return_to_preferred_voter,
    return_to_voter,
    schedule_early_heartbeat,
    schedule_heartbeat,
    schedule_spread_heartbeat,
    select_next_voter,
    set_voter_order,
)
from bendwind_core.membership.configuration import (
    apply_configuration,
    apply_stated_version,
    customers_version,
    record_proof,
    reported_version,
)
from bendwind_core.membership.events import (
    AttachmentChanged,
    FreshnessChanged,
    InstancesReceived,
    LinkLost,
    MessageReceived,
    PeerVersionReceived,
    PushLost,
    SendTo,
    ServiceWatched,
    SuspectsReceived,
    Tick,
    UpstreamAnnounced,
    UpstreamsChanged,
    ViewEffect,
    ViewEvent,
    VotersReceived,
)
from bendwind_core.membership.messages import (
    ConfigurationAnswer,
    ConfigurationChanged,
    Heartbeat,
    HeartbeatReply,
    SuspectReports,
    VoterList,
    VoterPlace,
    WatchUpdate,
)
from bendwind_core.membership.queries import (
    apply_answer,
    is_good_reply,
    is_recently_confirmed,
    query_preferred_voter,
    send_due_query,
)
from bendwind_core.membership.registration import (
    announce_upstream,
    renew_watch,
    resend_registration,
    watch_service,
)
from bendwind_core.membership.view import NodeView

_MAX_UNANSWERED = 8
# A node that uses another voter than the preferred one returns to that at about one in this many
# replies while its view is fresh.
_REPLIES_PER_RETURN = 120


def step_view(
    view: NodeView, event: ViewEvent, now: Seconds, rng: random.Random
) -> list[ViewEffect]:
    """Apply an event to a node's view and return the effects to carry out."""
    effects: list[ViewEffect] = []
    match event:
        case Tick():
            _renew(view, effects, now, rng)
            send_due_query(view, effects, now)
        case MessageReceived(sender=sender, message=message):
            if _is_acceptable(view, sender, message):
                _handle_message(view, sender, message, effects, now, rng)
        case LinkLost(peer=peer):
            discard_heartbeats(view.attachment, peer)
            view.attachment.contacted.discard(peer)
            if peer == view.voter:
                _move_to_next_voter(view, "link lost", effects, now, rng)
                schedule_spread_heartbeat(view.attachment, view.times, now, rng)
                if not view.attachment.has_received_reply:
                    schedule_early_heartbeat(view.attachment, now, rng)
        case PushLost():
            renew_watch(view, effects)
        case ServiceWatched(service=service):
            watch_service(view, service, effects, now)
        case UpstreamAnnounced(upstream=upstream):
            announce_upstream(view, upstream, effects)
        case PeerVersionReceived(version=version):
            _compare_with_peer(view, version, now)
    _report_freshness(view, effects, now)
    return effects


def _is_acceptable(view: NodeView, sender: str, message: Record) -> bool:
    """Return whether a message comes from the voter in use, or may be used from another one.

    A configuration is the same from every voter, and a node that moves would otherwise hear of no
    change until the next voter has answered.
    """
    attachment = view.attachment
    match message:
        case ConfigurationAnswer():
            return True
        case ConfigurationChanged() if sender in attachment.contacted:
            return True
    return is_reply_expected(attachment, sender)


def _report_freshness(view: NodeView, effects: list[ViewEffect], now: Seconds) -> None:
    is_fresh = view.is_fresh(now)
    if is_fresh != view.was_fresh:
        view.was_fresh = is_fresh
        effects.append(FreshnessChanged(is_fresh))


def _renew(view: NodeView, effects: list[ViewEffect], now: Seconds, rng: random.Random) -> None:
    attachment = view.attachment
    reason = find_reason_to_move(attachment, view.times, now)
    if reason:
        _move_to_next_voter(view, reason, effects, now, rng)
    if now < attachment.next_heartbeat_at:
        return
    attachment.sequence += 1
    if len(attachment.unanswered) >= _MAX_UNANSWERED:
        attachment.unanswered.pop(next(iter(attachment.unanswered)))
    sent = SentHeartbeat(now, view.watch_sequence, customers_version(view), view.voter)
    attachment.unanswered[attachment.sequence] = sent
    attachment.contacted.add(view.voter)
    heartbeat = Heartbeat(
        view.instance,
        attachment.sequence,
        reported_version(view),
        view.watch_sequence,
        view.announce_sequence,
        view.cache.digest,
        customers_version(view),
    )
    effects.append(SendTo(view.voter, heartbeat))
    schedule_heartbeat(attachment, view.times, now, rng)


def _move_to_next_voter(
    view: NodeView, reason: str, effects: list[ViewEffect], now: Seconds, rng: random.Random
) -> None:
    # After a timeout the reply of the old voter may still arrive, and earlier than one of the next
    # voter, which this node first has to dial over the same slow link.
    if reason != NO_REPLY:
        discard_heartbeats(view.attachment, view.voter)
    select_next_voter(view.attachment, view.times, now, rng)
    view.pending_confirmation = None
    effects.append(AttachmentChanged(view.voter, reason))


def _handle_message(
    view: NodeView,
    sender: str,
    message,
    effects: list[ViewEffect],
    now: Seconds,
    rng: random.Random,
) -> None:
    match message:
        case HeartbeatReply():
            _handle_reply(view, sender, message, effects, now, rng)
        case ConfigurationChanged():
            effects.append(InstancesReceived(message.holders))
            apply_configuration(view, message, effects, now)
        case ConfigurationAnswer():
            _handle_answer(view, sender, message, effects, now, rng)
        case WatchUpdate(service=service):
            if watch_cache.put_upstreams(view.cache, message):
                effects.append(UpstreamsChanged(service))
        case SuspectReports(suspects=suspects):
            effects.append(SuspectsReceived(suspects))
        case VoterList(voters=voters):
            _handle_voters(view, voters, effects, now, rng)


def _handle_voters(
    view: NodeView,
    voters: tuple[VoterPlace, ...],
    effects: list[ViewEffect],
    now: Seconds,
    rng: random.Random,
) -> None:
    if not voters:
        return
    effects.append(VotersReceived(voters))
    own = view.instance
    known = order_voters(own.name, own.name, own.data_centre, voters)
    order = _append_seeds(known, view.seeds)
    if order == view.attachment.order:
        return
    is_gone = set_voter_order(view.attachment, order)
    if is_gone or view.attachment.index >= len(voters):
        return_to_preferred_voter(view.attachment, view.times, now, rng)
        view.pending_confirmation = None
        effects.append(AttachmentChanged(view.voter, "voters changed"))


def _append_seeds(order: tuple[str, ...], seeds: tuple[VoterPlace, ...]) -> tuple[str, ...]:
    # Seeds that are not voters come last: they are tried when no known voter can be reached.
    return (*order, *(seed.name for seed in seeds if seed.name not in order))


def set_seeds(view: NodeView, seeds: tuple[VoterPlace, ...]) -> None:
    """Replace the seeds by the voters listed in changed settings."""
    view.seeds = seeds
    set_voter_order(view.attachment, _append_seeds(view.attachment.order, seeds))


def _handle_reply(
    view: NodeView,
    sender: str,
    reply: HeartbeatReply,
    effects: list[ViewEffect],
    now: Seconds,
    rng: random.Random,
) -> None:
    sent = view.attachment.unanswered.pop(reply.sequence, None)
    if sent is None or not _resolve_attachment(view, sender, reply, effects, now):
        return
    view.attachment.last_reply_at = now
    view.attachment.has_received_reply = True
    if reply.resync:
        resend_registration(view, effects)
    apply_stated_version(view, reply, sent, effects, now)
    if reply.confirmed_age_ms is not None:
        _handle_confirmation(view, reply, sent.sent_at, now)
    if view.attachment.index and view.is_fresh(now) and rng.random() * _REPLIES_PER_RETURN < 1:
        query_preferred_voter(view, effects, now)


def _resolve_attachment(
    view: NodeView, sender: str, reply: HeartbeatReply, effects: list[ViewEffect], now: Seconds
) -> bool:
    """Return whether the node is attached to the sender of a reply, possibly by returning to it."""
    attachment = view.attachment
    is_recent = is_recently_confirmed(view, reply.confirmed_age_ms)
    if sender != view.voter and is_recent:
        return_to_voter(attachment, sender, now)
        if sender == view.voter:
            effects.append(AttachmentChanged(sender, "answered late"))
    if sender == view.voter and is_recent:
        discard_other_heartbeats(attachment)
    return sender == view.voter


def _handle_answer(
    view: NodeView,
    sender: str,
    answer: ConfigurationAnswer,
    effects: list[ViewEffect],
    now: Seconds,
    rng: random.Random,
) -> None:
    is_return = sender == view.attachment.order[0] and view.queries.is_returning
    is_good = apply_answer(view, sender, answer, effects, now)
    if is_good and is_return and view.attachment.index and view.is_fresh(now):
        return_to_preferred_voter(view.attachment, view.times, now, rng)
        effects.append(AttachmentChanged(view.voter, "preferred"))


def _handle_confirmation(
    view: NodeView, reply: HeartbeatReply, sent_at: Seconds, now: Seconds
) -> None:
    if is_good_reply(view, reply.confirmed_age_ms, sent_at, now):
        view.attachment.last_good_reply_at = now
        view.attachment.stay_beats = 1.0
    if reply.is_same:
        confirmed_at = sent_at - reply.confirmed_age_ms / MILLISECONDS_PER_SECOND
        view.groups_confirmed_at = max(confirmed_at, view.groups_confirmed_at or confirmed_at)
    _compare_versions(view, reply.version, now)
    record_proof(view, reply.version, reply.confirmed_age_ms, sent_at)


def _compare_versions(view: NodeView, voter_version: int, now: Seconds) -> None:
    attachment = view.attachment
    if voter_version >= max(view.newest_peer_version, view.version):
        attachment.behind_since = None
    elif attachment.behind_since is None:
        attachment.behind_since = now


def _compare_with_peer(view: NodeView, version: int, now: Seconds) -> None:
    if version <= view.newest_peer_version:
        return
    view.newest_peer_version = version
    if version > view.version and view.overtaken_since is None:
        view.overtaken_since = now
    if version > view.version and view.attachment.behind_since is None:
        view.attachment.behind_since = now
