"""Describe why a request is refused before its first attempt."""

import msgspec

from bendwind_core.attempts import NotRunReason
from bendwind_core.core import Milliseconds
from bendwind_node.calls import outcomes

_OVERLOADED_RETRY_MS: Milliseconds = 50.0
_STALE_RETRY_MS: Milliseconds = 1000.0


class Refusal(msgspec.Struct, frozen=True):
    """Hold the answer to a request that has not run.

    `quota` states the customer whose quota refused it and the voter that decided, if one did.
    """

    status: int
    outcome: bytes
    reason: str
    retry_after_ms: Milliseconds | None = None
    quota: str = ""

    @staticmethod
    def not_run(reason: NotRunReason, retry_after_ms: Milliseconds | None = None) -> "Refusal":
        """Return the refusal of a request that may be sent again later."""
        if retry_after_ms is None:
            is_load = reason is NotRunReason.OVERLOADED
            retry_after_ms = _OVERLOADED_RETRY_MS if is_load else _STALE_RETRY_MS
        status = outcomes.find_not_run_status(reason)
        return Refusal(status, outcomes.NOT_RUN, reason, retry_after_ms)
