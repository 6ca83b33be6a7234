import unittest

import trio

from bendwind_core.messages import Goodbye
from bendwind_core.timeline import EventKind
from bendwind_node.links.tests.test_secure_links import make_hub, send_one


async def dial_unreachable_peer(hub, peer, times):
    """Dial a port on which no process listens."""
    with trio.socket.socket() as bound_socket:
        await bound_socket.bind(("127.0.0.1", 0))
        hub.set_address(peer, "127.0.0.1", bound_socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            hub.nursery = nursery
            for _ in range(times):
                hub.receiver.has_failed = trio.Event()
                hub.send(peer, Goodbye("a"))
                with trio.fail_after(20):
                    await hub.receiver.has_failed.wait()


class TestDialFailures(unittest.TestCase):
    def count_failures(self, hub):
        return [event.kind for event in hub.recorder.events].count(EventKind.DIAL_FAILED)

    def test_dial_failures_to_a_peer_are_recorded_once_until_a_link_opens(self):
        client, server = make_hub("a", None), make_hub("b", None)
        trio.run(dial_unreachable_peer, client, "b", 3)
        self.assertEqual(self.count_failures(client), 1)
        client.receiver.has_failed = trio.Event()
        trio.run(send_one, client, server)
        self.assertEqual(server.receiver.received, [("a", Goodbye("a"))])
        trio.run(dial_unreachable_peer, client, "b", 2)
        self.assertEqual(self.count_failures(client), 2)


if __name__ == "__main__":
    unittest.main()
