"""Test the acquisition of tokens with two complete processes, a voter and a node, over a link."""

import math
import tempfile
import unittest
from pathlib import Path

import trio
import trio.testing
from expression import Ok

from bendwind_core.attempts import NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND
from bendwind_core.world import Configuration, Customer
from bendwind_node.daemon import run_daemon
from bendwind_node.daemon.extension import Extension
from bendwind_node.daemon.listeners import find_port
from bendwind_node.settings import load_settings

SETTINGS = """
voters = [{{ name = "a", host = "127.0.0.1", port = {port} }}]
[instance]
name = "{name}"
data_centre = "x"
[peers]
host = "127.0.0.1"
port = 0
insecure = true
[callers]
host = "127.0.0.1"
port = 0
"""
CONTROL = '[control]\ndata_folder = "data"\n'
MARIA = Customer("maria", rate_per_s=20.0, burst=30.0)


class TestQuotas(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    async def start(self, nursery, name, port, tables=""):
        """Start a process and return its Daemon once it serves."""
        file = self.folder / f"{name}.toml"
        file.write_text(SETTINGS.format(name=name, port=port) + tables)
        started = trio.Event()
        daemons = []

        async def serve(daemon, _):
            daemons.append(daemon)
            started.set()
            return Ok(None)

        nursery.start_soon(run_daemon, load_settings(file).ok, Extension(serve=serve))
        await started.wait()
        return daemons[0]

    async def run_processes(self):
        with trio.fail_after(120):
            async with trio.open_nursery() as nursery:
                voter = await self.start(nursery, "a", 1, CONTROL)
                node = await self.start(nursery, "b", find_port(voter.listeners.peers))
                control = voter.dispatcher.control
                while not control.quotas.quotas.has_confirmed:
                    await trio.sleep(0.05)
                control.client.state.configuration = Configuration(1, customers=(MARIA,))
                quotas = node.dispatcher.quotas
                quotas.find_customer = {"maria": MARIA}.get
                await self.check_quota(quotas)
                nursery.cancel_scope.cancel()

    async def check_quota(self, quotas):
        # No token is available until the voter has applied the limit and refills its buckets.
        while (await quotas.acquire_token("maria", None, math.inf)).is_error():
            await trio.sleep(0.05)
        acquired, refusal = 1, None
        while refusal is None:
            outcome = await quotas.acquire_token("maria", None, math.inf)
            acquired += outcome.is_ok()
            refusal = outcome.error if outcome.is_error() else None
        self.assertEqual((refusal.reason, refusal.voter), (NotRunReason.OVER_QUOTA, "a"))
        self.assertGreaterEqual(acquired, 30)
        await trio.sleep(refusal.retry_after_ms / MILLISECONDS_PER_SECOND)
        self.assertTrue((await quotas.acquire_token("maria", None, math.inf)).is_ok())

    def test_node_acquires_as_many_tokens_as_its_voter_grants(self):
        # By real clocks, a busy machine may delay a reply beyond the time that a request waits for
        # its token, which is then refused as unknown. This clock moves only while nothing can run.
        trio.run(self.run_processes, clock=trio.testing.MockClock(autojump_threshold=0.002))


if __name__ == "__main__":
    unittest.main()
