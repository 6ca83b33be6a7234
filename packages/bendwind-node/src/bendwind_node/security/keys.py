"""Make the TLS contexts of links from key files, anew whenever the files change."""

import os
import ssl
from dataclasses import dataclass

from bendwind_core.core import Record
from bendwind_core.timeline import EventKind, Recorder
from expression import Error, Ok, Result

from bendwind_node.settings import TlsTable


class KeyFault(Record, frozen=True, array_like=True):
    """Say which key file cannot be used and why."""

    file: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.reason}"


@dataclass(slots=True)
class Keys:
    """Hold the newest usable contexts; links that run keep the ones they began with.

    `server` never changes as an object, so that a listening socket may hold it: every handshake
    on it is moved to the newest context.
    """

    table: TlsTable
    client: ssl.SSLContext
    server: ssl.SSLContext
    newest_server: ssl.SSLContext
    stamps: tuple[tuple[int, int, int], ...]

    def reload(self, recorder: Recorder) -> None:
        """Take the key files into use if they changed and are whole; keep the old ones if not."""
        try:
            stamps = _read_stamps(self.table)
        except OSError:
            return
        if stamps == self.stamps:
            return
        self.stamps = stamps
        match _make_contexts(self.table):
            case Result(tag="error", error=fault):
                recorder.record(EventKind.KEYS_REFUSED, detail=str(fault))
            case Result(ok=(server, client)):
                self.newest_server, self.client = server, client
                recorder.record(EventKind.KEYS_RELOADED, detail=self.table.certificate)


def load_keys(table: TlsTable) -> Result[Keys, KeyFault]:
    """Load the keys that a settings file names.

    Errors: the file that cannot be used.
    """
    try:
        stamps = _read_stamps(table)
    except OSError as error:
        return Error(KeyFault(str(error.filename), error.strerror or str(error)))
    return _make_contexts(table).map(lambda made: _start(table, *made, stamps))


def server_tls(table: TlsTable) -> Result[ssl.SSLContext, KeyFault]:
    """Make a context that shows the instance's certificate and demands one of the authority.

    Errors: the file that cannot be used.
    """
    return _make_context(table, ssl.PROTOCOL_TLS_SERVER)


def client_tls(table: TlsTable) -> Result[ssl.SSLContext, KeyFault]:
    """Make a context that shows the instance's certificate and checks the server's name.

    Connect with the peer's instance name as the server's name.
    Errors: the file that cannot be used.
    """
    return _make_context(table, ssl.PROTOCOL_TLS_CLIENT)


def _make_contexts(table: TlsTable) -> Result[tuple[ssl.SSLContext, ssl.SSLContext], KeyFault]:
    return server_tls(table).bind(
        lambda server: client_tls(table).map(lambda client: (server, client))
    )


def _make_context(table: TlsTable, protocol: int) -> Result[ssl.SSLContext, KeyFault]:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_verify_locations(cafile=table.authority)
    except (OSError, ssl.SSLError) as error:
        return Error(KeyFault(table.authority, error.strerror or str(error)))
    try:
        context.load_cert_chain(table.certificate, table.key)
    except (OSError, ssl.SSLError) as error:
        return Error(KeyFault(table.certificate, error.strerror or str(error)))
    return Ok(context)


def _start(
    table: TlsTable,
    server: ssl.SSLContext,
    client: ssl.SSLContext,
    stamps: tuple[tuple[int, int, int], ...],
) -> Keys:
    keys = Keys(table, client, server, server, stamps)

    def use_newest(link: ssl.SSLObject, _name: str | None, _context: ssl.SSLContext) -> None:
        link.context = keys.newest_server

    server.sni_callback = use_newest
    return keys


def _read_stamps(table: TlsTable) -> tuple[tuple[int, int, int], ...]:
    found = [os.stat(file) for file in (table.authority, table.certificate, table.key)]
    return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in found)
