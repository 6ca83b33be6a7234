"""Encode the texts of configurations that stand in HTTP requests or are compared with them."""

import itertools
import re

# What may stand in a path as it is; everything else, and a lone percent sign, is encoded.
# Source: RFC 3986, section 3.3 (pchar) and, with the question mark, section 3.4.
_PATH_CHARACTERS = rb"A-Za-z0-9\-._~!$&'()*+,;=:@/"
_NOT_IN_PATH = re.compile(rb"%%(?![0-9A-Fa-f]{2})|[^%s%%]" % _PATH_CHARACTERS)
_NOT_IN_TARGET = re.compile(rb"%%(?![0-9A-Fa-f]{2})|[^%s?%%]" % _PATH_CHARACTERS)
_TRIPLET = re.compile(rb"%[0-9A-Fa-f]{2}")
_PLAIN = re.compile(f"[{_PATH_CHARACTERS.decode()}]*")
# What a shell-style pattern may hold besides literal text: a class of characters or a wildcard.
_CLASS_OR_WILDCARD = re.compile(r"(\[!?\]?[^\]]*\]|[*?])")
# A class of a single character stands for that character, even if it is a wildcard elsewhere.
_SINGLE_CLASS = re.compile(r"\[([^!])\]")
_UNRESERVED = re.compile(rb"[A-Za-z0-9\-._~]")


def is_absolute_path(text: str) -> bool:
    """Return whether a text can be a path of an HTTP request."""
    return text.startswith("/")


def encode_target(text: str) -> bytes:
    """Return a path and its query as they stand in a request.

    >>> encode_target("/salud/ágil ?x=1")
    b'/salud/%C3%A1gil%20?x=1'
    """
    return _NOT_IN_TARGET.sub(_encode_octet, _get_octets(text))


def normalize_path(text: str) -> str:
    """Return the one form of all paths that are equivalent.

    Source: RFC 3986, section 6.2.2.

    >>> normalize_path("/á/%7e/%2f") == normalize_path("/%c3%a1/~/%2F") == "/%C3%A1/~/%2F"
    True
    """
    if _PLAIN.fullmatch(text):
        return text
    encoded = _NOT_IN_PATH.sub(_encode_octet, _get_octets(text))
    return _TRIPLET.sub(_normalize_triplet, encoded).decode("ascii")


def normalize_pattern(pattern: str) -> str:
    """Return a shell-style pattern that is matched against normalized paths.

    >>> normalize_pattern("/%7eá/[a-c]/*")
    '/~%C3%A1/[a-c]/*'
    """
    parts = _CLASS_OR_WILDCARD.split(pattern)
    return "".join(
        _normalize_special(part) if is_special else normalize_path(part)
        for part, is_special in zip(parts, itertools.cycle((False, True)))
    )


def _normalize_special(part: str) -> str:
    single = _SINGLE_CLASS.fullmatch(part)
    if single is None or single[1] == "*":
        return part
    return normalize_path(single[1])


def _get_octets(text: str) -> bytes:
    # A lone surrogate, which stands in no valid UTF-8, becomes a question mark.
    return text.encode("utf-8", "replace")


def _encode_octet(found: re.Match[bytes]) -> bytes:
    return b"%%%02X" % found[0][0]


def _normalize_triplet(found: re.Match[bytes]) -> bytes:
    octet = bytes((int(found[0][1:], 16),))
    return octet if _UNRESERVED.fullmatch(octet) else found[0].upper()
