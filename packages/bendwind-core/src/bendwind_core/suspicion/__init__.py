"""Offer what connects a request with what became of it before."""

from bendwind_core.suspicion.signature import sign_request

__all__ = ["sign_request"]
