"""Read who a peer is from the certificate that it proved to hold."""

import enum
import ssl

import msgspec

_SCHEME = "bendwind://"


class Role(enum.StrEnum):
    """Say what a certificate entitles its holder to."""

    INSTANCE = "instance"
    OPERATOR = "operator"


class Identity(msgspec.Struct, frozen=True):
    """Name the holder of a certificate."""

    role: Role
    name: str

    def is_instance(self, name: str) -> bool:
        """Tell whether this is the instance of a name."""
        return self.role is Role.INSTANCE and self.name == name


def read_identity(link: ssl.SSLObject | ssl.SSLSocket) -> Identity | None:
    """Return who is at the other end of a link, or None where the certificate does not say.

    The handshake has verified the certificate before; an instance's and an operator's are told
    apart here, so that neither is taken for the other. trio's SSLStream fits too.
    """
    certificate = link.getpeercert() or {}
    names = [value for kind, value in certificate.get("subjectAltName", ()) if kind == "URI"]
    found = [name.removeprefix(_SCHEME) for name in names if name.startswith(_SCHEME)]
    if len(found) != 1:
        return None
    role, _, name = found[0].partition("/")
    if role not in Role.__members__.values() or not name:
        return None
    return Identity(Role(role), name)
