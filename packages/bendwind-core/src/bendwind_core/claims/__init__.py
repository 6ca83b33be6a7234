"""Offer the claims that make a marked request run at most once."""

from bendwind_core.claims.group import ClaimGroup

__all__ = ["ClaimGroup"]
