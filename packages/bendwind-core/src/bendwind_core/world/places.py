"""Describe where processes run."""

from bendwind_core.core import Record


class DataCentre(Record, frozen=True, array_like=True):
    """Name a data centre and the region that holds it."""

    name: str
    region: str = ""


class Instance(Record, frozen=True, array_like=True):
    """Name one run of a bendwindd process and the address its peers reach it at.

    `incarnation` grows with every start of the process, so that two runs under one name differ.
    `operators` is the address, host and port, that operators reach it at.
    """

    name: str
    data_centre: str
    host: str
    port: int
    incarnation: int
    operators: str = ""
