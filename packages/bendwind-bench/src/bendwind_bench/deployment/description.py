"""Read the description of a deployment from its TOML file."""

from pathlib import Path

import msgspec

from bendwind_bench.load import RequestKind
from bendwind_core.core import Milliseconds

EXAMPLES = Path("examples")


class ServiceDescription(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a service and the capacity of each of its stand-in upstreams."""

    name: str
    upstreams: int
    slots: int
    connections: int
    service_ms: Milliseconds
    spread: float = 0.5


class DeploymentDescription(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe data centres, delays, services and the mix of requests that callers send."""

    name: str
    region: str
    client_delay_ms: Milliseconds
    data_centre_delay_ms: Milliseconds
    data_centres: list[str]
    voters: int
    services: list[ServiceDescription]
    requests: list[RequestKind]
    intent: str = "intent.toml"


def find_description(name: str) -> tuple[DeploymentDescription, Path]:
    """Return the description of a named example or of a TOML file, and the path of its intent.

    Errors: raises msgspec.ValidationError that names the invalid key.
    """
    file = Path(name) if name.endswith(".toml") else EXAMPLES / name / "deployment.toml"
    description = msgspec.toml.decode(file.read_bytes(), type=DeploymentDescription)
    return description, file.parent / description.intent
