"""Hold a process's TLS contexts and reload them when the key files change."""

import os
import ssl
from collections.abc import Callable

import msgspec
from expression import Error, Result

from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.security.contexts import Contexts, KeyFault, create_contexts
from bendwind_node.settings import TlsTable

_FileStates = tuple[tuple[int, int, int], ...]


class Keys(msgspec.Struct):
    """Hold the newest usable contexts; open links keep the context with which they were opened.

    The objects `server` and `operators` are never replaced, so listening sockets can hold them:
    every handshake on them is switched to the newest context.
    """

    table: TlsTable
    client_authority: str | None
    recorder: Recorder
    newest: Contexts
    server: ssl.SSLContext
    operators: ssl.SSLContext
    file_states: _FileStates

    @property
    def client(self) -> ssl.SSLContext:
        """Return the context of new links to peers."""
        return self.newest.client

    def reload(self) -> None:
        """Use the key files if they changed and are complete; otherwise keep the old contexts."""
        try:
            file_states = _read_file_states(self.table, self.client_authority)
        except OSError:
            # A file is being replaced at this moment; the next check finds it.
            return
        if file_states == self.file_states:
            return
        self.file_states = file_states
        match _create_recorded_contexts(self.table, self.client_authority, self.recorder):
            case Result(tag="error", error=fault):
                self.recorder.record(EventKind.KEYS_REFUSED, detail=str(fault))
            case Result(ok=newest):
                self.newest = newest
                self.recorder.record(EventKind.KEYS_RELOADED, detail=self.table.certificate)


def load_keys(
    table: TlsTable, recorder: Recorder, client_authority: str | None = None
) -> Result[Keys, KeyFault]:
    """Load the keys that a settings file names; the recorder records refused handshakes.

    Errors: the file that cannot be used.
    """
    try:
        file_states = _read_file_states(table, client_authority)
    except OSError as error:
        return Error(KeyFault(str(error.filename), error.strerror or str(error)))
    created = _create_recorded_contexts(table, client_authority, recorder)
    return created.map(
        lambda contexts: _create_keys(table, client_authority, recorder, contexts, file_states)
    )


def _create_recorded_contexts(
    table: TlsTable, client_authority: str | None, recorder: Recorder
) -> Result[Contexts, KeyFault]:
    def record_refusal(reason: str) -> None:
        recorder.record(EventKind.HANDSHAKE_REFUSED, detail=reason)

    return create_contexts(table, client_authority, record_refusal)


def _create_keys(
    table: TlsTable,
    client_authority: str | None,
    recorder: Recorder,
    contexts: Contexts,
    file_states: _FileStates,
) -> Keys:
    server, operators = contexts.server, contexts.operators
    keys = Keys(table, client_authority, recorder, contexts, server, operators, file_states)
    server.sni_callback = _make_sni_callback(lambda: keys.newest.server)
    operators.sni_callback = _make_sni_callback(lambda: keys.newest.operators)
    return keys


def _make_sni_callback(find_context: Callable[[], ssl.SSLContext]) -> Callable:
    def switch_context(
        connection: ssl.SSLObject, _name: str | None, _context: ssl.SSLContext
    ) -> None:
        connection.context = find_context()

    return switch_context


def _read_file_states(table: TlsTable, client_authority: str | None) -> _FileStates:
    files = [table.authority, table.certificate, table.key]
    if client_authority is not None:
        files.append(client_authority)
    found = [os.stat(file) for file in files]
    return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in found)
