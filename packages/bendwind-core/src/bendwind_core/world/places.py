"""Describe where processes run."""

from bendwind_core.core import Incarnation, Port, Record


class DataCentre(Record, frozen=True, array_like=True):
    """Describe a data centre by its name and its region."""

    name: str
    region: str = ""


class Instance(Record, frozen=True, array_like=True):
    """Identify one run of a bendwindd process and the address at which its peers reach it.

    `incarnation` increases with every start of the process, so two runs with the same name differ.
    `operators` is the address (host and port) at which operators reach it.
    """

    name: str
    data_centre: str
    host: str
    port: Port
    incarnation: Incarnation
    operators: str = ""
