"""Define the deployment sizes that the page covers and the limits of a node's costs."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400.0


@dataclass(frozen=True, slots=True)
class Size:
    """Describe the size of one deployment.

    Four fields are assumptions that the page names. `watched_services` is the number of services
    that a node calls or serves. `calls_per_external_call` is the mean number of calls that a call
    from outside causes, including itself. `keyed_share` is the share of calls from outside that
    carry an idempotency key. `call_duration_s` is how long a node holds a call.
    """

    title: str
    upstreams: int
    services: int
    voters: int
    data_centres: int
    calls_per_s: float
    changes_per_day: float
    failures_per_day: float
    restarts_per_day: float
    watched_services: int
    calls_per_external_call: float = 4.0
    keyed_share: float = 0.05
    call_duration_s: float = 0.02
    heartbeat_s: float = 1.0
    lease_s: float = 4.0
    is_dedicated: bool = False

    @property
    def upstreams_per_service(self) -> float:
        """Return the number of upstreams per service."""
        return self.upstreams / self.services

    @property
    def watchers(self) -> float:
        """Return the number of nodes that watch a service."""
        return self.upstreams * self.watched_services / self.services

    @property
    def watched_upstreams(self) -> float:
        """Return the number of upstreams that a node watches."""
        return self.watched_services * self.upstreams_per_service

    def links_each_way(self, subset: int) -> float:
        """Return the number of links that a node dials to owners; as many entries dial the node."""
        return min(
            self.watched_services * min(subset, self.upstreams_per_service), self.upstreams - 1
        )

    @property
    def entry_calls_per_s(self) -> float:
        """Return the calls per second that enter at a node, with those that calls cause."""
        return self.calls_per_s * self.calls_per_external_call / self.upstreams

    @property
    def claims_per_s(self) -> float:
        """Return the number of claims of a service per second."""
        return self.calls_per_s * self.keyed_share / self.services

    @property
    def upstream_changes_per_s(self) -> float:
        """Return how often any upstream drains, disappears or appears per second."""
        per_day = 3 * self.restarts_per_day + 2 * self.failures_per_day
        return per_day / SECONDS_PER_DAY

    @property
    def changes_per_s(self) -> float:
        """Return how often the configuration changes per second."""
        return self.changes_per_day / SECONDS_PER_DAY


@dataclass(frozen=True, slots=True)
class Limits:
    """Hold the limits of the costs of one node.

    Units: percent of a core, bytes, bytes per second.
    """

    cpu_percent: float
    memory: float
    bytes_per_s: float


MIB = 1024.0 * 1024.0
CONTROL_LIMITS = Limits(2.8, 32 * 1e6, 28_000.0)
# An instance that is dedicated to control; it runs one process with one thread.
DEDICATED_VOTER_LIMITS = Limits(100.0, 4_000.0 * 1e6, 125e6)
# No limit is specified for the path of calls, so it is one core: one process has one thread.
CALL_LIMITS = Limits(100.0, 4_000.0 * 1e6, 125e6)

ADDED_P99_MS = 0.43
SPREAD_LIMIT_MS = 10_000.0
RACK_NODES = 40
DATA_CENTRE_NODES = 2_100
PARTITION_S = 300.0
PEAK_SHARE = 0.1
PEAK_S = 600.0

CERTITERMICA = Size(
    "Certitérmica today", 13, 4, 3, 3, 200.0, 10.0, 0.1, 5.0, 4, calls_per_external_call=1.0
)
ZADRUGA = Size("Zadruga today", 13, 4, 3, 3, 100.0, 10.0, 0.1, 5.0, 4, calls_per_external_call=1.0)
TARGET = Size(
    "Target",
    15_000,
    650,
    5,
    7,
    1e6,
    6_200.0,
    63.0,
    5_700.0,
    10,
    heartbeat_s=4.0,
    lease_s=10.0,
    is_dedicated=True,
)
SIZES = (CERTITERMICA, ZADRUGA, TARGET)
