"""Record what arrived at a stand-in, in a file that outlives its process."""

import os
import time
from collections.abc import Iterable
from pathlib import Path

import msgspec

from bendwind_core.core import Seconds


class Arrival(msgspec.Struct, frozen=True, tag="arrival"):
    """Describe a send of a request that reached an upstream, also if it was shed.

    `at_s` is the time of the machine's monotonic clock, which all processes share.
    """

    at_s: Seconds
    upstream: str
    service: str
    request: str
    send: str


class SlotWait(msgspec.Struct, frozen=True, tag="slot-wait"):
    """Describe how long a request found all slots in use that its upstream had announced."""

    at_s: Seconds
    upstream: str
    seconds: Seconds


class DrainNotice(msgspec.Struct, frozen=True, tag="drain-notice"):
    """Describe that a node acknowledged that an upstream drains, or that it is told otherwise."""

    at_s: Seconds
    upstream: str
    is_draining: bool


Record = Arrival | SlotWait | DrainNotice


class ArrivalFile:
    """Append records to a file; without a name nothing is recorded."""

    def __init__(self, file: str):
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.descriptor = os.open(file, flags) if file else None

    def append(self, record: Record) -> None:
        """Append one record."""
        if self.descriptor is not None:
            os.write(self.descriptor, msgspec.json.encode(record) + b"\n")


def read_clock() -> Seconds:
    """Return the time of the clock by which arrivals are recorded."""
    return time.monotonic()


def read_arrivals(files: Iterable[Path]) -> list[Record]:
    """Return the records of all stand-ins, sorted by time."""
    decoder = msgspec.json.Decoder(Record)
    lines = [line for file in files if file.exists() for line in file.read_bytes().splitlines()]
    return sorted((decoder.decode(line) for line in lines), key=lambda record: record.at_s)
