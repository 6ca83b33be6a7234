"""Apply the configurations that a node receives, and record the proofs that they are the newest."""

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.membership import watch_cache
from bendwind_core.membership.attachment import SentHeartbeat
from bendwind_core.membership.content import HeldContent, change_content, digest_content
from bendwind_core.membership.events import (
    ClaimGroupsChanged,
    ConfigurationApplied,
    ConfigurationDiffers,
    ConfigurationDropped,
    CustomersChanged,
    ServicesAdded,
    ViewEffect,
)
from bendwind_core.membership.messages import (
    ConfigurationAnswer,
    ConfigurationChanged,
    HeartbeatReply,
)
from bendwind_core.membership.view import NodeView, PendingConfirmation

# Version in the heartbeats of a node that lacks the configuration of a service it watches, or that
# is not certain that it holds the customers of its version. The voter then sends the complete
# configuration, or all customers.
INCOMPLETE = -1


def reported_version(view: NodeView) -> int:
    """Return the version that a node reports, INCOMPLETE if it lacks a watched service."""
    return view.version if view.is_complete else INCOMPLETE


def customers_version(view: NodeView) -> int:
    """Return the version of the customers that a node reports, INCOMPLETE if uncertain."""
    return INCOMPLETE if view.has_uncertain_customers else view.version


def apply_version(view: NodeView, version: int, effects: list[ViewEffect]) -> None:
    """Put a version in force, all of whose content the node holds."""
    if version <= view.version:
        return
    view.version = version
    if version >= view.newest_peer_version:
        view.overtaken_since = None
    effects.append(ConfigurationApplied(version))


def apply_stated_version(
    view: NodeView,
    stated: HeartbeatReply | ConfigurationAnswer,
    sent: SentHeartbeat,
    effects: list[ViewEffect],
    now: Seconds,
) -> None:
    """Put the version that a voter states in force if the node holds just what it contains."""
    if not view.is_complete or sent.watch != view.watch_sequence:
        return
    if stated.content == view.content_digest:
        view.has_other_digests = False
        apply_version(view, stated.version, effects)
    elif stated.content is None or view.has_other_digests:
        _apply_unchanged(view, stated, sent, effects)
    elif stated.version == view.version:
        effects.append(ConfigurationDiffers(view.version))
        _request_whole(view, now)


def _apply_unchanged(
    view: NodeView,
    stated: HeartbeatReply | ConfigurationAnswer,
    sent: SentHeartbeat,
    effects: list[ViewEffect],
) -> None:
    # The voter speaks of the state as it was sent, not of configuration applied since.
    if stated.is_current and sent.customers == customers_version(view):
        apply_version(view, stated.version, effects)


def _request_whole(view: NodeView, now: Seconds) -> None:
    """Report nothing as held, so that a voter sends everything."""
    view.is_complete = False
    view.incomplete_since = now
    view.attachment.next_heartbeat_at = now


def record_proof(view: NodeView, version: int, age_ms: Milliseconds, sent_at: Seconds) -> None:
    """Record a voter's proof, in reply to what was sent at a time, that a version is the newest."""
    # The voter's round began this long before its reply, and it replied after the node had sent. On
    # the node's own clock the round therefore began no earlier than `confirmed_at`.
    confirmed_at = sent_at - age_ms / MILLISECONDS_PER_SECOND
    if view.is_complete and view.version >= version:
        _advance_confirmed_at(view, confirmed_at)
    else:
        view.pending_confirmation = PendingConfirmation(version, confirmed_at)


def _advance_confirmed_at(view: NodeView, confirmed_at: Seconds) -> None:
    if view.confirmed_at is None or confirmed_at > view.confirmed_at:
        view.confirmed_at = confirmed_at
    if view.overtaken_since is not None and confirmed_at > view.overtaken_since:
        # A peer stated a version that was never accepted.
        view.newest_peer_version = view.version
        view.overtaken_since = None


def _find_reason_to_drop(view: NodeView, message: ConfigurationChanged) -> str | None:
    if message.watch != view.watch_sequence:
        return f"for watch {message.watch}, not {view.watch_sequence}"
    known = view.version if view.is_complete else 0
    is_compared = message.content is not None and not view.has_other_digests
    is_base_held = message.base in (0, known) or (is_compared and message.base < known)
    if not is_base_held:
        return f"base {message.base}, not {known}"
    known_customers = max(customers_version(view), 0)
    if message.customers.base > known_customers:
        return f"customers' base {message.customers.base}, not {known_customers}"
    return None


def _report_dropped(
    view: NodeView, message: ConfigurationChanged, reason: str, effects: list[ViewEffect]
) -> None:
    if message.version > view.version:
        effects.append(ConfigurationDropped(message.version, reason))


def apply_configuration(
    view: NodeView, message: ConfigurationChanged, effects: list[ViewEffect], now: Seconds
) -> None:
    """Apply what a voter sent, unless it does not fit what the node holds."""
    if watch_cache.put_claim_groups(view.cache, message.claim_groups):
        effects.append(ClaimGroupsChanged())
    if message.version < view.version:
        return
    reason = _find_reason_to_drop(view, message)
    if reason is not None:
        _report_dropped(view, message, reason, effects)
        return
    if not watch_cache.is_for_held_customers(view.cache, message.customers):
        view.has_uncertain_customers = True
        _report_dropped(view, message, "other customers held", effects)
        return
    content = change_content(view.cache.content, message, view.cache.watched)
    if not _is_as_stated(view, content, message, effects):
        _report_dropped(view, message, "another content results", effects)
        _request_whole(view, now)
        return
    _put_in_force(view, content, message, effects)


def _is_as_stated(
    view: NodeView,
    content: HeldContent,
    message: ConfigurationChanged,
    effects: list[ViewEffect],
) -> bool:
    """Return whether a message results in what its version contains, as far as that is stated."""
    if message.content is None:
        return True
    customers = message.customers
    result = digest_content(content, customers.digest, is_key_needed=customers.is_key_needed)
    if message.base == 0:
        view.has_other_digests = result != message.content
        if view.has_other_digests:
            effects.append(ConfigurationDiffers(message.version))
    return view.has_other_digests or result == message.content


def _replaces(held: HeldContent, content: HeldContent) -> bool:
    """Return whether a content replaces anything of the one held, not only adds services."""
    if (held.routing.digest, held.evacuated) != (content.routing.digest, content.evacuated):
        return True
    return any(content.services.get(name) != service for name, service in held.services.items())


def _put_in_force(
    view: NodeView,
    content: HeldContent,
    message: ConfigurationChanged,
    effects: list[ViewEffect],
) -> None:
    had_customers = view.customers is not None
    differing = watch_cache.put_customers(view.cache, message.customers)
    view.has_uncertain_customers = False
    if differing or had_customers is not (view.customers is not None):
        effects.append(_make_customers_changed(view, differing))
    is_in_force = message.version == view.version
    is_repaired = is_in_force and _replaces(view.cache.content, content)
    added = tuple(sorted(content.services.keys() - view.services.keys()))
    watch_cache.put_content(view.cache, content, message)
    view.is_complete = True
    view.incomplete_since = None
    view.pending.clear()
    apply_version(view, message.version, effects)
    if is_repaired:
        effects.append(ConfigurationApplied(view.version))
    elif is_in_force and added:
        effects.append(ServicesAdded(added))
    confirmation = view.pending_confirmation
    if confirmation and confirmation.version <= view.version:
        _advance_confirmed_at(view, confirmation.confirmed_at)
        view.pending_confirmation = None


def _make_customers_changed(view: NodeView, names: frozenset[str]) -> CustomersChanged:
    table = view.customers
    counts = (None, None) if table is None else (len(table.by_name), len(table.by_key))
    return CustomersChanged(tuple(sorted(names)), *counts)
