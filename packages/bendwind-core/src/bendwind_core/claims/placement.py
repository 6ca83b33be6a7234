"""Choose the nodes that hold a service's claims, one change of the group at a time."""

import collections
import random
from collections.abc import Collection, Iterable, Mapping

import msgspec

from bendwind_core.claims.group import ClaimGroup
from bendwind_core.claims.members import format_member
from bendwind_core.world import Instance

REQUIRED_MEMBERS = 3
# If every node were ranked for every group, the leader of a large cluster would be busy for
# seconds.
MAX_SAMPLED_NODES = 64


class AliveNodes(msgspec.Struct, frozen=True):
    """Index the live nodes by member and by name; one index serves many groups."""

    by_member: Mapping[str, Instance]
    by_name: Mapping[str, str]
    members: tuple[str, ...]


def index_alive_nodes(alive: Iterable[Instance]) -> AliveNodes:
    """Return an index of the live nodes."""
    by_member = {format_member(instance): instance for instance in alive}
    by_name = {instance.name: member for member, instance in by_member.items()}
    return AliveNodes(by_member, by_name, tuple(by_member))


def is_group_complete(
    group: ClaimGroup, alive: AliveNodes, required: int = REQUIRED_MEMBERS
) -> bool:
    """Return whether a group has all required members, all alive, and no joining member."""
    is_complete = len(group.members) == required and group.joining is None
    return is_complete and all(member in alive.by_member for member in group.members)


def choose_claim_group(
    service: str,
    group: ClaimGroup | None,
    alive: AliveNodes,
    rng: random.Random,
    *,
    owners: Collection[str] = (),
    leaving: Collection[str] = (),
    copied_member: str | None = None,
    group_counts: collections.Counter[str] | None = None,
    required: int = REQUIRED_MEMBERS,
) -> ClaimGroup | None:
    """Return the next group of a service, or None if the current group should stay.

    `owners` names the nodes beside the service's upstreams, which are preferred; `leaving` holds
    members that are about to stop; `copied_member` is the joining member as soon as it stores
    every claim; `group_counts` counts the groups to which each node already belongs.
    """
    candidates = _Candidates(alive, owners, frozenset(leaving), group_counts or {}, rng)
    if group is None:
        members = candidates.pick((), required)
        return ClaimGroup(service, 1, members) if members else None
    remaining = tuple(member for member in group.members if member in alive.by_member)
    if not remaining:
        return None if group.lost else _create_next_group(group, group.members, None, lost=True)
    return _repair(group, remaining, candidates, copied_member, required)


class _Candidates:
    """Rank the nodes that may join a group: the service's owners and a sample of the others."""

    __slots__ = ("alive", "group_counts", "leaving", "owners", "rng")

    def __init__(
        self,
        alive: AliveNodes,
        owners: Collection[str],
        leaving: frozenset[str],
        group_counts: Mapping[str, int],
        rng: random.Random,
    ):
        self.alive = alive
        self.owners = frozenset(owners)
        self.leaving = leaving
        self.group_counts = group_counts
        self.rng = rng

    def pick(self, members: tuple[str, ...], count: int) -> tuple[str, ...]:
        """Return up to `count` additional members, spread over data centres."""
        pool = self._find_pool()
        picked: list[str] = []
        for _ in range(count):
            member = self._pick_one((*members, *picked), pool)
            if member is None:
                break
            picked.append(member)
        return tuple(picked)

    def _find_pool(self) -> set[str]:
        by_name = self.alive.by_name
        pool = {by_name[name] for name in self.owners if name in by_name}
        others = self.alive.members
        pool.update(
            others
            if len(others) <= MAX_SAMPLED_NODES
            else self.rng.sample(others, MAX_SAMPLED_NODES)
        )
        return pool - self.leaving

    def _pick_one(self, members: tuple[str, ...], pool: set[str]) -> str | None:
        by_member = self.alive.by_member
        used = collections.Counter(
            by_member[member].data_centre for member in members if member in by_member
        )
        ranks = {member: self._rank(member, used) for member in pool if member not in members}
        if not ranks:
            return None
        best = min(ranks.values())
        return self.rng.choice(sorted(member for member, rank in ranks.items() if rank == best))

    def _rank(self, member: str, used: collections.Counter[str]) -> tuple[int, bool, int]:
        instance = self.alive.by_member[member]
        is_not_owner = instance.name not in self.owners
        return used[instance.data_centre], is_not_owner, self.group_counts.get(instance.name, 0)


def _repair(
    group: ClaimGroup,
    remaining: tuple[str, ...],
    candidates: _Candidates,
    copied_member: str | None,
    required: int,
) -> ClaimGroup | None:
    joining = group.joining if group.joining in candidates.alive.by_member else None
    if group.lost or remaining != group.members:
        return _create_next_group(group, remaining, joining)
    if joining is not None:
        return (
            _create_next_group(group, (*remaining, joining), None)
            if copied_member == joining
            else _change_if_different(group, remaining, joining)
        )
    staying = tuple(member for member in remaining if member not in candidates.leaving)
    if len(staying) >= required:
        return _change_if_different(group, staying, None)
    joiners = candidates.pick(remaining, 1)
    if joiners:
        return _create_next_group(group, remaining, joiners[0])
    # No replacement for a leaving member exists, so it may leave only if another member stays.
    return _change_if_different(group, staying or remaining, None)


def _change_if_different(
    group: ClaimGroup, members: tuple[str, ...], joining: str | None
) -> ClaimGroup | None:
    if members == group.members and joining == group.joining:
        return None
    return _create_next_group(group, members, joining)


def _create_next_group(
    group: ClaimGroup, members: tuple[str, ...], joining: str | None, lost: bool = False
) -> ClaimGroup:
    return ClaimGroup(group.service, group.epoch + 1, members, joining, lost)
