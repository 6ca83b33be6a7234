"""Compute a signature that recognises a repeated request although each try has its own id."""

import hashlib

# Headers that identify the recipient and the caller of a request. Other headers (dates, traces, ids
# of tries) differ from one try to the next.
_HOST = b"host"
IDENTITY_HEADERS = frozenset({_HOST, b"authorization", b"cookie"})
# No header can have this name, so no caller can impersonate a customer.
_CUSTOMER = b"(customer)"
# The probability that any two of a million requests have the same signature is 10^-17.
SIGNATURE_BYTES = 12
_LENGTH_BYTES = 8


def compute_signature(
    method: str,
    target: bytes,
    headers: tuple[tuple[bytes, bytes], ...],
    body: bytes,
    customer: str = "",
) -> bytes:
    """Return a digest that is equal in every process for equal requests of one sender.

    The sender is the customer; without one, it is identified by the caller's identity headers.

    >>> first = compute_signature("GET", b"/a", (), b"")
    >>> first == compute_signature("GET", b"/a", ((b"date", b"x"),), b"")
    True
    """
    hashed = hashlib.blake2b(digest_size=SIGNATURE_BYTES)
    identity = sorted(header for header in headers if header[0] in IDENTITY_HEADERS)
    if customer:
        named = (_CUSTOMER, customer.encode())
        identity = [named, *(header for header in identity if header[0] == _HOST)]
    for part in (method.encode(), target, body, *(text for header in identity for text in header)):
        # Each part is prefixed with its length, so different requests never have the same encoding.
        hashed.update(len(part).to_bytes(_LENGTH_BYTES))
        hashed.update(part)
    return hashed.digest()
