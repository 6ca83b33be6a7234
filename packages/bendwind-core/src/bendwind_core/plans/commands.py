"""Define the commands of the control log."""

import enum

import msgspec
from expression import Error, Ok, Result

from bendwind_core.claims import ChangeClaimGroup
from bendwind_core.core import ENCODE_ERRORS, Record, describe_reason
from bendwind_core.plans.changes import Changes
from bendwind_core.runs import RunRecord
from bendwind_core.world import Customer, Routing, Service


class CreatePlan(Record, frozen=True, array_like=True, tag="create-plan"):
    """Store a plan that is based on `base_version`, unless the request already created one.

    Units: `now_ms` is the leader's wall clock, `ttl_ms` the time within which the plan can be
    confirmed.
    """

    request: str
    digest: bytes
    base_version: int
    changes: Changes
    now_ms: int
    ttl_ms: int


class ConfirmPlan(Record, frozen=True, array_like=True, tag="confirm-plan"):
    """Activate a plan's configuration if its base is still the active version.

    Units: `now_ms` is the leader's wall clock in milliseconds since 1970.
    """

    index: int
    now_ms: int


class DrainTarget(enum.StrEnum):
    """Enumerate what a drain mark can name."""

    INSTANCE = "instance"
    UPSTREAM = "upstream"


class MarkDraining(Record, frozen=True, array_like=True, tag="mark-draining"):
    """Set or clear the drain mark of an instance or upstream."""

    target: DrainTarget
    name: str
    draining: bool


class PutRevision(Record, frozen=True, array_like=True, tag="put-revision"):
    """Activate a complete configuration if its revision is above the current revision.

    `document` is the text that the operator sent, stored so that it can be read back unchanged.
    `customers` is None if requests need no key.
    """

    services: tuple[Service, ...]
    routing: Routing
    document: bytes
    customers: tuple[Customer, ...] | None = None


class MarkEvacuated(Record, frozen=True, array_like=True, tag="mark-evacuated"):
    """Set or clear the evacuation of a data centre.

    While it is set, the upstreams of the data centre get no new requests.
    """

    data_centre: str
    evacuated: bool


class RecordRuns(Record, frozen=True, array_like=True, tag="record-runs"):
    """Keep what nodes reported of the runs of their upstreams.

    Units: `now_ms` is the leader's wall clock in milliseconds since 1970.
    """

    now_ms: int
    records: tuple[RunRecord, ...]


# A voter sends a log entry to another voter in one message. A message is limited to 4 MiB, which
# includes everything that surrounds the entry.
MAX_COMMAND_BYTES = 7 << 19

Command = (
    CreatePlan
    | ConfirmPlan
    | MarkDraining
    | ChangeClaimGroup
    | PutRevision
    | MarkEvacuated
    | RecordRuns
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


class CommandFault(msgspec.Struct, frozen=True):
    """Report that no entry of the log can hold a command, whoever proposes it and when."""

    command: str
    reason: str
    is_too_large: bool = False

    def __str__(self) -> str:
        return f"{self.command}: {self.reason}"


def encode_command(command: Command) -> Result[bytes, CommandFault]:
    """Encode a command for the control log, and check that every voter can decode it.

    Errors: CommandFault.
    """
    name = command.__struct_config__.tag
    try:
        encoded = _ENCODER.encode(command)
        # A voter that cannot decode an entry stops, and so do all others.
        _DECODER.decode(encoded)
    except ENCODE_ERRORS as error:
        return Error(CommandFault(name, describe_reason(error)))
    if len(encoded) > MAX_COMMAND_BYTES:
        reason = f"{len(encoded)} bytes of {MAX_COMMAND_BYTES}"
        return Error(CommandFault(name, reason, is_too_large=True))
    return Ok(encoded)


def decode_command(data: bytes) -> Command:
    """Decode a command of the control log.

    Errors: raises msgspec.DecodeError on anything else. Every voter must understand the same
    entries; a voter that does not must stop, since its state would differ from the others.
    """
    return _DECODER.decode(data)
