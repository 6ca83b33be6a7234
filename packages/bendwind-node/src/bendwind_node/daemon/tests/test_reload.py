import signal
import tempfile
import types
import unittest
from pathlib import Path

import trio
import trio.testing

from bendwind_core.membership import VoterPlace
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.daemon.reload import reload_settings, watch_settings
from bendwind_node.settings import load_settings
from bendwind_node.settings.tests.test_load import PLAIN


class FakeDispatcher:
    def __init__(self):
        self.hub = types.SimpleNamespace(set_address=self.record_address)
        self.membership = types.SimpleNamespace(set_seeds=self.record_seeds)
        self.control = None
        self.entry = types.SimpleNamespace(note_origin=self.record_origin)
        self.origins = []
        self.addresses = {}
        self.seeds = None

    def record_address(self, name, host, port, data_centre):
        self.addresses[name] = (host, port)

    def record_origin(self, service):
        self.origins.append(service)

    def record_seeds(self, seeds):
        self.seeds = seeds


class ReloadTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name, "node.toml")
        self.file.write_text(PLAIN)
        self.daemon = types.SimpleNamespace(
            dispatcher=FakeDispatcher(),
            recorder=Recorder("a", lambda: 0, 100),
            settings=load_settings(self.file).ok,
        )

    def reload(self):
        reload_settings(self.daemon, self.file, load_settings)

    def test_changed_voters_are_applied(self):
        more = '[[voters]]\nname = "b"\nhost = "127.0.0.2"\nport = 7102\n'
        self.file.write_text(PLAIN + more)
        self.reload()
        dispatcher = self.daemon.dispatcher
        self.assertEqual(dispatcher.addresses["b"], ("127.0.0.2", 7102))
        self.assertIn(VoterPlace("b", "", "127.0.0.2", 7102), dispatcher.seeds)
        self.assertEqual(len(self.daemon.settings.voters), 2)
        self.assertEqual(self.daemon.recorder.counts[EventKind.SETTINGS_RELOADED], 1)

    # Guards against requests that name the service of an upstream that has ended.
    def test_changed_service_beside_is_named_once(self):
        named = PLAIN.replace("[callers]", '[callers]\norigin_service = "s1"')
        self.file.write_text(named)
        self.daemon.settings = load_settings(self.file).ok
        self.reload()
        self.file.write_text(named.replace("s1", "s2"))
        self.reload()
        self.reload()
        self.assertEqual(self.daemon.dispatcher.origins, ["s2"])

    # Guards against a request that names a service although a signal before it says another.
    def test_signal_is_followed_before_its_task_runs(self):
        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_settings, self.daemon, self.file, load_settings)
                await trio.testing.wait_all_tasks_blocked()
                named = PLAIN.replace("[callers]", '[callers]\norigin_service = "s2"')
                self.file.write_text(named)
                signal.raise_signal(signal.SIGHUP)
                self.daemon.dispatcher.entry.refresh_origin()
                self.assertEqual(self.daemon.dispatcher.origins, ["s2"])
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(self.daemon.dispatcher.origins, ["s2"])

    def test_invalid_file_changes_nothing_and_is_recorded(self):
        before = self.daemon.settings
        self.file.write_text("[peers")
        self.reload()
        self.assertIs(self.daemon.settings, before)
        self.assertIsNone(self.daemon.dispatcher.seeds)
        self.assertEqual(self.daemon.recorder.counts[EventKind.SETTINGS_REFUSED], 1)

    def test_file_that_no_decoder_can_hold_changes_nothing_and_is_recorded(self):
        before = self.daemon.settings
        bodies = (
            PLAIN + "x = " + "[" * 100_000 + "]" * 100_000,
            PLAIN + "x = " + "{a = " * 3000 + "1" + "}" * 3000,
            PLAIN + "x = " + "9" * 5000,
        )
        for count, body in enumerate(bodies, 1):
            self.file.write_text(body)
            self.reload()
            self.assertIs(self.daemon.settings, before)
            self.assertEqual(self.daemon.recorder.counts[EventKind.SETTINGS_REFUSED], count)


if __name__ == "__main__":
    unittest.main()
