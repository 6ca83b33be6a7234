"""Check whether a request comes from an operator."""

import hashlib
import hmac
import ipaddress
from pathlib import Path

import msgspec

_SCHEME = "bearer "


class OperatorAuthority(msgspec.Struct):
    """Hold the path of the file with one accepted token per line; None requires no token."""

    token_file: Path | None = None

    def is_allowed(self, authorization: str) -> bool:
        """Return whether an Authorization header carries one of the tokens.

        The file is read for each request, so that tokens can be renewed without a restart. If the
        file cannot be read, no request is allowed.
        """
        if self.token_file is None:
            return True
        scheme, presented = authorization[: len(_SCHEME)], authorization[len(_SCHEME) :]
        if scheme.lower() != _SCHEME:
            return False
        digest = _digest(presented.strip().encode("latin-1", "replace"))
        # Every token is compared, so that the response time does not reveal which one nearly
        # matched.
        matches = [hmac.compare_digest(digest, known) for known in self._read_digests()]
        return any(matches)

    def _read_digests(self) -> list[bytes]:
        assert self.token_file is not None
        try:
            lines = self.token_file.read_bytes().splitlines()
        except OSError:
            return []
        return [_digest(line.strip()) for line in lines if line.strip()]


def _digest(token: bytes) -> bytes:
    # Digests have a fixed length, which compare_digest needs to hide the length of the tokens.
    return hashlib.sha256(token).digest()


def create_token_authority(token_file: str | Path) -> OperatorAuthority:
    """Require one of the tokens in a file with every request."""
    return OperatorAuthority(Path(token_file))


def create_open_authority(host: str) -> OperatorAuthority:
    """Require no token, on a loopback address only.

    Errors: raises ValueError on any other address.
    """
    if host != "localhost" and not ipaddress.ip_address(host).is_loopback:
        raise ValueError(f"operators need tokens, since {host} is not a loopback address")
    return OperatorAuthority()


def create_certificate_authority() -> OperatorAuthority:
    """Require no token: the TLS handshake has already required an operator's certificate."""
    return OperatorAuthority()
