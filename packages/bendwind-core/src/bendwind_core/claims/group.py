"""Describe which nodes hold the claims of a service."""

from bendwind_core.core import Record, Storable


class ClaimGroup(Record, frozen=True, array_like=True):
    """Name the holders of a service's claims in one epoch; the first member is the primary.

    Every member stores every claim. `joining` receives a copy of the claims and is not yet a
    member. `lost` is set if no member survived; earlier claims are then unknown.
    """

    service: str
    epoch: Storable
    members: tuple[str, ...]
    joining: str | None = None
    lost: bool = False
