"""Refuse, at the end of a handshake, a certificate that is meant for another purpose."""

import ssl
from collections.abc import Callable

from bendwind_node.security.identity import Role, read_identity

RecordRefusal = Callable[[str], object]


class RoleContext(ssl.SSLContext):
    """Hold the role that the other end of each link must prove, and who hears of refusals."""

    required_role: Role | None = None
    record_refusal: RecordRefusal | None = None


class RoleLink(ssl.SSLObject):
    """Check the other end's role once the library has verified its certificate."""

    def do_handshake(self) -> None:
        """Finish the handshake.

        Errors: raises ssl.SSLError as the library does, also for the wrong role.
        """
        try:
            super().do_handshake()
            _require(self, self.context.required_role)
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            raise
        except ssl.SSLError as error:
            if self.context.record_refusal is not None:
                self.context.record_refusal(error.strerror)
            raise


def _require(link: ssl.SSLObject, role: Role | None) -> None:
    if role is None:
        return
    found = read_identity(link)
    if found is None or found.role is not role:
        raise ssl.SSLError(ssl.SSL_ERROR_SSL, f"expected the certificate of an {role}")
