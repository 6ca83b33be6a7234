"""Create the TLS contexts of a process from its key files."""

import ssl

import msgspec
from expression import Error, Ok, Result

from bendwind_core.core import Record
from bendwind_node.security.identity import Role
from bendwind_node.security.roles import RecordRefusal, RoleContext, RoleSslObject
from bendwind_node.settings import TlsTable

_HTTP_PROTOCOLS = ("h2", "http/1.1")


class KeyFault(Record, frozen=True, array_like=True):
    """Describe which key file cannot be used and why."""

    file: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.reason}"


class Contexts(msgspec.Struct, frozen=True):
    """Hold the contexts created from one version of the key files."""

    server: ssl.SSLContext
    client: ssl.SSLContext
    operators: ssl.SSLContext


def create_contexts(
    table: TlsTable, client_authority: str | None, record_refusal: RecordRefusal
) -> Result[Contexts, KeyFault]:
    """Create every context of a process; refused handshakes call `record_refusal` with a reason.

    Errors: the file that cannot be used.
    """
    server = create_server_context(table)
    client = create_client_context(table)
    operators = create_operators_context(table, client_authority)
    for loaded in (server, client, operators):
        if loaded.is_error():
            return loaded
    server.ok.record_refusal = operators.ok.record_refusal = record_refusal
    return Ok(Contexts(server.ok, client.ok, operators.ok))


def create_server_context(table: TlsTable) -> Result[RoleContext, KeyFault]:
    """Create the context of the socket that peers dial; it requires an instance's certificate.

    Errors: the file that cannot be used.
    """
    context = _create_context(ssl.PROTOCOL_TLS_SERVER)
    context.required_role = Role.INSTANCE
    return _load_authority(context, table.authority).bind(
        lambda loaded: _load_certificate(loaded, table)
    )


def create_client_context(table: TlsTable) -> Result[RoleContext, KeyFault]:
    """Create the context of links to peers, which checks the server's name.

    Connections must pass the peer's instance name as the server name.
    Errors: the file that cannot be used.
    """
    context = _create_context(ssl.PROTOCOL_TLS_CLIENT)
    context.required_role = Role.INSTANCE
    return _load_authority(context, table.authority).bind(
        lambda loaded: _load_certificate(loaded, table)
    )


def create_operators_context(
    table: TlsTable, client_authority: str | None
) -> Result[RoleContext, KeyFault]:
    """Create the context of the operators' HTTP; with an authority, it requires its certificates.

    Errors: the file that cannot be used.
    """
    context = _create_context(ssl.PROTOCOL_TLS_SERVER)
    context.set_alpn_protocols(_HTTP_PROTOCOLS)
    if client_authority is None:
        context.verify_mode = ssl.CERT_NONE
        return _load_certificate(context, table)
    context.required_role = Role.OPERATOR
    return _load_authority(context, client_authority).bind(
        lambda loaded: _load_certificate(loaded, table)
    )


def _create_context(protocol: int) -> RoleContext:
    context = RoleContext(protocol)
    context.sslobject_class = RoleSslObject
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


def _load_certificate(context: RoleContext, table: TlsTable) -> Result[RoleContext, KeyFault]:
    try:
        context.load_cert_chain(table.certificate, table.key)
    except (OSError, ssl.SSLError) as error:
        return Error(KeyFault(table.certificate, error.strerror or str(error)))
    return Ok(context)
