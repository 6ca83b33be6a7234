"""Keep every service's claim group complete, as a task of the control leader."""

import collections
import logging
import random
from collections.abc import Awaitable, Callable, Mapping

import msgspec
import trio

from bendwind_core.claims import (
    REQUIRED_MEMBERS,
    AliveNodes,
    ChangeClaimGroup,
    ClaimCopied,
    ClaimGroup,
    ClaimLeave,
    choose_claim_group,
    index_alive_nodes,
    is_group_complete,
    parse_incarnation,
    parse_node_name,
)
from bendwind_core.core import Seconds
from bendwind_core.timeline import Recorder
from bendwind_core.world import Instance, Repeat, Service
from bendwind_node.guarded_tasks import record_task_failure

PLACEMENT_INTERVAL: Seconds = 0.5
LEAVE_NOTICE_RETENTION: Seconds = 30.0
# A group without live holders grants nothing anyway, and a holder that is only disconnected may
# still reconnect before the group is declared lost.
LOSS_CONFIRMATION_DELAY: Seconds = 30.0

_LOG = logging.getLogger("bendwind")


class PlacementView(msgspec.Struct, frozen=True):
    """Hold the leader's view: services, groups, live nodes and each service's owner nodes.

    `newest_incarnations` holds the newest incarnation of every node that was reported to this voter
    since it started, or since control was last without a quorum. `is_return_period_over` is set if
    that was long enough ago for every live node to have reconnected.
    Units: `leader_for` is the time since this voter became leader, in seconds. Before one lease has
    passed, a node that has not renewed its lease is not known to be dead.
    """

    leader_for: Seconds
    services: tuple[Service, ...]
    groups: Mapping[str, ClaimGroup]
    alive: tuple[Instance, ...]
    owners: Mapping[str, frozenset[str]]
    newest_incarnations: Mapping[str, int]
    is_return_period_over: bool


def needs_claims(service: Service) -> bool:
    """Return whether a service may have requests that are marked as not repeatable.

    Routes require no keys, so a service that only routes lead to needs no claims.
    """
    if service.routed_only:
        return False
    for rule in service.rules:
        if rule.repeat is Repeat.NEVER:
            return True
        if rule.path == "*" and not rule.methods:
            return False
    return True


class ClaimPlacer:
    """Propose changes of claim groups while this voter is the leader."""

    __slots__ = (
        "copy_reports",
        "lease",
        "leaving",
        "lost_since",
        "propose",
        "recorder",
        "rng",
        "view",
    )

    def __init__(
        self,
        view: Callable[[], PlacementView | None],
        propose: Callable[[ChangeClaimGroup], Awaitable[object]],
        rng: random.Random,
        lease: Seconds,
        recorder: Recorder,
    ):
        self.view = view
        self.propose = propose
        self.rng = rng
        self.lease = lease
        self.recorder = recorder
        self.copy_reports: dict[str, ClaimCopied] = {}
        self.leaving: dict[str, Seconds] = {}
        self.lost_since: dict[str, Seconds] = {}

    def receive(self, message: ClaimCopied | ClaimLeave) -> None:
        """Record a finished copy, or a member that is about to stop."""
        match message:
            case ClaimCopied(service=service):
                self.copy_reports[service] = message
            case ClaimLeave(member=member):
                self.leaving[member] = trio.current_time()

    async def run(self) -> None:
        """Check every group twice a second until cancelled."""
        while True:
            await self.propose_changes()
            await trio.sleep(PLACEMENT_INTERVAL)

    async def propose_changes(self) -> None:
        """Propose at most one change for each group."""
        view = self.view()
        if view is None:
            return
        self._remove_expired(view)
        alive = index_alive_nodes(view.alive)
        group_counts = _count_memberships(view.groups)
        for service in view.services:
            if not needs_claims(service):
                continue
            # Nothing has been applied yet, and the groups of the other services must not wait.
            try:
                await self._propose_change(service.name, view, alive, group_counts)
            except Exception as error:
                record_task_failure(self.recorder, error, f"place claims of {service.name!a}")

    async def _propose_change(
        self,
        service: str,
        view: PlacementView,
        alive: AliveNodes,
        group_counts: collections.Counter[str],
    ) -> None:
        current = view.groups.get(service)
        if current is not None and self._needs_no_change(current, alive):
            self.lost_since.pop(service, None)
            return
        if not self._can_place(service, current, view):
            return
        group = self._choose_group(service, view, alive, group_counts)
        if self._is_change_due(service, group):
            epoch = current.epoch if current else 0
            await self.propose(ChangeClaimGroup(group, epoch))
            group_counts.update(parse_node_name(member) for member in group.members)

    def _needs_no_change(self, group: ClaimGroup, alive: AliveNodes) -> bool:
        is_staying = not any(member in self.leaving for member in group.members)
        return is_staying and is_group_complete(group, alive)

    def _can_place(self, service: str, current: ClaimGroup | None, view: PlacementView) -> bool:
        if current is not None:
            return _is_absence_conclusive(current, view)
        # Nodes that have not connected yet may be better holders, but one lease is long enough to
        # wait for them.
        owners = view.owners.get(service, frozenset())
        return len(owners) >= REQUIRED_MEMBERS or view.leader_for >= self.lease

    def _is_change_due(self, service: str, group: ClaimGroup | None) -> bool:
        """Return whether a change is due; the loss of every holder counts only after a delay."""
        if group is None or not group.lost:
            self.lost_since.pop(service, None)
            return group is not None
        now = trio.current_time()
        return now - self.lost_since.setdefault(service, now) >= LOSS_CONFIRMATION_DELAY

    def _choose_group(
        self,
        service: str,
        view: PlacementView,
        alive: AliveNodes,
        group_counts: collections.Counter[str],
    ) -> ClaimGroup | None:
        current = view.groups.get(service)
        copy_report = self.copy_reports.get(service)
        is_current = (
            copy_report is not None and current is not None and copy_report.epoch == current.epoch
        )
        return choose_claim_group(
            service,
            current,
            alive,
            self.rng,
            owners=view.owners.get(service, frozenset()),
            leaving=tuple(self.leaving),
            copied_member=copy_report.joining if is_current else None,
            group_counts=group_counts,
        )

    def _remove_expired(self, view: PlacementView) -> None:
        horizon = trio.current_time() - LEAVE_NOTICE_RETENTION
        self.leaving = {m: since for m, since in self.leaving.items() if since > horizon}
        names = {service.name for service in view.services}
        self.copy_reports = {
            name: copy_report for name, copy_report in self.copy_reports.items() if name in names
        }


def _is_absence_conclusive(group: ClaimGroup, view: PlacementView) -> bool:
    """Return whether an absent member is known to be dead, rather than not reported yet."""
    return view.is_return_period_over or all(
        _has_been_reported(member, view) for member in group.members
    )


def _has_been_reported(member: str, view: PlacementView) -> bool:
    newest = view.newest_incarnations.get(parse_node_name(member))
    return newest is not None and parse_incarnation(member) <= newest


def _count_memberships(groups: Mapping[str, ClaimGroup]) -> collections.Counter[str]:
    return collections.Counter(
        parse_node_name(member) for group in groups.values() for member in group.members
    )
