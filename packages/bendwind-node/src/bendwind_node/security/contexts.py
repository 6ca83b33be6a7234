"""Make the TLS contexts of a process from its key files."""

import ssl

import msgspec
from expression import Error, Ok, Result

from bendwind_core.core import Record
from bendwind_node.security.identity import Role
from bendwind_node.security.roles import RecordRefusal, RoleContext, RoleLink
from bendwind_node.settings import TlsTable

_HTTP_PROTOCOLS = ("h2", "http/1.1")


class KeyFault(Record, frozen=True, array_like=True):
    """Say which key file cannot be used and why."""

    file: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.reason}"


class Contexts(msgspec.Struct, frozen=True):
    """Hold the contexts of one state of the key files."""

    server: ssl.SSLContext
    client: ssl.SSLContext
    operators: ssl.SSLContext


def make_contexts(
    table: TlsTable, client_authority: str | None, record_refusal: RecordRefusal
) -> Result[Contexts, KeyFault]:
    """Make every context of a process; `record_refusal` hears why a handshake was refused.

    Errors: the file that cannot be used.
    """
    server = server_tls(table)
    client = client_tls(table)
    operators = operators_tls(table, client_authority)
    for made in (server, client, operators):
        if made.is_error():
            return made
    server.ok.record_refusal = operators.ok.record_refusal = record_refusal
    return Ok(Contexts(server.ok, client.ok, operators.ok))


def server_tls(table: TlsTable) -> Result[RoleContext, KeyFault]:
    """Make the context of the peers' listening socket, which demands an instance's certificate.

    Errors: the file that cannot be used.
    """
    context = _start(ssl.PROTOCOL_TLS_SERVER)
    context.required_role = Role.INSTANCE
    return _load_authority(context, table.authority).bind(lambda made: _load_own(made, table))


def client_tls(table: TlsTable) -> Result[RoleContext, KeyFault]:
    """Make the context of links to peers, which checks the server's name.

    Connect with the peer's instance name as the server's name.
    Errors: the file that cannot be used.
    """
    context = _start(ssl.PROTOCOL_TLS_CLIENT)
    context.required_role = Role.INSTANCE
    return _load_authority(context, table.authority).bind(lambda made: _load_own(made, table))


def operators_tls(table: TlsTable, client_authority: str | None) -> Result[RoleContext, KeyFault]:
    """Make the context of the operators' HTTP; with an authority, it demands a certificate of it.

    Errors: the file that cannot be used.
    """
    context = _start(ssl.PROTOCOL_TLS_SERVER)
    context.set_alpn_protocols(_HTTP_PROTOCOLS)
    if client_authority is None:
        context.verify_mode = ssl.CERT_NONE
        return _load_own(context, table)
    context.required_role = Role.OPERATOR
    return _load_authority(context, client_authority).bind(lambda made: _load_own(made, table))


def _start(protocol: int) -> RoleContext:
    context = RoleContext(protocol)
    context.sslobject_class = RoleLink
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    if protocol == ssl.PROTOCOL_TLS_SERVER:
        # A resumed session would skip the check of a certificate that is no longer accepted.
        context.num_tickets = 0
    return context


def _load_authority(context: RoleContext, file: str) -> Result[RoleContext, KeyFault]:
    try:
        context.load_verify_locations(cafile=file)
    except (OSError, ssl.SSLError) as error:
        return Error(KeyFault(file, error.strerror or str(error)))
    return Ok(context)


def _load_own(context: RoleContext, table: TlsTable) -> Result[RoleContext, KeyFault]:
    try:
        context.load_cert_chain(table.certificate, table.key)
    except (OSError, ssl.SSLError) as error:
        return Error(KeyFault(table.certificate, error.strerror or str(error)))
    return Ok(context)
