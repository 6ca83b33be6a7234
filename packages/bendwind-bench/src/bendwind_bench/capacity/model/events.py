"""Calculate the effects of the events of an ordinary day and of major failures."""

from dataclasses import dataclass

from bendwind_bench.capacity.model.roles import compute_attached_node_us, compute_push_us
from bendwind_bench.capacity.model.sizes import (
    DATA_CENTRE_NODES,
    PARTITION_S,
    PEAK_S,
    PEAK_SHARE,
    RACK_NODES,
    Size,
)
from bendwind_bench.capacity.result import CapacityResult

US_PER_SECOND = 1e6
_PARTITIONED_DATA_CENTRES = 2


@dataclass(frozen=True, slots=True)
class EventCost:
    """Hold the effects of an event.

    `voter_messages` counts the messages of the busiest voter.
    Units: seconds.
    """

    event: str
    messages: float
    voter_messages: float
    voter_busy_s: float
    settle_s: float
    callers: str
    promise: str


def list_events(result: CapacityResult, size: Size) -> list[EventCost]:
    """Return the effects of every event at a size."""
    return [
        _ordinary_day(result, size),
        _restart_peak(result, size),
        _rack_lost(result, size),
        _data_centre_lost(result, size),
        _data_centre_back(result, size),
        _regions_partitioned(result, size),
        _regions_reconnected(result, size),
    ]


def _count_pushes(size: Size, services: float) -> float:
    return services * size.watchers


def _settle_after_loss(result: CapacityResult, size: Size, pushes: float) -> float:
    """Return the lease plus the time that one voter needs for its share of the pushes."""
    return size.lease_s + pushes / size.voters * compute_push_us(result) / US_PER_SECOND


def _settle_after_push(result: CapacityResult, size: Size) -> float:
    """Return the time that a voter needs to push one change to its share of the watchers."""
    return size.watchers / size.voters * compute_push_us(result) / US_PER_SECOND


def _ordinary_day(result: CapacityResult, size: Size) -> EventCost:
    events = 3 * size.restarts_per_day + 2 * size.failures_per_day
    messages = _count_pushes(size, events)
    return EventCost(
        f"Ordinary day: {size.failures_per_day:.0f} failures, {size.restarts_per_day:.0f} restarts",
        messages,
        messages / size.voters,
        messages / size.voters * compute_push_us(result) / US_PER_SECOND,
        _settle_after_loss(result, size, size.watchers),
        "a failed node's calls in flight end `unknown` where they may not be repeated; a planned "
        "restart cuts none",
        "whole answers, at most once: fences prove what did not run; everything else is `unknown`",
    )


def _restart_peak(result: CapacityResult, size: Size) -> EventCost:
    restarts = size.restarts_per_day * PEAK_SHARE
    messages = _count_pushes(size, 3 * restarts)
    return EventCost(
        f"A tenth of the restarts in ten minutes: {restarts / PEAK_S:.2f} a second",
        messages,
        messages / size.voters,
        messages / size.voters * compute_push_us(result) / US_PER_SECOND,
        _settle_after_push(result, size),
        "nothing: each is drained first",
        "a leaving upstream gets nothing new: its owner refuses before anyone has heard",
    )


def _rack_lost(result: CapacityResult, size: Size) -> EventCost:
    messages = _count_pushes(size, min(RACK_NODES, size.services))
    return EventCost(
        f"A rack of {RACK_NODES} lost",
        messages,
        messages / size.voters,
        messages / size.voters * compute_push_us(result) / US_PER_SECOND,
        _settle_after_loss(result, size, messages),
        "calls in flight there end `unknown` or are tried elsewhere; new ones fail to link and go "
        "elsewhere at once",
        "at most once: a claim group has at most one member in a rack's data centre, two keep it",
    )


def _data_centre_lost(result: CapacityResult, size: Size) -> EventCost:
    pushes = result.figures["data_centre_lost_pushes"]
    busy = result.figures["data_centre_lost_processor_s"]
    busy += pushes * result.slopes["exchange_server_us"].slope / 2 / US_PER_SECOND
    moved = DATA_CENTRE_NODES / size.voters / (size.voters - 1)
    return EventCost(
        f"A data centre of {DATA_CENTRE_NODES} lost",
        pushes * size.voters,
        pushes + moved,
        busy,
        size.lease_s + busy,
        "its own callers nothing until they turn elsewhere; others as with a rack, and a seventh "
        "less capacity",
        "configuration: a quorum is left; at most once: one member of each group at most is gone",
    )


def _data_centre_back(result: CapacityResult, size: Size) -> EventCost:
    pushes = result.figures["data_centre_returned_pushes"]
    links = DATA_CENTRE_NODES / size.voters
    busy = result.figures["data_centre_returned_processor_s"]
    busy += pushes * result.slopes["exchange_server_us"].slope / 2 / US_PER_SECOND
    busy += (
        links
        * (
            result.slopes["link_accept_us"].slope
            + compute_attached_node_us(result, size.heartbeat_s)
        )
        / US_PER_SECOND
    )
    return EventCost(
        f"The data centre of {DATA_CENTRE_NODES} returns",
        pushes * size.voters + 4.0 * DATA_CENTRE_NODES,
        pushes + 4 * links,
        busy,
        size.heartbeat_s + busy,
        "nothing: upstreams that come are ramped up as cold",
        "never an older configuration: a node serves only from a quorum's confirmation",
    )


def _count_partitioned_nodes(size: Size) -> float:
    return size.upstreams * _PARTITIONED_DATA_CENTRES / size.data_centres


def _regions_partitioned(result: CapacityResult, size: Size) -> EventCost:
    nodes = _count_partitioned_nodes(size)
    changes = size.changes_per_s * PARTITION_S
    messages = _count_pushes(size, min(size.services, nodes))
    return EventCost(
        f"A region of {nodes:.0f} nodes apart for {PARTITION_S / 60:.0f} minutes, "
        f"{changes:.1f} changes meanwhile",
        messages,
        messages / size.voters,
        messages / size.voters * compute_push_us(result) / US_PER_SECOND,
        _settle_after_loss(result, size, messages),
        f"in the region without a quorum {size.calls_per_s * nodes / size.upstreams:.0f} calls a "
        "second end `not-run` after the lease, but for services with `on_stale = serve`; "
        "elsewhere as with a data centre",
        "never an older configuration, at most once: kept by refusing, which costs availability",
    )


def _regions_reconnected(result: CapacityResult, size: Size) -> EventCost:
    nodes = _count_partitioned_nodes(size)
    changes = size.changes_per_s * PARTITION_S
    missed = min(1.0, changes * size.watched_services / size.services)
    messages = nodes * (2 + missed) + _count_pushes(size, min(size.services, nodes))
    share = messages / size.voters
    return EventCost(
        "The region returns",
        messages,
        share,
        share * compute_push_us(result) / US_PER_SECOND,
        size.heartbeat_s + share * compute_push_us(result) / US_PER_SECOND,
        "calls are served again from the first confirmed heartbeat on",
        "never an older configuration: what changed is pushed before the confirmation counts",
    )
