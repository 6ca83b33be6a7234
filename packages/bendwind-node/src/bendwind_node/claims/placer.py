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
    incarnation_of,
    index_alive,
    is_whole,
    node_of,
)
from bendwind_core.core import Seconds
from bendwind_core.world import Instance, Repeat, Service

PLACE_EVERY: Seconds = 0.5
REMEMBER_LEAVING: Seconds = 30.0
# A lost group serves nobody anyway, and a holder that was only cut off may yet return.
LOST_AFTER: Seconds = 30.0

_LOG = logging.getLogger("bendwind")


class PlacementView(msgspec.Struct, frozen=True):
    """Hold what the leader knows: services, groups, living nodes and each service's own nodes.

    `heard` gives the newest incarnation of every node this voter has heard of since it started or
    since control was last without a quorum; `is_settled` says that this was long enough ago for
    every living node to have come back.
    Units: `led_for` is the time since this voter became leader, in seconds; before a lease has
    passed, a node that has not renewed yet is not known to be dead.
    """

    led_for: Seconds
    services: tuple[Service, ...]
    groups: Mapping[str, ClaimGroup]
    alive: tuple[Instance, ...]
    owners: Mapping[str, frozenset[str]]
    heard: Mapping[str, int]
    is_settled: bool


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

    __slots__ = ("copied", "lease", "leaving", "missing_since", "propose", "rng", "view")

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
        self.missing_since: dict[str, Seconds] = {}

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
            await trio.sleep(PLACE_EVERY)

    async def place_all(self) -> None:
        """Propose at most one change of each group."""
        view = self.view()
        if view is None:
            return
        self._forget_old(view)
        alive = index_alive(view.alive)
        held = _count_memberships(view.groups)
        for service in view.services:
            if not needs_claims(service):
                continue
            present = view.groups.get(service.name)
            if present is not None and self._is_settled(present, alive):
                self.missing_since.pop(service.name, None)
                continue
            if not self._may_place(service.name, present, view):
                continue
            group = self._choose(service.name, view, alive, held)
            if self._is_missing_long_enough(service.name, group):
                epoch = present.epoch if present else 0
                await self.propose(ChangeClaimGroup(group, epoch))
                held.update(node_of(member) for member in group.members)

    def _is_settled(self, group: ClaimGroup, alive: AliveNodes) -> bool:
        is_staying = not any(member in self.leaving for member in group.members)
        return is_staying and is_whole(group, alive)

    def _may_place(self, service: str, present: ClaimGroup | None, view: PlacementView) -> bool:
        if present is not None:
            return _may_judge(present, view)
        # Nodes that are still to be heard of may be the better holders, but a lease is enough.
        own = view.owners.get(service, frozenset())
        return len(own) >= REQUIRED_MEMBERS or view.led_for >= self.lease

    def _is_missing_long_enough(self, service: str, group: ClaimGroup | None) -> bool:
        """Tell whether a change is due; the loss of every holder only after a while."""
        if group is None or not group.lost:
            self.missing_since.pop(service, None)
            return group is not None
        now = trio.current_time()
        return now - self.missing_since.setdefault(service, now) >= LOST_AFTER

    def _choose(
        self,
        service: str,
        view: PlacementView,
        alive: AliveNodes,
        held: collections.Counter[str],
    ) -> ClaimGroup | None:
        present = view.groups.get(service)
        notice = self.copied.get(service)
        is_current = notice is not None and present is not None and notice.epoch == present.epoch
        return choose_claim_group(
            service,
            present,
            alive,
            self.rng,
            own=view.owners.get(service, frozenset()),
            leaving=tuple(self.leaving),
            copied=notice.joining if is_current else None,
            held=held,
        )

    def _forget_old(self, view: PlacementView) -> None:
        horizon = trio.current_time() - REMEMBER_LEAVING
        self.leaving = {m: since for m, since in self.leaving.items() if since > horizon}
        names = {service.name for service in view.services}
        self.copied = {name: notice for name, notice in self.copied.items() if name in names}


def _may_judge(group: ClaimGroup, view: PlacementView) -> bool:
    """Tell whether the absence of a member means its end, and not that it was never heard of."""
    return view.is_settled or all(_is_known(member, view) for member in group.members)


def _is_known(member: str, view: PlacementView) -> bool:
    heard = view.heard.get(node_of(member))
    return heard is not None and incarnation_of(member) <= heard


def _count_memberships(groups: Mapping[str, ClaimGroup]) -> collections.Counter[str]:
    return collections.Counter(
        node_of(member) for group in groups.values() for member in group.members
    )
