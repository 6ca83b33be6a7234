"""Calculate the state, messages and processor time of each role at a size."""

from dataclasses import dataclass

from bendwind_bench.capacity.model.sizes import (
    CALL_LIMITS,
    CONTROL_LIMITS,
    DEDICATED_VOTER_LIMITS,
    Limits,
    Size,
)
from bendwind_bench.capacity.result import CapacityResult

US_PER_PERCENT = 10_000.0
BYTES_PER_KB = 1024.0
# Mean of the two directions. By RFC 6455, a ping or pong with 4 bytes of payload has a header of 2
# bytes, and the dialer adds a mask of 4 bytes.
_PING_BYTES = (6 + 10) / 2
# Size of the bodies of hand-overs and answers, as in the measurement of calls.
BODY_BYTES = 1024.0


@dataclass(frozen=True, slots=True)
class Cost:
    """Hold the costs of one role for one process.

    `state_needed` is the number of entries that the state would have to hold, if `state_limit`
    bounds it (0 if nothing does).
    Units: messages and bytes per second, percent of a core, bytes of memory.
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
    state_limit: float = 0.0


def list_costs(result: CapacityResult, size: Size) -> list[Cost]:
    """Return the costs of every role at a size."""
    return [
        compute_membership_cost(result, size),
        compute_links_cost(result, size),
        compute_control_cost(result, size),
        compute_entry_cost(result, size),
        compute_owner_cost(result, size),
        compute_holder_cost(result, size),
        compute_voter_cost(result, size),
        compute_leader_cost(result, size),
    ]


def compute_node_push_rate(size: Size) -> float:
    """Return how many pushes a node receives per second."""
    return (
        (size.upstream_changes_per_s + size.changes_per_s) * size.watched_services / size.services
    )


def compute_membership_cost(result: CapacityResult, size: Size) -> Cost:
    """Calculate the cost of a node's lease renewals and watches."""
    pushes = compute_node_push_rate(size)
    slopes = result.slopes
    state = slopes["node_memory"].value_at(size.watched_upstreams)
    own = max(0.0, result.figures["node_control_kb"]) * BYTES_PER_KB
    push_us = slopes["node_upstream_change"].value_at(size.watched_upstreams)
    push_us += slopes["exchange_dialer_us"].slope
    beat = result.find_kind("Heartbeat").bytes + result.find_kind("HeartbeatReply").bytes
    push_bytes = result.find_kind("WatchUpdate of 1 upstream").bytes
    beats = 1 / size.heartbeat_s
    return Cost(
        "node: membership",
        f"{size.watched_services} services, {size.watched_upstreams:.0f} upstreams watched",
        state,
        beats + pushes,
        beats,
        result.figures["node_idle_percent"] + pushes * push_us / US_PER_PERCENT,
        own + state,
        beat * beats + pushes * push_bytes,
        CONTROL_LIMITS,
        "renews with one voter, which pushes what the node watches and nothing else",
    )


def compute_links_cost(result: CapacityResult, size: Size) -> Cost:
    """Calculate the cost of a node's open links to owners and from entries, without messages."""
    slopes = result.slopes
    each = size.links_each_way(result.design.subset)
    memory = each * (slopes["link_dialed_bytes"].slope + slopes["link_accepted_bytes"].slope)
    spent_us = each * (slopes["link_dialed_us"].slope + slopes["link_accepted_us"].slope)
    # The dialer sends pings and the other end answers them.
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
        CONTROL_LIMITS,
        f"a node calls at most {result.design.subset} upstreams of a service; links open with a "
        f"call and close after {result.design.idle_link_s:g} s without one",
    )


def compute_control_cost(result: CapacityResult, size: Size) -> Cost:
    """Calculate the total cost of control for a node."""
    parts = (compute_membership_cost(result, size), compute_links_cost(result, size))
    return Cost(
        "node: all control",
        "both above",
        sum(part.state_bytes for part in parts),
        sum(part.messages_in for part in parts),
        sum(part.messages_out for part in parts),
        sum(part.cpu_percent for part in parts),
        sum(part.memory for part in parts),
        sum(part.bytes_per_s for part in parts),
        CONTROL_LIMITS,
        "both above",
    )


def _call_bytes(result: CapacityResult) -> float:
    return result.slopes["call_bytes"].value_at(BODY_BYTES)


def compute_entry_cost(result: CapacityResult, size: Size) -> Cost:
    """Calculate the cost of calls for their entry node."""
    rate = size.entry_calls_per_s
    held = rate * size.call_duration_s
    tables = size.watched_services * result.slopes["table_bytes"].value_at(
        size.upstreams_per_service
    )
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
        CALL_LIMITS,
        "power of d choices over loads that ride on answers; one hop to the owner",
    )


def compute_owner_cost(result: CapacityResult, size: Size) -> Cost:
    """Calculate the cost of attempts for their owner node."""
    rate = size.entry_calls_per_s
    held = rate * size.call_duration_s
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
        CALL_LIMITS,
        "counts its upstream's attempts exactly; bounded queue",
    )


def compute_stored_claims(result: CapacityResult, size: Size) -> float:
    """Return how many claims the group of a service would have to store."""
    return size.claims_per_s * result.design.claim_retention_s


def compute_holder_cost(result: CapacityResult, size: Size) -> Cost:
    """Calculate the cost of the primary of one service's claim group."""
    design = result.design
    members = min(design.claim_members, size.upstreams)
    rate = size.claims_per_s
    # The primary receives for each claim and each outcome one message from the requester and one
    # from each backup, and sends as many.
    messages = rate * 2 * members
    needed_claims = compute_stored_claims(result, size)
    held = min(needed_claims, float(design.claims))
    keys = held * result.slopes["claim_key_memory"].slope
    answers = held * (result.slopes["claim_memory"].slope - result.slopes["claim_key_memory"].slope)
    memory = min(keys + min(answers, design.claim_answer_bytes), float(design.claim_bytes))
    claim_us = result.slopes["claim_primary_us"].value_at(members)
    claim_us += 2 * members * result.slopes["exchange_server_us"].slope
    return Cost(
        "claim holder: primary",
        f"{held:.0f} of {needed_claims:.0f} claims kept",
        memory,
        messages,
        messages,
        rate * claim_us / US_PER_PERCENT,
        memory,
        rate * result.slopes["claim_primary_bytes"].value_at(members),
        CONTROL_LIMITS,
        f"group of {members} in different data centres for each service, all copies in memory",
        needed_claims,
        float(design.claims),
    )


def _voter_limits(size: Size) -> Limits:
    return DEDICATED_VOTER_LIMITS if size.is_dedicated else CONTROL_LIMITS


def compute_renewal_us(result: CapacityResult) -> float:
    """Return the voter's processor time for a heartbeat, without the pings of the link."""
    slopes = result.slopes
    return max(0.0, slopes["voter_node_us"].slope - slopes["link_accepted_us"].slope)


def compute_attached_node_us(result: CapacityResult, heartbeat_s: float) -> float:
    """Return the processor time that one attached node costs a voter per second."""
    return result.slopes["link_accepted_us"].slope + compute_renewal_us(result) / heartbeat_s


def compute_push_us(result: CapacityResult) -> float:
    """Return the voter's processor time for one push to one node.

    It is half the time of an exchange plus the time that the registry needs."""
    return (
        result.slopes["exchange_server_us"].slope / 2 + result.slopes["voter_upstream_change"].slope
    )


def compute_voter_cost(result: CapacityResult, size: Size) -> Cost:
    """Calculate the cost of a voter that is a follower."""
    slopes = result.slopes
    nodes = size.upstreams / size.voters
    pushes = compute_node_push_rate(size) * nodes
    gossip = size.upstream_changes_per_s * (size.voters - 1) / size.voters
    state = slopes["voter_memory"].value_at(size.upstreams)
    links = nodes * slopes["link_accepted_bytes"].slope
    own = max(0.0, result.figures["voter_control_kb"]) * BYTES_PER_KB
    beats = nodes / size.heartbeat_s
    spent = nodes * compute_attached_node_us(result, size.heartbeat_s) + pushes * compute_push_us(
        result
    )
    beat = result.find_kind("Heartbeat").bytes + result.find_kind("HeartbeatReply").bytes
    return Cost(
        "control voter",
        f"{size.upstreams} nodes known, {nodes:.0f} attached",
        state,
        beats + gossip,
        beats + pushes,
        slopes["voter_idle_percent"].value_at(0) + spent / US_PER_PERCENT,
        own + state + links,
        beats * beat
        + pushes * result.find_kind("WatchUpdate of 1 upstream").bytes
        + gossip * result.find_kind("MemberGossip of 1 node").bytes,
        _voter_limits(size),
        "nodes renew with one voter each; voters gossip changes of nodes, never renewals",
    )


def compute_placement_percent(result: CapacityResult, size: Size) -> float:
    """Return the percentage of a core that the leader uses to check all claim groups."""
    check_us = result.slopes["placement_us"].value_at(size.upstreams)
    return check_us / result.design.place_s / US_PER_PERCENT


def compute_leader_cost(result: CapacityResult, size: Size) -> Cost:
    """Calculate the cost of the voter that is the leader."""
    voter = compute_voter_cost(result, size)
    slopes = result.slopes
    proposals = 2 * size.changes_per_s
    entry_bytes = result.figures["change_log_bytes"] / 2
    followers = size.voters - 1
    rounds = followers / result.design.round_s
    log_us = proposals * slopes["leader_proposal_us"].value_at(entry_bytes)
    extra = slopes["leader_idle_percent"].value_at(0) - slopes["voter_idle_percent"].value_at(0)
    append, reply = result.find_kind("Append, empty").bytes, result.find_kind("AppendReply").bytes
    plan_us = size.changes_per_s * slopes["plan_of_one_change_time"].value_at(size.services)
    entries = result.design.log_entries
    state = (
        slopes["state_memory"].value_at(size.services) + slopes["log_entry_bytes"].slope * entries
    )
    state += slopes["outcome_memory"].value_at(size.changes_per_day)
    return Cost(
        "control leader",
        f"{size.services} services, {entries} log entries, {size.changes_per_day:.0f} plans",
        voter.state_bytes + state,
        voter.messages_in + rounds,
        voter.messages_out + rounds + proposals * followers,
        voter.cpu_percent
        + max(0.0, extra)
        + (log_us + plan_us) / US_PER_PERCENT
        + compute_placement_percent(result, size),
        voter.memory + state,
        voter.bytes_per_s + rounds * (append + reply) + proposals * followers * entry_bytes,
        _voter_limits(size),
        "one log for configuration, plans and claim groups; a voter besides",
    )
