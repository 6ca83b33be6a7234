"""Put complete configurations in force under the operator's revisions, and read them back."""

from expression import Error, Ok, Result

from bendwind_core.plans import (
    PutRevision,
    RevisionFault,
    RevisionStatus,
    encode_revision,
)
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.operators.control_client import (
    ControlClient,
    ControlError,
    NoQuorum,
)


async def put_revision(
    client: ControlClient, recorder: Recorder, command: PutRevision
) -> Result[RevisionStatus, RevisionFault | ControlError]:
    """Put a configuration in force, unless its revision or a higher one is.

    Errors: RevisionFault for an invalid configuration; ControlError, after which the call may be
    repeated.
    """
    detail = f"revision {command.routing.revision}"
    encoded = encode_revision(command)
    if encoded.is_error():
        recorder.record(EventKind.REVISION_REFUSED, detail=f"{detail}: {encoded.error}")
        return encoded
    match await client.propose(encoded.ok):
        case Result(tag="ok", ok=RevisionStatus() as status):
            outcome = f"in force as version {status.version}" if status.is_new else "not higher"
            recorder.record(
                EventKind.REVISION_HELD,
                detail=f"{detail}: {outcome}, current revision {status.revision}",
            )
            return Ok(status)
        case Result(tag="error", error=error):
            recorder.record(EventKind.REVISION_NOT_PUT, detail=f"{detail}: {error!r}")
            return Error(error)
    raise AssertionError("the log answers a revision with its status")


async def read_document(client: ControlClient) -> Result[bytes, ControlError]:
    """Return the newest complete configuration as the operator sent it.

    Errors: ControlError if this process cannot confirm the newest, or if there is none.
    """
    confirmed = await client.barrier()
    if confirmed.is_error():
        return confirmed
    if not client.state.document:
        return Error(NoQuorum("no complete configuration has been put in force yet"))
    return Ok(client.state.document)
