"""Answer the requests that put complete configurations in force and read them back."""

import msgspec
from expression import Result

from bendwind_core.plans import RevisionFault, parse_revision
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.operators.control_client import ControlClient
from bendwind_node.operators.errors import (
    ErrorKind,
    control_error,
    describe_intent_error,
    plain_error,
)
from bendwind_node.operators.http import Request, Response, json_response
from bendwind_node.operators.revisions import put_revision, read_document

_TOML = "application/toml"


class RevisionView(msgspec.Struct, frozen=True):
    """Report which revision is in force, and whether this request put it in force."""

    revision: int
    version: int
    is_new: bool


class RevisionRoutes(msgspec.Struct):
    """Answer requests about complete configurations on a control voter."""

    control: ControlClient
    recorder: Recorder

    async def put(self, request: Request) -> Response:
        """Put the configuration in the body in force, unless its revision or a higher one is."""
        parsed = parse_revision(request.body, request.query.get("file", "revision"))
        if parsed.is_error():
            self.recorder.record(EventKind.REVISION_REFUSED, detail=str(parsed.error))
            return json_response(400, describe_intent_error(parsed.error))
        match await put_revision(self.control, self.recorder, parsed.ok):
            case Result(tag="ok", ok=status):
                return json_response(
                    200, RevisionView(status.revision, status.version, status.is_new)
                )
            case Result(error=RevisionFault() as fault):
                return plain_error(400, ErrorKind.BAD_INTENT, str(fault))
            case Result(error=error):
                return control_error(error)
        raise AssertionError("a result is ok or an error")

    async def get(self) -> Response:
        """Return the newest configuration as the operator sent it."""
        match await read_document(self.control):
            case Result(tag="ok", ok=document):
                return Response(200, document, _TOML)
            case Result(error=error):
                return control_error(error)
        raise AssertionError("a result is ok or an error")
