"""Define the JSON bodies of the operators' API."""

from collections.abc import Sequence

import msgspec

from bendwind_core.core import Milliseconds
from bendwind_core.plans import (
    Confirmed,
    ControlState,
    Difference,
    Expired,
    Plan,
    PlanOutcome,
    PlanState,
    PlanWarning,
    Superseded,
    compute_customer_differences,
    compute_differences,
    find_affected,
    find_customer_warnings,
    find_warnings,
    render_plan,
)
from bendwind_core.plans.intent import StatedService
from bendwind_core.timeline import Event, EventKind
from bendwind_core.world import Configuration, Upstream
from bendwind_node.operators.control_client import ReplacementStatus, VoterStatus
from bendwind_node.operators.status_source import NodeVersion, NoticeStatus


class OutcomeView(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe the outcome of a plan."""

    kind: str
    plan: str
    version: int | None = None


class AffectedView(msgspec.Struct, frozen=True):
    """List what a plan affects."""

    services: tuple[str, ...] = ()
    upstreams: tuple[str, ...] = ()
    instances: tuple[str, ...] = ()
    customers: tuple[str, ...] = ()


class PlanView(msgspec.Struct, frozen=True):
    """Describe a plan."""

    id: str
    state: PlanState
    request: str
    base_version: int
    created_ms: int
    expires_ms: int
    outcome: OutcomeView | None
    differences: tuple[Difference, ...] = ()
    affected: AffectedView = AffectedView()
    warnings: tuple[PlanWarning, ...] = ()
    lines: tuple[str, ...] = ()


class PlansView(msgspec.Struct, frozen=True):
    """List every plan that is still stored."""

    plans: tuple[PlanView, ...]


class ConfigurationView(msgspec.Struct, frozen=True):
    """Describe the configuration in force, with the keys of an intent."""

    version: int
    plan: str
    services: tuple[StatedService, ...]


class MarkView(msgspec.Struct, frozen=True):
    """Describe a drain mark."""

    name: str
    draining: bool
    version: int


class GroupView(msgspec.Struct, frozen=True):
    """Describe the claim group of a service."""

    service: str
    epoch: int
    members: tuple[str, ...]


class UpstreamView(msgspec.Struct, frozen=True):
    """Describe an announced upstream."""

    name: str
    service: str
    owner: str
    state: str
    slots: int
    connections: int


class DrainingView(msgspec.Struct, frozen=True):
    """List the drain marks that are set."""

    instances: tuple[str, ...] = ()
    upstreams: tuple[str, ...] = ()


class StatusView(msgspec.Struct, frozen=True):
    """Describe the status of a process and of the members that it knows."""

    instance: str
    data_centre: str
    voter: bool
    stopping: bool
    version: int
    confirmed: bool
    confirmed_age_ms: Milliseconds | None
    attached_to: str | None
    leader: str | None
    voters: tuple[VoterStatus, ...]
    nodes: tuple[NodeVersion, ...]
    not_there_yet: tuple[str, ...]
    upstreams: tuple[UpstreamView, ...]
    draining: DrainingView
    evacuated: tuple[str, ...] = ()
    replacement: ReplacementStatus | None = None
    notices: tuple[NoticeStatus, ...] = ()


class EventView(msgspec.Struct, frozen=True):
    """Describe a recorded event."""

    number: int
    name: str
    instance: str
    physical_ms: int
    logical: int
    call: str
    upstream: str
    plan: str
    detail: str
    monotonic_us: int


class TimelineView(msgspec.Struct, frozen=True):
    """List recorded events in the order of their time."""

    instance: str
    dropped: int
    events: tuple[EventView, ...]


class EventKindView(msgspec.Struct, frozen=True):
    """Describe one entry of the catalogue of events."""

    number: int
    name: str


class CatalogueView(msgspec.Struct, frozen=True):
    """Hold the catalogue of events."""

    events: tuple[EventKindView, ...]


class StoppingView(msgspec.Struct, frozen=True):
    """Report that the process has started a planned stop."""

    instance: str
    stopping: bool = True


def make_outcome_view(outcome: PlanOutcome) -> OutcomeView:
    """Return the view of an outcome."""
    match outcome:
        case Confirmed(plan, version):
            return OutcomeView("confirmed", plan, version)
        case Superseded(plan, version):
            return OutcomeView("won-by", plan, version)
        case Expired(plan):
            return OutcomeView("expired", plan)


def summarize_plan(plan: Plan) -> PlanView:
    """Return the view of a plan without its changes."""
    return PlanView(
        plan.id,
        plan.state,
        plan.request,
        plan.base_version,
        plan.created_ms,
        plan.expires_ms,
        None if plan.outcome is None else make_outcome_view(plan.outcome),
    )


def make_plan_view(plan: Plan, before: Configuration, upstreams: Sequence[Upstream]) -> PlanView:
    """Return the view of a plan; an open one includes its changes to a configuration."""
    summary = summarize_plan(plan)
    if plan.outcome is not None:
        return summary
    differences = compute_differences(before, plan.changes)
    warnings = find_warnings(before, plan.changes, differences, upstreams)
    changes = plan.changes.customers
    differences = (*differences, *compute_customer_differences(before.customers, changes))
    warnings = (*warnings, *find_customer_warnings(before.customers, changes))
    affected = find_affected(plan.changes, upstreams)
    return msgspec.structs.replace(
        summary,
        differences=differences,
        affected=AffectedView(
            affected.services, affected.upstreams, affected.instances, affected.customers
        ),
        warnings=warnings,
        lines=render_plan(differences, warnings),
    )


def make_configuration_view(state: ControlState) -> ConfigurationView:
    """Return the view of the configuration in force."""
    configuration = state.configuration
    services = msgspec.convert(
        configuration.services, tuple[StatedService, ...], from_attributes=True
    )
    return ConfigurationView(configuration.version, state.configuration_plan, services)


def make_upstream_view(upstream: Upstream) -> UpstreamView:
    """Return the view of an announced upstream."""
    return UpstreamView(
        upstream.name,
        upstream.service,
        upstream.owner.name,
        upstream.state,
        upstream.slots,
        upstream.connections,
    )


def make_event_view(event: Event) -> EventView:
    """Return the view of a recorded event."""
    return EventView(
        event.kind,
        event.kind.name,
        event.instance,
        event.physical_ms,
        event.logical,
        event.call,
        event.upstream,
        event.plan,
        event.detail,
        event.monotonic_us,
    )


def make_catalogue_view() -> CatalogueView:
    """Return the view of the catalogue of events."""
    return CatalogueView(tuple(EventKindView(kind.value, kind.name) for kind in EventKind))
