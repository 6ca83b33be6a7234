"""Measure the cost of claims for their entry node and their group, and print it as JSON.

Run it with `python -m bendwind_bench.slopes_claims`. It runs only the pure code and the codec in
this process; links and system calls are not included.
"""

import collections
import dataclasses
import gc
import json
import sys
import tracemalloc

from bendwind_bench.slopes_membership.slope import Point, decode, encode, fit, time_median
from bendwind_core.claims import (
    Claim,
    ClaimAnswer,
    ClaimGroup,
    ClaimLimits,
    ClaimOutcome,
    ClaimRequest,
    ClaimSettled,
    ClaimState,
    create_holder,
)
from bendwind_core.claims.entry import (
    EntryClaims,
    GroupReceived,
    ReplyReceived,
    SettleClaim,
    StartClaim,
    step_entry,
)
from bendwind_core.claims.events import GroupChanged, LeaseRenewed, Received, Send
from bendwind_core.claims.holder import step_holder
from bendwind_core.claims.messages import ClaimReply
from bendwind_core.claims.table import ClaimTable
from bendwind_core.core import Record

GROUP_SIZES = (1, 2, 3, 5)
TABLE_SIZES = (1_000, 4_000, 16_000, 50_000)
ANSWER_BYTES = (0, 300, 4096)
CLAIMS = 1000
ENTRY = "entry#1"
SERVICE = "emisor"
FINGERPRINT = bytes(16)
ANSWER = ClaimAnswer(201, ((b"content-type", b"application/json"),), bytes(300))
LIMITS = ClaimLimits(claims=1_000_000, bytes=1 << 40, answer_bytes=1 << 40)
FOREVER = 1e9


def make_key(number: int) -> str:
    """Return a key of the length of a UUID."""
    return f"{number:08x}-0000-4000-8000-000000000000"


class ClaimExchange:
    """Carry messages between an entry node and the members of one group, without loss."""

    def __init__(self, size: int, is_encoded: bool):
        self.is_encoded = is_encoded
        self.claims = 0
        self.messages = 0
        self.bytes = 0
        self.queue: collections.deque[tuple[str, Record]] = collections.deque()
        members = tuple(f"m{index}#1" for index in range(size))
        group = ClaimGroup(SERVICE, 1, members)
        self.entry = EntryClaims()
        step_entry(self.entry, GroupReceived(group), 0.0)
        self.holders = {}
        for index, member in enumerate(members):
            holder = create_holder(member, SERVICE, LIMITS)
            step_holder(holder, GroupChanged(group), 0.0)
            step_holder(holder, LeaseRenewed(FOREVER), 0.0)
            self.holders[f"m{index}"] = holder

    def claim_and_settle(self, number: int) -> None:
        """Claim a key and settle the claim with an answer."""
        self.claims += 1
        key = make_key(number)
        call = f"{ENTRY}/{number}"
        request = ClaimRequest(SERVICE, key, FINGERPRINT, call, ENTRY, 0.0)
        self._apply(step_entry(self.entry, StartClaim(request, 2.0), 0.0))
        outcome = ClaimOutcome(SERVICE, key, call, ENTRY, ClaimState.ANSWERED, ANSWER)
        self._apply(step_entry(self.entry, SettleClaim(outcome), 0.0))

    def _apply(self, effects: list) -> None:
        self._enqueue(effects)
        while self.queue:
            to, message = self.queue.popleft()
            if isinstance(message, ClaimReply | ClaimSettled):
                self._enqueue(step_entry(self.entry, ReplyReceived(message), 0.0))
            else:
                self._enqueue(step_holder(self.holders[to], Received(message), 0.0))

    def _enqueue(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.queue.append((effect.to, self._encode_and_decode(effect.message)))

    def _encode_and_decode(self, message: Record) -> Record:
        if not self.is_encoded:
            return message
        data = encode(message)
        self.messages += 1
        self.bytes += len(data)
        return decode(data)


def measure_group(size: int, is_encoded: bool) -> tuple[float, ClaimExchange]:
    """Return the processor time of a claim from request to settlement, summed over all nodes.

    Units: microseconds.
    """
    exchange = ClaimExchange(size, is_encoded)

    def work() -> int:
        for holder in exchange.holders.values():
            holder.table.clear()
        for number in range(CLAIMS):
            exchange.claim_and_settle(number)
        return CLAIMS

    return time_median(work), exchange


def measure_group_sizes() -> dict:
    """Measure the cost of a claim for each group size and fit lines to the results."""
    rows = []
    for size in GROUP_SIZES:
        time_without_codec_us, _ = measure_group(size, is_encoded=False)
        time_with_codec_us, exchange = measure_group(size, is_encoded=True)
        rows.append(
            {
                "members": size,
                "decisions_us": time_without_codec_us,
                "with_codec_us": time_with_codec_us,
                "claims_per_s_all_in_one_process": 1e6 / time_with_codec_us,
                "messages": exchange.messages / exchange.claims,
                "bytes": exchange.bytes / exchange.claims,
            }
        )
    columns = {
        "decisions_us": "us",
        "with_codec_us": "us",
        "bytes": "bytes",
        "messages": "messages",
    }
    slopes = {
        f"claim_{column}_per_member": fit(
            unit, "member", [Point(row["members"], row[column]) for row in rows]
        )
        for column, unit in columns.items()
    }
    return {
        "by_group_size": rows,
        "slopes": {name: dataclasses.asdict(slope) for name, slope in slopes.items()},
    }


def measure_table(answer_bytes: int) -> dict:
    """Measure the memory of a table of claims whose objects are new, as decoding makes them."""
    points = []
    for size in TABLE_SIZES:
        gc.collect()
        tracemalloc.start()
        table = ClaimTable(LIMITS)
        before = tracemalloc.get_traced_memory()[0]
        for number in range(size):
            table.merge(_make_claim(number, answer_bytes), 0.0)
        gc.collect()
        points.append(Point(size, tracemalloc.get_traced_memory()[0] - before))
        estimate = table.bytes / size
        tracemalloc.stop()
    return dataclasses.asdict(fit("bytes", "claim", points)) | {"estimated": estimate}


def _make_claim(number: int, answer_bytes: int) -> Claim:
    # Every field is a new object, as decoding would create it.
    call = f"{ENTRY}/{number}"
    answer = None
    if answer_bytes:
        header = (bytes(bytearray(b"content-type")), bytes(bytearray(b"application/json")))
        answer = ClaimAnswer(201, (header,), bytes(bytearray(answer_bytes)))
    fingerprint = bytes(bytearray(FINGERPRINT))
    state = ClaimState.ANSWERED
    return Claim(make_key(number), fingerprint, call, state, 1, number + 300, 0.0, answer)


def main() -> None:
    """Run all measurements and print them as JSON."""
    result = measure_group_sizes()
    result["memory"] = {f"answer_{size}": measure_table(size) for size in ANSWER_BYTES}
    json.dump(result, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
