"""Put what a soak disturbs around the processes: links, wall clocks, disks and records."""

import math
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec
import trio

from bendwind_bench.deployment import Layout, Member
from bendwind_bench.soak import faulty_node
from bendwind_bench.soak.link_proxy import LinkProxy
from bendwind_bench.soak.schedule import ClockStep, DiskFaultKind, SoakTargets
from bendwind_bench.soak.system import STOP
from bendwind_core.core import Seconds

# Between more nodes only the links that lead to voters have a proxy, 300 at 100 nodes.
MAX_MESHED_NODES = 12
# The folder of the script is no place to import from.
NODE_COMMAND = (sys.executable, "-P", faulty_node.__file__)


class NodeFaults(msgspec.Struct):
    """Hold what a node reads when it starts: the proxies by port, and the step of its clock."""

    proxies: dict[int, int] = msgspec.field(default_factory=dict)
    clock_step_s: Seconds = 0.0


@dataclass(slots=True)
class Surroundings:
    """Hold the proxies by the name of their link, and the files that nodes read."""

    folder: Path
    proxies: dict[str, LinkProxy] = field(default_factory=dict)
    nodes: dict[str, NodeFaults] = field(default_factory=dict)
    full_until: dict[str, Seconds] = field(default_factory=dict)

    def step_clock(self, step: ClockStep) -> None:
        """Have the wall clock of a node be off by a step from its next start on."""
        self.nodes[step.target].clock_step_s = step.step_s
        self.write_faults(step.target)

    def write_faults(self, node: str) -> None:
        """Write the file that a node reads when it starts."""
        data = msgspec.json.encode(self.nodes[node])
        (self.folder / f"{node}.faults.json").write_bytes(data)

    def begin_disk_fault(self, node: str, kind: DiskFaultKind) -> None:
        """Begin a fault of a node's disk."""
        self._find_mark(node, kind).touch()
        if kind is DiskFaultKind.FULL:
            self.full_until[node] = math.inf

    def end_disk_fault(self, node: str, kind: DiskFaultKind) -> None:
        """End a fault of a node's disk."""
        self._find_mark(node, kind).unlink(missing_ok=True)
        if kind is DiskFaultKind.FULL:
            self.full_until[node] = trio.current_time()

    def was_disk_full(self, node: str, since: Seconds) -> bool:
        """Return whether the disk of a node has been full at any time since `since`."""
        return self.full_until.get(node, -math.inf) >= since

    def _find_mark(self, node: str, kind: DiskFaultKind) -> Path:
        return self.folder / f"{node}.{kind}-disk"


def name_link(source: str, target: str) -> str:
    """Return the name of the link that one node opens to another."""
    return f"{source}>{target}"


def list_targets(layout: Layout) -> SoakTargets:
    """Name what a soak disturbs; every second upstream is behind a proxy."""
    members = layout.members
    upstreams = [member.upstream.name for member in members]
    links = [name_link(source.name, target.name) for source, target in _list_pairs(members)]
    voters = [voter.name for voter in layout.voters]
    nodes = [member.name for member in members]
    return SoakTargets(nodes, upstreams, upstreams[::2], links, voters)


def _list_pairs(members: Sequence[Member]) -> list[tuple[Member, Member]]:
    is_meshed = len(members) <= MAX_MESHED_NODES
    return [
        (source, target)
        for source in members
        for target in members
        if source is not target and (is_meshed or target.is_voter)
    ]


async def surround(layout: Layout, nursery: trio.Nursery) -> tuple[Layout, Surroundings]:
    """Start the proxies; return the layout whose processes use them."""
    surroundings = Surroundings(layout.folder)

    async def add_proxy(link: str, port: int) -> int:
        proxy = surroundings.proxies[link] = LinkProxy(port)
        return await nursery.start(proxy.serve)

    proxied = list_targets(layout).proxied
    members = []
    for member in layout.members:
        surroundings.nodes[member.name] = NodeFaults()
        file = (layout.folder / f"{member.upstream.name}.arrivals").absolute()
        upstream = msgspec.structs.replace(member.upstream, arrivals_file=str(file))
        if upstream.name in proxied:
            port = await add_proxy(upstream.name, upstream.port)
            upstream = msgspec.structs.replace(upstream, announced_port=port)
        members.append(replace(member, upstream=upstream))
    for source, target in _list_pairs(members):
        port = await add_proxy(name_link(source.name, target.name), target.peers)
        surroundings.nodes[source.name].proxies[target.peers] = port
    for node in surroundings.nodes:
        surroundings.write_faults(node)
    layout = replace(layout, members=tuple(members), stop=STOP, node_command=NODE_COMMAND)
    return layout, surroundings
