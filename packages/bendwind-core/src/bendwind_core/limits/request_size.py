"""Check the size of a request against the limits."""

import enum
from collections.abc import Sequence

from expression import Error, Ok, Result

from bendwind_core.world import Limits

MAX_HEADER_COUNT = 100
MAX_HEADER_BYTES = 32 * 1024


class SizeExceeded(enum.StrEnum):
    """Name the limit that a request exceeds."""

    BODY = "body-too-large"
    HEADERS = "headers-too-large"


_WITHIN_LIMITS: Result[None, SizeExceeded] = Ok(None)


def check_headers(headers: Sequence[tuple[bytes, bytes]]) -> Result[None, SizeExceeded]:
    """Check the number of headers and their total bytes."""
    size = sum(len(name) + len(value) for name, value in headers)
    if len(headers) > MAX_HEADER_COUNT or size > MAX_HEADER_BYTES:
        return Error(SizeExceeded.HEADERS)
    return _WITHIN_LIMITS


def check_body(limits: Limits, size: int) -> Result[None, SizeExceeded]:
    """Check the size of a body, as declared by its header or as received so far."""
    if size > limits.body_bytes:
        return Error(SizeExceeded.BODY)
    return _WITHIN_LIMITS
