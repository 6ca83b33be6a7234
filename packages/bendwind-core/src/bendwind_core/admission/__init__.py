"""Decide which requests are worth taking; one module a policy."""

from bendwind_core.admission.origins import Origins, is_inner_call, note_origin
from bendwind_core.admission.patience import Patience, find_elapsed_ms, note_timeout

__all__ = [
    "Origins",
    "Patience",
    "find_elapsed_ms",
    "is_inner_call",
    "note_origin",
    "note_timeout",
]
