"""Register with a voter what a node announces and which services it watches."""

from msgspec.structs import replace

from bendwind_core.core import Seconds
from bendwind_core.membership import watch_cache
from bendwind_core.membership.configuration import customers_version, reported_version
from bendwind_core.membership.events import SendTo, ViewEffect
from bendwind_core.membership.messages import Announce, Watch
from bendwind_core.membership.view import NodeView
from bendwind_core.world import Upstream, UpstreamState

# Limits the watched services, since callers may name services that do not exist. At the limit, a
# new service replaces a watched one that does not exist.
MAX_WATCHED = 512


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
        reported_version(view),
        view.cache.digest,
        customers_version(view),
    )


def resend_registration(view: NodeView, effects: list[ViewEffect]) -> None:
    """Send the voter in use all that the node announced and watches."""
    effects.append(SendTo(view.voter, _make_announce(view)))
    effects.append(SendTo(view.voter, _make_watch(view)))


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


def watch_service(view: NodeView, service: str, effects: list[ViewEffect], now: Seconds) -> None:
    """Watch a service from now on, and tell the voter in use."""
    if service in view.cache.watched or not _ensure_watch_capacity(view):
        return
    view.cache.watched[service] = None
    view.pending.add(service)
    if view.is_complete or view.incomplete_since is None:
        view.incomplete_since = now
    view.is_complete = False
    renew_watch(view, effects)


def renew_watch(view: NodeView, effects: list[ViewEffect]) -> None:
    """Watch the same services anew, so that the voter sends at once all that the node lacks."""
    view.watch_sequence += 1
    effects.append(SendTo(view.voter, _make_watch(view)))


def announce_upstream(view: NodeView, upstream: Upstream, effects: list[ViewEffect]) -> None:
    """Announce an upstream or its new state to the voter in use."""
    view.announce_sequence += 1
    if upstream.state is UpstreamState.GONE:
        view.announced.pop(upstream.name, None)
    else:
        stamped = replace(upstream, owner=view.instance, sequence=view.announce_sequence)
        view.announced[upstream.name] = stamped
    effects.append(SendTo(view.voter, _make_announce(view)))
