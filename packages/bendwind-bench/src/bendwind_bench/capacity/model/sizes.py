"""State the sizes that the page is worked out for, and what a node may spend."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400.0


@dataclass(frozen=True, slots=True)
class Size:
    """State one deployment.

    `watched`, `depth`, `keyed` and `held_s` are assumptions that the page names: the services a
    node calls or serves, the mean number of calls that one from outside causes, the share of calls
    from outside that carry an idempotency key, and how long a call is held.
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
    watched: int
    depth: float = 4.0
    keyed: float = 0.05
    held_s: float = 0.02
    heartbeat_s: float = 1.0
    lease_s: float = 4.0
    is_set_aside: bool = False

    @property
    def per_service(self) -> float:
        """Return the upstreams of a service."""
        return self.upstreams / self.services

    @property
    def watchers(self) -> float:
        """Return the nodes that watch a service."""
        return self.upstreams * self.watched / self.services

    @property
    def watched_upstreams(self) -> float:
        """Return the upstreams that a node watches."""
        return self.watched * self.per_service

    def links_each_way(self, subset: int) -> float:
        """Return the links that a node dials to owners, and as many entries dial to it."""
        return min(self.watched * min(subset, self.per_service), self.upstreams - 1)

    @property
    def entry_calls_per_s(self) -> float:
        """Return the calls that a node takes in, those that calls cause included."""
        return self.calls_per_s * self.depth / self.upstreams

    @property
    def claims_per_s(self) -> float:
        """Return the claims of a service."""
        return self.calls_per_s * self.keyed / self.services

    @property
    def upstream_changes_per_s(self) -> float:
        """Return how often any upstream drains, goes or comes."""
        per_day = 3 * self.restarts_per_day + 2 * self.failures_per_day
        return per_day / SECONDS_PER_DAY

    @property
    def changes_per_s(self) -> float:
        """Return how often the configuration changes."""
        return self.changes_per_day / SECONDS_PER_DAY


@dataclass(frozen=True, slots=True)
class Limits:
    """State what one node may spend.

    Units: percent of a core, bytes, bytes a second.
    """

    cpu_percent: float
    memory: float
    bytes_per_s: float


MIB = 1024.0 * 1024.0
CONTROL = Limits(2.8, 32 * 1e6, 28_000.0)
# An instance set aside for control; its one process has one thread.
SET_ASIDE = Limits(100.0, 4_000.0 * 1e6, 125e6)
# The path of calls has no stated share; one process has one thread.
CALLS = Limits(100.0, 4_000.0 * 1e6, 125e6)

ADDED_P99_MS = 0.43
SPREAD_LIMIT_MS = 10_000.0
RACK = 40
DATA_CENTRE_NODES = 2_100
APART_S = 300.0
PEAK_SHARE = 0.1
PEAK_S = 600.0

CERTITERMICA = Size("Certitérmica today", 13, 4, 3, 3, 200.0, 10.0, 0.1, 5.0, 4, depth=1.0)
ZADRUGA = Size("Zadruga today", 13, 4, 3, 3, 100.0, 10.0, 0.1, 5.0, 4, depth=1.0)
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
    is_set_aside=True,
)
SIZES = (CERTITERMICA, ZADRUGA, TARGET)
