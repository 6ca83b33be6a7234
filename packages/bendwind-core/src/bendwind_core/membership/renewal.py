"""Decide for a node: which voter it renews with, what is in force and whether that is fresh."""

import random

from msgspec.structs import replace

from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.membership import holdings as held
from bendwind_core.membership.attachment import (
    NO_REPLY,
    SentBeat,
    find_reason_to_move,
    forget_beats,
    forget_other_beats,
    go_home,
    hurry_beat,
    is_awaited,
    move,
    order_voters,
    schedule_beat,
    set_order,
    spread_beat,
    turn_back,
)
from bendwind_core.membership.events import (
    AttachmentChanged,
    ClaimGroupsChanged,
    ConfigurationApplied,
    CustomersChanged,
    FreshnessChanged,
    InstancesLearned,
    LinkLost,
    MessageReceived,
    PeerSeen,
    SendTo,
    ServiceWatched,
    SuspectsLearned,
    Tick,
    UpstreamAnnounced,
    UpstreamsChanged,
    ViewEffect,
    ViewEvent,
    VotersLearned,
)
from bendwind_core.membership.messages import (
    Announce,
    ConfigurationChanged,
    Heartbeat,
    HeartbeatReply,
    SuspectsTold,
    VoterPlace,
    VotersKnown,
    Watch,
    WatchUpdate,
)
from bendwind_core.membership.view import NodeView, Proof
from bendwind_core.world import Upstream, UpstreamState

_MAX_UNANSWERED = 8
# Callers may name services that do not exist: the watch on those makes room for others.
MAX_WATCHED = 512
# Stated in heartbeats by a node that lacks the configuration of a service it watches, or that is in
# doubt whether the customers it holds are those of its version: it is sent all of them.
INCOMPLETE = -1
# A node away from its preferred voter tries it again at about one good reply in this many.
_BEATS_AWAY = 120


def step_view(
    view: NodeView, event: ViewEvent, now: Seconds, rng: random.Random
) -> list[ViewEffect]:
    """Apply an event and return what is to be done."""
    effects: list[ViewEffect] = []
    match event:
        case Tick():
            _renew(view, effects, now, rng)
        case MessageReceived(sender=sender, message=message):
            if is_awaited(view.attachment, sender):
                _receive(view, sender, message, effects, now, rng)
        case LinkLost(peer=peer):
            forget_beats(view.attachment, peer)
            if peer == view.voter:
                _leave(view, "link lost", effects, now, rng)
                spread_beat(view.attachment, view.times, now, rng)
                if not view.attachment.has_heard:
                    hurry_beat(view.attachment, now, rng)
        case ServiceWatched(service=service):
            _watch(view, service, effects)
        case UpstreamAnnounced(upstream=upstream):
            _announce(view, upstream, effects)
        case PeerSeen(version=version):
            _compare_with_peer(view, version, now)
    _note_freshness(view, effects, now)
    return effects


def _note_freshness(view: NodeView, effects: list[ViewEffect], now: Seconds) -> None:
    is_fresh = view.is_fresh(now)
    if is_fresh != view.was_fresh:
        view.was_fresh = is_fresh
        effects.append(FreshnessChanged(is_fresh))


def _stated_version(view: NodeView) -> int:
    return view.version if view.is_complete else INCOMPLETE


def _customers_version(view: NodeView) -> int:
    return INCOMPLETE if view.is_in_doubt else view.version


def _renew(view: NodeView, effects: list[ViewEffect], now: Seconds, rng: random.Random) -> None:
    attachment = view.attachment
    reason = find_reason_to_move(attachment, view.times, now)
    if reason:
        _leave(view, reason, effects, now, rng)
    if now < attachment.next_beat:
        return
    attachment.sequence += 1
    if len(attachment.sent) >= _MAX_UNANSWERED:
        attachment.sent.pop(next(iter(attachment.sent)))
    sent = SentBeat(now, view.watch_sequence, _customers_version(view), view.voter)
    attachment.sent[attachment.sequence] = sent
    heartbeat = Heartbeat(
        view.instance,
        attachment.sequence,
        _stated_version(view),
        view.watch_sequence,
        view.announce_sequence,
        view.holdings.digest,
        _customers_version(view),
    )
    effects.append(SendTo(view.voter, heartbeat))
    schedule_beat(attachment, view.times, now, rng)


def _leave(
    view: NodeView, reason: str, effects: list[ViewEffect], now: Seconds, rng: random.Random
) -> None:
    # After a timeout the old voter's answer may still come, and sooner than one of the next voter,
    # which this node has to dial over the same slow link.
    if reason != NO_REPLY:
        forget_beats(view.attachment, view.voter)
    move(view.attachment, view.times, now, rng)
    view.waiting_proof = None
    effects.append(AttachmentChanged(view.voter, reason))


def _receive(
    view: NodeView,
    sender: str,
    message,
    effects: list[ViewEffect],
    now: Seconds,
    rng: random.Random,
) -> None:
    match message:
        case HeartbeatReply():
            _take_reply(view, sender, message, effects, now, rng)
        case ConfigurationChanged():
            effects.append(InstancesLearned(message.holders))
            _take_configuration(view, message, effects)
        case WatchUpdate(service=service):
            if held.put_upstreams(view.holdings, message):
                effects.append(UpstreamsChanged(service))
        case SuspectsTold(suspects=suspects):
            effects.append(SuspectsLearned(suspects))
        case VotersKnown(voters=voters):
            _take_voters(view, voters, effects, now, rng)


def _take_voters(
    view: NodeView,
    voters: tuple[VoterPlace, ...],
    effects: list[ViewEffect],
    now: Seconds,
    rng: random.Random,
) -> None:
    if not voters:
        return
    effects.append(VotersLearned(voters))
    own = view.instance
    known = order_voters(own.name, own.name, own.data_centre, voters)
    order = _append_seeds(known, view.seeds)
    if order == view.attachment.order:
        return
    is_gone = set_order(view.attachment, order)
    if is_gone or view.attachment.index >= len(voters):
        go_home(view.attachment, view.times, now, rng)
        view.waiting_proof = None
        effects.append(AttachmentChanged(view.voter, "voters changed"))


def _append_seeds(order: tuple[str, ...], seeds: tuple[VoterPlace, ...]) -> tuple[str, ...]:
    # Seeds that are no voters come last: they are asked when all the voters known are gone.
    return (*order, *(seed.name for seed in seeds if seed.name not in order))


def set_seeds(view: NodeView, seeds: tuple[VoterPlace, ...]) -> None:
    """Take over the voters that changed settings name."""
    view.seeds = seeds
    set_order(view.attachment, _append_seeds(view.attachment.order, seeds))


def _take_reply(
    view: NodeView,
    sender: str,
    reply: HeartbeatReply,
    effects: list[ViewEffect],
    now: Seconds,
    rng: random.Random,
) -> None:
    sent = view.attachment.sent.pop(reply.sequence, None)
    if sent is None or not _settle_sender(view, sender, reply, effects, now):
        return
    view.attachment.heard_at = now
    view.attachment.has_heard = True
    if reply.resync:
        _send_everything(view, effects)
    # What was current at the heartbeat says nothing of what has been put in force since.
    is_as_sent = sent.watch == view.watch_sequence and sent.version == _customers_version(view)
    if reply.is_current and view.is_complete and is_as_sent:
        _put_in_force(view, reply.version, effects)
    if reply.confirmed_age_ms is not None:
        _take_proof(view, reply, sent.at, now)
    if view.attachment.index and view.is_fresh(now) and rng.random() * _BEATS_AWAY < 1:
        go_home(view.attachment, view.times, now, rng)
        effects.append(AttachmentChanged(view.voter, "preferred"))


def _settle_sender(
    view: NodeView, sender: str, reply: HeartbeatReply, effects: list[ViewEffect], now: Seconds
) -> bool:
    """Tell whether the node is attached to the sender of a reply, or turns back to it."""
    attachment = view.attachment
    is_good = _is_good(view, reply)
    if sender != view.voter and is_good:
        turn_back(attachment, sender, now)
        if sender == view.voter:
            effects.append(AttachmentChanged(sender, "answered late"))
    if sender == view.voter and is_good:
        forget_other_beats(attachment)
    return sender == view.voter


def _is_good(view: NodeView, reply: HeartbeatReply) -> bool:
    # Not by this node's clock, which counts the delay of its own link as well.
    age_ms = reply.confirmed_age_ms
    limit = view.times.confirmation_limit
    return age_ms is not None and age_ms < limit * MILLISECONDS_PER_SECOND


def _send_everything(view: NodeView, effects: list[ViewEffect]) -> None:
    effects.append(SendTo(view.voter, _make_announce(view)))
    effects.append(SendTo(view.voter, _make_watch(view)))


def _make_announce(view: NodeView) -> Announce:
    instance = view.instance
    announced = tuple(view.announced.values())
    return Announce(instance.name, instance.incarnation, view.announce_sequence, announced)


def _make_watch(view: NodeView) -> Watch:
    instance = view.instance
    services = tuple(view.holdings.watched)
    return Watch(
        instance.name,
        services,
        instance.incarnation,
        view.watch_sequence,
        _stated_version(view),
        view.holdings.digest,
        _customers_version(view),
    )


def _put_in_force(view: NodeView, version: int, effects: list[ViewEffect]) -> None:
    if version <= view.version:
        return
    view.version = version
    effects.append(ConfigurationApplied(version))


def _take_proof(view: NodeView, reply: HeartbeatReply, sent: Seconds, now: Seconds) -> None:
    # The voter's round began at least this long before it answered, and it answered after the
    # heartbeat was sent, so the round began no earlier than this on the node's own clock.
    confirmed_at = sent - reply.confirmed_age_ms / MILLISECONDS_PER_SECOND
    if _is_good(view, reply) and now - sent < view.times.confirmation_limit:
        view.attachment.good_at = now
        view.attachment.patience = 1.0
    if reply.is_same:
        view.groups_confirmed_at = max(confirmed_at, view.groups_confirmed_at or confirmed_at)
    _compare_versions(view, reply.version, now)
    if view.is_complete and view.version >= reply.version:
        _confirm(view, confirmed_at)
    else:
        view.waiting_proof = Proof(reply.version, confirmed_at)


def _compare_versions(view: NodeView, voter_version: int, now: Seconds) -> None:
    attachment = view.attachment
    if voter_version >= max(view.seen_version, view.version):
        attachment.behind_since = None
    elif attachment.behind_since is None:
        attachment.behind_since = now


def _confirm(view: NodeView, confirmed_at: Seconds) -> None:
    if view.confirmed_at is None or confirmed_at > view.confirmed_at:
        view.confirmed_at = confirmed_at


def _take_configuration(
    view: NodeView, message: ConfigurationChanged, effects: list[ViewEffect]
) -> None:
    if held.put_claim_groups(view.holdings, message.claim_groups):
        effects.append(ClaimGroupsChanged())
    is_older = message.version < view.version
    is_for_other_watch = message.watch != view.watch_sequence
    known = view.version if view.is_complete else 0
    if is_older or is_for_other_watch or message.base > known:
        return
    if message.customers.base > max(_customers_version(view), 0):
        return
    had_customers = view.customers is not None
    differing = held.put_customers(view.holdings, message.customers)
    if differing is None:
        view.is_in_doubt = True
        return
    view.is_in_doubt = False
    if differing or had_customers is not (view.customers is not None):
        effects.append(_make_customers_changed(view, differing))
    held.put_services(view.holdings, message)
    view.is_complete = True
    view.pending.clear()
    _put_in_force(view, message.version, effects)
    proof = view.waiting_proof
    if proof and proof.version <= view.version:
        _confirm(view, proof.confirmed_at)
        view.waiting_proof = None


def _make_customers_changed(view: NodeView, names: frozenset[str]) -> CustomersChanged:
    table = view.customers
    counts = (None, None) if table is None else (len(table.by_name), len(table.by_key))
    return CustomersChanged(tuple(sorted(names)), *counts)


def _make_room(view: NodeView) -> bool:
    watched = view.holdings.watched
    if len(watched) < MAX_WATCHED:
        return True
    unknown = (name for name in watched if name not in view.services)
    dropped = next(unknown, None)
    if dropped is not None:
        view.pending.discard(dropped)
        held.drop_watched(view.holdings, dropped)
    return dropped is not None


def _watch(view: NodeView, service: str, effects: list[ViewEffect]) -> None:
    if service in view.holdings.watched or not _make_room(view):
        return
    view.holdings.watched[service] = None
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
    if version <= view.seen_version:
        return
    view.seen_version = version
    if version > view.version and view.attachment.behind_since is None:
        view.attachment.behind_since = now
