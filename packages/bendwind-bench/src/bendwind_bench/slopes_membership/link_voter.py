"""Serve as a voter's registry over real links and report what the process used.

It reads a line on standard input to begin and one to end, and prints JSON lines.
"""

import json
import random
import resource
import sys
import time
from pathlib import Path

import trio

from bendwind_bench.slopes_membership.scene import TIMES, make_service
from bendwind_core.membership import DrainMarksAccepted, Heartbeat, VoterPlace
from bendwind_core.messages import Hello
from bendwind_core.timeline import Recorder
from bendwind_core.world import Configuration, Instance
from bendwind_node.control.registry import RegistryTask, create_registry_task
from bendwind_node.links import create_link_hub

NAME = "voter"


class StillControl:
    """Stand in for a log that always has a quorum and never changes."""

    def __init__(self):
        self.configuration = Configuration(7, (make_service("service-000"),))
        self.claim_groups = {}
        self.drain_marks = DrainMarksAccepted(frozenset(), frozenset())
        self.voter_places = (VoterPlace(NAME),)

    async def confirm(self) -> bool:
        """Confirm at once."""
        return True


class Reception:
    """Hand messages of links to the registry and count heartbeats."""

    def __init__(self):
        self.registry: RegistryTask | None = None
        self.beats = 0

    def link_opened(self, link, hello) -> None:
        """Ignore it."""

    def link_closed(self, link) -> None:
        """Ignore it."""

    def dial_failed(self, peer, unsent) -> None:
        """Ignore it."""

    def receive(self, link, message) -> None:
        """Pass a message on."""
        self.beats += isinstance(message, Heartbeat)
        self.registry.inbox.send_nowait((link.peer.name, message))


def make_recorder(name: str) -> Recorder:
    """Make a small recorder."""
    return Recorder(name, lambda: time.time_ns() // 1_000_000, 100)


def resident_bytes() -> int:
    """Return this process's resident memory."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def _report(reception: Reception) -> None:
    used = resource.getrusage(resource.RUSAGE_SELF)
    result = {
        "processor_s": used.ru_utime + used.ru_stime,
        "resident": resident_bytes(),
        "beats": reception.beats,
    }
    print(json.dumps(result), flush=True)


async def serve() -> None:
    """Serve until two lines were read."""
    own = Instance(NAME, "a", "127.0.0.1", 0, 1)
    reception = Reception()
    recorder = make_recorder(NAME)
    hub = create_link_hub(own, reception, recorder, lambda epoch: Hello(own, epoch))
    rng = random.Random(1)
    reception.registry = create_registry_task(NAME, StillControl(), TIMES, hub.send, recorder, rng)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=1024)
        print(listeners[0].socket.getsockname()[1], flush=True)
        nursery.start_soon(hub.run, listeners)
        nursery.start_soon(reception.registry.run)
        for _ in range(2):
            await trio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
            _report(reception)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(serve)
