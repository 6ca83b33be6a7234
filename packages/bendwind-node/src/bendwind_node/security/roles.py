"""Refuse a certificate that was issued for another role, at the end of the handshake."""

import ssl
from collections.abc import Callable

from bendwind_node.security.identity import Role, read_identity

RecordRefusal = Callable[[str], object]


class RoleContext(ssl.SSLContext):
    """Hold the role that the peer must prove, and the function that records refusals."""

    required_role: Role | None = None
    record_refusal: RecordRefusal | None = None


class RoleSslObject(ssl.SSLObject):
    """Check the peer's role after the library has verified its certificate."""

    def do_handshake(self) -> None:
        """Finish the handshake.

        Errors: raises ssl.SSLError, as the library does, also if the peer has the wrong role.
        """
        try:
            super().do_handshake()
            _require_role(self, self.context.required_role)
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            raise
        except ssl.SSLError as error:
            if self.context.record_refusal is not None:
                self.context.record_refusal(error.strerror)
            raise


def _require_role(connection: ssl.SSLObject, role: Role | None) -> None:
    if role is None:
        return
    identity = read_identity(connection)
    if identity is None or identity.role is not role:
        raise ssl.SSLError(ssl.SSL_ERROR_SSL, f"expected the certificate of an {role}")
