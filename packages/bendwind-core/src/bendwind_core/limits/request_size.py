"""Check the size of a request against the limits."""

import enum

from expression import Error, Ok, Result

from bendwind_core.world import Limits


class SizeExceeded(enum.StrEnum):
    """Name the limit that a request exceeds."""

    BODY = "body-too-large"


_WITHIN_LIMITS: Result[None, SizeExceeded] = Ok(None)


def check_body(limits: Limits, size: int) -> Result[None, SizeExceeded]:
    """Check the size of a body, as declared by its header or as received so far."""
    if size > limits.body_bytes:
        return Error(SizeExceeded.BODY)
    return _WITHIN_LIMITS
