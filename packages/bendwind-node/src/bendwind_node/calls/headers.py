"""Define the HTTP headers that Bendwind reads and writes, and remove hop-by-hop headers."""

from collections.abc import Iterable

from bendwind_core.attempts import Header

OUTCOME = b"bendwind-outcome"
REASON = b"bendwind-reason"
CALL = b"bendwind-call"
REPLAYED = b"bendwind-replayed"
IDEMPOTENCY_KEY = b"idempotency-key"
RETRY_AFTER = b"retry-after"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
# The fields that state where a body ends; a message has at most one of them.
FRAMING = frozenset((CONTENT_LENGTH, TRANSFER_ENCODING))
HOST = b"host"
VIA = (b"via", b"1.1 bendwind")

# RFC 9110, section 7.6.1: fields that apply to one connection only.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        TRANSFER_ENCODING,
        b"upgrade",
    )
)
# Only Bendwind writes these; they are removed so that a caller cannot forge them to an upstream.
_RESERVED = frozenset((OUTCOME, REASON, CALL, REPLAYED))
_EXPECT = b"expect"
# Bytes that HTTP/1.1 adds to the text of a head: spaces, the version, separators and line ends.
_LINE_OVERHEAD = 12
_HEADER_OVERHEAD = 4


def find_header(headers: tuple[Header, ...], name: bytes) -> bytes | None:
    """Return the first value of a header, None if it is absent.

    >>> find_header(((b"host", b"emisor"),), b"host")
    b'emisor'
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def has_header(headers: Iterable[Header], name: bytes) -> bool:
    """Return whether a header is present.

    >>> has_header(((b"host", b"emisor"),), b"via")
    False
    """
    return any(key == name for key, _ in headers)


def find_host(headers: tuple[Header, ...]) -> str:
    """Return the host that a request names, in lower case and without its port.

    >>> find_host(((b"host", b"Emisor.example:8101"),))
    'emisor.example'
    """
    text = (find_header(headers, HOST) or b"").decode("latin-1").lower()
    host, colon, port = text.rpartition(":")
    return host if colon and port.isdigit() else text


def measure_head(method: bytes | str, target: bytes, headers: Iterable[Header]) -> int:
    """Return the size of a request's head in bytes.

    >>> measure_head("GET", b"/", [(b"host", b"emisor")])
    30
    """
    line = len(method) + len(target) + _LINE_OVERHEAD
    return line + sum(len(name) + len(text) + _HEADER_OVERHEAD for name, text in headers)


def _find_connection_tokens(headers: tuple[Header, ...]) -> frozenset[bytes]:
    tokens = [
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    ]
    return frozenset(tokens)


def keep_end_to_end(
    headers: tuple[Header, ...], reserved: frozenset[bytes] = frozenset()
) -> tuple[Header, ...]:
    """Remove hop-by-hop fields and those that only Bendwind may write, including `reserved`."""
    dropped = _DROPPED | _find_connection_tokens(headers) | reserved
    return tuple(header for header in headers if header[0] not in dropped)


def keep_request_headers(
    headers: tuple[Header, ...], reserved: frozenset[bytes] = frozenset()
) -> tuple[Header, ...]:
    """Remove what a hand-over does not forward: hop-by-hop fields, length and expectation."""
    return tuple(
        header
        for header in keep_end_to_end(headers, reserved)
        if header[0] not in (CONTENT_LENGTH, _EXPECT)
    )


_DROPPED = _HOP_BY_HOP | _RESERVED
