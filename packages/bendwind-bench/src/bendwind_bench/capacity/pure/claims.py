"""Measure the cost of claims for the primary by group size, and the memory of each claim."""

import time

from bendwind_bench import slopes_claims
from bendwind_bench.capacity.fixture import make_instance
from bendwind_bench.capacity.slope import (
    MICROSECONDS,
    Slope,
    decode,
    encode,
    fit,
    time_median,
)
from bendwind_bench.slopes_membership.fixture import TARGET_SERVICES
from bendwind_core.claims import (
    ClaimAnswer,
    ClaimGroup,
    ClaimHolder,
    ClaimLimits,
    ClaimOutcome,
    ClaimRequest,
    ClaimState,
    create_holder,
    format_member,
    parse_node_name,
)
from bendwind_core.claims.events import GroupChanged, LeaseRenewed, Received
from bendwind_core.claims.holder import step_holder
from bendwind_core.claims.placement import index_alive_nodes, is_group_complete
from bendwind_core.world import Instance

GROUP_SIZES = (1, 2, 3, 5)
NODE_COUNTS = (1_500, 3_750, 7_500, 15_000)
_SERVICE = "service-001"
_ENTRY = "node-00099#1"
_BATCH = 100
_ANSWER_BYTES = 300
_ANSWER = ClaimAnswer(201, ((b"content-type", b"application/json"),), b"x" * _ANSWER_BYTES)


class HolderGroup:
    """Hold the claim holders of one group and the processor time and bytes of each."""

    def __init__(self, size: int):
        members = tuple(f"node-{index:05d}#1" for index in range(size))
        group = ClaimGroup(_SERVICE, 1, members)
        limits = ClaimLimits(claims=10**9, bytes=10**12, answer_bytes=10**12)
        self.holders: dict[str, ClaimHolder] = {}
        for member in members:
            holder = create_holder(member, _SERVICE, limits)
            step_holder(holder, GroupChanged(group), 0.0)
            step_holder(holder, LeaseRenewed(1e9), 0.0)
            self.holders[parse_node_name(member)] = holder
        self.primary = parse_node_name(members[0])
        self.processor_s = dict.fromkeys(self.holders, 0.0)
        self.bytes = dict.fromkeys(self.holders, 0)

    def deliver(self, message) -> None:
        """Deliver a message to the primary and all resulting messages, in encoded form."""
        pending = [(self.primary, encode(message))]
        while pending:
            to, data = pending.pop(0)
            if to not in self.holders:
                continue
            started = time.process_time()
            effects = step_holder(self.holders[to], Received(decode(data)), 1.0)
            sent = [(effect.to, encode(effect.message)) for effect in effects]
            self.processor_s[to] += time.process_time() - started
            self.bytes[to] += len(data) + sum(len(part) for _, part in sent)
            pending += sent


def _claim_and_settle(group: HolderGroup, number: int) -> None:
    key, call = f"{number:036d}", f"node-00099-1-{number}"
    group.deliver(ClaimRequest(_SERVICE, key, b"f" * 16, call, _ENTRY, 2000.0))
    group.deliver(ClaimOutcome(_SERVICE, key, call, _ENTRY, ClaimState.ANSWERED, _ANSWER))


def measure_claims() -> tuple[dict[str, Slope], dict[str, float]]:
    """Measure a claim from its request to the confirmation of its outcome."""
    primary_us, backup_us, primary_bytes = [], [], []
    for size in GROUP_SIZES:
        group = HolderGroup(size)
        for number in range(_BATCH):
            _claim_and_settle(group, number)
        processor_s = group.processor_s.pop(group.primary)
        primary_us.append((size, processor_s / _BATCH * MICROSECONDS))
        primary_bytes.append((size, group.bytes[group.primary] / _BATCH))
        backup_s = sum(group.processor_s.values()) / max(1, len(group.processor_s))
        backup_us.append((size, backup_s / _BATCH * MICROSECONDS))
    return {
        "claim_primary_us": fit(
            "Primary's time for a claim and its outcome", "us", "member of the group", primary_us
        ),
        "claim_primary_bytes": fit(
            "Primary's bytes for a claim and its outcome",
            "bytes",
            "member of the group",
            primary_bytes,
        ),
        "claim_key_memory": _measure_claim_memory(0),
        "claim_memory": _measure_claim_memory(_ANSWER_BYTES),
        **_measure_placement(),
    }, {"claim_backup_us": backup_us[2][1]}


def _measure_claim_memory(answer_bytes: int) -> Slope:
    points = slopes_claims.measure_table(answer_bytes)["points"]
    pairs = [(point["size"], point["value"]) for point in points]
    return fit(f"Memory of a claim, answer of {answer_bytes} bytes", "bytes", "claim", pairs)


def _measure_placement() -> dict[str, Slope]:
    times = []
    for count in NODE_COUNTS:
        instances = tuple(make_instance(index) for index in range(count))
        times.append((count, time_median(lambda alive=instances: _check_all_groups(alive))))
    return {"placement_us": fit("Leader's look at all claim groups", "us", "node", times)}


def _check_all_groups(instances: tuple[Instance, ...]) -> int:
    alive = index_alive_nodes(instances)
    members = tuple(format_member(instance) for instance in instances[:3])
    group = ClaimGroup(_SERVICE, 1, members)
    for _ in range(TARGET_SERVICES):
        is_group_complete(group, alive)
    return 1
