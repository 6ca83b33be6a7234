"""Draw the faults and changes of a soak from its seed."""

import enum
import random
from collections.abc import Iterable

import msgspec

from bendwind_bench.deployment import Action, Fault
from bendwind_bench.upstream import Change
from bendwind_core.core import Milliseconds, Seconds

# The last share of a schedule has no new faults, so that recovery is seen.
FAULTY_SHARE = 0.8
MEAN_PAUSE_S = 4.0
OUTAGE_S = (0.2, 4.0)
WAITS_MS = (3000.0, 6000.0)
MAX_OPERATORS = 3
MEAN_CHANGE_PAUSE_S = 5.0
# Longer than the retries that were saved before it last.
OVERLOAD_S = (6.0, 10.0)
DISTURBED_NODE_LINKS = 4.0
MAX_CLOCK_STEP_S = 86_400.0
# Long enough that a change is acknowledged before the power is lost, and little follows it.
CHANGE_BEFORE_LOSS_S = 0.3


class LinkFaultKind(enum.StrEnum):
    """List what a proxy does to the connections that lead through it."""

    DELAY = "delay"
    RESET = "reset"
    SILENCE_REQUESTS = "silence-requests"
    SILENCE_ANSWERS = "silence-answers"
    THROTTLE = "throttle"
    LOSE_TAIL = "lose-tail"
    SILENCE_OPEN = "silence-open"


class LinkFault(msgspec.Struct, frozen=True):
    """Describe a fault of the link named `target`, `at_s` after the start."""

    at_s: Seconds
    seconds: Seconds
    kind: LinkFaultKind
    target: str


class DiskFaultKind(enum.StrEnum):
    """List what a disk does to the voter that writes to it."""

    FULL = "full"
    SLOW = "slow"


class DiskFault(msgspec.Struct, frozen=True):
    """Describe a fault of the disk of the voter named `target`, `at_s` after the start."""

    at_s: Seconds
    seconds: Seconds
    kind: DiskFaultKind
    target: str


class ClockStep(msgspec.Struct, frozen=True):
    """Describe by how much the wall clock of a node is off when it starts after `at_s`."""

    at_s: Seconds
    step_s: Seconds
    target: str


class RacingChange(msgspec.Struct, frozen=True):
    """Describe one change of the configuration by each of several operators at once.

    `waits_ms` holds the longest wait that each of them asks for.
    """

    at_s: Seconds
    waits_ms: list[Milliseconds]


class SoakTargets(msgspec.Struct, frozen=True):
    """Name the processes of a soak, and what else of them can be disturbed.

    The links to `proxied` upstreams and the `links` between nodes lead through a proxy. `voters`
    are the nodes that have a disk.
    """

    nodes: list[str]
    upstreams: list[str]
    proxied: list[str]
    links: list[str]
    voters: list[str]


class SoakSchedule(msgspec.Struct, frozen=True):
    """Hold all that happens in one soak, each list sorted by time."""

    seed: int
    seconds: Seconds
    faults: list[Fault]
    link_faults: list[LinkFault]
    changes: list[RacingChange]
    disk_faults: list[DiskFault]
    clock_steps: list[ClockStep]


def make_schedule(seed: int, seconds: Seconds, targets: SoakTargets) -> SoakSchedule:
    """Draw a schedule; the same arguments give the same schedule."""
    rng = random.Random(f"soak {seed}")
    end_s = seconds * FAULTY_SHARE
    faults = []
    for node in targets.nodes:
        faults += _draw_series(rng, node, end_s, _draw_node_outage)
    for upstream in targets.upstreams:
        faults += _draw_series(rng, upstream, end_s, _draw_upstream_outage)
    # What a proxy withholds may arrive after the next request was sent, and is then its answer.
    for upstream in sorted(set(targets.upstreams) - set(targets.proxied)):
        faults += _draw_surplus(rng, upstream, end_s)
    faults = _add_overload(rng, faults, targets.upstreams, end_s)
    faults.append(Fault(rng.uniform(0.0, end_s), Action.WIPE, rng.choice(targets.voters)))
    loss_s = rng.uniform(0.0, end_s)
    faults += _draw_power_loss(rng, targets.voters, loss_s, end_s)
    before_loss = RacingChange(max(0.0, loss_s - CHANGE_BEFORE_LOSS_S), [rng.uniform(*WAITS_MS)])
    return SoakSchedule(
        seed,
        seconds,
        _sort(faults),
        _sort(_draw_all_link_faults(rng, targets, end_s)),
        _sort([before_loss, *_draw_changes(rng, end_s)]),
        _sort(fault for voter in targets.voters for fault in _draw_disk_faults(rng, voter, end_s)),
        _sort(_draw_clock_steps(rng, targets.nodes, end_s)),
    )


def _sort(items: Iterable) -> list:
    return sorted(items, key=_read_time)


def _read_time(item: Fault | LinkFault | DiskFault | ClockStep | RacingChange) -> Seconds:
    return item.at_s


def _draw_series(rng: random.Random, target: str, end_s: Seconds, draw) -> list[Fault]:
    faults = []
    at_s = rng.expovariate(1.0 / (2.0 * MEAN_PAUSE_S))
    while at_s < end_s:
        outage_s = rng.uniform(*OUTAGE_S)
        faults += draw(rng, target, at_s, min(end_s, at_s + outage_s))
        at_s += outage_s + rng.expovariate(1.0 / MEAN_PAUSE_S)
    return faults


def _draw_node_outage(rng: random.Random, node: str, at_s: Seconds, end_s: Seconds) -> list[Fault]:
    kind = rng.choice(("stop", "stop", "kill", "freeze", "restart", "reload", "stop-then-kill"))
    match kind:
        case "stop":
            return _outage(node, Action.STOP, Action.START, at_s, end_s)
        case "kill":
            return _outage(node, Action.KILL, Action.START, at_s, end_s)
        case "freeze":
            return _outage(node, Action.FREEZE, Action.THAW, at_s, end_s)
        case "restart":
            return [Fault(at_s, Action.RESTART, node)]
        case "reload":
            return [Fault(at_s, Action.RELOAD, node)]
    middle_s = rng.uniform(at_s, end_s)
    return [
        Fault(at_s, Action.STOP, node),
        *_outage(node, Action.KILL, Action.START, middle_s, end_s),
    ]


def _draw_upstream_outage(
    rng: random.Random, upstream: str, at_s: Seconds, end_s: Seconds
) -> list[Fault]:
    kind = rng.choice(("stop", "kill", "freeze", "restart", "slow", "failing", "shedding", "drain"))
    match kind:
        case "stop":
            return _outage(upstream, Action.STOP, Action.START, at_s, end_s)
        case "kill":
            return _outage(upstream, Action.KILL, Action.START, at_s, end_s)
        case "freeze":
            return _outage(upstream, Action.FREEZE, Action.THAW, at_s, end_s)
        case "restart":
            return [Fault(at_s, Action.RESTART, upstream)]
        case "slow":
            first, second = Change(factor=rng.uniform(2.0, 20.0)), Change(factor=1.0)
        case "failing":
            first, second = Change(fail_share=rng.uniform(0.1, 1.0)), Change(fail_share=0.0)
        case "shedding":
            first, second = Change(shed_share=rng.uniform(0.1, 1.0)), Change(shed_share=0.0)
        case _:
            first, second = Change(draining=True), Change(draining=False)
    return [
        Fault(at_s, Action.CHANGE, upstream, first),
        Fault(end_s, Action.CHANGE, upstream, second),
    ]


def _draw_power_loss(
    rng: random.Random, voters: list[str], at_s: Seconds, end_s: Seconds
) -> list[Fault]:
    """Kill all voters at once, so that only what they had synced is left."""
    faults = []
    for voter in voters:
        last_s = min(end_s, at_s + rng.uniform(*OUTAGE_S))
        faults += _outage(voter, Action.KILL, Action.START, at_s, last_s)
    return faults


def _draw_surplus(rng: random.Random, upstream: str, end_s: Seconds) -> list[Fault]:
    at_s = rng.uniform(0.0, end_s)
    last_s = min(end_s, at_s + rng.uniform(*OUTAGE_S))
    return [
        Fault(at_s, Action.CHANGE, upstream, Change(surplus_share=rng.uniform(0.1, 0.5))),
        Fault(last_s, Action.CHANGE, upstream, Change(surplus_share=0.0)),
    ]


def _outage(target: str, first: Action, second: Action, at_s: Seconds, end_s: Seconds):
    return [Fault(at_s, first, target), Fault(end_s, second, target)]


def _add_overload(
    rng: random.Random, faults: list[Fault], upstreams: list[str], end_s: Seconds
) -> list[Fault]:
    """Have all upstreams of one service shed for a time, so that no retry is of use."""
    service = read_service(rng.choice(upstreams))
    begin_s = rng.uniform(0.0, end_s / 2.0)
    last_s = min(end_s, begin_s + rng.uniform(*OVERLOAD_S))
    overloaded = [name for name in upstreams if read_service(name) == service]
    others = [
        fault
        for fault in faults
        if fault.target not in overloaded
        or fault.change.shed_share is None
        or not begin_s <= fault.at_s <= last_s
    ]
    for name in overloaded:
        others.append(Fault(begin_s, Action.CHANGE, name, Change(shed_share=1.0)))
        others.append(Fault(last_s, Action.CHANGE, name, Change(shed_share=0.0)))
    return others


def read_service(upstream: str) -> str:
    """Return the service of an upstream from its name."""
    return upstream.rpartition("-")[0]


def _draw_all_link_faults(
    rng: random.Random, targets: SoakTargets, end_s: Seconds
) -> list[LinkFault]:
    faults = []
    for name in targets.proxied:
        faults += _draw_link_faults(rng, name, end_s, MEAN_PAUSE_S)
    # However many links there are between nodes, about as many of them are disturbed at a time.
    pause_s = MEAN_PAUSE_S * len(targets.links) / DISTURBED_NODE_LINKS
    for name in targets.links:
        faults += _draw_link_faults(rng, name, end_s, pause_s)
    return faults


def _draw_link_faults(
    rng: random.Random, name: str, end_s: Seconds, pause_s: Seconds
) -> list[LinkFault]:
    faults = []
    at_s = rng.expovariate(1.0 / pause_s)
    while at_s < end_s:
        seconds = min(rng.uniform(*OUTAGE_S), end_s - at_s)
        faults.append(LinkFault(at_s, seconds, rng.choice(list(LinkFaultKind)), name))
        at_s += seconds + rng.expovariate(1.0 / pause_s)
    return faults


def _draw_disk_faults(rng: random.Random, voter: str, end_s: Seconds) -> list[DiskFault]:
    faults = []
    at_s = rng.expovariate(1.0 / (3.0 * MEAN_PAUSE_S))
    while at_s < end_s:
        seconds = min(rng.uniform(*OUTAGE_S), end_s - at_s)
        faults.append(DiskFault(at_s, seconds, rng.choice(list(DiskFaultKind)), voter))
        at_s += seconds + rng.expovariate(1.0 / (3.0 * MEAN_PAUSE_S))
    return faults


def _draw_clock_steps(rng: random.Random, nodes: list[str], end_s: Seconds) -> list[ClockStep]:
    stepped = rng.sample(nodes, len(nodes) // 2)
    return [
        ClockStep(rng.uniform(0.0, end_s), rng.uniform(-MAX_CLOCK_STEP_S, MAX_CLOCK_STEP_S), node)
        for node in stepped
    ]


def _draw_changes(rng: random.Random, end_s: Seconds) -> list[RacingChange]:
    changes = []
    at_s = rng.expovariate(1.0 / MEAN_CHANGE_PAUSE_S)
    while at_s < end_s:
        operators = rng.randint(1, MAX_OPERATORS)
        changes.append(RacingChange(at_s, [rng.uniform(*WAITS_MS) for _ in range(operators)]))
        at_s += rng.expovariate(1.0 / MEAN_CHANGE_PAUSE_S)
    return changes
