"""Synchronise the registries of all voters by gossip and by digests of their contents."""

import random
from collections.abc import Iterable

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.membership import pushes
from bendwind_core.membership.events import (
    MemberAppeared,
    MemberLost,
    RegistryEffect,
    SendTo,
)
from bendwind_core.membership.member import Member, find_bucket, merge_states, put_state
from bendwind_core.membership.messages import (
    MemberDigest,
    MemberGossip,
    MemberPull,
    MemberState,
    VoterPlace,
)
from bendwind_core.membership.state import Client, VoterRegistry
from bendwind_core.membership.upstream_updates import mark_dirty
from bendwind_core.world import Upstream, UpstreamState

_CHANGES_INTERVAL = 0.1
_KEEPALIVE_INTERVAL = 0.5
_DIGEST_INTERVAL = 5.0
_MEMBERS_PER_MESSAGE = 100


def register(
    registry: VoterRegistry, state: MemberState, effects: list[RegistryEffect], now: Seconds
) -> None:
    """Merge a state that this voter observed itself and queue it for the other voters."""
    if _merge_state(registry, state, effects, now):
        registry.changed_members[state.node.name] = None


def _merge_state(
    registry: VoterRegistry, state: MemberState, effects: list[RegistryEffect], now: Seconds
) -> bool:
    name = state.node.name
    member = registry.members.get(name)
    merged = merge_states(member.state, state) if member else state
    if member and merged == member.state:
        return False
    if member is None:
        member = registry.members[name] = Member(state, now)
    before = member.state.upstreams if member.is_visible else ()
    registry.buckets[find_bucket(name)] ^= put_state(member, merged, now)
    _update_visibility(registry, member, effects, now)
    _mark_changes(registry, name, before, member)
    return True


def _mark_changes(
    registry: VoterRegistry, name: str, before: tuple[Upstream, ...], member: Member
) -> None:
    after = member.state.upstreams if member.is_visible else ()
    is_leaving = any(upstream.state is UpstreamState.DRAINING for upstream in after)
    mark_dirty(registry, name, (*before, *after), is_urgent=is_leaving)


def _is_reachable(registry: VoterRegistry, voter: str) -> bool:
    is_peer = voter in registry.peers and voter not in registry.lost_voters
    return is_peer or voter == registry.name


def _update_visibility(
    registry: VoterRegistry, member: Member, effects: list[RegistryEffect], now: Seconds
) -> None:
    state = member.state
    is_visible = state.is_alive and _is_reachable(registry, state.home)
    if is_visible == member.is_visible:
        return
    member.is_visible = is_visible
    member.changed_at = now
    effects.append(MemberAppeared(state.node) if is_visible else MemberLost(state.node))


def handle_gossip(
    registry: VoterRegistry, message: MemberGossip, effects: list[RegistryEffect], now: Seconds
) -> None:
    """Merge states from another voter, and correct those that are older than this voter's own."""
    if message.voter not in registry.peers:
        return
    registry.peers[message.voter] = now
    if message.voter in registry.lost_voters:
        registry.lost_voters.discard(message.voter)
        _update_members_of_voter(registry, message.voter, effects, now)
    for state in message.members:
        _handle_state(registry, state, effects, now)


def _handle_state(
    registry: VoterRegistry, state: MemberState, effects: list[RegistryEffect], now: Seconds
) -> None:
    name = state.node.name
    if name not in registry.members and not state.is_alive:
        # If a removed death were merged again, it would circulate between the voters for ever.
        return
    if not _merge_state(registry, state, effects, now):
        return
    merged = registry.members[name].state
    client = registry.clients.get(name)
    is_attached_here = merged.home == registry.name and merged.is_alive
    if client is None:
        if is_attached_here:
            # An earlier run of this voter registered the node, which has one lease to renew.
            registry.clients[name] = Client(merged.node.incarnation, merged.beat, now)
    elif client.incarnation < merged.node.incarnation:
        pushes.remove_client(registry, name)
    elif not is_attached_here and client.sequence > merged.beat:
        corrected = msgspec.structs.replace(
            merged, home=registry.name, beat=client.sequence, is_alive=True
        )
        register(registry, corrected, effects, now)
    elif not is_attached_here:
        pushes.remove_client(registry, name)


def handle_digest(
    registry: VoterRegistry, message: MemberDigest, effects: list[RegistryEffect]
) -> None:
    """Send and request the members of the buckets that differ."""
    pairs = enumerate(zip(registry.buckets, message.buckets, strict=False))
    differing = tuple(index for index, (ours, theirs) in pairs if ours != theirs)
    if not differing:
        return
    effects.append(SendTo(message.voter, MemberPull(registry.name, differing)))
    _send_buckets(registry, message.voter, differing, effects)


def handle_pull(
    registry: VoterRegistry, message: MemberPull, effects: list[RegistryEffect]
) -> None:
    """Send the members of the requested buckets to a voter."""
    _send_buckets(registry, message.voter, message.buckets, effects)


def _send_buckets(
    registry: VoterRegistry, voter: str, buckets: Iterable[int], effects: list[RegistryEffect]
) -> None:
    wanted = frozenset(buckets)
    states = [
        member.state for name, member in registry.members.items() if find_bucket(name) in wanted
    ]
    _send_states(registry, (voter,), states, effects)


def _send_states(
    registry: VoterRegistry,
    voters: Iterable[str],
    states: list[MemberState],
    effects: list[RegistryEffect],
) -> None:
    for start in range(0, len(states), _MEMBERS_PER_MESSAGE):
        part = tuple(states[start : start + _MEMBERS_PER_MESSAGE])
        message = MemberGossip(registry.name, part)
        effects.extend(SendTo(voter, message) for voter in voters)


def send_due_gossip(
    registry: VoterRegistry, effects: list[RegistryEffect], now: Seconds, rng: random.Random
) -> None:
    """Send changed members, a keepalive and a digest when each is due."""
    since = now - registry.gossip_sent_at
    if since >= _KEEPALIVE_INTERVAL or (registry.changed_members and since >= _CHANGES_INTERVAL):
        registry.gossip_sent_at = now
        _send_changed_members(registry, effects)
    if now >= registry.next_digest_at and registry.peers:
        registry.next_digest_at = now + _DIGEST_INTERVAL * rng.uniform(0.5, 1.0)
        partner = rng.choice(list(registry.peers))
        digest = MemberDigest(registry.name, tuple(registry.buckets))
        effects.append(SendTo(partner, digest))


def _send_changed_members(registry: VoterRegistry, effects: list[RegistryEffect]) -> None:
    states = [registry.members[name].state for name in registry.changed_members]
    registry.changed_members.clear()
    if states:
        _send_states(registry, registry.peers, states, effects)
    else:
        message = MemberGossip(registry.name)
        effects.extend(SendTo(voter, message) for voter in registry.peers)


def hide_members_of_lost_voters(
    registry: VoterRegistry, effects: list[RegistryEffect], now: Seconds
) -> None:
    """Stop considering nodes alive whose home voter has sent no gossip for a lease.

    A voter without a confirmation within the lease may itself be partitioned, so it hides none.
    """
    confirmed = registry.confirmed_round_started_at
    lease = registry.times.lease
    if confirmed is None or now - confirmed >= lease:
        return
    for voter, received_at in registry.peers.items():
        if now - received_at >= lease and voter not in registry.lost_voters:
            registry.lost_voters.add(voter)
            _update_members_of_voter(registry, voter, effects, now)


def _update_members_of_voter(
    registry: VoterRegistry, voter: str, effects: list[RegistryEffect], now: Seconds
) -> None:
    for name, member in registry.members.items():
        if member.state.home == voter:
            before = member.state.upstreams if member.is_visible else ()
            _update_visibility(registry, member, effects, now)
            _mark_changes(registry, name, before, member)


def set_voters(
    registry: VoterRegistry,
    voters: tuple[VoterPlace, ...],
    effects: list[RegistryEffect],
    now: Seconds,
) -> None:
    """Replace the set of voters and queue it for the attached nodes."""
    registry.voters = voters
    registry.clients_awaiting_voters.update(dict.fromkeys(registry.clients))
    peers = [voter.name for voter in voters if voter.name != registry.name]
    changed = set(peers) ^ set(registry.peers)
    registry.peers = {voter: registry.peers.get(voter, now) for voter in peers}
    registry.lost_voters.intersection_update(peers)
    for voter in changed:
        _update_members_of_voter(registry, voter, effects, now)


def remove_dead_members(registry: VoterRegistry, before: Seconds) -> None:
    """Remove members that have been dead or hidden since before the time `before`."""
    names = [
        name
        for name, member in registry.members.items()
        if not member.is_visible and member.changed_at < before
    ]
    for name in names:
        member = registry.members.pop(name)
        registry.buckets[find_bucket(name)] ^= member.digest
        registry.changed_members.pop(name, None)
