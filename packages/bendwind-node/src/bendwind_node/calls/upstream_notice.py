"""Parse the notice headers of an upstream's answers: its rate limit and whether it leaves."""

import re

import msgspec

from bendwind_core.attempts import Header
from bendwind_node.calls.dialect import Dialect

# Long enough for any number that a correct program writes; a longer one comes from a faulty one.
_MAX_DIGITS = 32
_DECIMAL = re.compile(rb"\d{1,%d}(\.\d{1,%d})?" % (_MAX_DIGITS, _MAX_DIGITS))
_LEAVING = b"1"
_NOT_LEAVING = b"0"


class UpstreamNotice(msgspec.Struct, frozen=True):
    """Hold the notice in an answer; `malformed` holds a value that could not be parsed.

    Units: `limit_per_s` is the rate limit in requests per second, None if none is named.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    malformed: bytes = b""


_EMPTY_NOTICE = UpstreamNotice()


def read_notice(headers: tuple[Header, ...], dialect: Dialect) -> UpstreamNotice:
    """Parse the headers of an answer; a malformed value neither sets nor lifts a limit.

    >>> from bendwind_node.calls.dialect import BENDWIND_DIALECT
    >>> read_notice(((b"bendwind-rate-limit", b"6.2"),), BENDWIND_DIALECT).limit_per_s
    6.2
    """
    notice_headers = [header for header in headers if header[0] in dialect.notices]
    if not notice_headers:
        return _EMPTY_NOTICE
    limits = [value.strip() for name, value in notice_headers if name == dialect.rate_limit]
    leaving = [value.strip() for name, value in notice_headers if name == dialect.leaving]
    malformed = _find_malformed(limits, leaving)
    is_limited = len(limits) == 1 and _DECIMAL.fullmatch(limits[0]) is not None
    return UpstreamNotice(
        float(limits[0]) if is_limited else None, _LEAVING in leaving, malformed[:_MAX_DIGITS]
    )


def _find_malformed(limits: list[bytes], leaving: list[bytes]) -> bytes:
    if len(limits) > 1:
        return b", ".join(limits)
    if limits and _DECIMAL.fullmatch(limits[0]) is None:
        return limits[0] or b"(empty)"
    return next(
        (value or b"(empty)" for value in leaving if value not in (_LEAVING, _NOT_LEAVING)), b""
    )
