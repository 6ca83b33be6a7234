"""Define the messages that ask an owner node for its upstream's load."""

from bendwind_core.core import Record
from bendwind_core.world import LoadSample


class LoadProbe(Record, frozen=True, array_like=True, tag="probe"):
    """Ask for the load of an upstream that has not answered a call lately."""

    upstream: str


class LoadReport(Record, frozen=True, array_like=True, tag="load"):
    """Tell the load of an upstream."""

    upstream: str
    service: str
    load: LoadSample
