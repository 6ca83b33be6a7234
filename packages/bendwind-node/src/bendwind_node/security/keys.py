"""Hold a process's TLS contexts and renew them when their files change."""

import os
import ssl
from collections.abc import Callable

import msgspec
from expression import Error, Result

from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.security.contexts import Contexts, KeyFault, make_contexts
from bendwind_node.settings import TlsTable

_Stamps = tuple[tuple[int, int, int], ...]


class Keys(msgspec.Struct):
    """Hold the newest usable contexts; links that run keep the ones they began with.

    `server` and `operators` never change as objects, so that listening sockets may hold them:
    every handshake on them is moved to the newest context.
    """

    table: TlsTable
    client_authority: str | None
    recorder: Recorder
    newest: Contexts
    server: ssl.SSLContext
    operators: ssl.SSLContext
    stamps: _Stamps

    @property
    def client(self) -> ssl.SSLContext:
        """Return the context of new links to peers."""
        return self.newest.client

    def reload(self) -> None:
        """Take the key files into use if they changed and are whole; keep the old ones if not."""
        try:
            stamps = _read_stamps(self.table, self.client_authority)
        except OSError:
            # A file that is just being replaced; the next look finds it.
            return
        if stamps == self.stamps:
            return
        self.stamps = stamps
        match _make(self.table, self.client_authority, self.recorder):
            case Result(tag="error", error=fault):
                self.recorder.record(EventKind.KEYS_REFUSED, detail=str(fault))
            case Result(ok=newest):
                self.newest = newest
                self.recorder.record(EventKind.KEYS_RELOADED, detail=self.table.certificate)


def load_keys(
    table: TlsTable, recorder: Recorder, client_authority: str | None = None
) -> Result[Keys, KeyFault]:
    """Load the keys that a settings file names; the recorder hears of refused handshakes.

    Errors: the file that cannot be used.
    """
    try:
        stamps = _read_stamps(table, client_authority)
    except OSError as error:
        return Error(KeyFault(str(error.filename), error.strerror or str(error)))
    made = _make(table, client_authority, recorder)
    return made.map(
        lambda contexts: _create_keys(table, client_authority, recorder, contexts, stamps)
    )


def _make(
    table: TlsTable, client_authority: str | None, recorder: Recorder
) -> Result[Contexts, KeyFault]:
    def record_refusal(reason: str) -> None:
        recorder.record(EventKind.HANDSHAKE_REFUSED, detail=reason)

    return make_contexts(table, client_authority, record_refusal)


def _create_keys(
    table: TlsTable,
    client_authority: str | None,
    recorder: Recorder,
    contexts: Contexts,
    stamps: _Stamps,
) -> Keys:
    server, operators = contexts.server, contexts.operators
    keys = Keys(table, client_authority, recorder, contexts, server, operators, stamps)
    server.sni_callback = _move_to(lambda: keys.newest.server)
    operators.sni_callback = _move_to(lambda: keys.newest.operators)
    return keys


def _move_to(find: Callable[[], ssl.SSLContext]) -> Callable:
    def move(link: ssl.SSLObject, _name: str | None, _context: ssl.SSLContext) -> None:
        link.context = find()

    return move


def _read_stamps(table: TlsTable, client_authority: str | None) -> _Stamps:
    files = [table.authority, table.certificate, table.key]
    if client_authority is not None:
        files.append(client_authority)
    found = [os.stat(file) for file in files]
    return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in found)
