import contextlib
import io
import logging
import re
import tempfile
import unittest
from pathlib import Path

import trio

from bendwind_cli.commands import MakeAuthority, MakeInstanceKey, MakeOperatorKey
from bendwind_cli.keys import make_keys
from bendwind_cli.main import run_arguments
from bendwind_core.timeline import EventKind
from bendwind_node.daemon import run_daemon
from bendwind_node.settings import load_settings

# One voter needs no link to itself, so that the port in [[voters]] is never dialed.
VOTER = """
[instance]
name = "a"
data_centre = "x"
[peers]
host = "127.0.0.1"
port = 0
[callers]
host = "127.0.0.1"
port = 0
[upstreams]
host = "127.0.0.1"
port = 0
[operators]
host = "127.0.0.1"
port = 0
client_authority = "keys/authority.pem"
[[voters]]
name = "a"
host = "127.0.0.1"
port = 1
[control]
data_folder = "data"
[tls]
authority = "keys/authority.pem"
certificate = "keys/a.pem"
key = "keys/a.key"
"""
CLIENT = """
control = ["127.0.0.1:{port}"]
timeout_s = 30
[tls]
authority = "keys/authority.pem"
certificate = "keys/{name}.pem"
key = "keys/{name}.key"
"""
INTENT = '[[services]]\nname = "emisor"\nupstreams = ["emisor-*"]\n'


class PortWatch(logging.Handler):
    """Hear from the log at which ports a process serves."""

    def __init__(self):
        super().__init__(logging.INFO)
        self.detail = ""
        self.operators = 0
        self.is_started = trio.Event()

    def emit(self, record):
        event = getattr(record, "event", None)
        if event is not None and event.kind is EventKind.PROCESS_STARTED:
            self.detail = event.detail
            self.operators = int(re.search(r"operators=(\d+)", event.detail)[1])
            self.is_started.set()


def run_line(*arguments) -> tuple[int, str]:
    out = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        code = run_arguments(list(arguments))
    return code, out.getvalue()


class TestDaemon(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        keys = str(self.folder / "keys")
        for command in (
            MakeAuthority(keys, "1"),
            MakeInstanceKey("a", "127.0.0.1", keys, "1"),
            MakeOperatorKey("oncall", keys, "1"),
        ):
            self.assertTrue(make_keys(command).is_ok())
        (self.folder / "a.toml").write_text(VOTER)
        (self.folder / "intent.toml").write_text(INTENT)
        self.log = PortWatch()
        logger = logging.getLogger("bendwind")
        logger.addHandler(self.log)
        self.addCleanup(logger.removeHandler, self.log)
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.INFO)

    def write_client(self, name: str) -> str:
        file = self.folder / f"{name}-client.toml"
        file.write_text(CLIENT.format(port=self.log.operators, name=name))
        return f"--settings={file}"

    async def operate(self, *arguments, code=0) -> str:
        found, text = await trio.to_thread.run_sync(run_line, *arguments)
        self.assertEqual(found, code, text)
        return text

    async def use(self):
        await self.log.is_started.wait()
        self.assertIn(" data_centre=x", self.log.detail)
        line = self.write_client("operator-oncall")
        plan = await self.operate("plan", str(self.folder / "intent.toml"), line)
        id = re.search(r"bendwind confirm (\S+)", plan)[1]
        self.assertIn("confirmed as version", await self.operate("confirm", id, line))
        status = await self.operate("status", "--json", line)
        self.assertIn(f'"operators":"127.0.0.1:{self.log.operators}"', status)
        self.assertIn("PLAN_CONFIRMED", await self.operate("timeline", f"--plan={id}", line))
        # Another instance's key is a key of the deployment, and no operator's.
        await self.operate("status", self.write_client("a"), code=7)
        refused = await self.operate("timeline", "--event=HANDSHAKE_REFUSED", line)
        self.assertIn("expected the certificate of an operator", refused)
        await self.operate("stop", "a", line)

    async def run_both(self):
        settings = load_settings(self.folder / "a.toml").ok
        with trio.fail_after(120):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.use)
                ended = await run_daemon(settings)
        self.assertTrue(ended.is_ok())

    def test_an_operator_with_a_certificate_plans_watches_and_stops_a_voter(self):
        trio.run(self.run_both)

    def test_keys_that_cannot_be_used_stop_the_start(self):
        (self.folder / "keys/a.key").write_text("garbage")
        settings = load_settings(self.folder / "a.toml").ok
        ended = trio.run(run_daemon, settings)
        self.assertIn("a.pem: ", ended.error)


if __name__ == "__main__":
    unittest.main()
