"""Work out what each role keeps, sends and spends at a size."""

from dataclasses import dataclass

from bendwind_bench.capacity.model.sizes import CALLS, CONTROL, SET_ASIDE, Limits, Size
from bendwind_bench.capacity.result import CapacityResult

US_PER_PERCENT = 10_000.0
BYTES_PER_KB = 1024.0
# RFC 6455: a ping of 4 bytes takes 2 bytes of header, and 4 of mask from the dialer.
_PING_BYTES = (6 + 10) / 2
# Hand-overs and answers carry bodies of this size, as in the measurement of calls.
BODY_BYTES = 1024.0


@dataclass(frozen=True, slots=True)
class Cost:
    """Hold what one role costs one process.

    `state_needed` is how many entries its state would have to hold, where `state_most` bounds it.
    Units: messages and bytes a second, percent of a core, bytes of memory.
    """

    role: str
    state: str
    state_bytes: float
    messages_in: float
    messages_out: float
    cpu_percent: float
    memory: float
    bytes_per_s: float
    limits: Limits
    mechanism: str
    state_needed: float = 0.0
    state_most: float = 0.0


def list_costs(result: CapacityResult, size: Size) -> list[Cost]:
    """List the costs of every role at a size."""
    return [
        cost_of_membership(result, size),
        cost_of_links(result, size),
        cost_of_control(result, size),
        cost_of_entry(result, size),
        cost_of_owner(result, size),
        cost_of_holder(result, size),
        cost_of_voter(result, size),
        cost_of_leader(result, size),
    ]


def pushes_to_node(size: Size) -> float:
    """Return how many pushes a node receives a second."""
    return (size.upstream_changes_per_s + size.changes_per_s) * size.watched / size.services


def cost_of_membership(result: CapacityResult, size: Size) -> Cost:
    """Cost a node's renewal and watch."""
    pushes = pushes_to_node(size)
    slopes = result.slopes
    state = slopes["node_memory"].at(size.watched_upstreams)
    own = max(0.0, result.figures["node_control_kb"]) * BYTES_PER_KB
    push_us = slopes["node_upstream_change"].at(size.watched_upstreams)
    push_us += slopes["exchange_dialer_us"].slope
    beat = result.kind("Heartbeat").bytes + result.kind("HeartbeatReply").bytes
    push_bytes = result.kind("WatchUpdate of 1 upstream").bytes
    beats = 1 / size.heartbeat_s
    return Cost(
        "node: membership",
        f"{size.watched} services, {size.watched_upstreams:.0f} upstreams watched",
        state,
        beats + pushes,
        beats,
        result.figures["node_idle_percent"] + pushes * push_us / US_PER_PERCENT,
        own + state,
        beat * beats + pushes * push_bytes,
        CONTROL,
        "renews with one voter, which pushes what the node watches and nothing else",
    )


def cost_of_links(result: CapacityResult, size: Size) -> Cost:
    """Cost a node's open links to owners and from entries, before any message."""
    slopes = result.slopes
    each = size.links_each_way(result.design.subset)
    memory = each * (slopes["link_dialed_bytes"].slope + slopes["link_accepted_bytes"].slope)
    spent_us = each * (slopes["link_dialed_us"].slope + slopes["link_accepted_us"].slope)
    # The dialer pings, the other end answers.
    frames = 2 * each / result.design.ping_s
    return Cost(
        "node: links",
        f"{each:.0f} dialed, {each:.0f} accepted",
        memory,
        frames,
        frames,
        spent_us / US_PER_PERCENT,
        memory,
        2 * frames * _PING_BYTES,
        CONTROL,
        f"a node calls at most {result.design.subset} upstreams of a service; links open with a "
        f"call and close after {result.design.idle_link_s:g} s without one",
    )


def cost_of_control(result: CapacityResult, size: Size) -> Cost:
    """Cost all that a node spends on control."""
    parts = (cost_of_membership(result, size), cost_of_links(result, size))
    return Cost(
        "node: all control",
        "both above",
        sum(part.state_bytes for part in parts),
        sum(part.messages_in for part in parts),
        sum(part.messages_out for part in parts),
        sum(part.cpu_percent for part in parts),
        sum(part.memory for part in parts),
        sum(part.bytes_per_s for part in parts),
        CONTROL,
        "both above",
    )


def _call_bytes(result: CapacityResult) -> float:
    return result.slopes["call_bytes"].at(BODY_BYTES)


def cost_of_entry(result: CapacityResult, size: Size) -> Cost:
    """Cost an entry node's calls."""
    rate = size.entry_calls_per_s
    held = rate * size.held_s
    tables = size.watched * result.slopes["table_bytes"].at(size.per_service)
    calls = held * (result.slopes["entry_held_bytes"].slope + 2 * BODY_BYTES)
    return Cost(
        "entry node: calls",
        f"{held:.1f} calls held, {size.watched_upstreams:.0f} upstreams scored",
        tables + calls,
        rate,
        rate,
        rate * result.slopes["entry_call_us"].slope / US_PER_PERCENT,
        tables + calls,
        rate * _call_bytes(result),
        CALLS,
        "power of d choices over loads that ride on answers; one hop to the owner",
    )


def cost_of_owner(result: CapacityResult, size: Size) -> Cost:
    """Cost an owner node's attempts."""
    rate = size.entry_calls_per_s
    held = rate * size.held_s
    calls = held * (result.slopes["owner_held_bytes"].slope + 2 * BODY_BYTES)
    return Cost(
        "owner node: attempts",
        f"{held:.1f} attempts held",
        calls,
        rate,
        rate,
        rate * result.slopes["owner_call_us"].slope / US_PER_PERCENT,
        calls,
        rate * _call_bytes(result),
        CALLS,
        "counts its upstream's attempts exactly; bounded queue",
    )


def claims_kept(result: CapacityResult, size: Size) -> float:
    """Return how many claims a service's group would have to keep."""
    return size.claims_per_s * result.design.claim_retention_s


def cost_of_holder(result: CapacityResult, size: Size) -> Cost:
    """Cost the primary of one service's claim group."""
    design = result.design
    members = min(design.claim_members, size.upstreams)
    rate = size.claims_per_s
    # Per claim and per outcome: the asker's message, one from each backup, and as many out.
    messages = rate * 2 * members
    wanted = claims_kept(result, size)
    held = min(wanted, float(design.claims))
    keys = held * result.slopes["claim_key_memory"].slope
    answers = held * (result.slopes["claim_memory"].slope - result.slopes["claim_key_memory"].slope)
    memory = min(keys + min(answers, design.claim_answer_bytes), float(design.claim_bytes))
    claim_us = result.slopes["claim_primary_us"].at(members)
    claim_us += 2 * members * result.slopes["exchange_server_us"].slope
    return Cost(
        "claim holder: primary",
        f"{held:.0f} of {wanted:.0f} claims kept",
        memory,
        messages,
        messages,
        rate * claim_us / US_PER_PERCENT,
        memory,
        rate * result.slopes["claim_primary_bytes"].at(members),
        CONTROL,
        f"group of {members} in different data centres for each service, all copies in memory",
        wanted,
        float(design.claims),
    )


def _voter_limits(size: Size) -> Limits:
    return SET_ASIDE if size.is_set_aside else CONTROL


def renewal_us(result: CapacityResult) -> float:
    """Return what a heartbeat costs a voter, its link's pings aside."""
    slopes = result.slopes
    return max(0.0, slopes["voter_node_us"].slope - slopes["link_accepted_us"].slope)


def attached_us(result: CapacityResult, heartbeat_s: float) -> float:
    """Return what one attached node costs a voter each second."""
    return result.slopes["link_accepted_us"].slope + renewal_us(result) / heartbeat_s


def push_us(result: CapacityResult) -> float:
    """Return what one push to one node costs a voter: half an exchange and the registry."""
    return (
        result.slopes["exchange_server_us"].slope / 2 + result.slopes["voter_upstream_change"].slope
    )


def cost_of_voter(result: CapacityResult, size: Size) -> Cost:
    """Cost a following voter."""
    slopes = result.slopes
    nodes = size.upstreams / size.voters
    pushes = pushes_to_node(size) * nodes
    gossip = size.upstream_changes_per_s * (size.voters - 1) / size.voters
    state = slopes["voter_memory"].at(size.upstreams)
    links = nodes * slopes["link_accepted_bytes"].slope
    own = max(0.0, result.figures["voter_control_kb"]) * BYTES_PER_KB
    beats = nodes / size.heartbeat_s
    spent = nodes * attached_us(result, size.heartbeat_s) + pushes * push_us(result)
    beat = result.kind("Heartbeat").bytes + result.kind("HeartbeatReply").bytes
    return Cost(
        "control voter",
        f"{size.upstreams} nodes known, {nodes:.0f} attached",
        state,
        beats + gossip,
        beats + pushes,
        slopes["voter_idle_percent"].at(0) + spent / US_PER_PERCENT,
        own + state + links,
        beats * beat
        + pushes * result.kind("WatchUpdate of 1 upstream").bytes
        + gossip * result.kind("MemberGossip of 1 node").bytes,
        _voter_limits(size),
        "nodes renew with one voter each; voters gossip changes of nodes, never renewals",
    )


def placement_percent(result: CapacityResult, size: Size) -> float:
    """Return the leader's share of a core for looking after claim groups."""
    look_us = result.slopes["placement_us"].at(size.upstreams)
    return look_us / result.design.place_s / US_PER_PERCENT


def cost_of_leader(result: CapacityResult, size: Size) -> Cost:
    """Cost the voter that leads."""
    voter = cost_of_voter(result, size)
    slopes = result.slopes
    proposals = 2 * size.changes_per_s
    entry_bytes = result.figures["change_log_bytes"] / 2
    followers = size.voters - 1
    rounds = followers / result.design.round_s
    log_us = proposals * slopes["leader_proposal_us"].at(entry_bytes)
    extra = slopes["leader_idle_percent"].at(0) - slopes["voter_idle_percent"].at(0)
    append, reply = result.kind("Append, empty").bytes, result.kind("AppendReply").bytes
    plan_us = size.changes_per_s * slopes["plan_of_one_change_time"].at(size.services)
    entries = result.design.log_entries
    state = slopes["state_memory"].at(size.services) + slopes["log_entry_bytes"].slope * entries
    state += slopes["outcome_memory"].at(size.changes_per_day)
    return Cost(
        "control leader",
        f"{size.services} services, {entries} log entries, {size.changes_per_day:.0f} plans",
        voter.state_bytes + state,
        voter.messages_in + rounds,
        voter.messages_out + rounds + proposals * followers,
        voter.cpu_percent
        + max(0.0, extra)
        + (log_us + plan_us) / US_PER_PERCENT
        + placement_percent(result, size),
        voter.memory + state,
        voter.bytes_per_s + rounds * (append + reply) + proposals * followers * entry_bytes,
        _voter_limits(size),
        "one log for configuration, plans and claim groups; a voter besides",
    )
