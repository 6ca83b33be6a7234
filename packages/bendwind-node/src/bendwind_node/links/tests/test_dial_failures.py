import unittest

import trio

from bendwind_core.messages import Goodbye
from bendwind_core.timeline import EventKind
from bendwind_node.calls.tests.scripted_server import read_request, run_server
from bendwind_node.links.hub import Address
from bendwind_node.links.incarnation import query_incarnation
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


REDIRECTS = (
    b"HTTP/1.1 301 x\r\nLocation: ws://127.0.0.1:99999999/\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 302 x\r\nLocation: http://[::\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 307 x\r\nLocation: ws://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 307 x\r\nContent-Length: 0\r\n\r\n",
)


def serve_redirect(answer):
    async def serve(stream, number):
        await read_request(stream)
        await stream.send_all(answer)

    return run_server(serve)


class RedirectTest(unittest.TestCase):
    # Guards against a process that ends because another server answers at a peer's address.
    def test_redirect_of_a_dialed_address_is_a_failed_dial(self):
        async def main(answer):
            hub = make_hub("a", None)
            async with serve_redirect(answer) as port, trio.open_nursery() as nursery:
                hub.set_address("b", "127.0.0.1", port)
                hub.nursery = nursery
                hub.receiver.has_failed = trio.Event()
                hub.send("b", Goodbye("a"))
                with trio.fail_after(20):
                    await hub.receiver.has_failed.wait()

        for answer in REDIRECTS:
            trio.run(main, answer)

    def test_redirect_tells_no_incarnation(self):
        async def main(answer):
            async with serve_redirect(answer) as port:
                self.assertEqual(await query_incarnation("a", [Address("127.0.0.1", port)]), 0)

        for answer in REDIRECTS:
            trio.run(main, answer)


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
