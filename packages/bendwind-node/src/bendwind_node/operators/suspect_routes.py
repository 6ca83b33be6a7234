"""Answer requests about suspects, which are requests during which upstreams ended."""

import msgspec
import trio

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds
from bendwind_core.suspicion import Suspect, SuspectTable, clear_suspect, is_quarantined
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.operators.errors import ErrorKind, plain_error
from bendwind_node.operators.http import Response, json_response


class SuspectView(msgspec.Struct, frozen=True):
    """Describe one suspect.

    Units: `last_ms` is the time since an upstream last ended while it ran the request, in
    milliseconds.
    """

    signature: str
    service: str
    ends: int
    quarantined: bool
    last_ms: Milliseconds
    upstreams: tuple[str, ...]


class SuspectsView(msgspec.Struct, frozen=True):
    """List all suspects, those with the most upstream ends first."""

    suspects: tuple[SuspectView, ...]


class ReleasedView(msgspec.Struct, frozen=True):
    """Report that a request is no longer suspected."""

    released: str


class SuspectRoutes(msgspec.Struct):
    """Answer requests about the suspects that one process knows."""

    table: SuspectTable
    recorder: Recorder

    def get_suspects(self) -> Response:
        """Return the suspects that this process knows."""
        now = trio.current_time()
        suspects = [suspect for suspect in self.table.suspects.values() if suspect.ends]
        suspects.sort(key=lambda suspect: -suspect.count)
        return json_response(200, SuspectsView(tuple(self._make_view(s, now) for s in suspects)))

    def _make_view(self, suspect: Suspect, now: float) -> SuspectView:
        return SuspectView(
            suspect.signature.hex(),
            suspect.service,
            suspect.count,
            is_quarantined(self.table, suspect),
            round((now - suspect.last.at) * MILLISECONDS_PER_SECOND),
            tuple(end.id.upstream for end in suspect.ends),
        )

    def release(self, text: str) -> Response:
        """Clear a request of suspicion, here and at every process that receives the report."""
        try:
            signature = bytes.fromhex(text)
        except ValueError:
            return plain_error(400, ErrorKind.BAD_REQUEST, "signature: expected hexadecimal digits")
        if not clear_suspect(self.table, signature, trio.current_time()):
            return plain_error(
                404, ErrorKind.UNKNOWN_SUSPECT, "the request is not suspected by this process"
            )
        self.recorder.record(EventKind.REQUEST_RELEASED, detail=signature.hex())
        return json_response(200, ReleasedView(signature.hex()))
