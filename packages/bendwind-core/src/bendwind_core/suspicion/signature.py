"""Tell that a request came again, though every try of it has an id of its own."""

import hashlib

# Whom a request is for and who asks; what else callers send (dates, traces, ids of tries) differs
# from one try to the next.
_HOST = b"host"
IDENTITY_HEADERS = frozenset({_HOST, b"authorization", b"cookie"})
# No header is called that, so that no caller can pass for a customer.
_CUSTOMER = b"(customer)"
# Two of a million requests agree by chance once in 10^17 times.
SIGNATURE_BYTES = 12
_LENGTH_BYTES = 8


def compute_signature(
    method: str,
    target: bytes,
    headers: tuple[tuple[bytes, bytes], ...],
    body: bytes,
    customer: str = "",
) -> bytes:
    """Return what is equal for requests of one asker for the same thing, in every process.

    The asker is the customer; where there is none, what the caller says of itself.

    >>> compute_signature("GET", b"/a", (), b"") == compute_signature("GET", b"/a", ((b"date", b"x"),), b"")
    True
    """
    hashed = hashlib.blake2b(digest_size=SIGNATURE_BYTES)
    identity = sorted(header for header in headers if header[0] in IDENTITY_HEADERS)
    if customer:
        named = (_CUSTOMER, customer.encode())
        identity = [named, *(header for header in identity if header[0] == _HOST)]
    for part in (method.encode(), target, body, *(text for header in identity for text in header)):
        # With its length before each part, no two requests are written alike.
        hashed.update(len(part).to_bytes(_LENGTH_BYTES))
        hashed.update(part)
    return hashed.digest()
