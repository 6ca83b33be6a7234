"""Define the settings of a stand-in upstream and the changes that a benchmark makes to it."""

from pathlib import Path

import msgspec

from bendwind_core.core import Milliseconds


class UpstreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the capacity of a stand-in and its initial behaviour.

    `node` is the address of the node to which it announces itself; if empty, it does not announce.
    `announced_port` is the port that it announces, its own if 0.
    `runs_file` and `arrivals_file` record runs and arrivals; if empty, nothing is recorded.
    `spread` is the sigma of the log-normal service time, whose mean is `service_ms`.
    """

    name: str
    service: str
    port: int
    host: str = "127.0.0.1"
    node: str = ""
    announced_port: int = 0
    slots: int = 12
    connections: int = 200
    queue: int = 48
    service_ms: Milliseconds = 10.0
    spread: float = 0.5
    cold_ms: Milliseconds = 0.0
    cold_factor: float = 3.0
    seed: int = 0
    runs_file: str = ""
    arrivals_file: str = ""


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Describe a change of a stand-in's behaviour; a field left out keeps its value.

    `at_ms` is the delay after the control request. `factor` multiplies service times, also those of
    requests being served. `noisy_slots` are slots lost to a noisy neighbour. `reported_in_flight`
    is a false value reported instead of the true load; a negative value ends this. `rate_limit` is
    announced in each answer, in requests per second; a negative value ends this. With `leaving`
    each answer announces that the stand-in leaves. `surplus_share` of the answers are followed by
    another one that nobody asked for. `node` is the address to which it announces
    itself from then on.
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
    surplus_share: float | None = None
    node: str | None = None


def read_upstream_settings(file: Path) -> UpstreamSettings:
    """Read a stand-in's settings from TOML.

    Errors: raises msgspec.ValidationError that names the invalid key.
    """
    return msgspec.toml.decode(file.read_bytes(), type=UpstreamSettings)
