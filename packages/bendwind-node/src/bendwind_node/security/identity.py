"""Read the identity of a peer from its verified certificate."""

import enum
import ssl

import msgspec

_SCHEME = "bendwind://"


class Role(enum.StrEnum):
    """Define the roles that a certificate can grant to its holder."""

    INSTANCE = "instance"
    OPERATOR = "operator"


class Identity(msgspec.Struct, frozen=True):
    """Identify the holder of a certificate by role and name."""

    role: Role
    name: str

    def is_instance(self, name: str) -> bool:
        """Return whether this is the identity of the instance with the given name."""
        return self.role is Role.INSTANCE and self.name == name


def read_identity(connection: ssl.SSLObject | ssl.SSLSocket) -> Identity | None:
    """Return the identity of the peer of a connection, or None if its certificate has none.

    The handshake has already verified the certificate. Certificates of instances and of operators
    are distinguished here, so that neither is accepted as the other. A trio SSLStream also works.
    """
    certificate = connection.getpeercert() or {}
    names = [value for kind, value in certificate.get("subjectAltName", ()) if kind == "URI"]
    found = [name.removeprefix(_SCHEME) for name in names if name.startswith(_SCHEME)]
    if len(found) != 1:
        return None
    role, _, name = found[0].partition("/")
    if role not in Role.__members__.values() or not name:
        return None
    return Identity(Role(role), name)
