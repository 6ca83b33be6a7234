"""Refuse, at the end of a handshake, a certificate that is meant for another purpose."""

import ssl

from bendwind_node.security.identity import Role, read_identity


class InstanceLink(ssl.SSLObject):
    """Accept the certificates of instances only."""

    def do_handshake(self) -> None:
        """Finish the handshake.

        Errors: raises ssl.SSLError as the library does, also for the wrong role.
        """
        super().do_handshake()
        _require(self, Role.INSTANCE)


class OperatorLink(ssl.SSLObject):
    """Accept the certificates of operators only."""

    def do_handshake(self) -> None:
        """Finish the handshake.

        Errors: raises ssl.SSLError as the library does, also for the wrong role.
        """
        super().do_handshake()
        _require(self, Role.OPERATOR)


def _require(link: ssl.SSLObject, role: Role) -> None:
    found = read_identity(link)
    if found is None or found.role is not role:
        raise ssl.SSLCertVerificationError(f"expected the certificate of an {role}")
