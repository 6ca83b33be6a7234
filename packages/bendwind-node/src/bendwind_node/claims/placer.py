"""Keep every service's claim group whole, as a task of the control leader."""

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
from bendwind_core.world import Instance, Repeat, Service

PLACEMENT_INTERVAL: Seconds = 0.5
LEAVE_NOTICE_RETENTION: Seconds = 30.0
# A lost group serves nobody anyway, and a holder that was only cut off may yet return.
LOSS_CONFIRMATION_DELAY: Seconds = 30.0

_LOG = logging.getLogger("bendwind")


class PlacementView(msgspec.Struct, frozen=True):
    """Hold what the leader knows: services, groups, living nodes and each service's own nodes.

    `heard` gives the newest incarnation of every node this voter has heard of since it started or
    since control was last without a quorum; `is_settled` says that this was long enough ago for
    every living node to have come back.
    Units: `led_for` is the time since this voter became leader, in seconds; before a lease has
    passed, a node that has not renewed yet is not known to be dead.
    """

    leader_for: Seconds
    services: tuple[Service, ...]
    groups: Mapping[str, ClaimGroup]
    alive: tuple[Instance, ...]
    owners: Mapping[str, frozenset[str]]
    newest_incarnations: Mapping[str, int]
    is_return_period_over: bool


def needs_claims(service: Service) -> bool:
    """Tell whether any request of a service may be marked not to be repeated.

    Routes ask for no keys, so that a service which only they lead to needs no claims.
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
    """Propose changes of claim groups while this voter leads."""

    __slots__ = ("copied", "lease", "leaving", "lost_since", "propose", "rng", "view")

    def __init__(
        self,
        view: Callable[[], PlacementView | None],
        propose: Callable[[ChangeClaimGroup], Awaitable[object]],
        rng: random.Random,
        lease: Seconds,
    ):
        self.view = view
        self.propose = propose
        self.rng = rng
        self.lease = lease
        self.copied: dict[str, ClaimCopied] = {}
        self.leaving: dict[str, Seconds] = {}
        self.lost_since: dict[str, Seconds] = {}

    def receive(self, message: ClaimCopied | ClaimLeave) -> None:
        """Take note of a finished copy or of a member that is about to stop."""
        match message:
            case ClaimCopied(service=service):
                self.copied[service] = message
            case ClaimLeave(member=member):
                self.leaving[member] = trio.current_time()

    async def run(self) -> None:
        """Look at every group twice a second until cancelled."""
        while True:
            await self.place_all()
            await trio.sleep(PLACEMENT_INTERVAL)

    async def place_all(self) -> None:
        """Propose at most one change of each group."""
        view = self.view()
        if view is None:
            return
        self._remove_expired(view)
        alive = index_alive_nodes(view.alive)
        group_counts = _count_memberships(view.groups)
        for service in view.services:
            if not needs_claims(service):
                continue
            current = view.groups.get(service.name)
            if current is not None and self._needs_no_change(current, alive):
                self.lost_since.pop(service.name, None)
                continue
            if not self._can_place(service.name, current, view):
                continue
            group = self._choose(service.name, view, alive, group_counts)
            if self._is_change_due(service.name, group):
                epoch = current.epoch if current else 0
                await self.propose(ChangeClaimGroup(group, epoch))
                group_counts.update(parse_node_name(member) for member in group.members)

    def _needs_no_change(self, group: ClaimGroup, alive: AliveNodes) -> bool:
        is_staying = not any(member in self.leaving for member in group.members)
        return is_staying and is_group_complete(group, alive)

    def _can_place(self, service: str, current: ClaimGroup | None, view: PlacementView) -> bool:
        if current is not None:
            return _is_absence_conclusive(current, view)
        # Nodes that are still to be heard of may be the better holders, but a lease is enough.
        own = view.owners.get(service, frozenset())
        return len(own) >= REQUIRED_MEMBERS or view.leader_for >= self.lease

    def _is_change_due(self, service: str, group: ClaimGroup | None) -> bool:
        """Tell whether a change is due; the loss of every holder only after a while."""
        if group is None or not group.lost:
            self.lost_since.pop(service, None)
            return group is not None
        now = trio.current_time()
        return now - self.lost_since.setdefault(service, now) >= LOSS_CONFIRMATION_DELAY

    def _choose(
        self,
        service: str,
        view: PlacementView,
        alive: AliveNodes,
        group_counts: collections.Counter[str],
    ) -> ClaimGroup | None:
        current = view.groups.get(service)
        copy_report = self.copied.get(service)
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
        self.copied = {
            name: copy_report for name, copy_report in self.copied.items() if name in names
        }


def _is_absence_conclusive(group: ClaimGroup, view: PlacementView) -> bool:
    """Tell whether the absence of a member means its end, and not that it was never heard of."""
    return view.is_return_period_over or all(
        _has_been_reported(member, view) for member in group.members
    )


def _has_been_reported(member: str, view: PlacementView) -> bool:
    newest_incarnations = view.newest_incarnations.get(parse_node_name(member))
    return newest_incarnations is not None and parse_incarnation(member) <= newest_incarnations


def _count_memberships(groups: Mapping[str, ClaimGroup]) -> collections.Counter[str]:
    return collections.Counter(
        parse_node_name(member) for group in groups.values() for member in group.members
    )
