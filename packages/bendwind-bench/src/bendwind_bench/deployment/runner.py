"""Run the processes of a deployment on loopback and end all of them afterwards."""

import contextlib
import sys
import tempfile
import uuid
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import msgspec
import trio

from bendwind_bench.deployment.layout import (
    PORTS,
    Layout,
    Member,
    make_layout,
    write_client_settings,
    write_settings,
)
from bendwind_bench.deployment.process import Process
from bendwind_bench.http import HttpBrokenError, create_pool, send_json
from bendwind_bench.load import RequestKind

RUN_FOLDER = Path("run")
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1


class NotReadyError(Exception):
    """Report a process that did not become ready, with the end of its log."""


class Deployment:
    """Manage the processes of a layout; with `direct` there are only upstreams, no nodes."""

    def __init__(self, layout: Layout, direct: bool):
        self.layout = layout
        self.direct = direct
        self.nodes: dict[str, Process] = {}
        self.upstreams: dict[str, Process] = {}

    @property
    def runs_files(self) -> list[Path]:
        """Return the files in which the stand-ins record their runs."""
        return [Path(member.upstream.runs_file) for member in self.layout.members]

    @property
    def entries(self) -> list[str]:
        """Return the addresses for callers of all nodes except those that are down on purpose."""
        return [
            member.callers_address
            for member in self.layout.members
            if not self.direct and not self.nodes[member.name].is_expected_down
        ]

    def direct_addresses(self) -> dict[str, list[str]]:
        """Return the upstreams' own addresses by service."""
        services = [service.name for service in self.layout.description.services]
        return {
            name: [member.upstream_address for member in self.layout.list_serving(name)]
            for name in services
        }

    def start(self) -> None:
        """Start every process."""
        write_client_settings(self.layout)
        for member in self.layout.members:
            write_settings(self.layout, member)
            self.upstreams[member.upstream.name] = self._make_process(
                member.upstream.name, (sys.executable, "-m", "bendwind_bench", "upstream")
            )
            if not self.direct:
                self.nodes[member.name] = self._make_process(member.name, self.layout.node_command)
        for process in self.list_processes():
            process.start()

    def _make_process(self, name: str, program: tuple[str, ...]) -> Process:
        config = self.layout.folder / f"{name}.toml"
        return Process(name, [*program, f"--config={config}"], self.layout.folder / f"{name}.log")

    def list_processes(self) -> list[Process]:
        """Return every process."""
        return [*self.nodes.values(), *self.upstreams.values()]

    def find_process(self, name: str) -> Process:
        """Return the process of the node or upstream with this name."""
        return self.nodes.get(name) or self.upstreams[name]

    async def wait_ready(self, members: tuple[Member, ...] | None = None) -> None:
        """Wait until the stand-ins and nodes answer.

        Errors: raises NotReadyError if a process ends or takes longer than READY_TIMEOUT_S.
        """
        for member in members or self.layout.members:
            upstream = self.upstreams[member.upstream.name]
            await self._wait_until_ready(upstream, member.upstream_address, "/.bendwind/health")
            if not self.direct:
                node = self.nodes[member.name]
                await self._wait_until_ready(node, member.operators_address, "/v1/status")

    async def _wait_until_ready(self, process: Process, address: str, path: str) -> None:
        with trio.move_on_after(READY_TIMEOUT_S):
            while process.is_running:
                with contextlib.suppress(OSError, HttpBrokenError):
                    if (await send_json(address, "GET", path)).status == 200:
                        return
                await trio.sleep(POLL_INTERVAL_S)
        tail = process.log.read_text(errors="replace")[-2000:]
        raise NotReadyError(f"{process.name} is not ready\n{tail}")

    async def wait_served(self, kinds: Sequence[RequestKind], timeout_s: float = 60.0) -> bool:
        """Return whether every node serves a request of every kind within the timeout."""
        with trio.move_on_after(timeout_s):
            for address in self.entries:
                for kind in kinds:
                    await _wait_until_served(address, kind)
            return True
        return False

    async def change(self, upstream: str, changes: list) -> None:
        """Change the behaviour of a stand-in on a schedule that starts now."""
        member = self.layout.find(upstream)
        await send_json(member.upstream_address, "POST", "/.bench/changes", changes)

    async def read_counters(self, upstream: str) -> dict:
        """Return the counters of a stand-in."""
        member = self.layout.find(upstream)
        answer = await send_json(member.upstream_address, "GET", "/.bench/counters")
        return msgspec.json.decode(answer.body)

    def kill_all(self) -> None:
        """Kill every process that is still running."""
        for process in self.list_processes():
            process.kill()


async def _wait_until_served(address: str, kind: RequestKind) -> None:
    pool = create_pool(address)
    while True:
        headers = [(b"Bendwind-Service", kind.service.encode())]
        if kind.keyed:
            headers.append((b"Idempotency-Key", uuid.uuid4().hex.encode()))
        with contextlib.suppress(OSError, HttpBrokenError):
            if (await pool.request(kind.method, kind.path, headers)).status == 200:
                break
        await trio.sleep(POLL_INTERVAL_S)
    pool.close()


@contextlib.asynccontextmanager
async def run_deployment(
    description,
    direct: bool = False,
    seed: int = 0,
    ready: bool = True,
    adapt: Callable[[Layout], Awaitable[Layout]] | None = None,
    ports: range = PORTS,
):
    """Run a deployment's processes, with the layout that `adapt` returns, during the context."""
    RUN_FOLDER.mkdir(exist_ok=True)
    folder = Path(tempfile.mkdtemp(prefix=f"{description.name}-", dir=RUN_FOLDER))
    layout = make_layout(description, folder, seed, ports)
    if adapt is not None:
        layout = await adapt(layout)
    deployment = Deployment(layout, direct)
    try:
        deployment.start()
        if ready:
            await deployment.wait_ready()
        yield deployment
    finally:
        deployment.kill_all()
