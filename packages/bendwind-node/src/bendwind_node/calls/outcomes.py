"""Build and send the answers that Bendwind generates itself."""

import math

from bendwind_core.attempts import CutReason, Header, NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds
from bendwind_node.calls import headers as names
from bendwind_node.calls.caller_exchange import CallerExchange
from bendwind_node.calls.dialect import BENDWIND_DIALECT, Dialect

NOT_RUN = b"not-run"
UNKNOWN = b"unknown"
REFUSED = b"refused"

_RETRY_AFTER_MS = b"bendwind-retry-after-ms"
_UNAUTHORIZED = 401
_SERVICE_UNAVAILABLE = 503
# RFC 6585, section 4: the customer has sent more requests than its quota permits.
_TOO_MANY_REQUESTS = 429
_GATEWAY_TIMEOUT = 504
_BAD_GATEWAY = 502


def find_not_run_status(reason: NotRunReason, dialect: Dialect = BENDWIND_DIALECT) -> int:
    """Return the HTTP status of a request that was not run.

    Without outcome headers only the status can state that it did not run, and 504 does not.
    """
    if reason is NotRunReason.OVER_QUOTA:
        return _TOO_MANY_REQUESTS
    is_late = reason is NotRunReason.DEADLINE and dialect.has_outcomes
    return _GATEWAY_TIMEOUT if is_late else _SERVICE_UNAVAILABLE


def find_unknown_status(reason: CutReason) -> int:
    """Return the HTTP status of a request that may have run."""
    return _GATEWAY_TIMEOUT if reason is CutReason.DEADLINE else _BAD_GATEWAY


def make_headers(
    call: str,
    outcome: bytes,
    reason: str,
    length: int,
    retry_after_ms: Milliseconds | None,
    dialect: Dialect = BENDWIND_DIALECT,
) -> tuple[Header, ...]:
    """Return the headers of an answer that Bendwind generates."""
    headers = (
        (b"content-type", b"text/plain; charset=utf-8"),
        (names.CONTENT_LENGTH, str(length).encode()),
    )
    if dialect.has_outcomes:
        headers = (
            *headers,
            (names.OUTCOME, outcome),
            (names.REASON, reason.encode()),
            (names.CALL, call.encode()),
        )
    if retry_after_ms is None:
        return headers
    if dialect.has_fractions:
        seconds = f"{retry_after_ms / MILLISECONDS_PER_SECOND:.3f}"
        return (*headers, (names.RETRY_AFTER, seconds.encode()))
    seconds = max(1, math.ceil(retry_after_ms / MILLISECONDS_PER_SECOND))
    return (
        *headers,
        (names.RETRY_AFTER, str(seconds).encode()),
        (_RETRY_AFTER_MS, str(math.ceil(retry_after_ms)).encode()),
    )


async def send_outcome(
    exchange: CallerExchange,
    call: str,
    status: int,
    outcome: bytes,
    reason: str,
    retry_after_ms: Milliseconds | None = None,
    dialect: Dialect = BENDWIND_DIALECT,
) -> None:
    """Send an answer to a caller with an outcome and its reason."""
    body = f"{outcome.decode()}: {reason}\n".encode()
    headers = make_headers(call, outcome, reason, len(body), retry_after_ms, dialect)
    if status == _UNAUTHORIZED and dialect.key is not None:
        # RFC 9110, section 11.6.1: a 401 answer must state how to authenticate.
        headers = (*headers, (b"www-authenticate", b'ApiKey header="%s"' % dialect.key))
    await exchange.send_head(status, headers)
    await exchange.send_part(b"" if exchange.request.method == "HEAD" else body, more=False)
