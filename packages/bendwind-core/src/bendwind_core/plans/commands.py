"""Define the commands that the control log carries."""

import enum

import msgspec

from bendwind_core.claims import ChangeClaimGroup
from bendwind_core.core import Record
from bendwind_core.plans.changes import Changes
from bendwind_core.world import Customer, Routing, Service


class CreatePlan(Record, frozen=True, array_like=True, tag="create-plan"):
    """Keep a plan made from `base_version`, unless the request already made one.

    Units: `now_ms` is the leader's wall clock, `ttl_ms` the time the plan may be confirmed in.
    """

    request: str
    digest: bytes
    base_version: int
    changes: Changes
    now_ms: int
    ttl_ms: int


class ConfirmPlan(Record, frozen=True, array_like=True, tag="confirm-plan"):
    """Put a plan's configuration in force if its base is still the version in force.

    Units: `now_ms` is the leader's wall clock in milliseconds since 1970.
    """

    index: int
    now_ms: int


class DrainTarget(enum.StrEnum):
    """Say what a drain mark names."""

    INSTANCE = "instance"
    UPSTREAM = "upstream"


class MarkDraining(Record, frozen=True, array_like=True, tag="mark-draining"):
    """Ask for an instance or upstream to be drained, or no longer."""

    target: DrainTarget
    name: str
    draining: bool


class PutRevision(Record, frozen=True, array_like=True, tag="put-revision"):
    """Put a whole configuration in force unless its revision is not above the one held.

    `document` is what the operator sent, kept to be read back as it was. `customers` is None where
    requests need no key.
    """

    services: tuple[Service, ...]
    routing: Routing
    document: bytes
    customers: tuple[Customer, ...] | None = None


class MarkEvacuated(Record, frozen=True, array_like=True, tag="mark-evacuated"):
    """Ask that the upstreams of a data centre get nothing new, or no longer."""

    data_centre: str
    evacuated: bool


# A voter sends another an entry of the log in one message, which may have 4 MiB with all around it.
MAX_COMMAND_BYTES = 7 << 19

Command = CreatePlan | ConfirmPlan | MarkDraining | ChangeClaimGroup | PutRevision | MarkEvacuated

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Encode a command for the control log."""
    return _ENCODER.encode(command)


def decode_command(data: bytes) -> Command:
    """Decode a command of the control log.

    Errors: raises msgspec.DecodeError on anything else, since every voter must understand the
    same entries; a voter that does not must stop rather than differ from the others.
    """
    return _DECODER.decode(data)
