"""Apply events to a voter's registry: live nodes, their registrations, replies and pushes."""

import random

import msgspec

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.membership import gossip, pushes
from bendwind_core.membership.accepted_state import accept_configuration, accept_drain_marks
from bendwind_core.membership.events import (
    ConfigurationAccepted,
    DrainMarksAccepted,
    LinkLost,
    MessageReceived,
    QuorumConfirmed,
    RegistryEffect,
    RegistryEvent,
    RunOvertaken,
    SendTo,
    Tick,
    VotersChanged,
)
from bendwind_core.membership.messages import (
    Announce,
    ConfigurationQuery,
    Heartbeat,
    HeartbeatReply,
    MemberDigest,
    MemberGossip,
    MemberPull,
    MemberState,
    NodeStatus,
    SuspectReports,
    VoterList,
    VoterPlace,
    Watch,
)
from bendwind_core.membership.query_answers import answer_query
from bendwind_core.membership.settings import LeaseTimes
from bendwind_core.membership.state import Client, VoterRegistry
from bendwind_core.membership.suspicions import (
    flush_suspects,
    merge_suspects,
    send_known_suspects,
)
from bendwind_core.world import Instance

# Dead nodes are removed after this time, in seconds. It is longer than any partition of a voter, so
# that a voter that returns cannot reintroduce a removed node.
_EVICTION_DELAY = 3600.0
# If the time between two ticks exceeds this share of the lease, the voter itself was stopped.
_PAUSE_SHARE = 0.5


def create_voter_registry(
    name: str, voters: tuple[VoterPlace, ...], times: LeaseTimes, now: Seconds
) -> VoterRegistry:
    """Create the registry of a voter that has just started, without any nodes."""
    peers = {voter.name: now for voter in voters if voter.name != name}
    return VoterRegistry(name, times, peers, ticked_at=now, no_expiry_until=now, voters=voters)


def step_registry(
    registry: VoterRegistry, event: RegistryEvent, now: Seconds, rng: random.Random
) -> list[RegistryEffect]:
    """Apply an event to a voter's registry and return the effects to carry out."""
    effects: list[RegistryEffect] = []
    match event:
        case Tick():
            _handle_tick(registry, effects, now, rng)
        case MessageReceived(sender=sender, message=message):
            _handle_message(registry, sender, message, effects, now)
        case ConfigurationAccepted(configuration=configuration, claim_groups=claim_groups):
            accept_configuration(registry, configuration, claim_groups)
        case DrainMarksAccepted():
            accept_drain_marks(registry, event)
        case QuorumConfirmed(started=started):
            registry.confirmed_round_started_at = started
        case VotersChanged(voters=voters):
            gossip.set_voters(registry, voters, effects, now)
        case LinkLost(peer=peer):
            if peer in registry.clients:
                registry.clients[peer].pushes.clear()
    return effects


def _handle_tick(
    registry: VoterRegistry, effects: list[RegistryEffect], now: Seconds, rng: random.Random
) -> None:
    _suspend_expiry_after_pause(registry, now)
    if now >= registry.no_expiry_until:
        _expire_clients(registry, effects, now)
        gossip.hide_members_of_lost_voters(registry, effects, now)
    if is_voter(registry):
        # Learners send no gossip, since voters accept it from voters only: ten learners would send
        # five voters 100 useless messages per second while nothing changes.
        gossip.send_due_gossip(registry, effects, now, rng)
        flush_suspects(registry, effects, now)
    pushes.flush(registry, effects)
    if now >= registry.next_eviction_at:
        gossip.remove_dead_members(registry, now - _EVICTION_DELAY)
        registry.next_eviction_at = now + registry.times.lease


def _suspend_expiry_after_pause(registry: VoterRegistry, now: Seconds) -> None:
    if now - registry.ticked_at > _PAUSE_SHARE * registry.times.lease:
        registry.no_expiry_until = now + registry.times.lease
    registry.ticked_at = now


def _expire_clients(registry: VoterRegistry, effects: list[RegistryEffect], now: Seconds) -> None:
    # Each renewal moves its client to the end, so the oldest clients come first.
    limit = now - registry.times.lease
    while registry.clients:
        name, client = next(iter(registry.clients.items()))
        if client.renewed_at >= limit:
            return
        pushes.remove_client(registry, name)
        state = registry.members[name].state
        if state.home == registry.name and state.is_alive:
            dead = msgspec.structs.replace(state, beat=client.sequence, is_alive=False)
            gossip.register(registry, dead, effects, now)


def _handle_message(
    registry: VoterRegistry, sender: str, message, effects: list[RegistryEffect], now: Seconds
) -> None:
    match message:
        case Heartbeat():
            _handle_heartbeat(registry, message, effects, now)
        case Announce():
            _handle_announce(registry, message, effects, now)
        case Watch():
            _handle_watch(registry, message, effects)
            send_known_suspects(registry, message, effects, now)
        case ConfigurationQuery():
            answer_query(registry, message, confirmed_age_ms(registry, now), effects)
        case SuspectReports():
            merge_suspects(registry, message, now)
        case MemberGossip():
            gossip.handle_gossip(registry, message, effects, now)
        case MemberDigest():
            gossip.handle_digest(registry, message, effects)
        case MemberPull():
            gossip.handle_pull(registry, message, effects)


def _is_outdated(registry: VoterRegistry, beat: Heartbeat) -> bool:
    node = beat.node
    order = node.incarnation, beat.sequence
    client = registry.clients.get(node.name)
    if client and order <= (client.incarnation, client.sequence):
        return True
    member = registry.members.get(node.name)
    return member is not None and order <= (member.state.node.incarnation, member.state.beat)


def _find_newest_run(registry: VoterRegistry, name: str) -> int:
    client = registry.clients.get(name)
    member = registry.members.get(name)
    return max(
        0 if client is None else client.incarnation,
        0 if member is None else member.state.node.incarnation,
    )


def _handle_heartbeat(
    registry: VoterRegistry, beat: Heartbeat, effects: list[RegistryEffect], now: Seconds
) -> None:
    node = beat.node
    if _is_outdated(registry, beat):
        newest = _find_newest_run(registry, node.name)
        if node.incarnation < newest:
            effects.append(RunOvertaken(node.name, newest))
        return
    if not is_voter(registry):
        # A learner reports no node to the voters, so the node has to attach to a voter instead.
        effects.append(SendTo(node.name, VoterList(registry.voters)))
        return
    client = registry.clients.get(node.name)
    if client is None or client.incarnation != node.incarnation:
        pushes.remove_client(registry, node.name)
        client = Client(node.incarnation)
        registry.clients_awaiting_voters[node.name] = None
    registry.clients.pop(node.name, None)
    registry.clients[node.name] = client
    client.sequence = beat.sequence
    client.renewed_at = now
    pushes.record_report(client, beat.version, beat.customers)
    _register_member(registry, beat, effects, now)
    _reply(registry, client, beat, effects, now)


def is_voter(registry: VoterRegistry) -> bool:
    """Return whether the process of this registry is one of the voters."""
    return any(voter.name == registry.name for voter in registry.voters)


def _register_member(
    registry: VoterRegistry, beat: Heartbeat, effects: list[RegistryEffect], now: Seconds
) -> None:
    member = registry.members.get(beat.node.name)
    if member:
        state = member.state
        is_same = state.node == beat.node
        if is_same and state.home == registry.name and state.is_alive:
            return
    registered = MemberState(beat.node, registry.name, beat.sequence)
    gossip.register(registry, registered, effects, now)


def _reply(
    registry: VoterRegistry,
    client: Client,
    beat: Heartbeat,
    effects: list[RegistryEffect],
    now: Seconds,
) -> None:
    announced = registry.members[beat.node.name].state.announced
    resync = client.watch != beat.watch or announced != beat.announced
    is_current = False
    is_same = False
    content = None
    if not resync:
        content = pushes.digest_watched(registry, client.services)
        is_current = pushes.push_missing_configuration(registry, beat, client, effects)
        is_same = pushes.compare_digest(registry, beat, client, effects)
    reply = HeartbeatReply(
        beat.sequence,
        registry.configuration.version,
        confirmed_age_ms(registry, now),
        is_current,
        resync,
        is_same,
        content,
    )
    effects.append(SendTo(beat.node.name, reply))


def confirmed_age_ms(registry: VoterRegistry, now: Seconds) -> Milliseconds | None:
    """Return the time since the start of the last confirmed quorum round, None without one."""
    if registry.confirmed_round_started_at is None:
        return None
    return (now - registry.confirmed_round_started_at) * MILLISECONDS_PER_SECOND


def _handle_announce(
    registry: VoterRegistry, announce: Announce, effects: list[RegistryEffect], now: Seconds
) -> None:
    member = registry.members.get(announce.node)
    if member is None or member.state.node.incarnation != announce.incarnation:
        return
    if announce.sequence <= member.state.announced:
        return
    state = msgspec.structs.replace(
        member.state, announced=announce.sequence, upstreams=tuple(announce.upstreams)
    )
    gossip.register(registry, state, effects, now)


def _handle_watch(registry: VoterRegistry, watch: Watch, effects: list[RegistryEffect]) -> None:
    client = registry.clients.get(watch.node)
    if client is None or client.incarnation != watch.incarnation:
        return
    if watch.sequence < client.watch:
        return
    pushes.set_watch(registry, watch.node, client, watch)
    pushes.answer_watch(registry, watch, client, effects)


def list_alive(registry: VoterRegistry) -> tuple[Instance, ...]:
    """List the nodes that this voter considers alive."""
    return tuple(member.state.node for member in registry.members.values() if member.is_visible)


def list_status(registry: VoterRegistry, now: Seconds) -> tuple[NodeStatus, ...]:
    """List the status of the nodes attached to this voter."""
    return tuple(
        _make_status(registry, name, client, now) for name, client in registry.clients.items()
    )


def _make_status(registry: VoterRegistry, name: str, client: Client, now: Seconds) -> NodeStatus:
    node = registry.members[name].state.node
    age = now - client.renewed_at
    confirmed = confirmed_age_ms(registry, now)
    lease_ms = registry.times.provable_lease * MILLISECONDS_PER_SECOND
    is_fresh = (
        client.version == registry.configuration.version
        and confirmed is not None
        and confirmed < lease_ms
        and age < registry.times.lease
    )
    return NodeStatus(
        name,
        node.data_centre,
        registry.name,
        max(client.version, 0),
        age * MILLISECONDS_PER_SECOND,
        is_fresh,
        node.operators,
    )
