"""Decide which nodes hold the claims of a service, one change of the group at a time."""

import collections
import random
from collections.abc import Collection

from bendwind_core.claims.group import ClaimGroup
from bendwind_core.claims.members import member_of
from bendwind_core.world import Instance

REQUIRED_MEMBERS = 3


def choose_claim_group(
    service: str,
    group: ClaimGroup | None,
    alive: tuple[Instance, ...],
    rng: random.Random,
    *,
    own: Collection[str] = (),
    leaving: Collection[str] = (),
    copied: str | None = None,
    held: collections.Counter[str] | None = None,
    required: int = REQUIRED_MEMBERS,
) -> ClaimGroup | None:
    """Return the next group of a service, or None when the present one should stay.

    `own` names the nodes beside the service's upstreams, which are taken first; `leaving` holds
    members that are about to stop; `copied` is the joining member once it holds every claim;
    `held` counts the groups that each node is in already.
    """
    candidates = _Candidates(alive, frozenset(own), frozenset(leaving), held or {}, rng)
    if group is None:
        members = candidates.pick((), required)
        return ClaimGroup(service, 1, members) if members else None
    present = {member_of(instance) for instance in alive}
    remaining = tuple(member for member in group.members if member in present)
    if not remaining:
        return None if group.lost else _next(group, group.members, None, lost=True)
    return _repair(group, remaining, present, candidates, copied, required)


class _Candidates:
    """Rank the nodes that may join a group."""

    __slots__ = ("by_member", "held", "leaving", "own", "rng")

    def __init__(self, alive, own, leaving, held, rng):
        self.by_member = {member_of(instance): instance for instance in alive}
        self.own = own
        self.leaving = leaving
        self.held = held
        self.rng = rng

    def pick(self, members: tuple[str, ...], count: int) -> tuple[str, ...]:
        """Return up to `count` further members, spread over data centres."""
        picked: list[str] = []
        for _ in range(count):
            member = self._pick_one((*members, *picked))
            if member is None:
                break
            picked.append(member)
        return tuple(picked)

    def _pick_one(self, members: tuple[str, ...]) -> str | None:
        used = collections.Counter(
            self.by_member[member].data_centre for member in members if member in self.by_member
        )
        free = [m for m in self.by_member if m not in members and m not in self.leaving]
        if not free:
            return None
        ranks = {member: self._rank(member, used) for member in free}
        best = min(ranks.values())
        return self.rng.choice(sorted(member for member in free if ranks[member] == best))

    def _rank(self, member: str, used: collections.Counter[str]) -> tuple[int, bool, int]:
        instance = self.by_member[member]
        is_foreign = instance.name not in self.own
        return used[instance.data_centre], is_foreign, self.held.get(instance.name, 0)


def _repair(
    group: ClaimGroup,
    remaining: tuple[str, ...],
    present: set[str],
    candidates: _Candidates,
    copied: str | None,
    required: int,
) -> ClaimGroup | None:
    joining = group.joining if group.joining in present else None
    if group.lost or remaining != group.members:
        return _next(group, remaining, joining)
    if joining is not None:
        return (
            _next(group, (*remaining, joining), None)
            if copied == joining
            else _unless_same(group, remaining, joining)
        )
    staying = tuple(member for member in remaining if member not in candidates.leaving)
    if len(staying) >= required:
        return _unless_same(group, staying, None)
    joiners = candidates.pick(remaining, 1)
    if joiners:
        return _next(group, remaining, joiners[0])
    # Nobody can replace a leaving member, so only one that is not the last holder may go.
    return _unless_same(group, staying or remaining, None)


def _unless_same(
    group: ClaimGroup, members: tuple[str, ...], joining: str | None
) -> ClaimGroup | None:
    if members == group.members and joining == group.joining:
        return None
    return _next(group, members, joining)


def _next(
    group: ClaimGroup, members: tuple[str, ...], joining: str | None, lost: bool = False
) -> ClaimGroup:
    return ClaimGroup(group.service, group.epoch + 1, members, joining, lost)
