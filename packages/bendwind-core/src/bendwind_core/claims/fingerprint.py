"""Digest a request, so that a key used for two different requests is seen."""

import hashlib

_DIGEST_BYTES = 16


def fingerprint_request(method: str, target: bytes, body: bytes) -> bytes:
    """Return a digest of what makes two requests the same to an upstream.

    >>> len(fingerprint_request("POST", b"/issue", b"{}"))
    16
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method.encode(), target, body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
