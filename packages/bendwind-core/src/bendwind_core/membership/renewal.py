"""Apply events to a node's view: its voter, the applied configuration and its freshness."""

import random

from msgspec.structs import replace

from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
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
from bendwind_core.membership.events import (
    AttachmentChanged,
    ClaimGroupsChanged,
    ConfigurationApplied,
    ConfigurationDropped,
    CustomersChanged,
    FreshnessChanged,
    InstancesReceived,
    LinkLost,
    MessageReceived,
    PeerVersionReceived,
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
    Announce,
    ConfigurationChanged,
    Heartbeat,
    HeartbeatReply,
    SuspectReports,
    VoterList,
    VoterPlace,
    Watch,
    WatchUpdate,
)
from bendwind_core.membership.view import NodeView, PendingConfirmation
from bendwind_core.world import Upstream, UpstreamState

_MAX_UNANSWERED = 8
# Limits the watched services, since callers may name services that do not exist. At the limit, a
# new service replaces a watched one that does not exist.
MAX_WATCHED = 512
# Version in the heartbeats of a node that lacks the configuration of a service it watches, or that
# is not certain that it holds the customers of its version. The voter then sends the complete
# configuration, or all customers.
INCOMPLETE = -1
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
        case MessageReceived(sender=sender, message=message):
            if is_reply_expected(view.attachment, sender):
                _handle_message(view, sender, message, effects, now, rng)
        case LinkLost(peer=peer):
            discard_heartbeats(view.attachment, peer)
            if peer == view.voter:
                _move_to_next_voter(view, "link lost", effects, now, rng)
                schedule_spread_heartbeat(view.attachment, view.times, now, rng)
                if not view.attachment.has_received_reply:
                    schedule_early_heartbeat(view.attachment, now, rng)
        case ServiceWatched(service=service):
            _watch(view, service, effects)
        case UpstreamAnnounced(upstream=upstream):
            _announce(view, upstream, effects)
        case PeerVersionReceived(version=version):
            _compare_with_peer(view, version, now)
    _report_freshness(view, effects, now)
    return effects


def _report_freshness(view: NodeView, effects: list[ViewEffect], now: Seconds) -> None:
    is_fresh = view.is_fresh(now)
    if is_fresh != view.was_fresh:
        view.was_fresh = is_fresh
        effects.append(FreshnessChanged(is_fresh))


def _reported_version(view: NodeView) -> int:
    return view.version if view.is_complete else INCOMPLETE


def _customers_version(view: NodeView) -> int:
    return INCOMPLETE if view.has_uncertain_customers else view.version


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
    sent = SentHeartbeat(now, view.watch_sequence, _customers_version(view), view.voter)
    attachment.unanswered[attachment.sequence] = sent
    heartbeat = Heartbeat(
        view.instance,
        attachment.sequence,
        _reported_version(view),
        view.watch_sequence,
        view.announce_sequence,
        view.cache.digest,
        _customers_version(view),
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
            _handle_configuration(view, message, effects)
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
        _resend_registration(view, effects)
    # `is_current` refers to the state at the heartbeat, not to configuration applied since.
    is_as_sent = sent.watch == view.watch_sequence and sent.customers == _customers_version(view)
    if reply.is_current and view.is_complete and is_as_sent:
        _apply_version(view, reply.version, effects)
    if reply.confirmed_age_ms is not None:
        _handle_confirmation(view, reply, sent.sent_at, now)
    if view.attachment.index and view.is_fresh(now) and rng.random() * _REPLIES_PER_RETURN < 1:
        return_to_preferred_voter(view.attachment, view.times, now, rng)
        effects.append(AttachmentChanged(view.voter, "preferred"))


def _resolve_attachment(
    view: NodeView, sender: str, reply: HeartbeatReply, effects: list[ViewEffect], now: Seconds
) -> bool:
    """Return whether the node is attached to the sender of a reply, possibly by returning to it."""
    attachment = view.attachment
    is_recent = _is_recently_confirmed(view, reply)
    if sender != view.voter and is_recent:
        return_to_voter(attachment, sender, now)
        if sender == view.voter:
            effects.append(AttachmentChanged(sender, "answered late"))
    if sender == view.voter and is_recent:
        discard_other_heartbeats(attachment)
    return sender == view.voter


def _is_recently_confirmed(view: NodeView, reply: HeartbeatReply) -> bool:
    # The age is the one the voter reports. By this node's clock it would include the delay of the
    # node's own link.
    age_ms = reply.confirmed_age_ms
    limit = view.times.confirmation_limit
    return age_ms is not None and age_ms < limit * MILLISECONDS_PER_SECOND


def _resend_registration(view: NodeView, effects: list[ViewEffect]) -> None:
    effects.append(SendTo(view.voter, _make_announce(view)))
    effects.append(SendTo(view.voter, _make_watch(view)))


def _make_announce(view: NodeView) -> Announce:
    instance = view.instance
    announced = tuple(view.announced.values())
    return Announce(instance.name, instance.incarnation, view.announce_sequence, announced)


def _make_watch(view: NodeView) -> Watch:
    instance = view.instance
    services = tuple(view.cache.watched)
    return Watch(
        instance.name,
        services,
        instance.incarnation,
        view.watch_sequence,
        _reported_version(view),
        view.cache.digest,
        _customers_version(view),
    )


def _apply_version(view: NodeView, version: int, effects: list[ViewEffect]) -> None:
    if version <= view.version:
        return
    view.version = version
    effects.append(ConfigurationApplied(version))


def _handle_confirmation(
    view: NodeView, reply: HeartbeatReply, sent_at: Seconds, now: Seconds
) -> None:
    # The voter's round began this long before its reply, and it replied after the heartbeat was
    # sent. On the node's own clock the round therefore began no earlier than `confirmed_at`.
    confirmed_at = sent_at - reply.confirmed_age_ms / MILLISECONDS_PER_SECOND
    if _is_recently_confirmed(view, reply) and now - sent_at < view.times.confirmation_limit:
        view.attachment.last_good_reply_at = now
        view.attachment.stay_beats = 1.0
    if reply.is_same:
        view.groups_confirmed_at = max(confirmed_at, view.groups_confirmed_at or confirmed_at)
    _compare_versions(view, reply.version, now)
    if view.is_complete and view.version >= reply.version:
        _advance_confirmed_at(view, confirmed_at)
    else:
        view.pending_confirmation = PendingConfirmation(reply.version, confirmed_at)


def _compare_versions(view: NodeView, voter_version: int, now: Seconds) -> None:
    attachment = view.attachment
    if voter_version >= max(view.newest_peer_version, view.version):
        attachment.behind_since = None
    elif attachment.behind_since is None:
        attachment.behind_since = now


def _advance_confirmed_at(view: NodeView, confirmed_at: Seconds) -> None:
    if view.confirmed_at is None or confirmed_at > view.confirmed_at:
        view.confirmed_at = confirmed_at


def _find_reason_to_drop(view: NodeView, message: ConfigurationChanged) -> str | None:
    if message.watch != view.watch_sequence:
        return f"for watch {message.watch}, not {view.watch_sequence}"
    known = view.version if view.is_complete else 0
    if message.base > known:
        return f"base {message.base}, not {known}"
    known_customers = max(_customers_version(view), 0)
    if message.customers.base > known_customers:
        return f"customers' base {message.customers.base}, not {known_customers}"
    return None


def _report_dropped(
    view: NodeView, message: ConfigurationChanged, reason: str, effects: list[ViewEffect]
) -> None:
    if message.version > view.version:
        effects.append(ConfigurationDropped(message.version, reason))


def _handle_configuration(
    view: NodeView, message: ConfigurationChanged, effects: list[ViewEffect]
) -> None:
    if watch_cache.put_claim_groups(view.cache, message.claim_groups):
        effects.append(ClaimGroupsChanged())
    if message.version < view.version:
        return
    reason = _find_reason_to_drop(view, message)
    if reason is not None:
        _report_dropped(view, message, reason, effects)
        return
    had_customers = view.customers is not None
    differing = watch_cache.put_customers(view.cache, message.customers)
    if differing is None:
        view.has_uncertain_customers = True
        _report_dropped(view, message, "other customers held", effects)
        return
    view.has_uncertain_customers = False
    if differing or had_customers is not (view.customers is not None):
        effects.append(_make_customers_changed(view, differing))
    watch_cache.put_services(view.cache, message)
    view.is_complete = True
    view.pending.clear()
    _apply_version(view, message.version, effects)
    confirmation = view.pending_confirmation
    if confirmation and confirmation.version <= view.version:
        _advance_confirmed_at(view, confirmation.confirmed_at)
        view.pending_confirmation = None


def _make_customers_changed(view: NodeView, names: frozenset[str]) -> CustomersChanged:
    table = view.customers
    counts = (None, None) if table is None else (len(table.by_name), len(table.by_key))
    return CustomersChanged(tuple(sorted(names)), *counts)


def _ensure_watch_capacity(view: NodeView) -> bool:
    watched = view.cache.watched
    if len(watched) < MAX_WATCHED:
        return True
    unknown = (name for name in watched if name not in view.services)
    evicted = next(unknown, None)
    if evicted is not None:
        view.pending.discard(evicted)
        watch_cache.remove_watched(view.cache, evicted)
    return evicted is not None


def _watch(view: NodeView, service: str, effects: list[ViewEffect]) -> None:
    if service in view.cache.watched or not _ensure_watch_capacity(view):
        return
    view.cache.watched[service] = None
    view.pending.add(service)
    view.watch_sequence += 1
    view.is_complete = False
    effects.append(SendTo(view.voter, _make_watch(view)))


def _announce(view: NodeView, upstream: Upstream, effects: list[ViewEffect]) -> None:
    view.announce_sequence += 1
    if upstream.state is UpstreamState.GONE:
        view.announced.pop(upstream.name, None)
    else:
        stamped = replace(upstream, owner=view.instance, sequence=view.announce_sequence)
        view.announced[upstream.name] = stamped
    effects.append(SendTo(view.voter, _make_announce(view)))


def _compare_with_peer(view: NodeView, version: int, now: Seconds) -> None:
    if version <= view.newest_peer_version:
        return
    view.newest_peer_version = version
    if version > view.version and view.attachment.behind_since is None:
        view.attachment.behind_since = now
