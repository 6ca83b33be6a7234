"""Define the settings of a stand-in upstream and the changes a bench makes to its behaviour."""

from pathlib import Path

import msgspec

from bendwind_core.core import Milliseconds


class UpstreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State what a stand-in offers and how it behaves at its start.

    `node` is the address of the node beside it; empty to announce to nobody.
    `spread` is the sigma of the log-normal service time, whose mean is `service_ms`.
    """

    name: str
    service: str
    port: int
    host: str = "127.0.0.1"
    node: str = ""
    slots: int = 12
    connections: int = 200
    queue: int = 48
    service_ms: Milliseconds = 10.0
    spread: float = 0.5
    cold_ms: Milliseconds = 0.0
    cold_factor: float = 3.0
    seed: int = 0
    runs_file: str = ""


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Change a stand-in's behaviour at a time after the request; a field left out stays as it is.

    `factor` multiplies service times, also of requests being served. `noisy_slots` are taken by a
    neighbour. `reported_in_flight` is a lie told in place of the true load; below 0 ends the lie.
    `rate_limit` is named in each answer, in requests a second; below 0 ends it. With `leaving` each
    answer says that the stand-in leaves. `node` is whom it announces itself to from then on.
    """

    at_ms: Milliseconds = 0.0
    factor: float | None = None
    fail_share: float | None = None
    shed_share: float | None = None
    noisy_slots: int | None = None
    reported_in_flight: int | None = None
    healthy: bool | None = None
    draining: bool | None = None
    rate_limit: float | None = None
    leaving: bool | None = None
    node: str | None = None


def read_upstream_settings(file: Path) -> UpstreamSettings:
    """Read a stand-in's settings from TOML.

    Errors: raises msgspec.ValidationError naming the key that is wrong.
    """
    return msgspec.toml.decode(file.read_bytes(), type=UpstreamSettings)
