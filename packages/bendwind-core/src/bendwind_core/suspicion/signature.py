"""Tell that a request came again, though every try of it has an id of its own."""

import hashlib

# Whom a request is for and who asks; what else callers send (dates, traces, ids of tries) differs
# from one try to the next.
IDENTITY_HEADERS = frozenset({b"host", b"authorization", b"cookie"})
# Two of a million requests agree by chance once in 10^17 times.
SIGNATURE_BYTES = 12
_LENGTH_BYTES = 8


def sign_request(
    method: str, target: bytes, headers: tuple[tuple[bytes, bytes], ...], body: bytes
) -> bytes:
    """Return what is equal for requests of one caller for the same thing, in every process.

    >>> sign_request("GET", b"/a", (), b"") == sign_request("GET", b"/a", ((b"date", b"x"),), b"")
    True
    """
    hashed = hashlib.blake2b(digest_size=SIGNATURE_BYTES)
    identity = sorted(header for header in headers if header[0] in IDENTITY_HEADERS)
    for part in (method.encode(), target, body, *(text for header in identity for text in header)):
        # With its length before each part, no two requests are written alike.
        hashed.update(len(part).to_bytes(_LENGTH_BYTES))
        hashed.update(part)
    return hashed.digest()
