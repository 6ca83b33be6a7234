"""Evacuate a data centre, so that it receives no new requests, or readmit it."""

import msgspec
from expression import Error, Ok, Result

from bendwind_core.plans import (
    EvacuationStatus,
    MarkEvacuated,
    PlanWarning,
    TooManyEvacuated,
    find_evacuation_warnings,
)
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.operators.control_client import ControlClient, ControlError, propose_command
from bendwind_node.operators.status_source import StatusSource


class UnknownDataCentre(msgspec.Struct, frozen=True):
    """Report that no data centre of this name is known, so that nothing was changed."""

    name: str
    known: tuple[str, ...]

    def __str__(self) -> str:
        return f"no data centre {self.name!r}; known: {', '.join(self.known) or 'none'}"


EvacuationError = UnknownDataCentre | TooManyEvacuated | ControlError


async def mark_evacuated(
    client: ControlClient, recorder: Recorder, data_centre: str, *, evacuated: bool
) -> Result[EvacuationStatus, EvacuationError]:
    """Stop new requests to a data centre's upstreams, or readmit it; both may be repeated.

    Errors: UnknownDataCentre; TooManyEvacuated; ControlError, after which the call may be repeated.
    """
    detail = f"{data_centre}: {'evacuate' if evacuated else 'readmit'}"
    known = client.data_centres()
    is_evacuated = data_centre in client.state.configuration.evacuated
    if data_centre not in known and not is_evacuated:
        unknown = UnknownDataCentre(data_centre, tuple(sorted(known)))
        recorder.record(EventKind.EVACUATION_NOT_MARKED, detail=f"{detail}: {unknown}")
        return Error(unknown)
    match await propose_command(client, MarkEvacuated(data_centre, evacuated)):
        case Result(tag="ok", ok=EvacuationStatus() as status):
            outcome = f"as of version {status.version}" if status.is_new else "already in force"
            recorder.record(EventKind.EVACUATION_MARKED, detail=f"{detail}: {outcome}")
            return Ok(status)
        case Result(tag="ok", ok=TooManyEvacuated() as refusal):
            recorder.record(EventKind.EVACUATION_NOT_MARKED, detail=f"{detail}: {refusal}")
            return Error(refusal)
        case Result(tag="error", error=error):
            recorder.record(EventKind.EVACUATION_NOT_MARKED, detail=f"{detail}: {error!r}")
            return Error(error)
    raise AssertionError("the log answers an evacuation with its status")


def list_evacuation_warnings(
    client: ControlClient, source: StatusSource, data_centre: str
) -> tuple[PlanWarning, ...]:
    """List the services that lose upstreams to an evacuation, with their remaining capacity."""
    configuration = client.state.configuration
    return find_evacuation_warnings(configuration, data_centre, tuple(source.upstreams()))
