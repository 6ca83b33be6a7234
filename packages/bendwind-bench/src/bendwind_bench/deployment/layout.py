"""Assign free loopback ports to a deployment's processes and write their settings files."""

import random
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from bendwind_bench.deployment.description import DeploymentDescription, ServiceDescription
from bendwind_bench.upstream import UpstreamSettings

HOST = "127.0.0.1"
# Below the range of ephemeral ports, so that no outgoing connection takes the port of a process
# that is being restarted.
PORTS = range(15000, 32000)


@dataclass(frozen=True, slots=True)
class Member:
    """Hold one upstream, the node to which it announces itself, and the ports of both."""

    name: str
    data_centre: str
    upstream: UpstreamSettings
    peers: int
    callers: int
    upstreams: int
    operators: int
    is_voter: bool

    @property
    def callers_address(self) -> str:
        """Return the address of the node for callers."""
        return f"{HOST}:{self.callers}"

    @property
    def operators_address(self) -> str:
        """Return the address of the node for operators."""
        return f"{HOST}:{self.operators}"

    @property
    def upstream_address(self) -> str:
        """Return the address on which the stand-in listens."""
        return f"{HOST}:{self.upstream.port}"


@dataclass(frozen=True, slots=True)
class Layout:
    """Hold the members of a deployment and the folder of its files.

    `stop` holds the keys of the table [stop] in the settings of all nodes, `node_command` runs one.
    """

    description: DeploymentDescription
    folder: Path
    members: tuple[Member, ...]
    stop: dict[str, float] = field(default_factory=dict)
    node_command: tuple[str, ...] = (sys.executable, "-m", "bendwind_node.main")

    def find(self, name: str) -> Member:
        """Return the member whose node or upstream has this name."""
        return next(item for item in self.members if name in (item.name, item.upstream.name))

    def list_serving(self, service: str) -> tuple[Member, ...]:
        """Return the members whose upstream serves a service."""
        return tuple(item for item in self.members if item.upstream.service == service)

    @property
    def client_file(self) -> Path:
        """Return the settings file of the operators' command line."""
        return self.folder / "client.toml"

    @property
    def voters(self) -> tuple[Member, ...]:
        """Return the members that are control voters."""
        return tuple(item for item in self.members if item.is_voter)


class _PortAllocator:
    """Allocate ports on which no process listens, each of them once."""

    def __init__(self, ports: range):
        self.candidates = iter(random.sample(ports, len(ports)))

    def allocate(self) -> int:
        """Return the next free port."""
        for port in self.candidates:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
                return port
        raise OSError("no free port")


def make_layout(
    description: DeploymentDescription, folder: Path, seed: int = 0, ports: range = PORTS
) -> Layout:
    """Create a node for every upstream and assign the pairs to data centres in turn."""
    allocator = _PortAllocator(ports)
    numbers = {centre: 0 for centre in description.data_centres}
    members: list[Member] = []
    for service in description.services:
        for number in range(1, service.upstreams + 1):
            centre = description.data_centres[len(members) % len(numbers)]
            numbers[centre] += 1
            is_voter = len(members) < description.voters
            name = f"{centre}-{numbers[centre]}"
            upstreams_port = allocator.allocate()
            upstream = _describe_upstream(
                service, number, allocator.allocate(), upstreams_port, folder, seed + len(members)
            )
            member = Member(
                name,
                centre,
                upstream,
                peers=allocator.allocate(),
                callers=allocator.allocate(),
                upstreams=upstreams_port,
                operators=allocator.allocate(),
                is_voter=is_voter,
            )
            members.append(member)
    return Layout(description, folder, tuple(members))


def write_client_settings(layout: Layout) -> None:
    """Write the settings file of the operators' command line."""
    instances = {member.name: member.operators_address for member in layout.members}
    control = {"control": [voter.operators_address for voter in layout.voters]}
    text = f"{_format_keys(control)}\n[instances]\n{_format_keys(instances)}"
    layout.client_file.write_text(text)


def _describe_upstream(
    service: ServiceDescription, number: int, port: int, node: int, folder: Path, seed: int
) -> UpstreamSettings:
    name = f"{service.name}-{number}"
    return UpstreamSettings(
        name=name,
        service=service.name,
        port=port,
        node=f"{HOST}:{node}",
        slots=service.slots,
        connections=service.connections,
        queue=4 * service.slots,
        service_ms=service.service_ms,
        spread=service.spread,
        seed=seed,
        runs_file=str((folder / f"{name}.runs").absolute()),
    )


def write_settings(layout: Layout, member: Member) -> None:
    """Write the settings files of one member's two processes."""
    upstream = layout.folder / f"{member.upstream.name}.toml"
    upstream.write_text(_format_keys(msgspec.to_builtins(member.upstream)))
    (layout.folder / f"{member.name}.toml").write_text(_format_node(layout, member))


def _format_keys(values: dict) -> str:
    # A JSON string, number or Boolean has the same form in TOML.
    return "".join(
        f"{key} = {msgspec.json.encode(value).decode()}\n" for key, value in values.items()
    )


def _format_node(layout: Layout, member: Member) -> str:
    ports = {
        "peers": member.peers,
        "callers": member.callers,
        "upstreams": member.upstreams,
        "operators": member.operators,
    }
    tables = {
        "instance": {
            "name": member.name,
            "data_centre": member.data_centre,
            "region": layout.description.region,
        }
    }
    for table, port in ports.items():
        tables[table] = {"host": HOST, "port": port}
    tables["peers"]["insecure"] = tables["operators"]["insecure"] = True
    if layout.stop:
        tables["stop"] = layout.stop
    if member.is_voter:
        tables["control"] = {"data_folder": str((layout.folder / f"{member.name}.data").absolute())}
    text = "".join(f"[{name}]\n{_format_keys(keys)}\n" for name, keys in tables.items())
    for voter in layout.voters:
        keys = {
            "name": voter.name,
            "host": HOST,
            "port": voter.peers,
            "data_centre": voter.data_centre,
        }
        text += f"[[voters]]\n{_format_keys(keys)}\n"
    return text
