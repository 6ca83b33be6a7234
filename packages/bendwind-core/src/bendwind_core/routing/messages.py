"""Define the messages that query an owner node for the load of its upstream."""

from bendwind_core.core import Record
from bendwind_core.world import LoadSample


class LoadProbe(Record, frozen=True, array_like=True, tag="probe"):
    """Query the load of an upstream that has not answered a call recently."""

    upstream: str


class LoadReport(Record, frozen=True, array_like=True, tag="load"):
    """Report the load of an upstream."""

    upstream: str
    service: str
    load: LoadSample
