"""Hold what was done and seen in a soak."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from bendwind_bench.deployment import Action, Member
from bendwind_bench.load import Sample
from bendwind_bench.load.guarantees import RunCounts
from bendwind_bench.soak.content import SeenContent
from bendwind_bench.upstream import Arrival, DrainNotice, SlotWait
from bendwind_core.core import Milliseconds, Seconds


@dataclass(frozen=True, slots=True)
class Injected:
    """Hold one action that was carried out on a process."""

    at_s: Seconds
    target: str
    action: Action


@dataclass(frozen=True, slots=True)
class DisturbedLink:
    """Hold a span of time in which the link to a target was disturbed."""

    begin_s: Seconds
    end_s: Seconds
    target: str


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Hold one planned stop of a node and its exit code, None if it had to be killed."""

    target: str
    begin_s: Seconds
    end_s: Seconds
    exit_code: int | None


@dataclass(frozen=True, slots=True)
class SeenVersion:
    """Hold the version of the configuration that one run of a node reported."""

    at_s: Seconds
    node: str
    process: int
    version: int


@dataclass(frozen=True, slots=True)
class Ended:
    """Hold a sample and the time at which its send ended."""

    sample: Sample
    at_s: Seconds


@dataclass(slots=True)
class SoakRecord:
    """Collect what was done and seen; times count from the start of the load.

    `nodes` maps the address for callers to the name of its node, `owners` an upstream to its own.
    `applied` holds for each run of a node the versions that it put in force; `differing` the nodes
    that noticed to hold something else than their version contains. `waits_ms` tells the intents
    of versions apart. `unserved` names what was not served within the time to recover,
    `lost_claims` the services whose holders of claims had all been killed. `unexpected_ends` names
    nodes that ended by themselves.
    """

    nodes: dict[str, str]
    owners: dict[str, str] = field(default_factory=dict)
    ended: list[Ended] = field(default_factory=list)
    injected: list[Injected] = field(default_factory=list)
    links: list[DisturbedLink] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    slot_waits: list[SlotWait] = field(default_factory=list)
    drain_notices: list[DrainNotice] = field(default_factory=list)
    applied: list[tuple[str, list[int]]] = field(default_factory=list)
    stops: list[PlannedStop] = field(default_factory=list)
    versions: list[SeenVersion] = field(default_factory=list)
    contents: list[SeenContent] = field(default_factory=list)
    differing: list[str] = field(default_factory=list)
    acknowledged: list[int] = field(default_factory=list)
    waits_ms: dict[int, Milliseconds] = field(default_factory=dict)
    runs: RunCounts = field(default_factory=RunCounts)
    unserved: list[str] = field(default_factory=list)
    lost_claims: list[str] = field(default_factory=list)
    unexpected_ends: list[str] = field(default_factory=list)

    def is_disturbed(self, target: str, begin_s: Seconds, end_s: Seconds) -> bool:
        """Return whether a process was killed, frozen or let go on in a span of time."""
        return any(
            item.target == target
            and item.action in DISTURBING_ACTIONS
            and begin_s <= item.at_s <= end_s
            for item in self.injected
        )

    def is_link_disturbed(self, target: str, begin_s: Seconds, end_s: Seconds) -> bool:
        """Return whether the link to a target was disturbed in a span of time."""
        return any(
            link.target == target and link.begin_s <= end_s and begin_s <= link.end_s
            for link in self.links
        )


DISTURBING_ACTIONS = frozenset(
    {Action.KILL, Action.FREEZE, Action.THAW, Action.RESTART, Action.WIPE}
)


def create_record(members: Sequence[Member]) -> SoakRecord:
    """Create the empty record of a soak with these members."""
    nodes = {member.callers_address: member.name for member in members}
    return SoakRecord(nodes, {member.upstream.name: member.name for member in members})
