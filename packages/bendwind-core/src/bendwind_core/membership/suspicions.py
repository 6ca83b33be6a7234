"""Distribute reports on suspect requests from owner nodes to voters and on to entry nodes."""

from collections.abc import Iterable

from bendwind_core.core import Seconds
from bendwind_core.membership.events import RegistryEffect, SendTo
from bendwind_core.membership.messages import SuspectReports, Watch
from bendwind_core.membership.state import VoterRegistry
from bendwind_core.suspicion import (
    SuspectReport,
    create_report,
    list_restricted,
    merge_and_queue_report,
    pop_unreported,
    remove_expired,
)

# Interval at which reports that restrict a request are repeated to the other voters. Within it, a
# voter that was partitioned or missed a message catches up with the others; nodes may take three
# times as long.
REPEAT_INTERVAL: Seconds = 1.0
# Limits the size of a message: the report on a suspect with three ends takes some 200 bytes.
_REPORTS_PER_MESSAGE = 50


def merge_suspects(registry: VoterRegistry, message: SuspectReports, now: Seconds) -> None:
    """Merge reports of a node or another voter; new ones are forwarded at the next flush."""
    for report in message.suspects:
        merge_and_queue_report(registry.suspects, report, now)


def flush_suspects(registry: VoterRegistry, effects: list[RegistryEffect], now: Seconds) -> None:
    """Send new reports on suspects to the other voters and to the nodes that watch the service."""
    if registry.suspects.unreported:
        reports = pop_unreported(registry.suspects, now)
        for voter in registry.peers:
            _send(voter, reports, effects)
        _push_to_watchers(registry, reports, effects)
    if registry.suspects.suspects and now >= registry.next_suspects_repeat_at:
        registry.next_suspects_repeat_at = now + REPEAT_INTERVAL
        remove_expired(registry.suspects, now)
        restricted = list_restricted(registry.suspects, now)
        for voter in registry.peers:
            _send(voter, restricted, effects)


def _push_to_watchers(
    registry: VoterRegistry, reports: tuple[SuspectReport, ...], effects: list[RegistryEffect]
) -> None:
    by_service: dict[str, list[SuspectReport]] = {}
    for report in reports:
        by_service.setdefault(report.service, []).append(report)
    for service, suspects in by_service.items():
        row = registry.services.get(service)
        for node in row.watchers if row is not None else ():
            _send(node, suspects, effects)


def send_known_suspects(
    registry: VoterRegistry, watch: Watch, effects: list[RegistryEffect], now: Seconds
) -> None:
    """Send a node the reports on suspect requests of the services that it watches."""
    services = frozenset(watch.services)
    known = registry.suspects.suspects.values()
    _send(
        watch.node,
        [create_report(suspect, now) for suspect in known if suspect.service in services],
        effects,
    )


def _send(to: str, suspects: Iterable[SuspectReport], effects: list[RegistryEffect]) -> None:
    report = tuple(suspects)
    for start in range(0, len(report), _REPORTS_PER_MESSAGE):
        effects.append(SendTo(to, SuspectReports(report[start : start + _REPORTS_PER_MESSAGE])))
