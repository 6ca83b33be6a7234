"""Hold one service's claims in bounded memory."""

from dataclasses import dataclass, field

from bendwind_core.claims.messages import Claim, ClaimState
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds

# What one claim costs besides its texts and answer, rounded up from a measurement
# (python -m bendwind_core.claims.measure).
CLAIM_OVERHEAD_BYTES = 640


@dataclass(slots=True, frozen=True)
class ClaimLimits:
    """Bound what a node keeps of one service's claims.

    `copy_claims` and `copy_bytes` bound a chunk of the copy to a joining member.
    Units: `retention` is in seconds.
    """

    retention: Seconds = 24 * 3600.0
    claims: int = 50_000
    bytes: int = 16 * 1024 * 1024
    copy_claims: int = 64
    copy_bytes: int = 128 * 1024


@dataclass(slots=True)
class StoredClaim:
    """Hold a claim and the local time at which it was made."""

    claim: Claim
    made: Seconds


@dataclass(slots=True)
class ClaimTable:
    """Hold claims by key, oldest first; the newest state of a key wins."""

    limits: ClaimLimits = ClaimLimits()
    claims: dict[str, StoredClaim] = field(default_factory=dict)
    bytes: int = 0

    def find(self, key: str) -> Claim | None:
        """Return what is held of a key, or None."""
        stored = self.claims.get(key)
        return stored.claim if stored else None

    def is_full(self) -> bool:
        """Tell whether a new key would exceed a limit."""
        return len(self.claims) >= self.limits.claims or self.bytes >= self.limits.bytes

    def is_overdue(self, key: str, now: Seconds) -> bool:
        """Tell whether a pending claim has had all the time it asked for."""
        stored = self.claims.get(key)
        if stored is None:
            return True
        patience = stored.claim.patience_ms / MILLISECONDS_PER_SECOND
        return stored.claim.state is ClaimState.PENDING and now >= stored.made + patience

    def age_ms(self, key: str, now: Seconds) -> float:
        """Return the time since the claim of a key was made, in milliseconds."""
        return (now - self.claims[key].made) * MILLISECONDS_PER_SECOND

    def merge(self, claim: Claim, made: Seconds) -> None:
        """Store a claim unless a newer state of its key is held."""
        held = self.claims.get(claim.key)
        if held is None:
            self.claims[claim.key] = StoredClaim(claim, made)
            self.bytes += size_of(claim)
        elif is_newer(claim, held.claim):
            self.bytes += size_of(claim) - size_of(held.claim)
            if claim.call != held.claim.call:
                del self.claims[claim.key]
                self.claims[claim.key] = StoredClaim(claim, made)
            else:
                held.claim = claim

    def expire(self, now: Seconds) -> int:
        """Forget the claims at the old end that are past their retention and count them."""
        horizon = now - self.limits.retention
        expired = []
        for key, stored in self.claims.items():
            if stored.made > horizon:
                break
            expired.append(key)
        for key in expired:
            self.bytes -= size_of(self.claims.pop(key).claim)
        return len(expired)

    def clear(self) -> None:
        """Forget every claim."""
        self.claims.clear()
        self.bytes = 0


def is_newer(claim: Claim, held: Claim) -> bool:
    """Tell whether a claim is a later state of the same key than the held one."""
    return (claim.epoch, claim.sequence) > (held.epoch, held.sequence)


def size_of(claim: Claim) -> int:
    """Estimate the memory of a claim.

    Units: bytes.
    """
    size = CLAIM_OVERHEAD_BYTES + len(claim.key) + len(claim.call)
    if claim.answer:
        size += len(claim.answer.body) + sum(len(n) + len(v) for n, v in claim.answer.headers)
    return size
