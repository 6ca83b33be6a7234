import tempfile
import unittest
from pathlib import Path

import trio
import trio.testing

from bendwind_core.messages import Goodbye, Hello
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance
from bendwind_node.links import create_link_hub
from bendwind_node.security.tests.test_keys import load, make_authority, make_table


class RecordingReceiver:
    """Record the messages of every link."""

    def __init__(self):
        self.received = []
        self.has_failed = trio.Event()
        self.has_received = trio.Event()

    def link_opened(self, link, hello):
        pass

    def link_closed(self, link):
        pass

    def dial_failed(self, peer, unsent):
        self.has_failed.set()

    def handle_version(self, link, version):
        pass

    def is_idle(self, peer):
        return True

    def receive(self, link, message):
        self.received.append((link.peer.name, message))
        self.has_received.set()


def make_hub(name, keys, claimed_name=None):
    own = Instance(claimed_name or name, "x", "127.0.0.1", 0, 1)
    recorder = Recorder(name, lambda: 1, 100)
    return create_link_hub(
        own, RecordingReceiver(), recorder, lambda epoch: Hello(own, epoch), keys
    )


async def send_one(client, server):
    """Send one message from one hub to another; return when it arrived or the dial failed."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    client.set_address("b", "127.0.0.1", listeners[0].socket.getsockname()[1])
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run, listeners)
            client.nursery = nursery
            client.send("b", Goodbye("a"))
            while not (
                server.receiver.has_received.is_set() or client.receiver.has_failed.is_set()
            ):
                await trio.sleep(0.005)
            nursery.cancel_scope.cancel()


class TestSecureLinks(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = make_authority(Path(folder.name, "keys"))
        self.a, self.b = (load(make_table(self.folder, name)) for name in "ab")

    def list_event_kinds(self, hub):
        return [event.kind for event in hub.recorder.events]

    def test_link_opens_if_certificates_match_the_names(self):
        client, server = make_hub("a", self.a), make_hub("b", self.b)
        trio.run(send_one, client, server)
        self.assertEqual(server.receiver.received, [("a", Goodbye("a"))])

    def test_refuses_a_sender_whose_certificate_names_another_instance(self):
        client, server = make_hub("a", self.a, claimed_name="c"), make_hub("b", self.b)
        trio.run(send_one, client, server)
        self.assertEqual(server.receiver.received, [])
        self.assertEqual(self.list_event_kinds(server), [EventKind.PEER_REFUSED])

    def test_refuses_a_server_whose_certificate_names_another_instance(self):
        client, server = make_hub("a", self.a), make_hub("a", self.a, claimed_name="b")
        trio.run(send_one, client, server)
        self.assertEqual(server.receiver.received, [])
        self.assertIn(EventKind.DIAL_FAILED, self.list_event_kinds(client))

    def test_refuses_a_link_without_tls(self):
        client, server = make_hub("a", None), make_hub("b", self.b)
        trio.run(send_one, client, server)
        self.assertEqual(server.receiver.received, [])
        self.assertIn(EventKind.HANDSHAKE_REFUSED, [e.kind for e in self.b.recorder.events])


if __name__ == "__main__":
    unittest.main()
