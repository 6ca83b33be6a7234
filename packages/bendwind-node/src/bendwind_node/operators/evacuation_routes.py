"""Answer the requests that evacuate a data centre or readmit it."""

import msgspec
from expression import Result

from bendwind_core.plans import PlanWarning, TooManyEvacuated
from bendwind_core.timeline import Recorder
from bendwind_node.operators.control_client import ControlClient
from bendwind_node.operators.errors import ErrorKind, control_error, plain_error
from bendwind_node.operators.evacuations import (
    UnknownDataCentre,
    list_evacuation_warnings,
    mark_evacuated,
)
from bendwind_node.operators.http import Response, json_response
from bendwind_node.operators.status_source import StatusSource


class EvacuationView(msgspec.Struct, frozen=True):
    """Report whether a data centre is evacuated, since which version, and with which warnings.

    The warnings name services that have less capacity left elsewhere.
    """

    data_centre: str
    evacuated: bool
    version: int
    is_new: bool
    warnings: tuple[PlanWarning, ...] = ()


class EvacuationRoutes(msgspec.Struct):
    """Answer requests about evacuations on a control voter."""

    control: ControlClient
    source: StatusSource
    recorder: Recorder

    async def mark(self, data_centre: str, *, evacuated: bool) -> Response:
        """Evacuate a data centre or readmit it."""
        marked = await mark_evacuated(self.control, self.recorder, data_centre, evacuated=evacuated)
        match marked:
            case Result(tag="ok", ok=status):
                warnings = ()
                if evacuated:
                    warnings = list_evacuation_warnings(self.control, self.source, data_centre)
                view = EvacuationView(
                    status.data_centre, status.evacuated, status.version, status.is_new, warnings
                )
                return json_response(200, view)
            case Result(error=UnknownDataCentre() as unknown):
                return plain_error(404, ErrorKind.UNKNOWN_DATA_CENTRE, str(unknown))
            case Result(error=TooManyEvacuated(evacuated=count)):
                text = f"{count} data centres are evacuated"
                return plain_error(429, ErrorKind.TOO_MANY_MARKS, text)
            case Result(error=error):
                return control_error(error)
        raise AssertionError("a result is ok or an error")
