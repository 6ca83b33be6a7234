"""Store one service's claims in bounded memory."""

import collections

import msgspec

from bendwind_core.claims.messages import Claim, ClaimState
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds

# Memory overhead of a claim and of its answer in addition to their texts. The values are rounded
# up from the output of `python -m bendwind_bench.slopes_claims`.
CLAIM_OVERHEAD_BYTES = 370
ANSWER_OVERHEAD_BYTES = 260


class ClaimLimits(msgspec.Struct, frozen=True):
    """Limit the memory that a node uses for one service's claims.

    Answers may take `answer_bytes`; beyond that the oldest answers are evicted, but never their
    keys. `copy_claims` and `copy_bytes` limit a chunk of the copy to a joining member.
    Units: `retention` is in seconds.
    """

    retention: Seconds = 24 * 3600.0
    claims: int = 50_000
    bytes: int = 16 * 1024 * 1024
    answer_bytes: int = 4 * 1024 * 1024
    copy_claims: int = 64
    copy_bytes: int = 128 * 1024


class StoredClaim(msgspec.Struct):
    """Hold a claim and the local time at which it was created."""

    claim: Claim
    created_at: Seconds


class ClaimTable(msgspec.Struct):
    """Hold claims by key, oldest first, with only the newest state of each key.

    `keys_with_answer` lists the keys whose answers are kept, oldest first.
    """

    limits: ClaimLimits = ClaimLimits()
    claims: dict[str, StoredClaim] = msgspec.field(default_factory=dict)
    bytes: int = 0
    answer_bytes: int = 0
    keys_with_answer: collections.deque[str] = msgspec.field(default_factory=collections.deque)

    def find(self, key: str) -> Claim | None:
        """Return the claim of a key, or None."""
        stored = self.claims.get(key)
        return stored.claim if stored else None

    def is_full(self) -> bool:
        """Return whether a new key would exceed a limit."""
        return len(self.claims) >= self.limits.claims or self.bytes >= self.limits.bytes

    def is_overdue(self, key: str, now: Seconds) -> bool:
        """Return whether a pending claim has reached its timeout; True for an absent key."""
        stored = self.claims.get(key)
        if stored is None:
            return True
        pending_timeout = stored.claim.pending_timeout_ms / MILLISECONDS_PER_SECOND
        return (
            stored.claim.state is ClaimState.PENDING and now >= stored.created_at + pending_timeout
        )

    def age_ms(self, key: str, now: Seconds) -> float:
        """Return the time since the claim of a key was created, in milliseconds."""
        return (now - self.claims[key].created_at) * MILLISECONDS_PER_SECOND

    def merge(self, claim: Claim, created_at: Seconds) -> None:
        """Store a claim unless the table holds a newer state of its key."""
        current = self.claims.get(claim.key)
        if current is not None and not is_newer(claim, current.claim):
            return
        if current is not None and current.claim.call == claim.call:
            self._adjust_size(current.claim, -1)
            current.claim = claim
        else:
            self._remove(claim.key)
            self.claims[claim.key] = StoredClaim(claim, created_at)
        self._adjust_size(claim, 1)
        if claim.answer is not None:
            self.keys_with_answer.append(claim.key)
            self._evict_old_answers()

    def _evict_old_answers(self) -> None:
        while self.answer_bytes > self.limits.answer_bytes:
            stored = self.claims.get(self.keys_with_answer.popleft())
            if stored is None or stored.claim.answer is None:
                continue
            self._adjust_size(stored.claim, -1)
            stored.claim = msgspec.structs.replace(
                stored.claim, state=ClaimState.NOT_KEPT, answer=None
            )
            self._adjust_size(stored.claim, 1)

    def _remove(self, key: str) -> None:
        stored = self.claims.pop(key, None)
        if stored is not None:
            self._adjust_size(stored.claim, -1)

    def _adjust_size(self, claim: Claim, sign: int) -> None:
        self.bytes += sign * estimate_claim_bytes(claim)
        self.answer_bytes += sign * estimate_answer_bytes(claim)

    def expire(self, now: Seconds) -> int:
        """Remove the oldest claims whose retention has ended, and return their number."""
        horizon = now - self.limits.retention
        expired = []
        for key, stored in self.claims.items():
            if stored.created_at > horizon:
                break
            expired.append(key)
        for key in expired:
            self._remove(key)
        while self.keys_with_answer and self.keys_with_answer[0] not in self.claims:
            self.keys_with_answer.popleft()
        return len(expired)

    def clear(self) -> None:
        """Remove every claim."""
        self.claims.clear()
        self.keys_with_answer.clear()
        self.bytes = 0
        self.answer_bytes = 0


def is_newer(claim: Claim, current: Claim) -> bool:
    """Return whether a claim is a later state of the same key than the stored claim."""
    return (claim.epoch, claim.sequence) > (current.epoch, current.sequence)


def estimate_claim_bytes(claim: Claim) -> int:
    """Return the estimated memory of a claim.

    Units: bytes.
    """
    return CLAIM_OVERHEAD_BYTES + len(claim.key) + len(claim.call) + estimate_answer_bytes(claim)


def estimate_answer_bytes(claim: Claim) -> int:
    """Return the estimated memory of the answer that a claim keeps.

    Units: bytes.
    """
    if claim.answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in claim.answer.headers)
    return ANSWER_OVERHEAD_BYTES + headers + len(claim.answer.body)
