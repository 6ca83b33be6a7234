"""Tell the tasks of a process what has changed in its view of the voters."""

from collections.abc import Iterable

from msgspec.structs import replace

from bendwind_core.consensus import Voter
from bendwind_core.membership import (
    ClaimGroupsChanged,
    ConfigurationApplied,
    FreshnessChanged,
    InstancesReceived,
    ServicesReceived,
    SuspectsReceived,
    UpstreamsChanged,
    ViewEffect,
    VoterPlace,
    VotersReceived,
)
from bendwind_core.world import Instance, Upstream
from bendwind_node.daemon.dispatcher import Dispatcher
from bendwind_node.links import LinkHub


def update_addresses(hub: LinkHub, places: Iterable[VoterPlace | Voter]) -> None:
    """Set the addresses of voters and learners on the links, where these are known."""
    for place in places:
        if place.host:
            hub.set_address(place.name, place.host, place.port, place.data_centre)


def _update_instance_address(hub: LinkHub, instance: Instance) -> None:
    hub.set_address(instance.name, instance.host, instance.port, instance.data_centre)


def _push_to_owner(dispatcher: Dispatcher, pushed: Upstream) -> None:
    """Pass a pushed state to the register if it is of the newest announcement of its upstream."""
    announced = dispatcher.membership.view.announced.get(pushed.name)
    if announced is None or announced.sequence != pushed.sequence:
        return
    register = dispatcher.owner.register
    owned = register.owned.get(pushed.name)
    if owned is not None:
        # The view numbers all announcements of this node, the register those of each upstream.
        sequence = owned.upstream.sequence
        register.handle_pushed_upstream(replace(pushed, sequence=sequence))


def handle_view_effect(dispatcher: Dispatcher, effect: ViewEffect) -> None:
    """Pass one change on to the tasks that it concerns."""
    match effect:
        case InstancesReceived(instances=instances):
            for instance in instances:
                _update_instance_address(dispatcher.hub, instance)
        case UpstreamsChanged(service=service):
            for upstream in dispatcher.membership.upstreams(service):
                _update_instance_address(dispatcher.hub, upstream.owner)
                _push_to_owner(dispatcher, upstream)
            dispatcher.entry.refresh_upstreams(service)
        case SuspectsReceived(suspects=suspects):
            dispatcher.entry.merge_suspect_reports(suspects)
        case VotersReceived(voters=voters):
            update_addresses(dispatcher.hub, voters)
        case ConfigurationApplied():
            dispatcher.owner.handle_configuration(dispatcher.membership.evacuated)
            dispatcher.entry.refresh_routing()
            for service in tuple(dispatcher.entry.service_states):
                dispatcher.entry.refresh_upstreams(service)
        case ServicesReceived(names=names):
            dispatcher.owner.handle_services()
            for service in names:
                dispatcher.entry.refresh_upstreams(service)
        case FreshnessChanged(is_fresh=is_fresh):
            version = dispatcher.membership.view.version
            dispatcher.owner.register.handle_freshness(version, is_fresh=is_fresh)
        case ClaimGroupsChanged():
            groups = tuple(dispatcher.membership.claim_groups.values())
            dispatcher.claims.update_groups(groups)
